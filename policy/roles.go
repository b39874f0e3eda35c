package policy

import (
	"time"

	"github.com/guavagauge/guavagauge/fleet"
)

// Roles of an engine.
const (
	// Mixed is the role of engines that prefill and decode in the same batch
	// steps.
	Mixed Role = iota
	// Prefill is the role of engines that hand requests over to another engine
	// after the first token.
	Prefill
	// Decode is the role of engines that continue requests that another engine
	// prefilled.
	Decode
)

type (
	// Role is the stage of requests that an engine serves: prefill, decode or
	// both.
	Role uint8

	// Demand is the work of a failure domain.
	Demand struct {
		// Prefill and Decode are the arriving work, as the number of engines with
		// the matching role that it keeps busy.
		Prefill float64
		Decode  float64
		// QueuedPrefill and QueuedDecode are the work that already waits or
		// remains of running requests, as the time that one engine with the
		// matching role needs for it.
		QueuedPrefill time.Duration
		QueuedDecode  time.Duration
	}

	// EngineRole describes an engine to PlanRoles.
	EngineRole struct {
		Role Role // the target role during a change; one of the three roles
		// RoleChanges are the times of the latest role changes.
		RoleChanges []time.Time
		Fencing     fleet.Fencing
		// Unavailable reports whether the engine is starting, draining or changing
		// its role.
		Unavailable bool
	}

	// RolesRequest is the state of one failure domain for PlanRoles.
	// MixedPrefill and MixedDecode are the throughput of a mixed engine that does
	// only one of the two, relative to an engine with that role. Both must be
	// above 0.
	RolesRequest struct {
		Now          time.Time
		Demand       Demand
		Engines      []EngineRole
		ChangeTime   time.Duration // time out of service during a role change
		MixedPrefill float64
		MixedDecode  float64
	}

	// RoleChange is a planned change of the role of one engine.
	RoleChange struct {
		Engine int // index in RolesRequest.Engines
		To     Role
		// Gain is the work gained within the horizon, less the work lost during
		// the change, in seconds of one engine.
		Gain float64
	}

	// rolePlan holds the inputs for comparing role changes.
	rolePlan struct {
		request       *RolesRequest
		needed        roleCounts
		preferences   Preferences
		changeSeconds float64 // time out of service during a role change
	}

	// roleCounts is the number of engines by role.
	roleCounts [3]float64
)

// PlanRoles returns the role change to make now, if any. At most a third of the
// engines, but at least one, may be out of service at the same time.
//
// A change must gain more work within RoleHorizon than is lost while the engine
// is out of service. RoleHorizon must be longer than ChangeTime, because the gain
// begins only after the change. Mixed engines absorb a swing in demand until a
// change pays off.
func PlanRoles(request RolesRequest, preferences Preferences) (change RoleChange, ok bool) {
	needed := request.Demand.neededEngines(preferences.RoleHorizon)
	var current roleCounts
	unavailable := 0
	for i := range request.Engines {
		if request.Engines[i].Unavailable {
			unavailable++
		}
		current[request.Engines[i].Role]++
	}
	if unavailable >= max(len(request.Engines)/3, 1) {
		return change, false
	}
	plan := rolePlan{&request, needed, preferences, request.ChangeTime.Seconds()}
	change = plan.bestChange(current)
	return change, change.Gain > 0
}

// bestChange returns the change with the largest gain, or the zero value if no
// change is worthwhile. A capacity factor times the number of needed engines is
// the work that the fleet can serve, as a number of engines. Times seconds, it is in
// seconds of one engine, the unit of RoleChange.Gain.
func (p *rolePlan) bestChange(current roleCounts) (best RoleChange) {
	totalNeeded := p.needed[Prefill] + p.needed[Decode]
	currentFactor := p.capacityFactor(current)
	for from := Mixed; from <= Decode; from++ {
		engine := p.request.pickEngine(from, p.preferences)
		if engine < 0 {
			continue
		}
		during := current
		during[from]--
		// The fleet consists of during while the engine changes, and of after
		// from then on.
		loss := max((currentFactor-p.capacityFactor(during))*totalNeeded, 0) * p.changeSeconds
		for to := Mixed; to <= Decode; to++ {
			if to == from {
				continue
			}
			after := during
			after[to]++
			gain := (p.capacityFactor(after) - currentFactor) * totalNeeded * (p.preferences.RoleHorizon.Seconds() - p.changeSeconds)
			// The tenth of the change time rules out changes that lose nothing
			// but gain hardly anything.
			if gain > p.preferences.RoleGain*loss+p.changeSeconds/10 && gain-loss > best.Gain {
				best = RoleChange{engine, to, gain - loss}
			}
		}
	}
	return best
}

// pickEngine returns the index of the engine with the given role that has the
// fewest recent role changes, or -1 if none may change.
func (r *RolesRequest) pickEngine(role Role, preferences Preferences) (engine int) {
	engine, fewest := -1, preferences.MaxRoleChanges
	for i := range r.Engines {
		e := &r.Engines[i]
		if e.Role != role || e.Unavailable {
			continue
		}
		n := e.recentChanges(r.Now, preferences.RoleChangeWindow)
		if e.Fencing == fleet.FencingIgnored {
			// The engine doesn't refuse an outdated order that arrives late. It
			// changes last, hence one more, and half as often, hence twice.
			n = 2*n + 1
		}
		if n < fewest {
			engine, fewest = i, n
		}
	}
	return engine
}

// neededEngines returns the number of engines needed by role to serve the
// arriving work and to finish the queued work within the horizon.
func (d Demand) neededEngines(horizon time.Duration) (needed roleCounts) {
	needed[Prefill] = d.Prefill + d.QueuedPrefill.Seconds()/horizon.Seconds()
	needed[Decode] = d.Decode + d.QueuedDecode.Seconds()/horizon.Seconds()
	return needed
}

// Engines returns the total number of engines needed to serve the arriving work
// and to finish the queued work within the horizon.
func (d Demand) Engines(horizon time.Duration) float64 {
	needed := d.neededEngines(horizon)
	return needed[Prefill] + needed[Decode]
}

// capacityFactor returns the largest factor by which the demand can be
// multiplied and still be served by the given engines; a factor below 1 is the
// share of requests served. Mixed engines divide their time as needed, so the
// factor is limited by prefill alone, by decode alone and by both together. The
// part above the planned headroom counts only a tenth, so that spare engines get
// the role that is needed next. Factors above twice the headroom aren't told apart.
func (p *rolePlan) capacityFactor(engines roleCounts) float64 {
	const spareWeight = 0.1
	r, needed, headroom := p.request, p.needed, p.preferences.RoleHeadroom
	factor := 2 * headroom
	if needed[Prefill] > 0 {
		// Mixed engines also decode the requests that they prefill, so decode
		// engines only get work from prefill engines.
		engines[Decode] = min(engines[Decode], needed[Decode]*engines[Prefill]/needed[Prefill])
	}
	if needed[Prefill] > 0 {
		factor = min(factor, (engines[Prefill]+r.MixedPrefill*engines[Mixed])/needed[Prefill])
	}
	if needed[Decode] > 0 {
		factor = min(factor, (engines[Decode]+r.MixedDecode*engines[Mixed])/needed[Decode])
	}
	if combined := needed[Prefill]/r.MixedPrefill + needed[Decode]/r.MixedDecode; combined > 0 {
		factor = min(factor, (engines[Mixed]+engines[Prefill]/r.MixedPrefill+engines[Decode]/r.MixedDecode)/combined)
	}
	if factor > headroom {
		return headroom + spareWeight*(factor-headroom)
	}
	return factor
}

// recentChanges returns the number of the engine's role changes within the
// window before now.
func (e *EngineRole) recentChanges(now time.Time, window time.Duration) (n int) {
	for _, changed := range e.RoleChanges {
		if now.Sub(changed) < window {
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
