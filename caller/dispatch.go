package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	maxAttempts     = 8 // of one request, over all causes
	openTimeout     = 2 * time.Second
	crashTimeout    = 50 * time.Millisecond // a home node in the region answers in a few
	crashFarTimeout = 2 * time.Second
	roundWait       = 500 * time.Millisecond // between rounds over all upstreams, with jitter
	budgetWait      = 4 * time.Second        // of a begun answer, before it retries beyond the budget
	cancelWait      = 2 * time.Second
	claimTimeout    = 5 * time.Second
)

// attempt runs the work once on an upstream. The failure says how far it got.
type attempt func(spec *fleet.Upstream) (failure *upstream.Failure)

// dispatch runs the work and answers the caller.
func (s *Server) dispatch(ex *exchange) (refused *Refusal) {
	switch w := ex.work.(type) {
	case *listing:
		return s.writeModels(ex)
	case *generation:
		return s.dispatchGeneration(ex, w)
	case *call:
		return s.dispatchCall(ex, w)
	default:
		panic(fmt.Sprintf("unknown work %T", w))
	}
}

// try runs attempts on one upstream after the other until one succeeds or no
// other may follow. What may follow depends only on how far the last got, on
// the retry budget and on the deadline.
func (s *Server) try(ex *exchange, prefix []uint64, fingerprint string, run attempt) (refused *Refusal) {
	if refused := s.checkCrashes(ex, fingerprint); refused != nil {
		return refused
	}
	ran := upstream.NotRun
	tried := make(map[string]bool)
	var last *upstream.Failure
	for ex.answerStarted || ex.attempts < maxAttempts {
		specs := s.place(ex, prefix, tried)
		if len(specs) == 0 {
			// A caller that has a part of its answer isn't cut off because all
			// upstreams are down or busy at the same moment.
			if !ex.answerStarted || !pause(ex) {
				break
			}
			clear(tried)
			continue
		}
		spec := specs[0]
		tried[spec.QualifiedName()] = true
		s.options.Checker.Check(ran == upstream.NotRun || ex.repeat() == fleet.Idempotent, invariant.AtMostOnce,
			"work that may have run was to run again", "RequestID", ex.id)
		s.options.Checker.Check(ex.workspace != nil || ex.route != nil && ex.route.Open, invariant.WorkspaceIsolation,
			"work without a key was to run", "RequestID", ex.id)
		ex.attempts++
		s.earn(ex, spec)
		s.sending(spec, ex.cost())
		failure := run(spec)
		if failure == nil {
			return nil
		}
		last = failure
		if failure.Progress.WorkStatus() == upstream.MayHaveRun {
			ran = upstream.MayHaveRun
		}
		if refused := s.judge(ex, spec, fingerprint, failure, ran); refused != nil {
			return refused
		}
	}
	if last == nil {
		return notRun(upstream.ReasonNoUpstream, "no upstream takes this work at the moment")
	}
	return s.giveUp(ex, last, ran)
}

// pause waits before another round over all upstreams, and reports whether
// there is time for one.
func pause(ex *exchange) (again bool) {
	wait := roundWait/2 + rand.N(roundWait/2)
	if time.Until(ex.deadline) < wait {
		return false
	}
	select {
	case <-time.After(wait):
		return true
	case <-ex.ctx.Done():
		return false
	}
}

// judge returns the refusal that a failed attempt leads to, or nil when another
// attempt may follow.
func (s *Server) judge(ex *exchange, spec *fleet.Upstream, fingerprint string, failure *upstream.Failure, ran upstream.WorkStatus) (refused *Refusal) {
	s.count("attempt_failures", failure.Reason)
	if ex.ctx.Err() != nil {
		failure.Reason = upstream.ReasonCanceled
		return s.giveUp(ex, failure, ran)
	}
	if failure.Crashed {
		ex.suspect = true
		if n := s.reportCrash(ex, fingerprint, spec); n >= poisonLimit {
			return refusal(upstream.ReasonPoison, ran, "the request crashed two upstreams and is held out")
		}
	}
	switch failure.Reason {
	case upstream.ReasonRejected, upstream.ReasonDeadline, upstream.ReasonWithdrawn, upstream.ReasonCanceled:
		return s.giveUp(ex, failure, ran)
	}
	if !failure.Progress.MayRepeat(ex.repeat()) || time.Now().After(ex.deadline) {
		return s.giveUp(ex, failure, ran)
	}
	if reachedUpstream(failure) {
		s.suspect(spec)
		if !s.mayRetry(ex, spec) {
			s.count("refused_retries", failure.Reason)
			return refusal(upstream.ReasonRetryBudget, ran, "too many attempts are failing")
		}
	}
	if failure.Reason == upstream.ReasonDown {
		s.suspect(spec)
	}
	s.count("retries", failure.Reason)
	return nil
}

// mayRetry takes a retry out of the budget. A caller that has a part of its
// answer waits for the budget in place of being cut off. As idle workspaces earn
// nothing, it goes on without after a wait that doubles each time.
func (s *Server) mayRetry(ex *exchange, spec *fleet.Upstream) (ok bool) {
	if s.spend(ex, spec) {
		return true
	}
	if !ex.answerStarted {
		return false
	}
	for patience := budgetWait << ex.forced; patience > 0; patience -= roundWait {
		if !pause(ex) {
			return false
		}
		if s.spend(ex, spec) {
			return true
		}
	}
	ex.forced++
	s.count("forced_retries", upstream.ReasonRetryBudget)
	return true
}

// reachedUpstream reports whether an attempt went to the upstream. Refusals by
// a scheduler and failures of nodes cost upstreams nothing and don't count
// against the retry budget.
func reachedUpstream(failure *upstream.Failure) bool {
	switch failure.Reason {
	case upstream.ReasonBusy, upstream.ReasonDraining, upstream.ReasonStopping, upstream.ReasonNotSteward,
		upstream.ReasonNoUpstream, upstream.ReasonPeer, upstream.ReasonDown:
		return false
	default:
		return true
	}
}

func (s *Server) giveUp(ex *exchange, failure *upstream.Failure, ran upstream.WorkStatus) (refused *Refusal) {
	s.options.Checker.Check(ran == upstream.MayHaveRun || failure.Progress.WorkStatus() == upstream.NotRun,
		invariant.NotRunIsTrue, "a refusal says NotRun after a write", "RequestID", ex.id)
	message, ok := messages[failure.Reason]
	if !ok {
		message = failure.Detail // the upstream's own words on a request that it rejected
	}
	refused = refusal(failure.Reason, ran, message)
	refused.Detail = failure.Detail
	refused.RetryAfter = max(refused.RetryAfter, failure.RetryAfter)
	return refused
}

// earn and spend keep the retry budget.
func (s *Server) earn(ex *exchange, spec *fleet.Upstream) {
	if ex.attempts > 1 {
		return
	}
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	s.retries.Earn(ex.workspaceKey(), spec.QualifiedName())
}

func (s *Server) spend(ex *exchange, spec *fleet.Upstream) (ok bool) {
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	return s.retries.Spend(ex.workspaceKey(), spec.QualifiedName())
}

// origin is what a scheduler has to know of the caller.
func (ex *exchange) origin() (o scheduler.Principal) {
	o = scheduler.Principal{Revision: ex.snapshot.Revision(), Priority: ex.placement.Priority, Weight: 1}
	if ex.workspace != nil {
		o.Workspace, o.Weight, o.Key = ex.workspace.QualifiedName(), ex.workspace.Weight, ex.keyID
	}
	return o
}

// ident names the current attempt.
func (ex *exchange) ident() scheduler.AttemptID {
	return scheduler.AttemptID{RequestID: ex.id, Attempt: ex.attempts}
}

// cancel tells a scheduler in the background that the attempt's answer is no
// longer wanted. If it gets lost, the scheduler cancels when nobody pulls.
func (s *Server) cancel(address scheduler.Address, ident scheduler.AttemptID) {
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, cancelWait)
		defer cancel()
		var reply scheduler.CancelReply
		if err := s.options.Peers.Call(ctx, address, "Steward.Cancel", scheduler.CancelArgs{AttemptID: ident}, &reply); err != nil {
			s.options.Logger.Debug("cancel failed", "RequestID", ident.RequestID, "Error", err)
		}
	}()
}

// peerFailure is the failure of a call to a scheduler. Whatever the scheduler
// did after receiving it is unknown.
func peerFailure(err error) *upstream.Failure {
	progress := upstream.Written
	if errors.Is(err, peer.ErrNotSent) {
		progress = upstream.NotDialed
	}
	return &upstream.Failure{Reason: upstream.ReasonPeer, Progress: progress, Detail: err.Error()}
}
