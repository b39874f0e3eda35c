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
func (e *exchange) call() {
	for {
		choice, ok := e.node.dispatcher.PlacePlain(e.service, e.tried, time.Now())
		if !ok {
			if e.last == "" {
				e.last = reasonNoUpstream
			}
			e.give(retrySoon)
			return
		}
		e.tried = append(e.tried, choice.Upstream.ID)
		answer, job, err := e.send(choice, platform.UpstreamHeaders{Priority: platform.DefaultPriority})
		if e.settle(answer, job, err) {
			return
		}
		mayHaveRun := e.last != reasonUnreachable && e.last != reasonRejected
		if !e.another(mayHaveRun) {
			e.give(retrySoon)
			return
		}
	}
}

// settle deals with the outcome of sending a plain request, and reports whether
// the caller was answered.
func (e *exchange) settle(answer *relay.Response, job *dispatch.Job, err error) (done bool) {
	n := e.node
	if err != nil {
		e.note(job, err)
		return false
	}
	defer answer.Close()
	if answer.Reply.NotRun {
		io.Copy(io.Discard, answer)
		e.calls++
		e.last = reasonRejected
		job.End(time.Now(), dispatch.Rejected)
		return false
	}
	e.calls++
	e.runs++
	n.usage.began(e.workspace, n.trueNow())
	var content bytes.Buffer
	_, err = io.CopyN(&content, answer, readAheadBytes)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	if err == nil && answer.Status/100 == 2 && !answer.Reply.Sealed {
		err = errors.New("answer without a seal")
	}
	if err != nil {
		e.broken(job, err)
		return false
	}
	if answer.Status >= http.StatusInternalServerError && e.route.RetryClass == routing.Idempotent && e.another(true) {
		// The upstream is well: it answered. Another one may do better.
		job.End(time.Now(), dispatch.Served)
		e.calls-- // another counts the extra call again
		return e.retryFailed(answer, content.Bytes())
	}
	e.deliver(answer, job, content.Bytes())
	return true
}

// retryFailed sends a request once more that an upstream answered with an error
// of its own. That answer is passed on if there is no better one.
func (e *exchange) retryFailed(failed *relay.Response, content []byte) (done bool) {
	choice, ok := e.node.dispatcher.PlacePlain(e.service, e.tried, time.Now())
	if ok {
		e.tried = append(e.tried, choice.Upstream.ID)
		answer, job, err := e.send(choice, platform.UpstreamHeaders{Priority: platform.DefaultPriority})
		e.calls++
		if e.settle(answer, job, err) {
			return true
		}
	}
	e.copyHead(failed, int64(len(content)))
	e.w.Write(content)
	return true
}

// deliver passes on a plain answer of which the first part was read.
func (e *exchange) deliver(answer *relay.Response, job *dispatch.Job, content []byte) {
	length := answer.Length
	if answer.Complete() {
		length = int64(len(content))
	}
	e.copyHead(answer, length)
	e.w.Write(content)
	if !answer.Complete() {
		if _, err := io.Copy(e.w, answer); err != nil {
			job.End(time.Now(), dispatch.Broken)
			e.log("answer cut", "Error", err)
			panic(http.ErrAbortHandler)
		}
	}
	job.End(time.Now(), dispatch.Served)
}

// note takes a failure to send or to get an answer.
func (e *exchange) note(job *dispatch.Job, err error) {
	var failure *relay.Failure
	if errors.As(err, &failure) && !failure.MayHaveRun {
		e.last = reasonUnreachable
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
		e.node.usage.began(e.workspace, e.node.trueNow())
	}
	e.broken(job, err)
}

// broken takes an answer that didn't come or was spoilt.
func (e *exchange) broken(job *dispatch.Job, err error) {
	e.last = reasonBroken
	switch {
	case e.r.Context().Err() != nil:
		job.End(time.Now(), dispatch.Abandoned)
	default:
		job.End(time.Now(), dispatch.Broken)
		e.log("answer broken", "Error", err)
		if e.ctx.Err() == nil {
			e.node.examine(e.fingerprint(), job.Upstream())
		}
	}
}
