package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/upstream"
)

// stream buffers the tokens of a generation that the entry node hasn't confirmed
// yet, so that they can be sent again if the reply to a pull is lost. An ended
// stream is kept for the same reason, until idle fires or it is canceled.
type stream struct {
	attemptID AttemptID
	cancel    context.CancelFunc
	idle      *time.Timer   // removes the stream and cancels its run after idleTimeout without a confirmation
	space     chan struct{} // holds a value after a confirmation has freed buffer space
	ready     bool          // in the session's ready list; guarded by the session's mu

	// mu is locked before the session's mu.
	mu      sync.Mutex
	session *session
	base    int // offset of tokens[0]
	sent    int // offset after the last token sent
	endSent bool
	tokens  []string
	done    bool
	usage   upstream.Usage
	failure *upstream.Failure
}

func newStream(id AttemptID, ses *session, offset int, cancel context.CancelFunc) *stream {
	return &stream{
		attemptID: id, session: ses, base: offset, sent: offset, cancel: cancel, space: make(chan struct{}, 1),
	}
}

// append adds a token from the engine. It blocks while maxUnconfirmedTokens
// tokens are unconfirmed, so that a slow caller slows down its generation instead
// of filling the scheduler's memory. Only one goroutine may call it.
func (s *stream) append(ctx context.Context, token upstream.Token) (err error) {
	for {
		s.mu.Lock()
		if len(s.tokens) < maxUnconfirmedTokens {
			defer s.mu.Unlock()
			if token.Offset != s.base+len(s.tokens) {
				return &upstream.Failure{
					Reason: upstream.ReasonBadResponse, Progress: upstream.Answered,
					Detail: "the engine skipped or repeated a token",
				}
			}
			s.tokens = append(s.tokens, token.Text)
			s.session.markReady(s)
			return nil
		}
		s.mu.Unlock()
		select {
		case <-s.space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// finish ends the stream with its usage or a failure. It has no effect on a
// stream that has ended.
func (s *stream) finish(usage upstream.Usage, failure *upstream.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended() {
		return
	}
	s.usage, s.failure, s.done = usage, failure, failure == nil
	s.session.markReady(s)
}

// takeChunk returns the tokens and the end of the stream that haven't been sent
// yet. It reports false if there are none or the stream has moved to another
// session.
func (s *stream) takeChunk(ses *session) (reply StreamChunk, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.base + len(s.tokens)
	if s.session != ses || s.sent == end && (!s.ended() || s.endSent) {
		return reply, false
	}
	reply = StreamChunk{
		AttemptID: s.attemptID, Offset: s.sent, Tokens: slices.Clone(s.tokens[s.sent-s.base:]), Done: s.done, Usage: s.usage,
	}
	if s.failure != nil {
		failure := *s.failure // a copy, since an entry node in the same process may modify it
		reply.Failure = &failure
	}
	s.sent, s.endSent = end, s.ended()
	return reply, true
}

// confirm drops the tokens before offset and moves the stream to the given
// session. With resend, or after a change of the session, the remaining tokens
// are sent again. Delayed and repeated confirmations have no effect.
func (s *stream) confirm(ses *session, offset int, resend bool) (failure *upstream.Failure) {
	s.idle.Reset(idleTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.base + len(s.tokens)
	if offset > end || resend && offset < s.base {
		return &upstream.Failure{
			Reason: upstream.ReasonBadResponse, Progress: upstream.Answered,
			Detail: "the confirmed offset is outside the buffered tokens",
		}
	}
	if n := offset - s.base; n > 0 {
		s.tokens = slices.Delete(s.tokens, 0, n)
		s.base, s.sent = offset, max(s.sent, offset)
		select {
		case s.space <- struct{}{}:
		default:
		}
	}
	if resend || s.session != ses {
		s.session, s.sent, s.endSent = ses, max(offset, s.base), false
		s.session.markReady(s)
	}
	return nil
}

// delivered reports whether the end of the stream has been sent.
func (s *stream) delivered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endSent
}

// ended reports whether no more tokens will follow. The caller holds mu.
func (s *stream) ended() bool { return s.done || s.failure != nil }
