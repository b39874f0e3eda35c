package scheduler

import (
	"context"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/upstream"
)

// Receiver has the methods that peers call, in the form of net/rpc.
type Receiver struct{ steward *Scheduler }

// Open queues a generation. A repeated Open for the same attempt changes
// nothing.
func (r *Receiver) Open(args OpenArgs, reply *OpenReply) (err error) {
	reply.AttemptID = args.AttemptID
	reply.Load, reply.Failure = r.steward.open(args)
	return nil
}

// Cancel ends an attempt.
func (r *Receiver) Cancel(args CancelArgs, reply *CancelReply) (err error) {
	s := r.steward
	s.mu.Lock()
	st, call := s.streams[args.AttemptID], s.calls[args.AttemptID]
	delete(s.streams, args.AttemptID)
	s.mu.Unlock()
	if st != nil {
		st.idle.Stop()
		st.cancel()
	}
	if call != nil {
		call()
	}
	reply.Known = st != nil || call != nil
	return nil
}

// Call makes one call to a plain service and waits for its answer.
func (r *Receiver) Call(args CallArgs, reply *CallReply) (err error) {
	*reply = r.steward.call(args)
	reply.AttemptID = args.AttemptID
	return nil
}

// Reclaim moves the work of an upstream that ends within seconds. Streams go on
// elsewhere now, while their engine still lives; plain calls may finish.
func (r *Receiver) Reclaim(args ReclaimArgs, reply *ReclaimReply) (err error) {
	s := r.steward
	spec, ok := s.options.Snapshot().Upstream(args.Upstream)
	if !ok {
		return nil
	}
	s.mu.Lock()
	l := s.lanes[args.Upstream]
	if l == nil {
		l = newLane(spec)
		s.lanes[args.Upstream] = l
	}
	s.mu.Unlock()
	reply.Running = l.reclaim()
	return nil
}

// Crash counts the upstreams that a request crashed.
func (r *Receiver) Crash(args CrashArgs, reply *CrashReply) (err error) {
	s := r.steward
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if args.Upstream != "" {
		s.crashes.Report(args.Fingerprint, args.Upstream, now)
	}
	reply.Upstreams = s.crashes.Count(args.Fingerprint, now)
	return nil
}

func (s *Scheduler) open(args OpenArgs) (load Load, failure *upstream.Failure) {
	l, spec, failure := s.admit(args.Upstream, args.Principal)
	if failure != nil {
		s.count("refused", failure.Reason)
		return load, failure
	}
	ctx, cancel := context.WithTimeout(s.ctx, args.Remaining)
	st := newStream(args.AttemptID, s.session(args.PullerID), args.Generation.Offset, cancel)
	if !s.addStream(args.AttemptID, st) {
		cancel()
		return l.current(), nil
	}
	prompt := policy.Tokens(args.Generation.Prompt) + args.Generation.Offset
	cost := policy.DefaultTokenCosts.Cost(prompt, 0, args.Generation.MaxTokens-args.Generation.Offset)
	j := newJob(args.Principal, args.PoisonSuspect, args.Generation.Offset > 0, cost)
	run := func() {
		defer cancel()
		defer l.finished(j)
		if failure := s.startable(l, j, args.Principal); failure != nil {
			st.finish(upstream.Usage{}, failure)
			return
		}
		usage, err := s.engine(spec).Generate(ctx, args.Generation, func(token upstream.Token) error {
			return st.append(ctx, token)
		})
		if err == nil {
			j.served = policy.DefaultTokenCosts.Cost(usage.PromptTokens, usage.CachedTokens, usage.CompletionTokens)
		}
		st.finish(usage, s.failureOf(ctx, l, j, err))
	}
	j.start = func() { go run() }
	j.move = func() {
		st.finish(upstream.Usage{}, &upstream.Failure{
			Reason: upstream.ReasonDraining, Progress: upstream.Answered, Detail: "the upstream is being reclaimed",
		})
		cancel()
	}
	j.refused = func(reason upstream.Reason) {
		s.count("refused", reason)
		st.finish(upstream.Usage{}, refuse(reason, "the request left the queue before it ran"))
		cancel()
	}
	load, failure = l.submit(j, args.Remaining)
	if failure != nil {
		s.count("refused", failure.Reason)
		s.removeStream(args.AttemptID, st)
		return load, failure
	}
	context.AfterFunc(ctx, func() {
		if l.withdraw(j) {
			j.refused(waitEnd(ctx))
		}
	})
	return load, nil
}

// addStream registers a stream, or reports that the attempt is already known.
func (s *Scheduler) addStream(ident AttemptID, st *stream) (added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[ident] != nil {
		return false
	}
	s.streams[ident] = st
	st.idle = time.AfterFunc(idleLimit, func() { s.removeStream(ident, st) })
	return true
}

func (s *Scheduler) removeStream(ident AttemptID, st *stream) {
	s.mu.Lock()
	if s.streams[ident] == st {
		delete(s.streams, ident)
	}
	s.mu.Unlock()
	st.idle.Stop()
	st.cancel()
}

func (s *Scheduler) call(args CallArgs) (reply CallReply) {
	l, spec, failure := s.admit(args.Upstream, args.Principal)
	if failure != nil {
		s.count("refused", failure.Reason)
		reply.Failure = failure
		return reply
	}
	ctx, cancel := context.WithTimeout(s.ctx, args.Remaining)
	defer cancel()
	s.mu.Lock()
	s.calls[args.AttemptID] = cancel
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.calls, args.AttemptID)
		s.mu.Unlock()
	}()

	started, refused := make(chan struct{}), make(chan upstream.Reason, 1)
	j := newJob(args.Principal, args.PoisonSuspect, false, CallCost)
	j.start = func() { close(started) }
	j.refused = func(reason upstream.Reason) { refused <- reason }
	if _, failure := l.submit(j, args.Remaining); failure != nil {
		s.count("refused", failure.Reason)
		return CallReply{Load: l.current(), Failure: failure}
	}
	stop := context.AfterFunc(ctx, func() {
		if l.withdraw(j) {
			j.refused(waitEnd(ctx))
		}
	})
	defer stop()
	select {
	case <-started:
		reply.Answer, reply.Failure = s.runCall(ctx, l, j, spec, args)
	case reason := <-refused:
		s.count("refused", reason)
		reply.Failure = refuse(reason, "the request left the queue before it ran")
	}
	reply.Load = l.current()
	return reply
}

func (s *Scheduler) runCall(ctx context.Context, l *lane, j *job, spec *fleet.Upstream, args CallArgs) (answer upstream.Answer, failure *upstream.Failure) {
	defer l.finished(j)
	if failure = s.startable(l, j, args.Principal); failure != nil {
		return answer, failure
	}
	answer, err := s.service(spec).Call(ctx, args.Call)
	return answer, s.failureOf(ctx, l, j, err)
}

// waitEnd says why a request that still waited has ended.
func waitEnd(ctx context.Context) upstream.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return upstream.ReasonDeadline
	}
	return upstream.ReasonCanceled
}
