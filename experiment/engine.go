package experiment

import (
	"time"

	"github.com/guavagauge/guavagauge/policy"
)

// The engine model. A step decodes one token of each running stream and
// prefills a chunk of prompt in the time that is left below the step limit.
const (
	prefillPerSecond = 12000                  // prompt tokens of an engine that only prefills
	stepBase         = 15 * time.Millisecond  // reads the weights
	stepPerStream    = 200 * time.Microsecond // reads one stream's cache
	stepLimit        = 38 * time.Millisecond  // chunks are cut to stay below it
	prefillOverhead  = 2 * time.Millisecond   // of a step without streams
	minChunk         = 64                     // tokens; prefill never stops entirely
	chunk            = 2048                   // tokens at most in one step, and admitted ahead
	decodeSlots      = 100
	mixedSlots       = 90 // leaves room for the smallest chunk
	cachePieces      = 400
	transferPiece    = 8 * time.Millisecond // moves the cache of 1,024 tokens
	roleChangeTime   = 15 * time.Second
	startTime        = 4 * time.Minute // longer than a swing takes

	// The work of a mixed engine that does only one kind, from the step limit.
	mixedPrefill = float64(stepLimit-stepBase) / float64(stepLimit)
	mixedDecode  = mixedSlots * decodeSeconds / (float64(stepLimit) / float64(time.Second))
)

// States of an engine.
const (
	starting state = iota
	up
	leaving // finishes its work, for a role change or a stop
	gone
)

type (
	state uint8

	engine struct {
		sim         *sim
		key         string
		hash        uint64
		region      int
		desk        bool // a worker of the plain service
		reclaimable bool
		role        policy.Role
		target      policy.Role // differs from role during a change
		state       state
		changes     []time.Time
		queue       *policy.Queue
		waiting     int64 // prompt tokens in the queue
		prefilling  []*request
		decoding    []*request
		stepping    bool
		cache       map[uint64]int64 // piece to last use
		uses        int64
		since       time.Duration // start of service, for the spend
		spent       time.Duration
		stopped     bool   // not counted as capacity
		then        func() // what to do when the last work is done
		digest      digest
		sent        [entryNodes]policy.Sent
	}

	// digest is the load as the entry nodes know it.
	digest struct {
		taken                  time.Duration
		prefill, decode, batch int64
		over                   int64 // streams beyond the slots; negative when some are free
	}
)

func (e *engine) load() digest {
	d := digest{taken: e.sim.now, prefill: e.waiting + e.pending(), decode: e.queue.Cost(), batch: int64(len(e.decoding))}
	d.over = int64(len(e.decoding) + len(e.prefilling) + e.queue.Len() - e.slots())
	for _, r := range e.decoding {
		d.decode += int64(policy.DefaultPrices.Decode * float64(r.answer-r.emitted))
	}
	return d
}

// pending returns the prompt tokens of admitted requests.
func (e *engine) pending() (n int64) {
	for _, r := range e.prefilling {
		n += int64(r.left)
	}
	return n
}

// speed returns prompt tokens per second at the present batch.
func (e *engine) speed(batch int) float64 {
	if e.role == policy.Prefill {
		return prefillPerSecond
	}
	return float64(e.chunk(batch)) / stepLimit.Seconds()
}

func (e *engine) chunk(batch int) int {
	left := stepLimit - stepBase - time.Duration(batch)*stepPerStream
	return max(int(left.Seconds()*prefillPerSecond), minChunk)
}

func (e *engine) slots() int {
	if e.role == policy.Decode {
		return decodeSlots
	}
	return mixedSlots
}

// push queues a request. Requests in need of no prefill come from a prefill
// engine and have a cost of decoding only.
func (e *engine) push(r *request) {
	r.left = 0
	if !r.moved {
		cached := e.cached(r) * policy.PieceTokens
		r.left = max(r.prompt+r.emitted-cached, 1)
		m := &e.sim.demand[r.region]
		m.cached += answerSmoothing * (float64(cached)/float64(r.prompt) - m.cached)
	}
	r.cost = policy.DefaultPrices.Cost(r.left, 0, r.answer-r.emitted)
	if e.role == policy.Prefill {
		r.cost = int64(r.left)
	}
	e.waiting += int64(r.left)
	e.queue.Push(e.sim.item(r))
	e.run()
}

func (e *engine) run() {
	if e.stepping || e.state == gone {
		return
	}
	for e.queue.Len() > 0 && len(e.prefilling)+len(e.decoding) < e.slots() && e.pending() < e.admits() {
		r := e.queue.Next().Value.(*request)
		e.waiting -= int64(r.left)
		if !e.sim.naive && r.emitted == 0 && !e.judge(r, int64(r.left), 0).OK() {
			r.refused = true // it would be late by now, so it isn't run
			continue
		}
		r.attempts++
		if r.left == 0 {
			e.decoding = append(e.decoding, r)
			continue
		}
		e.prefilling = append(e.prefilling, r)
	}
	if len(e.prefilling)+len(e.decoding) == 0 {
		if e.then != nil && e.queue.Len() == 0 {
			then := e.then
			e.then = nil
			then()
		}
		return
	}
	e.stepping = true
	batch, tokens := len(e.decoding), 0
	took := stepBase + time.Duration(batch)*stepPerStream
	if len(e.prefilling) > 0 {
		tokens = min(e.chunk(batch), int(e.pending()))
		if batch == 0 {
			tokens, took = min(chunk, int(e.pending())), prefillOverhead
		}
		took += time.Duration(float64(tokens) / prefillPerSecond * float64(time.Second))
	}
	e.sim.after(took, func() { e.finish(batch, tokens) })
}

// admits keeps waiting work in the fair queue, where its order can still
// change, rather than in the engine.
func (e *engine) admits() int64 {
	if e.role == policy.Prefill {
		return 1
	}
	return chunk
}

// finish ends a step that decoded the first batch streams.
func (e *engine) finish(batch, tokens int) {
	e.stepping = false
	if e.state == gone {
		return
	}
	if e.reclaimable {
		e.sim.reclaimableWork += float64(batch)*policy.DefaultPrices.Decode + float64(tokens)
	}
	if !e.desk {
		e.sim.work += float64(batch)*policy.DefaultPrices.Decode + float64(tokens)
	}
	kept := e.decoding[:0]
	for i, r := range e.decoding {
		if i >= batch || !e.sim.emit(r) {
			kept = append(kept, r)
		}
	}
	e.decoding = kept
	for tokens > 0 && len(e.prefilling) > 0 {
		r := e.prefilling[0]
		n := min(tokens, r.left)
		r.left -= n
		tokens -= n
		if r.left > 0 {
			break
		}
		e.prefilling = e.prefilling[1:]
		e.remember(r)
		switch {
		case e.sim.emit(r):
		case e.role == policy.Prefill:
			e.sim.handOver(e, r)
		case e.stopped && e.reclaimable:
			// It started before the notice and can't end before the reclaim.
			e.sim.resume(r)
		default:
			e.decoding = append(e.decoding, r)
		}
	}
	e.run()
}

// take removes and returns all waiting work.
func (e *engine) take() (all []*request) {
	for item := e.queue.Next(); item != nil; item = e.queue.Next() {
		all = append(all, item.Value.(*request))
	}
	e.waiting = 0
	return all
}

// cached returns the number of leading pieces in the cache.
func (e *engine) cached(r *request) (n int) {
	for _, piece := range r.prefix {
		if _, ok := e.cache[piece]; !ok {
			break
		}
		n++
	}
	return n
}

func (e *engine) remember(r *request) {
	for _, piece := range r.prefix {
		e.uses++
		e.cache[piece] = e.uses
	}
	if len(e.cache) <= cachePieces {
		return
	}
	// Dropping all but the newer half at once keeps the cost per piece low.
	for piece, used := range e.cache {
		if used <= e.uses-cachePieces/2 {
			delete(e.cache, piece)
		}
	}
}
