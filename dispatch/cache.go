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
		// others stands for parts that other nodes' prompts don't share with any,
		// since othersAt.
		others   *list.Element
		othersAt time.Time
	}

	cachedPart struct {
		id     string // empty if it stands for others
		tokens int
		read   bool // until then, others can't fetch it
	}
)

func newCache() *cache {
	return &cache{parts: map[string]*list.Element{}, order: list.New()}
}

// use notes that an engine is about to read a prompt.
func (c *cache) use(prompt platform.Prompt) {
	for i := len(prompt.Parts) - 1; i >= 0; i-- {
		c.add(prompt.Parts[i])
	}
}

// read notes that an engine has read a prompt.
func (c *cache) read(prompt platform.Prompt) {
	for _, part := range prompt.Parts {
		c.add(part).read = true
	}
}

// forget takes back use, after the engine didn't read the prompt.
func (c *cache) forget(prompt platform.Prompt) {
	for _, part := range prompt.Parts {
		if element, ok := c.parts[part.ID]; ok && !element.Value.(*cachedPart).read {
			c.remove(element)
		}
	}
}

func (c *cache) add(part platform.Part) (cached *cachedPart) {
	if element, ok := c.parts[part.ID]; ok {
		c.order.MoveToFront(element)
		return element.Value.(*cachedPart)
	}
	cached = &cachedPart{id: part.ID, tokens: part.Tokens}
	c.parts[part.ID] = c.order.PushFront(cached)
	c.used += part.Tokens
	c.yield()
	return cached
}

// addOthers notes that other nodes had the engine read tokens of which they don't
// tell the parts. They yield like parts that were last used now.
func (c *cache) addOthers(tokens int, now time.Time) {
	if c.others == nil || now.Sub(c.othersAt) >= othersPeriod {
		c.others, c.othersAt = c.order.PushFront(&cachedPart{}), now
	}
	c.others.Value.(*cachedPart).tokens += tokens
	c.used += tokens
	c.yield()
}

// yield removes parts until the rest fits.
func (c *cache) yield() {
	for c.capacity > 0 && c.used > c.capacity && c.order.Len() > 1 {
		c.remove(c.order.Back())
	}
}

func (c *cache) remove(element *list.Element) {
	part := c.order.Remove(element).(*cachedPart)
	delete(c.parts, part.id)
	c.used -= part.tokens
	if element == c.others {
		c.others = nil
	}
}

// displaced returns the number of tokens that yield when an engine takes others.
func (c *cache) displaced(taken int) (tokens int) {
	if c.capacity == 0 {
		return 0
	}
	return min(taken, max(0, c.used+taken-c.capacity))
}

// kept returns the number of tokens of a prompt that the engine need not read:
// those of its first parts, as far as all of them are kept or about to be read.
func (c *cache) kept(prompt platform.Prompt) (tokens int) {
	return c.first(prompt, func(*cachedPart) bool { return true })
}

// fetchable returns the number of tokens of a prompt that other engines can fetch.
func (c *cache) fetchable(prompt platform.Prompt) (tokens int) {
	return c.first(prompt, func(part *cachedPart) bool { return part.read })
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
	// maxTold placements are about 45 KB, which leaves room for loads in a datagram.
	// Only listing many engines after a start comes near it.
	maxTold = 1000
	// othersPeriod is the time for which untold parts are kept as one.
	othersPeriod = 500 * time.Millisecond
)

// Placement says that an engine has read a part of a prompt, and keeps it.
type Placement struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Part     string
	Tokens   int
	at       time.Time
}

// note remembers the shared parts of a prompt that was read. It is called with mu
// held.
func (d *Dispatcher) note(u *upstream, prompt platform.Prompt, now time.Time) {
	for i, part := range prompt.Parts {
		if isShared(prompt, i) {
			d.placed = append(d.placed, Placement{Upstream: u.ID, Part: part.ID, Tokens: part.Tokens, at: now})
		} else {
			u.ownTokens += int64(part.Tokens)
		}
	}
}

// isShared reports whether other nodes are told of a part. The last one belongs to
// the request itself.
func isShared(prompt platform.Prompt, part int) (shared bool) {
	return part < len(prompt.Parts)-1 && prompt.Parts[part].Tokens >= minSharedTokens
}

// Placements returns what this node placed lately, the newest at most, to be told
// to other nodes.
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
	return append(placed, kept[max(0, len(kept)-maxTold):]...)
}

// TakePlacements takes what another node placed.
func (d *Dispatcher) TakePlacements(placed []Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range placed {
		if u := d.upstreams[p.Upstream]; u != nil {
			u.cache.add(platform.Part{ID: p.Part, Tokens: p.Tokens}).read = true
		}
	}
}

// Kept is what an engine keeps, the parts that were used last first.
type Kept struct {
	Upstream string          `cbor:"1,keyasint,omitzero"`
	Parts    []platform.Part `cbor:"2,keyasint,omitzero"`
}

// Kept returns what engines keep of parts that are worth telling.
func (d *Dispatcher) Kept() (engines []Kept) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		kept := Kept{Upstream: u.ID}
		for element := u.cache.order.Front(); element != nil; element = element.Next() {
			if part := element.Value.(*cachedPart); part.read && part.tokens >= minSharedTokens {
				kept.Parts = append(kept.Parts, platform.Part{ID: part.id, Tokens: part.tokens})
			}
		}
		if len(kept.Parts) > 0 {
			engines = append(engines, kept)
		}
	}
	return engines
}

// TakeKept takes what engines kept, as another node knows. What this one has
// heard already is newer.
func (d *Dispatcher) TakeKept(engines []Kept) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kept := range engines {
		if u := d.upstreams[kept.Upstream]; u != nil {
			u.cache.addOlder(kept.Parts)
		}
	}
}

// TellKept takes what an engine keeps, as it says itself, and tells other nodes.
func (d *Dispatcher) TellKept(kept Kept, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[kept.Upstream]
	if u == nil {
		return
	}
	u.cache.addOlder(kept.Parts)
	for _, part := range kept.Parts {
		if part.Tokens >= minSharedTokens {
			d.placed = append(d.placed, Placement{Upstream: u.ID, Part: part.ID, Tokens: part.Tokens, at: now})
		}
	}
}

// addOlder adds parts that were used before those that are known, as far as there
// is room.
func (c *cache) addOlder(parts []platform.Part) {
	for _, part := range parts {
		if _, known := c.parts[part.ID]; known || c.capacity > 0 && c.used+part.Tokens > c.capacity {
			continue
		}
		c.parts[part.ID] = c.order.PushBack(&cachedPart{id: part.ID, tokens: part.Tokens, read: true})
		c.used += part.Tokens
	}
}
