package policy

import (
	"time"

	"github.com/guavagauge/guavagauge/fleet"
)

// What an engine does.
const (
	// Mixed engines prefill and decode in the same steps.
	Mixed Role = iota
	// Prefill engines hand requests over after the first token.
	Prefill
	// Decode engines continue requests that were prefilled elsewhere.
	Decode
)

type (
	// Role is what an engine does.
	Role uint8

	// Demand is the work of a failure domain in engines, measured on engines of
	// the fitting role: a prefill need of 2 keeps two prefill engines busy.
	Demand struct {
		Prefill float64 // arriving work
		Decode  float64
		// QueuedPrefill and QueuedDecode are seconds of one engine's work that
		// already waits or is left of running requests.
		QueuedPrefill time.Duration
		QueuedDecode  time.Duration
	}

	// EngineRole is the state of an engine for PlanRoles.
	EngineRole struct {
		Role Role // the new one while it changes
		// RoleChanges are the times of the last role changes.
		RoleChanges []time.Time
		Fencing     fleet.Fencing
		// Unavailable engines are starting, draining or changing their role.
		Unavailable bool
	}

	// RolesRequest is what PlanRoles reads. MixedPrefill and MixedDecode are
	// the work of a mixed engine that does only one of the two, relative to an
	// engine with that role.
	RolesRequest struct {
		Now          time.Time
		Demand       Demand
		Engines      []EngineRole
		ChangeTime   time.Duration // out of service for a change
		MixedPrefill float64
		MixedDecode  float64
	}

	// RoleChange is an order to one engine.
	RoleChange struct {
		Engine int
		To     Role
		// Gain is the work gained within the horizon, in seconds of one engine.
		Gain float64
	}

	rolePlan struct {
		request *RolesRequest
		need    counts
		weights Preferences
		lost    float64 // seconds out of service for a change
	}

	// counts is the number of engines by role.
	counts [3]float64
)

// PlanRoles returns the role change to make now, if any. At most a third of the
// engines are out of service at the same time, and always at least one may be.
//
// A change must gain more work within the horizon than the engine loses while
// it is out of service. Since the horizon is longer than the change, mixed
// engines serve the first minutes of a swing by themselves.
func PlanRoles(request RolesRequest, weights Preferences) (change RoleChange, ok bool) {
	need := request.Demand.needs(weights.RoleHorizon)
	var now counts
	unavailable := 0
	for i := range request.Engines {
		if request.Engines[i].Unavailable {
			unavailable++
		}
		now[request.Engines[i].Role]++
	}
	if unavailable >= max(len(request.Engines)/3, 1) {
		return change, false
	}
	plan := rolePlan{&request, need, weights, request.ChangeTime.Seconds()}
	change = plan.best(now)
	return change, change.Gain > 0
}

// best returns the change that gains most, if any is worth it.
func (p *rolePlan) best(now counts) (best RoleChange) {
	total := p.need[Prefill] + p.need[Decode]
	before := p.served(now)
	for from := Mixed; from <= Decode; from++ {
		engine := p.request.pick(from, p.weights)
		if engine < 0 {
			continue
		}
		out := now
		out[from]--
		// During the change the rest serves out, afterwards in.
		loss := max((before-p.served(out))*total, 0) * p.lost
		for to := Mixed; to <= Decode; to++ {
			if to == from {
				continue
			}
			in := out
			in[to]++
			gain := (p.served(in) - before) * total * (p.weights.RoleHorizon.Seconds() - p.lost)
			if gain > p.weights.RoleGain*loss+p.lost/10 && gain-loss > best.Gain {
				best = RoleChange{engine, to, gain - loss}
			}
		}
	}
	return best
}

// pick returns the engine with the role that changed least often of late, or
// -1 when none may change.
func (r *RolesRequest) pick(role Role, weights Preferences) (engine int) {
	engine, least := -1, weights.MaxRoleChanges
	for i := range r.Engines {
		e := &r.Engines[i]
		if e.Role != role || e.Unavailable {
			continue
		}
		n := e.recent(r.Now, weights.RoleChangeWindow)
		if e.Fencing == fleet.FencingIgnored {
			// An order that arrives late can't be refused, so these change last
			// and half as often.
			n = 2*n + 1
		}
		if n < least {
			engine, least = i, n
		}
	}
	return engine
}

// needs returns the engines needed by role so that waiting work is done within
// the horizon.
func (d Demand) needs(horizon time.Duration) (need counts) {
	need[Prefill] = d.Prefill + d.QueuedPrefill.Seconds()/horizon.Seconds()
	need[Decode] = d.Decode + d.QueuedDecode.Seconds()/horizon.Seconds()
	return need
}

// Engines returns the total number of engines needed.
func (d Demand) Engines(horizon time.Duration) float64 {
	need := d.needs(horizon)
	return need[Prefill] + need[Decode]
}

// served returns the largest factor by which the needs can be multiplied and
// still be served, which is the share of requests served when below 1. Mixed
// engines divide their time as needed, so the factor is limited by either kind
// of work alone or by both together. Up to full it counts in full; room beyond
// it counts a tenth, so that spare engines go where they are next needed.
func (p *rolePlan) served(n counts) float64 {
	const spare = 0.1
	r, need, full := p.request, p.need, p.weights.RoleHeadroom
	factor := 2 * full
	if need[Prefill] > 0 {
		// Mixed engines keep the requests that they prefill, so decode engines
		// are only fed by prefill engines.
		n[Decode] = min(n[Decode], need[Decode]*n[Prefill]/need[Prefill])
	}
	if need[Prefill] > 0 {
		factor = min(factor, (n[Prefill]+r.MixedPrefill*n[Mixed])/need[Prefill])
	}
	if need[Decode] > 0 {
		factor = min(factor, (n[Decode]+r.MixedDecode*n[Mixed])/need[Decode])
	}
	if both := need[Prefill]/r.MixedPrefill + need[Decode]/r.MixedDecode; both > 0 {
		factor = min(factor, (n[Mixed]+n[Prefill]/r.MixedPrefill+n[Decode]/r.MixedDecode)/both)
	}
	if factor > full {
		return full + spare*(factor-full)
	}
	return factor
}

// recent counts the engine's changes within the swing.
func (e *EngineRole) recent(now time.Time, swing time.Duration) (n int) {
	for _, changed := range e.RoleChanges {
		if now.Sub(changed) < swing {
			n++
		}
	}
	return n
}

// String returns the name used in logs and orders.
func (r Role) String() string {
	switch r {
	case Prefill:
		return "Prefill"
	case Decode:
		return "Decode"
	default:
		return "Mixed"
	}
}
