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
	maxAttempts               = 8                      // per request; once its response has started, only the deadline bounds them
	openTimeout               = 2 * time.Second        // for a scheduler to queue a generation, before the next node is asked
	crashTrackerTimeout       = 50 * time.Millisecond  // nodes in the region reply within a few milliseconds
	remoteCrashTrackerTimeout = 2 * time.Second        // requests don't wait for trackers in other regions
	roundWait                 = 500 * time.Millisecond // longest wait between rounds over all upstreams and for a retry token; jitter shortens it by up to half
	budgetWait                = 4 * time.Second        // before a started response is retried without a retry token; jitter shortens it by up to half
	cancelTimeout             = 2 * time.Second        // requests don't wait for the reply to a cancellation
	claimTimeout              = 5 * time.Second        // for one update of a claim; package claim goes on retrying it afterwards
)

// attemptFunc runs the work once on an upstream. The failure says how far the
// attempt got.
type attemptFunc func(spec *fleet.Upstream) (failure *upstream.Failure)

// dispatch runs the work and responds to the caller.
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

// runAttempts runs attempts on one upstream after another until one succeeds or
// the request is refused. Whether another attempt may follow a failed one is up
// to retryOrRefuse.
func (s *Server) runAttempts(ex *exchange, prefix []uint64, fingerprint string, run attemptFunc) (refused *Refusal) {
	if refused := s.checkCrashes(ex, fingerprint); refused != nil {
		return refused
	}
	workStatus := upstream.NotRun
	tried := make(map[string]bool)
	var last *upstream.Failure
	for ex.responseStarted || ex.attempts < maxAttempts {
		specs := s.place(ex, prefix, tried)
		if len(specs) == 0 {
			// A stream that has started isn't cut off when all upstreams are
			// down or busy for a moment: all of them are tried again.
			if !ex.responseStarted || !waitForNextRound(ex) {
				break
			}
			clear(tried)
			continue
		}
		spec := specs[0]
		tried[spec.QualifiedName()] = true
		s.options.Checker.Check(workStatus == upstream.NotRun || ex.retryClass() == fleet.Idempotent, invariant.AtMostOnce,
			"an attempt would repeat work that may have run", "RequestID", ex.id)
		s.options.Checker.Check(ex.workspace != nil || ex.route != nil && ex.route.Open, invariant.WorkspaceIsolation,
			"an attempt would run work without an API key", "RequestID", ex.id)
		ex.attempts++
		s.earnRetry(ex, spec)
		s.countSent(spec, ex.cost())
		failure := run(spec)
		if failure == nil {
			return nil
		}
		last = failure
		if failure.Progress.WorkStatus() == upstream.MayHaveRun {
			workStatus = upstream.MayHaveRun
		}
		if refused := s.retryOrRefuse(ex, spec, fingerprint, failure, workStatus); refused != nil {
			return refused
		}
	}
	if last == nil {
		return notRun(upstream.ReasonNoUpstream, "no upstream takes this work at the moment")
	}
	return s.refusalFor(ex, last, workStatus)
}

// waitForNextRound waits before all upstreams are tried again. It returns false
// if the request is canceled or its deadline comes first.
func waitForNextRound(ex *exchange) (again bool) {
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

// retryOrRefuse handles a failed attempt. It returns nil if another attempt may
// follow, which depends on how far this one got, its reason, the deadline, the
// retry budget and the upstreams crashed so far. It waits for the retry budget
// if the response has started.
func (s *Server) retryOrRefuse(ex *exchange, spec *fleet.Upstream, fingerprint string, failure *upstream.Failure, workStatus upstream.WorkStatus) (refused *Refusal) {
	s.count("attempt_failures", failure.Reason)
	if ex.ctx.Err() != nil {
		failure.Reason = upstream.ReasonCanceled
		return s.refusalFor(ex, failure, workStatus)
	}
	if failure.Crashed {
		ex.poisonSuspect = true
		if n := s.reportCrash(ex, fingerprint, spec); n >= poisonThreshold {
			return refusal(upstream.ReasonPoison, workStatus, "the request crashed two upstreams and is quarantined")
		}
	}
	switch failure.Reason {
	case upstream.ReasonRejected, upstream.ReasonDeadline, upstream.ReasonWithdrawn, upstream.ReasonCanceled:
		return s.refusalFor(ex, failure, workStatus)
	}
	if !failure.Progress.MayRetry(ex.retryClass()) || time.Now().After(ex.deadline) {
		return s.refusalFor(ex, failure, workStatus)
	}
	if failedAtUpstream(failure) {
		s.markSuspected(spec)
	}
	if mayHaveLoadedUpstream(failure) && !s.awaitRetryBudget(ex, spec) {
		s.count("refused_retries", failure.Reason)
		return refusal(upstream.ReasonRetryBudget, workStatus, "too many attempts are failing")
	}
	// The scheduler refused the work because the upstream failed a moment ago, so
	// the upstream is avoided, but the retry takes no token.
	if failure.Reason == upstream.ReasonDown {
		s.markSuspected(spec)
	}
	s.count("retries", failure.Reason)
	return nil
}

// awaitRetryBudget spends a retry token and reports whether a retry may follow.
// If the response has started, it waits for a token, so that the stream isn't
// cut off. An idle workspace earns no tokens, so after budgetWait, doubled with
// each such retry, the retry is made without one. The wait is counted in steps of
// roundWait, each of which jitter may shorten. If the request's deadline comes
// first, no retry follows.
func (s *Server) awaitRetryBudget(ex *exchange, spec *fleet.Upstream) (ok bool) {
	if s.spendRetry(ex, spec) {
		return true
	}
	if !ex.responseStarted {
		return false
	}
	for remaining := budgetWait << ex.forcedRetries; remaining > 0; remaining -= roundWait {
		if !waitForNextRound(ex) {
			return false
		}
		if s.spendRetry(ex, spec) {
			return true
		}
	}
	ex.forcedRetries++
	s.count("forced_retries", upstream.ReasonRetryBudget)
	return true
}

// failedAtUpstream reports whether an attempt failed at the upstream, which
// includes a failed connection to it.
func failedAtUpstream(failure *upstream.Failure) bool {
	switch failure.Reason {
	case upstream.ReasonBusy, upstream.ReasonDraining, upstream.ReasonStopping, upstream.ReasonNotScheduler,
		upstream.ReasonNoUpstream, upstream.ReasonPeer, upstream.ReasonDown:
		return false
	default:
		return true
	}
}

// mayHaveLoadedUpstream reports whether a retry after the failure needs the retry
// budget. Refusals by a scheduler put no load on upstreams. After a failure of a
// node that may have got the work, the upstream may still run it, for example if
// only the node's reply was lost.
func mayHaveLoadedUpstream(failure *upstream.Failure) bool {
	return failedAtUpstream(failure) ||
		failure.Reason == upstream.ReasonPeer && failure.Progress.WorkStatus() == upstream.MayHaveRun
}

// refusalFor returns the refusal for a request whose last attempt failed.
func (s *Server) refusalFor(ex *exchange, failure *upstream.Failure, workStatus upstream.WorkStatus) (refused *Refusal) {
	s.options.Checker.Check(workStatus == upstream.MayHaveRun || failure.Progress.WorkStatus() == upstream.NotRun,
		invariant.NotRunIsTrue, "a refusal says NotRun although the request was written", "RequestID", ex.id)
	message, ok := messages[failure.Reason]
	if !ok {
		message = failure.Detail // ReasonRejected: the upstream says what is wrong with the request
	}
	refused = refusal(failure.Reason, workStatus, message)
	refused.Detail = failure.Detail
	refused.RetryAfter = max(refused.RetryAfter, failure.RetryAfter)
	return refused
}

// earnRetry credits the retry budget for a request's first attempt.
func (s *Server) earnRetry(ex *exchange, spec *fleet.Upstream) {
	if ex.attempts > 1 {
		return
	}
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	s.retries.Earn(ex.workspaceName(), spec.QualifiedName())
}

// spendRetry takes a retry token, and returns false if there is none.
func (s *Server) spendRetry(ex *exchange, spec *fleet.Upstream) (ok bool) {
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	return s.retries.Spend(ex.workspaceName(), spec.QualifiedName())
}

// principal returns the caller's identity and priority for the scheduler.
func (ex *exchange) principal() (p scheduler.Principal) {
	p = scheduler.Principal{Revision: ex.snapshot.Revision(), Priority: ex.placement.Priority, Weight: 1}
	if ex.workspace != nil {
		p.Workspace, p.Weight, p.Key = ex.workspace.QualifiedName(), ex.workspace.Weight, ex.keyID
	}
	return p
}

// attemptID returns the ID of the current attempt.
func (ex *exchange) attemptID() scheduler.AttemptID {
	return scheduler.AttemptID{RequestID: ex.id, Attempt: ex.attempts}
}

// cancelAttempt asks a scheduler to cancel an attempt and doesn't wait for the
// reply. If the message is lost, the scheduler cancels a stream once it hasn't
// been pulled for some time.
func (s *Server) cancelAttempt(address scheduler.Address, attemptID scheduler.AttemptID) {
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
		defer cancel()
		var reply scheduler.CancelReply
		if err := s.options.Peers.Call(ctx, address, "Steward.Cancel", scheduler.CancelArgs{AttemptID: attemptID}, &reply); err != nil {
			s.options.Logger.Debug("cancellation not acknowledged by scheduler", "RequestID", attemptID.RequestID, "Error", err)
		}
	}()
}

// peerFailure returns the failure for a call to a scheduler that failed with
// err. Unless the call wasn't sent, the upstream may have run the request.
func peerFailure(err error) *upstream.Failure {
	progress := upstream.Written
	if errors.Is(err, peer.ErrNotSent) {
		progress = upstream.NotDialed
	}
	return &upstream.Failure{Reason: upstream.ReasonPeer, Progress: progress, Detail: err.Error()}
}
