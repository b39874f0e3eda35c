package scheduler

import (
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/upstream"
)

// maxReplyTokens bounds one reply. A larger one would delay the other messages
// on the connection.
const maxReplyTokens = 8192

// session joins the streams of one entry node, so that one pull carries the
// tokens of all of them.
type session struct {
	epoch uint64

	// turn is held while a pull becomes the newest and while one takes tokens,
	// so that none is taken by a pull that has been superseded. It is taken
	// before all other mutexes.
	turn sync.Mutex

	mu         sync.Mutex
	sequence   uint64        // of the newest pull
	superseded chan struct{} // ends the wait of the newest pull when another arrives
	news       chan struct{} // holds a value while ready isn't empty
	ready      []*stream     // streams with something to send
	expires    *time.Timer
}

// NextMany returns the tokens that the streams of an entry node have ready. It
// waits until there are some.
func (r *Receiver) NextMany(args NextManyArgs, reply *NextManyReply) (err error) {
	s := r.steward
	ses := s.session(args.PullerID)
	reply.SessionID = ses.epoch
	superseded, ok := ses.enter(args.Sequence)
	if !ok {
		return nil // a late pull; the newer one gets the tokens
	}
	reply.Streams = s.confirm(ses, args.Confirms, args.Resend)
	timeout := time.NewTimer(min(args.Wait, maxWait))
	defer timeout.Stop()
	for {
		reply.Streams = append(reply.Streams, ses.take(args.Sequence)...)
		if len(reply.Streams) > 0 {
			return nil
		}
		select {
		case <-ses.news:
		case <-superseded:
			return nil
		case <-timeout.C:
			return nil
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}

// Confirm drops tokens that an entry node has passed on. It lets a fast stream
// go on while a pull waits. A stream that can't go on is reported by the next
// pull that lists it.
func (r *Receiver) Confirm(args ConfirmArgs, reply *ConfirmReply) (err error) {
	failed := r.steward.confirm(r.steward.session(args.PullerID), args.Confirms, false)
	reply.Known = len(args.Confirms) - len(failed)
	return nil
}

// session returns an entry node's session, which ends when nobody uses it.
func (s *Scheduler) session(puller uint64) (ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ses = s.sessions[puller]; ses != nil && ses.expires.Reset(idleLimit) {
		return ses
	}
	s.lastEpoch++
	ses = &session{epoch: s.lastEpoch, news: make(chan struct{}, 1)}
	ses.expires = time.AfterFunc(idleLimit, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.sessions[puller] == ses {
			delete(s.sessions, puller)
		}
	})
	s.sessions[puller] = ses
	return ses
}

// confirm applies confirmations, and returns replies for the streams that can't
// go on.
func (s *Scheduler) confirm(ses *session, confirms []Confirmation, resend bool) (failed []StreamChunk) {
	for _, c := range confirms {
		s.mu.Lock()
		st := s.streams[c.AttemptID]
		s.mu.Unlock()
		failure := &upstream.Failure{
			Reason: upstream.ReasonNotSteward, Progress: upstream.Written, Detail: "the attempt isn't known here",
		}
		if st != nil {
			failure = st.confirm(ses, c.Offset, resend)
		}
		if failure != nil {
			failed = append(failed, StreamChunk{AttemptID: c.AttemptID, Offset: c.Offset, Failure: failure})
		}
	}
	return failed
}

// enter makes a pull the newest, and reports false if there is a newer one.
func (ses *session) enter(sequence uint64) (superseded <-chan struct{}, ok bool) {
	ses.turn.Lock()
	defer ses.turn.Unlock()
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if sequence < ses.sequence {
		return nil, false
	}
	if ses.superseded != nil {
		close(ses.superseded)
	}
	ses.sequence, ses.superseded = sequence, make(chan struct{})
	return ses.superseded, true
}

// take returns what the streams have ready, unless a newer pull has arrived.
func (ses *session) take(sequence uint64) (replies []StreamChunk) {
	ses.turn.Lock()
	defer ses.turn.Unlock()
	ses.mu.Lock()
	if ses.sequence != sequence {
		ses.mu.Unlock()
		return nil
	}
	ready := ses.ready
	ses.ready = nil
	for _, st := range ready {
		st.ready = false
	}
	ses.mu.Unlock()
	replies = make([]StreamChunk, 0, len(ready))
	tokens := 0
	for i, st := range ready {
		if tokens >= maxReplyTokens {
			for _, left := range ready[i:] {
				ses.push(left)
			}
			break
		}
		if reply, ok := st.take(ses); ok {
			tokens += len(reply.Tokens)
			replies = append(replies, reply)
		}
	}
	return replies
}

// push marks a stream as ready.
func (ses *session) push(st *stream) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if st.ready {
		return
	}
	st.ready = true
	ses.ready = append(ses.ready, st)
	select {
	case ses.news <- struct{}{}:
	default:
	}
}
