package steward

import (
	"context"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/upstream"
)

// stream is the part of a generation's answer that the entry node hasn't
// confirmed yet. Tokens stay until a later pull confirms them, so that a pull
// whose reply was lost can be repeated.
type stream struct {
	cancel context.CancelFunc
	idle   *time.Timer // cancels the run when nobody pulls

	mu      sync.Mutex
	changed chan struct{} // closed and replaced on each change
	base    int           // offset of tokens[0]
	tokens  []string
	done    bool
	usage   upstream.Usage
	failure *upstream.Failure
}

func newStream(offset int, cancel context.CancelFunc) *stream {
	return &stream{base: offset, cancel: cancel, changed: make(chan struct{})}
}

// append adds a token from the engine. It waits while maxUnconfirmed tokens
// are unconfirmed, so that a slow caller slows its engine down instead of
// filling memory.
func (s *stream) append(ctx context.Context, token upstream.Token) (err error) {
	for {
		s.mu.Lock()
		if len(s.tokens) < maxUnconfirmed {
			if token.Offset != s.base+len(s.tokens) {
				s.mu.Unlock()
				return &upstream.Failure{
					Reason: upstream.ReasonBadAnswer, Progress: upstream.Answered,
					Detail: "the engine skipped or repeated a token",
				}
			}
			s.tokens = append(s.tokens, token.Text)
			s.signal()
			s.mu.Unlock()
			return nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// finish ends the stream with its usage, or a failure.
func (s *stream) finish(usage upstream.Usage, failure *upstream.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done || s.failure != nil {
		return
	}
	s.usage, s.failure, s.done = usage, failure, failure == nil
	s.signal()
}

// next returns the tokens from offset on, once there are any or the stream has
// ended or wait is over.
func (s *stream) next(offset int, wait time.Duration) (reply NextReply) {
	s.idle.Reset(idleLimit)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		s.confirm(offset)
		reply = NextReply{Offset: offset}
		if offset < s.base || offset > s.base+len(s.tokens) {
			s.mu.Unlock()
			reply.Failure = &upstream.Failure{
				Reason: upstream.ReasonBadAnswer, Progress: upstream.Answered,
				Detail: "the offset is outside of the tokens held",
			}
			return reply
		}
		reply.Tokens = append(reply.Tokens, s.tokens[offset-s.base:]...)
		if len(reply.Tokens) > 0 || s.done || s.failure != nil {
			reply.Done, reply.Usage, reply.Failure = s.done, s.usage, s.failure
			s.mu.Unlock()
			return reply
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			return reply
		}
	}
}

// confirm drops the tokens before offset. The caller holds mu.
func (s *stream) confirm(offset int) {
	if n := offset - s.base; n > 0 && n <= len(s.tokens) {
		s.tokens = append(s.tokens[:0], s.tokens[n:]...)
		s.base = offset
		s.signal()
	}
}

// signal wakes all that wait for a change. The caller holds mu.
func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
