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
	reportInterval   = 500 * time.Millisecond
	reportDelay      = 500 * time.Millisecond // a report is 0.5 to 1 s old when used
	planInterval     = 5 * time.Second
	reclaimNotice    = 5 * time.Second // between the notice and the reclaim
	regions          = 3
	entryNodes       = 9
	pricePerGB       = 0.02 // of transfers between regions, for policy.Spill
	answerTokenBytes = 200  // of a streamed token, framing included

	// speedSlots is the number of slots that placement assumes for an engine
	// that only prefills; slower engines have fewer. loadPerSlotLimit is the load
	// per slot, in prompt tokens, that an engine can prefill within the first token
	// objective.
	speedSlots       = 8
	loadPerSlotLimit = int64(firstTokenObjective) * prefillTokensPerSecond / speedSlots / int64(time.Second)
)

type (
	// event is a function that the simulation calls at a point of virtual time.
	event struct {
		at  time.Duration
		seq int
		do  func()
	}

	// sim is the simulation of one scenario in one deployment.
	sim struct {
		now                    time.Duration
		seq                    int
		events                 []event // in descending order; the last is due next
		preferences            policy.Preferences
		naive                  bool
		fixedEngines           int // constant number of engines; 0 if the capacity plan decides
		deployment             deployment
		scenario               scenario
		engines                []*engine
		nextEngine             int // index for round robin over engines
		nextPlainWorker        int // index for round robin over workers of the plain service
		meters                 [regions]meter
		capacity               [regions]policy.CapacityState
		reclaimableUnavailable [regions]bool // from the reclaim notice to the end of the simulation

		candidates []policy.Candidate
		targets    []*engine

		workDone, reclaimableWorkDone float64
	}

	// meter measures the demand of a region.
	meter struct {
		prompt, requests        float64 // since the last plan
		promptRate, requestRate float64 // smoothed, per second
		meanAnswer              float64 // smoothed length in tokens
		cachedShare             float64 // smoothed share of prompt tokens found in the prefix cache
	}
)

// newSim returns a simulation whose initial fleet is in service. fixedEngines,
// if not 0, is the constant number of engines in all regions together.
func newSim(d deployment, s scenario, preferences policy.Preferences, naive bool, fixedEngines int) *sim {
	run := &sim{preferences: preferences, naive: naive, fixedEngines: fixedEngines, deployment: d, scenario: s}
	request := policy.CapacityRequest{InterruptibleShare: 1}
	total := d.engines * regions
	if fixedEngines > 0 {
		total = fixedEngines
	}
	for region := range regions {
		n := (total + regions - 1 - region) / regions
		for i := range n {
			e := run.addEngine(region, !naive && i < request.MaxReclaimable(n, preferences))
			e.state = serving
		}
		e := run.addEngine(region, false)
		e.plain, e.state, e.role = true, serving, policy.Prefill
	}
	return run
}

// addEngine adds a mixed engine that is still starting.
func (s *sim) addEngine(region int, reclaimable bool) *engine {
	key := fmt.Sprintf("%s/engine-%d", s.deployment.name, len(s.engines))
	e := &engine{
		sim: s, key: key, hash: rendezvous.Hash(key), region: region, reclaimable: reclaimable,
		queue: policy.NewQueue(policy.QueueOptions{}), cache: map[uint64]int64{}, servingSince: s.now,
	}
	s.engines = append(s.engines, e)
	return e
}

// run simulates the requests until no event is left.
func (s *sim) run(requests []*request) {
	for _, r := range slices.Backward(requests) {
		s.schedule(r.arrivedAt, func() { s.arrive(r) })
	}
	s.every(reportInterval, func() {
		for _, e := range s.engines {
			load := e.load()
			s.after(reportDelay, func() { e.report = load })
		}
	})
	if !s.naive {
		s.every(planInterval, s.plan)
	}
	if s.scenario.reclaimAt > 0 {
		s.schedule(s.scenario.reclaimAt, func() { s.reclaimRegion(0) })
	}
	for len(s.events) > 0 {
		e := s.events[len(s.events)-1]
		s.events = s.events[:len(s.events)-1]
		s.now = e.at
		e.do()
	}
	for _, e := range s.engines {
		e.terminate(min(s.now, s.scenario.duration))
	}
}

// arrive counts a new request as demand and dispatches it.
func (s *sim) arrive(r *request) {
	if !r.plain {
		m := &s.meters[r.region]
		m.requests++
		m.prompt += float64(r.prompt)
	}
	s.dispatch(r)
}

// dispatch places a request for its prefill. A request whose caller already has
// a part of the answer is resumed and never refused.
func (s *sim) dispatch(r *request) {
	if s.naive {
		s.dispatchRoundRobin(r)
		return
	}
	s.collectCandidates(r, policy.Prefill)
	request := policy.PlaceRequest{
		Prefix: r.prefix, HashKey: r.id, Domain: domain(r.region), Region: domain(r.region),
		Cost: int64(r.prompt), Limit: loadPerSlotLimit, NoSpill: !s.shouldSpill(r),
	}
	var buffer [policy.MaxChoices]policy.Choice
	choices := policy.Place(buffer[:0], request, s.candidates, s.preferences)
	var targets []*engine
	for _, choice := range choices {
		targets = append(targets, s.targets[choice.Index])
	}
	s.tryTargets(r, targets)
}

// dispatchRoundRobin sends a request to the next engine of its kind, whatever
// its load.
func (s *sim) dispatchRoundRobin(r *request) {
	next := &s.nextEngine
	if r.plain {
		next = &s.nextPlainWorker
	}
	for range s.engines {
		*next = (*next + 1) % len(s.engines)
		if e := s.engines[*next]; e.plain == r.plain {
			r.latency = s.latency(r.region, e.region) + s.deployment.clientLatency
			s.after(r.latency, func() { e.enqueue(r) })
			return
		}
	}
}

// tryTargets offers the request to the schedulers of the targets in turn, until
// one admits it. A request that none admits is refused, or dispatched again if
// it is a resumed one. The last target of a resumed request takes it without
// asking the admission policy, even while it drains.
func (s *sim) tryTargets(r *request, targets []*engine) {
	if len(targets) == 0 {
		if r.refused = r.emitted == 0; !r.refused {
			s.after(planInterval/10, func() { s.dispatch(r) })
		}
		return
	}
	e := targets[0]
	e.sentCosts[r.entryNode()].Add(toTime(s.now), int64(r.prompt))
	latency := s.latency(r.region, e.region)
	r.latency = latency + s.deployment.clientLatency
	s.after(latency, func() {
		last := r.emitted > 0 && len(targets) == 1
		if e.state == serving && (last || e.wouldAdmit(r)) || last && e.state == draining {
			e.enqueue(r)
		} else {
			s.after(latency, func() { s.tryTargets(r, targets[1:]) })
		}
	})
}

// transfer moves a prefilled request with its KV cache to an engine that decodes.
func (s *sim) transfer(from *engine, r *request) {
	s.collectCandidates(r, policy.Decode)
	// The cost of a token is 4, as in policy.DefaultTokenCosts.Decode.
	request := policy.PlaceRequest{HashKey: r.id, Domain: domain(from.region), Region: domain(from.region), Cost: int64(r.answer * 4)}
	var buffer [policy.MaxChoices]policy.Choice
	choices := policy.Place(buffer[:0], request, s.candidates, s.preferences)
	if len(choices) == 0 {
		from.decoding = append(from.decoding, r)
		return
	}
	to := s.targets[choices[0].Index]
	blocks := time.Duration(r.prompt/policy.BlockTokens + 1)
	s.after(blocks*blockTransferTime+s.latency(from.region, to.region), func() {
		if to.state != serving {
			s.transfer(from, r)
			return
		}
		r.transferred = true
		r.attempts-- // the same attempt continues
		to.enqueue(r)
	})
}

// collectCandidates sets candidates and targets to the engines that can run a
// stage of the request.
func (s *sim) collectCandidates(r *request, stage policy.Role) {
	s.candidates, s.targets = s.candidates[:0], s.targets[:0]
	for _, e := range s.engines {
		if e.plain != r.plain || e.state != serving || (e.role != stage && e.role != policy.Mixed) {
			continue
		}
		c := policy.Candidate{Hash: e.hash, Domain: domain(e.region), Region: domain(e.region)}
		if stage == policy.Prefill {
			// The slots represent the engine's speed, since a mixed engine
			// prefills more slowly.
			sent := e.sentCosts[r.entryNode()].Since(toTime(e.report.sampledAt), toTime(s.now))
			c.Queued = e.report.prefill + sent + int64(e.nextStageWait().Seconds()*prefillTokensPerSecond)
			c.Slots = max(int(e.prefillSpeed(int(e.report.batch))*speedSlots/prefillTokensPerSecond), 1)
		} else {
			c.Queued, c.Slots = e.report.decode, e.slots()
		}
		if e.region != r.region {
			// The prompt tokens that one slot prefills in a round trip.
			c.NetworkCost = int64(s.deployment.interRegionLatency.Seconds() * 2 * prefillTokensPerSecond / speedSlots)
		}
		s.candidates = append(s.candidates, c)
		s.targets = append(s.targets, e)
	}
}

// shouldSpill reports whether the request may leave its region, given the
// shortest waits inside and outside of it.
func (s *sim) shouldSpill(r *request) bool {
	home, away := time.Hour, time.Hour
	for i, c := range s.candidates {
		wait := time.Duration(float64(c.Queued+int64(r.prompt)) / float64(c.Slots) * speedSlots / prefillTokensPerSecond * float64(time.Second))
		if s.targets[i].region == r.region {
			home = min(home, wait)
		} else {
			away = min(away, wait)
		}
	}
	return policy.Spill(policy.SpillRequest{
		Home: home, Remote: away, Latency: s.deployment.interRegionLatency, Objective: firstTokenObjective,
		Bytes: int64(r.prompt*policy.BytesPerToken + r.answer*answerTokenBytes), Price: pricePerGB,
	}, s.preferences).Spill
}

// queueItem returns the request's item in an engine's fair queue.
func (s *sim) queueItem(r *request) *policy.Item {
	item := &policy.Item{Workspace: workspaceName(r.workspace), Weight: quotas[r.workspace], Cost: r.cost, Value: r}
	switch {
	case s.naive:
		item.Workspace, item.Weight = "all", 1 // a single workspace makes the fair queue first come, first served
	case r.emitted > 0:
		item.Priority = 9 // the most urgent, for resumed requests
	}
	return item
}

// latency returns the one-way network latency between two regions.
func (s *sim) latency(from, to int) time.Duration {
	if from == to {
		return 100 * time.Microsecond
	}
	return s.deployment.interRegionLatency
}

// schedule adds an event. Events of the same time run in the order in which they
// were added.
func (s *sim) schedule(at time.Duration, do func()) {
	s.seq++
	e := event{at, s.seq, do}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.seq, a.seq))
	})
	s.events = slices.Insert(s.events, i, e)
}

// after schedules an event after a delay.
func (s *sim) after(delay time.Duration, do func()) { s.schedule(s.now+delay, do) }

// every calls do once per period until the scenario ends.
func (s *sim) every(period time.Duration, do func()) {
	s.after(period, func() {
		do()
		if s.now < s.scenario.duration {
			s.every(period, do)
		}
	})
}

func domain(region int) string { return [regions]string{"domain-a", "domain-b", "domain-c"}[region] }

func workspaceName(w int) string { return "workspace-" + string(rune('a'+w)) }
