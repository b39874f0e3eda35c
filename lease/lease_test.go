package lease_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/storetest"
)

const (
	key              = "lease/planner/mbeya-a"
	ttl              = 15 * time.Second
	longestOperation = 5 * time.Second
)

type (
	// machine is a node whose process can be paused and whose wall clock can be
	// set. A paused process stops at its next look at the clock.
	machine struct {
		name   string
		client store.Client
		start  time.Time
		held   atomic.Pointer[lease.Lease]

		mu     sync.Mutex
		paused chan struct{}
		jump   time.Duration
	}

	// event is an operation under the lease, or the taking of it.
	event struct {
		machine    string
		epoch      uint64
		taken      bool
		start, end time.Duration
	}

	fleet struct {
		server   *storetest.Server
		machines []*machine
		ctx      context.Context
		start    time.Time

		mu     sync.Mutex
		events []event
	}

	step struct {
		kind string
		node int
		wait time.Duration
	}
)

// TestMain fixes the seed of random histories unless one is given with
// -rapid.seed; 0 takes a fresh one.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func (m *machine) Now() lease.Reading {
	for {
		m.mu.Lock()
		paused, jump := m.paused, m.jump
		m.mu.Unlock()
		if paused == nil {
			now := time.Now()
			return lease.Reading{Wall: now.Round(0).Add(jump), Monotonic: now.Sub(m.start)}
		}
		<-paused
	}
}

func (m *machine) change(paused chan struct{}, jump time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused != nil && paused == nil {
		close(m.paused)
	}
	m.paused = paused
	m.jump += jump
}

// newFleet starts nodes that send operations whenever they hold the lease. It
// runs inside a synctest bubble.
func newFleet(ctx context.Context, nodes int, seed uint64) *fleet {
	f := &fleet{server: storetest.New(storetest.Options{}), ctx: ctx, start: time.Now()}
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		m := &machine{name: name, client: f.server.Client(name), start: time.Now()}
		f.machines = append(f.machines, m)
		random := &lockedRand{rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		options := lease.Options{
			Key: key, Holder: name, TTL: ttl, MaxOperationTime: longestOperation, Clock: m, Jitter: random.below,
		}
		go func() {
			for ctx.Err() == nil {
				f.hold(m, options, random)
			}
		}()
		time.Sleep(time.Second) // the first node takes the lease
	}
	return f
}

// hold takes the lease once and sends operations until it is lost.
func (f *fleet) hold(m *machine, options lease.Options, random *lockedRand) {
	held, err := lease.Acquire(f.ctx, m.client, options)
	if err != nil {
		return
	}
	f.record(event{machine: m.name, epoch: held.Epoch(), taken: true, end: time.Since(f.start)})
	m.held.Store(held)
	defer held.Release(f.ctx)
	if held.AwaitPredecessor(f.ctx) != nil {
		return
	}
	for held.Context().Err() == nil {
		held.Do(f.ctx, func(context.Context) error {
			start := time.Since(f.start)
			time.Sleep(random.below(longestOperation)) // an engine doesn't stop when the caller does
			f.record(event{machine: m.name, epoch: held.Epoch(), start: start, end: time.Since(f.start)})
			return nil
		})
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *fleet) record(e event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

func (f *fleet) inject(s step) {
	m, other := f.machines[s.node], max(f.server.Revision(), 2)-1
	switch s.kind {
	case "pause":
		m.change(make(chan struct{}), 0)
	case "jump forward":
		m.change(nil, s.wait)
	case "jump back":
		m.change(nil, -s.wait)
	case "cut":
		f.server.Partition(m.name, storetest.Both)
	case "cut answers":
		f.server.Partition(m.name, storetest.Responses)
	case "down":
		f.server.SetDown(true)
	case "restart with old reads":
		f.server.Restart()
		f.server.SetReadRevision(other)
	case "slow":
		f.server.SetDelay(1500 * time.Millisecond)
	case "too slow":
		f.server.SetDelay(5 * time.Second)
	case "lose answers":
		for _, kind := range []storetest.Kind{storetest.Put, storetest.Grant, storetest.KeepAlive, storetest.Revoke} {
			f.server.DropResponses(kind, 1)
		}
	case "release":
		if held := m.held.Load(); held != nil {
			ctx, cancel := context.WithTimeout(f.ctx, time.Second)
			held.Release(ctx)
			cancel()
		}
	}
	time.Sleep(s.wait)
	if s.kind == "pause" {
		m.change(nil, 0)
	}
	f.server.Heal(m.name)
	f.server.SetDown(false)
	f.server.SetDelay(0)
	f.server.SetReadRevision(0)
}

// run plays a script and returns what the nodes did.
func run(t *testing.T, nodes int, seed uint64, script []step) (events []event) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, nodes, seed)
		time.Sleep(time.Minute)
		for _, s := range script {
			f.inject(s)
			time.Sleep(s.wait / 8)
		}
		time.Sleep(2 * time.Minute) // a working store gives the lease to someone
		f.record(event{machine: "end", start: time.Since(f.start)})
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		events = f.events
	})
	return events
}

// violation checks a history twice: against a model of an exclusive authority,
// in which no operation starts under an epoch after a later one was taken, and
// for operations of different epochs that overlap in time.
func violation(events []event) error {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, _ any) (bool, any) {
			e := input.(event)
			if e.taken {
				return e.epoch > state.(uint64), e.epoch
			}
			return e.epoch == state.(uint64), state
		},
	}
	var history []porcupine.Operation
	last, end := event{}, time.Duration(0)
	for _, e := range events {
		if e.machine == "end" {
			end = e.start
			continue
		}
		history = append(history, porcupine.Operation{Input: e, Call: int64(e.start), Return: int64(e.end)})
		if e.end > last.end {
			last = e
		}
		for _, other := range events {
			if !e.taken && !other.taken && e.epoch < other.epoch && other.epoch != 0 && e.end > other.start {
				return errors.Errorf("operations overlap: %+v and %+v", e, other)
			}
		}
	}
	if porcupine.CheckOperationsTimeout(model, history, time.Minute) != porcupine.Ok {
		return errors.Errorf("not the history of an exclusive authority: %+v", events)
	}
	if end-last.end > time.Minute {
		return errors.Errorf("nobody holds the lease at the end: last %+v, end %s", last, end)
	}
	return nil
}

func holders(events []event) (holders int) {
	for _, e := range events {
		if e.taken {
			holders++
		}
	}
	return holders
}

// Guards against two nodes that act on the same authority, and against an
// authority that nobody takes up again, in each fault that the design names.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		script  []step
		holders int
	}{
		"no fault":                       {nil, 1},
		"pause past the lease":           {[]step{{"pause", 0, time.Minute}}, 2},
		"pause within the lease":         {[]step{{"pause", 0, 4 * time.Second}}, 1},
		"holder cut off":                 {[]step{{"cut", 0, time.Minute}}, 2},
		"answers to the holder cut off":  {[]step{{"cut answers", 0, time.Minute}}, 2},
		"cut shorter than the lease":     {[]step{{"cut", 0, 6 * time.Second}}, 1},
		"store down for an hour":         {[]step{{"down", 0, time.Hour}}, 2},
		"store slow":                     {[]step{{"slow", 0, 5 * time.Minute}}, 1},
		"store too slow":                 {[]step{{"too slow", 0, 5 * time.Minute}}, 2},
		"clock set forward by a minute":  {[]step{{"jump forward", 0, time.Minute}}, 2},
		"clock set forward by a second":  {[]step{{"jump forward", 0, time.Second}}, 1},
		"clock set back":                 {[]step{{"jump back", 0, time.Minute}}, 1},
		"released":                       {[]step{{"release", 0, time.Minute}}, 2},
		"old reads after a lost lease":   {[]step{{"release", 0, time.Second}, {"restart with old reads", 0, time.Minute}}, 2},
		"answers lost during a takeover": {[]step{{"lose answers", 0, 0}, {"release", 0, time.Minute}}, 2},
		"both paused in turn":            {[]step{{"pause", 0, time.Minute}, {"pause", 1, time.Minute}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			events := run(t, 2, 1, test.script)
			if err := violation(events); err != nil {
				t.Error(err)
			}
			if n := holders(events); n != test.holders {
				t.Errorf("%d holders, want %d", n, test.holders)
			}
		})
	}
}

// Guards against combinations of faults that the table doesn't have.
func TestRandomFaults(t *testing.T) {
	steps := rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.SampledFrom([]string{
				"pause", "jump forward", "jump back", "cut", "cut answers", "down", "restart with old reads",
				"slow", "too slow", "lose answers", "release",
			}).Draw(t, "kind"),
			node: rapid.IntRange(0, 2).Draw(t, "node"),
			wait: time.Duration(rapid.IntRange(0, 40_000).Draw(t, "wait")) * time.Millisecond,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(steps, 1, 12).Draw(rt, "script")
		events := run(t, 3, rapid.Uint64().Draw(rt, "seed"), script)
		if err := violation(events); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a cost to the store that grows with time or waiting nodes
// beyond what the design allows.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait(); time.Sleep(time.Minute) }()
		f := newFleet(ctx, 3, 1)
		time.Sleep(time.Minute)
		f.server.ResetCalls()
		time.Sleep(10 * time.Minute)
		for kind, limit := range map[storetest.Kind]int{
			storetest.KeepAlive: 10 * 14, // one per 5 s, less 10% by jitter
			storetest.Watch:     2 * 21,  // two nodes wait in polls of 30 s
			storetest.Get:       2 * 21,
			storetest.Put:       0,
		} {
			if n := f.server.Calls(kind); n > limit {
				t.Errorf("%d calls of %s in 10 minutes, want at most %d", n, kind, limit)
			}
		}
		t.Logf("in 10 minutes: KeepAlive %d, Watch %d, Get %d",
			f.server.Calls(storetest.KeepAlive), f.server.Calls(storetest.Watch), f.server.Calls(storetest.Get))
	})
}

// Guards against a release that leaves the successor waiting for the expiry,
// and against authority that outlives it.
func TestRelease(t *testing.T) {
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
			t.Errorf("epoch %d after %s, after epoch %d: %v", second.Epoch(), time.Since(before), first.Epoch(), err)
		}
		second.Release(t.Context())
		synctest.Wait()
	})
}

// Guards against an operation prepared before a pause or a clock jump that is
// sent after it, and against a lease that stays suspended.
func TestSuspension(t *testing.T) {
	for name, disturb := range map[string]func(m *machine){
		"pause": func(m *machine) {
			m.change(make(chan struct{}), 0)
			time.Sleep(3 * time.Second)
			m.change(nil, 0)
		},
		"jump forward": func(m *machine) { m.change(nil, 2*time.Second) },
		"jump back":    func(m *machine) { m.change(nil, -2*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &machine{start: time.Now()}
				server := storetest.New(storetest.Options{})
				held, err := lease.Acquire(t.Context(), server.Client("a"), lease.Options{Key: key, Clock: m})
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(400 * time.Millisecond)
				server.SetDelay(time.Second)
				disturb(m)
				if err := held.Check(); !errors.Is(err, lease.ErrSuspended) {
					t.Errorf("check after the disturbance: %v", err)
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

// Guards against a holder that counts the life of its lease from the answer to
// a renewal, although the service counts from when it got the request.
func TestLateAnswers(t *testing.T) {
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
				t.Fatal("the holder has authority although the key is free")
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
