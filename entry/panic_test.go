package entry_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

// Guards against an unexpected error in any goroutine of a node that ends the
// process, or ends a background loop for good. The clock is called in all of them,
// so one that panics now and then reaches each.
func TestPanicsEndOnlyTheirWork(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startDesk("d1", "10.2.0.1:80")
		f.configure(1, key)
		var panics atomic.Bool // one call in seven panics
		f.clock = func() time.Duration {
			// By chance, since a regular period can miss one goroutine for ever.
			if panics.Load() && rand.IntN(7) == 0 {
				panic("unexpected")
			}
			return time.Since(f.start)
		}
		f.startNode("n1", n1)
		f.startNode("n2", n2)
		f.advance(3 * time.Second)
		panics.Store(true)
		missing := []string{"request", "Entry.Follow", "follow configuration", "follow upstreams", "follow store reader", "send datagrams"}
		for round := 0; round < 200 || len(missing) > 0 && round < 5000; round++ {
			f.request(n1, http.MethodGet, "/draws/1", "", nil)
			f.request(n2, http.MethodGet, "/draws/1", "", nil)
			f.advance(100 * time.Millisecond)
			var text strings.Builder
			for _, n := range f.nodes {
				n.Metrics.WritePrometheus(&text)
			}
			missing = slices.DeleteFunc(missing, func(where string) bool {
				return strings.Contains(text.String(), `guavagauge_panics_total{where="`+where+`"}`)
			})
		}
		panics.Store(false)
		f.advance(10 * time.Second)
		if len(missing) > 0 {
			t.Errorf("no panic was counted in %q, want the test to reach all", missing)
		}
		// Each background loop still works: the configuration, the upstreams.
		f.configure(2, "key-two")
		f.startDesk("d2", "10.2.0.2:80")
		f.store.Delete(platform.UpstreamPrefix + "d1")
		f.advance(5 * time.Second)
		for _, node := range []string{n1, n2} {
			f.expect(f.request(node, http.MethodGet, "/draws/2", "", keyHeader("key-two")), http.StatusOK, "answer of d2")
			f.expect(f.request(node, http.MethodGet, "/draws/3", "", nil), http.StatusUnauthorized, "Key")
		}
	})
}
