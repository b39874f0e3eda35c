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
		ready  time.Time
	}
)

func newCache() *cache {
	return &cache{parts: map[string]*list.Element{}, order: list.New()}
}

// use notes that an engine reads a prompt.
func (c *cache) use(prompt platform.Prompt, now time.Time) {
	for i := len(prompt.Parts) - 1; i >= 0; i-- {
		c.add(prompt.Parts[i], now)
	}
}

func (c *cache) add(part platform.Part, now time.Time) {
	if element, ok := c.parts[part.ID]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.parts[part.ID] = c.order.PushFront(&cachedPart{id: part.ID, tokens: part.Tokens, ready: now})
	c.used += part.Tokens
	for c.capacity > 0 && c.used > c.capacity && c.order.Len() > 1 {
		last := c.order.Back()
		part := c.order.Remove(last).(*cachedPart)
		delete(c.parts, part.id)
		c.used -= part.tokens
	}
}

// kept returns the number of tokens of a prompt that need not be read: those of
// its first parts, as far as all of them are kept.
func (c *cache) kept(prompt platform.Prompt) (tokens int) {
	for _, part := range prompt.Parts {
		if _, ok := c.parts[part.ID]; !ok {
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
	at       time.Time
}

// note remembers the shared parts of a placed prompt. It is called with mu held.
func (d *Dispatcher) note(u *upstream, prompt platform.Prompt, now time.Time) {
	for i, part := range prompt.Parts {
		if i < len(prompt.Parts)-1 && part.Tokens >= minSharedTokens {
			d.placed = append(d.placed, Placement{Upstream: u.ID, Part: part.ID, Tokens: part.Tokens, at: now})
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
	return append(placed, kept...)
}

// TakePlacements takes what another node placed.
func (d *Dispatcher) TakePlacements(placed []Placement, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range placed {
		if u := d.upstreams[p.Upstream]; u != nil {
			u.cache.add(platform.Part{ID: p.Part, Tokens: p.Tokens}, now)
		}
	}
}
