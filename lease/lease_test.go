package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/rapidtest"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/storetest"
)

const (
	key              = "lease/planner/mbeya-a"
	ttl              = 15 * time.Second
	maxOperationTime = 5 * time.Second
)

type (
	// testNode is a node whose process can be paused and whose wall clock can be
	// set. It is the lease.Clock of its node: a paused process blocks in Now.
	testNode struct {
		name   string
		client store.Client
		start  time.Time
		held   atomic.Pointer[lease.Lease]

		mu     sync.Mutex
		paused chan struct{}
		jump   time.Duration
	}

	// event is an operation under a lease or, if acquired is set, the acquisition
	// of a lease. The last event has node "end" and epoch 0 and only marks the time.
	event struct {
		node       string
		epoch      uint64
		acquired   bool
		start, end time.Duration
	}

	// held is the state of the lease in a history: the last epoch that was acquired, and
	// the last one with an operation.
	held struct{ acquired, used uint64 }

	// cluster is a store with nodes that compete for one lease.
	cluster struct {
		server *storetest.Server
		nodes  []*testNode
		ctx    context.Context
		start  time.Time

		mu     sync.Mutex
		events []event
	}

	// step injects a fault at a node for the duration wait, which is also the
	// size of a clock jump.
	step struct {
		kind string
		node int
		wait time.Duration
	}
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Defaults{"rapid.seed": "1"}) }

func (n *testNode) Now() lease.Reading {
	for {
		n.mu.Lock()
		paused, jump := n.paused, n.jump
		n.mu.Unlock()
		if paused == nil {
			now := time.Now()
			return lease.Reading{Wall: now.Round(0).Add(jump), Monotonic: now.Sub(n.start)}
		}
		<-paused
	}
}

// setFault pauses the process until paused is closed, or resumes it if paused is
// nil, and adds jump to the wall clock.
func (n *testNode) setFault(paused chan struct{}, jump time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused != nil && paused == nil {
		close(n.paused)
	}
	n.paused = paused
	n.jump += jump
}

// newCluster starts nodes that send operations whenever they hold the lease. It
// must be called in a synctest bubble.
func newCluster(ctx context.Context, nodes int, seed uint64) *cluster {
	c := &cluster{server: storetest.New(storetest.Options{}), ctx: ctx, start: time.Now()}
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		n := &testNode{name: name, client: c.server.Client(name), start: time.Now()}
		c.nodes = append(c.nodes, n)
		random := &lockedRand{rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		options := lease.Options{
			Key: key, Holder: name, TTL: ttl, MaxOperationTime: maxOperationTime, Clock: n, Jitter: random.below,
		}
		go func() {
			for ctx.Err() == nil {
				c.holdLease(n, options, random)
			}
		}()
		time.Sleep(time.Second) // the first node acquires the lease before the others start
	}
	return c
}

// holdLease acquires the lease once and sends operations until it ends.
func (c *cluster) holdLease(n *testNode, options lease.Options, random *lockedRand) {
	held, err := lease.Acquire(c.ctx, n.client, options)
	if err != nil {
		return
	}
	c.record(event{node: n.name, epoch: held.Epoch(), acquired: true, end: time.Since(c.start)})
	n.held.Store(held)
	defer held.Release(c.ctx)
	if held.AwaitPredecessor(c.ctx) != nil {
		return
	}
	for held.Context().Err() == nil {
		held.Do(c.ctx, func(context.Context) error {
			start := time.Since(c.start)
			time.Sleep(random.below(maxOperationTime)) // the operation continues after its context has ended
			c.record(event{node: n.name, epoch: held.Epoch(), start: start, end: time.Since(c.start)})
			return nil
		})
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *cluster) record(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

func (c *cluster) injectFault(s step) {
	n, oldRevision := c.nodes[s.node], max(c.server.Revision(), 2)-1
	switch s.kind {
	case "pause":
		n.setFault(make(chan struct{}), 0)
	case "jump forward":
		n.setFault(nil, s.wait)
	case "jump back":
		n.setFault(nil, -s.wait)
	case "cut":
		c.server.Partition(n.name, storetest.Both)
	case "cut responses":
		c.server.Partition(n.name, storetest.Responses)
	case "down":
		c.server.SetDown(true)
	case "restart with stale reads":
		c.server.Restart()
		c.server.SetReadRevision(oldRevision)
	case "slow":
		c.server.SetDelay(1500 * time.Millisecond)
	case "too slow":
		c.server.SetDelay(5 * time.Second)
	case "lose responses":
		for _, kind := range []storetest.Kind{storetest.Put, storetest.Grant, storetest.KeepAlive, storetest.Revoke} {
			c.server.DropResponses(kind, 1)
		}
	case "release":
		if held := n.held.Load(); held != nil {
			ctx, cancel := context.WithTimeout(c.ctx, time.Second)
			held.Release(ctx)
			cancel()
		}
	}
	if restored, beside := strings.CutPrefix(s.kind, "restore"); beside {
		c.restore(n, restored, s.wait)
	}
	time.Sleep(s.wait)
	if s.kind == "pause" || s.kind == "restore beside a pause" {
		n.setFault(nil, 0)
	}
	c.server.Heal(n.name)
	c.server.SetDown(false)
	c.server.SetDelay(0)
	c.server.SetReadRevision(0)
}

// restore makes the store come back from a copy that is as old as lost and a second more,
// while a node has another fault or releases its lease in the lost time.
func (c *cluster) restore(n *testNode, beside string, lost time.Duration) {
	old := c.server.Copy()
	switch beside {
	case " beside a pause":
		n.setFault(make(chan struct{}), 0)
	case " beside a cut":
		c.server.Partition(n.name, storetest.Both)
	case " beside a release":
		if held := n.held.Load(); held != nil {
			go held.Release(c.ctx)
		}
	}
	time.Sleep(lost)
	c.server.SetDown(true)
	time.Sleep(time.Second)
	c.server.Restore(old)
	c.server.SetDown(false)
}

// runScript runs a cluster, injects the faults of script one after the other and
// returns the events.
func runScript(t *testing.T, nodes int, seed uint64, script []step) (events []event) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, nodes, seed)
		time.Sleep(time.Minute)
		for _, s := range script {
			c.injectFault(s)
			time.Sleep(s.wait / 8)
		}
		time.Sleep(2 * time.Minute) // without faults, some node acquires the lease
		c.record(event{node: "end", start: time.Since(c.start)})
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
		c.mu.Lock()
		defer c.mu.Unlock()
		events = c.events
	})
	return events
}

// era returns the era of the store in which an epoch was acquired.
func era(epoch uint64) uint64 { return epoch >> 40 }

// checkHistory returns an error if an operation of an epoch may have run after a
// higher epoch was acquired in the same era of the store, or after an operation of a
// higher epoch, if operations of different epochs overlap in time,
// or if no node holds the lease at the end.
func checkHistory(events []event) error {
	model := porcupine.Model{
		Init: func() any { return held{} },
		Step: func(state, input, _ any) (bool, any) {
			e, s := input.(event), state.(held)
			switch {
			case e.acquired:
				return e.epoch > s.acquired, held{e.epoch, s.used}
			case e.epoch == s.acquired:
				return true, held{s.acquired, e.epoch}
			}
			// A holder that hasn't noticed a new era acts until its term ends, for which the
			// next one waits.
			return era(e.epoch) < era(s.acquired) && e.epoch >= s.used, held{s.acquired, e.epoch}
		},
	}
	var history []porcupine.Operation
	last, end := event{}, time.Duration(0)
	for _, e := range events {
		if e.node == "end" {
			end = e.start
			continue
		}
		history = append(history, porcupine.Operation{Input: e, Call: int64(e.start), Return: int64(e.end)})
		if e.end > last.end {
			last = e
		}
		for _, other := range events {
			if !e.acquired && !other.acquired && e.epoch < other.epoch && other.epoch != 0 && e.end > other.start {
				return errors.Errorf("operations overlap: %+v and %+v", e, other)
			}
		}
	}
	if porcupine.CheckOperationsTimeout(model, history, time.Minute) != porcupine.Ok {
		return errors.Errorf("history breaks the exclusiveness of the lease: %+v", events)
	}
	if end-last.end > time.Minute {
		return errors.Errorf("no node holds the lease at the end: last event %+v, end %s", last, end)
	}
	return nil
}

func countHolders(events []event) (count int) {
	for _, e := range events {
		if e.acquired {
			count++
		}
	}
	return count
}

// Guards against operations of two nodes under the lease at the same time, and
// against a lease that no node acquires again, under each kind of fault. Also
// guards against a change of the holder under a fault that a lease must survive.
func TestLeaseIsExclusiveUnderFaults(t *testing.T) {
	for name, test := range map[string]struct {
		script  []step
		holders int
	}{
		"no fault":                             {nil, 1},
		"pause longer than the TTL":            {[]step{{"pause", 0, time.Minute}}, 2},
		"pause shorter than the TTL":           {[]step{{"pause", 0, 4 * time.Second}}, 1},
		"holder partitioned":                   {[]step{{"cut", 0, time.Minute}}, 2},
		"responses to the holder dropped":      {[]step{{"cut responses", 0, time.Minute}}, 2},
		"partition shorter than the TTL":       {[]step{{"cut", 0, 6 * time.Second}}, 1},
		"store down for an hour":               {[]step{{"down", 0, time.Hour}}, 2},
		"store slow":                           {[]step{{"slow", 0, 5 * time.Minute}}, 1},
		"store slower than the call timeout":   {[]step{{"too slow", 0, 5 * time.Minute}}, 2},
		"clock set forward by a minute":        {[]step{{"jump forward", 0, time.Minute}}, 2},
		"clock set forward by a second":        {[]step{{"jump forward", 0, time.Second}}, 1},
		"clock set back":                       {[]step{{"jump back", 0, time.Minute}}, 1},
		"released":                             {[]step{{"release", 0, time.Minute}}, 2},
		"stale reads after a release":          {[]step{{"release", 0, time.Second}, {"restart with stale reads", 0, time.Minute}}, 2},
		"responses lost during an acquisition": {[]step{{"lose responses", 0, 0}, {"release", 0, time.Minute}}, 2},
		"store restored":                       {[]step{{"restore", 0, 5 * time.Second}}, 2},
		"store restored twice":                 {[]step{{"restore", 0, 5 * time.Second}, {"restore", 1, 40 * time.Second}}, 3},
		"store restored beside a pause":        {[]step{{"restore beside a pause", 0, 8 * time.Second}}, 2},
		"store restored beside a long pause":   {[]step{{"restore beside a pause", 0, time.Minute}}, 3},
		"store restored beside a cut":          {[]step{{"restore beside a cut", 0, 3 * time.Second}}, 2},
		"store restored beside a release":      {[]step{{"restore beside a release", 0, 4 * time.Second}}, 3},
		"both nodes paused in turn":            {[]step{{"pause", 0, time.Minute}, {"pause", 1, time.Minute}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			events := runScript(t, 2, 1, test.script)
			if err := checkHistory(events); err != nil {
				t.Error(err)
			}
			if n := countHolders(events); n != test.holders {
				t.Errorf("%d holders, want %d", n, test.holders)
			}
		})
	}
}

// Guards against the failures of TestLeaseIsExclusiveUnderFaults under random
// combinations of faults.
func TestLeaseIsExclusiveUnderRandomFaults(t *testing.T) {
	steps := rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.SampledFrom([]string{
				"pause", "jump forward", "jump back", "cut", "cut responses", "down", "restart with stale reads",
				"slow", "too slow", "lose responses", "release",
				"restore", "restore beside a pause", "restore beside a cut", "restore beside a release",
			}).Draw(t, "kind"),
			node: rapid.IntRange(0, 2).Draw(t, "node"),
			wait: time.Duration(rapid.IntRange(0, 40_000).Draw(t, "wait")) * time.Millisecond,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(steps, 1, 12).Draw(rt, "script")
		events := runScript(t, 3, rapid.Uint64().Draw(rt, "seed"), script)
		if err := checkHistory(events); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against more calls to the store than one renewal per RenewInterval by
// the holder and one watch and one read per long poll by each waiting node.
func TestStoreCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait(); time.Sleep(time.Minute) }()
		c := newCluster(ctx, 3, 1)
		time.Sleep(time.Minute)
		c.server.ResetCalls()
		time.Sleep(10 * time.Minute)
		for kind, limit := range map[storetest.Kind]int{
			storetest.KeepAlive: 10 * 14, // one per 5 s, up to 10% sooner by jitter
			storetest.Watch:     2 * 21,  // two nodes wait in long polls of 30 s
			storetest.Get:       2 * 21,
			storetest.Put:       0,
		} {
			if n := c.server.Calls(kind); n > limit {
				t.Errorf("%d calls of %s in 10 minutes, want at most %d", n, kind, limit)
			}
		}
		t.Logf("in 10 minutes: KeepAlive %d, Watch %d, Get %d",
			c.server.Calls(storetest.KeepAlive), c.server.Calls(storetest.Watch), c.server.Calls(storetest.Get))
	})
}

// Guards against a successor that has to wait for the expiry of a released
// lease, and against a holder that may send operations after the release.
func TestReleaseFreesLeaseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := storetest.New(storetest.Options{})
		options := lease.Options{Key: key, Holder: "a", TTL: time.Hour}
		first, err := lease.Acquire(t.Context(), server.Client("a"), options)
		if err != nil {
			t.Fatal(err)
		}
		if holder, err := lease.Read(t.Context(), server.Client("b"), key); err != nil || holder.Holder != "a" || holder.Epoch != first.Epoch() {
			t.Errorf("read: %+v, %v", holder, err)
		}
		if err := first.Release(t.Context()); err != nil {
			t.Error(err)
		}
		if err := first.Check(); !errors.Is(err, lease.ErrReleased) || first.Context().Err() == nil {
			t.Errorf("check after release: %v, context %v", err, first.Context().Err())
		}
		before := time.Now()
		second, err := lease.Acquire(t.Context(), server.Client("b"), options)
		if err != nil || time.Since(before) > 10*time.Second || second.Epoch() <= first.Epoch() {
			t.Errorf("second lease has epoch %d after %s, first had epoch %d: %v", second.Epoch(), time.Since(before), first.Epoch(), err)
		}
		second.Release(t.Context())
		synctest.Wait()
	})
}

// Guards against an operation that is prepared before a pause or a clock jump
// and sent after it, and against a lease that stays suspended after a renewal.
func TestPauseOrClockJumpSuspendsUntilRenewal(t *testing.T) {
	for name, disturb := range map[string]func(n *testNode){
		"pause": func(n *testNode) {
			n.setFault(make(chan struct{}), 0)
			time.Sleep(3 * time.Second)
			n.setFault(nil, 0)
		},
		"jump forward": func(n *testNode) { n.setFault(nil, 2*time.Second) },
		"jump back":    func(n *testNode) { n.setFault(nil, -2*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &testNode{start: time.Now()}
				server := storetest.New(storetest.Options{})
				held, err := lease.Acquire(t.Context(), server.Client("a"), lease.Options{Key: key, Clock: n})
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(400 * time.Millisecond)
				server.SetDelay(time.Second)
				disturb(n)
				if err := held.Check(); !errors.Is(err, lease.ErrSuspended) {
					t.Errorf("check after the pause or jump: %v, want ErrSuspended", err)
				}
				time.Sleep(2 * time.Second)
				if err := held.Check(); err != nil {
					t.Errorf("check after a renewal: %v", err)
				}
				held.Release(t.Context())
			})
		})
	}
}

// Guards against a holder that counts its TTL from the response to a renewal,
// although the store counts from when it received the request.
func TestTTLCountsFromRenewalRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := storetest.New(storetest.Options{})
		held, err := lease.Acquire(t.Context(), server.Client("a"), lease.Options{Key: key, TTL: time.Minute, CallTimeout: 30 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		server.SetDelay(20 * time.Second)
		time.Sleep(45 * time.Second) // one renewal has succeeded
		server.Partition("a", storetest.Requests)
		server.SetDelay(0)
		for range 120 {
			time.Sleep(time.Second)
			if _, err := lease.Read(t.Context(), server.Client("b"), key); err != nil && held.Check() == nil {
				t.Fatal("Check passes although the key is free")
			}
		}
		held.Release(t.Context())
	})
}

type lockedRand struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func (r *lockedRand) below(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rand.Int64N(int64(limit)))
}

// Guards against a fencing token that an earlier holder has used, or a lower one, after
// the store has come back from an older copy: at a process that has seen more than the
// copy holds, and at one that starts then and knows nothing.
func TestEpochsRiseAcrossEras(t *testing.T) {
	for name, fresh := range map[string]bool{"seen more": false, "new process": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := storetest.New(storetest.Options{})
				client := server.Client("a")
				old, last := server.Copy(), uint64(0)
				for range 3 {
					for range 5 {
						_, err := client.Put(t.Context(), store.PutRequest{Key: "other", IfVersion: store.AnyVersion})
						if err != nil && !errors.Is(err, store.ErrEraChanged) {
							t.Fatal(err)
						}
					}
					held, err := lease.Acquire(t.Context(), client, lease.Options{Key: key, Holder: "a", TTL: ttl})
					if err != nil {
						t.Fatal(err)
					}
					if held.Epoch() <= last {
						t.Errorf("epoch %d after %d, want a higher one", held.Epoch(), last)
					}
					last = held.Epoch()
					server.Restore(old)
					if fresh {
						client = server.Client("a")
					}
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a holder that ends the lease of another process: after the store has come
// back from an older copy, the ID of its own store lease was given out again.
func TestReleaseInLaterEraEndsNoOtherLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := storetest.New(storetest.Options{})
		old := server.Copy()
		first, err := lease.Acquire(t.Context(), server.Client("a"), lease.Options{Key: key, Holder: "a", TTL: ttl})
		if err != nil {
			t.Fatal(err)
		}
		server.Restore(old)
		second, err := lease.Acquire(t.Context(), server.Client("b"), lease.Options{Key: key, Holder: "b", TTL: ttl})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(ttl / 2) // the first holder renews and learns of the new era
		if first.Context().Err() == nil {
			t.Error("the first holder keeps its lease in the new era")
		}
		first.Release(t.Context())
		if err := second.Check(); err != nil {
			t.Errorf("the second holder has lost its lease: %v", err)
		}
		if holder, err := lease.Read(t.Context(), server.Client("c"), key); err != nil || holder.Holder != "b" {
			t.Errorf("the key belongs to %q (%v), want b", holder.Holder, err)
		}
		second.Release(t.Context())
		time.Sleep(time.Minute)
	})
}

// Guards against two processes that act at the same time because the store has lost the
// lease of one that doesn't reach it, and against a longer pause than its term.
func TestNextHolderAwaitsTermsOfEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := storetest.New(storetest.Options{})
		old := server.Copy()
		options := lease.Options{Key: key, Holder: "a", TTL: ttl}
		first, err := lease.Acquire(t.Context(), server.Client("a"), options)
		if err != nil {
			t.Fatal(err)
		}
		server.Partition("a", storetest.Both)
		server.Restore(old)
		second, err := lease.Acquire(t.Context(), server.Client("b"), options)
		if err != nil {
			t.Fatal(err)
		}
		if err := first.Check(); err != nil {
			t.Fatalf("the first holder has lost its lease: %v, want its term to go on", err)
		}
		acquiredAt := time.Now()
		if err := second.AwaitEarlierEra(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := first.Check(); err == nil {
			t.Error("both holders may act")
		}
		if waited := time.Since(acquiredAt); waited > ttl {
			t.Errorf("the second holder waited for %s, want at most a term of %s", waited, ttl)
		}
		server.Heal("a")
		first.Release(t.Context())
		second.Release(t.Context())
		time.Sleep(time.Minute)
	})
}
