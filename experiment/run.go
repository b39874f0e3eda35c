package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/rendezvous"
)

const (
	reportEvery = 500 * time.Millisecond
	reportLag   = 500 * time.Millisecond // reports are 0.5 to 1 s old when used
	planEvery   = 5 * time.Second
	notice      = 5 * time.Second // before a reclaim
	regions     = 3
	entryNodes  = 9
	pricePerGB  = 0.02
	tokenBytes  = 200 // of a streamed answer token, with framing

	// speedSlots is the number of slots that stand for the speed of an engine
	// that only prefills, and limit the load per slot that it does in time.
	speedSlots = 8
	limit      = int64(firstTokenObjective) * prefillPerSecond / speedSlots / int64(time.Second)
)

type (
	event struct {
		at  time.Duration
		seq int
		do  func()
	}

	// sim runs one scenario with one set of decisions.
	sim struct {
		now           time.Duration
		seq           int
		events        []event // the next one last
		weights       policy.Preferences
		naive         bool
		fixed         int // engines in service all the time; 0 lets the capacity plan decide
		deployment    deployment
		scenario      scenario
		engines       []*engine
		next          int // round robin over engines
		nextDesk      int // and over workers of the plain service
		demand        [regions]meter
		capacity      [regions]policy.CapacityState
		noReclaimable [regions]bool // no reclaimable upstreams in the region

		candidates []policy.Candidate
		targets    []*engine

		work, reclaimableWork float64
	}

	// meter measures the arriving work of a region.
	meter struct {
		prompt, requests float64 // since the last plan
		promptRate, rate float64 // smoothed, per second
		answer           float64 // smoothed mean
		cached           float64 // smoothed share of prompt tokens found in a cache
	}
)

func newSim(d deployment, s scenario, weights policy.Preferences, naive bool, fixed int) *sim {
	run := &sim{weights: weights, naive: naive, fixed: fixed, deployment: d, scenario: s}
	request := policy.CapacityRequest{InterruptibleShare: 1}
	total := d.engines * regions
	if fixed > 0 {
		total = fixed
	}
	for region := range regions {
		n := (total + regions - 1 - region) / regions
		for i := range n {
			e := run.add(region, !naive && i < request.MaxReclaimable(n, weights))
			e.state = up
		}
		e := run.add(region, false)
		e.desk, e.state, e.role = true, up, policy.Prefill
	}
	return run
}

func (s *sim) add(region int, reclaimable bool) *engine {
	key := fmt.Sprintf("%s/engine-%d", s.deployment.name, len(s.engines))
	e := &engine{
		sim: s, key: key, hash: rendezvous.Hash(key), region: region, reclaimable: reclaimable,
		queue: policy.NewQueue(policy.QueueOptions{}), cache: map[uint64]int64{}, since: s.now,
	}
	s.engines = append(s.engines, e)
	return e
}

func (s *sim) run(requests []*request) {
	for _, r := range slices.Backward(requests) {
		s.at(r.arrived, func() { s.arrive(r) })
	}
	s.every(reportEvery, func() {
		for _, e := range s.engines {
			load := e.load()
			s.after(reportLag, func() { e.digest = load })
		}
	})
	if !s.naive {
		s.every(planEvery, s.plan)
	}
	if s.scenario.reclaim > 0 {
		s.at(s.scenario.reclaim, func() { s.reclaim(0) })
	}
	for len(s.events) > 0 {
		e := s.events[len(s.events)-1]
		s.events = s.events[:len(s.events)-1]
		s.now = e.at
		e.do()
	}
	for _, e := range s.engines {
		e.leave(min(s.now, s.scenario.length))
	}
}

func (s *sim) arrive(r *request) {
	if !r.desk {
		m := &s.demand[r.region]
		m.requests++
		m.prompt += float64(r.prompt)
	}
	s.dispatch(r)
}

// dispatch places a request for its prefill. Requests that already have some
// of their answer are resumed and can't be refused.
func (s *sim) dispatch(r *request) {
	if s.naive {
		s.roundRobin(r)
		return
	}
	s.collect(r, policy.Prefill)
	request := policy.PlaceRequest{
		Prefix: r.prefix, HashKey: r.id, Domain: domain(r.region), Region: domain(r.region),
		Cost: int64(r.prompt), Limit: limit, NoSpill: !s.spills(r),
	}
	var buffer [policy.MaxChoices]policy.Choice
	choices := policy.Place(buffer[:0], request, s.candidates, s.weights)
	var targets []*engine
	for _, choice := range choices {
		targets = append(targets, s.targets[choice.Index])
	}
	s.try(r, targets)
}

func (s *sim) roundRobin(r *request) {
	next := &s.next
	if r.desk {
		next = &s.nextDesk
	}
	for range s.engines {
		*next = (*next + 1) % len(s.engines)
		if e := s.engines[*next]; e.desk == r.desk {
			r.hop = s.hop(r.region, e.region) + s.deployment.clientHop
			s.after(r.hop, func() { e.push(r) })
			return
		}
	}
}

// try asks the schedulers of the targets in turn.
func (s *sim) try(r *request, targets []*engine) {
	if len(targets) == 0 {
		if r.refused = r.emitted == 0; !r.refused {
			s.after(planEvery/10, func() { s.dispatch(r) })
		}
		return
	}
	e := targets[0]
	e.sent[r.node()].Add(clock(s.now), int64(r.prompt))
	hop := s.hop(r.region, e.region)
	r.hop = hop + s.deployment.clientHop
	s.after(hop, func() {
		last := r.emitted > 0 && len(targets) == 1
		if e.state == up && (last || e.admit(r)) || last && e.state == leaving {
			e.push(r)
		} else {
			s.after(hop, func() { s.try(r, targets[1:]) })
		}
	})
}

// handOver moves a prefilled request to an engine that decodes.
func (s *sim) handOver(from *engine, r *request) {
	s.collect(r, policy.Decode)
	request := policy.PlaceRequest{HashKey: r.id, Domain: domain(from.region), Region: domain(from.region), Cost: int64(r.answer * 4)}
	var buffer [policy.MaxChoices]policy.Choice
	choices := policy.Place(buffer[:0], request, s.candidates, s.weights)
	if len(choices) == 0 {
		from.decoding = append(from.decoding, r)
		return
	}
	to := s.targets[choices[0].Index]
	pieces := time.Duration(r.prompt/policy.BlockTokens + 1)
	s.after(pieces*transferPiece+s.hop(from.region, to.region), func() {
		if to.state != up {
			s.handOver(from, r)
			return
		}
		r.moved = true
		r.attempts-- // the same attempt continues
		to.push(r)
	})
}

// collect fills the candidates for a stage of the request.
func (s *sim) collect(r *request, stage policy.Role) {
	s.candidates, s.targets = s.candidates[:0], s.targets[:0]
	for _, e := range s.engines {
		if e.desk != r.desk || e.state != up || (e.role != stage && e.role != policy.Mixed) {
			continue
		}
		c := policy.Candidate{Hash: e.hash, Domain: domain(e.region), Region: domain(e.region)}
		if stage == policy.Prefill {
			// Slots stand for speed: a mixed engine prefills more slowly.
			sent := e.sent[r.node()].Since(clock(e.digest.taken), clock(s.now))
			c.Queued = e.digest.prefill + sent + int64(e.next().Seconds()*prefillPerSecond)
			c.Slots = max(int(e.speed(int(e.digest.batch))*speedSlots/prefillPerSecond), 1)
		} else {
			c.Queued, c.Slots = e.digest.decode, e.slots()
		}
		if e.region != r.region {
			c.NetworkCost = int64(s.deployment.betweenHops.Seconds() * 2 * prefillPerSecond / speedSlots)
		}
		s.candidates = append(s.candidates, c)
		s.targets = append(s.targets, e)
	}
}

func (s *sim) spills(r *request) bool {
	home, away := time.Hour, time.Hour
	for i, c := range s.candidates {
		wait := time.Duration(float64(c.Queued+int64(r.prompt)) / float64(c.Slots) * speedSlots / prefillPerSecond * float64(time.Second))
		if s.targets[i].region == r.region {
			home = min(home, wait)
		} else {
			away = min(away, wait)
		}
	}
	return policy.Spill(policy.SpillRequest{
		Home: home, Remote: away, Latency: s.deployment.betweenHops, Objective: firstTokenObjective,
		Bytes: int64(r.prompt*policy.BytesPerToken + r.answer*tokenBytes), Price: pricePerGB,
	}, s.weights).Spill
}

func (s *sim) item(r *request) *policy.Item {
	item := &policy.Item{Workspace: workspaceName(r.workspace), Weight: quotas[r.workspace], Cost: r.cost, Value: r}
	switch {
	case s.naive:
		item.Workspace, item.Weight = "all", 1 // one for all is first come, first served
	case r.emitted > 0:
		item.Priority = 9
	}
	return item
}

func (s *sim) hop(from, to int) time.Duration {
	if from == to {
		return 100 * time.Microsecond
	}
	return s.deployment.betweenHops
}

func (s *sim) at(at time.Duration, do func()) {
	s.seq++
	e := event{at, s.seq, do}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.seq, a.seq))
	})
	s.events = slices.Insert(s.events, i, e)
}

func (s *sim) after(delay time.Duration, do func()) { s.at(s.now+delay, do) }

// every repeats until the scenario ends.
func (s *sim) every(period time.Duration, do func()) {
	s.after(period, func() {
		do()
		if s.now < s.scenario.length {
			s.every(period, do)
		}
	})
}

func domain(region int) string { return [regions]string{"domain-a", "domain-b", "domain-c"}[region] }

func workspaceName(w int) string { return "workspace-" + string(rune('a'+w)) }
