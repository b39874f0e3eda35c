package experiment

import (
	"time"

	"github.com/guavagauge/guavagauge/policy"
)

// Parameters of the engine model. A step decodes one token of each running
// stream and uses the rest of stepLimit to prefill a chunk of a prompt.
const (
	prefillTokensPerSecond = 12000                  // on an engine that only prefills
	stepBase               = 15 * time.Millisecond  // to read the weights
	stepPerStream          = 200 * time.Microsecond // to read the KV cache of one stream
	stepLimit              = 38 * time.Millisecond  // chunks are sized to stay below it
	prefillOverhead        = 2 * time.Millisecond   // of a step that decodes no streams
	minChunkTokens         = 64                     // keeps prefill going beside a full batch
	maxChunkTokens         = 2048                   // per step, and admitted ahead of the steps
	decodeSlots            = 100
	mixedSlots             = 90 // leaves time for the smallest chunk
	cacheBlocks            = 400
	blockTransferTime      = 8 * time.Millisecond // for the KV cache of 1,024 tokens
	roleChangeTime         = 15 * time.Second
	startTime              = 4 * time.Minute // longer than the request mix takes to change

	// The speed of a mixed engine that only prefills or only decodes, relative
	// to an engine of that role. It follows from stepLimit. A mixed engine that
	// decodes nothing prefills faster than this assumes: startStep then replaces
	// stepBase by prefillOverhead.
	mixedPrefillShare = float64(stepLimit-stepBase) / float64(stepLimit)
	mixedDecodeShare  = mixedSlots * decodeSecondsPerToken / (float64(stepLimit) / float64(time.Second))
)

// Values of engineState.
const (
	starting engineState = iota
	serving
	draining // finishes its work before a role change or a stop
	terminated
)

type (
	engineState uint8

	engine struct {
		sim           *sim
		key           string
		hash          uint64
		region        int
		plain         bool // worker of the plain HTTP service
		reclaimable   bool
		role          policy.Role
		target        policy.Role // differs from role during a role change
		state         engineState
		roleChanges   []time.Time
		queue         *policy.Queue
		queuedPrefill int64 // prompt tokens to prefill of the requests in queue
		prefilling    []*request
		decoding      []*request
		stepping      bool
		cache         map[uint64]int64 // prefix block to the value of cacheClock at its last use
		cacheClock    int64
		servingSince  time.Duration // for the spend, which leaves out the time to start
		serviceTime   time.Duration // in service, set when the engine terminates
		released      bool          // being stopped; no longer counts as capacity
		onDrained     func()        // called once, when no work is left
		report        loadReport
		sentCosts     [entryNodes]policy.SentCost // by entry node, the prompt tokens sent that report may not include yet
	}

	// loadReport is the load of an engine as last reported to the entry nodes.
	loadReport struct {
		sampledAt              time.Duration
		prefill, decode, batch int64
		excessStreams          int64 // streams beyond the slots; negative if slots are free
	}
)

// load returns the present load.
func (e *engine) load() loadReport {
	d := loadReport{sampledAt: e.sim.now, prefill: e.queuedPrefill + e.admittedPrefill(), decode: e.queue.Cost(), batch: int64(len(e.decoding))}
	d.excessStreams = int64(len(e.decoding) + len(e.prefilling) + e.queue.Len() - e.slots())
	for _, r := range e.decoding {
		d.decode += int64(policy.DefaultTokenCosts.Decode * float64(r.answer-r.emitted))
	}
	return d
}

func (d loadReport) total() int64 { return d.prefill + d.decode }

// admittedPrefill returns the prompt tokens that admitted requests still have to
// prefill.
func (e *engine) admittedPrefill() (n int64) {
	for _, r := range e.prefilling {
		n += int64(r.prefillLeft)
	}
	return n
}

// prefillSpeed returns the prompt tokens per second that the engine prefills
// while it decodes batch streams.
func (e *engine) prefillSpeed(batch int) float64 {
	if e.role == policy.Prefill {
		return prefillTokensPerSecond
	}
	return float64(e.chunkTokens(batch)) / stepLimit.Seconds()
}

// chunkTokens returns the number of prompt tokens that a step can prefill beside
// decoding batch streams.
func (e *engine) chunkTokens(batch int) int {
	available := stepLimit - stepBase - time.Duration(batch)*stepPerStream
	return max(int(available.Seconds()*prefillTokensPerSecond), minChunkTokens)
}

// slots returns the number of streams that the engine runs at a time.
func (e *engine) slots() int {
	if e.role == policy.Decode {
		return decodeSlots
	}
	return mixedSlots
}

// enqueue adds a request to the engine's queue. A request transferred from a
// prefill engine needs no prefill, and its cost is that of decoding.
func (e *engine) enqueue(r *request) {
	r.prefillLeft = 0
	if r.transferred {
		r.transferred = false // if it is placed once more, its KV cache stays on this engine
	} else {
		cached := e.cachedBlocks(r) * policy.BlockTokens
		r.prefillLeft = max(r.prompt+r.emitted-cached, 1)
		m := &e.sim.meters[r.region]
		m.cachedShare += answerSmoothing * (float64(cached)/float64(r.prompt) - m.cachedShare)
	}
	r.cost = policy.DefaultTokenCosts.Cost(r.prefillLeft, 0, r.answer-r.emitted)
	if e.role == policy.Prefill {
		r.cost = int64(r.prefillLeft)
	}
	e.queuedPrefill += int64(r.prefillLeft)
	e.queue.Push(e.sim.queueItem(r))
	e.startStep()
}

// startStep admits requests from the queue and starts the next step. Without
// any work it calls onDrained.
func (e *engine) startStep() {
	if e.stepping || e.state == terminated {
		return
	}
	for e.queue.Len() > 0 && len(e.prefilling)+len(e.decoding) < e.slots() && e.admittedPrefill() < e.maxAdmittedPrefill() {
		r := e.queue.Next().Value.(*request)
		e.queuedPrefill -= int64(r.prefillLeft)
		if !e.sim.naive && r.emitted == 0 && !e.admission(r, int64(r.prefillLeft), 0).OK() {
			r.refused = true // it would miss its objective by now, so it isn't run
			continue
		}
		r.attempts++
		if r.prefillLeft == 0 {
			e.decoding = append(e.decoding, r)
			continue
		}
		e.prefilling = append(e.prefilling, r)
	}
	if len(e.prefilling)+len(e.decoding) == 0 {
		if e.onDrained != nil && e.queue.Len() == 0 {
			onDrained := e.onDrained
			e.onDrained = nil
			onDrained()
		}
		return
	}
	e.stepping = true
	batch, tokens := len(e.decoding), 0
	stepTime := stepBase + time.Duration(batch)*stepPerStream
	if len(e.prefilling) > 0 {
		tokens = min(e.chunkTokens(batch), int(e.admittedPrefill()))
		if batch == 0 {
			tokens, stepTime = min(maxChunkTokens, int(e.admittedPrefill())), prefillOverhead
		}
		stepTime += time.Duration(float64(tokens) / prefillTokensPerSecond * float64(time.Second))
	}
	e.sim.after(stepTime, func() { e.finishStep(batch, tokens) })
}

// maxAdmittedPrefill returns the admitted prompt tokens from which on no further
// request leaves the queue. It is low because the fair queue can still reorder
// requests, whereas the engine can't. An engine that only prefills takes one
// request at a time.
func (e *engine) maxAdmittedPrefill() int64 {
	if e.role == policy.Prefill {
		return 1
	}
	return maxChunkTokens
}

// finishStep ends a step that decoded the first batch streams and prefilled the
// given number of prompt tokens.
func (e *engine) finishStep(batch, tokens int) {
	e.stepping = false
	if e.state == terminated {
		return
	}
	if e.reclaimable {
		e.sim.reclaimableWorkDone += float64(batch)*policy.DefaultTokenCosts.Decode + float64(tokens)
	}
	if !e.plain {
		e.sim.workDone += float64(batch)*policy.DefaultTokenCosts.Decode + float64(tokens)
	}
	remaining := e.decoding[:0]
	for i, r := range e.decoding {
		if i >= batch || !e.sim.emitToken(r) {
			remaining = append(remaining, r)
		}
	}
	e.decoding = remaining
	for tokens > 0 && len(e.prefilling) > 0 {
		r := e.prefilling[0]
		n := min(tokens, r.prefillLeft)
		r.prefillLeft -= n
		tokens -= n
		if r.prefillLeft > 0 {
			break
		}
		e.prefilling = e.prefilling[1:]
		e.cachePrefix(r)
		switch {
		case e.sim.emitToken(r):
		case e.role == policy.Prefill:
			e.sim.transfer(e, r)
		case e.released && e.reclaimable:
			// It was admitted before the notice and can't finish before the reclaim.
			e.sim.dispatch(r)
		default:
			e.decoding = append(e.decoding, r)
		}
	}
	e.startStep()
}

// wouldAdmit reports whether the admission policy accepts a request that isn't
// queued yet.
func (e *engine) wouldAdmit(r *request) bool {
	prefill := int64(max(r.prompt+r.emitted-e.cachedBlocks(r)*policy.BlockTokens, 1))
	cost := prefill
	if e.role != policy.Prefill {
		cost = policy.DefaultTokenCosts.Cost(int(prefill), 0, r.answer-r.emitted)
	}
	ahead := e.queue.Ahead(workspaceName(r.workspace), quotas[r.workspace], cost)
	if total := e.queue.Cost(); total > 0 {
		ahead = int64(float64(ahead) / float64(total) * float64(e.queuedPrefill))
	}
	return e.admission(r, prefill, ahead).OK()
}

// admission returns the policy's decision on a request with this number of
// tokens to prefill. ahead is the number of queued tokens that are prefilled
// before. The wait for the next stage may use up the slack of the answer, which is
// the difference between tokenIntervalObjective and stepLimit for each token.
func (e *engine) admission(r *request, prefill, ahead int64) policy.Admission {
	speed := e.prefillSpeed(len(e.decoding))
	return policy.Admit(policy.AdmitRequest{
		Ahead: ahead + e.admittedPrefill(), Rate: speed,
		FirstToken: time.Duration(float64(prefill) / speed * float64(time.Second)),
		Objective:  firstTokenObjective, Waited: e.sim.now - r.arrivedAt + r.latency,
		BestFirstToken: time.Duration(prefill) * time.Second / prefillTokensPerSecond,
		NextStageWait:  e.nextStageWait(), NextStageLimit: time.Duration(r.answer) * (tokenIntervalObjective - stepLimit),
	})
}

// nextStageWait returns the expected wait for a decoding slot, on the engine
// itself if it is mixed, or on those to which a prefill engine transfers its
// requests.
func (e *engine) nextStageWait() time.Duration {
	if e.plain {
		return 0
	}
	var over, engines float64
	for _, other := range e.sim.engines {
		if other == e && e.role == policy.Mixed {
			over, engines = float64(e.load().excessStreams), 1
			break
		}
		if e.role == policy.Prefill && other.region == e.region && !other.plain && other.state == serving && other.role != policy.Prefill {
			over += float64(other.report.excessStreams)
			engines++
		}
	}
	return seconds(max(over, 0) * e.sim.meters[e.region].meanAnswer * decodeSecondsPerToken / max(engines, 0.1))
}

// emitToken records that a token reached the caller and reports whether it was
// the last of the answer.
func (s *sim) emitToken(r *request) bool {
	r.lastTokenAt = s.now + r.latency
	if r.emitted == 0 {
		r.firstTokenAt = r.lastTokenAt
	}
	r.emitted++
	if r.emitted < r.answer {
		return false
	}
	// The length of an answer isn't known to planning before it is complete.
	if m := &s.meters[r.region]; !r.plain {
		m.meanAnswer += answerSmoothing * (float64(r.answer) - m.meanAnswer)
	}
	return true
}

// removeQueued removes all requests from the queue and returns them.
func (e *engine) removeQueued() (all []*request) {
	for item := e.queue.Next(); item != nil; item = e.queue.Next() {
		all = append(all, item.Value.(*request))
	}
	e.queuedPrefill = 0
	return all
}

// cachedBlocks returns the number of leading blocks of the prompt that are in
// the cache.
func (e *engine) cachedBlocks(r *request) (n int) {
	for _, block := range r.prefix {
		if _, ok := e.cache[block]; !ok {
			break
		}
		n++
	}
	return n
}

// cachePrefix adds the request's prefix to the cache and evicts the least
// recently used blocks of a full cache.
func (e *engine) cachePrefix(r *request) {
	for _, block := range r.prefix {
		e.cacheClock++
		e.cache[block] = e.cacheClock
	}
	if len(e.cache) <= cacheBlocks {
		return
	}
	// Evicting down to half the size at once keeps the cost per block low.
	for block, used := range e.cache {
		if used <= e.cacheClock-cacheBlocks/2 {
			delete(e.cache, block)
		}
	}
}

// toTime converts virtual time to the clock that package policy uses.
func toTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
