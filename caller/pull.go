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
	// confirmEvery is the number of tokens after which a pull confirms a
	// stream. A confirmation per token would double the size of the messages.
	confirmEvery = 64
	// confirmAtOnce is half of what a scheduler holds. Beyond it the stream is
	// confirmed while a pull waits, so that its engine doesn't have to stop.
	confirmAtOnce = 128
	// listPeriod is how often a pull lists all streams. It is well under the
	// time after which a scheduler cancels a stream that nobody pulls.
	listPeriod = 2 * time.Second
)

type (
	// pulls holds one puller for each scheduler with open streams.
	pulls struct {
		server *Server

		mu      sync.Mutex
		pullers map[scheduler.Address]*puller
	}

	// puller gets the tokens of all streams between this node and one
	// scheduler. The mutex of pulls guards its fields from streams on; the
	// others belong to its goroutine, which runs while a stream is open.
	puller struct {
		pulls   *pulls
		address scheduler.Address
		id      uint64

		streams map[scheduler.AttemptID]*inbox
		open    int // streams whose opening the scheduler has confirmed
		running bool

		sequence uint64
		epoch    uint64
		resend   bool
		listed   time.Time
	}

	// inbox holds the tokens of one attempt that have arrived and aren't passed
	// on. The scheduler's limit on unconfirmed tokens bounds it.
	inbox struct {
		puller *puller
		ident  scheduler.AttemptID
		wake   chan struct{}

		// Guarded by the mutex of pulls.
		isOpen   bool
		failures int // pulls that failed one after the other

		mu      sync.Mutex
		tokens  []string
		arrived int // offset behind the last token that arrived
		passed  int // tokens below it have been passed on
		told    int // the scheduler knows of these
		end     *scheduler.StreamChunk
	}
)

func newPulls(server *Server) *pulls {
	return &pulls{server: server, pullers: make(map[scheduler.Address]*puller)}
}

// enter registers an attempt before it is opened, since its first tokens may
// arrive before the answer to that.
func (p *pulls) enter(address scheduler.Address, ident scheduler.AttemptID, offset int) (in *inbox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.pullers[address]
	if q == nil {
		q = &puller{pulls: p, address: address, id: rand.Uint64(), streams: make(map[scheduler.AttemptID]*inbox)}
		p.pullers[address] = q
	}
	in = &inbox{puller: q, ident: ident, wake: make(chan struct{}, 1), arrived: offset, passed: offset, told: offset}
	q.streams[ident] = in
	return in
}

// opened starts to pull.
func (in *inbox) opened() {
	q := in.puller
	q.pulls.mu.Lock()
	defer q.pulls.mu.Unlock()
	in.isOpen = true
	q.open++
	if !q.running {
		q.running = true
		go q.run()
	}
}

// leave ends the attempt's part in the pulls.
func (in *inbox) leave() {
	q := in.puller
	q.pulls.mu.Lock()
	defer q.pulls.mu.Unlock()
	delete(q.streams, in.ident)
	if in.isOpen {
		in.isOpen = false
		q.open--
	}
	if len(q.streams) == 0 && !q.running && q.pulls.pullers[q.address] == q {
		delete(q.pulls.pullers, q.address)
	}
}

// next waits for tokens or the end of the attempt. The end comes with or after
// the last tokens.
func (in *inbox) next(ctx context.Context) (tokens []string, end *scheduler.StreamChunk, failure *upstream.Failure) {
	for {
		in.mu.Lock()
		tokens, in.tokens = in.tokens, nil
		end = in.end
		in.mu.Unlock()
		if len(tokens) > 0 || end != nil {
			return tokens, end, nil
		}
		select {
		case <-in.wake:
		case <-ctx.Done():
			return nil, nil, &upstream.Failure{
				Reason: upstream.ReasonCanceled, Progress: upstream.Written, Detail: "the caller left",
			}
		}
	}
}

// passedOn lets the scheduler forget tokens that this node now keeps.
func (in *inbox) passedOn(n int) {
	in.mu.Lock()
	in.passed += n
	offset, urgent := in.passed, in.passed-in.told >= confirmAtOnce
	if urgent {
		in.told = in.passed
	}
	in.mu.Unlock()
	if urgent {
		go in.puller.confirm([]scheduler.Confirmation{{AttemptID: in.ident, Offset: offset}})
	}
}

// receive takes a reply in, and reports false when tokens are missing before
// it. What came before is dropped.
func (in *inbox) receive(reply *scheduler.StreamChunk) (ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	skip := in.arrived - reply.Offset
	if skip < 0 && reply.Failure == nil {
		return false
	}
	if skip >= 0 && skip < len(reply.Tokens) {
		in.tokens = append(in.tokens, reply.Tokens[skip:]...)
		in.arrived += len(reply.Tokens) - skip
	}
	if in.end == nil && (reply.Done || reply.Failure != nil) {
		in.end = reply
	}
	select {
	case in.wake <- struct{}{}:
	default:
	}
	return true
}

// run pulls until no stream is open.
func (q *puller) run() {
	for q.pulls.server.ctx.Err() == nil {
		confirms, ok := q.confirmations()
		if !ok {
			return
		}
		q.sequence++
		args := scheduler.NextManyArgs{
			PullerID: q.id, Sequence: q.sequence, Resend: q.resend, Confirms: confirms, Wait: pullWait,
		}
		var reply scheduler.NextManyReply
		if err := q.call("Steward.NextMany", args, &reply, pullWait+pullMargin); err != nil {
			q.failed(err)
			q.resend = true
			continue
		}
		q.resend = q.epoch != 0 && reply.SessionID != q.epoch
		q.epoch = reply.SessionID
		q.succeeded(confirms)
		q.deliver(reply.Streams)
	}
}

// confirmations returns what the next pull tells the scheduler, or false when
// it is the end of the run.
func (q *puller) confirmations() (confirms []scheduler.Confirmation, ok bool) {
	p := q.pulls
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.open == 0 {
		q.running = false
		if len(q.streams) == 0 && p.pullers[q.address] == q {
			delete(p.pullers, q.address)
		}
		return nil, false
	}
	now := time.Now()
	all := q.resend || now.Sub(q.listed) >= listPeriod
	if all {
		q.listed = now
	}
	for ident, in := range q.streams {
		if !in.isOpen {
			continue
		}
		in.mu.Lock()
		if all || in.passed-in.told >= confirmEvery {
			confirms = append(confirms, scheduler.Confirmation{AttemptID: ident, Offset: in.passed})
		}
		in.mu.Unlock()
	}
	return confirms, true
}

func (q *puller) succeeded(confirms []scheduler.Confirmation) {
	p := q.pulls
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range confirms {
		if in := q.streams[c.AttemptID]; in != nil {
			in.mu.Lock()
			in.told = max(in.told, c.Offset)
			in.mu.Unlock()
		}
	}
	for _, in := range q.streams {
		in.failures = 0
	}
}

// failed ends the streams whose pulls have failed too often.
func (q *puller) failed(err error) {
	failure := peerFailure(err)
	failure.Progress = upstream.Answered
	p := q.pulls
	p.mu.Lock()
	defer p.mu.Unlock()
	for ident, in := range q.streams {
		if !in.isOpen {
			continue
		}
		if in.failures++; in.failures < pullTries {
			continue
		}
		delete(q.streams, ident)
		in.isOpen = false
		q.open--
		in.receive(&scheduler.StreamChunk{AttemptID: ident, Failure: failure})
	}
}

// deliver hands replies to their attempts. One for an attempt that has ended,
// or that never was, is dropped and counted.
func (q *puller) deliver(replies []scheduler.StreamChunk) {
	p := q.pulls
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range replies {
		in := q.streams[replies[i].AttemptID]
		if in == nil {
			p.server.count("dropped_replies", upstream.ReasonPeer)
			continue
		}
		if !in.receive(&replies[i]) {
			q.resend = true
		}
	}
}

// confirm tells the scheduler while a pull waits. If it gets lost, the next
// listing repeats it.
func (q *puller) confirm(confirms []scheduler.Confirmation) {
	var reply scheduler.ConfirmReply
	args := scheduler.ConfirmArgs{PullerID: q.id, Confirms: confirms}
	if err := q.call("Steward.Confirm", args, &reply, pullMargin); err != nil {
		q.pulls.server.options.Logger.Debug("confirmation lost", "Steward", q.address, "Error", err)
	}
}

func (q *puller) call(method string, args, reply any, timeout time.Duration) (err error) {
	server := q.pulls.server
	ctx, cancel := context.WithTimeout(server.ctx, timeout)
	defer cancel()
	return server.options.Peers.Call(ctx, q.address, method, args, reply)
}
