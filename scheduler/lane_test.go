package scheduler

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/service"
	"github.com/guavagauge/guavagauge/upstream"
)

// bench is a scheduler with one upstream, which serves as engine and service.
type bench struct {
	*Scheduler
	config   *fleet.Config
	snapshot *fleet.Snapshot
	generate func(ctx context.Context, g upstream.Generation, emit func(upstream.Token) error) (upstream.Usage, error)

	mu   sync.Mutex
	runs []string // in the order of their start
}

// inBench runs a test with a scheduler whose calls take a second each.
func inBench(t *testing.T, slots int, test func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		set, logger := metrics.NewSet(), slog.New(slog.DiscardHandler)
		meta := fleet.Meta{Owner: "o", Name: "u"}
		b := &bench{config: &fleet.Config{
			Owners: []fleet.Owner{{Name: "o"}}, Upstreams: []fleet.Upstream{{Meta: meta, Slots: slots}},
			Workspaces: []fleet.Workspace{{Meta: meta}}, Keys: []fleet.Key{{Meta: meta, Workspace: "u", SHA256: fleet.HashKey("k")}},
		}}
		b.snapshot = fleet.Compile(b.config, 1)
		b.Scheduler = New(ctx, Options{
			Logger: logger, Metrics: set, Checker: invariant.New(logger, set, invariant.Options{Fatal: true}),
			Snapshot: func() *fleet.Snapshot { return b.snapshot },
			Engine:   func(*fleet.Upstream) engine.Client { return b },
			Service:  func(*fleet.Upstream) service.Client { return b },
		})
		test(b)
		synctest.Wait()
		if load := b.lanes["o/u"].current(); load.Running+load.Waiting != 0 || load.RunningCost+load.WaitingCost != 0 {
			t.Errorf("counts after the end: %+v, want none", load)
		}
		cancel()
		synctest.Wait()
	})
}

func (b *bench) ran(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, name)
}

// order returns what has started, in order.
func (b *bench) order() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.runs, " ")
}

func (b *bench) Call(ctx context.Context, c upstream.Call) (answer upstream.Answer, err error) {
	b.ran(c.Target)
	select {
	case <-time.After(time.Second):
		return answer, nil
	case <-ctx.Done():
		return answer, ctx.Err()
	}
}

func (b *bench) Generate(ctx context.Context, g upstream.Generation, emit func(upstream.Token) error) (upstream.Usage, error) {
	return b.generate(ctx, g, emit)
}

// apply puts a changed configuration in force.
func (b *bench) apply() {
	b.snapshot = fleet.Compile(b.config, b.snapshot.Revision()+1)
	b.Apply(b.snapshot)
}

// start makes a call in the background, and returns where its failure will be.
func (b *bench) start(group *sync.WaitGroup, name, workspace string, remaining time.Duration, suspect bool) (failure *upstream.Failure) {
	failure = new(upstream.Failure)
	_, key, _ := b.snapshot.Authenticate("k")
	args := CallArgs{
		AttemptID: AttemptID{RequestID: name}, Principal: Principal{Workspace: workspace, Weight: 1, Key: key, Revision: b.snapshot.Revision()},
		Upstream: "o/u", Remaining: remaining, PoisonSuspect: suspect, Call: upstream.Call{Method: "GET", Target: name},
	}
	group.Go(func() {
		if reply := b.call(args); reply.Failure != nil {
			*failure = *reply.Failure
		}
	})
	synctest.Wait()
	return failure
}

// Guards against a workspace that floods an upstream and takes the slots of
// another one.
func TestLaneIsFair(t *testing.T) {
	inBench(t, 1, func(b *bench) {
		var group sync.WaitGroup
		for range 9 {
			b.start(&group, "f", "flood", time.Minute, false)
		}
		for range 3 {
			b.start(&group, "s", "steady", time.Minute, false)
		}
		group.Wait()
		if order := b.order(); strings.Count(order[:2*7], "s") != 3 {
			t.Errorf("order %s, want the three of the steady workspace among the first seven", order)
		}
	})
}

// Guards against two requests on probation at the same time, which would hide
// the one that crashes the upstream, and against holding back the others.
func TestLaneSeparatesSuspects(t *testing.T) {
	inBench(t, 4, func(b *bench) {
		var group sync.WaitGroup
		b.generate = func(ctx context.Context, _ upstream.Generation, _ func(upstream.Token) error) (upstream.Usage, error) {
			b.ran("long suspect")
			<-ctx.Done()
			return upstream.Usage{}, ctx.Err()
		}
		begin := time.Now()
		b.open(OpenArgs{AttemptID: AttemptID{RequestID: "g"}, Principal: Principal{}, Upstream: "o/u", Remaining: 5 * time.Second, PoisonSuspect: true})
		synctest.Wait()
		b.start(&group, "suspect", "", time.Minute, true)
		b.start(&group, "innocent", "", time.Minute, false)
		if order := b.order(); order != "long suspect innocent" {
			t.Errorf("started %q at once", order)
		}
		group.Wait()
		if took := time.Since(begin); took != probation+time.Second {
			t.Errorf("the second suspect ended after %v, want %v", took, probation+time.Second)
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against waiting work that runs although it may not or need not any
// more, against a refusal that hides that it didn't run, and against running
// work that is cut.
func TestWaitingWorkIsRefused(t *testing.T) {
	cases := []struct {
		name, reason string
		change       func(b *bench)
	}{
		{"drain", "Draining", func(b *bench) { b.config.Upstreams[0].State = fleet.Draining; b.apply() }},
		{"removed", "Draining", func(b *bench) { b.config.Upstreams = nil; b.apply() }},
		{"withdrawn key", "Withdrawn", func(b *bench) { b.config.Keys = nil; b.apply() }},
		{"deadline", "Deadline", func(*bench) { time.Sleep(700 * time.Millisecond) }},
		{"canceled", "Canceled", func(b *bench) {
			(&Receiver{b.Scheduler}).Cancel(CancelArgs{AttemptID{RequestID: "waits"}}, new(CancelReply))
		}},
		{"stop", "Stopping", func(b *bench) { b.Drain(b.ctx) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inBench(t, 1, func(b *bench) {
				var group sync.WaitGroup
				runs := b.start(&group, "runs", "o/u", time.Minute, false)
				waits := b.start(&group, "waits", "o/u", 600*time.Millisecond, false)
				if test.name == "withdrawn key" || test.name == "drain" || test.name == "removed" {
					waits = b.start(&group, "patient", "o/u", time.Minute, false)
				}
				l := b.lanes["o/u"]
				test.change(b)
				group.Wait()
				b.lanes["o/u"] = l
				if runs.Reason != "" || string(waits.Reason) != test.reason || waits.Progress.WorkStatus() != upstream.NotRun {
					t.Errorf("running: %v, waiting: %v, want none and a true NotRun for %s", runs, waits, test.reason)
				}
				if order := b.order(); order != "runs" {
					t.Errorf("ran %q, want the first only", order)
				}
			})
		})
	}
}
