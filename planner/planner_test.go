package planner_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/enginetest"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/intent"
	"github.com/guavagauge/guavagauge/intenttest"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/planner"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/providertest"
	"github.com/guavagauge/guavagauge/storetest"
	"github.com/guavagauge/guavagauge/upstream"
)

const domain = "limpopo-a"

// harness is a failure domain with engines under load and the planner under test.
type harness struct {
	t        *testing.T
	ctx      context.Context
	network  *nettest.Network
	store    *storetest.Server
	platform *providertest.Server
	lease    intenttest.Issuer
	engines  []*enginetest.Engine
	fleet    []planner.Engine
	set      *metrics.Set
	checker  *invariant.Checker

	mu           sync.Mutex
	requests     []planner.ChangeRequest
	decide       func(planner.View) []planner.ChangeRequest // used instead of requests, if not nil
	draining     map[string]bool                            // by engine, as the schedulers were notified
	versions     map[string]intent.SequenceNumber
	notices      int
	wrongAnswers []string
}

// withHarness runs test in a synctest bubble, with one engine for each element of
// fencing.
func withHarness(t *testing.T, fencing []fleet.Fencing, test func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &harness{
			t: t, ctx: ctx, network: nettest.New(), store: storetest.New(storetest.Options{}),
			platform: providertest.New(ctx, providertest.Options{WeightsEvery: 10 * time.Second}),
			set:      metrics.NewSet(), draining: make(map[string]bool), versions: make(map[string]intent.SequenceNumber),
		}
		h.checker = invariant.New(slog.New(slog.DiscardHandler), h.set, invariant.Options{})
		var clients []*engine.HTTP
		for i, kind := range fencing {
			e := enginetest.New(ctx, enginetest.Options{Fencing: kind, Models: []string{"m"}, DecodeStep: 400 * time.Millisecond})
			address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:9000", i+2))
			if err := e.Serve(ctx, h.network.Host(address.Addr().String()), address); err != nil {
				t.Fatal(err)
			}
			client := engine.NewClient(h.network.Host("10.0.0.1"), address, engine.Options{})
			clients = append(clients, client)
			h.engines = append(h.engines, e)
			h.fleet = append(h.fleet, planner.Engine{Key: fmt.Sprintf("o/e%d", i), Control: client, Fencing: kind})
		}
		defer func() {
			cancel()
			for _, client := range clients {
				client.Close()
			}
			time.Sleep(time.Minute) // lets all goroutines of the test end, in the bubble's time
			synctest.Wait()
		}()
		test(h)
	})
}

// startPlanner runs a planner under a lease until that ends.
func (h *harness) startPlanner(held intent.Lease) (ended <-chan error) {
	result := make(chan error, 1)
	go func() { result <- h.planner("node").Run(h.ctx, held) }()
	return result
}

func (h *harness) planner(node string) *planner.Planner {
	return planner.New(planner.Options{
		FailureDomain: domain, Store: h.store.Client(node), Engines: func() []planner.Engine { return h.fleet },
		Decide: func(view planner.View) []planner.ChangeRequest {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.decide != nil {
				return h.decide(view)
			}
			return h.requests
		},
		Drain: func(_ context.Context, notice planner.DrainNotice) error {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.notices++; h.notices%2 == 1 { // every other notice fails
				return errors.New("scheduler not reached")
			}
			if !notice.Version.Before(h.versions[notice.Engine]) {
				h.draining[notice.Engine], h.versions[notice.Engine] = notice.Draining, notice.Version
			}
			return nil
		},
		WeightLoadLimiter: h.platform, Checker: h.checker, Metrics: h.set, UnfencedCooldown: time.Minute,
	})
}

func (h *harness) setRequests(requests ...planner.ChangeRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = requests
}

func (h *harness) setDecide(decide func(planner.View) []planner.ChangeRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decide = decide
}

// startLoad keeps streams running on an engine, which it calls without a
// scheduler in between.
func (h *harness) startLoad(i int) {
	client := engine.NewClient(h.network.Host("10.0.0.1"), netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:9000", i+2)), engine.Options{})
	context.AfterFunc(h.ctx, client.Close)
	for n := range 3 {
		go func() {
			defer client.Close()
			for h.ctx.Err() == nil {
				var got []string
				generation := upstream.Generation{Model: "m", Prompt: strings.Repeat("p", n), MaxTokens: 6 + 2*n}
				_, err := client.Generate(h.ctx, generation, func(token upstream.Token) error {
					got = append(got, token.Text)
					return nil
				})
				if err == nil && !slices.Equal(got, enginetest.Completion("m", generation.Prompt, 0, generation.MaxTokens)) {
					h.mu.Lock()
					h.wrongAnswers = append(h.wrongAnswers, fmt.Sprint(got))
					h.mu.Unlock()
				}
				if err != nil {
					time.Sleep(500 * time.Millisecond)
				}
			}
		}()
	}
}

// checkFinalState checks that all changes have ended, no engine is drained, no
// request was aborted or got a wrong answer, no invariant was broken, and engines
// got no conflicting orders. An engine that ignores epochs may have got up to
// staleOrders of these. An engine that checks epochs must have accepted that of the
// last holder.
func (h *harness) checkFinalState(staleOrders int) {
	h.t.Helper()
	entry, err := h.store.Client("test").Get(h.ctx, planner.Key(domain))
	if err != nil || strings.Contains(string(entry.Value), "Changes") {
		h.t.Errorf("changes left in the document: %s, %v", entry.Value, err)
	}
	for i, e := range h.engines {
		conflicts, stats := e.Violations(), e.Stats()
		if len(conflicts) > staleOrders || h.fleet[i].Fencing == fleet.FencingChecked && len(conflicts) > 0 {
			h.t.Errorf("engine %d: %q", i, conflicts)
		}
		if stats.Aborted > 0 {
			h.t.Errorf("engine %d: %d requests aborted", i, stats.Aborted)
		}
		state, err := h.fleet[i].Control.State(h.ctx)
		if err != nil || state.Draining || state.Changing != "" {
			h.t.Errorf("engine %d: %+v, %v", i, state, err)
		}
		epoch := fmt.Sprintf(`{"Epoch":%d,`, state.Epoch)
		if h.fleet[i].Fencing == fleet.FencingChecked && !strings.HasPrefix(string(entry.Value), epoch) {
			h.t.Errorf("engine %d has epoch %d, the document is %s", i, state.Epoch, entry.Value)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.wrongAnswers) > 0 {
		h.t.Errorf("wrong answers: %q", h.wrongAnswers)
	}
	for key, draining := range h.draining {
		if draining {
			h.t.Errorf("schedulers still drain %s", key)
		}
	}
	var text bytes.Buffer
	if h.set.WritePrometheus(&text); strings.Contains(text.String(), "invariant_broken") {
		h.t.Errorf("invariants broken:\n%s", text.String())
	}
}

// fenced returns the fencing of n engines that check epochs.
func fenced(n int) []fleet.Fencing { return slices.Repeat([]fleet.Fencing{fleet.FencingChecked}, n) }

func roleRequest(key string, to engine.Role) planner.ChangeRequest {
	return planner.ChangeRequest{Engine: key, Kind: engine.OrderRole, Role: to}
}

// orderDropper makes its engine accept the first order of each kind without
// carrying it out.
type orderDropper struct {
	engine.ControlClient
	dropped map[engine.OrderKind]bool
}

func (f *orderDropper) Order(ctx context.Context, order engine.Order) (err error) {
	if !f.dropped[order.Kind] {
		f.dropped[order.Kind] = true
		order.Kind = engine.OrderFence // the engine records the ID, but does nothing
	}
	return f.ControlClient.Order(ctx, order)
}

// Guards against a role change that aborts requests, that never ends when the
// engine accepts orders without carrying them out, or that is ordered again before
// its effect was observed.
func TestRoleChangeHappensOnceWithoutAborts(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		withHarness(t, []fleet.Fencing{fencing}, func(h *harness) {
			h.startLoad(0)
			if fencing == fleet.FencingIgnored {
				h.fleet[0].Control = &orderDropper{h.fleet[0].Control, make(map[engine.OrderKind]bool)}
			}
			h.setRequests(roleRequest("o/e0", engine.Prefill), planner.ChangeRequest{Engine: "o/e0", Kind: engine.OrderUnload, Model: "m"}, roleRequest("unknown", engine.Decode))
			h.startPlanner(h.lease.Acquire(h.ctx))
			time.Sleep(20 * time.Second)
			h.setRequests()
			time.Sleep(20 * time.Second)
			h.checkFinalState(0)
			state, _ := h.fleet[0].Control.State(h.ctx)
			if changes := h.engines[0].Stats().RoleChanges; state.Role != engine.Prefill || changes != 1 {
				t.Errorf("%s: role %s after %d changes, want Prefill after 1", fencing, state.Role, changes)
			}
		})
	}
}

// Guards against a new holder that orders a second role change, leaves the engine
// drained or aborts requests after the previous holder died in the middle of a
// change.
func TestSuccessorFinishesInterruptedChange(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		for diedAfter := 250 * time.Millisecond; diedAfter < 15*time.Second; diedAfter += 1250 * time.Millisecond {
			withHarness(t, []fleet.Fencing{fencing}, func(h *harness) {
				h.startLoad(0)
				h.setRequests(roleRequest("o/e0", engine.Decode))
				first := h.lease.Acquire(h.ctx)
				h.startPlanner(first)
				time.Sleep(diedAfter)
				first.Release()
				h.setRequests()
				time.Sleep(3 * time.Second)
				h.startPlanner(h.lease.Acquire(h.ctx))
				time.Sleep(40 * time.Second)
				h.checkFinalState(0)
				if changes := h.engines[0].Stats().RoleChanges; changes > 1 {
					t.Errorf("%s, holder died after %s: %d role changes, want at most 1", fencing, diedAfter, changes)
				}
			})
		}
	}
}

// Guards against late orders of a holder that was paused between the check of its
// lease and the send. An engine that checks epochs must refuse them. An engine
// that ignores epochs may get one, whose effect the new holder must undo.
func TestPausedHolderSendsAtMostOneLateOrder(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		for n := range 24 {
			operations, restart := n/2, n%2 == 1 // a restarted engine doesn't remember old order IDs
			withHarness(t, []fleet.Fencing{fencing}, func(h *harness) {
				h.setRequests(roleRequest("o/e0", engine.Prefill))
				first := h.lease.Acquire(h.ctx)
				first.Pause(operations)
				ended := h.startPlanner(first)
				time.Sleep(22 * time.Second)
				h.startPlanner(h.lease.Acquire(h.ctx))
				time.Sleep(30 * time.Second)
				h.setRequests()
				time.Sleep(20 * time.Second)
				if restart {
					h.engines[0].Crash()
					h.engines[0].Restart()
					time.Sleep(10 * time.Second)
				}
				orders := len(h.engines[0].Orders())
				first.Continue()
				<-ended
				time.Sleep(40 * time.Second)
				h.checkFinalState(1)
				lateOrders := 0
				for _, order := range h.engines[0].Orders()[orders:] {
					if order.Epoch == first.Epoch() {
						lateOrders++
					}
				}
				if lateOrders > 1 || lateOrders > 0 && fencing == fleet.FencingChecked {
					t.Errorf("%s, holder paused after %d operations: %d late orders", fencing, operations, lateOrders)
				}
			})
		}
	}
}

// Guards against orders of a new holder to an engine that ignores epochs while an
// order of the previous holder is still in transit.
func TestUnfencedEngineWaitsForPreviousHolder(t *testing.T) {
	withHarness(t, []fleet.Fencing{fleet.FencingIgnored}, func(h *harness) {
		h.setRequests(roleRequest("o/e0", engine.Prefill))
		first := h.lease.Acquire(h.ctx)
		first.Pause(3) // after two writes of the document and the drain notice, so before the order
		h.startPlanner(first)
		time.Sleep(12 * time.Second)
		h.network.SetDelay(func(netip.Addr, netip.Addr) time.Duration { return 3 * time.Second })
		first.Continue()
		synctest.Wait()
		h.network.SetDelay(func(netip.Addr, netip.Addr) time.Duration { return 0 })
		h.startPlanner(h.lease.Acquire(h.ctx))
		time.Sleep(30 * time.Second)
		h.setRequests()
		time.Sleep(30 * time.Second)
		h.checkFinalState(0)
		if orders := h.engines[0].Orders(); len(orders) == 0 || orders[0].Epoch != first.Epoch() {
			t.Errorf("orders %+v, want the first one to have epoch %d", orders, first.Epoch())
		}
	})
}

// Guards against a change that is started twice or lost when the response to the
// write of its stage is lost, and against orders whose stage couldn't be saved.
func TestStoreFaultsNeitherRepeatNorLoseChanges(t *testing.T) {
	for lost := range 6 {
		withHarness(t, fenced(1), func(h *harness) {
			h.startPlanner(h.lease.Acquire(h.ctx))
			time.Sleep(time.Second)
			h.store.DropResponses(storetest.Put, lost)
			h.setRequests(roleRequest("o/e0", engine.Prefill))
			time.Sleep(40 * time.Second)
			h.store.SetDown(true)
			h.setRequests(roleRequest("o/e0", engine.Decode))
			orders := len(h.engines[0].Orders())
			time.Sleep(40 * time.Second)
			if now := len(h.engines[0].Orders()); now != orders {
				t.Errorf("%d orders while the store was down", now-orders)
			}
			h.store.SetDown(false)
			time.Sleep(40 * time.Second)
			h.checkFinalState(0)
			if changes := h.engines[0].Stats().RoleChanges; changes != 2 {
				t.Errorf("%d lost answers: %d role changes, want 2", lost, changes)
			}
		})
	}
}

// Guards against two holders at the same time that aren't detected: the first must
// stop, and the broken invariant must be counted.
func TestTwoHoldersAreDetected(t *testing.T) {
	withHarness(t, fenced(2), func(h *harness) {
		h.setRequests(roleRequest("o/e0", engine.Prefill), roleRequest("o/e1", engine.Decode))
		first := h.startPlanner(h.lease.Acquire(h.ctx))
		time.Sleep(2 * time.Second)
		h.startPlanner(h.lease.Duplicate(h.ctx))
		if err := <-first; !errors.Is(err, intent.ErrSuperseded) && !errors.Is(err, engine.ErrStaleEpoch) {
			t.Errorf("the first holder ended with %v", err)
		}
		time.Sleep(40 * time.Second)
		if broken := h.set.GetOrCreateCounter(`guavagauge_invariant_broken_total{name="I1"}`).Get(); broken == 0 {
			t.Error("two holders weren't counted as a broken invariant")
		}
		for i, e := range h.engines {
			if conflicts := e.Violations(); len(conflicts) > 0 || e.Stats().RoleChanges > 1 {
				t.Errorf("engine %d: %q, %+v", i, conflicts, e.Stats())
			}
		}
	})
}

// Guards against an order that takes effect after the holder has stopped waiting
// for it, because the cut network delivers it only when healed, and against a
// change that isn't abandoned when its engine restarts.
func TestLateOrderAndEngineCrash(t *testing.T) {
	withHarness(t, fenced(1), func(h *harness) {
		h.startLoad(0)
		h.setRequests(roleRequest("o/e0", engine.Prefill))
		h.startPlanner(h.lease.Acquire(h.ctx))
		time.Sleep(1500 * time.Millisecond)
		h.network.Cut("10.0.0.1", "10.0.0.2")
		h.setRequests()
		time.Sleep(time.Minute)
		h.network.Heal("10.0.0.1", "10.0.0.2")
		time.Sleep(30 * time.Second)
		h.checkFinalState(0)
		for range 12 { // each crash meets another moment of a change
			h.setRequests(roleRequest("o/e0", engine.Decode))
			time.Sleep(5300 * time.Millisecond)
			h.engines[0].Crash()
			time.Sleep(2 * time.Second)
			h.engines[0].Restart()
		}
		h.setRequests()
		time.Sleep(30 * time.Second)
		h.checkFinalState(0)
	})
}

// Guards against a node that is partitioned from the store and still sends orders
// after its lease was lost, and against changes that the next holder of the lease
// doesn't continue.
func TestNextLeaseHolderContinuesChanges(t *testing.T) {
	withHarness(t, []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored}, func(h *harness) {
		h.startLoad(0)
		h.startLoad(1)
		nodes := []string{"node-a", "node-b", "node-c"}
		for _, node := range nodes {
			go lease.Run(h.ctx, h.store.Client(node), lease.Options{Key: "lease/planner", Holder: node},
				func(ctx context.Context, held *lease.Lease) error { return h.planner(node).Run(ctx, held) })
		}
		for i := range 9 {
			h.setRequests(roleRequest("o/e0", []engine.Role{engine.Prefill, engine.Decode, engine.Mixed}[i%3]), roleRequest("o/e1", engine.Prefill))
			time.Sleep(time.Duration(17+i) * time.Second)
			h.store.Partition(nodes[i%3], []storetest.Direction{storetest.Requests, storetest.Responses, storetest.Both}[i%2])
			time.Sleep(30 * time.Second)
			h.store.Heal(nodes[i%3])
		}
		h.setRequests()
		time.Sleep(2 * time.Minute)
		h.checkFinalState(0)
		orders, stats := h.engines[0].Orders(), h.engines[0].Stats()
		if len(orders) == 0 || orders[len(orders)-1].Epoch == orders[0].Epoch || stats.RoleChanges < 3 {
			t.Errorf("%d orders, %+v: want role changes by several holders", len(orders), stats)
		}
		if stats := h.engines[1].Stats(); stats.RoleChanges != 1 {
			t.Errorf("%+v: want one role change", stats)
		}
	})
}

// Guards against decisions that aren't carried out, or that change roles back and
// forth under a constant load.
func TestDecisionsSettleUnderConstantLoad(t *testing.T) {
	for name, decide := range map[string]func(planner.View) []planner.ChangeRequest{
		"policy": planner.NewPolicy(planner.PolicyOptions{
			Preferences: policy.Goodput(),
			Demand:      func(planner.View) policy.Demand { return policy.Demand{Prefill: 2.4, Decode: 1.2} },
		}),
		"balance": planner.NewBalance(planner.BalanceOptions{DecodeTokensPerSecond: 2}),
	} {
		withHarness(t, fenced(4), func(h *harness) {
			for i := range h.engines {
				h.startLoad(i)
			}
			h.setDecide(decide)
			h.startPlanner(h.lease.Acquire(h.ctx))
			time.Sleep(7 * time.Minute)
			h.setDecide(nil)
			time.Sleep(time.Minute)
			h.checkFinalState(0)
			changes := 0
			for _, e := range h.engines {
				changes += e.Stats().RoleChanges
			}
			if changes == 0 || changes > 4 {
				t.Errorf("%s: %d role changes of 4 engines, want 1 to 4", name, changes)
			}
		})
	}
}

// readCounter counts the reads of an engine's state and report.
type readCounter struct {
	engine.ControlClient
	states, reports atomic.Int64
}

func (r *readCounter) State(ctx context.Context) (engine.State, error) {
	r.states.Add(1)
	return r.ControlClient.State(ctx)
}

func (r *readCounter) Report(ctx context.Context) (engine.Report, error) {
	r.reports.Add(1)
	return r.ControlClient.Report(ctx)
}

// Guards against a planner that keeps calling the store or the engines while
// nothing changes, and against an engine restart that is only detected by the next
// regular read of the state.
func TestIdlePlannerMakesFewCalls(t *testing.T) {
	withHarness(t, fenced(3), func(h *harness) {
		counts := make([]*readCounter, len(h.fleet))
		for i := range h.fleet {
			counts[i] = &readCounter{ControlClient: h.fleet[i].Control}
			h.fleet[i].Control = counts[i]
		}
		h.startPlanner(h.lease.Acquire(h.ctx))
		time.Sleep(30*time.Minute - time.Second)
		if calls := h.store.TotalCalls(); calls > 2 {
			t.Errorf("%d calls to the store in 30 min, want at most a read and a write", calls)
		}
		for i, count := range counts {
			if count.states.Load() > 6 || count.reports.Load() > 360 {
				t.Errorf("engine %d: %d reads of the state and %d of the report, want at most 6 and 360", i, count.states.Load(), count.reports.Load())
			}
		}
		h.engines[0].Crash()
		h.engines[0].Restart()
		time.Sleep(15 * time.Second)
		h.checkFinalState(0) // the restarted engine has the epoch again
	})
}

// Guards against model loads that exceed the rate of the weight store.
func TestModelLoadsObeyWeightStoreRate(t *testing.T) {
	withHarness(t, fenced(3), func(h *harness) {
		for _, e := range h.fleet {
			h.requests = append(h.requests, planner.ChangeRequest{Engine: e.Key, Kind: engine.OrderLoad, Model: "n"})
		}
		h.startPlanner(h.lease.Acquire(h.ctx))
		time.Sleep(50 * time.Second)
		h.setRequests()
		time.Sleep(10 * time.Second)
		h.checkFinalState(0)
		var at []time.Time
		for _, e := range h.engines {
			for _, order := range e.Orders() {
				if order.Kind == engine.OrderLoad {
					at = append(at, order.At)
				}
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		if len(at) != 3 || at[1].Sub(at[0]) < 9*time.Second || at[2].Sub(at[1]) < 9*time.Second {
			t.Errorf("loads at %v, want 3 at least 9 s apart", at)
		}
	})
}
