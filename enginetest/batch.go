package enginetest

import (
	"slices"
	"strings"
	"time"

	"github.com/guavagauge/guavagauge/engine"
)

const (
	prefillChunk = 2048 // most prompt tokens of one step, so that decoding goes on

	// An engine set up for one phase is faster at it and slower at the other.
	fastPhase = 0.75
	slowPhase = 2.5
)

type (
	// run is one request. Its fields below wake are guarded by the engine's mu.
	run struct {
		request   engine.CompletionRequest
		workspace string
		text      text
		prompt    int // tokens
		pieces    int // KV cache that it needs
		total     int // tokens to generate
		number    uint64
		wake      chan struct{}

		started bool
		over    bool // cut off
		cached  int  // prompt tokens from the cache
		prefill int  // tokens left
		ready   int  // generated tokens
	}
)

// step runs one iteration of the batch and reports whether there may be more.
func (e *Engine) step() (more bool) {
	life := e.up(e.ctx)
	if life == nil {
		return false
	}
	e.mu.Lock()
	e.admit()
	if len(e.running) == 0 || life != e.life || e.order.outOfService() {
		e.mu.Unlock()
		return false
	}
	batch, chunks, duration := e.plan()
	e.mu.Unlock()
	if !sleep(e.ctx, duration) || e.up(e.ctx) != life {
		return e.ctx.Err() == nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, r := range batch {
		if slices.Contains(e.running, r) {
			e.advance(r, chunks[i])
		}
	}
	e.remember()
	return true
}

// admit gives free slots to the most urgent requests, in order of arrival.
func (e *Engine) admit() {
	slices.SortStableFunc(e.queue, func(a, b *run) int { return b.request.Priority - a.request.Priority })
	for len(e.queue) > 0 && len(e.running) < e.options.Slots {
		r := e.queue[0]
		if e.usedPieces()+r.pieces > e.options.Pieces {
			return
		}
		e.queue = e.queue[1:]
		r.started = true
		r.cached = min(e.cache.cached(r.request.Model, r.request.Prefix)*PieceTokens, r.prompt)
		r.prefill = r.prompt + r.request.Offset - r.cached
		e.running = append(e.running, r)
		e.note(r.request.Model, nil, e.cache.resize(e.options.Pieces-e.usedPieces()))
		e.stats.Started++
		e.stats.CachedTokens += r.cached
		e.stats.ByWorkspace[r.workspace]++
		r.signal()
	}
}

// plan returns the requests of the next step, the prompt tokens that it
// prefills for each, and its duration. A request with none decodes.
func (e *Engine) plan() (batch []*run, chunks []int, duration time.Duration) {
	prefillCost, decodeCost := phaseCost(e.order.role)
	left, decoding := prefillChunk, 0
	for _, r := range e.running {
		chunk := min(r.prefill, left)
		if r.prefill > 0 && chunk == 0 {
			continue
		}
		left -= chunk
		if r.prefill == 0 {
			decoding++
		}
		batch, chunks = append(batch, r), append(chunks, chunk)
	}
	tokens := float64(prefillChunk - left)
	duration = time.Duration(tokens / float64(e.options.PrefillTokensPerSecond) * prefillCost * float64(time.Second))
	if decoding > 0 {
		step := e.options.DecodeStep + time.Duration(decoding)*e.options.DecodeSequence
		duration += time.Duration(float64(step) * decodeCost)
	}
	return batch, chunks, duration
}

// advance applies a step to one request. The end of its prefill gives the first
// token.
func (e *Engine) advance(r *run, chunk int) {
	e.stats.PrefillTokens += chunk
	if r.prefill -= chunk; r.prefill > 0 {
		return
	}
	if chunk > 0 {
		for _, text := range e.poison {
			if strings.Contains(r.request.Prompt, text) {
				e.crash()
				return
			}
		}
		e.store(r.request.Model, r.request.Prefix)
	}
	if r.ready < r.total {
		r.ready++
		e.stats.DecodeTokens++
	}
	if r.ready == r.total {
		e.remove(r)
		e.stats.Completed++
	}
	r.signal()
}

// cancel removes a request whose caller left.
func (e *Engine) cancel(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.remove(r) {
		if r.ready == r.total {
			e.stats.Completed++ // nothing was left to generate
		} else {
			e.stats.Canceled++
		}
		e.remember()
		e.wake()
	}
}

// cut ends all requests, as an order does that takes the engine out of service.
func (e *Engine) cut() {
	for _, r := range slices.Concat(e.running, e.queue) {
		r.over = true
		r.signal()
		if r.started {
			e.stats.Aborted++
		} else {
			e.stats.Refused++
		}
	}
	e.running, e.queue = nil, nil
}

func (e *Engine) remove(r *run) (found bool) {
	for _, list := range []*[]*run{&e.running, &e.queue} {
		if i := slices.Index(*list, r); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			found = true
		}
	}
	return found
}

func (e *Engine) usedPieces() (pieces int) {
	for _, r := range e.running {
		pieces += r.pieces
	}
	return pieces
}

// signal wakes the request's handler.
func (r *run) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func phaseCost(role engine.Role) (prefill, decode float64) {
	switch role {
	case engine.Prefill:
		return fastPhase, slowPhase
	case engine.Decode:
		return slowPhase, fastPhase
	}
	return 1, 1
}
