package fleet

import (
	"sync/atomic"

	"github.com/guavagauge/guavagauge/selector"
)

// modelTargetIndex is the index of the candidate lists that all models share. The
// indexes of the services follow.
const modelTargetIndex = 0

type (
	// pool holds the candidates of rules with the same upstream selector and
	// capacity type. The candidate lists are computed on first use, because most
	// configurations are replaced before all lists are used.
	pool struct {
		selector     selector.Selector
		capacity     CapacityType
		groupMatches atomic.Pointer[[]bool]        // whether the selector matches each group of upstreams
		candidates   []atomic.Pointer[[]*Upstream] // two lists per target index, the second for non-idempotent calls
	}

	// upstreamGroups groups the upstreams of a snapshot by label set.
	upstreamGroups struct {
		labels []selector.Labels // of each group
		index  []int32           // group of each upstream
	}

	poolKey struct {
		selector string
		capacity CapacityType
	}
)

func groupUpstreams(upstreams []*Upstream) (g upstreamGroups) {
	groupIndexes := newLabelSetCache(func(labels selector.Labels) int32 {
		g.labels = append(g.labels, labels)
		return int32(len(g.labels) - 1)
	})
	g.index = make([]int32, len(upstreams))
	for i, u := range upstreams {
		g.index[i] = groupIndexes.get(u.Labels, u.allLabels, u.Owner, u.FailureDomain, u.Region, string(u.Capacity))
	}
	return g
}

// newPools returns the pool of each rule. Rules with the same upstream selector
// and capacity type share a pool.
func newPools(rules []*Rule, targetCount int) (pools []*pool) {
	shared := map[poolKey]*pool{}
	for _, r := range rules {
		key := poolKey{r.Upstreams.String(), r.Capacity}
		if shared[key] == nil {
			shared[key] = &pool{
				selector:   r.Upstreams,
				capacity:   r.Capacity,
				candidates: make([]atomic.Pointer[[]*Upstream], 2*targetCount),
			}
		}
		pools = append(pools, shared[key])
	}
	return pools
}

// candidates returns the upstreams of a pool that may run q. Services of another
// snapshot have a negative targetIndex and no lists, so their candidates are
// computed each time. Two requests may compute the same list concurrently; the
// results are equal, so either may be stored.
func (s *Snapshot) candidates(p *pool, targetIndex int, q Query) []*Upstream {
	if targetIndex < 0 {
		return s.filterUpstreams(p, q)
	}
	slot := &p.candidates[2*targetIndex]
	if q.nonIdempotent() {
		slot = &p.candidates[2*targetIndex+1]
	}
	if list := slot.Load(); list != nil {
		return *list
	}
	list := s.filterUpstreams(p, q)
	slot.Store(&list)
	return list
}

func (s *Snapshot) filterUpstreams(p *pool, q Query) (list []*Upstream) {
	matches := s.groupMatches(p)
	for i, u := range s.upstreams {
		if p.reason(q, u, matches[s.upstreamGroups.index[i]]) == UpstreamCandidate {
			list = append(list, u)
		}
	}
	return list
}

// groupMatches returns, for each group of upstreams, whether the pool's selector
// matches it.
func (s *Snapshot) groupMatches(p *pool) []bool {
	if matches := p.groupMatches.Load(); matches != nil {
		return *matches
	}
	matches := make([]bool, len(s.upstreamGroups.labels))
	for i, labels := range s.upstreamGroups.labels {
		matches[i] = p.selector.Matches(labels)
	}
	p.groupMatches.Store(&matches)
	return matches
}

// reason returns why u is a candidate or not. selected is whether the pool's
// selector matches u.
func (p *pool) reason(q Query, u *Upstream, selected bool) UpstreamReason {
	switch {
	case !q.Target.runsOn(u):
		return UpstreamTargetMismatch
	case !selected:
		return UpstreamSelectorMismatch
	case p.capacity != AnyCapacity && p.capacity != u.Capacity:
		return UpstreamCapacityMismatch
	case q.nonIdempotent() && u.Capacity == Reclaimable:
		return UpstreamReclaimable
	case u.State == Draining:
		return UpstreamDraining
	default:
		return UpstreamCandidate
	}
}
