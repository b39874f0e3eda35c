package enginetest

import (
	"slices"
	"strings"
	"time"

	"github.com/guavagauge/guavagauge/engine"
)

const (
	maxPrefillPerStep = 2048 // tokens; a limit keeps long prompts from stalling decoding

	// Factors of the phases' durations on an engine with role Prefill or Decode,
	// which is faster in its own phase and slower in the other.
	fastPhaseFactor = 0.75
	slowPhaseFactor = 2.5
)

type (
	// activeRequest is a queued or running request. The engine's mu guards the
	// fields below wake.
	activeRequest struct {
		request          engine.CompletionRequest
		workspace        string
		output           tokenSource
		promptTokens     int
		requiredPieces   int // of the KV cache
		tokensToGenerate int
		arrival          uint64 // order of arrival
		wake             chan struct{}

		started      bool
		aborted      bool // by an order that took the engine out of service
		cachedTokens int  // of the prompt
		prefillLeft  int  // tokens
		generated    int  // tokens
	}
)

// step runs one iteration of the batch and reports whether another may be
// needed. Requests may be canceled or aborted while it waits for the duration of the
// step, so it advances only those that still run.
func (e *Engine) step() (more bool) {
	proc := e.awaitRunning(e.ctx)
	if proc == nil {
		return false
	}
	e.mu.Lock()
	e.admit()
	if len(e.running) == 0 || proc != e.process || e.order.outOfService() {
		e.mu.Unlock()
		return false
	}
	batch, chunks, duration := e.planStep()
	e.mu.Unlock()
	if !sleep(e.ctx, duration) || e.awaitRunning(e.ctx) != proc {
		return e.ctx.Err() == nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, r := range batch {
		if slices.Contains(e.running, r) {
			e.advance(r, chunks[i])
		}
	}
	e.recordReport()
	return true
}

// admit moves queued requests into free slots, by priority and then in order of
// arrival. It stops at the first one that doesn't fit into the KV cache. The
// tokens before the Offset of a resumed request are prefilled like its prompt. The
// caller holds mu.
func (e *Engine) admit() {
	slices.SortStableFunc(e.queue, func(a, b *activeRequest) int { return b.request.Priority - a.request.Priority })
	for len(e.queue) > 0 && len(e.running) < e.options.Slots {
		r := e.queue[0]
		if e.usedPieces()+r.requiredPieces > e.options.Pieces {
			return
		}
		e.queue = e.queue[1:]
		r.started = true
		r.cachedTokens = min(e.cache.matchPrefix(r.request.Model, r.request.Prefix)*PieceTokens, r.promptTokens)
		r.prefillLeft = r.promptTokens + r.request.Offset - r.cachedTokens
		e.running = append(e.running, r)
		e.logCacheChange(r.request.Model, nil, e.cache.resize(e.options.Pieces-e.usedPieces()))
		e.stats.Started++
		e.stats.CachedTokens += r.cachedTokens
		e.stats.ByWorkspace[r.workspace]++
		r.signal()
	}
}

// planStep returns the requests of the next step, the number of prompt tokens to
// prefill for each, and the duration of the step. A request without prompt tokens
// to prefill decodes one token. The caller holds mu.
func (e *Engine) planStep() (batch []*activeRequest, chunks []int, duration time.Duration) {
	prefillCost, decodeCost := roleCosts(e.order.role)
	prefillBudget, decoding := maxPrefillPerStep, 0
	for _, r := range e.running {
		chunk := min(r.prefillLeft, prefillBudget)
		if r.prefillLeft > 0 && chunk == 0 {
			continue
		}
		prefillBudget -= chunk
		if r.prefillLeft == 0 {
			decoding++
		}
		batch, chunks = append(batch, r), append(chunks, chunk)
	}
	tokens := float64(maxPrefillPerStep - prefillBudget)
	duration = time.Duration(tokens / float64(e.options.PrefillTokensPerSecond) * prefillCost * float64(time.Second))
	if decoding > 0 {
		step := e.options.DecodeStep + time.Duration(decoding)*e.options.DecodeSequence
		duration += time.Duration(float64(step) * decodeCost)
	}
	return batch, chunks, duration
}

// advance applies a step to one request. The step that ends its prefill also
// generates its first token. The caller holds mu.
func (e *Engine) advance(r *activeRequest, chunk int) {
	e.stats.PrefillTokens += chunk
	if r.prefillLeft -= chunk; r.prefillLeft > 0 {
		return
	}
	if chunk > 0 {
		for _, poison := range e.poison {
			if strings.Contains(r.request.Prompt, poison) {
				e.crash()
				return
			}
		}
		e.cachePrefix(r.request.Model, r.request.Prefix)
	}
	if r.generated < r.tokensToGenerate {
		r.generated++
		e.stats.DecodeTokens++
	}
	if r.generated == r.tokensToGenerate {
		e.remove(r)
		e.stats.Completed++
	}
	r.signal()
}

// cancel removes a request whose handler returns while it is queued or running. Every
// handler calls it; a request that ended otherwise is no longer found.
func (e *Engine) cancel(r *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.remove(r) {
		if r.generated == r.tokensToGenerate {
			e.stats.Completed++ // all tokens were generated
		} else {
			e.stats.Canceled++
		}
		e.recordReport()
		e.wake()
	}
}

// abortAll ends all requests because an order takes the engine out of service.
// The caller holds mu.
func (e *Engine) abortAll() {
	for _, r := range slices.Concat(e.running, e.queue) {
		r.aborted = true
		r.signal()
		if r.started {
			e.stats.Aborted++
		} else {
			e.stats.Refused++
		}
	}
	e.running, e.queue = nil, nil
}

// remove removes a request from the batch and the queue. The caller holds mu.
func (e *Engine) remove(r *activeRequest) (found bool) {
	for _, list := range []*[]*activeRequest{&e.running, &e.queue} {
		if i := slices.Index(*list, r); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			found = true
		}
	}
	return found
}

func (e *Engine) usedPieces() (pieces int) {
	for _, r := range e.running {
		pieces += r.requiredPieces
	}
	return pieces
}

// signal wakes the request's handler.
func (r *activeRequest) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// roleCosts returns the factors of the durations of both phases.
func roleCosts(role engine.Role) (prefill, decode float64) {
	switch role {
	case engine.Prefill:
		return fastPhaseFactor, slowPhaseFactor
	case engine.Decode:
		return slowPhaseFactor, fastPhaseFactor
	}
	return 1, 1
}
