package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/transport"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	defaultMaxLineBytes = 64 << 10 // an event holds one token
	maxRefusalBytes     = 1 << 10  // kept of the body of a refusal for the log
	endTimeout          = time.Second
)

type (
	// Options of an HTTP client. Zero values mean defaults.
	Options struct {
		// MaxLineBytes bounds one line of a stream. The default is 64 KiB.
		MaxLineBytes int
	}

	// HTTP is the Client and ControlClient of one engine's HTTP interface.
	HTTP struct {
		http    *http.Client
		base    string
		options Options
	}

	// stream checks the events of one answer.
	stream struct {
		id   string
		next int // offset of the next token
		last int // no token may be at or above it, unless it is 0
		emit func(upstream.Token) error

		ended bool
		usage upstream.Usage
	}
)

// NewClient returns a client of the engine at address. It connects when it is
// used.
func NewClient(network transport.Network, address netip.AddrPort, options Options) *HTTP {
	if options.MaxLineBytes == 0 {
		options.MaxLineBytes = defaultMaxLineBytes
	}
	return &HTTP{http: transport.HTTPClient(network), base: "http://" + address.String(), options: options}
}

// Close drops the idle connections. Running calls end with their contexts.
func (h *HTTP) Close() { h.http.CloseIdleConnections() }

// Generate implements Client. The engine cancels the run when the connection
// closes, which it does on every return before the end of the stream.
func (h *HTTP) Generate(ctx context.Context, generation upstream.Generation, emit func(upstream.Token) error) (usage upstream.Usage, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := strconv.FormatUint(rand.Uint64(), 36)
	body, err := json.Marshal(CompletionRequest{
		Model: generation.Model, Prompt: generation.Prompt, MaxTokens: generation.MaxTokens, Seed: generation.Seed,
		Stream: true, ID: id, Offset: generation.Offset, Given: generation.GeneratedTokens, Priority: generation.Priority,
		Prefix: generation.Prefix,
	})
	if err != nil {
		return usage, &upstream.Failure{Reason: upstream.ReasonBadRequest, Detail: err.Error()}
	}
	ctx, attempt := upstream.TraceAttempt(ctx, len(PathCompletions))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+PathCompletions, bytes.NewReader(body))
	if err != nil {
		return usage, &upstream.Failure{Reason: upstream.ReasonBadRequest, Detail: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if generation.Workspace != "" {
		request.Header.Set(upstream.HeaderWorkspace, generation.Workspace)
	}
	response, err := h.http.Do(request)
	if err != nil {
		return usage, attempt.Failure(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return usage, refusal(response)
	}
	answer := &stream{id: id, next: generation.Offset, last: generation.MaxTokens, emit: emit}
	if failure := answer.read(ctx, response.Body, h.options.MaxLineBytes); failure != nil {
		return answer.usage, failure
	}
	// The connection can be used again only if the body was read to its end.
	defer time.AfterFunc(endTimeout, cancel).Stop()
	response.Body.Read(make([]byte, 1))
	return answer.usage, nil
}

// refusal turns an answer other than 200 into a failure. Statuses below 500
// mean by the protocol that the engine rejected the request before running it.
func refusal(response *http.Response) *upstream.Failure {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	detail := fmt.Sprintf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	if failure := upstream.ParseRefusal(response.StatusCode, response.Header, detail); failure != nil {
		return failure
	}
	failure := &upstream.Failure{Reason: upstream.ReasonBadAnswer, Progress: upstream.Answered, Detail: detail}
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		failure.Reason, failure.Progress = upstream.ReasonBusy, upstream.NotWritten
		failure.RetryAfter = upstream.RetryAfter(response.Header)
	case response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError:
		failure.Reason, failure.Progress = upstream.ReasonRejected, upstream.NotWritten
	}
	return failure
}

// read passes the tokens of a stream on until its end.
func (s *stream) read(ctx context.Context, body io.Reader, maxLineBytes int) *upstream.Failure {
	reader := newEventReader(body, maxLineBytes)
	for {
		data, err := reader.next()
		if err != nil {
			return streamFailure(ctx, err)
		}
		if string(data) == StreamEnd {
			if !s.ended {
				return badAnswer("stream ended without a finish reason at offset %d", s.next)
			}
			return nil
		}
		if failure := s.event(data); failure != nil {
			return failure
		}
	}
}

func (s *stream) event(data []byte) *upstream.Failure {
	var event CompletionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return badAnswer("event: %v", err)
	}
	switch {
	case event.ID != s.id:
		return badAnswer("event of request %q, want %q", event.ID, s.id)
	case event.Reason != "":
		return &upstream.Failure{Reason: event.Reason, Progress: upstream.Answered, Detail: "the engine ended the stream"}
	case s.ended:
		return badAnswer("event after the last one")
	case len(event.Choices) != 1 || event.Choices[0].Index != 0:
		return badAnswer("event with %d choices, want one of index 0", len(event.Choices))
	case event.Offset != s.next:
		return badAnswer("event at offset %d, want %d", event.Offset, s.next)
	case event.Choices[0].FinishReason != "":
		s.ended = true
		if event.Usage != nil {
			s.usage = upstream.Usage{
				PromptTokens: event.Usage.PromptTokens, CachedTokens: event.Usage.Details.CachedTokens,
				CompletionTokens: event.Usage.CompletionTokens,
			}
		}
		return nil
	case s.last > 0 && s.next >= s.last:
		return badAnswer("token at offset %d, over the limit of %d", event.Offset, s.last)
	}
	s.next++
	s.usage.CompletionTokens++
	if err := s.emit(upstream.Token{Offset: event.Offset, Text: event.Choices[0].Text}); err != nil {
		return &upstream.Failure{Reason: upstream.ReasonCanceled, Progress: upstream.Answered, Detail: err.Error()}
	}
	return nil
}

// streamFailure describes a stream that can't be read further. The engine has
// begun to run the request, so a connection that breaks means that it died.
func streamFailure(ctx context.Context, err error) *upstream.Failure {
	failure := &upstream.Failure{Reason: upstream.ReasonBroken, Progress: upstream.Answered, Detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason = upstream.ReasonDeadline
	case ctx.Err() != nil:
		failure.Reason = upstream.ReasonCanceled
	case errors.Is(err, errBadStream), err == io.EOF:
		// A clean end of the body is the engine's own doing.
		failure.Reason = upstream.ReasonBadAnswer
	default:
		failure.Crashed = true
	}
	return failure
}

func badAnswer(format string, args ...any) *upstream.Failure {
	return &upstream.Failure{Reason: upstream.ReasonBadAnswer, Progress: upstream.Answered, Detail: fmt.Sprintf(format, args...)}
}
