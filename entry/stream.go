package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/relay"
)

const (
	// maxHandleBytes bounds the answer to a request of which the prompt is read.
	maxHandleBytes   = 4 << 10
	eventBufferBytes = 4 << 10
	// waitLimitPercent of its objective is how long a request may wait for an engine
	// until it is refused. A late answer is worth less than one on time, and more
	// than none.
	waitLimitPercent = 150
)

var eventIDPrefix = []byte("id:")

// stream is an answer of events on its way to the caller.
type stream struct {
	*exchange
	lastEventID      string        // the last one that was passed on
	headSent         bool          // the caller has the head
	prefillDoneAfter time.Duration // when the prompt was read apart, after the request's arrival
	firstEventAfter  time.Duration // after the request's arrival
	plan             dispatch.Plan
}

// generate serves a request that is answered by a stream of events.
func (e *exchange) serveStream() {
	s := &stream{exchange: e, lastEventID: e.request.LastEvent}
	noSeparatePrefill := false
	for {
		plan, ok := e.node.dispatcher.PlacePrompt(dispatch.PromptRequest{
			Service: e.service, Prompt: e.request.Prompt, Tried: e.tried, NoSeparatePrefill: noSeparatePrefill,
		}, time.Now())
		if !ok {
			if e.lastReason == "" {
				e.lastReason = reasonNoUpstream
			}
			s.finishUnserved(defaultRetryAfter)
			return
		}
		s.plan = plan
		if e.calls == 0 {
			if retryAfter, late := e.tooLate(plan); late {
				e.lastReason = reasonOverload
				s.finishUnserved(retryAfter)
				return
			}
		}
		source, ok := platform.KVSource{}, true
		if plan.Prefill != nil {
			if source, ok = e.prefill(*plan.Prefill); ok {
				s.prefillDoneAfter = time.Since(e.arrivedAt)
				if plan.Decode, ok = e.node.dispatcher.PlaceDecode(plan.Decode, e.tried, time.Now()); !ok {
					e.lastReason = reasonNoUpstream
				}
			}
		}
		if ok {
			if s.generate(plan.Decode, source) {
				return
			}
		}
		mayHaveRun := e.lastReason != reasonUnreachable && e.lastReason != reasonRejected && e.lastReason != reasonNoUpstream
		if !e.allowRetry(mayHaveRun) {
			s.finishUnserved(defaultRetryAfter)
			return
		}
		noSeparatePrefill = true
	}
}

// tooLate reports whether a plan would begin to answer too late to be worth its
// place, and after which time there may be one. The time that the prompt itself
// takes is no reason, unless the answer can't come before the deadline.
func (e *exchange) tooLate(plan dispatch.Plan) (retryAfter time.Duration, late bool) {
	wait := plan.Expected - plan.PrefillTime()
	limit := e.route.Objective * waitLimitPercent / 100
	if wait <= limit && plan.Expected < time.Until(e.deadline) {
		return 0, false
	}
	return max(wait-limit/2, defaultRetryAfter), true
}

// read has an engine read the prompt, and returns where its memory lies.
func (e *exchange) prefill(choice dispatch.Choice) (source platform.KVSource, ok bool) {
	e.tried = append(e.tried, choice.Upstream.ID)
	response, job, err := e.send(choice, platform.UpstreamHeaders{PrefillOnly: true, Priority: e.enginePriority(), KVFetchFrom: choice.Fetch})
	if err != nil {
		// Reading a prompt isn't a run, so nothing is lost if it happened.
		e.calls++
		e.lastReason = reasonRejected
		if e.ctx.Err() != nil {
			job.End(time.Now(), dispatch.Abandoned)
		} else {
			job.End(time.Now(), dispatch.Broken)
			e.log("prompt not read", "Error", err)
		}
		return platform.KVSource{}, false
	}
	defer response.Close()
	text, err := io.ReadAll(io.LimitReader(response, maxHandleBytes))
	if response.Reply.NotRun || err != nil || response.Status != http.StatusOK {
		e.calls++
		e.lastReason = reasonRejected
		job.End(time.Now(), dispatch.Rejected)
		e.log("prompt not read", "Status", response.Status, "Error", err)
		return platform.KVSource{}, false
	}
	handle, err := platform.DecodeKVHandle(text)
	if err != nil {
		e.calls++
		e.lastReason = reasonRejected
		job.End(time.Now(), dispatch.Broken)
		e.log("prompt not read", "Error", err)
		return platform.KVSource{}, false
	}
	job.End(time.Now(), dispatch.Served)
	return platform.KVSource{Address: choice.Upstream.Address, Handle: handle.ID}, true
}

func (e *exchange) enginePriority() platform.Priority {
	return platform.Priority(min(max(e.priority, 0), 9))
}

// run has an engine generate the answer, and passes it on. It reports whether
// the exchange is over.
func (s *stream) generate(choice dispatch.Choice, source platform.KVSource) (done bool) {
	s.tried = append(s.tried, choice.Upstream.ID)
	response, job, err := s.send(choice, platform.UpstreamHeaders{
		KVSource: source, LastEvent: s.lastEventID, Priority: s.enginePriority(), KVFetchFrom: choice.Fetch,
	})
	if err != nil {
		s.handleSendError(job, err)
		return false
	}
	defer response.Close()
	s.calls++
	if response.Reply.NotRun {
		io.Copy(io.Discard, response)
		s.lastReason = reasonRejected
		job.End(time.Now(), dispatch.Rejected)
		s.log("generation rejected", "Upstream", choice.Upstream.ID, "Status", response.Status, "Handle", source.Handle != "")
		return false
	}
	s.runs++
	if response.Status/100 != 2 {
		content, err := io.ReadAll(io.LimitReader(response, readAheadBytes))
		if err != nil || s.headSent {
			s.handleBrokenResponse(job, errors.Errorf("status %d", response.Status))
			return false
		}
		s.log("upstream failed", "Upstream", choice.Upstream.ID, "Status", response.Status)
		s.forwardResponse(response, job, content)
		return true
	}
	if !response.Reply.Sealed {
		s.handleBrokenResponse(job, errors.New("answer without a seal"))
		return false
	}
	if err = s.copyEvents(response, job); err != nil {
		s.handleBrokenResponse(job, err)
		return false
	}
	job.End(time.Now(), dispatch.Served)
	s.logServed()
	return true
}

// logServed tells what was expected of the engines, and what came.
func (s *stream) logServed() {
	prefill := s.plan.Decode
	if s.plan.Prefill != nil {
		prefill = *s.plan.Prefill
		s.log("prompt read", "Read", prefill.Upstream.ID, "Expected", prefill.Expected, "Took", s.prefillDoneAfter)
	}
	s.log("generation served", "Run", s.plan.Decode.Upstream.ID, "Fetched", prefill.Fetch.IsValid(), "Tokens", s.request.Prompt.Tokens,
		"Kept", prefill.CachedTokens, "Expected", s.plan.Expected, "First", s.firstEventAfter)
}

// relay passes on whole events as they come.
func (s *stream) copyEvents(response *relay.Response, job *dispatch.Job) (err error) {
	reader := bufio.NewReaderSize(response, eventBufferBytes)
	controller := http.NewResponseController(s.w)
	var event []byte
	eventID := s.lastEventID // of the event that is being read
	first := true
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) == 0:
			if !s.headSent {
				s.sendHead(response)
			}
			return nil
		case err != nil:
			return errors.Annotatef(err, "after event %q", s.lastEventID)
		}
		if value, ok := bytes.CutPrefix(line, eventIDPrefix); ok {
			eventID = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if first {
			first = false
			job.PrefillDone(time.Now())
			s.firstEventAfter = time.Since(s.arrivedAt)
			s.node.usage.record(s.workspace, s.node.medianNow())
		}
		if !s.headSent {
			s.sendHead(response)
		}
		if _, err = s.w.Write(event); err != nil {
			return err
		}
		if err = controller.Flush(); err != nil {
			return err
		}
		event = event[:0]
		s.lastEventID = eventID
	}
}

func (s *stream) sendHead(response *relay.Response) {
	s.headSent = true
	s.writeHead(response, response.Length)
}

// give ends a stream that no upstream could finish. One that has begun is cut,
// so that it doesn't look complete.
func (s *stream) finishUnserved(retryAfter time.Duration) {
	if s.headSent {
		s.node.count("failed", "StreamCut")
		s.log("stream cut", "Reason", s.lastReason, "LastEvent", s.lastEventID)
		panic(http.ErrAbortHandler)
	}
	s.exchange.finishUnserved(retryAfter)
}
