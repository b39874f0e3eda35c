package experiment

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
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

	events []event

	// sim runs one scenario with one set of decisions.
	sim struct {
		now      time.Duration
		seq      int
		events   events
		random   *rand.Rand
		weights  policy.Weights
		naive    bool
		fixed    int // engines in service all the time; 0 lets the capacity plan decide
		place    deployment
		scenario scenario
		engines  []*engine
		next     int // round robin
		demand   [regions]meter
		capacity [regions]policy.CapacityState
		noneAt   [regions]bool // no reclaimable upstreams in the region

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

func newSim(seed uint64, d deployment, s scenario, weights policy.Weights, naive bool, fixed int) *sim {
	run := &sim{
		random: rand.New(rand.NewPCG(seed, 2)), weights: weights, naive: naive, fixed: fixed, place: d, scenario: s,
	}
	request := policy.CapacityRequest{Eligible: 1}
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
	key := fmt.Sprintf("%s/engine-%d", s.place.name, len(s.engines))
	e := &engine{
		sim: s, key: key, hash: rendezvous.Hash(key), region: region, reclaimable: reclaimable,
		queue: policy.NewQueue(policy.QueueOptions{}), cache: map[uint64]int64{}, since: s.now,
	}
	s.engines = append(s.engines, e)
	return e
}

func (s *sim) run(requests []*request) {
	for _, r := range requests {
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
		e := heap.Pop(&s.events).(event)
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
	own := int64(r.prompt)
	request := policy.PlaceRequest{
		Prefix: r.prefix, Spread: r.id, Domain: domain(r.region), Region: domain(r.region), Cost: own,
	}
	request.Limit, request.Stay = limit, !s.spills(r)
	var buffer [policy.MaxChoices]policy.Choice
	choices := policy.Place(buffer[:0], request, s.candidates, s.weights)
	targets := make([]*engine, 0, policy.MaxChoices)
	for _, choice := range choices {
		targets = append(targets, s.targets[choice.Index])
	}
	s.try(r, targets)
}

func (s *sim) roundRobin(r *request) {
	for range s.engines {
		s.next = (s.next + 1) % len(s.engines)
		if e := s.engines[s.next]; e.desk == r.desk {
			r.hop = s.hop(r.region, e.region) + s.place.clientHop
			s.after(r.hop, func() { e.push(r) })
			return
		}
	}
}

// try asks the stewards of the targets in turn.
func (s *sim) try(r *request, targets []*engine) {
	if len(targets) == 0 {
		if r.emitted > 0 {
			s.after(planEvery/10, func() { s.dispatch(r) })
			return
		}
		r.refused = true
		return
	}
	e := targets[0]
	e.sent[r.node()].Add(clock(s.now), int64(r.prompt))
	hop := s.hop(r.region, e.region)
	r.hop = hop + s.place.clientHop
	s.after(hop, func() {
		last := r.emitted > 0 && len(targets) == 1
		if e.state == up && (last || e.admit(r)) || last && e.state == leaving {
			e.push(r)
			return
		}
		s.after(hop, func() { s.try(r, targets[1:]) })
	})
}

func (e *engine) admit(r *request) bool {
	left := int64(max(r.prompt+r.emitted-e.cached(r)*policy.PieceTokens, 1))
	cost := left
	if e.role != policy.Prefill {
		cost = policy.DefaultPrices.Cost(int(left), 0, r.answer-r.emitted)
	}
	ahead := e.queue.Ahead(workspaceName(r.workspace), weights[r.workspace], cost)
	if total := e.queue.Cost(); total > 0 {
		ahead = int64(float64(ahead) / float64(total) * float64(e.waiting))
	}
	return e.judge(r, left, ahead).OK()
}

// judge decides on a request with left tokens to prefill behind the work that
// is ahead of it in the queue.
func (e *engine) judge(r *request, left, ahead int64) policy.Admission {
	speed := e.speed(len(e.decoding))
	return policy.Admit(policy.AdmitRequest{
		Ahead: ahead + e.pending(), Rate: speed,
		FirstToken: time.Duration(float64(left) / speed * float64(time.Second)),
		Objective:  firstTokenObjective, Waited: e.sim.now - r.arrived + r.hop,
		Best: time.Duration(left) * time.Second / prefillPerSecond,
		Next: e.next(), NextLimit: time.Duration(r.answer) * (paceObjective - stepLimit),
	})
}

// next is the expected wait for a slot that decodes, on the engine itself or
// on those that it hands over to.
func (e *engine) next() time.Duration {
	if e.desk {
		return 0
	}
	var over, engines float64
	for _, other := range e.sim.engines {
		if other == e && e.role == policy.Mixed {
			over, engines = float64(e.load().over), 1
			break
		}
		if e.role == policy.Prefill && other.region == e.region && !other.desk && other.state == up && other.role != policy.Prefill {
			over += float64(other.digest.over)
			engines++
		}
	}
	return seconds(max(over, 0) * e.sim.demand[e.region].answer * decodeSeconds / max(engines, 0.1))
}

// handOver moves a prefilled request to an engine that decodes.
func (s *sim) handOver(from *engine, r *request) {
	s.collect(r, policy.Decode)
	request := policy.PlaceRequest{Spread: r.id, Domain: domain(from.region), Region: domain(from.region), Cost: int64(r.answer * 4)}
	var buffer [policy.MaxChoices]policy.Choice
	choices := policy.Place(buffer[:0], request, s.candidates, s.weights)
	if len(choices) == 0 {
		from.decoding = append(from.decoding, r)
		return
	}
	to := s.targets[choices[0].Index]
	pieces := time.Duration(r.prompt/policy.PieceTokens + 1)
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
			c.Crossing = int64(s.place.betweenHops.Seconds() * 2 * prefillPerSecond / speedSlots)
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
		Home: home, Away: away, Latency: s.place.betweenHops, Objective: firstTokenObjective,
		Bytes: int64(r.prompt*policy.BytesPerToken + r.answer*tokenBytes), Price: pricePerGB,
	}, s.weights).Spill
}

// emit records a token and reports whether it was the last.
func (s *sim) emit(r *request) bool {
	r.last = s.now + r.hop
	if r.emitted == 0 {
		r.first = r.last
	}
	r.emitted++
	if r.emitted < r.answer {
		return false
	}
	// Planning knows the length of answers only from those that ended.
	if m := &s.demand[r.region]; !r.desk {
		m.answer += answerSmoothing * (float64(r.answer) - m.answer)
	}
	return true
}

func (s *sim) item(r *request) *policy.Item {
	if s.naive {
		// One workspace for all is first come, first served.
		return &policy.Item{Workspace: "all", Weight: 1, Cost: r.cost, Value: r}
	}
	item := &policy.Item{Workspace: workspaceName(r.workspace), Weight: weights[r.workspace], Cost: r.cost, Value: r}
	if r.emitted > 0 {
		item.Priority = 9
	}
	return item
}

func (s *sim) hop(from, to int) time.Duration {
	if from == to {
		return 100 * time.Microsecond
	}
	return s.place.betweenHops
}

func (s *sim) at(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at, s.seq, do})
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

func sortByArrival(all []*request) {
	slices.SortStableFunc(all, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
}

func domain(region int) string { return [regions]string{"domain-a", "domain-b", "domain-c"}[region] }

func workspaceName(w int) string { return "workspace-" + string(rune('a'+w)) }

// Len is part of heap.Interface.
func (q events) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Swap is part of heap.Interface.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}
