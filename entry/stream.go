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
	maxHandleBytes = 4 << 10
	eventBuffer    = 4 << 10
	// waitLimitPercent of its objective is how long a request may wait for an engine
	// until it is refused. A late answer is worth less than one on time, and more
	// than none.
	waitLimitPercent = 150
)

var eventID = []byte("id:")

// stream is an answer of events on its way to the caller.
type stream struct {
	*exchange
	lastEvent string        // the last one that was passed on
	started   bool          // the caller has the head
	readAt    time.Duration // when the prompt was read apart, after the request's arrival
	firstAt   time.Duration // after the request's arrival
	plan      dispatch.Plan
}

// generate serves a request that is answered by a stream of events.
func (e *exchange) generate() {
	s := &stream{exchange: e, lastEvent: e.request.LastEvent}
	direct := false
	for {
		plan, ok := e.node.dispatcher.PlacePrompt(dispatch.PromptRequest{
			Service: e.service, Prompt: e.request.Prompt, Tried: e.tried, NoSeparatePrefill: direct,
		}, time.Now())
		if !ok {
			if e.last == "" {
				e.last = reasonNoUpstream
			}
			s.give(retrySoon)
			return
		}
		s.plan = plan
		if e.calls == 0 {
			if after, late := e.tooLate(plan); late {
				e.last = reasonOverload
				s.give(after)
				return
			}
		}
		source, ok := platform.KVSource{}, true
		if plan.Prefill != nil {
			if source, ok = e.read(*plan.Prefill); ok {
				s.readAt = time.Since(e.arrived)
				if plan.Decode, ok = e.node.dispatcher.PlaceDecode(plan.Decode, e.tried, time.Now()); !ok {
					e.last = reasonNoUpstream
				}
			}
		}
		if ok {
			if s.run(plan.Decode, source) {
				return
			}
		}
		mayHaveRun := e.last != reasonUnreachable && e.last != reasonRejected && e.last != reasonNoUpstream
		if !e.another(mayHaveRun) {
			s.give(retrySoon)
			return
		}
		direct = true
	}
}

// tooLate reports whether a plan would begin to answer too late to be worth its
// place, and after which time there may be one. The time that the prompt itself
// takes is no reason, unless the answer can't come before the deadline.
func (e *exchange) tooLate(plan dispatch.Plan) (after time.Duration, late bool) {
	wait := plan.Expected - plan.PrefillTime()
	limit := e.route.Objective * waitLimitPercent / 100
	if wait <= limit && plan.Expected < time.Until(e.deadline) {
		return 0, false
	}
	return max(wait-limit/2, retrySoon), true
}

// read has an engine read the prompt, and returns where its memory lies.
func (e *exchange) read(choice dispatch.Choice) (source platform.KVSource, ok bool) {
	e.tried = append(e.tried, choice.Upstream.ID)
	answer, job, err := e.send(choice, platform.UpstreamHeaders{PrefillOnly: true, Priority: e.enginePriority(), KVFetchFrom: choice.Fetch})
	if err != nil {
		// Reading a prompt isn't a run, so nothing is lost if it happened.
		e.calls++
		e.last = reasonRejected
		if e.ctx.Err() != nil {
			job.End(time.Now(), dispatch.Abandoned)
		} else {
			job.End(time.Now(), dispatch.Broken)
			e.log("prompt not read", "Error", err)
		}
		return platform.KVSource{}, false
	}
	defer answer.Close()
	text, err := io.ReadAll(io.LimitReader(answer, maxHandleBytes))
	if answer.Reply.NotRun || err != nil || answer.Status != http.StatusOK {
		e.calls++
		e.last = reasonRejected
		job.End(time.Now(), dispatch.Rejected)
		e.log("prompt not read", "Status", answer.Status, "Error", err)
		return platform.KVSource{}, false
	}
	handle, err := platform.DecodeKVHandle(text)
	if err != nil {
		e.calls++
		e.last = reasonRejected
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
func (s *stream) run(choice dispatch.Choice, source platform.KVSource) (done bool) {
	s.tried = append(s.tried, choice.Upstream.ID)
	answer, job, err := s.send(choice, platform.UpstreamHeaders{
		KVSource: source, LastEvent: s.lastEvent, Priority: s.enginePriority(), KVFetchFrom: choice.Fetch,
	})
	if err != nil {
		s.note(job, err)
		return false
	}
	defer answer.Close()
	s.calls++
	if answer.Reply.NotRun {
		io.Copy(io.Discard, answer)
		s.last = reasonRejected
		job.End(time.Now(), dispatch.Rejected)
		s.log("generation rejected", "Upstream", choice.Upstream.ID, "Status", answer.Status, "Handle", source.Handle != "")
		return false
	}
	s.runs++
	if answer.Status/100 != 2 {
		content, err := io.ReadAll(io.LimitReader(answer, readAheadBytes))
		if err != nil || s.started {
			s.broken(job, errors.Errorf("status %d", answer.Status))
			return false
		}
		s.log("upstream failed", "Upstream", choice.Upstream.ID, "Status", answer.Status)
		s.deliver(answer, job, content)
		return true
	}
	if !answer.Reply.Sealed {
		s.broken(job, errors.New("answer without a seal"))
		return false
	}
	if err = s.relay(answer, job); err != nil {
		s.broken(job, err)
		return false
	}
	job.End(time.Now(), dispatch.Served)
	s.logServed()
	return true
}

// logServed tells what was expected of the engines, and what came.
func (s *stream) logServed() {
	reader := s.plan.Decode
	if s.plan.Prefill != nil {
		reader = *s.plan.Prefill
		s.log("prompt read", "Read", reader.Upstream.ID, "Expected", reader.Expected, "Took", s.readAt)
	}
	s.log("generation served", "Run", s.plan.Decode.Upstream.ID, "Fetched", reader.Fetch.IsValid(), "Tokens", s.request.Prompt.Tokens,
		"Kept", reader.CachedTokens, "Expected", s.plan.Expected, "First", s.firstAt)
}

// relay passes on whole events as they come.
func (s *stream) relay(answer *relay.Response, job *dispatch.Job) (err error) {
	reader := bufio.NewReaderSize(answer, eventBuffer)
	controller := http.NewResponseController(s.w)
	var event []byte
	id := s.lastEvent // of the event that is being read
	first := true
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) == 0:
			if !s.started {
				s.start(answer)
			}
			return nil
		case err != nil:
			return errors.Annotatef(err, "after event %q", s.lastEvent)
		}
		if value, ok := bytes.CutPrefix(line, eventID); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if first {
			first = false
			job.PrefillDone(time.Now())
			s.firstAt = time.Since(s.arrived)
			s.node.usage.began(s.workspace, s.node.trueNow())
		}
		if !s.started {
			s.start(answer)
		}
		if _, err = s.w.Write(event); err != nil {
			return err
		}
		if err = controller.Flush(); err != nil {
			return err
		}
		event = event[:0]
		s.lastEvent = id
	}
}

func (s *stream) start(answer *relay.Response) {
	s.started = true
	s.copyHead(answer, answer.Length)
}

// give ends a stream that no upstream could finish. One that has begun is cut,
// so that it doesn't look complete.
func (s *stream) give(after time.Duration) {
	if s.started {
		s.node.count("failed", "StreamCut")
		s.log("stream cut", "Reason", s.last, "LastEvent", s.lastEvent)
		panic(http.ErrAbortHandler)
	}
	s.exchange.give(after)
}
