package enginetest

import (
	"container/list"
	"time"

	"github.com/guavagauge/guavagauge/engine"
)

const maxEvents = 4096 // kept; readers that are further behind see a gap

type (
	// cache is the prefix cache: the least recently used pieces go first.
	cache struct {
		max    int
		pieces map[piece]*list.Element
		recent *list.List // of piece, the most recent first
	}

	piece struct {
		model string
		hash  uint64
	}

	// eventLog holds cache events until they are old enough to be seen.
	eventLog struct {
		sequence uint64
		events   []timedEvent
	}

	timedEvent struct {
		engine.CacheEvent
		visible time.Time
	}
)

func newCache(maxPieces int) *cache {
	return &cache{max: maxPieces, pieces: make(map[piece]*list.Element), recent: list.New()}
}

// cached returns how many leading pieces of a prefix are in the cache.
func (c *cache) cached(model string, prefix []uint64) (leading int) {
	for _, hash := range prefix {
		element := c.pieces[piece{model, hash}]
		if element == nil {
			break
		}
		c.recent.MoveToFront(element)
		leading++
	}
	return leading
}

// add stores pieces and returns those that are new.
func (c *cache) add(model string, prefix []uint64) (stored []uint64) {
	// The last piece is added first, so that the shared beginning goes last.
	for i := len(prefix) - 1; i >= 0; i-- {
		key := piece{model, prefix[i]}
		if element := c.pieces[key]; element != nil {
			c.recent.MoveToFront(element)
			continue
		}
		c.pieces[key] = c.recent.PushFront(key)
		stored = append(stored, prefix[i])
	}
	return stored
}

// resize drops the oldest pieces until at most maxPieces are left.
func (c *cache) resize(maxPieces int) (removed []piece) {
	c.max = maxPieces
	for c.recent.Len() > max(0, c.max) {
		oldest := c.recent.Remove(c.recent.Back()).(piece)
		delete(c.pieces, oldest)
		removed = append(removed, oldest)
	}
	return removed
}

// store adds a prefix to the cache. The caller holds mu.
func (e *Engine) store(model string, prefix []uint64) {
	stored := e.cache.add(model, prefix)
	e.note(model, stored, e.cache.resize(e.options.Pieces-e.usedPieces()))
}

// note logs what came to the cache and what went. The caller holds mu.
func (e *Engine) note(model string, stored []uint64, removed []piece) {
	if len(stored) > 0 {
		e.log(engine.CacheEvent{Model: model, Stored: stored})
	}
	byModel := make(map[string][]uint64)
	for _, gone := range removed {
		byModel[gone.model] = append(byModel[gone.model], gone.hash)
	}
	for model, hashes := range byModel {
		e.log(engine.CacheEvent{Model: model, Removed: hashes})
	}
}

func (e *Engine) log(event engine.CacheEvent) {
	e.events.sequence++
	event.Sequence = e.events.sequence
	if gap := e.options.CacheEventGap; gap > 0 && event.Sequence%uint64(gap) == 0 {
		return
	}
	e.events.events = append(e.events.events, timedEvent{event, time.Now().Add(e.options.CacheEventDelay)})
	if len(e.events.events) > maxEvents {
		e.events.events = e.events.events[1:]
	}
}

// visibleEvents returns the events after a sequence number that are old enough.
func (e *Engine) visibleEvents(after uint64) (events engine.CacheEvents) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events.Incarnation = e.incarnation
	now := time.Now()
	for _, event := range e.events.events {
		if event.Sequence > after && !event.visible.After(now) {
			events.Events = append(events.Events, event.CacheEvent)
		}
	}
	return events
}
