package dispatch

import (
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

const (
	// insertTTL is how long a cache insert is sent to other nodes. It is repeated
	// since datagrams can be lost, and must exceed the interval of 250 ms at which
	// other failure domains get messages.
	insertTTL = 350 * time.Millisecond
	// minSharedTokens is the size from which a part is announced to other nodes.
	// Smaller parts would make the messages longer, and take less than 11 ms to
	// prefill again at the default Costs.PrefillRate.
	minSharedTokens = 512
	// maxCacheInserts bounds the cache inserts in a message to about 45 KB, which
	// leaves room for loads in the same datagram. Only listing the contents of
	// many engines after a start comes near it.
	maxCacheInserts = 1000
)

type (
	// CacheInsert announces that an engine has prefilled a prompt part and has it
	// in its KV cache.
	CacheInsert struct {
		_          struct{} `cbor:",toarray"`
		Upstream   string
		Part       string
		Tokens     int
		insertedAt time.Time
	}

	// CacheContents lists the prompt parts in an engine's KV cache, the most
	// recently used first.
	CacheContents struct {
		Upstream string                `cbor:"1,keyasint,omitzero"`
		Parts    []platform.PromptPart `cbor:"2,keyasint,omitzero"`
	}
)

// recordPrefill records the parts of a prefilled prompt: a cache insert for each
// part that is announced to other nodes, and the number of tokens of the rest.
// It is called with mu held.
func (d *Dispatcher) recordPrefill(u *upstream, prompt platform.Prompt, now time.Time) {
	for i, part := range prompt.Parts {
		if isShared(prompt, i) {
			d.cacheInserts = append(d.cacheInserts, CacheInsert{Upstream: u.ID, Part: part.ID, Tokens: part.Tokens, insertedAt: now})
		} else {
			u.ownUnsharedTokens += int64(part.Tokens)
		}
	}
}

// isShared reports whether a part of a prompt is announced to other nodes. The
// last part is not, since it belongs to this request only.
func isShared(prompt platform.Prompt, index int) (shared bool) {
	return index < len(prompt.Parts)-1 && prompt.Parts[index].Tokens >= minSharedTokens
}

// CacheInserts returns the recent cache inserts of this node, to be sent to other
// nodes. If there are too many for a message, it returns the newest.
func (d *Dispatcher) CacheInserts(now time.Time) (inserts []CacheInsert) {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := d.cacheInserts[:0]
	for _, insert := range d.cacheInserts {
		if now.Sub(insert.insertedAt) < insertTTL {
			recent = append(recent, insert)
		}
	}
	d.cacheInserts = recent
	return append(inserts, recent[max(0, len(recent)-maxCacheInserts):]...)
}

// ApplyCacheInserts records cache inserts that another node announced.
func (d *Dispatcher) ApplyCacheInserts(inserts []CacheInsert) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, insert := range inserts {
		if u := d.upstreams[insert.Upstream]; u != nil {
			u.cache.add(platform.PromptPart{ID: insert.Part, Tokens: insert.Tokens}).prefilled = true
		}
	}
}

// CacheContents returns the parts in the KV cache of each engine that are large
// enough to be announced to other nodes. Unlike in isShared, the last parts of
// prompts aren't left out, as the cache estimate doesn't tell which ones they are.
func (d *Dispatcher) CacheContents() (engines []CacheContents) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		contents := CacheContents{Upstream: u.ID}
		for element := u.cache.lru.Front(); element != nil; element = element.Next() {
			if part := element.Value.(*cachedPart); part.prefilled && part.tokens >= minSharedTokens {
				contents.Parts = append(contents.Parts, platform.PromptPart{ID: part.id, Tokens: part.tokens})
			}
		}
		if len(contents.Parts) > 0 {
			engines = append(engines, contents)
		}
	}
	return engines
}

// MergeCacheContents adds the cache contents that another node knows. They count
// as used less recently than the parts that this node knows already.
func (d *Dispatcher) MergeCacheContents(engines []CacheContents) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, contents := range engines {
		if u := d.upstreams[contents.Upstream]; u != nil {
			u.cache.addOlder(contents.Parts)
		}
	}
}

// PublishCacheContents adds the cache contents that an engine reported itself,
// and announces them to other nodes as cache inserts.
func (d *Dispatcher) PublishCacheContents(contents CacheContents, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[contents.Upstream]
	if u == nil {
		return
	}
	u.cache.addOlder(contents.Parts)
	for _, part := range contents.Parts {
		if part.Tokens >= minSharedTokens {
			d.cacheInserts = append(d.cacheInserts, CacheInsert{Upstream: u.ID, Part: part.ID, Tokens: part.Tokens, insertedAt: now})
		}
	}
}
