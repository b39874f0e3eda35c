package entry_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against clients of the listeners beside that for callers which hold any
// number of connections for as long as they like, or keep others out.
func TestLimitsOfOtherListeners(t *testing.T) {
	const crowd = 1000
	for _, test := range []struct {
		name, address, sent, path string
	}{
		{"readiness listener", "10.1.0.1:81", "GET /", "/v1/readiness"},
		{"peer listener", "10.1.0.1:82", "C\x20", ""},
		{"profile listener", "10.1.0.1:83", "GET /", "/debug/pprof/goroutine"},
		{"metrics listener", "10.1.0.1:84", "GET /", "/metrics"},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startDesk("d1", "10.2.0.1:80")
				f.configure(1, key)
				f.startNodeAndWait("n1", "10.1.0.1")
				conns, err := f.network.Host(callerHost).DialCrowd(context.Background(), netip.MustParseAddrPort(test.address), crowd, test.sent)
				if err != nil {
					t.Fatal(err)
				}
				defer conns.Close()
				synctest.Wait()
				if n := conns.Open(); n == crowd {
					t.Errorf("%d connections are open, want fewer", n)
				}
				if test.path != "" {
					f.expect(f.request(test.address, http.MethodGet, test.path, "", nil), http.StatusOK, "")
				}
				f.advance(time.Minute)
				if n := conns.Open(); n > 0 {
					t.Errorf("%d connections with a part of a request are open after a minute", n)
				}
				var text strings.Builder
				f.nodes["n1"].Metrics.WritePrometheus(&text)
				for _, reason := range []string{"Replaced", "Timeout"} {
					if name := `guavagauge_entry_listener_closed_total{listener="` + test.name + `",reason="` + reason + `"}`; !strings.Contains(text.String(), name) {
						t.Errorf("no %s", name)
					}
				}
			})
		})
	}
}
