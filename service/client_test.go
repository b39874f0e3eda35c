package service_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/service"
	"github.com/guavagauge/guavagauge/servicetest"
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
