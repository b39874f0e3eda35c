package entry

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/recall"
	"github.com/guavagauge/guavagauge/relay"
	"github.com/guavagauge/guavagauge/routing"
)

const (
	// errRecalled means that the attempt was recalled before its response began.
	errRecalled = errors.ConstError("the attempt was recalled")
	// freeHandleTimeout bounds the call that frees a KV handle. A handle that isn't
	// freed expires at its engine.
	freeHandleTimeout = time.Second
	// recallBudgetPart is the part of the retry budget up to which recalls take from it. A
	// request without a retry fails, while one that isn't recalled only waits.
	recallBudgetPart = 0.5
)

// Outcomes of a recall.
const (
	recalledSooner  recallOutcome = "Sooner"  // begun sooner than was expected where it was recalled
	recalledLater   recallOutcome = "Later"   // begun later than that, or not before its deadline
	recalledRefused recallOutcome = "Refused" // refused or broken off by the next upstream, or not sent again
)

// Phases of an attempt.
const (
	attemptWaiting  attemptPhase = iota // sent, and its response hasn't begun
	attemptEnded                        // begun or failed
	attemptRecalled                     // recalled while it was waiting
)

type (
	recallOutcome string
	attemptPhase  uint8

	// recallState is what an exchange knows of recalls. It is zero as long as recalls
	// are off for the service.
	recallState struct {
		attempt  *attempt // the last one; nil if recalls were off when it was sent
		prefills int      // recalled ones, whose repetition counts as an attempt
		off      bool     // no further attempt is recalled
		prepaid  bool     // the next retry was taken from the budget when the attempt was recalled
		pending  *attempt // recalled, and the outcome isn't known
		resent   bool     // another attempt was made after pending
	}

	// attempt is an attempt that can be recalled while its response hasn't begun.
	attempt struct {
		exchange *exchange
		job      *dispatch.Job
		work     recall.Work
		sentAt   time.Time
		tried    []string           // at that time, the upstream of this attempt included
		attempts int                // at that time; see recall.Situation
		cancel   context.CancelFunc // ends the connection

		mu         sync.Mutex
		phase      attemptPhase
		timer      *time.Timer // until the next decision; nil if the attempt may not be recalled
		checks     int
		verdict    recall.Recall // if recalled
		recalledAt time.Time
	}
)

// watchAttempt begins an attempt and returns its context, which ends when the attempt
// is recalled. While recalls are off for the service, that is the one of the request.
func (e *exchange) watchAttempt(job *dispatch.Job, prefillOnly bool, now time.Time) (ctx context.Context) {
	r := &e.recall
	e.recalled() // ends the attempt before
	if r.pending != nil && r.resent {
		e.concludeRecall(recalledRefused)
	}
	r.resent = r.pending != nil
	first := r.attempt == nil
	if r.attempt = nil; !e.node.dispatcher.ReportsSlowdown(e.service, now) {
		return e.ctx
	}
	if first {
		e.node.recalls.CountRequest(e.service)
	}
	a := &attempt{
		exchange: e, job: job, work: recall.Run{Repeatable: e.route.Retryable(), Begun: e.responseBegun || e.responded},
		sentAt: now, tried: slices.Clone(e.tried), attempts: e.runs + r.prefills + 1,
	}
	if prefillOnly {
		a.work, a.attempts = recall.Prefill{}, a.attempts-1
	}
	r.attempt = a
	if !a.situation(now).Permitted() {
		return e.ctx
	}
	ctx, a.cancel = context.WithCancel(e.ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = time.AfterFunc(recall.FirstCheck, func() { e.node.guard.Run("recall", a.check) })
	return ctx
}

// check decides whether the attempt is recalled.
func (a *attempt) check() {
	e, now := a.exchange, time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != attemptWaiting || e.ctx.Err() != nil {
		return
	}
	situation := a.situation(now)
	situation.There = e.expectedElsewhere(a, now)
	a.checks++
	switch v := e.node.recalls.Decide(e.service, situation, now).(type) {
	case recall.Keep:
		if v.Cause == recall.ShareUsed || v.Cause == recall.BudgetUsed {
			e.node.count("recalls_declined", string(v.Cause))
		}
		if v.Again > 0 && a.checks < recall.MaxChecks {
			a.timer.Reset(v.Again)
		}
	case recall.Recall:
		a.phase, a.verdict, a.recalledAt = attemptRecalled, v, now
		a.cancel()
	}
}

// situation returns what is known of the attempt and its upstream.
func (a *attempt) situation(now time.Time) (s recall.Situation) {
	e, outlook := a.exchange, a.job.Outlook(now)
	return recall.Situation{
		Work: a.work, Attempts: a.attempts, MaxAttempts: e.route.MaxAttempts, Recalled: e.recall.off, Left: e.deadline.Sub(now),
		Here: recall.Here{
			Expected: outlook.Expected, Own: outlook.Own, Waited: now.Sub(a.sentAt), Slowdown: outlook.Slowdown, Queued: outlook.Queued,
		},
		Spend: func(now time.Time) (ok bool) { return e.node.budget.spendWithin(e.service, now, recallBudgetPart) },
	}
}

// isPrefill reports whether the attempt is a separate prefill.
func (a *attempt) isPrefill() (ok bool) {
	_, ok = a.work.(recall.Prefill)
	return ok
}

// expectedElsewhere returns what is expected of the upstream that would get the request
// next. A separate prefill is compared up to its end, and a run up to its first event.
func (e *exchange) expectedElsewhere(a *attempt, now time.Time) (there recall.There) {
	d := e.node.dispatcher
	var choice dispatch.Choice
	var ok bool
	if e.route.RetryClass == routing.Stream {
		var plan dispatch.Plan
		plan, ok = d.PlacePrompt(dispatch.PromptRequest{Service: e.service, Prompt: e.request.Prompt, Tried: a.tried}, now)
		choice, there.Expected = plan.Decode, plan.Expected
		if plan.Prefill != nil {
			choice = *plan.Prefill
			if a.isPrefill() {
				there.Expected = choice.Expected
			}
		}
	} else {
		choice, ok = d.PlacePlain(e.service, a.tried, now)
		there.Expected = choice.Expected
	}
	standing, registered := d.Standing(choice.Upstream.ID, now)
	if !ok || !registered || standing.Condition != dispatch.Available {
		return recall.There{}
	}
	there.Found = true
	if e.route.RetryClass == routing.Stream { // otherwise, Choice.Expected contains it
		there.Network = standing.NetworkCost
	}
	return there
}

// settleAttempt is called with the head of a response. The attempt has begun with it,
// unless the response is a refusal or a stream, which begins with its first event. If the attempt
// was recalled just before, it releases the response and returns an error.
func (e *exchange) settleAttempt(job *dispatch.Job, prefillOnly bool, response *relay.Response) (err error) {
	switch {
	case response.Reply.NotRun:
		e.recalled()
	case !prefillOnly && e.route.RetryClass == routing.Stream && response.Status/100 == 2:
	case !e.beginAttempt():
		if prefillOnly {
			e.freeLateHandle(job.Upstream(), response)
		}
		response.Close()
		return &relay.Failure{MayHaveRun: true, Err: errRecalled}
	}
	return nil
}

// beginAttempt records that the response to the last attempt has begun, after which it
// isn't recalled. It returns false if the attempt was recalled before.
func (e *exchange) beginAttempt() (ok bool) {
	a := e.recall.attempt
	if a == nil {
		return true
	}
	if e.recalled() {
		return false
	}
	now := time.Now()
	e.node.recalls.Observe(e.service, a.work, a.situation(now).Here.Expected, now.Sub(a.sentAt), now)
	switch recalled := e.recall.pending; {
	case recalled == nil:
	case a.isPrefill() && !recalled.isPrefill():
		e.recall.resent = false // the run itself follows
	case now.Sub(recalled.recalledAt) > recalled.verdict.Here:
		e.concludeRecall(recalledLater)
	default:
		e.concludeRecall(recalledSooner)
	}
	return true
}

// recalled ends the last attempt, if it waits, and reports whether it was recalled.
func (e *exchange) recalled() (ok bool) {
	r := &e.recall
	a := r.attempt
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == attemptWaiting {
		a.phase = attemptEnded
		if a.timer != nil {
			a.timer.Stop()
		}
	}
	if a.phase != attemptRecalled {
		return false
	}
	if !r.off {
		r.off, r.prepaid, r.pending = true, true, a
		if a.isPrefill() {
			r.prefills++
		}
	}
	return true
}

// holdRecalled ends the job of the last attempt, which was recalled, after a time for
// which placements still count it; see recall.Recall.
func (e *exchange) holdRecalled(job *dispatch.Job) {
	job.Recalled(time.Now())
	time.AfterFunc(e.recall.attempt.verdict.Hold, func() { job.End(time.Now(), dispatch.Abandoned) })
}

// spendRetry reports whether the retry budget allows a retry, and counts it if it wasn't
// counted when the attempt was recalled.
func (e *exchange) spendRetry(now time.Time) (ok bool) {
	if e.recall.prepaid {
		e.recall.prepaid = false
		return true
	}
	return e.node.budget.spend(e.service, now)
}

// endRecall ends the last attempt with the request.
func (e *exchange) endRecall() {
	e.recalled()
	switch {
	case e.recall.pending == nil:
	case e.ctx.Err() != nil:
		e.concludeRecall(recalledLater)
	default:
		e.concludeRecall(recalledRefused)
	}
}

// concludeRecall counts and logs the recall with its outcome.
func (e *exchange) concludeRecall(outcome recallOutcome) {
	a := e.recall.pending
	e.recall.pending = nil
	e.node.Metrics.GetOrCreateCounter(fmt.Sprintf("guavagauge_entry_recalls_total{reason=%q,outcome=%q}", a.verdict.Reason, outcome)).Inc()
	e.log("request recalled", "From", a.job.Upstream().ID, "Prefill", a.isPrefill(), "Reason", a.verdict.Reason, "Outcome", outcome,
		"Waited", a.recalledAt.Sub(a.sentAt), "Here", a.verdict.Here, "There", a.verdict.There, "Took", time.Since(a.recalledAt))
}

// freeLateHandle frees the KV handle of a prefill that was recalled while its response
// arrived.
func (e *exchange) freeLateHandle(upstream discovery.Upstream, response *relay.Response) {
	text, err := io.ReadAll(io.LimitReader(response, maxHandleBytes))
	if err != nil {
		return // the rest was lost with the connection
	}
	handle, err := platform.DecodeKVHandle(text)
	if err != nil {
		return
	}
	n := e.node
	n.guard.Go("free KV handle", func() {
		ctx, cancel := context.WithTimeout(n.ctx, freeHandleTimeout)
		defer cancel()
		if err := n.engineClient.FreeKVHandle(ctx, upstream, handle.ID); err != nil {
			n.logger.Info("KV handle of a recalled prefill not freed", "Upstream", upstream.ID, "Error", err)
		}
	})
}
