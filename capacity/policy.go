package capacity

import "github.com/guavagauge/guavagauge/policy"

// PolicyOptions of NewPolicy.
type PolicyOptions struct {
	Preferences policy.Preferences
	// RequiredUpstreams returns the upstreams that the work of the failure
	// domain needs, and the share of it that may run on reclaimable ones.
	RequiredUpstreams func(view View) (upstreams, eligible float64)
	Max               int // upstreams at most; 0: no limit
}

// NewPolicy returns the decision of policy.PlanCapacity. The decision has a
// memory, so each Manager needs its own.
func NewPolicy(options PolicyOptions) (decide func(view View) Plan) {
	var state policy.CapacityState
	return func(view View) Plan {
		request := policy.CapacityRequest{Now: view.Now, Max: options.Max, ReclaimableUnavailable: view.ReclaimableUnavailable}
		request.RequiredUpstreams, request.InterruptibleShare = options.RequiredUpstreams(view)
		request.Reserved, request.Reclaimable = view.Counts()
		plan, next := policy.PlanCapacity(state, request, options.Preferences)
		state = next
		return Plan(plan)
	}
}
