package caller

import (
	"context"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Claims makes sure that work which may not be repeated runs at most once.
	Claims interface {
		// Take claims a key before the work is sent anywhere.
		Take(ctx context.Context, key string) (state ClaimState, err error)
		// Finish records the outcome of claimed work.
		Finish(ctx context.Context, key string, answer upstream.Answer) (err error)
		// Release gives a claim back whose work certainly didn't run.
		Release(ctx context.Context, key string) (err error)
	}

	// ClaimState is the state in which Take found a key: *Granted, *InProgress,
	// *Recorded or *OutcomeUnknown.
	ClaimState interface{ isClaimState() }

	// Granted means that the work may run now, and only here.
	Granted struct{}
	// InProgress means that it runs elsewhere.
	InProgress struct{}
	// Recorded means that it ran, and with what answer.
	Recorded struct{ Answer upstream.Answer }
	// OutcomeUnknown means that it may have run.
	OutcomeUnknown struct{}

	// claimed is the claim of an exchange.
	claimed struct {
		key      string
		recorded *upstream.Answer
	}
)

func (*Granted) isClaimState()        {}
func (*InProgress) isClaimState()     {}
func (*Recorded) isClaimState()       {}
func (*OutcomeUnknown) isClaimState() {}

// takeClaim claims work that may not be repeated. Without an idempotency key
// the request id is claimed, which nobody can send again.
func (s *Server) takeClaim(ex *exchange) (refused *Refusal) {
	if ex.repeat() != fleet.Never {
		return nil
	}
	if s.options.Claims == nil {
		return notRun(upstream.ReasonStoreDown, "this node can't claim work that may not be repeated")
	}
	id := ex.request.Header.Get("Idempotency-Key")
	if id == "" {
		id = ex.id
	}
	claim := &claimed{key: fingerprint(ex.workspaceKey(), ex.route.ID().String(), id)}
	state, err := s.options.Claims.Take(ex.ctx, claim.key)
	if err != nil {
		return notRun(upstream.ReasonStoreDown, "the work could not be claimed and did not run: "+err.Error())
	}
	switch state := state.(type) {
	case *Granted:
	case *InProgress:
		return refusal(upstream.ReasonInProgress, upstream.MayHaveRun, "a request with this idempotency key is in progress")
	case *OutcomeUnknown:
		return refusal(upstream.ReasonUnknown, upstream.MayHaveRun, "the outcome of the request with this idempotency key is unknown")
	case *Recorded:
		claim.recorded = &state.Answer
	}
	ex.claim = claim
	return nil
}

// concludeClaim records what became of claimed work. When the work may have run
// and its answer is lost, the claim stays, so that nobody runs it again.
func (s *Server) concludeClaim(ex *exchange, c *call, refused *Refusal) {
	if ex.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ex.ctx), claimTimeout)
	defer cancel()
	var err error
	switch {
	case refused == nil:
		err = s.options.Claims.Finish(ctx, ex.claim.key, c.answer)
	case refused.Ran == upstream.NotRun:
		err = s.options.Claims.Release(ctx, ex.claim.key)
	}
	if err != nil {
		s.options.Logger.Warn("claim not concluded", "RequestID", ex.id, "Error", err)
	}
}
