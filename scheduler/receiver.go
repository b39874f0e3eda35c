package scheduler

import (
	"context"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/upstream"
)

// Receiver has the net/rpc methods of a Scheduler that peers call.
type Receiver struct{ scheduler *Scheduler }

// Open queues a generation. A repeated Open of the same attempt has no effect.
func (r *Receiver) Open(args OpenArgs, reply *OpenReply) (err error) {
	reply.AttemptID = args.AttemptID
	reply.Load, reply.Failure = r.scheduler.open(args)
	return nil
}

// Cancel cancels a waiting or running attempt. If the message is lost, a stream
// ends after idleTimeout and a plain call runs on until its deadline.
func (r *Receiver) Cancel(args CancelArgs, reply *CancelReply) (err error) {
	s := r.scheduler
	s.mu.Lock()
	st, cancelCall := s.streams[args.AttemptID], s.calls[args.AttemptID]
	delete(s.streams, args.AttemptID)
	s.mu.Unlock()
	if st != nil {
		st.idle.Stop()
		st.cancel()
	}
	if cancelCall != nil {
		cancelCall()
	}
	reply.Known = st != nil || cancelCall != nil
	return nil
}

// Call makes one call to a plain service and waits for the response.
func (r *Receiver) Call(args CallArgs, reply *CallReply) (err error) {
	*reply = r.scheduler.call(args)
	reply.AttemptID = args.AttemptID
	return nil
}

// Reclaim moves requests away from an upstream that ends within seconds. Running
// generations fail over at once, while their engine is still up; plain calls may
// finish.
func (r *Receiver) Reclaim(args ReclaimArgs, reply *ReclaimReply) (err error) {
	s := r.scheduler
	spec, ok := s.options.Snapshot().Upstream(args.Upstream)
	if !ok {
		return nil
	}
	s.mu.Lock()
	q := s.queues[args.Upstream]
	if q == nil {
		q = newUpstreamQueue(spec)
		s.queues[args.Upstream] = q
	}
	s.mu.Unlock()
	reply.Running = q.reclaim()
	return nil
}

// Crash records a crash, if one is given, and counts the distinct upstreams that
// the request crashed. Any node may be asked, not just an upstream's scheduler;
// the fingerprint selects the nodes that count its crashes.
func (r *Receiver) Crash(args CrashArgs, reply *CrashReply) (err error) {
	s := r.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if args.Upstream != "" {
		s.crashes.Report(args.Fingerprint, args.Upstream, now)
	}
	reply.Upstreams = s.crashes.Count(args.Fingerprint, now)
	return nil
}

// open queues a generation and returns the upstream's load, or the reason why
// the generation was refused.
func (s *Scheduler) open(args OpenArgs) (load Load, failure *upstream.Failure) {
	q, spec, failure := s.checkRequest(args.Upstream, args.Principal)
	if failure != nil {
		s.count("refused", failure.Reason)
		return load, failure
	}
	ctx, cancel := context.WithTimeout(s.ctx, args.Remaining)
	st := newStream(args.AttemptID, s.session(args.PullerID), args.Generation.Offset, cancel)
	if !s.addStream(args.AttemptID, st) {
		cancel()
		return q.currentLoad(), nil
	}
	prompt := policy.Tokens(args.Generation.Prompt) + args.Generation.Offset
	cost := policy.DefaultTokenCosts.Cost(prompt, 0, args.Generation.MaxTokens-args.Generation.Offset)
	j := newJob(args.Principal, args.PoisonSuspect, args.Generation.Offset > 0, cost)
	run := func() {
		defer cancel()
		defer q.finish(j)
		if failure := s.checkStart(q, j, args.Principal); failure != nil {
			st.finish(upstream.Usage{}, failure)
			return
		}
		usage, err := s.engine(spec).Generate(ctx, args.Generation, func(token upstream.Token) error {
			return st.append(ctx, token)
		})
		if err == nil {
			j.actualCost = policy.DefaultTokenCosts.Cost(usage.PromptTokens, usage.CachedTokens, usage.CompletionTokens)
		}
		st.finish(usage, s.recordFailure(ctx, q, j, err))
	}
	j.start = func() { go run() }
	j.failOver = func() {
		st.finish(upstream.Usage{}, &upstream.Failure{
			Reason: upstream.ReasonDraining, Progress: upstream.Answered, Detail: "the upstream is being reclaimed",
		})
		cancel()
	}
	j.reject = func(reason upstream.Reason) {
		s.count("refused", reason)
		st.finish(upstream.Usage{}, newRefusal(reason, "the request left the queue without running"))
		cancel()
	}
	load, failure = q.submit(j, args.Remaining)
	if failure != nil {
		s.count("refused", failure.Reason)
		s.removeStream(args.AttemptID, st)
		return load, failure
	}
	context.AfterFunc(ctx, func() {
		if q.remove(j) {
			j.reject(waitEndReason(ctx))
		}
	})
	return load, nil
}

// addStream registers a stream and starts its idle timer. It reports false if
// the attempt already has a stream.
func (s *Scheduler) addStream(id AttemptID, st *stream) (added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[id] != nil {
		return false
	}
	s.streams[id] = st
	st.idle = time.AfterFunc(idleTimeout, func() { s.removeStream(id, st) })
	return true
}

// removeStream forgets a stream and cancels its run.
func (s *Scheduler) removeStream(id AttemptID, st *stream) {
	s.mu.Lock()
	if s.streams[id] == st {
		delete(s.streams, id)
	}
	s.mu.Unlock()
	st.idle.Stop()
	st.cancel()
}

// call queues a call to a plain service and returns when it ended or left the
// queue without running. It doesn't notice when the entry node is lost.
func (s *Scheduler) call(args CallArgs) (reply CallReply) {
	q, spec, failure := s.checkRequest(args.Upstream, args.Principal)
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

	started, rejected := make(chan struct{}), make(chan upstream.Reason, 1)
	j := newJob(args.Principal, args.PoisonSuspect, false, CallCost)
	j.start = func() { close(started) }
	j.reject = func(reason upstream.Reason) { rejected <- reason }
	if _, failure := q.submit(j, args.Remaining); failure != nil {
		s.count("refused", failure.Reason)
		return CallReply{Load: q.currentLoad(), Failure: failure}
	}
	stop := context.AfterFunc(ctx, func() {
		if q.remove(j) {
			j.reject(waitEndReason(ctx))
		}
	})
	defer stop()
	select {
	case <-started:
		reply.Response, reply.Failure = s.runCall(ctx, q, j, spec, args)
	case reason := <-rejected:
		s.count("refused", reason)
		reply.Failure = newRefusal(reason, "the request left the queue without running")
	}
	reply.Load = q.currentLoad()
	return reply
}

// runCall runs a call that got a slot, and frees the slot.
func (s *Scheduler) runCall(ctx context.Context, q *upstreamQueue, j *job, spec *fleet.Upstream, args CallArgs) (response upstream.Response, failure *upstream.Failure) {
	defer q.finish(j)
	if failure = s.checkStart(q, j, args.Principal); failure != nil {
		return response, failure
	}
	response, err := s.service(spec).Call(ctx, args.Call)
	return response, s.recordFailure(ctx, q, j, err)
}

// waitEndReason returns why a request ended while it was waiting.
func waitEndReason(ctx context.Context) upstream.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return upstream.ReasonDeadline
	}
	return upstream.ReasonCanceled
}
