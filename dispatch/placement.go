package dispatch

import (
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

const (
	// placementLife is how long a placement is repeated to other nodes, in case
	// datagrams are lost.
	placementLife = 350 * time.Millisecond
	// minSharedTokens is the size from which a part is worth telling about.
	minSharedTokens = 512
	// maxTold cache inserts are about 45 KB, which leaves room for loads in a
	// datagram. Only listing many engines after a start comes near it.
	maxTold = 1000
)

type (
	// CacheInsert says that an engine has read a part of a prompt, and keeps
	// it.
	CacheInsert struct {
		_        struct{} `cbor:",toarray"`
		Upstream string
		Part     string
		Tokens   int
		at       time.Time
	}

	// CacheContents is what an engine keeps, the parts that were used last
	// first.
	CacheContents struct {
		Upstream string                `cbor:"1,keyasint,omitzero"`
		Parts    []platform.PromptPart `cbor:"2,keyasint,omitzero"`
	}
)

// note remembers the parts of a prompt that was read: those that others are told
// of, and the number of tokens of the rest. It is called with mu held.
func (d *Dispatcher) note(u *upstream, prompt platform.Prompt, now time.Time) {
	for i, part := range prompt.Parts {
		if isShared(prompt, i) {
			d.placed = append(d.placed, CacheInsert{Upstream: u.ID, Part: part.ID, Tokens: part.Tokens, at: now})
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

// CacheInserts returns what this node placed lately, the newest at most, to be
// told to other nodes.
func (d *Dispatcher) CacheInserts(now time.Time) (placed []CacheInsert) {
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

// ApplyCacheInserts takes what another node placed.
func (d *Dispatcher) ApplyCacheInserts(placed []CacheInsert) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range placed {
		if u := d.upstreams[p.Upstream]; u != nil {
			u.cache.add(platform.PromptPart{ID: p.Part, Tokens: p.Tokens}).read = true
		}
	}
}

// CacheContents returns what engines keep of parts that are worth telling.
func (d *Dispatcher) CacheContents() (engines []CacheContents) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		kept := CacheContents{Upstream: u.ID}
		for element := u.cache.order.Front(); element != nil; element = element.Next() {
			if part := element.Value.(*cachedPart); part.read && part.tokens >= minSharedTokens {
				kept.Parts = append(kept.Parts, platform.PromptPart{ID: part.id, Tokens: part.tokens})
			}
		}
		if len(kept.Parts) > 0 {
			engines = append(engines, kept)
		}
	}
	return engines
}

// MergeCacheContents takes what engines kept, as another node knows. What this
// one has heard already is newer.
func (d *Dispatcher) MergeCacheContents(engines []CacheContents) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kept := range engines {
		if u := d.upstreams[kept.Upstream]; u != nil {
			u.cache.addOlder(kept.Parts)
		}
	}
}

// PublishCacheContents takes what an engine keeps, as it says itself, and tells
// other nodes.
func (d *Dispatcher) PublishCacheContents(kept CacheContents, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[kept.Upstream]
	if u == nil {
		return
	}
	u.cache.addOlder(kept.Parts)
	for _, part := range kept.Parts {
		if part.Tokens >= minSharedTokens {
			d.placed = append(d.placed, CacheInsert{Upstream: u.ID, Part: part.ID, Tokens: part.Tokens, at: now})
		}
	}
}
