package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/upstream"
)

// Guards against failures that report less progress than the request made, so
// that a request that ran counts as NotRun; against protocol errors that count as
// crashes; and against a truncated stream that passes as a complete one.
func TestFailureProgressAndCrash(t *testing.T) {
	const token = `data: {"id":"ID","choices":[{"index":0,"text":"a"}],"Offset":%d}` + "\n\n"
	const end = `data: {"id":"ID","choices":[{"index":0,"finish_reason":"length"}],"Offset":%d}` + "\n\n"
	stream := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, id, _ := strings.Cut(string(body), `"ID":"`)
			id, _, _ = strings.Cut(id, `"`)
			io.WriteString(w, strings.ReplaceAll(text, "ID", id))
			http.NewResponseController(w).Flush() // so that the end of the body is sent separately
		}
	}
	respondStatus := func(status int, header ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; i < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(status)
		}
	}
	for _, test := range []struct {
		name     string
		handler  http.HandlerFunc
		reason   upstream.Reason
		progress upstream.Progress
		crashed  bool
	}{
		{"no engine at the address", nil, upstream.ReasonConnect, upstream.NotDialed, false},
		{"draining", respondStatus(503, upstream.HeaderWorkStatus, "NotRun", upstream.HeaderReason, "Draining"), upstream.ReasonDraining, upstream.NotWritten, false},
		{"too many requests", respondStatus(429), upstream.ReasonBusy, upstream.NotWritten, false},
		{"invalid", respondStatus(400), upstream.ReasonRejected, upstream.NotWritten, false},
		{"error without a work status", respondStatus(503), upstream.ReasonBadResponse, upstream.Answered, false},
		{"connection closed before the response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, upstream.ReasonBroken, upstream.Written, false},
		{"no response in time", func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) // the server notices a closed connection only after it has read the body
			<-r.Context().Done()
		}, upstream.ReasonDeadline, upstream.Written, false},
		{"connection closed after the status line", func(w http.ResponseWriter, _ *http.Request) {
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, upstream.ReasonBroken, upstream.Answered, true},
		{"no end of the stream", stream(fmt.Sprintf(token, 0)), upstream.ReasonBadResponse, upstream.Answered, false},
		{"no finish reason", stream(fmt.Sprintf(token, 0) + "data: [DONE]\n\n"), upstream.ReasonBadResponse, upstream.Answered, false},
		{"skipped token", stream(fmt.Sprintf(token, 1)), upstream.ReasonBadResponse, upstream.Answered, false},
		{"finish offset after a gap", stream(fmt.Sprintf(token+end, 0, 2)), upstream.ReasonBadResponse, upstream.Answered, false},
		{"too many tokens", stream(fmt.Sprintf(token+token+token, 0, 1, 2)), upstream.ReasonBadResponse, upstream.Answered, false},
		{"ID of another request", stream(`data: {"id":"x","choices":[{"index":0}]}` + "\n\n"), upstream.ReasonBadResponse, upstream.Answered, false},
		{"event without valid JSON", stream("data: {\n\n"), upstream.ReasonBadResponse, upstream.Answered, false},
		{"not an event stream", stream("<html>\n"), upstream.ReasonBadResponse, upstream.Answered, false},
		{"long line", stream("data: " + strings.Repeat("x", 8<<10)), upstream.ReasonBadResponse, upstream.Answered, false},
		{"long event", stream(strings.Repeat("data: "+strings.Repeat("x", 3000)+"\n", 4)), upstream.ReasonBadResponse, upstream.Answered, false},
		{"failure reported by the engine", stream(`data: {"id":"ID","Reason":"Busy"}` + "\n\n"), upstream.ReasonBusy, upstream.Answered, false},
		{"whole", stream(":" + strings.Repeat("x", 5000) + "\r\n\n" + fmt.Sprintf(token+token+end, 0, 1, 2) + "data: [DONE]\n\n"), "", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := nettest.New()
				address := netip.MustParseAddrPort("10.0.0.2:9000")
				var conns atomic.Int64
				server := &http.Server{Handler: test.handler, ConnState: func(_ net.Conn, state http.ConnState) {
					if state == http.StateNew {
						conns.Add(1)
					}
				}}
				if test.handler != nil {
					listener, _ := network.Host("10.0.0.2").Listen(t.Context(), address)
					go server.Serve(listener)
				}
				client := engine.NewClient(network.Host("10.0.0.1"), address, engine.Options{MaxLineBytes: 6000})
				defer func() { client.Close(); server.Close(); synctest.Wait() }()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := client.Generate(ctx, upstream.Generation{Model: "m", MaxTokens: 2}, func(upstream.Token) error { return nil })
				var failure *upstream.Failure
				if test.reason == "" {
					if _, secondErr := client.Generate(ctx, upstream.Generation{Model: "m", MaxTokens: 2}, func(upstream.Token) error { return nil }); err != nil || secondErr != nil {
						t.Error(err, secondErr)
					}
					if conns.Load() != 1 {
						t.Errorf("%d connections for two responses, want 1", conns.Load())
					}
					return
				}
				if !errors.As(err, &failure) {
					t.Fatalf("error %v, want an *upstream.Failure", err)
				}
				if failure.Reason != test.reason || failure.Progress != test.progress || failure.Crashed != test.crashed {
					t.Errorf("failure %+v, want %s, %s, Crashed %t", failure, test.reason, test.progress, test.crashed)
				}
			})
		})
	}
}
