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
	defaultMaxLineBytes = 64 << 10 // one event holds one token
	maxErrorBodyBytes   = 1 << 10  // of the body of an error response, for the failure's detail
	// bodyEndTimeout is how long a completed generation waits for the end of the
	// body. The connection is closed after it instead of reused.
	bodyEndTimeout = time.Second
)

type (
	// Options configures an HTTP client. Zero values mean defaults.
	Options struct {
		// MaxLineBytes limits the length of a line and of the data of an event in
		// an event stream. The default is 64 KiB. A longer one ends the generation
		// with ReasonBadResponse.
		MaxLineBytes int
	}

	// HTTP is the Client and ControlClient of one engine, over its HTTP
	// interface.
	HTTP struct {
		http    *http.Client
		baseURL string
		options Options
	}

	// completionStream reads and validates the events of one completion.
	completionStream struct {
		id         string
		nextOffset int // offset of the next token
		endOffset  int // all tokens must be below this offset, which is MaxTokens; 0 means no limit
		emit       func(upstream.Token) error

		finished bool
		usage    upstream.Usage
	}
)

// NewClient returns a client of the engine at address. It opens connections on
// demand.
func NewClient(network transport.Network, address netip.AddrPort, options Options) *HTTP {
	if options.MaxLineBytes == 0 {
		options.MaxLineBytes = defaultMaxLineBytes
	}
	return &HTTP{http: transport.HTTPClient(network), baseURL: "http://" + address.String(), options: options}
}

// Close closes the idle connections. Running calls continue until they complete
// or their contexts end.
func (h *HTTP) Close() { h.http.CloseIdleConnections() }

// Generate implements Client. An early return closes the connection, at which the
// engine cancels the generation.
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
	ctx, trace := upstream.TraceAttempt(ctx, len(PathCompletions))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.baseURL+PathCompletions, bytes.NewReader(body))
	if err != nil {
		return usage, &upstream.Failure{Reason: upstream.ReasonBadRequest, Detail: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if generation.Workspace != "" {
		request.Header.Set(upstream.HeaderWorkspace, generation.Workspace)
	}
	response, err := h.http.Do(request)
	if err != nil {
		return usage, trace.Failure(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return usage, statusFailure(response)
	}
	stream := &completionStream{id: id, nextOffset: generation.Offset, endOffset: generation.MaxTokens, emit: emit}
	if failure := stream.read(ctx, response.Body, h.options.MaxLineBytes); failure != nil {
		return stream.usage, failure
	}
	// net/http reuses the connection only if the body was read up to io.EOF.
	defer time.AfterFunc(bodyEndTimeout, cancel).Stop()
	response.Body.Read(make([]byte, 1))
	return stream.usage, nil
}

// statusFailure returns the failure of a response with a status other than 200.
// In the engine protocol, statuses from 400 to 499 mean that the engine refused
// the request before running it.
func statusFailure(response *http.Response) *upstream.Failure {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	detail := fmt.Sprintf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	if failure := upstream.ParseRefusal(response.StatusCode, response.Header, detail); failure != nil {
		return failure
	}
	failure := &upstream.Failure{Reason: upstream.ReasonBadResponse, Progress: upstream.Answered, Detail: detail}
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		failure.Reason, failure.Progress = upstream.ReasonBusy, upstream.NotWritten
		failure.RetryAfter = upstream.RetryAfter(response.Header)
	case response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError:
		failure.Reason, failure.Progress = upstream.ReasonRejected, upstream.NotWritten
	}
	return failure
}

// read passes the tokens of the stream to s.emit until the stream ends.
func (s *completionStream) read(ctx context.Context, body io.Reader, maxLineBytes int) *upstream.Failure {
	reader := newEventReader(body, maxLineBytes)
	for {
		data, err := reader.next()
		if err != nil {
			return streamFailure(ctx, err)
		}
		if string(data) == StreamEnd {
			if !s.finished {
				return badResponse("stream ended at offset %d without a finish reason", s.nextOffset)
			}
			return nil
		}
		if failure := s.handleEvent(data); failure != nil {
			return failure
		}
	}
}

// handleEvent validates one event and emits its token. A failure reported by the
// engine is returned with the engine's reason.
func (s *completionStream) handleEvent(data []byte) *upstream.Failure {
	var event CompletionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return badResponse("can't decode event: %v", err)
	}
	switch {
	case event.ID != s.id:
		return badResponse("event has request ID %q, want %q", event.ID, s.id)
	case event.Reason != "":
		return &upstream.Failure{Reason: event.Reason, Progress: upstream.Answered, Detail: "the engine ended the stream with a failure"}
	case s.finished:
		return badResponse("event after the finish reason")
	case len(event.Choices) != 1 || event.Choices[0].Index != 0:
		return badResponse("event has %d choices, want one with index 0", len(event.Choices))
	case event.Offset != s.nextOffset:
		return badResponse("event has offset %d, want %d", event.Offset, s.nextOffset)
	case event.Choices[0].FinishReason != "":
		s.finished = true
		if event.Usage != nil {
			s.usage = upstream.Usage{
				PromptTokens: event.Usage.PromptTokens, CachedTokens: event.Usage.Details.CachedTokens,
				CompletionTokens: event.Usage.CompletionTokens,
			}
		}
		return nil
	case s.endOffset > 0 && s.nextOffset >= s.endOffset:
		return badResponse("token at offset %d exceeds the limit of %d tokens", event.Offset, s.endOffset)
	}
	s.nextOffset++
	s.usage.CompletionTokens++
	if err := s.emit(upstream.Token{Offset: event.Offset, Text: event.Choices[0].Text}); err != nil {
		return &upstream.Failure{Reason: upstream.ReasonCanceled, Progress: upstream.Answered, Detail: err.Error()}
	}
	return nil
}

// streamFailure returns the failure of a stream whose next event can't be read.
// The engine had begun to run the request, so a broken connection means that the
// engine crashed.
func streamFailure(ctx context.Context, err error) *upstream.Failure {
	failure := &upstream.Failure{Reason: upstream.ReasonBroken, Progress: upstream.Answered, Detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason = upstream.ReasonDeadline
	case ctx.Err() != nil:
		failure.Reason = upstream.ReasonCanceled
	case errors.Is(err, errMalformedStream), errors.Is(err, transport.ErrMalformedResponse), err == io.EOF:
		// The body ended regularly or was malformed, so the engine is still running.
		failure.Reason = upstream.ReasonBadResponse
	default:
		failure.Crashed = true
	}
	return failure
}

func badResponse(format string, args ...any) *upstream.Failure {
	return &upstream.Failure{Reason: upstream.ReasonBadResponse, Progress: upstream.Answered, Detail: fmt.Sprintf(format, args...)}
}
