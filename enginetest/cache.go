package enginetest

import (
	"container/list"
	"time"

	"github.com/guavagauge/guavagauge/engine"
)

// maxCacheEvents is the number of cache events that are kept. A reader that lags
// further behind sees a gap.
const maxCacheEvents = 4096

type (
	// cache is the prefix cache. It evicts the least recently used pieces.
	cache struct {
		max    int
		pieces map[pieceKey]*list.Element
		recent *list.List // of pieceKey, the most recently used first
	}

	pieceKey struct {
		model string
		hash  uint64
	}

	// eventLog holds the cache events, each with the time from which readers see
	// it.
	eventLog struct {
		sequence uint64
		events   []timedEvent
	}

	timedEvent struct {
		engine.CacheEvent
		visibleAt time.Time
	}
)

func newCache(maxPieces int) *cache {
	return &cache{max: maxPieces, pieces: make(map[pieceKey]*list.Element), recent: list.New()}
}

// matchPrefix returns how many leading pieces of a prefix are in the cache, and
// marks them as used.
func (c *cache) matchPrefix(model string, prefix []uint64) (leading int) {
	for _, hash := range prefix {
		element := c.pieces[pieceKey{model, hash}]
		if element == nil {
			break
		}
		c.recent.MoveToFront(element)
		leading++
	}
	return leading
}

// add stores the pieces of a prefix and returns the new ones.
func (c *cache) add(model string, prefix []uint64) (stored []uint64) {
	// The last piece is added first, so that the leading pieces, which other
	// prompts share, are evicted last.
	for i := len(prefix) - 1; i >= 0; i-- {
		key := pieceKey{model, prefix[i]}
		if element := c.pieces[key]; element != nil {
			c.recent.MoveToFront(element)
			continue
		}
		c.pieces[key] = c.recent.PushFront(key)
		stored = append(stored, prefix[i])
	}
	return stored
}

// resize evicts the least recently used pieces until at most maxPieces are left.
func (c *cache) resize(maxPieces int) (removed []pieceKey) {
	c.max = maxPieces
	for c.recent.Len() > max(0, c.max) {
		oldest := c.recent.Remove(c.recent.Back()).(pieceKey)
		delete(c.pieces, oldest)
		removed = append(removed, oldest)
	}
	return removed
}

// cachePrefix adds a prefix to the cache. The caller holds mu.
func (e *Engine) cachePrefix(model string, prefix []uint64) {
	stored := e.cache.add(model, prefix)
	e.logCacheChange(model, stored, e.cache.resize(e.options.Pieces-e.usedPieces()))
}

// logCacheChange records events for stored and removed pieces. The caller holds
// mu.
func (e *Engine) logCacheChange(model string, stored []uint64, removed []pieceKey) {
	if len(stored) > 0 {
		e.logEvent(engine.CacheEvent{Model: model, Stored: stored})
	}
	byModel := make(map[string][]uint64)
	for _, key := range removed {
		byModel[key.model] = append(byModel[key.model], key.hash)
	}
	for model, hashes := range byModel {
		e.logEvent(engine.CacheEvent{Model: model, Removed: hashes})
	}
}

// logEvent appends a cache event, or skips it to simulate a lost event. The caller
// holds mu.
func (e *Engine) logEvent(event engine.CacheEvent) {
	e.events.sequence++
	event.Sequence = e.events.sequence
	if gap := e.options.CacheEventGap; gap > 0 && event.Sequence%uint64(gap) == 0 {
		return
	}
	e.events.events = append(e.events.events, timedEvent{event, time.Now().Add(e.options.CacheEventDelay)})
	if len(e.events.events) > maxCacheEvents {
		e.events.events = e.events.events[1:]
	}
}

// visibleEvents returns the events after a sequence number that are older than
// Options.CacheEventDelay.
func (e *Engine) visibleEvents(after uint64) (events engine.CacheEvents) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events.Incarnation = e.incarnation
	now := time.Now()
	for _, event := range e.events.events {
		if event.Sequence > after && !event.visibleAt.After(now) {
			events.Events = append(events.Events, event.CacheEvent)
		}
	}
	return events
}
