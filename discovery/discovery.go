// Package discovery holds the upstreams registered in the store: who serves
// which service, where, and who is about to leave.
//
// An entry that vanished may have lapsed because its upstream couldn't reach the
// registry during an outage. Entries that vanish in or right after an outage
// stay usable for a grace period, in which live upstreams register again. It
// runs from when the registry said that the entry is gone, and so was reachable.
//
// # Usage
//
//	r := discovery.New(grace)
//	r.Replace(upstreams, now)   // a full listing
//	r.Put(upstream)             // one change
//	r.Remove(id, now)
//	r.Restore(entries, now)     // the snapshot of another node
//	r.MarkRegistryDown(now)     // the registry can't be reached
//	view := r.View(now)
package discovery

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Stages of an upstream that runs a language model.
const (
	Plain   Stage = ""
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

type (
	// Stage is the part of a generation that an upstream serves.
	Stage string

	// Upstream is one registered upstream.
	Upstream struct {
		ID            string         `cbor:"1,keyasint,omitzero"`
		Service       string         `cbor:"2,keyasint,omitzero"`
		Address       netip.AddrPort `cbor:"3,keyasint,omitzero"`
		FailureDomain string         `cbor:"4,keyasint,omitzero"`
		Slots         int            `cbor:"5,keyasint,omitzero"`
		Draining      bool           `cbor:"6,keyasint,omitzero"`
		Spot          bool           `cbor:"7,keyasint,omitzero"` // may be reclaimed on short notice
		Stage         Stage          `cbor:"8,keyasint,omitzero"`
		Version       uint64         `cbor:"9,keyasint,omitzero"`  // of the model's weights
		StartedAt     time.Time      `cbor:"10,keyasint,omitzero"` // its start; another start under the same ID has another
	}

	// SnapshotEntry is an upstream as another node knows it. One whose entry
	// vanished stays usable for what is left of its grace, GraceLeft.
	SnapshotEntry struct {
		Upstream  Upstream      `cbor:"1,keyasint,omitzero"`
		GraceLeft time.Duration `cbor:"2,keyasint,omitzero"`
	}

	// UpstreamSet is the set of known upstreams. It is safe for concurrent use.
	UpstreamSet struct {
		grace time.Duration

		mu       sync.Mutex
		known    map[string]*entry
		suspect  time.Time // when the registry was last known to be unreachable
		view     []Upstream
		changed  bool
		expireAt time.Time // zero: nothing expires
	}

	entry struct {
		upstream Upstream
		missing  time.Time // zero: registered
	}
)

// New returns an empty set. Entries that lapse with an outage of the registry
// are kept for grace after it.
func New(grace time.Duration) *UpstreamSet {
	return &UpstreamSet{grace: grace, known: map[string]*entry{}}
}

// MarkRegistryDown notes that the registry can't be reached at a moment.
func (r *UpstreamSet) MarkRegistryDown(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspect = now
}

// Put adds or changes an upstream.
func (r *UpstreamSet) Put(upstream Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known[upstream.ID] = &entry{upstream: upstream}
	r.changed = true
}

// Remove notes that an upstream isn't registered any more.
func (r *UpstreamSet) Remove(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(id, now)
}

// Replace takes a full listing of the registry.
func (r *UpstreamSet) Replace(upstreams []Upstream, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, upstream := range upstreams {
		listed[upstream.ID] = true
		r.known[upstream.ID] = &entry{upstream: upstream}
	}
	for id := range r.known {
		if !listed[id] {
			r.remove(id, now)
		}
	}
	r.changed = true
}

// Snapshot returns the set for another node to restore.
func (r *UpstreamSet) Snapshot(now time.Time) (entries []SnapshotEntry) {
	for _, upstream := range r.View(now) {
		entries = append(entries, SnapshotEntry{Upstream: upstream, GraceLeft: r.left(upstream.ID, now)})
	}
	return entries
}

// left is how long a vanished entry stays usable, or 0 if it is registered.
func (r *UpstreamSet) left(id string, now time.Time) (left time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.known[id]; known != nil && !known.missing.IsZero() {
		return max(known.missing.Add(r.grace).Sub(now), 1)
	}
	return 0
}

// Restore takes the snapshot of another node, which can reach the registry.
// What this node suspects doesn't count.
func (r *UpstreamSet) Restore(entries []SnapshotEntry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = make(map[string]*entry, len(entries))
	for _, e := range entries {
		adopted := &entry{upstream: e.Upstream}
		if e.GraceLeft > 0 {
			adopted.missing = now.Add(e.GraceLeft - r.grace)
		}
		r.known[e.Upstream.ID] = adopted
	}
	r.changed = true
}

// remove is called with mu held.
func (r *UpstreamSet) remove(id string, now time.Time) {
	known, ok := r.known[id]
	if !ok {
		return
	}
	r.changed = true
	if known.upstream.Draining || r.suspect.IsZero() || now.Sub(r.suspect) > r.grace {
		delete(r.known, id)
		return
	}
	if known.missing.IsZero() {
		known.missing = now
	}
}

// View returns the usable and the draining upstreams, sorted by ID. The caller
// doesn't change it.
func (r *UpstreamSet) View(now time.Time) (upstreams []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed && (r.expireAt.IsZero() || now.Before(r.expireAt)) {
		return r.view
	}
	r.changed, r.expireAt = false, time.Time{}
	r.view = make([]Upstream, 0, len(r.known))
	for id, known := range r.known {
		if !known.missing.IsZero() {
			end := known.missing.Add(r.grace)
			if !now.Before(end) {
				delete(r.known, id)
				continue
			}
			if r.expireAt.IsZero() || end.Before(r.expireAt) {
				r.expireAt = end
			}
		}
		r.view = append(r.view, known.upstream)
	}
	slices.SortFunc(r.view, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return r.view
}
