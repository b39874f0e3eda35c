package dispatch

import (
	"container/list"
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

// othersPeriod is the time for which untold parts are kept as one.
const othersPeriod = 500 * time.Millisecond

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

func (c *cache) add(part platform.PromptPart) (cached *cachedPart) {
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

// addOlder adds parts that were used before those that are known, as far as there
// is room.
func (c *cache) addOlder(parts []platform.PromptPart) {
	for _, part := range parts {
		if _, known := c.parts[part.ID]; known || c.capacity > 0 && c.used+part.Tokens > c.capacity {
			continue
		}
		c.parts[part.ID] = c.order.PushBack(&cachedPart{id: part.ID, tokens: part.Tokens, read: true})
		c.used += part.Tokens
	}
}
