package entry

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/relay"
	"github.com/guavagauge/guavagauge/routing"
)

// servePlain serves a request whose response isn't a stream of events.
func (e *exchange) servePlain() {
	for {
		choice, ok := e.node.dispatcher.PlacePlain(e.service, e.tried, time.Now())
		if !ok {
			if e.lastReason == "" {
				e.lastReason = reasonNoUpstream
			}
			e.finishUnserved(defaultRetryAfter)
			return
		}
		e.tried = append(e.tried, choice.Upstream.ID)
		response, job, err := e.send(choice, platform.UpstreamHeaders{Priority: platform.DefaultPriority})
		if e.handleResult(response, job, err) {
			return
		}
		mayHaveRun := e.lastReason != reasonUnreachable && e.lastReason != reasonRejected
		if e.quarantined() { // since it was admitted
			e.lastReason = reasonQuarantined
			e.finishUnserved(quarantineRetryAfter)
			return
		}
		if !e.allowRetry(mayHaveRun) {
			e.finishUnserved(defaultRetryAfter)
			return
		}
	}
}

// handleResult handles the outcome of one attempt at a plain request. It reports
// whether the caller has received a response.
func (e *exchange) handleResult(response *relay.Response, job *dispatch.Job, err error) (done bool) {
	n := e.node
	if err != nil {
		e.handleSendError(job, err)
		return false
	}
	defer response.Close()
	if response.Reply.NotRun {
		response.Discard()
		e.calls++
		e.lastReason = reasonRejected
		job.End(time.Now(), dispatch.Rejected)
		return false
	}
	e.calls++
	e.countRun()
	n.usage.record(e.workspace, n.medianNow())
	content, err := e.readAhead(response)
	if err == nil && response.Status/100 == 2 && !response.Reply.Sealed {
		err = errors.New("successful response has no seal header")
	}
	if err != nil {
		e.handleBrokenResponse(job, err)
		return false
	}
	if response.Status >= http.StatusInternalServerError && response.Complete() && e.route.RetryClass == routing.Idempotent && e.allowRetry(true) {
		// The upstream itself is healthy, since it responded. Another one may
		// succeed.
		job.IgnoreTime()
		job.End(time.Now(), dispatch.Served)
		e.calls-- // retryServerError counts the next attempt, and handleResult counts it again if it reaches the upstream
		return e.retryServerError(response, content)
	}
	e.forwardResponse(response, job, content)
	return true
}

// retryServerError retries a request that an upstream answered with a server
// error. If the retry yields no response, the caller gets the failed one.
func (e *exchange) retryServerError(failed *relay.Response, content []byte) (done bool) {
	choice, ok := e.node.dispatcher.PlacePlain(e.service, e.tried, time.Now())
	if ok {
		e.recall.off = true // the failed response is lost if this attempt is
		e.tried = append(e.tried, choice.Upstream.ID)
		response, job, err := e.send(choice, platform.UpstreamHeaders{Priority: platform.DefaultPriority})
		e.calls++
		if e.handleResult(response, job, err) {
			return true
		}
	}
	e.writeHead(failed, int64(len(content)))
	e.w.Write(content)
	return true
}

// forwardResponse forwards a response to the caller. content is the part of the
// body that has been read already. If the rest can't be copied, the upstream counts
// as failed, unless the caller left, or has read too slowly.
func (e *exchange) forwardResponse(response *relay.Response, job *dispatch.Job, content []byte) {
	length := response.Length
	if response.Complete() {
		length = int64(len(content))
	}
	if !e.mayForward(response.Status) {
		e.replaceRefusal(response, job)
		return
	}
	if response.Status/100 != 2 || !response.Complete() {
		// Errors come sooner than other responses. What isn't read yet comes as fast as
		// the caller reads it.
		job.IgnoreTime()
	}
	e.writeHead(response, length)
	if response.Complete() { // a caller that reads slowly doesn't occupy the upstream
		response.Close()
		e.endUnderWay()
		e.clearRequest()
		job.End(time.Now(), dispatch.Served)
		e.observeDeviation(job)
		e.w.Write(content)
		return
	}
	w, begin := &timedWriter{Writer: e.w}, time.Now()
	w.Write(content)
	if err := e.copyRest(w, response); err != nil {
		outcome := dispatch.Broken
		if w.slow(e.ctx, begin) || e.r.Context().Err() != nil { // a failed write ends that context, too
			outcome = dispatch.Abandoned
		}
		job.End(time.Now(), outcome)
		e.log("response to caller cut off", "Error", err)
		e.cutResponse()
	}
	e.clearRequest()
	job.End(time.Now(), dispatch.Served)
}

// replaceRefusal answers a request that may have run in place of an upstream that
// refused it without saying that it has not. The caller gets neither the seal, which
// belongs to the upstream's status, nor its Retry-After. The rest of the body isn't read.
func (e *exchange) replaceRefusal(refusal *relay.Response, job *dispatch.Job) {
	refusal.Close()
	e.endUnderWay()
	if refusal.Complete() {
		e.clearRequest()
	}
	job.IgnoreTime()
	job.End(time.Now(), dispatch.Served)
	e.writeFailure(http.StatusBadGateway, failureBody{Reason: reasonUnconfirmed, UpstreamStatus: refusal.Status},
		errors.Errorf("upstream %s answered %d without saying that the request has not run", job.Upstream().ID, refusal.Status))
}

// handleSendError records that a request couldn't be sent, or that no response
// arrived.
func (e *exchange) handleSendError(job *dispatch.Job, err error) {
	var failure *relay.Failure
	if errors.As(err, &failure) && !failure.MayHaveRun {
		e.lastReason = reasonUnreachable
		if e.ctx.Err() != nil || notSent(err) || e.recalled() {
			job.End(time.Now(), dispatch.Abandoned)
			return
		}
		job.End(time.Now(), dispatch.Broken)
		e.log("upstream unreachable", "Error", err)
		return
	}
	e.calls++
	e.countRun()
	if e.route.RetryClass != routing.Stream { // a generation counts as usage from its first event
		e.node.usage.record(e.workspace, e.node.medianNow())
	}
	e.handleBrokenResponse(job, err)
}

// handleBrokenResponse records that a response is missing, incomplete or invalid.
// It probes the upstream, which may have crashed or crash yet, unless the request was
// recalled, or ended by the caller's or this node's own limits.
func (e *exchange) handleBrokenResponse(job *dispatch.Job, err error) {
	e.lastReason = reasonBroken
	switch {
	case e.r.Context().Err() != nil:
		job.End(time.Now(), dispatch.Abandoned)
		e.node.probeAbandoned(e, job)
	case e.recalled():
		e.lastReason = reasonRecalled
		e.holdRecalled(job)
	case errors.Is(err, errSlowCaller):
		e.lastReason = reasonTimeout
		job.End(time.Now(), dispatch.Abandoned)
	case errors.Is(err, errMemoryExhausted):
		e.lastReason = reasonMemory
		job.End(time.Now(), dispatch.Abandoned)
		e.log("no memory for an upstream's response", "Error", err)
	default:
		job.End(time.Now(), dispatch.Broken)
		e.log("upstream response broken", "Upstream", job.Upstream().ID, "Error", err)
		if e.ctx.Err() == nil {
			e.node.probeAfterFailure(e, job)
		} else {
			e.node.probeAbandoned(e, job)
		}
	}
}
