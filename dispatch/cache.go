package dispatch

import (
	"container/list"
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

// unsharedMergePeriod is the time for which tokens that addUnshared counts go to
// the same LRU entry. Other nodes report them many times per second, so an entry
// for each report would make the list long.
const unsharedMergePeriod = 500 * time.Millisecond

type (
	// cache estimates which prompt parts an engine has in its KV cache. When the
	// capacity is exceeded, the least recently used parts are evicted. The engine
	// doesn't report evictions, so the estimate can differ from what it has.
	cache struct {
		capacity int // tokens; 0: not known yet
		used     int // tokens
		parts    map[string]*list.Element
		lru      *list.List // of *cachedPart, the most recently used first
		// unshared is the LRU entry that counts tokens prefilled for other nodes
		// since unsharedAt, in parts that those nodes don't announce by ID.
		unshared   *list.Element
		unsharedAt time.Time
	}

	cachedPart struct {
		id        string // empty if it counts unshared tokens; then prefilled is false
		tokens    int
		prefilled bool // if not, other engines can't fetch it yet
	}
)

func newCache() *cache {
	return &cache{parts: map[string]*list.Element{}, lru: list.New()}
}

// insertPending adds the parts of a prompt that was sent to the engine and isn't
// prefilled yet. Its first part becomes the most recently used, so eviction begins
// with its last part. markPrefilled reverses this order.
func (c *cache) insertPending(prompt platform.Prompt) {
	for i := len(prompt.Parts) - 1; i >= 0; i-- {
		c.add(prompt.Parts[i])
	}
}

// markPrefilled marks the parts of a prompt as prefilled, so that other engines
// can fetch them. Its last part becomes the most recently used.
func (c *cache) markPrefilled(prompt platform.Prompt) {
	for _, part := range prompt.Parts {
		c.add(part).prefilled = true
	}
}

// removePending removes the parts of a prompt that the engine didn't prefill.
// Parts that were already prefilled for another prompt stay.
func (c *cache) removePending(prompt platform.Prompt) {
	for _, part := range prompt.Parts {
		if element, ok := c.parts[part.ID]; ok && !element.Value.(*cachedPart).prefilled {
			c.remove(element)
		}
	}
}

// add inserts a part, or marks it as the most recently used if it is cached.
func (c *cache) add(part platform.PromptPart) (cached *cachedPart) {
	if element, ok := c.parts[part.ID]; ok {
		c.lru.MoveToFront(element)
		return element.Value.(*cachedPart)
	}
	cached = &cachedPart{id: part.ID, tokens: part.Tokens}
	c.parts[part.ID] = c.lru.PushFront(cached)
	c.used += part.Tokens
	c.evict()
	return cached
}

// addUnshared counts tokens that the engine prefilled for other nodes, in parts
// that those nodes don't announce by ID. They are evicted like parts that were
// last used now.
func (c *cache) addUnshared(tokens int, now time.Time) {
	if c.unshared == nil || now.Sub(c.unsharedAt) >= unsharedMergePeriod {
		c.unshared, c.unsharedAt = c.lru.PushFront(&cachedPart{}), now
	}
	c.unshared.Value.(*cachedPart).tokens += tokens
	c.used += tokens
	c.evict()
}

// evict removes the least recently used parts until the rest fits the capacity.
// One part stays even if it exceeds the capacity by itself.
func (c *cache) evict() {
	for c.capacity > 0 && c.used > c.capacity && c.lru.Len() > 1 {
		c.remove(c.lru.Back())
	}
}

// remove removes a part or an entry of unshared tokens. The latter has no ID and
// isn't in parts.
func (c *cache) remove(element *list.Element) {
	part := c.lru.Remove(element).(*cachedPart)
	delete(c.parts, part.id)
	c.used -= part.tokens
	if element == c.unshared {
		c.unshared = nil
	}
}

// evictedTokens returns the number of tokens that would be evicted to add a
// number of new ones.
func (c *cache) evictedTokens(added int) (tokens int) {
	if c.capacity == 0 {
		return 0
	}
	return min(added, max(0, c.used+added-c.capacity))
}

// prefixTokens returns the length in tokens of two prefixes of a prompt: cached is
// that of the parts which are all cached or pending, so that the engine needn't
// prefill them, and fetchable that of the parts which are all prefilled, so that
// other engines can fetch them.
func (c *cache) prefixTokens(prompt platform.Prompt) (cached, fetchable int) {
	prefilled := true
	for i := range prompt.Parts {
		element, ok := c.parts[prompt.Parts[i].ID]
		if !ok {
			break
		}
		cached += prompt.Parts[i].Tokens
		if prefilled = prefilled && element.Value.(*cachedPart).prefilled; prefilled {
			fetchable = cached
		}
	}
	return cached, fetchable
}

// addOlder adds parts that were used less recently than all known ones. They are
// listed with the most recently used first. Parts that exceed the capacity are
// left out.
func (c *cache) addOlder(parts []platform.PromptPart) {
	for _, part := range parts {
		if _, known := c.parts[part.ID]; known || c.capacity > 0 && c.used+part.Tokens > c.capacity {
			continue
		}
		c.parts[part.ID] = c.lru.PushBack(&cachedPart{id: part.ID, tokens: part.Tokens, prefilled: true})
		c.used += part.Tokens
	}
}
