package policy

import "time"

type (
	// CapacityRequest is the state of one failure domain for PlanCapacity.
	CapacityRequest struct {
		Now               time.Time
		RequiredUpstreams float64 // engines needed, from Demand.Engines
		// InterruptibleShare is the share of the work that may run on
		// reclaimable upstreams: it can be resumed or repeated.
		InterruptibleShare float64
		// Reserved and Reclaimable count upstreams that run or are ordered.
		Reserved    int
		Reclaimable int
		Max         int // upstreams at most; 0 means no limit
		// ReclaimableUnavailable means that the platform has none at present.
		ReclaimableUnavailable bool
	}

	// CapacityState is what PlanCapacity has to be given back at its next call.
	CapacityState struct {
		DeficitSince time.Time
		IdleSince    time.Time
	}

	// CapacityPlan is the orders to give. Stops are of idle upstreams: they are
	// drained first.
	CapacityPlan struct {
		StartReserved    int
		StartReclaimable int
		StopReserved     int
		StopReclaimable  int
	}
)

// PlanCapacity starts upstreams when a deficit has lasted and stops one at a
// time when a surplus has. Reclaimable upstreams are preferred up to their
// bounds, and reserved ones are started when the platform has none.
func PlanCapacity(state CapacityState, request CapacityRequest, weights Preferences) (plan CapacityPlan, next CapacityState) {
	total := request.Reserved + request.Reclaimable
	want := request.want(weights)
	if request.Max > 0 {
		want = min(want, request.Max)
	}
	switch {
	case want > total:
		next.DeficitSince = earlier(state.DeficitSince, request.Now)
		if request.Now.Sub(next.DeficitSince) >= weights.ScaleUpDelay {
			plan.start(request, weights, want-total)
			next.DeficitSince = time.Time{}
		}
	case want < total:
		next.IdleSince = earlier(state.IdleSince, request.Now)
		if request.Now.Sub(next.IdleSince) >= weights.ScaleDownDelay {
			plan.stop(request, weights)
			next.IdleSince = time.Time{}
		}
	}
	return plan, next
}

// MaxReclaimable returns the largest number of reclaimable upstreams among
// total.
func (r *CapacityRequest) MaxReclaimable(total int, weights Preferences) int {
	return int(min(weights.ReclaimableShare, r.InterruptibleShare)*float64(total) + 1e-9)
}

// want is the need with headroom, in whole upstreams. One always remains: a
// failure domain without any would have to wait for a start.
func (r *CapacityRequest) want(weights Preferences) int {
	exact := r.RequiredUpstreams * weights.Headroom
	whole := int(exact)
	if exact > float64(whole) {
		whole++
	}
	return max(whole, 1)
}

func (p *CapacityPlan) start(request CapacityRequest, weights Preferences, n int) {
	total := request.Reserved + request.Reclaimable
	reclaimable := request.Reclaimable
	for range n {
		total++
		if !request.ReclaimableUnavailable && reclaimable < request.MaxReclaimable(total, weights) {
			reclaimable++
			p.StartReclaimable++
		} else {
			p.StartReserved++
		}
	}
}

// stop prefers the dearer reserved upstream unless that would raise the
// reclaimable share above its bound.
func (p *CapacityPlan) stop(request CapacityRequest, weights Preferences) {
	total := request.Reserved + request.Reclaimable
	if request.Reserved > 0 && request.Reclaimable <= request.MaxReclaimable(total-1, weights) {
		p.StopReserved = 1
	} else {
		p.StopReclaimable = 1
	}
}

func earlier(since, now time.Time) time.Time {
	if since.IsZero() {
		return now
	}
	return since
}
