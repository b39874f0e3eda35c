package entry_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

// Guards against requests to an upstream whose answers said that it leaves: while
// its entry still says ready, while the store is down, and after its entry was
// removed and written again. A new instance under the same ID gets requests.
func TestUpstreamThatSaysItLeavesGetsNoRequests(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startDesk("d1", "10.2.0.1:80")
		f.configure(1, key)
		f.startNodeAndWait("n1", "10.1.0.1")
		leaving := f.upstreams["d1"]
		leaving.SetLeaving(true)
		f.expect(f.request("10.1.0.1", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer of d1")
		f.startDesk("d2", "10.2.0.2:80")
		f.advance(time.Second)
		arrivals := leaving.Arrivals()
		ask := func(what string) {
			t.Helper()
			for range 10 {
				f.expect(f.request("10.1.0.1", http.MethodGet, "/draws/2", "", nil), http.StatusOK, "answer of d2")
			}
			if n := leaving.Arrivals() - arrivals; n > 0 {
				t.Errorf("%s: %d requests reached the leaving upstream", what, n)
			}
		}
		ask("entry says ready")
		// A late heartbeat of the same instance.
		f.registerUpstreamStartedAt("d1", "desk", "", "10.2.0.1:80", "ready", f.start)
		f.advance(time.Second)
		ask("entry was written again")
		f.store.Refuse("10.1.0.1", true)
		f.advance(3 * time.Second)
		ask("store is down")
		f.store.Refuse("10.1.0.1", false)
		f.store.Delete(platform.UpstreamPrefix + "d1")
		f.advance(4 * time.Second)
		f.registerUpstreamStartedAt("d1", "desk", "", "10.2.0.1:80", "ready", f.start)
		f.advance(2 * time.Second)
		ask("entry was removed and written again")
		leaving.SetLeaving(false)
		f.registerUpstream("d1", "desk", "", "10.2.0.1:80", "ready")
		f.store.Delete(platform.UpstreamPrefix + "d2")
		f.advance(4 * time.Second)
		f.expect(f.request("10.1.0.1", http.MethodGet, "/draws/3", "", nil), http.StatusOK, "answer of d1")
	})
}

// Guards against requests to an upstream that asked for a pause, and against a
// refusal with a Retry-After value that isn't true.
func TestUpstreamThatAsksForPauseGetsNoRequests(t *testing.T) {
	const pause = 3 * time.Second
	for name, c := range map[string]struct {
		path, service, stage string
		header               http.Header
	}{
		"plain":  {"/draws/1", "desk", "", nil},
		"stream": {"/models/1", "models", "decode", promptHeaders(100)},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				upstream := &platformtest.Upstream{Script: &platformtest.FaultScript{}, Pause: "3"}
				if c.service == "models" {
					upstream.Events = 2
				}
				f.startUpstream("u1", c.service, c.stage, "10.2.0.1:80", upstream)
				f.configure(1, key)
				f.startNodeAndWait("n1", "10.1.0.1")
				f.advance(2 * time.Second) // until the node has listed the engine's cached parts
				upstream.Script.Add(platformtest.RejectWithPause)
				arrivals := upstream.Arrivals()
				for range 8 {
					r := f.request("10.1.0.1", http.MethodGet, c.path, "", c.header)
					f.expect(r, http.StatusServiceUnavailable, "Paused")
					if seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || seconds > pause.Seconds() || seconds < 0.3 {
						t.Errorf("Retry-After %q, want the rest of the pause", r.header.Get("Retry-After"))
					}
					f.advance(300 * time.Millisecond)
				}
				if n := upstream.Arrivals() - arrivals; n != 1 {
					t.Errorf("%d requests reached the upstream during the pause, want only the one that it answered with it", n)
				}
				f.advance(time.Second)
				f.expect(f.request("10.1.0.1", http.MethodGet, c.path, "", c.header), http.StatusOK, "")
				// With another upstream, nobody is refused.
				second := &platformtest.Upstream{Events: upstream.Events}
				f.startUpstream("u2", c.service, c.stage, "10.2.0.2:80", second)
				f.advance(time.Second)
				upstream.Script.Add(platformtest.RejectWithPause)
				for range 10 {
					f.expect(f.request("10.1.0.1", http.MethodGet, c.path, "", c.header), http.StatusOK, "")
				}
			})
		})
	}
}
