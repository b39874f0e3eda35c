package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// Each window is reported once with the requests that ran, also when its holder
// is turned away by the store or a node dies after it has served.
func TestUsageIsReportedOnce(t *testing.T) {
	for name, fault := range map[string]func(f *testFleet){
		"calm":                 func(*testFleet) {},
		"store refuses holder": func(f *testFleet) { f.store.Refuse(n1, true) },
		"answers lost":         func(f *testFleet) { f.store.DropResponses(5) },
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
					t.Errorf("%d windows reported, as many as before", windowsAfter)
				}
				for _, violation := range f.cloud.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// A stopping node says that it isn't ready and serves on until the balancer has
// noticed.
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
