package planner_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/intenttest"
	"github.com/guavagauge/guavagauge/planner"
	"github.com/guavagauge/guavagauge/rapidtest"
	"github.com/guavagauge/guavagauge/storetest"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Defaults{"rapid.seed": "20260401", "rapid.checks": "15", "rapid.nofailfile": "true"})
}

type event struct {
	name  string
	index int
	pause time.Duration
}

// Guards against conflicting orders to engines that check epochs, changes that
// abort requests, and changes that don't end once the faults have, under random
// combinations of faults of holders, engines, the store and the network.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"wish", "wish", "load model", "new holder", "new holder", "pause", "continue", "lose", "down", "up", "crash", "cut", "heal"}
		var events []event
		for range rapid.IntRange(5, 40).Draw(rt, "events") {
			events = append(events, event{
				rapid.SampledFrom(names).Draw(rt, "name"), rapid.IntRange(0, 2).Draw(rt, "which"),
				time.Duration(rapid.IntRange(0, 9000).Draw(rt, "ms")) * time.Millisecond,
			})
		}
		ok := t.Run("", func(t *testing.T) {
			withHarness(t, fenced(3), func(h *harness) { h.runEvents(events) })
		})
		if !ok {
			rt.Fatal("the subtest failed")
		}
	})
}

// runEvents injects the events, ends all faults and checks the final state.
func (h *harness) runEvents(events []event) {
	h.startLoad(0)
	var holders []*intenttest.Lease
	newHolder := func() {
		held := h.lease.Acquire(h.ctx)
		holders = append(holders, held)
		h.startPlanner(held)
	}
	newHolder()
	host := func(i int) string { return fmt.Sprintf("10.0.0.%d", i+2) }
	for _, event := range events {
		h.injectEvent(event, holders, newHolder, host(event.index))
		time.Sleep(event.pause)
	}
	h.setRequests()
	h.store.SetDown(false)
	for i, e := range h.engines {
		h.network.Heal("10.0.0.1", host(i))
		e.Restart()
	}
	for _, held := range holders {
		held.Continue()
	}
	time.Sleep(time.Second)
	newHolder()
	time.Sleep(3 * time.Minute)
	h.checkFinalState(0)
}

func (h *harness) injectEvent(event event, holders []*intenttest.Lease, newHolder func(), host string) {
	last, key := holders[len(holders)-1], h.fleet[event.index].Key
	roles := []engine.Role{engine.Prefill, engine.Decode, engine.Mixed}
	switch event.name {
	case "wish":
		h.setRequests(roleRequest(key, roles[int(event.pause)%len(roles)]))
	case "load model":
		h.setRequests(planner.ChangeRequest{Engine: key, Kind: engine.OrderLoad, Model: "n"})
	case "new holder":
		newHolder()
	case "pause":
		last.Pause(event.index)
	case "continue":
		holders[event.index%len(holders)].Continue()
	case "lose":
		h.store.DropResponses(storetest.Put, event.index)
	case "down", "up":
		h.store.SetDown(event.name == "down")
	case "crash":
		h.engines[event.index].Crash()
		time.Sleep(time.Second)
		h.engines[event.index].Restart()
	case "cut":
		h.network.Cut("10.0.0.1", host)
	case "heal":
		h.network.Heal("10.0.0.1", host)
	}
}
