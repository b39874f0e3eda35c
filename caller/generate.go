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

const (
	pullWait   = 2 * time.Second // a scheduler answers an empty pull after this
	pullMargin = time.Second     // and is taken for dead after this more
	pullTries  = 2               // the second goes over a new connection
)

// dispatchGeneration answers a model request. An attempt that fails after some
// tokens is followed by one that resumes behind them.
func (s *Server) dispatchGeneration(ex *exchange, g *generation) (refused *Refusal) {
	var prompt upstream.Usage
	refused = s.try(ex, g.spec.Prefix, g.fingerprint, func(spec *fleet.Upstream) (failure *upstream.Failure) {
		usage, failure := s.attemptGeneration(ex, g, spec)
		if usage.PromptTokens > 0 {
			prompt = usage
		}
		return failure
	})
	g.settle(prompt, policy.Tokens(g.spec.Prompt))
	if len(g.tokens) > 0 || refused == nil {
		s.record(ex, g.usage)
	}
	if refused != nil {
		if ex.answerStarted {
			s.fail(ex, refused)
		}
		return refused
	}
	if err := s.conclude(ex, g); err != nil {
		return refusal(upstream.ReasonCanceled, upstream.MayHaveRun, err.Error())
	}
	return nil
}

// record bills the work before the answer's last byte leaves.
func (s *Server) record(ex *exchange, usage upstream.Usage) {
	if s.options.Meter == nil || ex.workspace == nil {
		return
	}
	err := s.options.Meter.Record(context.WithoutCancel(ex.ctx), ex.workspace.QualifiedName(), usage, time.Since(ex.started))
	if err != nil {
		s.options.Logger.Warn("usage held by this node only", "RequestID", ex.id, "Error", err)
	}
}

// attemptGeneration opens the generation at a scheduler and relays its tokens.
func (s *Server) attemptGeneration(ex *exchange, g *generation, spec *fleet.Upstream) (usage upstream.Usage, failure *upstream.Failure) {
	in, failure := s.open(ex, g, spec)
	if failure != nil {
		return usage, failure
	}
	completed := false
	defer func() {
		in.leave()
		if !completed {
			s.cancel(in.puller.address, in.ident)
		}
	}()
	for {
		tokens, end, failure := in.next(ex.ctx)
		if failure != nil {
			return usage, failure
		}
		if len(tokens) > 0 {
			if err := s.relay(ex, g, tokens); err != nil {
				return usage, &upstream.Failure{
					Reason: upstream.ReasonCanceled, Progress: upstream.Answered, Detail: "the caller left: " + err.Error(),
				}
			}
			in.passedOn(len(tokens))
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

// open asks the upstream's scheduler, or the node next in line if it can't be
// reached, to queue the generation.
func (s *Server) open(ex *exchange, g *generation, spec *fleet.Upstream) (in *inbox, failure *upstream.Failure) {
	args := scheduler.OpenArgs{
		AttemptID: ex.ident(), Principal: ex.origin(), Upstream: spec.QualifiedName(), Remaining: time.Until(ex.deadline),
		PoisonSuspect: ex.suspect, Generation: g.spec,
	}
	args.Generation.Priority = ex.placement.Priority
	args.Generation.Offset, args.Generation.GeneratedTokens = len(g.tokens), g.tokens
	failure = &upstream.Failure{Reason: upstream.ReasonPeer, Progress: upstream.NotDialed, Detail: "no node is alive"}
	for _, address := range s.stewards(spec) {
		in = s.pulls.enter(address, args.AttemptID, args.Generation.Offset)
		args.PullerID = in.puller.id
		var reply scheduler.OpenReply
		ctx, cancel := context.WithTimeout(ex.ctx, openTimeout)
		err := s.options.Peers.Call(ctx, address, "Steward.Open", args, &reply)
		cancel()
		switch {
		case err != nil:
			failure = peerFailure(err)
			s.cancel(address, ex.ident())
		case !s.own(ex, reply.AttemptID):
			failure = &upstream.Failure{Reason: upstream.ReasonPeer, Progress: upstream.Written, Detail: "the steward answered another attempt"}
		case reply.Failure != nil:
			failure = reply.Failure
			if failure.Reason != upstream.ReasonStopping {
				s.learn(spec, reply.Load)
				in.leave()
				return nil, failure
			}
		default:
			s.learn(spec, reply.Load)
			in.opened()
			return in, nil
		}
		in.leave()
	}
	return nil, failure
}

// own reports whether a reply belongs to the current attempt. Any other is
// dropped and counted.
func (s *Server) own(ex *exchange, ident scheduler.AttemptID) (ok bool) {
	if ok = ident == ex.ident(); !ok {
		s.count("dropped_replies", upstream.ReasonPeer)
		s.options.Checker.Check(ident.RequestID == "" || ident.RequestID == ex.id, invariant.ResponseIntegrity,
			"a reply to another request arrived", "RequestID", ex.id, "Got", ident.RequestID)
	}
	return ok
}
