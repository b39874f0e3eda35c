package capacity

import "github.com/guavagauge/guavagauge/policy"

// PolicyOptions configures NewPolicy. Preferences and RequiredUpstreams must be set.
type PolicyOptions struct {
	Preferences policy.Preferences
	// RequiredUpstreams returns the number of upstreams that the load of the
	// failure domain needs, and the share of the load that may run on
	// reclaimable upstreams.
	RequiredUpstreams func(view View) (upstreams, interruptibleShare float64)
	Max               int // upper bound of upstreams; 0 means no limit
}

// NewPolicy returns a function for Options.Decide that calls policy.PlanCapacity.
// The function keeps state between calls, so each Manager needs its own.
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
