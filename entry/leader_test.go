package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// Every request that ran is reported exactly once, even if the store refuses the
// leader's calls or loses its responses, or a node stops after serving.
func TestUsageIsReportedOnce(t *testing.T) {
	for name, fault := range map[string]func(f *testFleet){
		"calm":                 func(*testFleet) {},
		"store refuses leader": func(f *testFleet) { f.store.Refuse(n1, true) },
		"store responses lost": func(f *testFleet) { f.store.DropResponses(5) },
		"node stops":           func(f *testFleet) { go f.nodes["n2"].Stop(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startThreeNodes()
				f.advance(10 * time.Second)
				windowsBefore, requestsBefore := f.cloud.Windows()
				const rounds = 20
				for i := range rounds {
					for _, address := range f.nodeAddresses() {
						f.expect(f.request(address+":80", http.MethodPost, "/entries/1", "", nil), http.StatusOK, "")
					}
					if i == rounds-1 {
						fault(f)
					}
				}
				f.advance(20 * time.Second)
				windowsAfter, requestsAfter := f.cloud.Windows()
				if got := requestsAfter - requestsBefore; got != rounds*3 {
					t.Errorf("%d requests reported, want %d", got, rounds*3)
				}
				if windowsAfter <= windowsBefore {
					t.Errorf("%d windows reported, no more than before the requests", windowsAfter)
				}
				for _, violation := range f.cloud.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// A stopping node reports that it isn't ready, and accepts requests until the load
// balancer has removed it.
func TestGracefulStop(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startFleet()
		go f.nodes["n1"].Stop(context.Background())
		f.advance(time.Second)
		f.expect(f.request(n1+":81", http.MethodGet, "/v1/readiness", "", nil), http.StatusServiceUnavailable, "")
		f.expect(f.request(n1+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
		f.advance(5 * time.Second)
		if r := f.request(n1+":80", http.MethodGet, "/draws/1", "", nil); r.err == nil {
			t.Errorf("after the stop: %v, want no connection", r)
		}
	})
}
