// Package policy holds the decisions: where a request runs, in which order
// waiting work runs, what is refused early, what is retried, and how many
// engines of which role and kind a fleet needs.
//
// Everything here is a pure function or a small data structure for one
// goroutine. Nothing reads a clock, does I/O or takes a lock; time is an
// argument. The same code serves requests, explains decisions to operators and
// runs in package experiment, which measures it.
//
// # Usage
//
//	prefix := policy.Prefix(prompt)
//	var buffer [policy.MaxChoices]policy.Choice
//	choices := policy.Place(buffer[:0], policy.PlaceRequest{Prefix: prefix, Domain: home, Region: region}, candidates, policy.Goodput())
//
//	queue := policy.NewQueue(policy.QueueOptions{})
//	queue.Push(&policy.Item{Workspace: ws.QualifiedName(), Weight: ws.Weight, Cost: costs.Cost(1200, 0, 200)})
//	item := queue.Next()
package policy

import "time"

type (
	// Preferences are the preferences that operators differ in. All decisions
	// read them from here.
	Preferences struct {
		// LoadBound is how far above the mean load per slot of its region an
		// upstream may be and still be chosen for its prefix (2 is twice the mean).
		LoadBound float64
		// PrefixDepth is the number of leading pieces that requests have to
		// share to prefer the same upstream.
		PrefixDepth int
		// SpillValue is what a request served in time is worth, in the currency
		// of the price by volume between regions.
		SpillValue float64
		// RoleGain is the least gain of a role change, as a multiple of the work
		// that the engine doesn't do while it changes.
		RoleGain float64
		// RoleHeadroom is the multiple of the need that roles are planned for.
		// Waiting times grow long before an engine is busy all the time.
		RoleHeadroom float64
		// RoleHorizon is how long a role is expected to stay useful.
		RoleHorizon time.Duration
		// MaxRoleChanges is the number of changes of one engine within
		// RoleChangeWindow.
		MaxRoleChanges   int
		RoleChangeWindow time.Duration
		// Headroom is the fleet's size as a multiple of the measured need.
		Headroom float64
		// ScaleUpDelay and ScaleDownDelay are how long a deficit or an idle
		// upstream lasts before an order follows. Stopping sooner than a start
		// takes gives away what the next swing needs.
		ScaleUpDelay   time.Duration
		ScaleDownDelay time.Duration
		// ReclaimableShare is the largest share of reclaimable upstreams in a
		// failure domain.
		ReclaimableShare float64
	}

	// TokenCosts are the costs of a prompt token and an answer token in units
	// of cost. A cost of one is the work of prefilling one token.
	TokenCosts struct {
		Prefill float64
		Decode  float64
	}
)

// DefaultTokenCosts prices an answer token at the time that it takes on an
// engine with a usual batch, relative to a prompt token.
var DefaultTokenCosts = TokenCosts{Prefill: 1, Decode: 4}

// Goodput returns the preset that favours the share of requests that meet
// their objective.
func Goodput() Preferences {
	return Preferences{
		LoadBound: 2, PrefixDepth: 1, SpillValue: 1,
		RoleGain: 1.5, RoleHeadroom: 1.5, RoleHorizon: time.Minute, MaxRoleChanges: 2, RoleChangeWindow: 5 * time.Minute,
		Headroom: 1.5, ScaleUpDelay: 20 * time.Second, ScaleDownDelay: 5 * time.Minute, ReclaimableShare: 0.67,
	}
}

// WorstServed returns the preset that favours the worst-served workspace and
// spends more: it keeps more headroom, orders earlier and stops later.
func WorstServed() Preferences {
	w := Goodput()
	w.SpillValue = 2
	w.Headroom = 1.75
	w.ScaleUpDelay = 10 * time.Second
	w.ScaleDownDelay = 6 * time.Minute
	return w
}

// Cost returns the cost of a request. Cached prompt tokens are free.
func (p TokenCosts) Cost(prompt, cached, answer int) int64 {
	return int64(p.Prefill*float64(max(prompt-cached, 0)) + p.Decode*float64(answer))
}

// seconds converts a number of seconds without overflow.
func seconds(s float64) time.Duration {
	const limit = 24 * time.Hour
	if s >= limit.Seconds() {
		return limit
	}
	return time.Duration(s * float64(time.Second))
}
