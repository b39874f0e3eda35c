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

// fixture is a scheduler with one upstream, whose engine and service clients are
// the fixture itself.
type fixture struct {
	*Scheduler
	config   *fleet.Config
	snapshot *fleet.Snapshot
	generate func(ctx context.Context, g upstream.Generation, emit func(upstream.Token) error) (upstream.Usage, error)

	mu      sync.Mutex
	started []string // names of the requests, in the order of their start
}

// withFixture runs a test with a scheduler whose plain calls take one second. At
// the end it checks that no request is left in the load.
func withFixture(t *testing.T, slots int, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		set, logger := metrics.NewSet(), slog.New(slog.DiscardHandler)
		meta := fleet.Meta{Owner: "o", Name: "u"}
		f := &fixture{config: &fleet.Config{
			Owners: []fleet.Owner{{Name: "o"}}, Upstreams: []fleet.Upstream{{Meta: meta, Slots: slots}},
			Workspaces: []fleet.Workspace{{Meta: meta}}, Keys: []fleet.Key{{Meta: meta, Workspace: "u", SHA256: fleet.HashKey("k")}},
		}}
		f.snapshot = fleet.Compile(f.config, 1)
		f.Scheduler = New(ctx, Options{
			Logger: logger, Metrics: set, Checker: invariant.New(logger, set, invariant.Options{Fatal: true}),
			Snapshot: func() *fleet.Snapshot { return f.snapshot },
			Engine:   func(*fleet.Upstream) engine.Client { return f },
			Service:  func(*fleet.Upstream) service.Client { return f },
		})
		test(f)
		synctest.Wait()
		if load := f.queues["o/u"].currentLoad(); load.Running+load.Waiting != 0 || load.RunningCost+load.WaitingCost != 0 {
			t.Errorf("load after the test: %+v, want none", load)
		}
		cancel()
		synctest.Wait()
	})
}

func (f *fixture) recordStart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = append(f.started, name)
}

// startOrder returns the names of the requests that have started, in order.
func (f *fixture) startOrder() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.started, " ")
}

func (f *fixture) Call(ctx context.Context, c upstream.Call) (response upstream.Response, err error) {
	f.recordStart(c.Target)
	select {
	case <-time.After(time.Second):
		return response, nil
	case <-ctx.Done():
		return response, ctx.Err()
	}
}

func (f *fixture) Generate(ctx context.Context, g upstream.Generation, emit func(upstream.Token) error) (upstream.Usage, error) {
	return f.generate(ctx, g, emit)
}

// applyConfig applies f.config as the next revision.
func (f *fixture) applyConfig() {
	f.snapshot = fleet.Compile(f.config, f.snapshot.Revision()+1)
	f.Apply(f.snapshot)
}

// startCall makes a plain call in the background. When the call ends with a
// failure, it is stored in the returned variable.
func (f *fixture) startCall(group *sync.WaitGroup, name, workspace string, remaining time.Duration, poisonSuspect bool) (failure *upstream.Failure) {
	failure = new(upstream.Failure)
	_, key, _ := f.snapshot.Authenticate("k")
	args := CallArgs{
		AttemptID: AttemptID{RequestID: name}, Principal: Principal{Workspace: workspace, Weight: 1, Key: key, Revision: f.snapshot.Revision()},
		Upstream: "o/u", Remaining: remaining, PoisonSuspect: poisonSuspect, Call: upstream.Call{Method: "GET", Target: name},
	}
	group.Go(func() {
		if reply := f.call(args); reply.Failure != nil {
			*failure = *reply.Failure
		}
	})
	synctest.Wait()
	return failure
}

// Guards against a workspace that floods an upstream with requests and delays
// those of another workspace beyond its fair share.
func TestFloodDoesNotStarveOtherWorkspace(t *testing.T) {
	withFixture(t, 1, func(f *fixture) {
		var group sync.WaitGroup
		for range 9 {
			f.startCall(&group, "f", "flood", time.Minute, false)
		}
		for range 3 {
			f.startCall(&group, "s", "steady", time.Minute, false)
		}
		group.Wait()
		if order := f.startOrder(); strings.Count(order[:2*7], "s") != 3 {
			t.Errorf("start order %s, want the three requests of the steady workspace among the first seven", order)
		}
	})
}

// Guards against two poison suspects in their trial period at the same time, since
// a crash could not be blamed on one of them then. Also guards against delaying
// requests that aren't suspects.
func TestPoisonSuspectsStartOneAtATime(t *testing.T) {
	withFixture(t, 4, func(f *fixture) {
		var group sync.WaitGroup
		f.generate = func(ctx context.Context, _ upstream.Generation, _ func(upstream.Token) error) (upstream.Usage, error) {
			f.recordStart("long suspect")
			<-ctx.Done()
			return upstream.Usage{}, ctx.Err()
		}
		begin := time.Now()
		f.open(OpenArgs{AttemptID: AttemptID{RequestID: "g"}, Principal: Principal{}, Upstream: "o/u", Remaining: 5 * time.Second, PoisonSuspect: true})
		synctest.Wait()
		f.startCall(&group, "suspect", "", time.Minute, true)
		f.startCall(&group, "innocent", "", time.Minute, false)
		if order := f.startOrder(); order != "long suspect innocent" {
			t.Errorf("started %q without waiting, want the first suspect and the innocent request", order)
		}
		group.Wait()
		if took := time.Since(begin); took != trialPeriod+time.Second {
			t.Errorf("the second suspect ended after %v, want %v", took, trialPeriod+time.Second)
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against a waiting request that still runs after it was canceled, its
// deadline passed, its API key was withdrawn or its upstream or scheduler stopped
// accepting requests; against a rejection that doesn't say NotRun; and against
// ending the running request.
func TestWaitingRequestsAreRejectedUnrun(t *testing.T) {
	cases := []struct {
		name, reason string
		change       func(f *fixture)
	}{
		{"drain", "Draining", func(f *fixture) { f.config.Upstreams[0].State = fleet.Draining; f.applyConfig() }},
		{"removed", "Draining", func(f *fixture) { f.config.Upstreams = nil; f.applyConfig() }},
		{"withdrawn key", "Withdrawn", func(f *fixture) { f.config.Keys = nil; f.applyConfig() }},
		{"deadline", "Deadline", func(*fixture) { time.Sleep(700 * time.Millisecond) }},
		{"canceled", "Canceled", func(f *fixture) {
			(&Receiver{f.Scheduler}).Cancel(CancelArgs{AttemptID{RequestID: "waits"}}, new(CancelReply))
		}},
		{"stop", "Stopping", func(f *fixture) { f.Drain(f.ctx) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, 1, func(f *fixture) {
				var group sync.WaitGroup
				runningFailure := f.startCall(&group, "runs", "o/u", time.Minute, false)
				waitingFailure := f.startCall(&group, "waits", "o/u", 600*time.Millisecond, false)
				if test.name == "withdrawn key" || test.name == "drain" || test.name == "removed" {
					waitingFailure = f.startCall(&group, "patient", "o/u", time.Minute, false)
				}
				q := f.queues["o/u"]
				test.change(f)
				group.Wait()
				f.queues["o/u"] = q
				if runningFailure.Reason != "" || string(waitingFailure.Reason) != test.reason || waitingFailure.Progress.WorkStatus() != upstream.NotRun {
					t.Errorf("failure of the running request: %v, of the waiting one: %v, want none and NotRun for %s", runningFailure, waitingFailure, test.reason)
				}
				if order := f.startOrder(); order != "runs" {
					t.Errorf("ran %q, want only the first request", order)
				}
			})
		})
	}
}
