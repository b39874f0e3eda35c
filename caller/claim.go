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
	// requestClaim is a request's claim on its idempotency key: either granted
	// to this request, or completed with the response that an earlier request
	// stored.
	requestClaim struct {
		granted *claim.Claim
		stored  *storedResponse
	}

	// storedResponse is the outcome of claimed work. If Oversize, it exceeded
	// claim.Options.MaxRecordBytes, and Header and Body are empty.
	storedResponse struct {
		Request  string // hash of the request that the response belongs to
		Status   int
		Header   map[string][]string
		Body     []byte
		Oversize bool
	}
)

// takeClaim claims work that may run only once, under its idempotency key. If
// the request has none, the claim is made under the request ID, which matches no
// other request.
func (s *Server) takeClaim(ex *exchange) (refused *Refusal) {
	if ex.retryClass() != fleet.NonIdempotent {
		return nil
	}
	id := ex.request.Header.Get("Idempotency-Key")
	if id == "" {
		id = ex.id
	}
	key := fingerprint(ex.workspaceName(), ex.route.ID().String(), id)
	if ex.workspace == nil {
		// Unrelated callers of an open route may choose the same key. Including
		// the request keeps one from getting the other's response.
		key = fingerprint(key, ex.request.URL.RequestURI(), string(ex.body))
	}
	result, err := s.options.Claims.Claim(ex.ctx, claim.Request{Key: key})
	if err != nil {
		refused = notRun(upstream.ReasonStoreDown, "the work could not be claimed, so this request did not run")
		refused.Detail = err.Error()
		if id != ex.id {
			refused.KeyUnknown = true
			refused.Message += "; an earlier request with the same idempotency key may have run: retry with that key"
		}
		return refused
	}
	switch result := result.(type) {
	case claim.Granted:
		ex.claim = &requestClaim{granted: result.Claim}
		return nil
	case claim.InProgress:
		return refusal(upstream.ReasonInProgress, upstream.MayHaveRun, "a request with this idempotency key is in progress")
	case claim.Done:
		return s.replayStored(ex, result.Record)
	default:
		return refusal(upstream.ReasonUnknown, upstream.MayHaveRun, "the outcome of the request with this idempotency key is unknown")
	}
}

// replayStored sets up the exchange to respond with the stored outcome of an
// earlier request, if that was the same request.
func (s *Server) replayStored(ex *exchange, text []byte) (refused *Refusal) {
	var stored storedResponse
	if err := json.Unmarshal(text, &stored); err != nil {
		return refusal(upstream.ReasonUnknown, upstream.MayHaveRun, "the stored outcome can't be read")
	}
	if stored.Oversize {
		return refusal(upstream.ReasonUnknown, upstream.MayHaveRun,
			fmt.Sprintf("the request ran and got a response with status %d, which was too large to be stored", stored.Status))
	}
	if stored.Request != ex.requestHash() {
		return notRun(upstream.ReasonKeyReused, "the idempotency key was used for another request; choose a new one")
	}
	ex.claim = &requestClaim{stored: &stored}
	return nil
}

// requestHash returns a hash of the method, the target and the body. Requests
// with the same idempotency key have to match in it.
func (ex *exchange) requestHash() (hash string) {
	return fingerprint(ex.request.Method, ex.request.URL.RequestURI(), string(ex.body))
}

// withdrawClaim withdraws the claim of work that was refused before dispatch.
func (s *Server) withdrawClaim(ex *exchange) {
	if ex.claim == nil || ex.claim.granted == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ex.ctx), claimTimeout)
	defer cancel()
	if err := ex.claim.granted.Withdraw(ctx); err != nil {
		s.options.Logger.Warn("claim update not confirmed", "RequestID", ex.id, "Error", err)
	}
}

// concludeClaim stores the response to claimed work, or withdraws the claim if
// the work didn't run. If the work may have run and its response is lost, the
// claim stays in force, so that the work can't run again: repeats are refused as
// InProgress and later as Unknown.
func (s *Server) concludeClaim(ex *exchange, c *call, refused *Refusal) {
	if ex.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ex.ctx), claimTimeout)
	defer cancel()
	var err error
	switch {
	case refused == nil:
		err = s.storeResponse(ctx, ex, c.response)
	case refused.WorkStatus == upstream.NotRun:
		err = ex.claim.granted.Withdraw(ctx)
	}
	if err != nil {
		s.options.Logger.Warn("claim update not confirmed", "RequestID", ex.id, "Error", err)
	}
}

// storeResponse stores the response, or only its status if it is too large.
func (s *Server) storeResponse(ctx context.Context, ex *exchange, response upstream.Response) (err error) {
	granted := ex.claim.granted
	text, err := json.Marshal(storedResponse{Request: ex.requestHash(), Status: response.Status, Header: response.Header, Body: response.Body})
	if err != nil {
		return err
	}
	if err = granted.Finish(ctx, text); !errors.Is(err, claim.ErrTooLarge) {
		return err
	}
	if text, err = json.Marshal(storedResponse{Request: ex.requestHash(), Status: response.Status, Oversize: true}); err != nil {
		return err
	}
	return granted.Finish(ctx, text)
}

// response returns the stored response as if the upstream had sent it.
func (stored *storedResponse) response() upstream.Response {
	return upstream.Response{Status: stored.Status, Header: stored.Header, Body: stored.Body}
}
