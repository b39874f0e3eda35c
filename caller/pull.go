package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	// confirmTokens is the number of unconfirmed tokens from which the next
	// pull confirms a stream. Confirming each token would double the size of
	// the messages.
	confirmTokens = 64
	// urgentConfirmTokens is the number of unconfirmed tokens from which a
	// stream is confirmed at once, without waiting for the next pull. It is
	// half of what a scheduler buffers per stream, its maxUnconfirmedTokens:
	// when that is full, the engine has to stop.
	urgentConfirmTokens = 128
	// listInterval is the time between pulls that list all streams. It is well
	// below the time after which a scheduler cancels an unconfirmed stream, its
	// idleTimeout.
	listInterval = 2 * time.Second
)

type (
	// pullerPool holds one puller for each scheduler with registered streams.
	pullerPool struct {
		server *Server

		mu      sync.Mutex
		pullers map[scheduler.Address]*puller
	}

	// puller fetches the tokens of all streams from one scheduler by long
	// polling.
	puller struct {
		pool    *pullerPool
		address scheduler.Address
		id      uint64 // random; the scheduler finds the puller's session by it

		// Guarded by the mutex of the pool.
		streams     map[scheduler.AttemptID]*streamBuffer
		openStreams int  // streams that the scheduler has accepted
		running     bool // the goroutine of run is running

		// Only used by the goroutine of run.
		sequence   uint64 // of the last pull; the scheduler ignores older pulls that arrive later
		sessionID  uint64 // from the last reply; another one means that the scheduler replaced the session
		resend     bool   // the next pull asks for all unconfirmed tokens again
		lastListed time.Time
	}

	// streamBuffer holds the received tokens of one attempt that haven't been
	// relayed to the caller. The scheduler's limit on unconfirmed tokens bounds
	// its size.
	streamBuffer struct {
		puller    *puller
		attemptID scheduler.AttemptID
		wake      chan struct{} // holds a value when next has something to return

		// Guarded by the mutex of the pool.
		isOpen   bool // counted in the puller's openStreams
		failures int  // pulls in a row that failed

		// mu is locked after the mutex of the pool.
		mu        sync.Mutex
		tokens    []string
		received  int // offset after the last token received
		relayed   int // offset after the last token relayed
		confirmed int // offset last confirmed to the scheduler, at most relayed
		end       *scheduler.StreamChunk
	}
)

func newPullerPool(server *Server) *pullerPool {
	return &pullerPool{server: server, pullers: make(map[scheduler.Address]*puller)}
}

// register adds a buffer for an attempt's tokens from offset on. It is called
// before the attempt is opened, since the first tokens may arrive before the
// reply to Steward.Open.
func (pool *pullerPool) register(address scheduler.Address, attemptID scheduler.AttemptID, offset int) (buffer *streamBuffer) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	p := pool.pullers[address]
	if p == nil {
		p = &puller{pool: pool, address: address, id: rand.Uint64(), streams: make(map[scheduler.AttemptID]*streamBuffer)}
		pool.pullers[address] = p
	}
	buffer = &streamBuffer{puller: p, attemptID: attemptID, wake: make(chan struct{}, 1), received: offset, relayed: offset, confirmed: offset}
	p.streams[attemptID] = buffer
	return buffer
}

// startPulling counts the stream as open and starts the puller if it isn't
// running.
func (b *streamBuffer) startPulling() {
	p := b.puller
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	b.isOpen = true
	p.openStreams++
	if !p.running {
		p.running = true
		go p.run()
	}
}

// deregister removes the attempt from its puller, and the puller from the pool
// if it is no longer used.
func (b *streamBuffer) deregister() {
	p := b.puller
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	delete(p.streams, b.attemptID)
	if b.isOpen {
		b.isOpen = false
		p.openStreams--
	}
	if len(p.streams) == 0 && !p.running && p.pool.pullers[p.address] == p {
		delete(p.pool.pullers, p.address)
	}
}

// next waits for tokens or the end of the attempt. The end is returned with or
// after the last tokens.
func (b *streamBuffer) next(ctx context.Context) (tokens []string, end *scheduler.StreamChunk, failure *upstream.Failure) {
	for {
		b.mu.Lock()
		tokens, b.tokens = b.tokens, nil
		end = b.end
		b.mu.Unlock()
		if len(tokens) > 0 || end != nil {
			return tokens, end, nil
		}
		select {
		case <-b.wake:
		case <-ctx.Done():
			return nil, nil, &upstream.Failure{
				Reason: upstream.ReasonCanceled, Progress: upstream.Written, Detail: "the request was canceled",
			}
		}
	}
}

// markRelayed records that n more tokens were relayed, and confirms them to the
// scheduler at once if too many are unconfirmed. The scheduler then drops them.
func (b *streamBuffer) markRelayed(n int) {
	b.mu.Lock()
	b.relayed += n
	offset, urgent := b.relayed, b.relayed-b.confirmed >= urgentConfirmTokens
	if urgent {
		b.confirmed = b.relayed
	}
	b.mu.Unlock()
	if urgent {
		go b.puller.confirm([]scheduler.Confirmation{{AttemptID: b.attemptID, Offset: offset}})
	}
}

// receive adds the chunk's tokens, without those received before, and its end
// if it has one. It returns false if tokens before the chunk are missing, unless
// the chunk has a failure, which ends the stream without the chunk's tokens.
func (b *streamBuffer) receive(chunk *scheduler.StreamChunk) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	skip := b.received - chunk.Offset
	if skip < 0 && chunk.Failure == nil {
		return false
	}
	if skip >= 0 && skip < len(chunk.Tokens) {
		b.tokens = append(b.tokens, chunk.Tokens[skip:]...)
		b.received += len(chunk.Tokens) - skip
	}
	if b.end == nil && (chunk.Done || chunk.Failure != nil) {
		b.end = chunk
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// run pulls until no stream is open or the server's context ends.
func (p *puller) run() {
	for p.pool.server.ctx.Err() == nil {
		confirms, ok := p.confirmations()
		if !ok {
			return
		}
		p.sequence++
		args := scheduler.NextManyArgs{
			PullerID: p.id, Sequence: p.sequence, Resend: p.resend, Confirms: confirms, Wait: pullWait,
		}
		var reply scheduler.NextManyReply
		if err := p.call("Steward.NextMany", args, &reply, pullWait+rpcMargin); err != nil {
			p.recordFailure(err) // ends the streams after some failures, so the loop needs no pause
			p.resend = true
			continue
		}
		// With a new session, the scheduler has lost track of what it sent.
		p.resend = p.sessionID != 0 && reply.SessionID != p.sessionID
		p.sessionID = reply.SessionID
		p.recordSuccess(confirms)
		p.deliver(reply.Streams)
	}
}

// confirmations returns the confirmations to send with the next pull, or false
// if no stream is open, so that run has to return.
func (p *puller) confirmations() (confirms []scheduler.Confirmation, ok bool) {
	pool := p.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if p.openStreams == 0 {
		p.running = false
		if len(p.streams) == 0 && pool.pullers[p.address] == p {
			delete(pool.pullers, p.address)
		}
		return nil, false
	}
	now := time.Now()
	all := p.resend || now.Sub(p.lastListed) >= listInterval
	if all {
		p.lastListed = now
	}
	for attemptID, buffer := range p.streams {
		if !buffer.isOpen {
			continue
		}
		buffer.mu.Lock()
		if all || buffer.relayed-buffer.confirmed >= confirmTokens {
			confirms = append(confirms, scheduler.Confirmation{AttemptID: attemptID, Offset: buffer.relayed})
		}
		buffer.mu.Unlock()
	}
	return confirms, true
}

// recordSuccess records that a pull with these confirmations succeeded.
func (p *puller) recordSuccess(confirms []scheduler.Confirmation) {
	pool := p.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, c := range confirms {
		if buffer := p.streams[c.AttemptID]; buffer != nil {
			buffer.mu.Lock()
			buffer.confirmed = max(buffer.confirmed, c.Offset)
			buffer.mu.Unlock()
		}
	}
	for _, buffer := range p.streams {
		buffer.failures = 0
	}
}

// recordFailure counts a failed pull for each open stream, and ends the streams
// with maxPullFailures in a row. Their progress is Answered, since the scheduler
// has accepted them and their work may have run.
func (p *puller) recordFailure(err error) {
	pool := p.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for attemptID, buffer := range p.streams {
		if !buffer.isOpen {
			continue
		}
		if buffer.failures++; buffer.failures < maxPullFailures {
			continue
		}
		delete(p.streams, attemptID)
		buffer.isOpen = false
		p.openStreams--
		// Each stream gets its own failure: its request may change the reason.
		failure := peerFailure(err)
		failure.Progress = upstream.Answered
		buffer.receive(&scheduler.StreamChunk{AttemptID: attemptID, Failure: failure})
	}
}

// deliver adds chunks to the buffers of their attempts. Chunks of attempts that
// aren't registered are dropped and counted. If tokens before a chunk are
// missing, the next pull asks for them again.
func (p *puller) deliver(chunks []scheduler.StreamChunk) {
	pool := p.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for i := range chunks {
		buffer := p.streams[chunks[i].AttemptID]
		if buffer == nil {
			pool.server.count("dropped_replies", upstream.ReasonPeer)
			continue
		}
		if !buffer.receive(&chunks[i]) {
			p.resend = true
		}
	}
}

// confirm sends confirmations to the scheduler without waiting for the next
// pull. If they are lost, the next pull that lists all streams repeats them.
func (p *puller) confirm(confirms []scheduler.Confirmation) {
	var reply scheduler.ConfirmReply
	args := scheduler.ConfirmArgs{PullerID: p.id, Confirms: confirms}
	if err := p.call("Steward.Confirm", args, &reply, rpcMargin); err != nil {
		p.pool.server.options.Logger.Debug("stream confirmation not acknowledged by scheduler", "Steward", p.address, "Error", err)
	}
}

func (p *puller) call(method string, args, reply any, timeout time.Duration) (err error) {
	server := p.pool.server
	ctx, cancel := context.WithTimeout(server.ctx, timeout)
	defer cancel()
	return server.options.Peers.Call(ctx, p.address, method, args, reply)
}
