package fleet

import (
	"sync/atomic"

	"github.com/guavagauge/guavagauge/selector"
)

// engines is the number of the target kind of models; services follow.
const engines = 0

type (
	// pool is the upstreams that rules with the same selector and capacity
	// allow. Its candidate lists are computed when a request first needs them,
	// because most configurations are replaced before all of them are used.
	pool struct {
		selector selector.Selector
		capacity CapacityType
		groups   atomic.Pointer[[]bool]        // whether the selector matches each label group
		lists    []atomic.Pointer[[]*Upstream] // by target kind and whether calls may be repeated
	}

	// upstreamGroups numbers the distinct label sets of upstreams.
	upstreamGroups struct {
		labels []selector.Labels
		of     []int32 // group of each upstream of the snapshot
	}

	poolKey struct {
		selector string
		capacity CapacityType
	}
)

func groupUpstreams(upstreams []*Upstream) (g upstreamGroups) {
	numbers := newGroups(func(labels selector.Labels) int32 {
		g.labels = append(g.labels, labels)
		return int32(len(g.labels) - 1)
	})
	g.of = make([]int32, len(upstreams))
	for i, u := range upstreams {
		g.of[i] = numbers.of(u.Labels, u.systemLabels, u.Owner, u.FailureDomain, u.Region, string(u.Capacity))
	}
	return g
}

// makePools returns the pool of each rule.
func makePools(rules []*Rule, targetKinds int) (pools []*pool) {
	shared := map[poolKey]*pool{}
	for _, r := range rules {
		key := poolKey{r.Upstreams.String(), r.Capacity}
		if shared[key] == nil {
			shared[key] = &pool{
				selector: r.Upstreams,
				capacity: r.Capacity,
				lists:    make([]atomic.Pointer[[]*Upstream], 2*targetKinds),
			}
		}
		pools = append(pools, shared[key])
	}
	return pools
}

// candidates returns the upstreams of a pool for a target. Two requests may
// compute the same list at the same time; either result serves.
func (s *Snapshot) candidates(p *pool, kind int, q Query) []*Upstream {
	if kind < 0 {
		return s.filter(p, q)
	}
	slot := &p.lists[2*kind]
	if q.never() {
		slot = &p.lists[2*kind+1]
	}
	if list := slot.Load(); list != nil {
		return *list
	}
	list := s.filter(p, q)
	slot.Store(&list)
	return list
}

func (s *Snapshot) filter(p *pool, q Query) (list []*Upstream) {
	groups := s.matchGroups(p)
	for i, u := range s.upstreams {
		if p.reason(q, u, groups[s.upstreamGroups.of[i]]) == UpstreamCandidate {
			list = append(list, u)
		}
	}
	return list
}

func (s *Snapshot) matchGroups(p *pool) []bool {
	if groups := p.groups.Load(); groups != nil {
		return *groups
	}
	groups := make([]bool, len(s.upstreamGroups.labels))
	for i, labels := range s.upstreamGroups.labels {
		groups[i] = p.selector.Matches(labels)
	}
	p.groups.Store(&groups)
	return groups
}

func (p *pool) reason(q Query, u *Upstream, selected bool) UpstreamReason {
	switch {
	case !q.Target.runsOn(u):
		return UpstreamTargetMismatch
	case !selected:
		return UpstreamSelectorMismatch
	case p.capacity != AnyCapacity && p.capacity != u.Capacity:
		return UpstreamCapacityMismatch
	case q.never() && u.Capacity == Reclaimable:
		return UpstreamReclaimable
	case u.State == Draining:
		return UpstreamDraining
	default:
		return UpstreamCandidate
	}
}
