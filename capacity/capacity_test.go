package capacity_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/capacity"
	"github.com/guavagauge/guavagauge/intent"
	"github.com/guavagauge/guavagauge/intenttest"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/providertest"
	"github.com/guavagauge/guavagauge/storetest"
)

const domain = "limpopo-a"

// TestMain fixes the seed of randomised runs unless -rapid.seed gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20260402", "rapid.checks": "60", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// world is a failure domain with its manager and requests of ten seconds each.
type world struct {
	t        *testing.T
	ctx      context.Context
	store    *storetest.Server
	platform *providertest.Server
	lease    intenttest.Issuer
	set      *metrics.Set
	decide   func(capacity.View) capacity.Plan // nil: the default

	mu       sync.Mutex
	deaf     bool            // schedulers can't be told anything
	told     map[string]bool // what the schedulers were told to drain
	versions map[string]intent.SequenceNumber
	draining map[string]bool // what they drain, three seconds later
	load     map[string]capacity.Load
	gone     map[string]bool
	cut      []string // requests that a stop cut off
	late     []string // upstreams that were given work after their end
}

func newWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Minute); synctest.Wait() }()
		w := &world{
			t: t, ctx: ctx, store: storetest.New(storetest.Options{}), set: metrics.NewSet(),
			told: make(map[string]bool), versions: make(map[string]intent.SequenceNumber), draining: make(map[string]bool), load: make(map[string]capacity.Load), gone: make(map[string]bool),
		}
		w.platform = providertest.New(ctx, providertest.Options{OnEnd: w.ended})
		w.platform.Add(provider.VM{Name: "first", Kind: provider.Upstream, FailureDomain: domain, Capacity: provider.Reserved, State: provider.Live})
		w.platform.Add(provider.VM{Name: "other", Kind: provider.Upstream, FailureDomain: "kzn-a", Capacity: provider.Reserved, State: provider.Live})
		w.platform.Add(provider.VM{Name: "entry", Kind: provider.Entry, FailureDomain: domain, Capacity: provider.Reserved, State: provider.Live})
		time.Sleep(10 * time.Second) // until they are on the list
		test(w)
	})
}

// ended notes what the end of an upstream cut off.
func (w *world) ended(vm provider.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[vm.Name] = true
	if l := w.load[vm.Name]; l.Running > 0 && vm.State != provider.Leaving {
		w.cut = append(w.cut, fmt.Sprintf("%d on %s", l.Running, vm.Name))
	}
	delete(w.load, vm.Name)
}

// request runs one on a live upstream that isn't draining, as a scheduler does.
func (w *world) request(n int) {
	vms := slices.DeleteFunc(w.platform.CurrentVMs(), func(vm provider.VM) bool {
		return vm.FailureDomain != domain || vm.Kind != provider.Upstream || vm.State != provider.Live
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	vms = slices.DeleteFunc(vms, func(vm provider.VM) bool { return w.draining[vm.Name] })
	if len(vms) == 0 {
		return
	}
	name := vms[n%len(vms)].Name
	if w.gone[name] {
		w.late = append(w.late, name)
	}
	l := w.load[name]
	l.Running++
	l.Started++
	w.load[name] = l
	go func() {
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if l := w.load[name]; l.Running > 0 {
			l.Running--
			w.load[name] = l
		}
	}()
}

// hold runs a manager under a new authority until that ends.
func (w *world) hold(authority intent.Lease) (ended <-chan error) {
	m := capacity.New(capacity.Options{
		FailureDomain: domain, Store: w.store.Client("node"), Platform: w.platform, Decide: w.decide, DecideEvery: time.Second,
		Load: func(context.Context) (map[string]capacity.Load, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			load := make(map[string]capacity.Load)
			for name, l := range w.load {
				load[name] = l
			}
			return load, nil
		},
		Drain: func(_ context.Context, notice capacity.DrainNotice) error {
			name := notice.VM.Name
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.deaf {
				return errors.New("stewards not reached")
			}
			if notice.Version.Before(w.versions[name]) {
				return nil
			}
			w.told[name], w.versions[name] = notice.Draining, notice.Version
			go func() {
				time.Sleep(3 * time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				w.draining[name] = w.told[name]
			}()
			return nil
		},
		Checker: invariant.New(slog.New(slog.DiscardHandler), w.set, invariant.Options{}), Metrics: w.set,
	})
	result := make(chan error, 1)
	go func() { result <- m.Run(w.ctx, authority) }()
	return result
}

// decideTo asks for numbers of upstreams that stay.
func (w *world) decideTo(reserved, reclaimable *int) {
	w.decide = func(view capacity.View) (plan capacity.Plan) {
		w.mu.Lock()
		defer w.mu.Unlock()
		haveReserved, haveReclaimable := view.Counts()
		plan.StartReserved, plan.StopReserved = max(*reserved-haveReserved, 0), max(haveReserved-*reserved, 0)
		plan.StartReclaimable, plan.StopReclaimable = max(*reclaimable-haveReclaimable, 0), max(haveReclaimable-*reclaimable, 0)
		if view.ReclaimableUnavailable {
			plan.StartReclaimable = 0
		}
		return plan
	}
}

func (w *world) want(reserved, reclaimable *int, a, b int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*reserved, *reclaimable = a, b
}

// running counts the upstreams of the failure domain that exist.
func (w *world) running() (reserved, reclaimable int) {
	for _, vm := range w.platform.CurrentVMs() {
		switch {
		case vm.FailureDomain != domain || vm.Kind != provider.Upstream:
		case vm.Capacity == provider.Reclaimable:
			reclaimable++
		default:
			reserved++
		}
	}
	return reserved, reclaimable
}

// calm checks what must hold at the end.
func (w *world) calm(reserved, reclaimable int) {
	w.t.Helper()
	if a, b := w.running(); a != reserved || b != reclaimable {
		w.t.Errorf("%d reserved and %d reclaimable, want %d and %d", a, b, reserved, reclaimable)
	}
	if conflicts := w.platform.Violations(); len(conflicts) > 0 {
		w.t.Errorf("conflicting orders: %q", conflicts)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.cut) > 0 || len(w.late) > 0 {
		w.t.Errorf("requests cut by stops: %q, sent too late: %q", w.cut, w.late)
	}
	for _, vm := range w.platform.CurrentVMs() {
		if w.draining[vm.Name] {
			w.t.Errorf("%s still drains", vm.Name)
		}
	}
	entry, err := w.store.Client("test").Get(w.ctx, capacity.Key(domain))
	if text := string(entry.Value); err != nil || strings.Contains(text, "Pending") || strings.Contains(text, "Draining") || strings.Contains(text, "Ordered") {
		w.t.Errorf("intents left: %s, %v", text, err)
	}
	var text bytes.Buffer
	if w.set.WritePrometheus(&text); strings.Contains(text.String(), "invariant_broken") {
		w.t.Errorf("invariants broken:\n%s", text.String())
	}
}

// Guards against two orders for one deficit while the list lags, a start whose
// lost answer leads to a second one, stops that cut requests, and work on an
// upstream that leaves.
func TestStartAndStop(t *testing.T) {
	newWorld(t, func(w *world) {
		reserved, reclaimable := 3, 2
		w.decideTo(&reserved, &reclaimable)
		w.platform.DropResponses(3)
		w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(2 * time.Minute)
		w.calm(3, 2)
		for n := range 40 { // more than two requests on each
			w.request(n)
			time.Sleep(200 * time.Millisecond)
		}
		w.platform.DropResponses(2)
		w.want(&reserved, &reclaimable, 1, 1)
		for n := range 60 {
			w.request(n)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		w.calm(1, 1)
		w.want(&reserved, &reclaimable, 0, 1)
		for n := range 4 { // on both upstreams
			w.request(n)
		}
		time.Sleep(8 * time.Second) // drained, but requests still run
		w.want(&reserved, &reclaimable, 1, 1)
		time.Sleep(time.Minute)
		w.calm(1, 1)
		if n := len(w.platform.Records()); n != 3+2+5 {
			t.Errorf("%d orders sent, want 10: the revoked stop needs none", n)
		}
	})
}

// Guards against a domain without capacity when the platform has none of the
// cheap kind, and against work on upstreams with a notice of reclaim.
func TestNoneAvailableAndReclaim(t *testing.T) {
	newWorld(t, func(w *world) {
		reserved, reclaimable := 1, 4
		w.decideTo(&reserved, &reclaimable)
		w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(2 * time.Minute)
		w.calm(1, 4)
		w.platform.SetAvailable(domain, provider.Reclaimable, 0)
		w.platform.Reclaim(domain)
		time.Sleep(2 * time.Second)
		leaving := w.platform.CurrentVMs()
		w.mu.Lock()
		for _, vm := range leaving {
			if vm.Capacity == provider.Reclaimable && !w.told[vm.Name] {
				t.Errorf("%s isn't drained two seconds after the notice", vm.Name)
			}
		}
		w.mu.Unlock()
		time.Sleep(2 * time.Second) // the decision of this test stops them soon
		if a, _ := w.running(); a != 5 {
			t.Errorf("%d reserved, want 5 once there are no reclaimable ones", a)
		}
		time.Sleep(5 * time.Minute)
		if conflicts := w.platform.Violations(); len(conflicts) > 0 {
			t.Errorf("%q", conflicts)
		}
	})
}

// Guards against a second order by a successor for the same deficit, when the
// holder died or was paused at any moment, or the store lost an answer.
func TestHolderReplaced(t *testing.T) {
	for passes := range 10 {
		for _, paused := range []bool{false, true} {
			for lost := range 3 {
				newWorld(t, func(w *world) {
					reserved, reclaimable := 2, 2
					w.decideTo(&reserved, &reclaimable)
					w.store.DropResponses(storetest.Put, lost)
					first := w.lease.Acquire(w.ctx)
					first.Pause(passes)
					w.hold(first)
					time.Sleep(30 * time.Second)
					w.hold(w.lease.Acquire(w.ctx))
					if paused {
						time.Sleep(5 * time.Second)
						first.Continue()
					}
					time.Sleep(3 * time.Minute)
					first.Continue()
					time.Sleep(time.Minute)
					w.calm(2, 2)
				})
			}
		}
	}
}

// Guards against a stop that a successor repeats although the upstream is busy
// again, since the schedulers forgot the drain in between.
func TestStopOfPredecessor(t *testing.T) {
	newWorld(t, func(w *world) {
		w.platform.Add(provider.VM{Name: "second", Kind: provider.Upstream, FailureDomain: domain, Capacity: provider.Reserved, State: provider.Live})
		time.Sleep(10 * time.Second)
		reserved, reclaimable := 1, 0
		w.decideTo(&reserved, &reclaimable)
		first := w.lease.Acquire(w.ctx)
		first.Pause(4) // three writes and a notice to schedulers come before the order
		w.hold(first)
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		clear(w.draining)
		w.mu.Unlock()
		for n := range 10 {
			w.request(n)
		}
		if len(w.platform.Records()) > 0 {
			t.Fatal("the order was sent before the pause")
		}
		w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(time.Minute)
		first.Continue()
		time.Sleep(time.Minute)
		w.calm(1, 0)
	})
}

// Guards against two holders that go unnoticed.
func TestTwoHolders(t *testing.T) {
	newWorld(t, func(w *world) {
		reserved, reclaimable := 2, 0
		w.decideTo(&reserved, &reclaimable)
		first := w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(2 * time.Second)
		w.hold(w.lease.Duplicate(w.ctx))
		w.want(&reserved, &reclaimable, 3, 0)
		if err := <-first; !errors.Is(err, intent.ErrSuperseded) {
			t.Errorf("the first holder ended with %v", err)
		}
		if broken := w.set.GetOrCreateCounter(`guavagauge_invariant_broken_total{name="I5"}`).Get(); broken == 0 {
			t.Error("two holders weren't noticed")
		}
		time.Sleep(2 * time.Minute)
		if conflicts := w.platform.Violations(); len(conflicts) > 0 {
			t.Errorf("%q", conflicts)
		}
	})
}

// Guards against the default decision starting on a short peak, not at all, or
// stopping the last upstream.
func TestThreshold(t *testing.T) {
	newWorld(t, func(w *world) {
		w.hold(w.lease.Acquire(w.ctx))
		queue := func(n int, wait time.Duration) {
			w.mu.Lock()
			w.load["first"] = capacity.Load{Queued: n}
			w.mu.Unlock()
			time.Sleep(wait)
		}
		queue(9, 10*time.Second)
		queue(0, 20*time.Second)
		w.calm(1, 0)
		queue(9, 20*time.Second)
		queue(0, 2*time.Minute)
		w.calm(1, 1)
		queue(0, 10*time.Minute)
		w.calm(1, 0)
	})
}

// Guards against a plan of package policy that isn't carried out.
func TestPolicy(t *testing.T) {
	newWorld(t, func(w *world) {
		need := 4.0
		w.decide = capacity.NewPolicy(capacity.PolicyOptions{
			Preferences: policy.Goodput(),
			RequiredUpstreams: func(capacity.View) (float64, float64) {
				w.mu.Lock()
				defer w.mu.Unlock()
				return need, 1
			},
		})
		w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(10 * time.Minute)
		reserved, reclaimable := w.running()
		if reserved+reclaimable < 4 || reclaimable == 0 {
			t.Errorf("%d reserved and %d reclaimable for a need of 4", reserved, reclaimable)
		}
		w.mu.Lock()
		need = 0.5
		w.mu.Unlock()
		time.Sleep(6 * time.Hour)
		if a, b := w.running(); a+b >= reserved+reclaimable || a+b == 0 {
			t.Errorf("%d reserved and %d reclaimable for a need of 0.5", a, b)
		}
		a, b := w.running()
		w.calm(a, b)
	})
}

// Guards against a cost that grows with time when nothing happens.
func TestIdleCost(t *testing.T) {
	newWorld(t, func(w *world) {
		w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(30 * time.Minute)
		if calls := w.store.TotalCalls(); calls > 2 {
			t.Errorf("%d calls to the store in 30 min, want a read and a write", calls)
		}
		if lists := w.platform.ListCalls(); lists > 61 {
			t.Errorf("%d reads of the list in 30 min, want at most 61", lists)
		}
	})
}

// Guards against faults in combination: no conflicting orders, no request cut
// by a stop, and the wanted numbers once the faults are over.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) (step [3]int) {
			return [3]int{rapid.IntRange(0, 12).Draw(rt, "kind"), rapid.IntRange(0, 4).Draw(rt, "which"), rapid.IntRange(0, 20000).Draw(rt, "ms")}
		}), 5, 60).Draw(rt, "steps")
		if !t.Run("", func(t *testing.T) { newWorld(t, func(w *world) { w.suffer(steps) }) }) {
			rt.Fatal("see the subtest")
		}
	})
}

func (w *world) suffer(steps [][3]int) {
	reserved, reclaimable := 1, 1
	w.decideTo(&reserved, &reclaimable)
	var holders []*intenttest.Lease
	newHolder := func() {
		held := w.lease.Acquire(w.ctx)
		holders = append(holders, held)
		w.hold(held)
	}
	newHolder()
	for _, step := range steps {
		which := step[1]
		switch step[0] {
		case 0, 1:
			w.want(&reserved, &reclaimable, 1+which%3, which)
		case 2:
			newHolder()
		case 3:
			holders[len(holders)-1].Pause(which)
		case 4:
			holders[which%len(holders)].Continue()
		case 5:
			w.store.DropResponses(storetest.Put, which)
		case 6:
			w.platform.DropResponses(which)
		case 7:
			w.platform.SetDown(which%2 == 0)
		case 8:
			w.store.SetDown(which%2 == 0)
		case 9:
			w.platform.Reclaim(domain)
		case 10:
			w.platform.SetAvailable(domain, provider.Reclaimable, which)
		case 11:
			w.mu.Lock()
			w.deaf = which%2 == 0
			w.mu.Unlock()
		default:
			w.platform.SetDelay(time.Duration(which) * time.Second)
		}
		for n := range which {
			w.request(n)
		}
		time.Sleep(time.Duration(step[2]) * time.Millisecond)
	}
	w.store.SetDown(false)
	w.platform.SetDown(false)
	w.platform.SetDelay(0)
	w.platform.SetAvailable(domain, provider.Reclaimable, 100)
	w.mu.Lock()
	w.deaf = false
	w.mu.Unlock()
	for _, held := range holders {
		held.Continue()
	}
	time.Sleep(time.Second)
	newHolder()
	w.want(&reserved, &reclaimable, 2, 1)
	time.Sleep(15 * time.Minute)
	w.calm(2, 1)
}
