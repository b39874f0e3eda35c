package scheduler

import (
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/upstream"
)

// maxReplyTokens limits the tokens of one reply to a pull. A larger reply would
// delay the other messages on the connection.
const maxReplyTokens = 8192

// session groups the streams of one entry node process, so that one pull fetches
// the tokens of all of them.
type session struct {
	id uint64

	// pullMu is held while a pull becomes the newest one and while a pull takes
	// tokens, so that a superseded pull never takes any. It is locked before all
	// other mutexes.
	pullMu sync.Mutex

	mu         sync.Mutex
	sequence   uint64        // of the newest pull
	superseded chan struct{} // closed when a newer pull arrives, to end the wait of the newest one so far
	wakeup     chan struct{} // holds a value while ready isn't empty
	ready      []*stream     // streams with something to send
	expires    *time.Timer
}

// NextMany returns the tokens that are ready in an entry node's streams. If there
// are none it waits for some, up to args.Wait.
func (r *Receiver) NextMany(args NextManyArgs, reply *NextManyReply) (err error) {
	s := r.scheduler
	ses := s.session(args.PullerID)
	reply.SessionID = ses.id
	superseded, ok := ses.beginPull(args.Sequence)
	if !ok {
		return nil // a delayed pull; the newer one gets the tokens
	}
	reply.Streams = s.confirm(ses, args.Confirms, args.Resend)
	timeout := time.NewTimer(min(args.Wait, maxPullWait))
	defer timeout.Stop()
	for {
		reply.Streams = append(reply.Streams, ses.takeReady(args.Sequence)...)
		if len(reply.Streams) > 0 {
			return nil
		}
		select {
		case <-ses.wakeup:
		case <-superseded:
			return nil
		case <-timeout.C:
			return nil
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}

// Confirm drops tokens that an entry node has confirmed. It frees a fast
// stream's buffer while a pull is waiting. A failure to confirm a stream is
// reported by the next pull that lists the stream.
func (r *Receiver) Confirm(args ConfirmArgs, reply *ConfirmReply) (err error) {
	failed := r.scheduler.confirm(r.scheduler.session(args.PullerID), args.Confirms, false)
	reply.Known = len(args.Confirms) - len(failed)
	return nil
}

// session returns the session of an entry node process. A new one is created if
// there is none or the last one was unused for idleTimeout, that is, its expires
// timer has fired.
func (s *Scheduler) session(pullerID uint64) (ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ses = s.sessions[pullerID]; ses != nil && ses.expires.Reset(idleTimeout) {
		return ses
	}
	s.lastSessionID++
	ses = &session{id: s.lastSessionID, wakeup: make(chan struct{}, 1)}
	ses.expires = time.AfterFunc(idleTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.sessions[pullerID] == ses {
			delete(s.sessions, pullerID)
		}
	})
	s.sessions[pullerID] = ses
	return ses
}

// confirm applies confirmations and returns a chunk with a failure for each
// stream that can't continue.
func (s *Scheduler) confirm(ses *session, confirms []Confirmation, resend bool) (failed []StreamChunk) {
	for _, c := range confirms {
		s.mu.Lock()
		st := s.streams[c.AttemptID]
		s.mu.Unlock()
		failure := &upstream.Failure{
			Reason: upstream.ReasonNotScheduler, Progress: upstream.Written, Detail: "the scheduler doesn't know the attempt",
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

// beginPull makes a pull the newest one and ends the wait of the one before it.
// It reports false if a newer pull has already arrived.
func (ses *session) beginPull(sequence uint64) (superseded <-chan struct{}, ok bool) {
	ses.pullMu.Lock()
	defer ses.pullMu.Unlock()
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

// takeReady returns the chunks that are ready, or none if a newer pull has
// arrived.
func (ses *session) takeReady(sequence uint64) (replies []StreamChunk) {
	ses.pullMu.Lock()
	defer ses.pullMu.Unlock()
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
			for _, remaining := range ready[i:] {
				ses.markReady(remaining)
			}
			break
		}
		if reply, ok := st.takeChunk(ses); ok {
			tokens += len(reply.Tokens)
			replies = append(replies, reply)
		}
	}
	return replies
}

// markReady adds a stream to the ready list and wakes the waiting pull.
func (ses *session) markReady(st *stream) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if st.ready {
		return
	}
	st.ready = true
	ses.ready = append(ses.ready, st)
	select {
	case ses.wakeup <- struct{}{}:
	default:
	}
}
