package dispatch

import (
	"container/list"
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

type (
	// cache is a model of the parts of prompts that an engine keeps: the least
	// recently used parts yield when the capacity is exceeded.
	cache struct {
		capacity int // tokens; 0: not known yet
		used     int
		parts    map[string]*list.Element
		order    *list.List // of *cachedPart, the most recently used first
	}

	cachedPart struct {
		id     string
		tokens int
		ready  time.Time // when it has been read; others can't fetch it before
	}
)

func newCache() *cache {
	return &cache{parts: map[string]*list.Element{}, order: list.New()}
}

// use notes that an engine is about to read a prompt, which takes until ready.
func (c *cache) use(prompt platform.Prompt, ready time.Time) {
	for i := len(prompt.Parts) - 1; i >= 0; i-- {
		c.add(prompt.Parts[i], ready)
	}
}

// read notes that an engine has read a prompt.
func (c *cache) read(prompt platform.Prompt, now time.Time) {
	for _, part := range prompt.Parts {
		if element, ok := c.parts[part.ID]; ok {
			if cached := element.Value.(*cachedPart); now.Before(cached.ready) {
				cached.ready = now
			}
		}
	}
}

func (c *cache) add(part platform.Part, ready time.Time) {
	if element, ok := c.parts[part.ID]; ok {
		c.order.MoveToFront(element)
		if cached := element.Value.(*cachedPart); ready.Before(cached.ready) {
			cached.ready = ready
		}
		return
	}
	c.parts[part.ID] = c.order.PushFront(&cachedPart{id: part.ID, tokens: part.Tokens, ready: ready})
	c.used += part.Tokens
	for c.capacity > 0 && c.used > c.capacity && c.order.Len() > 1 {
		last := c.order.Back()
		part := c.order.Remove(last).(*cachedPart)
		delete(c.parts, part.id)
		c.used -= part.tokens
	}
}

// kept returns the number of tokens of a prompt that need not be read: those of
// its first parts, as far as all of them are kept or about to be read.
func (c *cache) kept(prompt platform.Prompt) (tokens int) {
	return c.first(prompt, func(*cachedPart) bool { return true })
}

// fetchable returns the number of tokens of a prompt that others can fetch now.
func (c *cache) fetchable(prompt platform.Prompt, now time.Time) (tokens int) {
	return c.first(prompt, func(part *cachedPart) bool { return !now.Before(part.ready) })
}

func (c *cache) first(prompt platform.Prompt, counts func(part *cachedPart) bool) (tokens int) {
	for _, part := range prompt.Parts {
		element, ok := c.parts[part.ID]
		if !ok || !counts(element.Value.(*cachedPart)) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

const (
	// placementLife is how long a placement is repeated to other nodes, in case
	// datagrams are lost.
	placementLife = 350 * time.Millisecond
	// minSharedTokens is the size from which a part is worth telling about.
	minSharedTokens = 512
)

// Placement says that a part of a prompt was sent to an engine, which keeps it.
type Placement struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Part     string
	Tokens   int
	// WaitMs is the time until the part has been read.
	WaitMs int64
	at     time.Time
	ready  time.Time
}

// note remembers the shared parts of a placed prompt. It is called with mu held.
func (d *Dispatcher) note(u *upstream, prompt platform.Prompt, now, ready time.Time) {
	for i, part := range prompt.Parts {
		if i < len(prompt.Parts)-1 && part.Tokens >= minSharedTokens {
			d.placed = append(d.placed, Placement{Upstream: u.ID, Part: part.ID, Tokens: part.Tokens, at: now, ready: ready})
		}
	}
}

// Placements returns what this node placed lately, to be told to other nodes.
func (d *Dispatcher) Placements(now time.Time) (placed []Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.placed[:0]
	for _, p := range d.placed {
		if now.Sub(p.at) < placementLife {
			kept = append(kept, p)
		}
	}
	d.placed = kept
	for _, p := range kept {
		p.WaitMs = max(0, p.ready.Sub(now)).Milliseconds()
		placed = append(placed, p)
	}
	return placed
}

// TakePlacements takes what another node placed.
func (d *Dispatcher) TakePlacements(placed []Placement, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range placed {
		if u := d.upstreams[p.Upstream]; u != nil {
			u.cache.add(platform.Part{ID: p.Part, Tokens: p.Tokens}, now.Add(time.Duration(p.WaitMs)*time.Millisecond))
		}
	}
}
