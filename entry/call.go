package entry

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/relay"
	"github.com/guavagauge/guavagauge/routing"
)

// call serves a request of a plain service.
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
		if !e.allowRetry(mayHaveRun) {
			e.finishUnserved(defaultRetryAfter)
			return
		}
	}
}

// settle deals with the outcome of sending a plain request, and reports whether
// the caller was answered.
func (e *exchange) handleResult(response *relay.Response, job *dispatch.Job, err error) (done bool) {
	n := e.node
	if err != nil {
		e.handleSendError(job, err)
		return false
	}
	defer response.Close()
	if response.Reply.NotRun {
		io.Copy(io.Discard, response)
		e.calls++
		e.lastReason = reasonRejected
		job.End(time.Now(), dispatch.Rejected)
		return false
	}
	e.calls++
	e.runs++
	n.usage.record(e.workspace, n.medianNow())
	var content bytes.Buffer
	_, err = io.CopyN(&content, response, readAheadBytes)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	if err == nil && response.Status/100 == 2 && !response.Reply.Sealed {
		err = errors.New("answer without a seal")
	}
	if err != nil {
		e.handleBrokenResponse(job, err)
		return false
	}
	if response.Status >= http.StatusInternalServerError && e.route.RetryClass == routing.Idempotent && e.allowRetry(true) {
		// The upstream is well: it answered. Another one may do better.
		job.End(time.Now(), dispatch.Served)
		e.calls-- // another counts the extra call again
		return e.retryServerError(response, content.Bytes())
	}
	e.forwardResponse(response, job, content.Bytes())
	return true
}

// retryFailed sends a request once more that an upstream answered with an error
// of its own. That answer is passed on if there is no better one.
func (e *exchange) retryServerError(failed *relay.Response, content []byte) (done bool) {
	choice, ok := e.node.dispatcher.PlacePlain(e.service, e.tried, time.Now())
	if ok {
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

// deliver passes on a plain answer of which the first part was read.
func (e *exchange) forwardResponse(response *relay.Response, job *dispatch.Job, content []byte) {
	length := response.Length
	if response.Complete() {
		length = int64(len(content))
	}
	e.writeHead(response, length)
	e.w.Write(content)
	if !response.Complete() {
		if _, err := io.Copy(e.w, response); err != nil {
			job.End(time.Now(), dispatch.Broken)
			e.log("answer cut", "Error", err)
			panic(http.ErrAbortHandler)
		}
	}
	job.End(time.Now(), dispatch.Served)
}

// note takes a failure to send or to get an answer.
func (e *exchange) handleSendError(job *dispatch.Job, err error) {
	var failure *relay.Failure
	if errors.As(err, &failure) && !failure.MayHaveRun {
		e.lastReason = reasonUnreachable
		if e.ctx.Err() != nil {
			job.End(time.Now(), dispatch.Abandoned)
			return
		}
		job.End(time.Now(), dispatch.Broken)
		e.log("upstream unreachable", "Error", err)
		return
	}
	e.calls++
	e.runs++
	if e.route.RetryClass != routing.Stream { // a generation begins with its first event
		e.node.usage.record(e.workspace, e.node.medianNow())
	}
	e.handleBrokenResponse(job, err)
}

// broken takes an answer that didn't come or was spoilt.
func (e *exchange) handleBrokenResponse(job *dispatch.Job, err error) {
	e.lastReason = reasonBroken
	switch {
	case e.r.Context().Err() != nil:
		job.End(time.Now(), dispatch.Abandoned)
	default:
		job.End(time.Now(), dispatch.Broken)
		e.log("answer broken", "Error", err)
		if e.ctx.Err() == nil {
			e.node.probeAfterFailure(e.fingerprint(), job.Upstream())
		}
	}
}
