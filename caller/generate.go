package caller

import (
	"context"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/upstream"
)

// If a scheduler doesn't reply, its streams end after at most
// maxPullFailures*(pullWait+rpcMargin), which is 6 s.
const (
	pullWait        = 2 * time.Second // a scheduler replies to a pull after this if there are no tokens
	rpcMargin       = time.Second     // a call fails this long after its reply is due
	maxPullFailures = 2               // in a row; the pull after a broken connection goes over a new one
)

// dispatchGeneration runs a model request and responds to it. If an attempt
// fails after some tokens, the next one resumes after the last of them.
func (s *Server) dispatchGeneration(ex *exchange, g *generation) (refused *Refusal) {
	var engineUsage upstream.Usage // as counted by the engine in the attempt that completed
	refused = s.runAttempts(ex, g.outgoing.Prefix, g.fingerprint, func(spec *fleet.Upstream) (failure *upstream.Failure) {
		usage, failure := s.attemptGeneration(ex, g, spec)
		if usage.PromptTokens > 0 {
			engineUsage = usage
		}
		return failure
	})
	g.setUsage(engineUsage, policy.Tokens(g.outgoing.Prompt))
	if len(g.tokens) > 0 || refused == nil {
		s.recordUsage(ex, g.usage)
	}
	if refused != nil {
		if ex.responseStarted {
			s.writeStreamError(ex, refused)
		}
		return refused
	}
	if err := s.finishResponse(ex, g); err != nil {
		return refusal(upstream.ReasonCanceled, upstream.MayHaveRun, err.Error())
	}
	return nil
}

// recordUsage bills the request to its workspace. It is called before the last
// byte of the response is sent.
func (s *Server) recordUsage(ex *exchange, usage upstream.Usage) {
	if s.options.Meter == nil || ex.workspace == nil {
		return
	}
	err := s.options.Meter.Record(context.WithoutCancel(ex.ctx), ex.workspace.QualifiedName(), usage, time.Since(ex.started))
	if err != nil {
		s.options.Logger.Warn("usage not confirmed by a replica", "RequestID", ex.id, "Error", err)
	}
}

// attemptGeneration opens the generation at a scheduler and relays its tokens.
func (s *Server) attemptGeneration(ex *exchange, g *generation, spec *fleet.Upstream) (usage upstream.Usage, failure *upstream.Failure) {
	buffer, failure := s.open(ex, g, spec)
	if failure != nil {
		return usage, failure
	}
	completed := false
	defer func() {
		buffer.deregister()
		// A completed stream needs no cancellation. The scheduler removes it once
		// it hasn't been confirmed for its idleTimeout.
		if !completed {
			s.cancelAttempt(buffer.puller.address, buffer.attemptID)
		}
	}()
	for {
		tokens, end, failure := buffer.next(ex.ctx)
		if failure != nil {
			return usage, failure
		}
		if len(tokens) > 0 {
			if err := s.relay(ex, g, tokens); err != nil {
				return usage, &upstream.Failure{
					Reason: upstream.ReasonCanceled, Progress: upstream.Answered, Detail: "writing to the caller failed: " + err.Error(),
				}
			}
			buffer.markRelayed(len(tokens))
		}
		switch {
		case end == nil:
		case end.Failure != nil:
			return usage, end.Failure
		default:
			completed = true
			return end.Usage, nil
		}
	}
}

// open asks the upstream's scheduler to queue the generation. If the scheduler
// fails or is stopping, open asks the node that takes over from it. Both may
// then run the generation, which is idempotent.
func (s *Server) open(ex *exchange, g *generation, spec *fleet.Upstream) (buffer *streamBuffer, failure *upstream.Failure) {
	args := scheduler.OpenArgs{
		AttemptID: ex.attemptID(), Principal: ex.principal(), Upstream: spec.QualifiedName(), Remaining: time.Until(ex.deadline),
		PoisonSuspect: ex.poisonSuspect, Generation: g.outgoing,
	}
	args.Generation.Priority = ex.placement.Priority
	args.Generation.Offset, args.Generation.GeneratedTokens = len(g.tokens), g.tokens
	failure = &upstream.Failure{Reason: upstream.ReasonPeer, Progress: upstream.NotDialed, Detail: "no node is alive"}
	for _, address := range s.schedulers(spec) {
		buffer = s.pullers.register(address, args.AttemptID, args.Generation.Offset)
		args.PullerID = buffer.puller.id
		var reply scheduler.OpenReply
		ctx, cancel := context.WithTimeout(ex.ctx, openTimeout)
		err := s.options.Peers.Call(ctx, address, "Steward.Open", args, &reply)
		cancel()
		switch {
		case err != nil:
			failure = peerFailure(err)
			s.cancelAttempt(address, ex.attemptID())
		case !s.isCurrentAttempt(ex, reply.AttemptID):
			failure = &upstream.Failure{Reason: upstream.ReasonPeer, Progress: upstream.Written, Detail: "the scheduler replied for another attempt"}
		case reply.Failure != nil:
			failure = reply.Failure
			if failure.Reason != upstream.ReasonStopping {
				s.updateLoad(spec, reply.Load)
				buffer.deregister()
				return nil, failure
			}
		default:
			s.updateLoad(spec, reply.Load)
			buffer.startPulling()
			return buffer, nil
		}
		buffer.deregister()
	}
	return nil, failure
}

// isCurrentAttempt reports whether a reply with this ID belongs to the current
// attempt. It counts the reply as dropped if not.
func (s *Server) isCurrentAttempt(ex *exchange, attemptID scheduler.AttemptID) (ok bool) {
	if ok = attemptID == ex.attemptID(); !ok {
		s.count("dropped_replies", upstream.ReasonPeer)
		s.options.Checker.Check(attemptID.RequestID == "" || attemptID.RequestID == ex.id, invariant.ResponseIntegrity,
			"received a reply to another request", "RequestID", ex.id, "Got", attemptID.RequestID)
	}
	return ok
}
