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

// world is a failure domain of engines under load with its planner.
type world struct {
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

	mu       sync.Mutex
	wishes   []planner.ChangeRequest
	decide   func(planner.View) []planner.ChangeRequest // instead of wishes
	draining map[string]bool                            // as the schedulers were told
	versions map[string]intent.SequenceNumber
	told     int
	wrong    []string
}

// newWorld runs test in a bubble with n engines.
func newWorld(t *testing.T, fencing []fleet.Fencing, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{
			t: t, ctx: ctx, network: nettest.New(), store: storetest.New(storetest.Options{}),
			platform: providertest.New(ctx, providertest.Options{WeightsEvery: 10 * time.Second}),
			set:      metrics.NewSet(), draining: make(map[string]bool), versions: make(map[string]intent.SequenceNumber),
		}
		w.checker = invariant.New(slog.New(slog.DiscardHandler), w.set, invariant.Options{})
		var clients []*engine.HTTP
		for i, kind := range fencing {
			e := enginetest.New(ctx, enginetest.Options{Fencing: kind, Models: []string{"m"}, DecodeStep: 400 * time.Millisecond})
			address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:9000", i+2))
			if err := e.Serve(ctx, w.network.Host(address.Addr().String()), address); err != nil {
				t.Fatal(err)
			}
			client := engine.NewClient(w.network.Host("10.0.0.1"), address, engine.Options{})
			clients = append(clients, client)
			w.engines = append(w.engines, e)
			w.fleet = append(w.fleet, planner.Engine{Key: fmt.Sprintf("o/e%d", i), Control: client, Fencing: kind})
		}
		defer func() {
			cancel()
			for _, client := range clients {
				client.Close()
			}
			time.Sleep(time.Minute) // waits of this test end in the bubble's time
			synctest.Wait()
		}()
		test(w)
	})
}

// hold runs a planner under a new authority until that ends.
func (w *world) hold(authority intent.Lease) (ended <-chan error) {
	result := make(chan error, 1)
	go func() { result <- w.planner("node").Run(w.ctx, authority) }()
	return result
}

func (w *world) planner(node string) *planner.Planner {
	return planner.New(planner.Options{
		FailureDomain: domain, Store: w.store.Client(node), Engines: func() []planner.Engine { return w.fleet },
		Decide: func(view planner.View) []planner.ChangeRequest {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.decide != nil {
				return w.decide(view)
			}
			return w.wishes
		},
		Drain: func(_ context.Context, notice planner.DrainNotice) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.told++; w.told%2 == 1 {
				return errors.New("steward not reached")
			}
			if !notice.Version.Before(w.versions[notice.Engine]) {
				w.draining[notice.Engine], w.versions[notice.Engine] = notice.Draining, notice.Version
			}
			return nil
		},
		WeightLoadLimiter: w.platform, Checker: w.checker, Metrics: w.set, UnfencedCooldown: time.Minute,
	})
}

func (w *world) wish(wishes ...planner.ChangeRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wishes = wishes
}

func (w *world) decideBy(decide func(planner.View) []planner.ChangeRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decide = decide
}

// load keeps streams running on an engine, with no scheduler in between.
func (w *world) load(i int) {
	client := engine.NewClient(w.network.Host("10.0.0.1"), netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:9000", i+2)), engine.Options{})
	context.AfterFunc(w.ctx, client.Close)
	for n := range 3 {
		go func() {
			defer client.Close()
			for w.ctx.Err() == nil {
				var got []string
				generation := upstream.Generation{Model: "m", Prompt: strings.Repeat("p", n), MaxTokens: 6 + 2*n}
				_, err := client.Generate(w.ctx, generation, func(token upstream.Token) error {
					got = append(got, token.Text)
					return nil
				})
				if err == nil && !slices.Equal(got, enginetest.Completion("m", generation.Prompt, 0, generation.MaxTokens)) {
					w.mu.Lock()
					w.wrong = append(w.wrong, fmt.Sprint(got))
					w.mu.Unlock()
				}
				if err != nil {
					time.Sleep(500 * time.Millisecond)
				}
			}
		}()
	}
}

// calm checks what must hold once all faults are over.
func (w *world) calm(staleOrders int) {
	w.t.Helper()
	entry, err := w.store.Client("test").Get(w.ctx, planner.Key(domain))
	if err != nil || strings.Contains(string(entry.Value), "Changes") {
		w.t.Errorf("intents left: %s, %v", entry.Value, err)
	}
	for i, e := range w.engines {
		conflicts, stats := e.Violations(), e.Stats()
		if len(conflicts) > staleOrders || w.fleet[i].Fencing == fleet.FencingChecked && len(conflicts) > 0 {
			w.t.Errorf("engine %d: %q", i, conflicts)
		}
		if stats.Aborted > 0 {
			w.t.Errorf("engine %d: %d requests cut", i, stats.Aborted)
		}
		state, err := w.fleet[i].Control.State(w.ctx)
		if err != nil || state.Draining || state.Changing != "" {
			w.t.Errorf("engine %d: %+v, %v", i, state, err)
		}
		epoch := fmt.Sprintf(`{"Epoch":%d,`, state.Epoch)
		if w.fleet[i].Fencing == fleet.FencingChecked && !strings.HasPrefix(string(entry.Value), epoch) {
			w.t.Errorf("engine %d knows epoch %d, the intents are %s", i, state.Epoch, entry.Value)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.wrong) > 0 {
		w.t.Errorf("wrong answers: %q", w.wrong)
	}
	for key, draining := range w.draining {
		if draining {
			w.t.Errorf("stewards still drain %s", key)
		}
	}
	var text bytes.Buffer
	if w.set.WritePrometheus(&text); strings.Contains(text.String(), "invariant_broken") {
		w.t.Errorf("invariants broken:\n%s", text.String())
	}
}

func checked(n int) []fleet.Fencing { return slices.Repeat([]fleet.Fencing{fleet.FencingChecked}, n) }

func role(key string, to engine.Role) planner.ChangeRequest {
	return planner.ChangeRequest{Engine: key, Kind: engine.OrderRole, Role: to}
}

// forgetful accepts the first order of each kind without carrying it out.
type forgetful struct {
	engine.ControlClient
	forgot map[engine.OrderKind]bool
}

func (f *forgetful) Order(ctx context.Context, order engine.Order) (err error) {
	if !f.forgot[order.Kind] {
		f.forgot[order.Kind] = true
		order.Kind = engine.OrderFence // the ID is known, but there is no effect
	}
	return f.ControlClient.Order(ctx, order)
}

// Guards against a role change that cuts requests, one that never ends, even
// when the engine forgets orders, and one that is repeated while its effect
// isn't seen yet.
func TestRoleChange(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		newWorld(t, []fleet.Fencing{fencing}, func(w *world) {
			w.load(0)
			if fencing == fleet.FencingIgnored {
				w.fleet[0].Control = &forgetful{w.fleet[0].Control, make(map[engine.OrderKind]bool)}
			}
			w.wish(role("o/e0", engine.Prefill), planner.ChangeRequest{Engine: "o/e0", Kind: engine.OrderUnload, Model: "m"}, role("unknown", engine.Decode))
			w.hold(w.lease.Acquire(w.ctx))
			time.Sleep(20 * time.Second)
			w.wish()
			time.Sleep(20 * time.Second)
			w.calm(0)
			state, _ := w.fleet[0].Control.State(w.ctx)
			if changes := w.engines[0].Stats().RoleChanges; state.Role != engine.Prefill || changes != 1 {
				t.Errorf("%s: role %s after %d changes, want Prefill after 1", fencing, state.Role, changes)
			}
		})
	}
}

// Guards against a successor that orders a second change, leaves an engine
// drained or cuts requests when its predecessor died at any moment of a change.
func TestHolderDiesInMidChange(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		for died := 250 * time.Millisecond; died < 15*time.Second; died += 1250 * time.Millisecond {
			newWorld(t, []fleet.Fencing{fencing}, func(w *world) {
				w.load(0)
				w.wish(role("o/e0", engine.Decode))
				first := w.lease.Acquire(w.ctx)
				w.hold(first)
				time.Sleep(died)
				first.Release()
				w.wish()
				time.Sleep(3 * time.Second)
				w.hold(w.lease.Acquire(w.ctx))
				time.Sleep(40 * time.Second)
				w.calm(0)
				if changes := w.engines[0].Stats().RoleChanges; changes > 1 {
					t.Errorf("%s, died after %s: %d role changes", fencing, died, changes)
				}
			})
		}
	}
}

// Guards against orders of a holder that is paused between its check and its
// send: without effect on a checking engine, and bounded to the one order on
// another engine, which the successor then repairs.
func TestPausedHolder(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		for n := range 24 {
			passes, restart := n/2, n%2 == 1 // a restarted engine doesn't know old IDs
			newWorld(t, []fleet.Fencing{fencing}, func(w *world) {
				w.wish(role("o/e0", engine.Prefill))
				first := w.lease.Acquire(w.ctx)
				first.Pause(passes)
				ended := w.hold(first)
				time.Sleep(22 * time.Second)
				w.hold(w.lease.Acquire(w.ctx))
				time.Sleep(30 * time.Second)
				w.wish()
				time.Sleep(20 * time.Second)
				if restart {
					w.engines[0].Crash()
					w.engines[0].Restart()
					time.Sleep(10 * time.Second)
				}
				orders := len(w.engines[0].Orders())
				first.Continue()
				<-ended
				time.Sleep(40 * time.Second)
				w.calm(1)
				late := 0
				for _, order := range w.engines[0].Orders()[orders:] {
					if order.Epoch == first.Epoch() {
						late++
					}
				}
				if late > 1 || late > 0 && fencing == fleet.FencingChecked {
					t.Errorf("%s, paused after %d operations: %d late orders", fencing, passes, late)
				}
			})
		}
	}
}

// Guards against orders to an engine that ignores epochs while an order of the
// former holder is still under way.
func TestHandOverWait(t *testing.T) {
	newWorld(t, []fleet.Fencing{fleet.FencingIgnored}, func(w *world) {
		w.wish(role("o/e0", engine.Prefill))
		first := w.lease.Acquire(w.ctx)
		first.Pause(3) // two writes of intents and the notice to schedulers come before the order
		w.hold(first)
		time.Sleep(12 * time.Second)
		w.network.SetDelay(func(netip.Addr, netip.Addr) time.Duration { return 3 * time.Second })
		first.Continue()
		synctest.Wait()
		w.network.SetDelay(func(netip.Addr, netip.Addr) time.Duration { return 0 })
		w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(30 * time.Second)
		w.wish()
		time.Sleep(30 * time.Second)
		w.calm(0)
		if orders := w.engines[0].Orders(); len(orders) == 0 || orders[0].Epoch != first.Epoch() {
			t.Errorf("orders %+v, want a first one of epoch %d", orders, first.Epoch())
		}
	})
}

// Guards against a change that is begun twice, or lost, when the answer to the
// write of its intent is lost, and against orders without a durable intent.
func TestStoreFaults(t *testing.T) {
	for lost := range 6 {
		newWorld(t, checked(1), func(w *world) {
			w.hold(w.lease.Acquire(w.ctx))
			time.Sleep(time.Second)
			w.store.DropResponses(storetest.Put, lost)
			w.wish(role("o/e0", engine.Prefill))
			time.Sleep(40 * time.Second)
			w.store.SetDown(true)
			w.wish(role("o/e0", engine.Decode))
			orders := len(w.engines[0].Orders())
			time.Sleep(40 * time.Second)
			if now := len(w.engines[0].Orders()); now != orders {
				t.Errorf("%d orders while the store was down", now-orders)
			}
			w.store.SetDown(false)
			time.Sleep(40 * time.Second)
			w.calm(0)
			if changes := w.engines[0].Stats().RoleChanges; changes != 2 {
				t.Errorf("%d lost answers: %d role changes, want 2", lost, changes)
			}
		})
	}
}

// Guards against two holders that go unnoticed: the first must stop, and the
// broken promise must be counted.
func TestTwoHolders(t *testing.T) {
	newWorld(t, checked(2), func(w *world) {
		w.wish(role("o/e0", engine.Prefill), role("o/e1", engine.Decode))
		first := w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(2 * time.Second)
		w.hold(w.lease.Duplicate(w.ctx))
		if err := <-first; !errors.Is(err, intent.ErrSuperseded) && !errors.Is(err, engine.ErrStaleEpoch) {
			t.Errorf("the first holder ended with %v", err)
		}
		time.Sleep(40 * time.Second)
		if broken := w.set.GetOrCreateCounter(`guavagauge_invariant_broken_total{name="I1"}`).Get(); broken == 0 {
			t.Error("two holders weren't noticed")
		}
		for i, e := range w.engines {
			if conflicts := e.Violations(); len(conflicts) > 0 || e.Stats().RoleChanges > 1 {
				t.Errorf("engine %d: %q, %+v", i, conflicts, e.Stats())
			}
		}
	})
}

// Guards against an order that the network held back and that arrives after the
// holder gave up on it, and against a change that outlives its engine.
func TestLateOrderAndCrash(t *testing.T) {
	newWorld(t, checked(1), func(w *world) {
		w.load(0)
		w.wish(role("o/e0", engine.Prefill))
		w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(1500 * time.Millisecond)
		w.network.Cut("10.0.0.1", "10.0.0.2")
		w.wish()
		time.Sleep(time.Minute)
		w.network.Heal("10.0.0.1", "10.0.0.2")
		time.Sleep(30 * time.Second)
		w.calm(0)
		for range 12 { // the crash moves through the change
			w.wish(role("o/e0", engine.Decode))
			time.Sleep(5300 * time.Millisecond)
			w.engines[0].Crash()
			time.Sleep(2 * time.Second)
			w.engines[0].Restart()
		}
		w.wish()
		time.Sleep(30 * time.Second)
		w.calm(0)
	})
}

// Guards against gaps between the lease and the planner: nodes that lose the
// store while they hold the lease must leave changes to the next one.
func TestLease(t *testing.T) {
	newWorld(t, []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored}, func(w *world) {
		w.load(0)
		w.load(1)
		nodes := []string{"node-a", "node-b", "node-c"}
		for _, node := range nodes {
			go lease.Run(w.ctx, w.store.Client(node), lease.Options{Key: "lease/planner", Holder: node},
				func(ctx context.Context, held *lease.Lease) error { return w.planner(node).Run(ctx, held) })
		}
		for i := range 9 {
			w.wish(role("o/e0", []engine.Role{engine.Prefill, engine.Decode, engine.Mixed}[i%3]), role("o/e1", engine.Prefill))
			time.Sleep(time.Duration(17+i) * time.Second)
			w.store.Partition(nodes[i%3], []storetest.Direction{storetest.Requests, storetest.Responses, storetest.Both}[i%2])
			time.Sleep(30 * time.Second)
			w.store.Heal(nodes[i%3])
		}
		w.wish()
		time.Sleep(2 * time.Minute)
		w.calm(0)
		orders, stats := w.engines[0].Orders(), w.engines[0].Stats()
		if len(orders) == 0 || orders[len(orders)-1].Epoch == orders[0].Epoch || stats.RoleChanges < 3 {
			t.Errorf("%d orders, %+v: want role changes by several holders", len(orders), stats)
		}
		if stats := w.engines[1].Stats(); stats.RoleChanges != 1 {
			t.Errorf("%+v: want one role change", stats)
		}
	})
}

// Guards against a decision that isn't carried out, or that goes back and forth
// under a load that doesn't change.
func TestPolicy(t *testing.T) {
	for name, decide := range map[string]func(planner.View) []planner.ChangeRequest{
		"policy": planner.NewPolicy(planner.PolicyOptions{
			Preferences: policy.Goodput(),
			Demand:      func(planner.View) policy.Demand { return policy.Demand{Prefill: 2.4, Decode: 1.2} },
		}),
		"balance": planner.NewBalance(planner.BalanceOptions{DecodeTokensPerSecond: 2}),
	} {
		newWorld(t, checked(4), func(w *world) {
			for i := range w.engines {
				w.load(i)
			}
			w.decideBy(decide)
			w.hold(w.lease.Acquire(w.ctx))
			time.Sleep(7 * time.Minute)
			w.decideBy(nil)
			time.Sleep(time.Minute)
			w.calm(0)
			changes := 0
			for _, e := range w.engines {
				changes += e.Stats().RoleChanges
			}
			if changes == 0 || changes > 4 {
				t.Errorf("%s: %d role changes of 4 engines, want 1 to 4", name, changes)
			}
		})
	}
}

// reads counts the reads of an engine's state and report.
type reads struct {
	engine.ControlClient
	states, reports atomic.Int64
}

func (r *reads) State(ctx context.Context) (engine.State, error) {
	r.states.Add(1)
	return r.ControlClient.State(ctx)
}

func (r *reads) Report(ctx context.Context) (engine.Report, error) {
	r.reports.Add(1)
	return r.ControlClient.Report(ctx)
}

// Guards against a cost that grows with time when nothing happens, and against
// a restart that goes unnoticed between two scans.
func TestIdleCost(t *testing.T) {
	newWorld(t, checked(3), func(w *world) {
		counts := make([]*reads, len(w.fleet))
		for i := range w.fleet {
			counts[i] = &reads{ControlClient: w.fleet[i].Control}
			w.fleet[i].Control = counts[i]
		}
		w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(30*time.Minute - time.Second)
		if calls := w.store.TotalCalls(); calls > 2 {
			t.Errorf("%d calls to the store in 30 min, want a read and a write", calls)
		}
		for i, count := range counts {
			if count.states.Load() > 6 || count.reports.Load() > 360 {
				t.Errorf("engine %d: %d reads of the state and %d of the report, want at most 6 and 360", i, count.states.Load(), count.reports.Load())
			}
		}
		w.engines[0].Crash()
		w.engines[0].Restart()
		time.Sleep(15 * time.Second)
		w.calm(0) // the engine knows the epoch again
	})
}

// Guards against loads that exceed the weight store's rate.
func TestLoadsKeepTheRate(t *testing.T) {
	newWorld(t, checked(3), func(w *world) {
		for _, e := range w.fleet {
			w.wishes = append(w.wishes, planner.ChangeRequest{Engine: e.Key, Kind: engine.OrderLoad, Model: "n"})
		}
		w.hold(w.lease.Acquire(w.ctx))
		time.Sleep(50 * time.Second)
		w.wish()
		time.Sleep(10 * time.Second)
		w.calm(0)
		var at []time.Time
		for _, e := range w.engines {
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
