package experiment

import (
	"time"

	"github.com/guavagauge/guavagauge/policy"
)

// Weights of the newest measurement in smoothed ones.
const (
	smoothing       = 0.3  // arriving work, each plan
	answerSmoothing = 0.02 // length and cached share, each answer
)

// plan runs the role and capacity plans of each region.
func (s *sim) plan() {
	for region := range regions {
		demand := s.demand[region].update()
		var all []*engine
		for _, e := range s.engines {
			if e.region == region && !e.desk && e.state != gone {
				all = append(all, e)
				if e.state == up {
					load := e.load()
					demand.QueuedPrefill += seconds(float64(load.prefill) / prefillPerSecond)
					demand.QueuedDecode += seconds(float64(load.decode) / policy.DefaultTokenCosts.Decode * decodeSeconds)
				}
			}
		}
		s.planRoles(all, demand)
		if s.fixed == 0 {
			s.planCapacity(region, all, demand)
		}
	}
}

func (s *sim) planRoles(all []*engine, demand policy.Demand) {
	request := policy.RolesRequest{
		Now: clock(s.now), Demand: demand, ChangeTime: roleChangeTime,
		MixedPrefill: mixedPrefill, MixedDecode: mixedDecode,
	}
	var serving []*engine
	for _, e := range all {
		if e.state == starting || e.stopped {
			continue
		}
		serving = append(serving, e)
		request.Engines = append(request.Engines, policy.EngineRole{
			Role: e.target, RoleChanges: e.changes, Unavailable: e.state != up,
		})
	}
	change, ok := policy.PlanRoles(request, s.weights)
	if !ok {
		return
	}
	e := serving[change.Engine]
	e.changes = append(e.changes, clock(s.now))
	e.target = change.To
	s.drain(e, func() {
		s.after(roleChangeTime, func() {
			if e.state == leaving {
				e.role, e.state = change.To, up
			}
		})
	})
}

func (s *sim) planCapacity(region int, all []*engine, demand policy.Demand) {
	request := policy.CapacityRequest{
		Now: clock(s.now), RequiredUpstreams: demand.Engines(s.weights.RoleHorizon), InterruptibleShare: 1,
		Max: s.deployment.engines * 4 / 3, ReclaimableUnavailable: s.noReclaimable[region],
	}
	for _, e := range all {
		switch {
		case e.stopped:
		case e.reclaimable:
			request.Reclaimable++
		default:
			request.Reserved++
		}
	}
	plan, next := policy.PlanCapacity(s.capacity[region], request, s.weights)
	s.capacity[region] = next
	for i := range plan.StartReserved + plan.StartReclaimable {
		e := s.add(region, i >= plan.StartReserved)
		s.after(startTime, func() {
			if e.state == starting {
				e.state, e.since = up, s.now
			}
		})
	}
	s.stop(all, plan.StopReserved, false)
	s.stop(all, plan.StopReclaimable, true)
}

// stop drains the n least loaded engines of the kind.
func (s *sim) stop(all []*engine, n int, reclaimable bool) {
	for range n {
		var least *engine
		for _, e := range all {
			if e.state == up && e.reclaimable == reclaimable && (least == nil || e.load().total() < least.load().total()) {
				least = e
			}
		}
		if least != nil {
			s.release(least)
		}
	}
}

func (s *sim) release(e *engine) {
	e.stopped = true
	s.drain(e, func() { e.leave(s.now) })
}

// drain places waiting work elsewhere, lets running work end, then calls then.
func (s *sim) drain(e *engine, then func()) {
	e.state, e.then = leaving, then
	for _, r := range e.take() {
		s.dispatch(r)
	}
	e.run()
}

// reclaim takes the reclaimable engines of a region after the notice. Streams
// that can't end before are resumed elsewhere at once.
func (s *sim) reclaim(region int) {
	s.noReclaimable[region] = true
	for _, e := range s.engines {
		switch {
		case e.region != region || !e.reclaimable || e.state == gone:
			continue
		case e.state == starting:
			e.leave(s.now)
			continue
		}
		s.release(e)
		kept := e.decoding[:0]
		for _, r := range e.decoding {
			if time.Duration(r.answer-r.emitted)*stepLimit < notice*9/10 {
				kept = append(kept, r)
			} else {
				s.dispatch(r)
			}
		}
		e.decoding = kept
		s.after(notice, func() {
			for _, r := range append(e.decoding, e.prefilling...) {
				r.lost = true
			}
			e.leave(s.now)
		})
	}
}

// leave ends the service and the spend.
func (e *engine) leave(now time.Duration) {
	if e.state != starting && e.state != gone {
		e.spent = max(now-e.since, 0)
	}
	e.state = gone
}

// update returns the smoothed demand and starts a new measurement.
func (m *meter) update() (d policy.Demand) {
	m.promptRate += smoothing * (m.prompt/planEvery.Seconds() - m.promptRate)
	m.rate += smoothing * (m.requests/planEvery.Seconds() - m.rate)
	m.prompt, m.requests = 0, 0
	d.Prefill = m.promptRate * (1 - m.cached) / prefillPerSecond
	d.Decode = m.rate * m.answer * decodeSeconds
	return d
}
