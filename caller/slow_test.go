package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/caller"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// countedEngine counts the generations started and running.
	countedEngine struct {
		pacedEngine
		started, running atomic.Int64
	}

	// lossyPeers loses the reply to every second pull and duplicates the
	// streams in the other replies.
	lossyPeers struct {
		peer.RPCClient
		pulls int
	}

	// testServer is a caller server that listens on an in-memory network.
	testServer struct {
		t      *testing.T
		host   *nettest.Host
		engine *countedEngine
	}
)

func (e *countedEngine) Generate(ctx context.Context, g upstream.Generation, emit func(upstream.Token) error) (usage upstream.Usage, err error) {
	e.started.Add(1)
	e.running.Add(1)
	defer e.running.Add(-1)
	return e.pacedEngine.Generate(ctx, g, emit)
}

func (p *lossyPeers) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error) {
	if method != "Steward.NextMany" {
		return p.RPCClient.Call(ctx, address, method, args, reply)
	}
	if p.pulls++; p.pulls%2 == 0 {
		lost := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
		if err := p.RPCClient.Call(ctx, address, method, args, lost); err != nil {
			return err
		}
		return context.DeadlineExceeded
	}
	if err := p.RPCClient.Call(ctx, address, method, args, reply); err != nil {
		return err
	}
	streams := reflect.ValueOf(reply).Elem().FieldByName("Streams")
	streams.Set(reflect.AppendSlice(streams, streams))
	return nil
}

func withTestServer(t *testing.T, configure func(o *caller.Options), run func(s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{t: t, host: nettest.New().Host("10.0.0.1"), engine: &countedEngine{}}
		config := benchConfig(netip.MustParseAddrPort("10.0.0.2:80"))
		server := startCaller(t, s.host, netip.MustParseAddrPort("10.0.0.1:7000"), config, s.engine, false, configure)
		listener, err := s.host.Listen(t.Context(), netip.MustParseAddrPort("10.0.0.1:8080"))
		if err != nil {
			t.Fatal(err)
		}
		h := &http.Server{Handler: server.Handler()}
		go h.Serve(listener)
		run(s)
		h.Close()
		time.Sleep(time.Minute) // for net/http's goroutines to end and unpulled streams to be canceled
		synctest.Wait()
	})
}

func (s *testServer) send(request, body string, length int) net.Conn {
	conn, err := s.host.Dial(s.t.Context(), netip.MustParseAddrPort("10.0.0.1:8080"))
	if err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: x\r\nApi-Key: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", request, benchKey, length, body)
	return conn
}

func (s *testServer) stream(tokens int) net.Conn {
	body := fmt.Sprintf(`{"model":"m","prompt":"p","max_tokens":%d,"stream":true}`, tokens)
	return s.send("POST /v1/completions", body, len(body))
}

func (s *testServer) checkStream(conn net.Conn, tokens int) {
	s.t.Helper()
	defer conn.Close()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	last := -1
	for event := range strings.SplitSeq(string(body), "\n\n") {
		if _, text, ok := strings.Cut(event, `"text":"tok`); ok {
			number, _, _ := strings.Cut(text, `"`)
			if last++; number != fmt.Sprint(last%100) {
				s.t.Fatalf("token %s at offset %d", number, last)
			}
		}
	}
	if last != tokens-1 || !strings.HasSuffix(string(body), "data: [DONE]\n\n") || err != nil {
		s.t.Errorf("%d tokens, error %v, want %d and the end marker", last+1, err, tokens)
	}
}

// Guards against tokens that are lost, duplicated or out of order when replies
// to pulls are lost or duplicated, and against a new attempt where repeating the
// pull is enough.
func TestStreamSurvivesLostPullReplies(t *testing.T) {
	lossy := func(o *caller.Options) { o.Peers = &lossyPeers{RPCClient: o.Peers} }
	withTestServer(t, lossy, func(s *testServer) {
		s.engine.interval = 10 * time.Millisecond
		first, second := s.stream(700), s.stream(300)
		s.checkStream(first, 700)
		s.checkStream(second, 300)
		if n := s.engine.started.Load(); n != 2 {
			t.Errorf("%d attempts, want 2", n)
		}
	})
}

// Guards against a caller that doesn't read its stream delaying other streams
// or occupying an upstream forever.
func TestSlowCallerDoesNotDelayOthers(t *testing.T) {
	withTestServer(t, nil, func(s *testServer) {
		slow := s.stream(16000)
		defer slow.Close()
		time.Sleep(time.Second)
		begin := time.Now()
		s.checkStream(s.stream(3000), 3000) // the engine has no interval, so this takes no time on the fake clock
		if took := time.Since(begin); took > 0 {
			t.Errorf("a stream beside a slow one took %v on the fake clock, want 0", took)
		}
		if n := s.engine.running.Load(); n != 1 {
			t.Errorf("%d generations running after the fast one finished, want 1", n)
		}
		time.Sleep(time.Minute)
		if n := s.engine.running.Load(); n != 0 {
			t.Errorf("%d generations running a minute later, want 0", n)
		}
	})
}

// Guards against a caller that occupies a connection by sending its body slowly,
// and against a refusal of it that doesn't say NotRun.
func TestSlowBodyTimesOut(t *testing.T) {
	withTestServer(t, nil, func(s *testServer) {
		begin := time.Now()
		conn := s.send("POST /v1/completions", `{"model":`, 100)
		defer conn.Close()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begin); took != 30*time.Second || response.StatusCode != http.StatusBadRequest ||
			response.Header.Get(upstream.HeaderWorkStatus) != "NotRun" {
			t.Errorf("status %d, %v after %v", response.StatusCode, response.Header, took)
		}
	})
}
