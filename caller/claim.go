package caller

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/claim"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// claimed is the claim of an exchange: one that was granted to it, or the
	// outcome that an earlier request left.
	claimed struct {
		granted *claim.Claim
		record  *record
	}

	// record is the outcome of claimed work. Body is left out when Oversize.
	record struct {
		Request  string // hash of the request
		Status   int
		Header   map[string][]string
		Body     []byte
		Oversize bool
	}
)

// takeClaim claims work that may not be repeated. Without an idempotency key
// the request id is claimed, which nobody can send again.
func (s *Server) takeClaim(ex *exchange) (refused *Refusal) {
	if ex.repeat() != fleet.NonIdempotent {
		return nil
	}
	id := ex.request.Header.Get("Idempotency-Key")
	if id == "" {
		id = ex.id
	}
	key := fingerprint(ex.workspaceKey(), ex.route.ID().String(), id)
	if ex.workspace == nil {
		// Callers of an open route are strangers to each other and may choose the
		// same key, so that one would get the other's answer.
		key = fingerprint(key, ex.request.URL.RequestURI(), string(ex.body))
	}
	result, err := s.options.Claims.Claim(ex.ctx, claim.Request{Key: key})
	if err != nil {
		refused = notRun(upstream.ReasonStoreDown, "the work could not be claimed, so this request did not run")
		refused.Detail = err.Error()
		if id != ex.id {
			refused.KeyUnknown = true
			refused.Message += "; an earlier one with the same idempotency key may have: repeat it with that key"
		}
		return refused
	}
	switch result := result.(type) {
	case claim.Granted:
		ex.claim = &claimed{granted: result.Claim}
		return nil
	case claim.InProgress:
		return refusal(upstream.ReasonInProgress, upstream.MayHaveRun, "a request with this idempotency key is in progress")
	case claim.Done:
		return s.recall(ex, result.Record)
	default:
		return refusal(upstream.ReasonUnknown, upstream.MayHaveRun, "the outcome of the request with this idempotency key is unknown")
	}
}

// recall takes over the outcome of an earlier request.
func (s *Server) recall(ex *exchange, text []byte) (refused *Refusal) {
	var r record
	if err := json.Unmarshal(text, &r); err != nil {
		return refusal(upstream.ReasonUnknown, upstream.MayHaveRun, "the recorded outcome can't be read")
	}
	if r.Oversize {
		return refusal(upstream.ReasonUnknown, upstream.MayHaveRun,
			fmt.Sprintf("the request ran and was answered with status %d; the answer was too large to be kept", r.Status))
	}
	if r.Request != ex.bodyHash() {
		return notRun(upstream.ReasonKeyReused, "the idempotency key was used for another request; choose a new one")
	}
	ex.claim = &claimed{record: &r}
	return nil
}

// bodyHash tells whether a repeated request is the same one.
func (ex *exchange) bodyHash() (hash string) {
	return fingerprint(ex.request.Method, ex.request.URL.RequestURI(), string(ex.body))
}

// abandon gives back the claim of work that was refused before it was sent.
func (s *Server) abandon(ex *exchange) {
	if ex.claim == nil || ex.claim.granted == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ex.ctx), claimTimeout)
	defer cancel()
	if err := ex.claim.granted.Withdraw(ctx); err != nil {
		s.options.Logger.Warn("claim not concluded", "RequestID", ex.id, "Error", err)
	}
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
		err = s.finishClaim(ctx, ex, c.answer)
	case refused.WorkStatus == upstream.NotRun:
		err = ex.claim.granted.Withdraw(ctx)
	}
	if err != nil {
		s.options.Logger.Warn("claim not concluded", "RequestID", ex.id, "Error", err)
	}
}

func (s *Server) finishClaim(ctx context.Context, ex *exchange, answer upstream.Answer) (err error) {
	granted := ex.claim.granted
	text, err := json.Marshal(record{Request: ex.bodyHash(), Status: answer.Status, Header: answer.Header, Body: answer.Body})
	if err != nil {
		return err
	}
	if err = granted.Finish(ctx, text); !errors.Is(err, claim.ErrTooLarge) {
		return err
	}
	if text, err = json.Marshal(record{Request: ex.bodyHash(), Status: answer.Status, Oversize: true}); err != nil {
		return err
	}
	return granted.Finish(ctx, text)
}

func (r *record) answer() upstream.Answer {
	return upstream.Answer{Status: r.Status, Header: r.Header, Body: r.Body}
}
