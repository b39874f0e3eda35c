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

// call is a request to a plain service, and its response.
type call struct {
	service     *fleet.Service
	outgoing    upstream.Call // the request to the upstream
	fingerprint string
	response    upstream.Response
}

func (s *Server) parseCall(ex *exchange) (w work, refused *Refusal) {
	if ex.route == nil {
		return nil, notRun(upstream.ReasonNotFound, fmt.Sprintf("%s %s isn't part of the model API", ex.request.Method, ex.request.URL.Path))
	}
	service, ok := ex.snapshot.ServiceFor(ex.route)
	if !ok {
		return nil, notRun(upstream.ReasonNoUpstream, "the route's service isn't configured")
	}
	header := endToEndHeader(ex.request.Header)
	header.Set(HeaderRequestID, ex.id)
	header.Del(upstream.HeaderWorkspace) // callers can't choose the workspace
	if ex.workspace != nil {
		header.Set(upstream.HeaderWorkspace, ex.workspaceName())
	}
	c := &call{service: service, outgoing: upstream.Call{
		Method: ex.request.Method, Target: ex.request.URL.RequestURI(), Header: header, Body: ex.body,
	}}
	c.fingerprint = fingerprint(ex.workspaceName(), c.outgoing.Method, c.outgoing.Target, string(ex.body))
	return c, nil
}

// dispatchCall runs a call to a plain service, or replays its stored response,
// and responds to it.
func (s *Server) dispatchCall(ex *exchange, c *call) (refused *Refusal) {
	if ex.claim != nil && ex.claim.stored != nil {
		c.response = ex.claim.stored.response()
		s.writeResponse(ex, c)
		return nil
	}
	refused = s.runAttempts(ex, nil, c.fingerprint, func(spec *fleet.Upstream) (failure *upstream.Failure) {
		return s.attemptCall(ex, c, spec)
	})
	if refused != nil {
		s.concludeClaim(ex, c, refused)
		return refused
	}
	// Usage is recorded before the outcome is stored. If the node were killed
	// between the two in the other order, a repeat would get the response and
	// the work would never be billed.
	s.recordUsage(ex, upstream.Usage{})
	s.writeResponse(ex, c)
	// The caller doesn't wait until the outcome is stored, since that write is
	// batched with others. If the node is killed first, a repeat is refused
	// because the outcome is unknown, and the work doesn't run again.
	s.concludeClaim(ex, c, nil)
	return nil
}

// attemptCall sends the call to the upstream's scheduler. The node that takes
// over from it is tried only if the scheduler certainly didn't run the call.
func (s *Server) attemptCall(ex *exchange, c *call, spec *fleet.Upstream) (failure *upstream.Failure) {
	args := scheduler.CallArgs{
		AttemptID: ex.attemptID(), Principal: ex.principal(), Upstream: spec.QualifiedName(), Remaining: time.Until(ex.deadline),
		PoisonSuspect: ex.poisonSuspect, Call: c.outgoing,
	}
	failure = &upstream.Failure{Reason: upstream.ReasonPeer, Progress: upstream.NotDialed, Detail: "no node is alive"}
	for _, address := range s.schedulers(spec) {
		ctx, cancel := context.WithDeadline(ex.ctx, ex.deadline.Add(rpcMargin))
		var reply scheduler.CallReply
		err := s.options.Peers.Call(ctx, address, "Steward.Call", args, &reply)
		cancel()
		if err != nil {
			failure = peerFailure(err)
			if errors.Is(err, peer.ErrNotSent) {
				continue // the next node may run it
			}
			s.cancelAttempt(address, args.AttemptID)
			return failure
		}
		if !s.isCurrentAttempt(ex, reply.AttemptID) {
			return &upstream.Failure{Reason: upstream.ReasonPeer, Progress: upstream.Written, Detail: "the scheduler replied for another attempt"}
		}
		if reply.Failure != nil && reply.Failure.Reason == upstream.ReasonStopping && reply.Failure.Progress.WorkStatus() == upstream.NotRun {
			failure = reply.Failure
			continue
		}
		s.updateLoad(spec, reply.Load)
		c.response = reply.Response
		return reply.Failure
	}
	return failure
}

// writeResponse writes a service's response to the caller, without the headers
// that endToEndHeader drops. Content-Length and the request ID are this node's
// own.
func (s *Server) writeResponse(ex *exchange, c *call) {
	ex.responseStarted = true
	header := ex.writer.Header()
	for name, values := range endToEndHeader(c.response.Header) {
		if name != "Content-Length" && name != HeaderRequestID {
			header[name] = values
		}
	}
	if ex.retryClass() == fleet.NonIdempotent && !upstream.MayHaveRun.Allows(c.response.Status) {
		// Without this header, a caller may take the service's status for a refusal of
		// this node and repeat the call.
		header.Set(upstream.HeaderWorkStatus, string(upstream.MayHaveRun))
	}
	header.Set("Content-Length", strconv.Itoa(len(c.response.Body))) // completes the response at the flush, before the outcome is stored
	controller := http.NewResponseController(ex.writer)
	controller.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)) // not supported by test writers
	ex.writer.WriteHeader(c.response.Status)
	ex.writer.Write(c.response.Body) // the caller may have disconnected
	controller.Flush()
}
