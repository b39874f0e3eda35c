// Package policy implements the scheduling decisions: which upstream runs a
// request, in which order waiting work runs, which work is refused early, which
// requests are retried, and how many engines of each role and capacity type a
// fleet needs.
//
// Everything here is a pure function or a small data structure that isn't safe
// for concurrent use. Nothing reads a clock, does I/O or takes a lock; time is
// an argument. The packages caller, scheduler, planner, capacity and entry use it
// in running nodes, where package node chooses the Preferences, and package
// experiment evaluates it by simulation.
//
// Arguments aren't validated beyond what a field's comment says, and no function
// returns an error. Without candidates or engines to choose from, a function
// returns no choice and no change. The zero value of Preferences isn't useful;
// callers start from Goodput or WorstServed.
//
// # Usage
//
//	prefix := policy.Prefix(prompt)
//	var buffer [policy.MaxChoices]policy.Choice
//	choices := policy.Place(buffer[:0], policy.PlaceRequest{Prefix: prefix, Domain: home, Region: region}, candidates, policy.Goodput())
//
//	queue := policy.NewQueue(policy.QueueOptions{})
//	queue.Push(&policy.Item{Workspace: ws.QualifiedName(), Weight: ws.Weight, Cost: policy.DefaultTokenCosts.Cost(1200, 0, 200)})
//	item := queue.Next()
package policy

import "time"

type (
	// Preferences are the trade-offs that operators choose between. No decision
	// reads them from anywhere else.
	Preferences struct {
		// LoadBound is the load per slot up to which an upstream is chosen by
		// prefix, as a multiple of the mean of the home region including the
		// request. A higher value keeps prefixes on their upstream longer and lets
		// the load become less even.
		LoadBound float64
		// PrefixDepth is the number of leading prefix blocks that requests must
		// share to prefer the same upstream.
		PrefixDepth int
		// SpillValue is the value of serving a request in time, in the currency
		// of SpillRequest.Price. Only Spill reads it, which running nodes don't call.
		SpillValue float64
		// RoleGain is the minimum gain of a role change, as a multiple of the
		// work lost while the engine changes. A higher value keeps engines in roles
		// that suit the demand less.
		RoleGain float64
		// RoleHeadroom is the planned capacity of each role as a multiple of the
		// demand. Queueing delays grow long before an engine is fully utilized.
		RoleHeadroom float64
		// RoleHorizon is how long a new role is expected to stay useful, and the
		// time in which queued work is to be finished. It must be longer than
		// RolesRequest.ChangeTime.
		RoleHorizon time.Duration
		// MaxRoleChanges is the maximum number of role changes of one engine
		// within RoleChangeWindow. It also bounds the time that engines spend out of
		// service when the demand swings.
		MaxRoleChanges   int
		RoleChangeWindow time.Duration
		// Headroom is the size of the fleet as a multiple of
		// CapacityRequest.RequiredUpstreams. A higher value costs more upstreams and
		// leaves more room for demand that rises during ScaleUpDelay and the start-up.
		Headroom float64
		// ScaleUpDelay is how long a deficit must last before upstreams are
		// started, and ScaleDownDelay how long a surplus must last before one is
		// stopped. If ScaleDownDelay is shorter than the start-up time of an
		// upstream, the next rise in demand may find too little capacity.
		ScaleUpDelay   time.Duration
		ScaleDownDelay time.Duration
		// ReclaimableShare is the maximum share of reclaimable upstreams in a
		// failure domain. A higher value saves reserved upstreams, which are more
		// expensive, and lets the platform take away a larger part at once.
		ReclaimableShare float64
	}

	// TokenCosts are the costs of prefilling a prompt token and of decoding an
	// output token. A cost of one is the work of prefilling one token.
	TokenCosts struct {
		Prefill float64
		Decode  float64
	}
)

// DefaultTokenCosts weighs an output token by the time that it takes on an
// engine with a typical batch size, relative to a prompt token. Nothing changes it
// at run time.
var DefaultTokenCosts = TokenCosts{Prefill: 1, Decode: 4}

// Goodput returns the preset that aims at the largest share of requests that
// meet their objective.
func Goodput() Preferences {
	return Preferences{
		LoadBound: 2, PrefixDepth: 1, SpillValue: 1,
		RoleGain: 1.5, RoleHeadroom: 1.5, RoleHorizon: time.Minute, MaxRoleChanges: 2, RoleChangeWindow: 5 * time.Minute,
		Headroom: 1.5, ScaleUpDelay: 20 * time.Second, ScaleDownDelay: 5 * time.Minute, ReclaimableShare: 0.67,
	}
}

// WorstServed returns the preset that favours the worst-served workspace at a
// higher cost: it keeps more headroom, starts upstreams earlier and stops them
// later.
func WorstServed() Preferences {
	preferences := Goodput()
	preferences.SpillValue = 2
	preferences.Headroom = 1.75
	preferences.ScaleUpDelay = 10 * time.Second
	preferences.ScaleDownDelay = 6 * time.Minute
	return preferences
}

// Cost returns the cost of a request. Cached prompt tokens are free.
func (c TokenCosts) Cost(prompt, cached, output int) int64 {
	return int64(c.Prefill*float64(max(prompt-cached, 0)) + c.Decode*float64(output))
}

// seconds converts a number of seconds to a duration of at most 24 hours, which
// avoids an overflow.
func seconds(s float64) time.Duration {
	const limit = 24 * time.Hour
	if s >= limit.Seconds() {
		return limit
	}
	return time.Duration(s * float64(time.Second))
}
