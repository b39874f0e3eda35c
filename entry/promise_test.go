package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
)

// refusalShape is a raw response of an upstream that runs a request and then says with
// STATUS that it can't serve it, without saying that the request has not run.
type refusalShape struct {
	head, body string
	broken     bool // the response ends before its body does
}

const refusalLine = "HTTP/1.1 STATUS Refused\r\nRequest-Id: ID\r\n" + platformtest.RawSeal

var refusalShapes = map[string]refusalShape{
	"length":         {"Content-Length: 4\r\n", "busy", false},
	"no body":        {"Content-Length: 0\r\n", "", false},
	"retry after":    {"Retry-After: 0.2\r\nContent-Length: 4\r\n", "busy", false},
	"chunks":         {"Transfer-Encoding: chunked\r\n", "4\r\nbusy\r\n0\r\n\r\n", false},
	"until close":    {"Connection: close\r\n", "busy", false},
	"more than read": {"Content-Length: 1572864\r\n", strings.Repeat("x", 3<<19), false},
	"events":         {"Content-Type: text/event-stream\r\nContent-Length: 17\r\n", "id: 1\ndata: busy\n", false},
	"cut":            {"Content-Length: 50\r\n", "busy", true},
	"cut when long":  {"Content-Length: 1572865\r\n", strings.Repeat("x", 3<<19), true},
}

// startRefusing starts two upstreams of each service that answer with the shape, and
// returns the number of requests that arrived at them.
func (f *testFleet) startRefusing(status int, shape refusalShape) (arrivals *atomic.Int64) {
	arrivals = &atomic.Int64{}
	raw := strings.Replace(refusalLine, "STATUS", strconv.Itoa(status), 1) + shape.head + "\r\n" + shape.body
	for i, service := range []string{"desk", "desk", "models", "models"} {
		stage := map[string]string{"models": "decode"}[service]
		f.startBroken(fmt.Sprintf("u%d", i), service, stage, fmt.Sprintf("10.3.0.%d:80", i+1), raw, false, func(*http.Request) { arrivals.Add(1) })
	}
	f.startNodeAndWait("n1", n1)
	return arrivals
}

// Guards against a status of an upstream that callers take as the promise that their
// request has not run, although it has: they send it again, and it runs twice.
func TestUnconfirmedRefusalIsNotForwarded(t *testing.T) {
	for name, shape := range refusalShapes {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprintf("%s, %d", name, status), func(t *testing.T) {
				runWithFleet(t, func(f *testFleet) {
					f.configure(1, key)
					arrivals := f.startRefusing(status, shape)
					for _, path := range []string{"/entries/1", "/rulings/1", "/drafts/1"} {
						f.advance(100 * time.Millisecond) // the upstream closes its connection after each response
						arrivals.Store(0)
						header := promptHeaders(200)
						header.Set("Idempotency-Key", "k1")
						r := f.request(n1+":80", http.MethodPost, path, "prompt", header)
						if r.err != nil || r.status != http.StatusBadGateway || platformtest.Seal(r.header) != "" || r.header.Get("Retry-After") != "" {
							t.Errorf("%s: got %.80q with header %v, want 502 without the seal and Retry-After", path, r, r.header)
						}
						if got := r.header.Get("Work-Status"); got != "MayHaveRun" {
							t.Errorf("%s: Work-Status %q, want MayHaveRun", path, got)
						}
						if want := fmt.Sprintf(`{"Reason":"Unconfirmed","UpstreamStatus":%d}`+"\n", status); !shape.broken && r.body != want {
							t.Errorf("%s: body %.80q, want %q", path, r.body, want)
						}
						if n := arrivals.Load(); n != 1 {
							t.Errorf("%s: %d requests reached upstreams, want 1", path, n)
						}
					}
				})
			})
		}
	}
}

// Guards against replacing what an upstream says where its status promises nothing or
// the request may run again: callers get it unchanged, with the seal.
func TestOtherUpstreamStatusesAreForwarded(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
	}{
		{"/draws/1", http.StatusServiceUnavailable},
		{"/draws/1", http.StatusTooManyRequests},
		{"/draws/1", http.StatusRequestTimeout},
		{"/models/1", http.StatusServiceUnavailable},
		{"/models/1", http.StatusTooManyRequests},
		{"/entries/1", http.StatusBadRequest},
		{"/entries/1", http.StatusConflict},
		{"/entries/1", http.StatusInternalServerError},
		{"/entries/1", http.StatusBadGateway},
		{"/entries/1", http.StatusGatewayTimeout},
		{"/rulings/1", http.StatusInternalServerError},
	} {
		t.Run(fmt.Sprintf("%s, %d", c.path, c.status), func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, key)
				f.startRefusing(c.status, refusalShapes["retry after"])
				r := f.request(n1+":80", http.MethodPost, c.path, "prompt", promptHeaders(200))
				if r.err != nil || r.status != c.status || r.body != "busy" || platformtest.Seal(r.header) == "" || r.header.Get("Retry-After") != "0.2" {
					t.Errorf("got %v with header %v, want the response of the upstream", r, r.header)
				}
			})
		})
	}
}

// Guards against a promise of the node's own that isn't true: each failure that it
// answers itself says whether the request may have run.
func TestOwnFailuresTellWhetherRequestMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		fault  platformtest.Fault
		status int
		want   string
	}{
		"rejected by all": {platformtest.Reject, http.StatusServiceUnavailable, "NotRun"},
		"no answer":       {platformtest.Reset, http.StatusBadGateway, "MayHaveRun"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startFleet()
				f.script.Add(c.fault, c.fault)
				r := f.request(n1+":80", http.MethodPost, "/entries/1", "body", nil)
				if r.status != c.status || r.header.Get("Work-Status") != c.want {
					t.Errorf("got %v, Work-Status %q, want %d, %s", r, r.header.Get("Work-Status"), c.status, c.want)
				}
			})
		})
	}
}
