package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/upstream"
)

// stream is the part of a generation's answer that the entry node hasn't
// confirmed yet. Tokens stay until they are confirmed, so that a pull whose
// reply was lost can be repeated.
type stream struct {
	ident  AttemptID
	cancel context.CancelFunc
	idle   *time.Timer // cancels the run when nobody pulls
	space  chan struct{}
	ready  bool // in the session's list; guarded by its mutex

	// mu is taken before the session's.
	mu      sync.Mutex
	session *session
	base    int // offset of tokens[0]
	sent    int // offset behind the last token sent
	endSent bool
	tokens  []string
	done    bool
	usage   upstream.Usage
	failure *upstream.Failure
}

func newStream(ident AttemptID, ses *session, offset int, cancel context.CancelFunc) *stream {
	return &stream{
		ident: ident, session: ses, base: offset, sent: offset, cancel: cancel, space: make(chan struct{}, 1),
	}
}

// append adds a token from the engine. It waits while maxUnconfirmed tokens
// are unconfirmed, so that a slow caller slows its engine down instead of
// filling memory. Only one goroutine may call it.
func (s *stream) append(ctx context.Context, token upstream.Token) (err error) {
	for {
		s.mu.Lock()
		if len(s.tokens) < maxUnconfirmed {
			defer s.mu.Unlock()
			if token.Offset != s.base+len(s.tokens) {
				return &upstream.Failure{
					Reason: upstream.ReasonBadAnswer, Progress: upstream.Answered,
					Detail: "the engine skipped or repeated a token",
				}
			}
			s.tokens = append(s.tokens, token.Text)
			s.session.push(s)
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

// finish ends the stream with its usage, or a failure.
func (s *stream) finish(usage upstream.Usage, failure *upstream.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended() {
		return
	}
	s.usage, s.failure, s.done = usage, failure, failure == nil
	s.session.push(s)
}

// take returns what hasn't been sent yet, if the stream still belongs to the
// session.
func (s *stream) take(ses *session) (reply StreamChunk, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.base + len(s.tokens)
	if s.session != ses || s.sent == end && (!s.ended() || s.endSent) {
		return reply, false
	}
	reply = StreamChunk{
		AttemptID: s.ident, Offset: s.sent, Tokens: slices.Clone(s.tokens[s.sent-s.base:]), Done: s.done, Usage: s.usage,
	}
	if s.failure != nil {
		failure := *s.failure // an entry node in the same process may change it
		reply.Failure = &failure
	}
	s.sent, s.endSent = end, s.ended()
	return reply, true
}

// confirm drops the tokens before offset and makes the stream one of the
// session's. With resend, the tokens from offset on are sent again. Late and
// repeated confirmations change nothing.
func (s *stream) confirm(ses *session, offset int, resend bool) (failure *upstream.Failure) {
	s.idle.Reset(idleLimit)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.base + len(s.tokens)
	if offset > end || resend && offset < s.base {
		return &upstream.Failure{
			Reason: upstream.ReasonBadAnswer, Progress: upstream.Answered,
			Detail: "the offset is outside of the tokens held",
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
		s.session.push(s)
	}
	return nil
}

func (s *stream) delivered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endSent
}

// ended reports whether no more tokens will follow. The caller holds mu.
func (s *stream) ended() bool { return s.done || s.failure != nil }
