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
		sent        [entryNodes]policy.SentCost
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
		d.decode += int64(policy.DefaultTokenCosts.Decode * float64(r.answer-r.emitted))
	}
	return d
}

func (d digest) total() int64 { return d.prefill + d.decode }

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
	if r.moved {
		r.moved = false // when it is placed again, its cache stays behind
	} else {
		cached := e.cached(r) * policy.BlockTokens
		r.left = max(r.prompt+r.emitted-cached, 1)
		m := &e.sim.demand[r.region]
		m.cached += answerSmoothing * (float64(cached)/float64(r.prompt) - m.cached)
	}
	r.cost = policy.DefaultTokenCosts.Cost(r.left, 0, r.answer-r.emitted)
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
		e.sim.reclaimableWork += float64(batch)*policy.DefaultTokenCosts.Decode + float64(tokens)
	}
	if !e.desk {
		e.sim.work += float64(batch)*policy.DefaultTokenCosts.Decode + float64(tokens)
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
			e.sim.dispatch(r)
		default:
			e.decoding = append(e.decoding, r)
		}
	}
	e.run()
}

func (e *engine) admit(r *request) bool {
	left := int64(max(r.prompt+r.emitted-e.cached(r)*policy.BlockTokens, 1))
	cost := left
	if e.role != policy.Prefill {
		cost = policy.DefaultTokenCosts.Cost(int(left), 0, r.answer-r.emitted)
	}
	ahead := e.queue.Ahead(workspaceName(r.workspace), quotas[r.workspace], cost)
	if total := e.queue.Cost(); total > 0 {
		ahead = int64(float64(ahead) / float64(total) * float64(e.waiting))
	}
	return e.judge(r, left, ahead).OK()
}

// judge decides on a request with left tokens to prefill behind the work that
// is ahead of it in the queue.
func (e *engine) judge(r *request, left, ahead int64) policy.Admission {
	speed := e.speed(len(e.decoding))
	return policy.Admit(policy.AdmitRequest{
		Ahead: ahead + e.pending(), Rate: speed,
		FirstToken: time.Duration(float64(left) / speed * float64(time.Second)),
		Objective:  firstTokenObjective, Waited: e.sim.now - r.arrived + r.hop,
		BestFirstToken: time.Duration(left) * time.Second / prefillPerSecond,
		NextStageWait:  e.next(), NextStageLimit: time.Duration(r.answer) * (paceObjective - stepLimit),
	})
}

// next is the expected wait for a slot that decodes, on the engine itself or
// on those that it hands over to.
func (e *engine) next() time.Duration {
	if e.desk {
		return 0
	}
	var over, engines float64
	for _, other := range e.sim.engines {
		if other == e && e.role == policy.Mixed {
			over, engines = float64(e.load().over), 1
			break
		}
		if e.role == policy.Prefill && other.region == e.region && !other.desk && other.state == up && other.role != policy.Prefill {
			over += float64(other.digest.over)
			engines++
		}
	}
	return seconds(max(over, 0) * e.sim.demand[e.region].answer * decodeSeconds / max(engines, 0.1))
}

// emit records a token and reports whether it was the last.
func (s *sim) emit(r *request) bool {
	r.last = s.now + r.hop
	if r.emitted == 0 {
		r.first = r.last
	}
	r.emitted++
	if r.emitted < r.answer {
		return false
	}
	// Planning knows the length of answers only from those that ended.
	if m := &s.demand[r.region]; !r.desk {
		m.answer += answerSmoothing * (float64(r.answer) - m.answer)
	}
	return true
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

func clock(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
