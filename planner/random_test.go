package planner_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/intenttest"
	"github.com/guavagauge/guavagauge/planner"
	"github.com/guavagauge/guavagauge/storetest"
)

// TestMain fixes the seed of randomised runs unless -rapid.seed gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20260401", "rapid.checks": "15", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		flag.Set(name, value)
	}
	os.Exit(m.Run())
}

type event struct {
	name  string
	which int
	after time.Duration
}

// Guards against faults in combination: whatever happens to holders, engines,
// the store and the network, checking engines see no conflicting orders, no
// planned change cuts a request, and all changes end once the faults do.
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
			newWorld(t, checked(3), func(w *world) { w.suffer(events) })
		})
		if !ok {
			rt.Fatal("see the subtest")
		}
	})
}

// suffer goes through events, ends all faults and checks what must hold.
func (w *world) suffer(events []event) {
	w.load(0)
	var holders []*intenttest.Lease
	newHolder := func() {
		held := w.lease.Acquire(w.ctx)
		holders = append(holders, held)
		w.hold(held)
	}
	newHolder()
	host := func(i int) string { return fmt.Sprintf("10.0.0.%d", i+2) }
	for _, event := range events {
		w.happen(event, holders, newHolder, host(event.which))
		time.Sleep(event.after)
	}
	w.wish()
	w.store.SetDown(false)
	for i, e := range w.engines {
		w.network.Heal("10.0.0.1", host(i))
		e.Restart()
	}
	for _, held := range holders {
		held.Continue()
	}
	time.Sleep(time.Second)
	newHolder()
	time.Sleep(3 * time.Minute)
	w.calm(0)
}

func (w *world) happen(event event, holders []*intenttest.Lease, newHolder func(), host string) {
	last, key := holders[len(holders)-1], w.fleet[event.which].Key
	roles := []engine.Role{engine.Prefill, engine.Decode, engine.Mixed}
	switch event.name {
	case "wish":
		w.wish(role(key, roles[int(event.after)%len(roles)]))
	case "load model":
		w.wish(planner.ChangeRequest{Engine: key, Kind: engine.OrderLoad, Model: "n"})
	case "new holder":
		newHolder()
	case "pause":
		last.Pause(event.which)
	case "continue":
		holders[event.which%len(holders)].Continue()
	case "lose":
		w.store.DropResponses(storetest.Put, event.which)
	case "down", "up":
		w.store.SetDown(event.name == "down")
	case "crash":
		w.engines[event.which].Crash()
		time.Sleep(time.Second)
		w.engines[event.which].Restart()
	case "cut":
		w.network.Cut("10.0.0.1", host)
	case "heal":
		w.network.Heal("10.0.0.1", host)
	}
}
