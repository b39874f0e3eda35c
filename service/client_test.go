package service_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/service"
	"github.com/guavagauge/guavagauge/servicetest"
	"github.com/guavagauge/guavagauge/transport"
	"github.com/guavagauge/guavagauge/upstream"
)

// Guards against a second run of a call whose response was lost: on a reused
// connection, net/http retries requests with an Idempotency-Key header and those
// with a safe method. Also guards against failures with the wrong progress.
func TestLostResponseIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		address := netip.MustParseAddrPort("10.0.0.2:9000")
		desk := servicetest.New()
		server := &http.Server{Handler: desk}
		client := service.NewClient(network.Host("10.0.0.1"), address, service.Options{MaxResponseBytes: 200})
		defer func() { client.Close(); server.Close(); synctest.Wait() }()
		call := func(method, target, body string) (upstream.Response, *upstream.Failure) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			header := http.Header{
				"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}, "Connection": {"X-Hop, Workspace"},
				"X-Hop": {"1"}, "Te": {"trailers"}, "Workspace": {"o/alpha"},
			}
			response, err := client.Call(ctx, upstream.Call{Method: method, Target: target, Header: header, Body: []byte(body)})
			var failure *upstream.Failure
			if errors.As(err, &failure); err != nil && failure == nil {
				t.Fatal(err)
			}
			return response, failure
		}
		if _, failure := call("POST", "/desk/entries", "x"); failure == nil || failure.Progress != upstream.NotDialed {
			t.Errorf("no worker at the address: %+v, want NotDialed", failure)
		}
		listener, _ := network.Host("10.0.0.2").Listen(t.Context(), address)
		go server.Serve(listener)
		calls := 0
		for _, test := range []struct{ method, target, body string }{
			{"POST", "/desk/entries", "a"}, {"POST", "/desk/entries", ""}, {"GET", "/desk/draw?seed=1", ""},
		} {
			if response, failure := call(test.method, test.target, test.body); failure != nil || response.Status/100 != 2 {
				t.Errorf("%v: response %+v, failure %+v", test, response, failure)
			}
			desk.DropResponses(1)
			if _, failure := call(test.method, test.target, test.body); failure == nil || failure.Progress != upstream.Written || !failure.Crashed {
				t.Errorf("%v with a lost response: %+v, want Written and Crashed", test, failure)
			}
			desk.Refuse(1)
			if _, failure := call(test.method, test.target, test.body); failure == nil || failure.Progress != upstream.NotWritten || failure.RetryAfter != time.Second {
				t.Errorf("%v refused by the worker: %+v, want NotWritten and a RetryAfter of 1 s", test, failure)
			}
			if calls += 2; desk.CallsFor("o/alpha") != calls {
				t.Errorf("%v: %d calls ran in total, want %d", test, desk.CallsFor("o/alpha"), calls)
			}
		}
		if desk.RunsOf("a") != 2 || desk.Runs() != 4 {
			t.Errorf("%d runs of entry a and %d of all entries, want 2 and 4", desk.RunsOf("a"), desk.Runs())
		}
		desk.SetDelay(2 * time.Minute)
		if _, failure := call("POST", "/desk/entries", "b"); failure == nil || failure.Reason != upstream.ReasonDeadline || failure.Progress != upstream.Written {
			t.Errorf("call that exceeds its deadline: %+v, want Deadline and Written", failure)
		}
	})
}

// Guards against hop-by-hop headers that are forwarded, targets that name another
// host, and responses of unlimited size.
func TestHopByHopHeadersAndResponseLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		address := netip.MustParseAddrPort("10.0.0.2:9000")
		seen := make(http.Header)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen = r.Header.Clone()
			w.Header().Set("Keep-Alive", "timeout=5")
			w.Header().Set("X-Result", "kept")
			w.Write(make([]byte, r.ContentLength))
		})}
		listener, _ := network.Host("10.0.0.2").Listen(t.Context(), address)
		go server.Serve(listener)
		client := service.NewClient(network.Host("10.0.0.1"), address, service.Options{MaxResponseBytes: 10})
		defer func() { client.Close(); server.Close(); synctest.Wait() }()
		header := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Upgrade": {"h2c"}, "X-Kept": {"1"}, "Idempotency-Key": {"k"}}
		response, err := client.Call(t.Context(), upstream.Call{Method: "PUT", Target: "/", Header: header, Body: make([]byte, 10)})
		if err != nil || response.Header.Get("Keep-Alive") != "" || response.Header.Get("X-Result") != "kept" {
			t.Errorf("response headers %+v, error %v", response.Header, err)
		}
		if seen.Get("X-Hop") != "" || seen.Get("Upgrade") != "" || seen.Get("X-Kept") != "1" || seen.Get("Idempotency-Key") != "k" || seen.Get("User-Agent") != "" {
			t.Errorf("the worker got headers %v", seen)
		}
		if header.Get("X-Hop") == "" {
			t.Error("Call changed the headers of its argument")
		}
		for _, target := range []string{"@10.0.0.3:80/", "", "x", "http://10.0.0.3/"} {
			if _, err := client.Call(t.Context(), upstream.Call{Method: "GET", Target: target}); err == nil {
				t.Errorf("target %q was sent", target)
			}
		}
		_, err = client.Call(t.Context(), upstream.Call{Method: "PUT", Target: "/", Body: make([]byte, 11)})
		var failure *upstream.Failure
		if !errors.As(err, &failure) || failure.Reason != upstream.ReasonBadResponse {
			t.Errorf("response over the limit: %v, want BadAnswer", err)
		}
	})
}

// Guards against bytes that a faulty worker sends behind a whole response and that are
// taken for the answer to the next call, since net/http has read them before that began.
func TestBytesBehindResponseAreNoAnswer(t *testing.T) {
	const calls, response = 20_000, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.Copy(io.Discard, r.Body)
		for _, behind := range []string{strings.Replace(response, "200", "000", 1), "", ""} {
			if _, err = io.WriteString(conn, response+behind); err != nil {
				return
			}
			if _, err = http.ReadRequest(buffered.Reader); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client := service.NewClient(transport.TCP{}, netip.MustParseAddrPort(server.Listener.Addr().String()), service.Options{})
	defer client.Close()
	for range calls {
		if got, err := client.Call(t.Context(), upstream.Call{Method: http.MethodPost, Target: "/x"}); err == nil && got.Status != http.StatusOK {
			t.Fatalf("status %d, want 200 or an error", got.Status)
		}
	}
}
