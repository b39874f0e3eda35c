package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

// Guards against a slow but sound stream that is cut off, and against a stalled one
// that goes on for ever because its upstream sends a byte now and then.
func TestSlowStreamsEndAndStalledOnesAreCut(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.configure(1, key)
		f.startUpstream("g1", "models", "decode", "10.2.0.1:80", &platformtest.Upstream{Events: 3, Gap: 700 * time.Millisecond})
		f.startNodeAndWait("n1", n1)
		f.expect(f.request(n1, http.MethodPost, "/rulings/1", "prompt", promptHeaders(100)), http.StatusOK, "id: 3\ndata: piece 3\n\n")

		f.startServer("10.2.0.9:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			platformtest.BeginResponse(w, r)
			for r.Context().Err() == nil {
				<-time.After(200 * time.Millisecond)
				if _, err := io.WriteString(w, ":"); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush() // fails when the caller has gone
			}
		}))
		f.registerUpstream("g2", "models", "decode", "10.2.0.9:80", "ready")
		f.store.Delete(platform.UpstreamPrefix + "g1")
		f.advance(4 * time.Second)
		begun := time.Now()
		r := f.request(n1, http.MethodPost, "/rulings/2", "prompt", promptHeaders(100))
		f.expect(r, http.StatusGatewayTimeout, "Timeout")
		// The caller's deadline is 2.5 s.
		if took := time.Since(begun); took > 2500*time.Millisecond {
			t.Errorf("the stalled stream ended after %s, want before the caller's deadline", took)
		}
	})
}

// Guards against requests that get no answer around a planned stop under load: those
// in flight when it begins, and those that are accepted during it.
func TestStopUnderLoadAnswersAllRequests(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.configure(1, key)
		for i := range 4 {
			engine := &platformtest.Upstream{Events: 3, Gap: 500 * time.Millisecond}
			f.startUpstream(fmt.Sprintf("g%d", i), "models", "decode", fmt.Sprintf("10.2.1.%d:80", i+1), engine)
		}
		f.startDesk("d1", "10.2.0.2:80")
		f.startNodeAndWait("n1", n1)
		var running sync.WaitGroup
		ask := func(path string, header http.Header, want string) {
			running.Go(func() {
				if r := f.request(n1, http.MethodPost, path, "x", header); r.err != nil || r.status != http.StatusOK {
					t.Errorf("%s: %v, want 200 with %q", path, r, want)
				}
			})
		}
		for i := range 10 {
			ask(fmt.Sprintf("/rulings/%d", i), promptHeaders(100), "piece 3")
		}
		<-time.After(100 * time.Millisecond)
		stopped := make(chan struct{})
		ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
		defer cancel()
		go func() { f.nodes["n1"].Stop(ctx); close(stopped) }()
		// The load balancer asks once a second, and takes the node out after two misses.
		for i := range 20 {
			ask(fmt.Sprintf("/rulings/s%d", i), promptHeaders(100), "piece 3")
			ask(fmt.Sprintf("/entries/s%d", i), nil, "answer of d1")
			<-time.After(100 * time.Millisecond)
		}
		running.Wait()
		<-stopped
	})
}
