package caller

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/upstream"
)

// call is a request to a plain service.
type call struct {
	service     *fleet.Service
	spec        upstream.Call
	fingerprint string
	answer      upstream.Answer
}

func (s *Server) readCall(ex *exchange) (w work, refused *Refusal) {
	if ex.route == nil {
		return nil, notRun(upstream.ReasonNotFound, fmt.Sprintf("%s %s isn't part of the model API", ex.request.Method, ex.request.URL.Path))
	}
	service, ok := ex.snapshot.ServiceFor(ex.route)
	if !ok {
		return nil, notRun(upstream.ReasonNoUpstream, "the route's service isn't configured")
	}
	header := onwardHeader(ex.request.Header)
	header.Set(HeaderRequestID, ex.id)
	header.Del(upstream.HeaderWorkspace) // only the key says whom a call is for
	if ex.workspace != nil {
		header.Set(upstream.HeaderWorkspace, ex.workspaceKey())
	}
	c := &call{service: service, spec: upstream.Call{
		Method: ex.request.Method, Target: ex.request.URL.RequestURI(), Header: header, Body: ex.body,
	}}
	c.fingerprint = fingerprint(ex.workspaceKey(), c.spec.Method, c.spec.Target, string(ex.body))
	return c, nil
}

// dispatchCall answers a call to a plain service.
func (s *Server) dispatchCall(ex *exchange, c *call) (refused *Refusal) {
	if ex.claim != nil && ex.claim.record != nil {
		c.answer = ex.claim.record.answer()
		s.writeAnswer(ex, c)
		return nil
	}
	refused = s.try(ex, nil, c.fingerprint, func(spec *fleet.Upstream) (failure *upstream.Failure) {
		return s.attemptCall(ex, c, spec)
	})
	if refused != nil {
		s.concludeClaim(ex, c, refused)
		return refused
	}
	// Billed before the outcome is recorded: were this node killed in between, a
	// repeat would get the outcome and nobody the bill.
	s.record(ex, upstream.Usage{})
	s.writeAnswer(ex, c)
	// The caller doesn't wait for the record, which shares its write with others.
	// Were this node killed before, a repeat would hear that the outcome is
	// unknown, and nothing would run again.
	s.concludeClaim(ex, c, nil)
	return nil
}

func (s *Server) attemptCall(ex *exchange, c *call, spec *fleet.Upstream) (failure *upstream.Failure) {
	args := scheduler.CallArgs{
		AttemptID: ex.ident(), Principal: ex.origin(), Upstream: spec.QualifiedName(), Remaining: time.Until(ex.deadline),
		PoisonSuspect: ex.suspect, Call: c.spec,
	}
	failure = &upstream.Failure{Reason: upstream.ReasonPeer, Progress: upstream.NotDialed, Detail: "no node is alive"}
	for _, address := range s.stewards(spec) {
		ctx, cancel := context.WithDeadline(ex.ctx, ex.deadline.Add(pullMargin))
		var reply scheduler.CallReply
		err := s.options.Peers.Call(ctx, address, "Steward.Call", args, &reply)
		cancel()
		if err != nil {
			failure = peerFailure(err)
			if errors.Is(err, peer.ErrNotSent) {
				continue // the next in line may run it
			}
			s.cancel(address, args.AttemptID)
			return failure
		}
		if !s.own(ex, reply.AttemptID) {
			return &upstream.Failure{Reason: upstream.ReasonPeer, Progress: upstream.Written, Detail: "the steward answered another attempt"}
		}
		if reply.Failure != nil && reply.Failure.Reason == upstream.ReasonStopping && reply.Failure.Progress.WorkStatus() == upstream.NotRun {
			failure = reply.Failure
			continue
		}
		s.learn(spec, reply.Load)
		c.answer = reply.Answer
		return reply.Failure
	}
	return failure
}

// writeAnswer passes a service's answer on. Headers that concern the
// connection to the service only are left out.
func (s *Server) writeAnswer(ex *exchange, c *call) {
	ex.answerStarted = true
	header := ex.writer.Header()
	for name, values := range onwardHeader(c.answer.Header) {
		if name != "Content-Length" && name != HeaderRequestID {
			header[name] = values
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(c.answer.Body))) // so that the flush completes the answer
	controller := http.NewResponseController(ex.writer)
	controller.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)) // not supported by test writers
	ex.writer.WriteHeader(c.answer.Status)
	ex.writer.Write(c.answer.Body) // the caller may have left
	controller.Flush()
}
