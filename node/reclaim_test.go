package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/provider"
)

// Guards against requests that are lost, moved too late or suspected of crashing
// their upstreams when all reclaimable upstreams of a failure domain end a few
// seconds after the reclaim notice.
func TestReclaimMovesRunningRequests(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for i := range 3 {
			spec := &c.config.Upstreams[i]
			if spec.FailureDomain == "a" {
				spec.Capacity = fleet.Reclaimable
			}
			spec.Slots = 16
			c.platform.Add(provider.VM{
				Name: spec.Name, Kind: provider.Upstream, Address: spec.Address, FailureDomain: spec.FailureDomain,
				Capacity: provider.CapacityType(spec.Capacity), State: provider.Live,
			})
		}
		c.applyConfig()
		const requests = 12
		var group sync.WaitGroup
		for i := range requests {
			group.Go(func() {
				prompt := fmt.Sprint("reclaim ", i)
				if a := c.complete(i%3, alphaKey, prompt, 300, true); !a.finished || a.text != wantText(prompt, 300) {
					t.Errorf("request %d: status %d, finished %t, %v", i, a.status, a.finished, a.err)
				}
			})
		}
		time.Sleep(2 * time.Second)
		c.platform.Reclaim("a")
		time.Sleep(3 * time.Second) // the notice is five seconds long
		moved := 0
		for i, e := range c.engines {
			if s := e.Stats(); c.config.Upstreams[i].FailureDomain == "a" {
				if running := s.Started - s.Completed - s.Canceled - s.Broken; running > 0 {
					t.Errorf("%d requests still run on %s", running, c.config.Upstreams[i].Name)
				}
				moved += s.Canceled
				e.Crash()
			}
		}
		if moved == 0 {
			t.Error("no request was moved off the reclaimed upstreams")
		}
		group.Wait()
		for i := range 3 {
			if a := c.complete(i, alphaKey, "after", 5, false); a.status != http.StatusOK {
				t.Errorf("node %d after the reclaim: %d %s", i, a.status, a.body)
			}
		}
	})
}
