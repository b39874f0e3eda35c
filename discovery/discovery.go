// Package discovery tracks the upstreams registered in the store: the service,
// address and failure domain of each, and whether it is draining. Package entry
// keeps the set up to date, and passes its view to package dispatch.
//
// An outage of the store alone removes no upstream, but an entry can expire because
// its upstream can't reach the store. So upstreams whose entries are removed during
// or right after an outage stay usable for a grace period, in which live ones
// register again. The period begins when the node learns of the removal from the
// store, which is reachable again then. With a longer period, requests can go for
// longer to upstreams that failed during the outage.
//
// A store can come back from an older copy, in which an upstream that has left since
// is still ready and one that came since is missing. The set remembers which instances
// were draining or gone, and after BeginEra doesn't take them for ready again. Upstreams
// that the copy lacks get the grace period, in which live ones register again.
//
// # Usage
//
//	set := discovery.New(grace)
//	set.Replace(upstreams, now) // a full listing
//	set.Put(upstream)           // one change
//	set.Remove(id, now)
//	set.Restore(entries, now)   // the snapshot of another node
//	set.MarkStoreDown(now)      // no node can reach the store
//	set.BeginEra(now)           // the store came back from an older copy
//	view := set.View(now)
package discovery

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// departureTTL is how long an instance that was draining or removed is remembered. It
	// exceeds the age of a copy from which the store may come back and its time away.
	departureTTL = time.Minute
	// maxDeparted bounds the memory for them.
	maxDeparted = 10_000
)

// Stages of an upstream.
const (
	// Plain means that the upstream is registered without a stage. An engine
	// without a stage both prefills and decodes.
	Plain Stage = ""
	// Prefill means that the upstream only prefills prompts.
	Prefill Stage = "prefill"
	// Decode means that the upstream decodes, and can prefill as well.
	Decode Stage = "decode"
)

type (
	// Stage is the part of a generation that an upstream serves.
	Stage string

	// Upstream is a registered upstream.
	Upstream struct {
		ID            string         `cbor:"1,keyasint,omitzero"`
		Service       string         `cbor:"2,keyasint,omitzero"`
		Address       netip.AddrPort `cbor:"3,keyasint,omitzero"`
		FailureDomain string         `cbor:"4,keyasint,omitzero"`
		Slots         int            `cbor:"5,keyasint,omitzero"`
		Draining      bool           `cbor:"6,keyasint,omitzero"` // gets no new requests
		Spot          bool           `cbor:"7,keyasint,omitzero"` // may be reclaimed on short notice
		Stage         Stage          `cbor:"8,keyasint,omitzero"`
		Version       uint64         `cbor:"9,keyasint,omitzero"`  // of the model's weights
		StartedAt     time.Time      `cbor:"10,keyasint,omitzero"` // tells apart restarts under the same ID
	}

	// SnapshotEntry is an upstream in a snapshot for another node. GraceLeft is the
	// rest of the grace period of an upstream whose entry was removed, and 0 if it
	// is registered.
	SnapshotEntry struct {
		Upstream  Upstream      `cbor:"1,keyasint,omitzero"`
		GraceLeft time.Duration `cbor:"2,keyasint,omitzero"`
	}

	// UpstreamSet is the set of known upstreams. It is safe for concurrent use.
	UpstreamSet struct {
		grace time.Duration

		mu      sync.Mutex
		entries map[string]*entry
		// storeDownAt is when MarkStoreDown was last called, or zero. Removals until
		// grace later are taken as caused by the outage.
		storeDownAt  time.Time
		view         []Upstream
		generation   uint64 // of view
		viewOutdated bool
		nextExpiry   time.Time // of an entry in its grace period; zero: none
		departed     map[instance]departure
		eraBeganAt   time.Time // when BeginEra was last called, or zero
	}

	// instance is one start of an upstream.
	instance struct {
		id        string
		startedAt int64 // Unix milliseconds
	}

	// departure is what is remembered of an instance that was draining or removed.
	departure struct {
		gone bool // removed
		at   time.Time
	}

	// Departed is an instance that was draining or removed, for another node.
	Departed struct {
		ID        string        `cbor:"1,keyasint,omitzero"`
		StartedAt int64         `cbor:"2,keyasint,omitzero"` // Unix milliseconds
		Gone      bool          `cbor:"3,keyasint,omitzero"` // removed
		Age       time.Duration `cbor:"4,keyasint,omitzero"`
	}

	entry struct {
		upstream     Upstream
		missingSince time.Time // zero: registered
	}
)

// New returns an empty set. Upstreams whose entries are removed within grace after
// the store was last marked as down stay usable for another grace.
func New(grace time.Duration) *UpstreamSet {
	return &UpstreamSet{grace: grace, entries: map[string]*entry{}, departed: map[instance]departure{}}
}

// BeginEra records that the store came back from an older copy. The next listing of it
// may lack upstreams that came since, and have those that have left.
func (s *UpstreamSet) BeginEra(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDownAt, s.eraBeganAt = now, now
}

// Departed returns the instances that were draining or removed.
func (s *UpstreamSet) Departed(now time.Time) (departed []Departed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, d := range s.departed {
		if age := now.Sub(d.at); age < departureTTL {
			departed = append(departed, Departed{ID: i.id, StartedAt: i.startedAt, Gone: d.gone, Age: age})
		}
	}
	return departed
}

// AddDeparted records the instances that another node remembers.
func (s *UpstreamSet) AddDeparted(departed []Departed, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range departed {
		s.depart(instance{d.ID, d.StartedAt}, d.Gone, now.Add(-d.Age))
	}
}

// MarkStoreDown records that no node can reach the store now.
func (s *UpstreamSet) MarkStoreDown(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDownAt = now
}

// Put adds or replaces an upstream whose entry was written now.
func (s *UpstreamSet) Put(upstream Upstream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.departed[instanceOf(upstream)].gone { // its entry had expired
		delete(s.departed, instanceOf(upstream))
	}
	s.put(upstream, now)
	s.viewOutdated = true
}

// put adds or replaces an upstream. One that was gone when an era began is left out, and
// one that was draining is draining. What is learnt in the era itself is up to date.
// It is called with mu held.
func (s *UpstreamSet) put(upstream Upstream, now time.Time) {
	i := instanceOf(upstream)
	if d, known := s.departed[i]; known && d.at.Before(s.eraBeganAt) && now.Sub(d.at) < departureTTL {
		if d.gone {
			s.remove(upstream.ID, now)
			return
		}
		upstream.Draining = true
	}
	if replaced := s.entries[upstream.ID]; replaced != nil && instanceOf(replaced.upstream) != i {
		s.depart(instanceOf(replaced.upstream), true, now)
	}
	if upstream.Draining {
		s.depart(i, false, now)
	}
	s.entries[upstream.ID] = &entry{upstream: upstream}
}

// depart remembers that an instance was draining or removed. It is called with mu held.
func (s *UpstreamSet) depart(i instance, gone bool, at time.Time) {
	if known, ok := s.departed[i]; ok && (known.gone || !gone) {
		return
	}
	if len(s.departed) >= maxDeparted {
		for old, d := range s.departed {
			if at.Sub(d.at) >= departureTTL {
				delete(s.departed, old)
			}
		}
	}
	if len(s.departed) < maxDeparted {
		s.departed[i] = departure{gone, at}
	}
}

func instanceOf(u Upstream) (i instance) { return instance{u.ID, u.StartedAt.UnixMilli()} }

// Remove records that an upstream is no longer registered. The upstream stays
// usable for the grace period if the store had an outage and the upstream wasn't
// draining.
func (s *UpstreamSet) Remove(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(id, now)
}

// Replace updates the set to a full listing of the upstreams in the store. Others
// are removed as by Remove.
func (s *UpstreamSet) Replace(upstreams []Upstream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, upstream := range upstreams {
		listed[upstream.ID] = true
		s.put(upstream, now)
	}
	for id := range s.entries {
		if !listed[id] {
			s.remove(id, now)
		}
	}
	s.viewOutdated = true
}

// Snapshot returns the set in a form that another node can restore.
func (s *UpstreamSet) Snapshot(now time.Time) (entries []SnapshotEntry) {
	for _, upstream := range s.View(now) {
		entries = append(entries, SnapshotEntry{Upstream: upstream, GraceLeft: s.graceLeft(upstream.ID, now)})
	}
	return entries
}

// graceLeft returns the rest of the grace period of a removed entry, at least 1, or
// 0 if the upstream is registered.
func (s *UpstreamSet) graceLeft(id string, now time.Time) (remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil && !e.missingSince.IsZero() {
		return max(e.missingSince.Add(s.grace).Sub(now), 1)
	}
	return 0
}

// Restore replaces the set with the snapshot of another node, which can reach the
// store. Upstreams that aren't in the snapshot are removed at once, even if this
// node marked an outage. An upstream in its grace period at the other node has one
// here only if this node marked an outage itself and hasn't removed the upstream:
// the outage may have been the other node's alone. An empty set takes it over.
func (s *UpstreamSet) Restore(entries []SnapshotEntry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.entries
	s.entries = make(map[string]*entry, len(entries))
	defer func() {
		for id, old := range before {
			if current := s.entries[id]; current == nil || instanceOf(current.upstream) != instanceOf(old.upstream) {
				s.depart(instanceOf(old.upstream), true, now)
			}
		}
	}()
	for _, e := range entries {
		if e.Upstream.Draining {
			s.depart(instanceOf(e.Upstream), false, now)
		}
		restored := &entry{upstream: e.Upstream}
		if e.GraceLeft > 0 {
			known := before[e.Upstream.ID]
			if len(before) > 0 && (known == nil || !s.inOutage(now)) {
				continue
			}
			// Ends the grace period after GraceLeft, whatever the sender's grace is.
			restored.missingSince = now.Add(e.GraceLeft - s.grace)
			if known != nil && !known.missingSince.IsZero() && known.missingSince.Before(restored.missingSince) {
				restored.missingSince = known.missingSince
			}
		}
		s.entries[e.Upstream.ID] = restored
	}
	s.viewOutdated = true
}

// inOutage reports whether entries that are removed now get a grace period. It is
// called with mu held.
func (s *UpstreamSet) inOutage(now time.Time) (ok bool) {
	return !s.storeDownAt.IsZero() && now.Sub(s.storeDownAt) <= s.grace
}

// remove deletes an entry, or starts its grace period if the store had an
// outage. A draining upstream gets no grace period. It is called with mu held.
func (s *UpstreamSet) remove(id string, now time.Time) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	s.viewOutdated = true
	if d := s.departed[instanceOf(e.upstream)]; e.upstream.Draining || d.gone || !s.inOutage(now) {
		delete(s.entries, id)
		s.depart(instanceOf(e.upstream), true, now)
		return
	}
	if e.missingSince.IsZero() {
		e.missingSince = now
	}
}

// Generation returns a number that grows when the result of View changes.
func (s *UpstreamSet) Generation(now time.Time) (generation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshView(now)
	return s.generation
}

// View returns the usable and the draining upstreams, sorted by ID. Callers must
// not modify the slice.
func (s *UpstreamSet) View(now time.Time) (upstreams []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshView(now)
	return s.view
}

// refreshView computes the view again if an entry has changed or a grace period
// has ended. It is called with mu held.
func (s *UpstreamSet) refreshView(now time.Time) {
	if !s.viewOutdated && (s.nextExpiry.IsZero() || now.Before(s.nextExpiry)) {
		return
	}
	s.viewOutdated, s.nextExpiry = false, time.Time{}
	s.generation++
	s.view = make([]Upstream, 0, len(s.entries))
	for id, e := range s.entries {
		if !e.missingSince.IsZero() {
			expiry := e.missingSince.Add(s.grace)
			if !now.Before(expiry) {
				delete(s.entries, id)
				s.depart(instanceOf(e.upstream), true, now)
				continue
			}
			if s.nextExpiry.IsZero() || expiry.Before(s.nextExpiry) {
				s.nextExpiry = expiry
			}
		}
		s.view = append(s.view, e.upstream)
	}
	slices.SortFunc(s.view, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
}
