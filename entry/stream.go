package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/relay"
	"github.com/guavagauge/guavagauge/resources"
)

const (
	// maxHandleBytes bounds the response of a prefill engine, which holds a KV
	// handle.
	maxHandleBytes = 4 << 10
	// eventBufferBytes is the size of the buffer for reading events. An event may be
	// larger.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds the memory for an event, beside the node's memory budget. A
	// faulty upstream may send bytes without end.
	maxEventBytes = 1 << 20
	// waitLimitPercent is the longest expected wait for an engine, as a percentage
	// of the route's objective, with which a request is still accepted. It exceeds
	// 100, since a late response is worth less than one on time, but more than none.
	waitLimitPercent = 150
)

// eventIDPrefix begins the line with the ID of a server-sent event.
var eventIDPrefix = []byte("id:")

// stream is an exchange whose response is a stream of server-sent events.
type stream struct {
	*exchange
	lastEventID      string        // ID of the last event that was sent to the caller
	headSent         bool          // status and headers were sent to the caller
	mediaType        string        // of the response, once headSent
	prefillDoneAfter time.Duration // from the request's arrival to the end of a separate prefill
	firstEventAfter  time.Duration // from the request's arrival to the first event
	plan             dispatch.Plan
}

// serveStream serves a request whose response is a stream of events.
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
		if e.calls == 0 { // a retry isn't refused because it is late
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
		if ok && e.quarantined() { // since it was admitted
			e.lastReason = reasonQuarantined
			s.finishUnserved(quarantineRetryAfter)
			return
		}
		if ok {
			if s.generate(plan.Decode, source) {
				return
			}
		}
		// A prefill isn't a run. Without an engine that decodes, nothing has run either.
		mayHaveRun := e.lastReason != reasonUnreachable && e.lastReason != reasonRejected && e.lastReason != reasonNoUpstream
		if !e.allowRetry(mayHaveRun) {
			s.finishUnserved(defaultRetryAfter)
			return
		}
		noSeparatePrefill = !e.recalled() // in a retry after a failure, one engine prefills and decodes
	}
}

// tooLate reports whether a plan's first event is expected too late for the
// request to be accepted, and if so, when to retry: when the wait is expected to
// have fallen to half the limit. Only the time of waiting counts, not that of the
// request's own prefill, unless the first event is expected after the deadline.
func (e *exchange) tooLate(plan dispatch.Plan) (retryAfter time.Duration, late bool) {
	wait := plan.Expected - plan.PrefillTime()
	limit := e.route.Objective * waitLimitPercent / 100
	if wait <= limit && plan.Expected < time.Until(e.deadline) {
		return 0, false
	}
	return max(wait-limit/2, defaultRetryAfter), true
}

// prefill has an engine read the prompt, and returns the engine's address and the
// handle of the KV cache.
func (e *exchange) prefill(choice dispatch.Choice) (source platform.KVSource, ok bool) {
	e.tried = append(e.tried, choice.Upstream.ID)
	response, job, err := e.send(choice, platform.UpstreamHeaders{PrefillOnly: true, Priority: e.enginePriority(), KVFetchFrom: choice.Fetch})
	if err != nil {
		// A prefill doesn't count as a run, so it may be repeated even if it
		// happened.
		e.lastReason = reasonRejected
		if notSent(err) {
			job.End(time.Now(), dispatch.Abandoned)
			return platform.KVSource{}, false
		}
		e.calls++
		switch {
		case e.recalled():
			e.holdRecalled(job)
		case e.ctx.Err() != nil:
			job.End(time.Now(), dispatch.Abandoned)
		default:
			job.End(time.Now(), dispatch.Broken)
			e.log("prefill failed", "Upstream", choice.Upstream.ID, "Error", err)
		}
		return platform.KVSource{}, false
	}
	defer response.Close()
	text, err := io.ReadAll(io.LimitReader(response, maxHandleBytes))
	if response.Reply.NotRun || err != nil || response.Status != http.StatusOK {
		e.calls++
		e.lastReason = reasonRejected
		job.End(time.Now(), dispatch.Rejected)
		e.log("prefill failed", "Upstream", choice.Upstream.ID, "Status", response.Status, "Error", err)
		return platform.KVSource{}, false
	}
	handle, err := platform.DecodeKVHandle(text)
	if err != nil {
		e.calls++
		e.lastReason = reasonRejected
		job.End(time.Now(), dispatch.Broken)
		e.log("prefill failed", "Upstream", choice.Upstream.ID, "Error", err)
		return platform.KVSource{}, false
	}
	job.End(time.Now(), dispatch.Served)
	e.prefillDeviation = e.observeDeviation(job)
	return platform.KVSource{Address: choice.Upstream.Address, Handle: handle.ID}, true
}

// enginePriority returns the priority of the request, limited to the engines'
// range.
func (e *exchange) enginePriority() platform.Priority {
	return platform.Priority(min(max(e.priority, 0), 9))
}

// generate has an engine generate the response, and forwards it to the caller. It
// reports whether the exchange is done, so that there must be no retry.
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
		response.Discard()
		s.lastReason = reasonRejected
		job.End(time.Now(), dispatch.Rejected)
		s.log("generation rejected by upstream", "Upstream", choice.Upstream.ID, "Status", response.Status, "Handle", source.Handle != "")
		return false
	}
	s.countRun()
	if response.Status/100 != 2 {
		content, err := s.readAhead(response)
		if err != nil || s.headSent {
			s.handleBrokenResponse(job, errors.Errorf("upstream responded with status %d", response.Status))
			return false
		}
		s.log("upstream responded with an error", "Upstream", choice.Upstream.ID, "Status", response.Status)
		s.forwardResponse(response, job, content)
		return true
	}
	if !response.Reply.Sealed {
		s.handleBrokenResponse(job, errors.New("successful response has no seal header"))
		return false
	}
	if s.headSent && mediaType(response) != s.mediaType {
		s.handleBrokenResponse(job, errors.Errorf("upstream continued a response of type %q with %q", s.mediaType, mediaType(response)))
		return false
	}
	if err = s.copyEvents(response, job); err != nil {
		s.handleBrokenResponse(job, err)
		return false
	}
	s.clearRequest()
	job.End(time.Now(), dispatch.Served)
	s.logServed()
	return true
}

// logServed logs the times that were expected for the prefill and the first event
// together with the actual ones.
func (s *stream) logServed() {
	prefill := s.plan.Decode
	if s.plan.Prefill != nil {
		prefill = *s.plan.Prefill
		s.log("prefill done", slices.Concat([]any{"Read", prefill.Upstream.ID, "Expected", prefill.Expected, "Took", s.prefillDoneAfter}, s.prefillDeviation)...)
	}
	s.log("generation served", "Run", s.plan.Decode.Upstream.ID, "Fetched", prefill.Fetch.IsValid(), "Tokens", s.request.Prompt.Tokens,
		"Kept", prefill.CachedTokens, "Expected", s.plan.Expected, "First", s.firstEventAfter)
}

// copyEvents forwards events to the caller as they arrive, each only once it is
// complete. An empty line ends an event.
func (s *stream) copyEvents(response *relay.Response, job *dispatch.Job) (err error) {
	reader := bufio.NewReaderSize(response, eventBufferBytes)
	controller := http.NewResponseController(s.w)
	w, firstAt := &timedWriter{Writer: s.w}, time.Time{}
	event := s.newBuffer(resources.Answers)
	defer event.release()
	eventID := s.lastEventID // of the event that is being read
	hasID := false           // the event that is being read has an ID
	first := true
	lineStart := 0 // in event.data
	for {
		// A line longer than the buffer is read in parts. Only the whole line tells
		// whether it has an ID or is empty.
		part, err := reader.ReadSlice('\n')
		if len(event.data)+len(part) > maxEventBytes {
			return errors.Errorf("event after %q exceeds %d bytes", s.lastEventID, maxEventBytes)
		}
		if !event.append(part, maxEventBytes) {
			return errors.Annotatef(errMemoryExhausted, "event after %q", s.lastEventID)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event.data) == 0:
			if !s.headSent {
				s.sendHead(response)
			}
			return nil
		case err != nil && w.slow(s.ctx, firstAt):
			return errors.Annotatef(errSlowCaller, "after event %q", s.lastEventID)
		case err != nil:
			return errors.Annotatef(err, "read after event %q", s.lastEventID)
		}
		line := event.data[lineStart:]
		lineStart = len(event.data)
		if value, ok := bytes.CutPrefix(line, eventIDPrefix); ok {
			eventID, hasID = string(bytes.TrimSpace(value)), true
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if hasID && !follows(eventID, s.lastEventID) {
			return errors.Errorf("event %q came after event %q", eventID, s.lastEventID)
		}
		if first {
			first, firstAt = false, time.Now()
			if !s.beginAttempt() {
				return errRecalled
			}
			s.responseBegun = true
			s.clearParts()
			job.PrefillDone(time.Now())
			s.observeDeviation(job)
			s.firstEventAfter = time.Since(s.arrivedAt)
			s.node.usage.record(s.workspace, s.node.medianNow())
		}
		if !s.headSent {
			s.sendHead(response)
		}
		if _, err = w.Write(event.data); err != nil {
			return err
		}
		if err = w.measure(controller.Flush); err != nil {
			return err
		}
		event.data, lineStart, hasID = event.data[:0], 0, false
		s.lastEventID = eventID
	}
}

// follows reports whether an event may be sent after the last one: its ID, if both are
// numbers, is higher. A continued stream may begin with events that the caller has.
func follows(eventID, lastEventID string) (ok bool) {
	id, err := strconv.ParseUint(eventID, 10, 64)
	last, lastErr := strconv.ParseUint(lastEventID, 10, 64)
	return err != nil || lastErr != nil || id > last
}

// mediaType returns the type of the response's body without its parameters.
func mediaType(response *relay.Response) (name string) {
	name, _, _ = strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// sendHead sends the status and headers to the caller.
func (s *stream) sendHead(response *relay.Response) {
	s.headSent, s.mediaType = true, mediaType(response)
	s.writeHead(response, response.Length)
}

// finishUnserved ends a stream that no upstream could finish. If the caller has
// the headers, it aborts the connection, so that the stream doesn't look complete.
func (s *stream) finishUnserved(retryAfter time.Duration) {
	if s.headSent {
		s.node.count("failed", "StreamCut")
		s.log("stream to caller cut off", "Reason", s.lastReason, "LastEvent", s.lastEventID)
		s.cutResponse()
	}
	s.exchange.finishUnserved(retryAfter)
}
