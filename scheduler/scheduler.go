// Package scheduler queues and runs the requests to upstreams. All requests to
// one upstream pass through one node, its scheduler, which therefore knows the
// upstream's load without waiting for reports. Entry nodes (package caller) call
// it over package peer, and package node creates it, applies the configuration
// and forwards reclaim notices to it. All of its state is in memory.
//
// # Usage
//
//	s := scheduler.New(ctx, options)
//	s.Register(peerServer)          // serves the rpc methods Steward.Open, NextMany, Confirm, Cancel, Call, Crash, Reclaim
//	s.Apply(snapshot)               // after each change of the configuration
//	s.Drain(ctx)                    // before the node stops
//
// Names that leave the process, such as those of rpc methods and metrics, call
// the scheduler Steward.
//
// # Failures
//
// If an upstream crashes or refuses a connection, waiting requests are rejected
// and new ones refused for downCooldown. A request that was running fails; the
// entry node decides whether to retry or resume it.
//
// If an entry node is lost, its generations are canceled after idleTimeout. Its
// plain calls run until they complete or their deadline passes, since nothing
// confirms them.
//
// If the scheduler is lost, its queue, buffered tokens and crash counts are lost
// with it. Pulls fail, or a restarted scheduler answers them with
// ReasonNotScheduler, and the entry node may resume the generations as new
// attempts.
//
// If two nodes both act as the scheduler of an upstream, each counts only its
// own requests: their load figures are too low, and together they may use more
// than the upstream's slots and run two poison suspects on trial at a time.
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
	// CallCost is the cost of a plain service call in the fair queue: that of
	// prefilling as many prompt tokens. It is the same for all calls, so a
	// workspace's share of a plain service is counted in calls.
	CallCost = 256

	// maxUnconfirmedTokens is the number of tokens buffered per stream. It bounds
	// the memory of slow streams; a smaller buffer makes the engine wait for the
	// confirmations of fast ones. Entry nodes confirm at once when it is half
	// full (urgentConfirmTokens in package caller).
	maxUnconfirmedTokens = 256
	// idleTimeout is the time after which an unconfirmed stream is canceled and an
	// unused session forgotten. It bounds how long a slot is wasted on a lost
	// entry node. It has to be longer than maxPullWait, and than the interval at
	// which entry nodes confirm all of their streams (listInterval in package
	// caller).
	idleTimeout = 10 * time.Second
	// maxPullWait is the upper bound of NextManyArgs.Wait. A session doesn't count
	// as used while a pull waits, so it has to be shorter than idleTimeout.
	maxPullWait       = 5 * time.Second
	drainPollInterval = 50 * time.Millisecond
)

type (
	// Options configures a Scheduler. Engine and Service create the client of an
	// upstream and are called again when its address changes.
	Options struct {
		Logger   *slog.Logger
		Metrics  *metrics.Set
		Checker  *invariant.Checker
		Snapshot func() *fleet.Snapshot
		Engine   func(spec *fleet.Upstream) engine.Client
		Service  func(spec *fleet.Upstream) service.Client
		// Quarantine is how long a poison request, one that crashed upstreams, is
		// refused; 0 means the default of policy.Crashes.
		Quarantine time.Duration
	}

	// Scheduler queues and runs the requests to the upstreams for which this node
	// is responsible. It is safe for concurrent use. Its mutex is locked before
	// that of a queue or stream.
	Scheduler struct {
		ctx     context.Context
		options Options

		mu            sync.Mutex
		queues        map[string]*upstreamQueue // by qualified name of the upstream
		engines       map[string]cachedClient[engine.Client]
		services      map[string]cachedClient[service.Client]
		streams       map[AttemptID]*stream
		sessions      map[uint64]*session // by PullerID
		lastSessionID uint64
		calls         map[AttemptID]context.CancelFunc // cancels a plain call
		stopping      bool
		crashes       *policy.Crashes
	}

	cachedClient[T any] struct {
		spec   *fleet.Upstream
		client T
	}
)

// New returns a Scheduler. When ctx ends, its running requests are canceled.
func New(ctx context.Context, options Options) *Scheduler {
	return &Scheduler{
		ctx:      ctx,
		options:  options,
		queues:   make(map[string]*upstreamQueue),
		engines:  make(map[string]cachedClient[engine.Client]),
		services: make(map[string]cachedClient[service.Client]),
		streams:  make(map[AttemptID]*stream),
		sessions: make(map[uint64]*session),
		// Random, since a restarted scheduler must not reuse the session IDs of
		// its former process.
		lastSessionID: rand.Uint64() >> 1,
		calls:         make(map[AttemptID]context.CancelFunc),
		crashes:       policy.NewCrashes(policy.CrashOptions{TTL: options.Quarantine}),
	}
}

// Register registers the scheduler's methods with server. Its rpc service is
// named Steward.
func (s *Scheduler) Register(server *peer.Server) (err error) {
	return server.Register("Steward", &Receiver{scheduler: s})
}

// Apply applies the upstream settings of a new configuration, such as slots and
// draining. Requests that wait for an upstream that is now draining or removed
// are rejected, so that their entry nodes send them to another upstream.
func (s *Scheduler) Apply(snapshot *fleet.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, q := range s.queues {
		spec, ok := snapshot.Upstream(key)
		switch {
		case ok:
			q.updateSpec(spec)
		case q.idle():
			delete(s.queues, key)
			delete(s.engines, key)
			delete(s.services, key)
		default:
			q.rejectWaiting(upstream.ReasonDraining)
		}
	}
}

// StopAccepting rejects waiting requests and all new ones, so that entry nodes
// send them to another upstream.
func (s *Scheduler) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, q := range s.queues {
		q.rejectWaiting(upstream.ReasonStopping)
	}
}

// Drain rejects new and waiting requests and returns when the running ones have
// ended and their results have been sent. If ctx ends first, Drain fails the
// remaining streams, so that entry nodes resume them on another upstream. It
// doesn't wait for these failures to be sent. An entry node that gets none
// notices the broken connection.
func (s *Scheduler) Drain(ctx context.Context) {
	s.StopAccepting()
	for settled := false; !settled; {
		// Waits once more after the last result was sent, so that replies that
		// are being written reach their entry nodes.
		settled = s.idle() && s.delivered()
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			s.failStreams()
			return
		}
	}
}

// InFlight returns the number of requests that are waiting for or running on
// this node's upstreams.
func (s *Scheduler) InFlight() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		load := q.currentLoad()
		n += load.Running + load.Waiting
	}
	return n
}

func (s *Scheduler) idle() bool { return s.InFlight() == 0 }

// delivered reports whether the last chunk of each stream has been sent.
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

// failStreams fails all streams that haven't ended.
func (s *Scheduler) failStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.finish(upstream.Usage{}, &upstream.Failure{
			Reason: upstream.ReasonStopping, Progress: upstream.Answered, Detail: "the scheduler is stopping",
		})
	}
}

// checkRequest returns the queue and the settings of an upstream, or the reason
// why the scheduler accepts no request to it. It is common to generations and
// plain calls.
func (s *Scheduler) checkRequest(key string, principal Principal) (q *upstreamQueue, spec *fleet.Upstream, failure *upstream.Failure) {
	snapshot := s.options.Snapshot()
	spec, ok := snapshot.Upstream(key)
	if !ok {
		return nil, nil, newRefusal(upstream.ReasonNoUpstream, "the upstream isn't in the configuration")
	}
	if s.keyWithdrawn(principal) {
		return nil, nil, newRefusal(upstream.ReasonWithdrawn, "the API key was withdrawn")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, nil, newRefusal(upstream.ReasonStopping, "the scheduler is stopping")
	}
	q = s.queues[key]
	if q == nil {
		q = newUpstreamQueue(spec)
		s.queues[key] = q
	}
	return q, spec, nil
}

// keyWithdrawn reports whether the request's API key is known to be withdrawn. A
// configuration older than the entry node's says nothing about that, since the
// key may have been added after it.
func (s *Scheduler) keyWithdrawn(principal Principal) bool {
	snapshot := s.options.Snapshot()
	return principal.Workspace != "" && snapshot.Revision() >= principal.Revision && !snapshot.KeyActive(principal.Key)
}

// checkStart returns the reason why a job that got a slot must not run, or nil.
func (s *Scheduler) checkStart(q *upstreamQueue, j *job, principal Principal) (failure *upstream.Failure) {
	if s.keyWithdrawn(principal) {
		s.count("refused", upstream.ReasonWithdrawn)
		return newRefusal(upstream.ReasonWithdrawn, "the API key was withdrawn while the request waited")
	}
	s.options.Checker.Check(!j.startedWhileDraining, invariant.NoWorkWhenDraining,
		"request started on a draining upstream", "Upstream", q.key)
	return nil
}

func (s *Scheduler) engine(spec *fleet.Upstream) engine.Client {
	return clientFor(s, s.engines, spec, s.options.Engine)
}

func (s *Scheduler) service(spec *fleet.Upstream) service.Client {
	return clientFor(s, s.services, spec, s.options.Service)
}

// clientFor returns the cached client of an upstream, or a new one if the
// upstream has none or its address has changed.
func clientFor[T any](s *Scheduler, clients map[string]cachedClient[T], spec *fleet.Upstream, build func(spec *fleet.Upstream) T) (client T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := clients[spec.QualifiedName()]; ok && c.spec.Address == spec.Address {
		return c.client
	}
	client = build(spec)
	clients[spec.QualifiedName()] = cachedClient[T]{spec, client}
	return client
}

// recordFailure logs and counts the error of a run and returns the failure to
// report to the entry node, or nil without an error. A crash or a refused
// connection marks the upstream down, and a crash is blamed on running jobs.
func (s *Scheduler) recordFailure(ctx context.Context, q *upstreamQueue, j *job, err error) (failure *upstream.Failure) {
	if err == nil {
		return nil
	}
	var cause *upstream.Failure
	if !errors.As(err, &cause) {
		cause = &upstream.Failure{Reason: upstream.ReasonBroken, Progress: upstream.Written, Detail: err.Error()}
	}
	copied := *cause
	failure = &copied
	if q.reclaimed() {
		failure.Crashed = false
	}
	if failure.Crashed || failure.Reason == upstream.ReasonConnect {
		q.markDown()
	}
	if failure.Crashed {
		failure.Crashed = q.assignBlame(j)
	}
	switch context.Cause(ctx) {
	case context.DeadlineExceeded:
		failure.Reason, failure.Crashed = upstream.ReasonDeadline, false
	case context.Canceled:
		failure.Reason, failure.Crashed = upstream.ReasonCanceled, false
	}
	s.count("failed", failure.Reason)
	s.options.Logger.Warn("upstream attempt failed", "Upstream", q.key, "Reason", string(failure.Reason),
		"Progress", failure.Progress.String(), "Crashed", failure.Crashed, "Detail", failure.Detail)
	return failure
}

func (s *Scheduler) count(outcome string, reason upstream.Reason) {
	s.options.Metrics.GetOrCreateCounter(
		`guavagauge_steward_attempts_total{outcome="` + outcome + `",reason="` + string(reason) + `"}`).Inc()
}
