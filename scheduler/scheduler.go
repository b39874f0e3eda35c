// Package scheduler runs requests on upstreams on behalf of the whole fleet.
// The scheduler of an upstream is one node, so it knows what runs there without
// waiting for reports; entry nodes reach it over package peer.
//
// # Usage
//
//	s := scheduler.New(ctx, options)
//	s.Register(peerServer)          // serves Steward.Open, NextMany, Confirm, Cancel, Call, Crash
//	s.Apply(snapshot)               // on each change of the configuration
//	s.Drain(ctx)                    // before the node stops
//
// Two nodes that both act as the scheduler of an upstream make its load figures
// wrong, and nothing else.
package scheduler

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/service"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	// CallCost is the cost of a plain service call in the fair queue, as of so
	// many prompt tokens.
	CallCost = 256

	maxUnconfirmed = 256              // tokens held for an entry node that doesn't pull
	idleLimit      = 10 * time.Second // a stream that nobody pulls is canceled
	maxWait        = 5 * time.Second  // longest wait of one pull
	drainPoll      = 50 * time.Millisecond
)

type (
	// Options of a Scheduler. The factories are called once per upstream and
	// address.
	Options struct {
		Logger   *slog.Logger
		Metrics  *metrics.Set
		Checker  *invariant.Checker
		Snapshot func() *fleet.Snapshot
		Engine   func(spec *fleet.Upstream) engine.Client
		Service  func(spec *fleet.Upstream) service.Client
		// Quarantine is how long a request that crashed upstreams is held out; 0
		// takes the default of policy.Crashes.
		Quarantine time.Duration
	}

	// Scheduler runs requests on the upstreams that this node is responsible
	// for.
	Scheduler struct {
		ctx     context.Context
		options Options

		mu        sync.Mutex
		lanes     map[string]*lane
		engines   map[string]cached[engine.Client]
		services  map[string]cached[service.Client]
		streams   map[AttemptID]*stream
		sessions  map[uint64]*session // by puller
		lastEpoch uint64
		calls     map[AttemptID]context.CancelFunc
		stopping  bool
		crashes   *policy.Crashes
	}

	cached[T any] struct {
		spec   *fleet.Upstream
		client T
	}
)

// New returns a Scheduler whose work ends with ctx.
func New(ctx context.Context, options Options) *Scheduler {
	return &Scheduler{
		ctx:      ctx,
		options:  options,
		lanes:    make(map[string]*lane),
		engines:  make(map[string]cached[engine.Client]),
		services: make(map[string]cached[service.Client]),
		streams:  make(map[AttemptID]*stream),
		sessions: make(map[uint64]*session),
		// A restarted scheduler must not repeat the epochs that it gave before.
		lastEpoch: rand.Uint64() >> 1,
		calls:     make(map[AttemptID]context.CancelFunc),
		crashes:   policy.NewCrashes(policy.CrashOptions{TTL: options.Quarantine}),
	}
}

// Register makes the scheduler callable by peers. The rpc service keeps the
// name Steward.
func (s *Scheduler) Register(server *peer.Server) (err error) {
	return server.Register("Steward", &Receiver{steward: s})
}

// Apply takes over upstream settings, such as slots and draining, from a new
// configuration. Work that waits for an upstream that now drains is refused, so
// that its entry nodes place it elsewhere.
func (s *Scheduler) Apply(snapshot *fleet.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, l := range s.lanes {
		spec, ok := snapshot.Upstream(key)
		switch {
		case ok:
			l.update(spec)
		case l.idle():
			delete(s.lanes, key)
			delete(s.engines, key)
			delete(s.services, key)
		default:
			l.drain(upstream.ReasonDraining)
		}
	}
}

// StopAccepting turns away new and waiting work from now on, so that entry
// nodes place it elsewhere.
func (s *Scheduler) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, l := range s.lanes {
		l.drain(upstream.ReasonStopping)
	}
}

// Drain refuses new and waiting work and returns when the running work is done
// and its answers have been sent, or ctx ends. What runs then is failed, so that
// streams go on elsewhere.
func (s *Scheduler) Drain(ctx context.Context) {
	s.StopAccepting()
	for settled := false; !settled; {
		// Replies that are ready now are written while this waits.
		settled = s.idle() && s.delivered()
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			s.failStreams()
			return
		}
	}
}

// InFlight returns the number of requests that run or wait on this node's
// upstreams.
func (s *Scheduler) InFlight() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lanes {
		load := l.current()
		n += load.Running + load.Waiting
	}
	return n
}

func (s *Scheduler) idle() bool { return s.InFlight() == 0 }

// delivered reports whether the ends of all streams have been sent.
func (s *Scheduler) delivered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		if !st.delivered() {
			return false
		}
	}
	return true
}

func (s *Scheduler) failStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.finish(upstream.Usage{}, &upstream.Failure{
			Reason: upstream.ReasonStopping, Progress: upstream.Answered, Detail: "the steward is stopping",
		})
	}
}

// admit checks what holds for every kind of work and returns the lane.
func (s *Scheduler) admit(key string, origin Principal) (l *lane, spec *fleet.Upstream, failure *upstream.Failure) {
	snapshot := s.options.Snapshot()
	spec, ok := snapshot.Upstream(key)
	if !ok {
		return nil, nil, refuse(upstream.ReasonNoUpstream, "the upstream isn't in the configuration")
	}
	if s.withdrawn(origin) {
		return nil, nil, refuse(upstream.ReasonWithdrawn, "the key was withdrawn")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, nil, refuse(upstream.ReasonStopping, "the steward is stopping")
	}
	l = s.lanes[key]
	if l == nil {
		l = newLane(spec)
		s.lanes[key] = l
	}
	return l, spec, nil
}

// withdrawn reports whether the request's key is known to be withdrawn. A
// configuration older than the entry node's can't tell, since the key may be
// newer.
func (s *Scheduler) withdrawn(origin Principal) bool {
	snapshot := s.options.Snapshot()
	return origin.Workspace != "" && snapshot.Revision() >= origin.Revision && !snapshot.KeyActive(origin.Key)
}

// startable is checked when a job leaves the queue.
func (s *Scheduler) startable(l *lane, j *job, origin Principal) (failure *upstream.Failure) {
	if s.withdrawn(origin) {
		s.count("refused", upstream.ReasonWithdrawn)
		return refuse(upstream.ReasonWithdrawn, "the key was withdrawn while the request waited")
	}
	s.options.Checker.Check(!j.late, invariant.NoWorkWhenDraining,
		"work started on a draining upstream", "Upstream", l.key)
	return nil
}

func (s *Scheduler) engine(spec *fleet.Upstream) engine.Client {
	return clientOf(s, s.engines, spec, s.options.Engine)
}

func (s *Scheduler) service(spec *fleet.Upstream) service.Client {
	return clientOf(s, s.services, spec, s.options.Service)
}

// clientOf returns the client of an upstream, and makes a new one when its
// address has changed.
func clientOf[T any](s *Scheduler, clients map[string]cached[T], spec *fleet.Upstream, build func(spec *fleet.Upstream) T) (client T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := clients[spec.QualifiedName()]; ok && c.spec.Address == spec.Address {
		return c.client
	}
	client = build(spec)
	clients[spec.QualifiedName()] = cached[T]{spec, client}
	return client
}

// failureOf turns the error of a run into the failure reported to the entry
// node.
func (s *Scheduler) failureOf(ctx context.Context, l *lane, j *job, err error) (failure *upstream.Failure) {
	if err == nil {
		return nil
	}
	var cause *upstream.Failure
	if !errors.As(err, &cause) {
		cause = &upstream.Failure{Reason: upstream.ReasonBroken, Progress: upstream.Written, Detail: err.Error()}
	}
	copied := *cause
	failure = &copied
	if l.reclaimed() {
		failure.Crashed = false
	}
	if failure.Crashed || failure.Reason == upstream.ReasonConnect {
		l.down()
	}
	if failure.Crashed {
		failure.Crashed = l.crashed(j)
	}
	switch context.Cause(ctx) {
	case context.DeadlineExceeded:
		failure.Reason, failure.Crashed = upstream.ReasonDeadline, false
	case context.Canceled:
		failure.Reason, failure.Crashed = upstream.ReasonCanceled, false
	}
	s.count("failed", failure.Reason)
	s.options.Logger.Warn("upstream attempt failed", "Upstream", l.key, "Reason", string(failure.Reason),
		"Progress", failure.Progress.String(), "Crashed", failure.Crashed, "Detail", failure.Detail)
	return failure
}

func (s *Scheduler) count(outcome string, reason upstream.Reason) {
	s.options.Metrics.GetOrCreateCounter(
		`guavagauge_steward_attempts_total{outcome="` + outcome + `",reason="` + string(reason) + `"}`).Inc()
}
