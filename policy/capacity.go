package policy

import "time"

type (
	// CapacityRequest is the state of one failure domain for PlanCapacity.
	CapacityRequest struct {
		Now               time.Time
		RequiredUpstreams float64 // without headroom, for example from Demand.Engines
		// InterruptibleShare is the share of the work that may run on
		// reclaimable upstreams because it can be resumed or repeated.
		InterruptibleShare float64
		// Reserved and Reclaimable are the numbers of upstreams that run or have
		// been ordered.
		Reserved    int
		Reclaimable int
		Max         int // maximum number of upstreams; 0 means no limit
		// ReclaimableUnavailable means that the platform currently has no
		// reclaimable upstreams.
		ReclaimableUnavailable bool
	}

	// CapacityState is the state that the caller passes from one call of
	// PlanCapacity to the next. DeficitSince and SurplusSince are the times at which
	// the current deficit or surplus began, or zero. The zero value is the initial
	// state.
	CapacityState struct {
		DeficitSince time.Time
		SurplusSince time.Time
	}

	// CapacityPlan is the number of upstreams to start and to stop. An upstream
	// is drained before it is stopped.
	CapacityPlan struct {
		StartReserved    int
		StartReclaimable int
		StopReserved     int
		StopReclaimable  int
	}
)

// PlanCapacity starts all missing upstreams after a deficit has lasted for
// ScaleUpDelay and stops one after a surplus has lasted for ScaleDownDelay. Either
// delay begins anew after a start or a stop. PlanCapacity prefers reclaimable
// upstreams up to MaxReclaimable, and starts reserved ones if the platform has no
// reclaimable ones.
func PlanCapacity(state CapacityState, request CapacityRequest, preferences Preferences) (plan CapacityPlan, next CapacityState) {
	total := request.Reserved + request.Reclaimable
	target := request.targetUpstreams(preferences)
	if request.Max > 0 {
		target = min(target, request.Max)
	}
	switch {
	case target > total:
		next.DeficitSince = sinceOrNow(state.DeficitSince, request.Now)
		if request.Now.Sub(next.DeficitSince) >= preferences.ScaleUpDelay {
			plan.start(request, preferences, target-total)
			next.DeficitSince = time.Time{}
		}
	case target < total:
		next.SurplusSince = sinceOrNow(state.SurplusSince, request.Now)
		if request.Now.Sub(next.SurplusSince) >= preferences.ScaleDownDelay {
			plan.stop(request, preferences)
			next.SurplusSince = time.Time{}
		}
	}
	return plan, next
}

// MaxReclaimable returns the maximum number of reclaimable upstreams among
// total upstreams.
func (r *CapacityRequest) MaxReclaimable(total int, preferences Preferences) int {
	// The small term makes up for floating-point rounding before truncation.
	return int(min(preferences.ReclaimableShare, r.InterruptibleShare)*float64(total) + 1e-9)
}

// targetUpstreams returns the required upstreams with headroom, rounded up. At
// least one remains, since a failure domain without any would have to wait for
// an upstream to start.
func (r *CapacityRequest) targetUpstreams(preferences Preferences) int {
	exact := r.RequiredUpstreams * preferences.Headroom
	whole := int(exact)
	if exact > float64(whole) {
		whole++
	}
	return max(whole, 1)
}

// start plans n starts, with as many reclaimable upstreams as allowed.
func (p *CapacityPlan) start(request CapacityRequest, preferences Preferences, n int) {
	total := request.Reserved + request.Reclaimable
	reclaimable := request.Reclaimable
	for range n {
		total++
		if !request.ReclaimableUnavailable && reclaimable < request.MaxReclaimable(total, preferences) {
			reclaimable++
			p.StartReclaimable++
		} else {
			p.StartReserved++
		}
	}
}

// stop plans one stop. It prefers to stop a reserved upstream, which is more
// expensive, unless the share of reclaimable ones would exceed its maximum.
func (p *CapacityPlan) stop(request CapacityRequest, preferences Preferences) {
	total := request.Reserved + request.Reclaimable
	if request.Reserved > 0 && request.Reclaimable <= request.MaxReclaimable(total-1, preferences) {
		p.StopReserved = 1
	} else {
		p.StopReclaimable = 1
	}
}

// sinceOrNow returns since, or now if since isn't set.
func sinceOrNow(since, now time.Time) time.Time {
	if since.IsZero() {
		return now
	}
	return since
}
