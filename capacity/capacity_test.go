package capacity_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
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
	"github.com/guavagauge/guavagauge/rapidtest"
	"github.com/guavagauge/guavagauge/storetest"
)

const domain = "limpopo-a"

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Defaults{"rapid.seed": "20260402", "rapid.checks": "60", "rapid.nofailfile": "true"})
}

// testEnv is a failure domain with its managers, schedulers and requests of ten
// seconds each.
type testEnv struct {
	t        *testing.T
	ctx      context.Context
	store    *storetest.Server
	platform *providertest.Server
	lease    intenttest.Issuer
	set      *metrics.Set
	decide   func(capacity.View) capacity.Plan // nil: the default

	mu             sync.Mutex
	schedulersDown bool            // drain notices fail
	repliesLost    bool            // drain notices take effect and fail
	notified       map[string]bool // last drain notice of each VM
	versions       map[string]intent.SequenceNumber
	draining       map[string]bool // VMs that the schedulers drain, three seconds after the notice
	load           map[string]capacity.Load
	ended          map[string]bool
	interrupted    []string // requests that a stop interrupted
	sentAfterEnd   []string // upstreams that got a request after their end
}

func runInEnv(t *testing.T, test func(e *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Minute); synctest.Wait() }()
		e := &testEnv{
			t: t, ctx: ctx, store: storetest.New(storetest.Options{}), set: metrics.NewSet(),
			notified: make(map[string]bool), versions: make(map[string]intent.SequenceNumber), draining: make(map[string]bool), load: make(map[string]capacity.Load), ended: make(map[string]bool),
		}
		e.platform = providertest.New(ctx, providertest.Options{OnEnd: e.onVMEnd})
		e.platform.Add(provider.VM{Name: "first", Kind: provider.Upstream, FailureDomain: domain, Capacity: provider.Reserved, State: provider.Live})
		e.platform.Add(provider.VM{Name: "other", Kind: provider.Upstream, FailureDomain: "kzn-a", Capacity: provider.Reserved, State: provider.Live})
		e.platform.Add(provider.VM{Name: "entry", Kind: provider.Entry, FailureDomain: domain, Capacity: provider.Reserved, State: provider.Live})
		time.Sleep(10 * time.Second) // until they are listed
		test(e)
	})
}

// onVMEnd records the end of an upstream and the requests that it interrupted.
func (e *testEnv) onVMEnd(vm provider.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended[vm.Name] = true
	if l := e.load[vm.Name]; l.Running > 0 && vm.State != provider.Leaving {
		e.interrupted = append(e.interrupted, fmt.Sprintf("%d on %s", l.Running, vm.Name))
	}
	delete(e.load, vm.Name)
}

// sendRequest runs a request on a live upstream that isn't draining, as a
// scheduler does.
func (e *testEnv) sendRequest(n int) {
	vms := slices.DeleteFunc(e.platform.CurrentVMs(), func(vm provider.VM) bool {
		return vm.FailureDomain != domain || vm.Kind != provider.Upstream || vm.State != provider.Live
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	vms = slices.DeleteFunc(vms, func(vm provider.VM) bool { return e.draining[vm.Name] })
	if len(vms) == 0 {
		return
	}
	name := vms[n%len(vms)].Name
	if e.ended[name] {
		e.sentAfterEnd = append(e.sentAfterEnd, name)
	}
	l := e.load[name]
	l.Running++
	l.Started++
	e.load[name] = l
	go func() {
		time.Sleep(10 * time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		if l := e.load[name]; l.Running > 0 {
			l.Running--
			e.load[name] = l
		}
	}()
}

// startManager runs a manager until the lease is lost.
func (e *testEnv) startManager(lease intent.Lease) (ended <-chan error) {
	m := capacity.New(capacity.Options{
		FailureDomain: domain, Store: e.store.Client("node"), Platform: e.platform, Decide: e.decide, DecideEvery: time.Second,
		Load: func(context.Context) (map[string]capacity.Load, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			load := make(map[string]capacity.Load)
			for name, l := range e.load {
				load[name] = l
			}
			return load, nil
		},
		Drain: func(_ context.Context, notice capacity.DrainNotice) error {
			name := notice.VM.Name
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.schedulersDown {
				return errors.New("schedulers unreachable")
			}
			if notice.Version.Before(e.versions[name]) {
				return nil
			}
			e.notified[name], e.versions[name] = notice.Draining, notice.Version
			go func() {
				time.Sleep(3 * time.Second)
				e.mu.Lock()
				defer e.mu.Unlock()
				e.draining[name] = e.notified[name]
			}()
			if e.repliesLost {
				return errors.New("no reply")
			}
			return nil
		},
		Checker: invariant.New(slog.New(slog.DiscardHandler), e.set, invariant.Options{}), Metrics: e.set,
	})
	result := make(chan error, 1)
	go func() { result <- m.Run(e.ctx, lease) }()
	return result
}

// decideTarget makes managers keep the given numbers of upstreams.
func (e *testEnv) decideTarget(reserved, reclaimable *int) {
	e.decide = func(view capacity.View) (plan capacity.Plan) {
		e.mu.Lock()
		defer e.mu.Unlock()
		haveReserved, haveReclaimable := view.Counts()
		plan.StartReserved, plan.StopReserved = max(*reserved-haveReserved, 0), max(haveReserved-*reserved, 0)
		plan.StartReclaimable, plan.StopReclaimable = max(*reclaimable-haveReclaimable, 0), max(haveReclaimable-*reclaimable, 0)
		if view.ReclaimableUnavailable {
			plan.StartReclaimable = 0
		}
		return plan
	}
}

func (e *testEnv) setTarget(reserved, reclaimable *int, a, b int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*reserved, *reclaimable = a, b
}

// countUpstreams counts the existing upstreams of the failure domain.
func (e *testEnv) countUpstreams() (reserved, reclaimable int) {
	for _, vm := range e.platform.CurrentVMs() {
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

// checkSettled checks that the numbers of upstreams are as wanted, that nothing
// is pending and that no invariant was broken.
func (e *testEnv) checkSettled(reserved, reclaimable int) {
	e.t.Helper()
	if a, b := e.countUpstreams(); a != reserved || b != reclaimable {
		e.t.Errorf("%d reserved and %d reclaimable, want %d and %d", a, b, reserved, reclaimable)
	}
	if conflicts := e.platform.Violations(); len(conflicts) > 0 {
		e.t.Errorf("conflicting orders: %q", conflicts)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.interrupted) > 0 || len(e.sentAfterEnd) > 0 {
		e.t.Errorf("requests interrupted by stops: %q, sent to ended upstreams: %q", e.interrupted, e.sentAfterEnd)
	}
	for _, vm := range e.platform.CurrentVMs() {
		if e.draining[vm.Name] {
			e.t.Errorf("%s is still draining", vm.Name)
		}
	}
	entry, err := e.store.Client("test").Get(e.ctx, capacity.Key(domain))
	if text := string(entry.Value); err != nil || strings.Contains(text, "Pending") || strings.Contains(text, "Draining") || strings.Contains(text, "Ordered") {
		e.t.Errorf("unfinished orders or drains in the store: %s, %v", text, err)
	}
	var text bytes.Buffer
	if e.set.WritePrometheus(&text); strings.Contains(text.String(), "invariant_broken") {
		e.t.Errorf("invariants broken:\n%s", text.String())
	}
}

// Guards against a second start order while the list of VMs lags or after a lost
// response, stops that interrupt requests, and new work on a draining upstream.
func TestStartAndStopUpstreams(t *testing.T) {
	runInEnv(t, func(e *testEnv) {
		reserved, reclaimable := 3, 2
		e.decideTarget(&reserved, &reclaimable)
		e.platform.DropResponses(3)
		e.startManager(e.lease.Acquire(e.ctx))
		time.Sleep(2 * time.Minute)
		e.checkSettled(3, 2)
		for n := range 40 { // more than two requests on each
			e.sendRequest(n)
			time.Sleep(200 * time.Millisecond)
		}
		e.platform.DropResponses(2)
		e.setTarget(&reserved, &reclaimable, 1, 1)
		for n := range 60 {
			e.sendRequest(n)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		e.checkSettled(1, 1)
		e.setTarget(&reserved, &reclaimable, 0, 1)
		for n := range 4 { // on both upstreams
			e.sendRequest(n)
		}
		time.Sleep(8 * time.Second) // draining, but requests still run
		e.setTarget(&reserved, &reclaimable, 1, 1)
		time.Sleep(time.Minute)
		e.checkSettled(1, 1)
		// 2 starts and 3 stops, of which 3 and 2 responses were lost
		if n := len(e.platform.Records()); n != 3+2+5 {
			t.Errorf("%d orders sent, want 10: the revoked stop needs none", n)
		}
	})
}

// Guards against missing capacity when the platform reclaims the reclaimable
// upstreams and has no new ones, and against work on upstreams with a reclaim
// notice.
func TestReclaimWithoutReclaimableCapacity(t *testing.T) {
	runInEnv(t, func(e *testEnv) {
		reserved, reclaimable := 1, 4
		e.decideTarget(&reserved, &reclaimable)
		e.startManager(e.lease.Acquire(e.ctx))
		time.Sleep(2 * time.Minute)
		e.checkSettled(1, 4)
		e.platform.SetAvailable(domain, provider.Reclaimable, 0)
		e.platform.Reclaim(domain)
		time.Sleep(2 * time.Second)
		leaving := e.platform.CurrentVMs()
		e.mu.Lock()
		for _, vm := range leaving {
			if vm.Capacity == provider.Reclaimable && !e.notified[vm.Name] {
				t.Errorf("%s got no drain notice within two seconds of its reclaim notice", vm.Name)
			}
		}
		e.mu.Unlock()
		time.Sleep(2 * time.Second) // afterwards the target of 1 stops the replacements
		if a, _ := e.countUpstreams(); a != 5 {
			t.Errorf("%d reserved upstreams, want 5 because no reclaimable ones are available", a)
		}
		time.Sleep(5 * time.Minute)
		if conflicts := e.platform.Violations(); len(conflicts) > 0 {
			t.Errorf("%q", conflicts)
		}
	})
}

// Guards against a second order for the same deficit by the next lease holder
// when the first one crashed or was paused at any point, or a store response was
// lost.
func TestLeaseHolderReplaced(t *testing.T) {
	for operations := range 10 {
		for _, paused := range []bool{false, true} {
			for lost := range 3 {
				runInEnv(t, func(e *testEnv) {
					reserved, reclaimable := 2, 2
					e.decideTarget(&reserved, &reclaimable)
					e.store.DropResponses(storetest.Put, lost)
					first := e.lease.Acquire(e.ctx)
					first.Pause(operations)
					e.startManager(first)
					time.Sleep(30 * time.Second)
					e.startManager(e.lease.Acquire(e.ctx))
					if paused {
						time.Sleep(5 * time.Second)
						first.Continue()
					}
					time.Sleep(3 * time.Minute)
					first.Continue()
					time.Sleep(time.Minute)
					e.checkSettled(2, 2)
				})
			}
		}
	}
}

// Guards against the next lease holder sending a pending stop order while the
// upstream is busy again because the schedulers have forgotten the drain.
func TestPendingStopOfPredecessorDrainsAgain(t *testing.T) {
	runInEnv(t, func(e *testEnv) {
		e.platform.Add(provider.VM{Name: "second", Kind: provider.Upstream, FailureDomain: domain, Capacity: provider.Reserved, State: provider.Live})
		time.Sleep(10 * time.Second)
		reserved, reclaimable := 1, 0
		e.decideTarget(&reserved, &reclaimable)
		first := e.lease.Acquire(e.ctx)
		first.Pause(4) // three writes and a drain notice come before the order
		e.startManager(first)
		time.Sleep(20 * time.Second)
		e.mu.Lock()
		clear(e.draining)
		e.mu.Unlock()
		for n := range 10 {
			e.sendRequest(n)
		}
		if len(e.platform.Records()) > 0 {
			t.Fatal("the order was sent before the pause")
		}
		e.startManager(e.lease.Acquire(e.ctx))
		time.Sleep(time.Minute)
		first.Continue()
		time.Sleep(time.Minute)
		e.checkSettled(1, 0)
	})
}

// Guards against a drain that never ends because its notice is skipped after a revocation that took effect but failed.
func TestDrainAfterFailedRevocation(t *testing.T) {
	runInEnv(t, func(e *testEnv) {
		const started, drained, revoked, busy, settled = 120, 125, 130, 190, 250 // decisions, one each second
		reserved, reclaimable, decisions := 2, 0, 0
		done := make(chan struct{})
		e.decideTarget(&reserved, &reclaimable)
		decide := e.decide
		e.decide = func(view capacity.View) (plan capacity.Plan) {
			switch decisions++; decisions {
			case started:
				e.setTarget(&reserved, &reclaimable, 1, 0)
			case drained:
				e.setTarget(&reserved, &reclaimable, 2, 0)
			case revoked:
				e.setTarget(&reserved, &reclaimable, 1, 0)
			case busy:
				if n, _ := e.countUpstreams(); n != 1 {
					t.Errorf("%d upstreams a minute after the second drain, want 1", n)
				}
			case settled:
				close(done)
			}
			e.mu.Lock()
			e.repliesLost = decisions >= drained && decisions < revoked
			e.mu.Unlock()
			if decisions < busy {
				e.sendRequest(decisions)
			}
			return decide(view)
		}
		e.startManager(e.lease.Acquire(e.ctx))
		<-done
		e.checkSettled(1, 0)
	})
}

// Guards against two lease holders at a time that aren't detected.
func TestTwoLeaseHoldersAreDetected(t *testing.T) {
	runInEnv(t, func(e *testEnv) {
		reserved, reclaimable := 2, 0
		e.decideTarget(&reserved, &reclaimable)
		first := e.startManager(e.lease.Acquire(e.ctx))
		time.Sleep(2 * time.Second)
		e.startManager(e.lease.Duplicate(e.ctx))
		e.setTarget(&reserved, &reclaimable, 3, 0)
		if err := <-first; !errors.Is(err, intent.ErrSuperseded) {
			t.Errorf("the first lease holder ended with %v, want ErrSuperseded", err)
		}
		if broken := e.set.GetOrCreateCounter(`guavagauge_invariant_broken_total{name="I5"}`).Get(); broken == 0 {
			t.Error("two lease holders weren't detected")
		}
		time.Sleep(2 * time.Minute)
		if conflicts := e.platform.Violations(); len(conflicts) > 0 {
			t.Errorf("%q", conflicts)
		}
	})
}

// Guards against the default decision starting an upstream for a short peak or
// not at all, and against stopping the last upstream.
func TestDefaultDecision(t *testing.T) {
	runInEnv(t, func(e *testEnv) {
		e.startManager(e.lease.Acquire(e.ctx))
		queue := func(n int, wait time.Duration) {
			e.mu.Lock()
			e.load["first"] = capacity.Load{Queued: n}
			e.mu.Unlock()
			time.Sleep(wait)
		}
		queue(9, 10*time.Second)
		queue(0, 20*time.Second)
		e.checkSettled(1, 0)
		queue(9, 20*time.Second)
		queue(0, 2*time.Minute)
		e.checkSettled(1, 1)
		queue(0, 10*time.Minute)
		e.checkSettled(1, 0)
	})
}

// Guards against plans of package policy that aren't carried out.
func TestPolicyPlanIsCarriedOut(t *testing.T) {
	runInEnv(t, func(e *testEnv) {
		need := 4.0
		e.decide = capacity.NewPolicy(capacity.PolicyOptions{
			Preferences: policy.Goodput(),
			RequiredUpstreams: func(capacity.View) (float64, float64) {
				e.mu.Lock()
				defer e.mu.Unlock()
				return need, 1
			},
		})
		e.startManager(e.lease.Acquire(e.ctx))
		time.Sleep(10 * time.Minute)
		reserved, reclaimable := e.countUpstreams()
		if reserved+reclaimable < 4 || reclaimable == 0 {
			t.Errorf("%d reserved and %d reclaimable, want at least 4 and some of them reclaimable", reserved, reclaimable)
		}
		e.mu.Lock()
		need = 0.5
		e.mu.Unlock()
		time.Sleep(6 * time.Hour)
		if a, b := e.countUpstreams(); a+b >= reserved+reclaimable || a+b == 0 {
			t.Errorf("%d reserved and %d reclaimable for 0.5 required, want fewer than before but not none", a, b)
		}
		a, b := e.countUpstreams()
		e.checkSettled(a, b)
	})
}

// Guards against calls to the store and list reads that grow with time while
// nothing changes.
func TestIdleManagerMakesFewCalls(t *testing.T) {
	runInEnv(t, func(e *testEnv) {
		e.startManager(e.lease.Acquire(e.ctx))
		time.Sleep(30 * time.Minute)
		if calls := e.store.TotalCalls(); calls > 2 {
			t.Errorf("%d calls to the store in 30 min, want at most a read and a write", calls)
		}
		if lists := e.platform.ListCalls(); lists > 61 {
			t.Errorf("%d reads of the list in 30 min, want at most 61", lists)
		}
	})
}

// Guards against conflicting orders, interrupted requests and wrong numbers of
// upstreams after combined faults of the store, the platform, the schedulers and
// the lease holders.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) (step [3]int) {
			return [3]int{rapid.IntRange(0, 12).Draw(rt, "kind"), rapid.IntRange(0, 4).Draw(rt, "which"), rapid.IntRange(0, 20000).Draw(rt, "ms")}
		}), 5, 60).Draw(rt, "steps")
		if !t.Run("", func(t *testing.T) { runInEnv(t, func(e *testEnv) { e.runFaults(steps) }) }) {
			rt.Fatal("see the subtest")
		}
	})
}

func (e *testEnv) runFaults(steps [][3]int) {
	reserved, reclaimable := 1, 1
	e.decideTarget(&reserved, &reclaimable)
	var leases []*intenttest.Lease
	startSuccessor := func() {
		lease := e.lease.Acquire(e.ctx)
		leases = append(leases, lease)
		e.startManager(lease)
	}
	startSuccessor()
	for _, step := range steps {
		which := step[1]
		switch step[0] {
		case 0, 1:
			e.setTarget(&reserved, &reclaimable, 1+which%3, which)
		case 2:
			startSuccessor()
		case 3:
			leases[len(leases)-1].Pause(which)
		case 4:
			leases[which%len(leases)].Continue()
		case 5:
			e.store.DropResponses(storetest.Put, which)
		case 6:
			e.platform.DropResponses(which)
		case 7:
			e.platform.SetDown(which%2 == 0)
		case 8:
			e.store.SetDown(which%2 == 0)
		case 9:
			e.platform.Reclaim(domain)
		case 10:
			e.platform.SetAvailable(domain, provider.Reclaimable, which)
		case 11:
			e.mu.Lock()
			e.schedulersDown = which%2 == 0
			e.mu.Unlock()
		default:
			e.platform.SetDelay(time.Duration(which) * time.Second)
		}
		for n := range which {
			e.sendRequest(n)
		}
		time.Sleep(time.Duration(step[2]) * time.Millisecond)
	}
	e.store.SetDown(false)
	e.platform.SetDown(false)
	e.platform.SetDelay(0)
	e.platform.SetAvailable(domain, provider.Reclaimable, 100)
	e.mu.Lock()
	e.schedulersDown = false
	e.mu.Unlock()
	for _, lease := range leases {
		lease.Continue()
	}
	time.Sleep(time.Second)
	startSuccessor()
	e.setTarget(&reserved, &reclaimable, 2, 1)
	time.Sleep(15 * time.Minute)
	e.checkSettled(2, 1)
}
