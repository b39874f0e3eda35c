package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/speed"
)

const (
	// defaultJobTime is assumed for an upstream that hasn't served a job yet. For
	// engines it is also the least job time.
	defaultJobTime = 50 * time.Millisecond
	// otherRegionTransferSlowdown and otherDomainTransferSlowdown are how many times
	// longer a KV cache transfer takes than within a failure domain, according to
	// the platform's interface.
	otherRegionTransferSlowdown = 10
	otherDomainTransferSlowdown = 2
	// fullEngineDelay is added to the expected wait for a slot at an engine that
	// has none free, since it may reject the request. A higher value sends more
	// requests to engines with a free slot that are farther away or have less of
	// the prompt cached. Engines of the prefill stage don't get it.
	fullEngineDelay = 100 * time.Millisecond
	// A prefill slows the generations that run on the same engine. The duration of
	// the prefill, divided by slowdownDivisor, is added to the cost for each of
	// them, but for at most maxSlowedGenerations.
	slowdownDivisor      = 8
	maxSlowedGenerations = 40
)

type (
	// Costs are the parameters of the cost model by which a Dispatcher compares
	// upstreams. Zero fields take the defaults in withDefaults.
	Costs struct {
		// PrefillRate is the prefill speed of an engine, in tokens per
		// millisecond. It is 48.2 on the engines that the fleet runs.
		PrefillRate float64
		// DecodePrefillShare is the fraction of PrefillRate at which an engine of
		// the decode stage prefills between the decoding steps of other requests.
		// It is one half on the platform.
		DecodePrefillShare float64
		// DecodeChunk is the number of tokens that such an engine prefills between
		// two decoding steps. A step takes StepTime, and StepTimePerRun more for
		// each running generation.
		DecodeChunk              float64
		StepTime, StepTimePerRun time.Duration
		// TimePerMillionPairs is the attention time that a million pairs of tokens
		// add to a prefill.
		TimePerMillionPairs time.Duration
		// HandoffOverhead is the fixed cost of handing over the KV cache of a
		// prompt to another engine: a call and the start of the transfer.
		HandoffOverhead time.Duration
		// OtherDomain and OtherRegion are the costs of sending a request to another
		// failure domain or region: the round trip and a surcharge for traffic that
		// is billed by volume.
		OtherDomain, OtherRegion time.Duration
		// EvictionCost is the surcharge for each token that an engine has to evict
		// to cache the prompt, since it may have to be prefilled again. By default it
		// is about a tenth of the time to prefill a token.
		EvictionCost time.Duration
		// TransferFactor is the surcharge for fetching cached parts from another
		// engine, as a multiple of the transfer time. Parts are fetched only if that
		// saves more prefill time than 1+TransferFactor transfer times.
		TransferFactor float64
	}

	// PromptRequest is a generation request for which PlacePrompt chooses engines.
	PromptRequest struct {
		Service string
		Prompt  platform.Prompt
		Tried   []string // IDs of upstreams that are left out
		// NoSeparatePrefill leaves out plans in which one engine prefills and
		// another one decodes.
		NoSeparatePrefill bool
	}

	// Plan is the choice of the engines that prefill and decode a request.
	Plan struct {
		// Prefill is nil if the engine that decodes prefills the prompt as well.
		Prefill *Choice
		Decode  Choice
		// Expected is the expected time to the first event.
		Expected time.Duration
	}

	// engineState is what a placement needs to know of an engine.
	engineState struct {
		upstream *upstream
		running  int           // requests, see upstream.runningJobs
		backlog  time.Duration // see upstream.backlog
		cached   int           // tokens of the prompt, see cache.prefixTokens
		pace     speed.Pace
		wait     time.Duration // before decoding; set by bestDecode
	}

	// prefillEstimate is what a placement expects of a prefill at one engine.
	prefillEstimate struct {
		duration  time.Duration // with the transfer, but without the wait
		expected  time.Duration // without what is learned for the service
		cost      time.Duration
		cached    int       // tokens, including those fetched
		fetchFrom *upstream // nil if nothing is fetched

		kind                 speed.Kind
		usual, usualTransfer time.Duration // see speed.Basis
		wait                 time.Duration
	}

	// kvSource is an engine from which the first tokens of a prompt can be fetched.
	kvSource struct {
		upstream  *upstream
		fetchable int // tokens
	}
)

func (c Costs) withDefaults() Costs {
	set := func(field *float64, value float64) {
		if *field == 0 {
			*field = value
		}
	}
	setTime := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&c.PrefillRate, 48.2)
	set(&c.DecodePrefillShare, 0.5)
	set(&c.DecodeChunk, 256)
	set(&c.TransferFactor, 3)
	setTime(&c.StepTime, 2600*time.Microsecond)
	setTime(&c.StepTimePerRun, 120*time.Microsecond)
	setTime(&c.TimePerMillionPairs, 248*time.Microsecond)
	setTime(&c.EvictionCost, 2*time.Microsecond)
	setTime(&c.HandoffOverhead, 10*time.Millisecond)
	setTime(&c.OtherDomain, 4*time.Millisecond)
	setTime(&c.OtherRegion, 120*time.Millisecond)
	return c
}

// PrefillTime returns the expected duration of the prefill, without the wait for
// it.
func (p Plan) PrefillTime() (duration time.Duration) {
	if p.Prefill != nil {
		return p.Prefill.PrefillTime
	}
	return p.Decode.PrefillTime
}

// PlacePrompt chooses the engines for a generation: those with the lowest sum of
// the expected time to the first event and of surcharges for billed traffic,
// evictions and slowed generations. It returns false if no engine of the service
// can take the request.
func (d *Dispatcher) PlacePrompt(request PromptRequest, now time.Time) (plan Plan, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.serviceConfigs[request.Service]
	if service == nil || service.Engine == nil {
		return Plan{}, false
	}
	engines := d.usableUpstreams(request.Service, request.Tried, now)
	states, sources := d.inspect(engines, request.Service, request.Prompt, now)
	decode := d.bestDecode(states, request.Prompt, service.Engine)
	var best *engineState
	var prefill prefillEstimate // of best
	handoff := time.Duration(0) // cost of a separate prefill, without the transfer
	if decode != nil {
		expected, _ := d.handoffTime(nil, decode, 0, service.Engine)
		handoff = expected + decode.networkSurcharge()
	}
	lowest := time.Duration(math.MaxInt64)
	for i := range states {
		state := &states[i]
		separate := state.upstream.Stage == discovery.Prefill
		if separate && (request.NoSeparatePrefill || decode == nil) {
			continue
		}
		estimate := d.estimatePrefill(state, sources, request.Prompt, service.Engine)
		cost := estimate.cost
		if separate {
			cost += handoff + decode.pace.Transfer(d.transferTime(state.upstream, decode.upstream, request.Prompt.Tokens, service.Engine))
		}
		if cost < lowest {
			best, lowest, prefill = state, cost, estimate
		}
	}
	if best == nil {
		return Plan{}, false
	}
	choice := Choice{
		Upstream: best.upstream.Upstream, PrefillTime: prefill.duration, Expected: prefill.expected, CachedTokens: prefill.cached,
		prompt: request.Prompt, service: request.Service,
	}
	if best.pace.Active() {
		choice.basis = speed.Basis{
			Kind: prefill.kind, Usual: prefill.usual, Transfer: prefill.usualTransfer, HasTransfer: prefill.fetchFrom != nil,
			Wait: prefill.wait, RoundTrip: best.upstream.roundTrip,
		}
		choice.Expected = best.pace.Expect(&choice.basis)
	}
	if prefill.fetchFrom != nil {
		choice.Fetch = prefill.fetchFrom.Address
	}
	if best.upstream.Stage != discovery.Prefill {
		return Plan{Decode: choice, Expected: choice.Expected}, true
	}
	expected, basis := d.handoffTime(best.upstream, decode, request.Prompt.Tokens, service.Engine)
	plan = Plan{Prefill: &choice, Expected: choice.Expected + expected, Decode: Choice{
		Upstream: decode.upstream.Upstream, Expected: expected, prompt: request.Prompt, service: request.Service,
		prefilledAt: best.upstream.ID, basis: basis,
	}}
	return plan, true
}

// PlaceDecode chooses the engine that decodes, after the prompt was prefilled. It
// chooses anew, since a prefill can take seconds: meanwhile engines may leave,
// and the planned one may get many other requests, as no node counts this one
// until it is sent. The tried upstreams are left out. It returns false if no
// engine is left.
func (d *Dispatcher) PlaceDecode(planned Choice, tried []string, now time.Time) (choice Choice, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.serviceConfigs[planned.service]
	if service == nil || service.Engine == nil {
		return Choice{}, false
	}
	states, _ := d.inspect(d.usableUpstreams(planned.service, tried, now), planned.service, planned.prompt, now)
	decode := d.bestDecode(states, planned.prompt, service.Engine)
	if decode == nil {
		return Choice{}, false
	}
	choice = Choice{
		Upstream: decode.upstream.Upstream, Expected: decode.wait, prompt: planned.prompt, service: planned.service, prefilledAt: planned.prefilledAt,
	}
	if decode.pace.Active() {
		choice.Expected, choice.basis = d.handoffTime(d.upstreams[planned.prefilledAt], decode, planned.prompt.Tokens, service.Engine)
	}
	return choice, true
}

// inspect returns the states of the engines among which a placement chooses, and
// for each failure domain the engine of the service that has the longest prefix of
// the prompt to fetch. That may be a suspect or leaving one, but none that asked for
// a pause. So the cost of a placement grows in
// proportion to the engines. The states are valid until the next placement.
func (d *Dispatcher) inspect(engines []*upstream, service string, prompt platform.Prompt, now time.Time) (states []engineState, sources []kvSource) {
	states = slices.Grow(d.engineStates[:0], len(engines))[:len(engines)]
	for i, u := range engines {
		state := &states[i]
		state.upstream, state.running, state.backlog, state.pace = u, u.runningJobs(now), u.backlog(now), u.speed.Pace(now)
		state.cached, _ = u.cache.prefixTokens(prompt)
	}
	d.engineStates = states
	for _, u := range d.upstreamsByService[service] {
		_, fetchable := u.cache.prefixTokens(prompt)
		if fetchable == 0 || u.condition(now) == Paused {
			continue
		}
		index := slices.IndexFunc(sources, func(s kvSource) bool { return s.upstream.FailureDomain == u.FailureDomain })
		if index < 0 {
			sources = append(sources, kvSource{u, fetchable})
		} else if fetchable > sources[index].fetchable {
			sources[index] = kvSource{u, fetchable}
		}
	}
	return states, sources
}

// estimatePrefill returns the expected times of a prefill at an engine, and its cost:
// the expected time with surcharges.
func (d *Dispatcher) estimatePrefill(state *engineState, sources []kvSource, prompt platform.Prompt, engine *routing.Engine) (estimate prefillEstimate) {
	costs, u, cached := &d.options.Costs, state.upstream, state.cached
	rate, kind := costs.PrefillRate, speed.Prefill
	running := 0
	if u.Stage != discovery.Prefill {
		running, kind = state.running, speed.Generation
		rate = costs.interleavedPrefillRate(running)
	}
	step, transferFactor := time.Duration(0), costs.TransferFactor
	if state.pace.Active() {
		step, transferFactor = costs.StepTime, pacedTransferFactor
	}
	usual := step + prefillTime(prompt.Tokens, cached, rate, costs.TimePerMillionPairs)
	estimate = prefillEstimate{kind: kind, duration: state.pace.Work(usual), cached: cached, usual: usual, wait: state.backlog + state.concurrencyDelay(engine)}
	surcharge := time.Duration(0)
	if source, fetchable := d.bestKVSource(u, sources, cached); source != nil {
		// The source has more of the prompt, but fetching it can take longer than
		// prefilling it again.
		transfer := d.transferTime(source, u, fetchable-cached, engine)
		remaining := step + prefillTime(prompt.Tokens, fetchable, rate, costs.TimePerMillionPairs)
		duration := state.pace.Transfer(transfer) + state.pace.Work(remaining)
		if transferSurcharge := time.Duration(float64(transfer) * transferFactor); duration+transferSurcharge < estimate.duration {
			estimate.duration, estimate.cached, estimate.fetchFrom = duration, fetchable, source
			estimate.usual, estimate.usualTransfer, surcharge = remaining, transfer, transferSurcharge
		}
	}
	surcharge += costs.EvictionCost * time.Duration(u.cache.evictedTokens(prompt.Tokens-cached))
	// The prefill slows the generations that run on the engine.
	surcharge += estimate.duration * time.Duration(min(running, maxSlowedGenerations)) / slowdownDivisor
	estimate.expected = estimate.wait + estimate.duration
	estimate.cost = estimate.expected + state.networkSurcharge() + surcharge
	if state.pace.Active() {
		estimate.cost += state.pace.Fixed(kind) + u.roundTrip + u.spread(estimate.duration)
	}
	return estimate
}

// interleavedPrefillRate returns the prefill speed, in tokens per millisecond, of
// an engine that alternates prefill chunks with decoding steps of running
// generations.
func (c Costs) interleavedPrefillRate(running int) (rate float64) {
	chunkTime := c.DecodeChunk / (c.PrefillRate * c.DecodePrefillShare)
	stepTime := 0.0
	if running > 0 {
		stepTime = milliseconds(c.StepTime) + milliseconds(c.StepTimePerRun)*float64(running)
	}
	return c.DecodeChunk / (chunkTime + stepTime)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// bestKVSource returns the engine that has the longest prefix of a prompt to
// fetch, and the prefix's length in tokens. Among equals it returns the one with
// the fastest transfer. It returns nil if no engine has more than the cached
// tokens at u itself, which so is never the source.
func (d *Dispatcher) bestKVSource(u *upstream, sources []kvSource, cached int) (source *upstream, fetchable int) {
	fetchable = cached
	for _, other := range sources {
		n := other.fetchable
		if n > fetchable || n == fetchable && source != nil && d.transferSlowdown(other.upstream, u) < d.transferSlowdown(source, u) {
			source, fetchable = other.upstream, n
		}
	}
	return source, fetchable
}

// bestDecode returns the engine with the lowest cost of decoding, with the
// expected wait there, or nil if there is none. Engines of the prefill stage are left
// out. A quarter of the prefill backlog counts as wait, since engines alternate
// prefill chunks with decoding steps.
func (d *Dispatcher) bestDecode(states []engineState, prompt platform.Prompt, engine *routing.Engine) (best *engineState) {
	lowest := time.Duration(math.MaxInt64)
	for i := range states {
		state := &states[i]
		u := state.upstream
		if u.Stage == discovery.Prefill {
			continue
		}
		state.wait = state.concurrencyDelay(engine) + state.backlog/4
		evictionCost := d.options.Costs.EvictionCost * time.Duration(u.cache.evictedTokens(prompt.Tokens-state.cached))
		cost := state.wait + u.networkCost + evictionCost
		if state.pace.Active() {
			start := state.pace.Work(d.options.Costs.HandoffOverhead)
			cost += start + u.spread(start)
		}
		if cost < lowest {
			best, lowest = state, cost
		}
	}
	return best
}

// concurrencyDelay returns the expected time by which the running requests of an
// engine delay one more: 2 ms each, and the wait for a slot if none is free. The
// number of slots is that of the service's configuration. If it is 0, there is no
// such wait. Upstream.Slots, which the engine has registered, isn't used here, but
// only for requests without a prompt.
func (s *engineState) concurrencyDelay(engine *routing.Engine) (delay time.Duration) {
	delay = time.Duration(s.running) * 2 * time.Millisecond
	if excess := s.running + 1 - engine.Slots; excess > 0 && engine.Slots > 0 {
		jobTime := max(s.upstream.averageJobTime, defaultJobTime)
		delay += jobTime * time.Duration(excess) / time.Duration(engine.Slots)
		if s.upstream.Stage != discovery.Prefill {
			delay += fullEngineDelay
		}
	}
	return delay
}

// transferTime returns the time to transfer the KV cache of a number of tokens
// from one engine to another. It is 0 if the bandwidth isn't configured.
func (d *Dispatcher) transferTime(from, to *upstream, tokens int, engine *routing.Engine) (duration time.Duration) {
	if engine.LinkMbps <= 0 || from == to {
		return 0
	}
	bits := float64(tokens) * float64(engine.KVTokenBytes) * 8
	withinDomain := time.Duration(bits / engine.LinkMbps * float64(time.Microsecond))
	return withinDomain * time.Duration(d.transferSlowdown(from, to))
}

// transferSlowdown returns how many times longer a transfer between two engines
// takes than within a failure domain.
func (d *Dispatcher) transferSlowdown(from, to *upstream) (factor int) {
	switch {
	case from.FailureDomain == to.FailureDomain:
		return 1
	case from.region == to.region:
		return otherDomainTransferSlowdown
	default:
		return otherRegionTransferSlowdown
	}
}

// prefillTime returns the time to prefill the tokens of a prompt beyond the
// cached ones. Each token attends to all tokens before it.
func prefillTime(tokens, cached int, rate float64, perMillionPairs time.Duration) (duration time.Duration) {
	cached = min(cached, tokens)
	uncached := float64(tokens - cached)
	pairs := uncached * (float64(cached) + uncached/2) / 1e6
	return time.Duration(uncached/rate*float64(time.Millisecond)) + time.Duration(pairs*float64(perMillionPairs))
}
