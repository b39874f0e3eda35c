package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	n1 = "10.1.0.1"
	n2 = "10.1.0.2"
	n3 = "10.1.0.3"
)

// dialer returns a function for http.Transport.DialContext.
func dialer(network transport.Network) func(ctx context.Context, _, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return network.Dial(ctx, at)
	}
}

// startFleet starts two plain upstreams, a prefill engine, two decode engines and
// one node.
func (f *testFleet) startFleet() {
	f.configure(1, key)
	f.startUpstream("d1", "desk", "", "10.2.0.1:80", &platformtest.Upstream{Script: &f.script})
	f.startUpstream("d2", "desk", "", "10.2.0.2:80", &platformtest.Upstream{Script: &f.script})
	f.startUpstream("p1", "models", "prefill", "10.3.0.1:80", &platformtest.Upstream{Events: 4})
	f.startUpstream("g1", "models", "decode", "10.3.0.2:80", &platformtest.Upstream{Events: 4, Script: &f.script})
	f.startUpstream("g2", "models", "decode", "10.3.0.3:80", &platformtest.Upstream{Events: 4, Script: &f.script})
	f.startNodeAndWait("n1", n1)
}

// A node without a configuration isn't ready and refuses all requests. It becomes
// ready once it has a configuration.
func TestNotReadyBeforeConfiguration(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startNodeAndWait("n1", n1)
		for _, path := range []string{"/entries/1", "/nowhere", "/open/%2F"} {
			f.expect(f.request(n1+":80", http.MethodGet, path, "", nil), http.StatusServiceUnavailable, "NoConfig")
		}
		f.expect(f.request(n1+":81", http.MethodGet, "/v1/readiness", "", nil), http.StatusServiceUnavailable, "")
		f.configureRunningNode()
		f.expect(f.request(n1+":81", http.MethodGet, "/v1/readiness", "", nil), http.StatusOK, "")
	})
}

// configureRunningNode configures a fleet whose node is already running.
func (f *testFleet) configureRunningNode() {
	f.configure(1, key)
	f.startUpstream("d1", "desk", "", "10.2.0.1:80", &platformtest.Upstream{})
	f.advance(3 * time.Second)
}

// Guards against a node whose processor time can't be attributed where it runs, and
// against profiles at an address that serves callers.
func TestProfileListener(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startFleet()
		f.expect(f.request(n1+":83", http.MethodGet, "/debug/pprof/", "", nil), http.StatusOK, "goroutine")
		f.expect(f.request(n1+":80", http.MethodGet, "/debug/pprof/", "", nil), http.StatusNotFound, "NoRoute")
	})
}

// Guards against nodes that don't start because another listener has their metrics
// port.
func TestMetricsAddressTaken(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.metricsAddressTaken = true
		f.startFleet()
		f.expect(f.request(n1+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
	})
}

// A request reaches one upstream with the right headers, and requests without a
// route, with an unknown key or with a large body are rejected.
func TestForwardingAndRejection(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startFleet()
		header := http.Header{"Connection": {"X-Gone"}, "X-Gone": {"1"}, "X-Kept": {"2"}}
		platformtest.AddForgedHeaders(header)
		r := f.request(n1+":80", http.MethodPost, "/entries/1?x=%2F", "body", header)
		f.expect(r, http.StatusOK, "answer of d")
		ran, runs := "d1", append(f.runs("d1"), f.runs("d2")...)
		if len(f.runs("d2")) > 0 {
			ran = "d2"
		}
		if len(runs) != 1 || !strings.HasPrefix(platformtest.Seal(r.header), "seal-") {
			t.Fatalf("%d runs, seal %q", len(runs), platformtest.Seal(r.header))
		}
		run := runs[0]
		if left := platformtest.LeakedForgedHeaders(run.Header, ran, "alpha"); len(left) > 0 {
			t.Errorf("the upstream received forged headers: %v", left)
		}
		for name, want := range map[string]string{"X-Gone": "", "X-Kept": "2", "Request-Id": "q1"} {
			if got := run.Header.Get(name); got != want {
				t.Errorf("the upstream received %s %q, want %q", name, got, want)
			}
		}
		if left, err := strconv.Atoi(run.Deadline); err != nil || left > 2500 || left < 2000 {
			t.Errorf("deadline %q, want the rest of 2500 ms", run.Deadline)
		}
		if run.Body != "body" {
			t.Errorf("body %q", run.Body)
		}
		for name, c := range map[string]struct {
			path, key string
			want      int
		}{
			"no route":        {"/nowhere/1", key, http.StatusNotFound},
			"unknown key":     {"/draws/1", "other", http.StatusUnauthorized},
			"anonymous route": {"/open/1", "other", http.StatusOK},
		} {
			if r := f.request(n1+":80", http.MethodGet, c.path, "", keyHeader(c.key)); r.status != c.want {
				t.Errorf("%s: %v, want %d", name, r, c.want)
			}
		}
		f.expect(f.request(n1+":80", http.MethodPost, "/entries/1", strings.Repeat("x", 1001), nil), http.StatusRequestEntityTooLarge, "")
	})
}

// After each kind of upstream fault, a request runs again only if it didn't run
// before or its route is idempotent. The caller's status must not claim that a
// request has not run if it may have.
func TestRetriesAfterFaults(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		faults []platformtest.Fault
		want   int
		runs   int
	}{
		"non-idempotent, rejected":     {"/entries/1", []platformtest.Fault{platformtest.Reject}, http.StatusOK, 1},
		"non-idempotent, reset":        {"/entries/1", []platformtest.Fault{platformtest.Reset}, http.StatusBadGateway, 1},
		"non-idempotent, truncated":    {"/entries/1", []platformtest.Fault{platformtest.Truncate}, http.StatusBadGateway, 1},
		"non-idempotent, no seal":      {"/entries/1", []platformtest.Fault{platformtest.NoSeal}, http.StatusBadGateway, 1},
		"non-idempotent, server error": {"/entries/1", []platformtest.Fault{platformtest.Fail}, http.StatusInternalServerError, 1},
		"idempotent, rejected":         {"/draws/1", []platformtest.Fault{platformtest.Reject}, http.StatusOK, 1},
		"idempotent, reset":            {"/draws/1", []platformtest.Fault{platformtest.Reset}, http.StatusOK, 2},
		"idempotent, truncated":        {"/draws/1", []platformtest.Fault{platformtest.Truncate}, http.StatusOK, 2},
		"idempotent, server error":     {"/draws/1", []platformtest.Fault{platformtest.Fail}, http.StatusOK, 2},
		"idempotent, reset by both":    {"/draws/1", []platformtest.Fault{platformtest.Reset, platformtest.Reset}, http.StatusBadGateway, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startFleet()
				f.script.Add(c.faults...)
				method := http.MethodGet
				if strings.HasPrefix(c.path, "/entries") {
					method = http.MethodPost
				}
				r := f.request(n1+":80", method, c.path, "", nil)
				if r.status != c.want {
					t.Errorf("got %v, want %d", r, c.want)
				}
				if runs := len(f.runs("d1")) + len(f.runs("d2")); runs != c.runs {
					t.Errorf("%d runs, want %d", runs, c.runs)
				}
			})
		})
	}
}

// Guards against a long response of an upstream that failed, which is cut off at what
// the node keeps for a retry and then looks complete.
func TestLongServerErrorIsNotTruncated(t *testing.T) {
	const bodyBytes = 2 << 20 // more than is read ahead
	runWithFleet(t, func(f *testFleet) {
		f.configure(1, key)
		f.startServer("10.2.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			platformtest.BeginResponse(w, r)
			w.WriteHeader(http.StatusInternalServerError)
			w.Write(make([]byte, bodyBytes))
		}))
		f.registerUpstream("d1", "desk", "", "10.2.0.1:80", "ready")
		f.startNodeAndWait("n1", n1)
		r := f.request(n1+":80", http.MethodGet, "/draws/1", "", nil)
		if r.status != http.StatusInternalServerError || r.err == nil && len(r.body) != bodyBytes {
			t.Errorf("status %d with %d bytes as complete (%v), want all %d bytes", r.status, len(r.body), r.err, bodyBytes)
		}
	})
}

// A stream that breaks off is resumed at another upstream only if its route allows
// that, and the caller never receives part of an event.
func TestStreamRetriesAfterFaults(t *testing.T) {
	wholeStream := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
	for name, c := range map[string]struct {
		path   string
		faults []platformtest.Fault
		status int
		body   string
		cut    bool
		runs   int
	}{
		"resumable":                  {"/models/1", nil, http.StatusOK, wholeStream, false, 1},
		"resumable, rejected":        {"/models/1", []platformtest.Fault{platformtest.Reject}, http.StatusOK, wholeStream, false, 1},
		"resumable, truncated":       {"/models/1", []platformtest.Fault{platformtest.Truncate}, http.StatusOK, wholeStream, false, 2},
		"resumable, reset":           {"/models/1", []platformtest.Fault{platformtest.Reset}, http.StatusOK, wholeStream, false, 2},
		"resumable, truncated twice": {"/models/1", []platformtest.Fault{platformtest.Truncate, platformtest.Truncate}, http.StatusOK, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", true, 2},
		"not resumable":              {"/rulings/1", nil, http.StatusOK, wholeStream, false, 1},
		"not resumable, truncated":   {"/rulings/1", []platformtest.Fault{platformtest.Truncate}, http.StatusOK, "id: 1\ndata: piece 1\n\n", true, 1},
		"not resumable, reset":       {"/rulings/1", []platformtest.Fault{platformtest.Reset}, http.StatusBadGateway, "", false, 1},
		"not resumable, rejected":    {"/rulings/1", []platformtest.Fault{platformtest.Reject}, http.StatusOK, wholeStream, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startFleet()
				f.script.Add(c.faults...)
				r := f.request(n1+":80", http.MethodPost, c.path, "prompt", promptHeaders(200))
				if r.status != c.status || c.status == http.StatusOK && r.body != c.body || (r.err != nil) != c.cut {
					t.Errorf("got %v, want %d %q, cut %t", r, c.status, c.body, c.cut)
				}
				if runs := len(f.runs("g1")) + len(f.runs("g2")) + len(f.runs("p1")); runs != c.runs {
					t.Errorf("%d runs, want %d", runs, c.runs)
				}
			})
		})
	}
}

// A request to an upstream is canceled soon after the caller has disconnected.
func TestCallerDisconnectStopsUpstream(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.configure(1, key)
		f.startUpstream("g1", "models", "decode", "10.3.0.2:80", &platformtest.Upstream{Events: 50, Gap: 100 * time.Millisecond})
		f.startNodeAndWait("n1", n1)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		f.requestContext(ctx, n1+":80", http.MethodPost, "/models/1", "prompt", promptHeaders(200))
		f.advance(400 * time.Millisecond)
		if runs := f.runs("g1"); len(runs) != 1 || !runs[0].Abandoned {
			t.Errorf("runs %+v, want one abandoned run", runs)
		}
	})
}

// A request that takes too long gets status 504 at its deadline.
func TestDeadlineExceeded(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.configure(1, key)
		f.startUpstream("g1", "models", "decode", "10.3.0.2:80", &platformtest.Upstream{Events: 1, Gap: time.Minute})
		f.startNodeAndWait("n1", n1)
		start := time.Now()
		r := f.request(n1+":80", http.MethodPost, "/rulings/1", "prompt", promptHeaders(200))
		if took := time.Since(start); r.status != http.StatusGatewayTimeout || took > 2500*time.Millisecond {
			t.Errorf("got %v after %s, want 504 at the deadline of 2.5 s", r, took)
		}
	})
}

// Guards against an event without end that a faulty upstream sends, which would
// fill the node's memory until the request's deadline.
func TestEndlessEventIsCutOff(t *testing.T) {
	const (
		sentAtMost    = 32 << 20 // the upstream stops then
		acceptedLimit = 4 << 20
	)
	for name, block := range map[string]string{"line": "x", "lines": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, key)
				accepted := make(chan int, 1)
				f.startServer("10.3.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/rulings/1" {
						return
					}
					platformtest.BeginResponse(w, r)
					sent, data := 0, []byte(strings.Repeat(block, 1024))
					for sent < sentAtMost {
						n, err := w.Write(data)
						if sent += n; err != nil {
							break
						}
					}
					accepted <- sent
				}))
				f.registerUpstream("g1", "models", "decode", "10.3.0.1:80", "ready")
				f.startNodeAndWait("n1", n1)
				f.expect(f.request(n1+":80", http.MethodPost, "/rulings/1", "prompt", promptHeaders(200)), http.StatusBadGateway, "Broken")
				if n := <-accepted; n > acceptedLimit {
					t.Errorf("%d bytes were accepted, want at most %d", n, acceptedLimit)
				}
			})
		})
	}
}

// A stream without a length or chunks is complete if its connection ends between
// events, and broken off if it ends inside one.
func TestStreamEndsWithItsConnection(t *testing.T) {
	const whole, half = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b"
	for body, complete := range map[string]bool{whole: true, half: false, half + "\n": false} {
		t.Run(fmt.Sprintf("%q", body), func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, key)
				f.startServer("10.3.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return // the test fails without a response
					}
					defer conn.Close()
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s", r.Header.Get("Request-Id"), platformtest.RawSeal, body)
				}))
				f.registerUpstream("g1", "models", "decode", "10.3.0.1:80", "ready")
				f.startNodeAndWait("n1", n1)
				r := f.request(n1+":80", http.MethodPost, "/rulings/1", "prompt", promptHeaders(200))
				if r.status != http.StatusOK || (r.err == nil) != complete || complete && r.body != whole {
					t.Errorf("got %v, want complete %t", r, complete)
				}
			})
		})
	}
}
