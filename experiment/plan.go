package experiment

import (
	"time"

	"github.com/guavagauge/guavagauge/policy"
)

// Weights of the newest sample in exponential moving averages.
const (
	demandSmoothing = 0.3  // of the rates of prompt tokens and requests; a sample per plan
	answerSmoothing = 0.02 // of the answer length and of the cached share; a sample per request
)

// plan runs the role plan and the capacity plan of each region.
func (s *sim) plan() {
	for region := range regions {
		demand := s.meters[region].update()
		var all []*engine
		for _, e := range s.engines {
			if e.region == region && !e.plain && e.state != terminated {
				all = append(all, e)
				if e.state == serving {
					load := e.load()
					demand.QueuedPrefill += seconds(float64(load.prefill) / prefillTokensPerSecond)
					demand.QueuedDecode += seconds(float64(load.decode) / policy.DefaultTokenCosts.Decode * decodeSecondsPerToken)
				}
			}
		}
		s.planRoles(all, demand)
		if s.fixedEngines == 0 {
			s.planCapacity(region, all, demand)
		}
	}
}

// planRoles starts at most one role change among the region's engines.
func (s *sim) planRoles(all []*engine, demand policy.Demand) {
	request := policy.RolesRequest{
		Now: toTime(s.now), Demand: demand, ChangeTime: roleChangeTime,
		MixedPrefill: mixedPrefillShare, MixedDecode: mixedDecodeShare,
	}
	var candidates []*engine
	for _, e := range all {
		if e.state == starting || e.released {
			continue
		}
		candidates = append(candidates, e)
		request.Engines = append(request.Engines, policy.EngineRole{
			Role: e.target, RoleChanges: e.roleChanges, Unavailable: e.state != serving,
		})
	}
	change, ok := policy.PlanRoles(request, s.preferences)
	if !ok {
		return
	}
	e := candidates[change.Engine]
	e.roleChanges = append(e.roleChanges, toTime(s.now))
	e.target = change.To
	s.drain(e, func() {
		s.after(roleChangeTime, func() {
			if e.state == draining {
				e.role, e.state = change.To, serving
			}
		})
	})
}

// planCapacity starts and stops engines of the region.
func (s *sim) planCapacity(region int, all []*engine, demand policy.Demand) {
	request := policy.CapacityRequest{
		Now: toTime(s.now), RequiredUpstreams: demand.Engines(s.preferences.RoleHorizon), InterruptibleShare: 1,
		Max: s.deployment.engines * 4 / 3, ReclaimableUnavailable: s.reclaimableUnavailable[region],
	}
	for _, e := range all {
		switch {
		case e.released:
		case e.reclaimable:
			request.Reclaimable++
		default:
			request.Reserved++
		}
	}
	plan, next := policy.PlanCapacity(s.capacity[region], request, s.preferences)
	s.capacity[region] = next
	for i := range plan.StartReserved + plan.StartReclaimable {
		e := s.addEngine(region, i >= plan.StartReserved)
		s.after(startTime, func() {
			if e.state == starting {
				e.state, e.servingSince = serving, s.now
			}
		})
	}
	s.stopEngines(all, plan.StopReserved, false)
	s.stopEngines(all, plan.StopReclaimable, true)
}

// stopEngines drains and stops the n least loaded engines of the given kind.
func (s *sim) stopEngines(all []*engine, n int, reclaimable bool) {
	for range n {
		var leastLoaded *engine
		for _, e := range all {
			if e.state == serving && e.reclaimable == reclaimable && (leastLoaded == nil || e.load().total() < leastLoaded.load().total()) {
				leastLoaded = e
			}
		}
		if leastLoaded != nil {
			s.release(leastLoaded)
		}
	}
}

// release drains an engine and then stops it.
func (s *sim) release(e *engine) {
	e.released = true
	s.drain(e, func() { e.terminate(s.now) })
}

// drain dispatches the queued requests to other engines, lets the running ones
// finish and then calls onDrained.
func (s *sim) drain(e *engine, onDrained func()) {
	e.state, e.onDrained = draining, onDrained
	for _, r := range e.removeQueued() {
		s.dispatch(r)
	}
	e.startStep()
}

// reclaimRegion stops the reclaimable engines of a region once the notice has
// passed. Streams that can't finish within nine tenths of the notice, at stepLimit
// per token, are resumed elsewhere at once.
func (s *sim) reclaimRegion(region int) {
	s.reclaimableUnavailable[region] = true
	for _, e := range s.engines {
		switch {
		case e.region != region || !e.reclaimable || e.state == terminated:
			continue
		case e.state == starting:
			e.terminate(s.now)
			continue
		}
		s.release(e)
		remaining := e.decoding[:0]
		for _, r := range e.decoding {
			if time.Duration(r.answer-r.emitted)*stepLimit < reclaimNotice*9/10 {
				remaining = append(remaining, r)
			} else {
				s.dispatch(r)
			}
		}
		e.decoding = remaining
		s.after(reclaimNotice, func() {
			for _, r := range append(e.decoding, e.prefilling...) {
				r.lost = true
			}
			e.terminate(s.now)
		})
	}
}

// terminate ends the engine's service and stops its spend.
func (e *engine) terminate(now time.Duration) {
	if e.state != starting && e.state != terminated {
		e.serviceTime = max(now-e.servingSince, 0)
	}
	e.state = terminated
}

// update adds the counts since the last plan to the moving averages, resets the
// counts and returns the demand.
func (m *meter) update() (d policy.Demand) {
	m.promptRate += demandSmoothing * (m.prompt/planInterval.Seconds() - m.promptRate)
	m.requestRate += demandSmoothing * (m.requests/planInterval.Seconds() - m.requestRate)
	m.prompt, m.requests = 0, 0
	d.Prefill = m.promptRate * (1 - m.cachedShare) / prefillTokensPerSecond
	d.Decode = m.requestRate * m.meanAnswer * decodeSecondsPerToken
	return d
}
