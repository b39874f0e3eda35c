package dispatch

import (
	"math"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
)

const (
	// defaultWork is assumed of a plain job until one has ended.
	defaultWork = 50 * time.Millisecond
	// otherRegionFactor and otherDomainFactor are how much longer a transfer of
	// memory takes than in the same failure domain, by the platform's interface.
	otherRegionFactor = 10
	otherDomainFactor = 2
	// fullDelay keeps requests away from engines whose slots are taken, which may
	// reject them.
	fullDelay = 100 * time.Millisecond
	// slowedShare is how many generations weigh as much as the request itself when
	// reading its prompt slows them, and maxSlowed bounds their number.
	slowedShare = 8
	maxSlowed   = 40
)

type (
	// Costs are the weights of decisions about prompts. Zero fields take defaults.
	Costs struct {
		// PrefillRate is the speed at which an engine reads prompts, in tokens
		// a millisecond. It is 48.2 on the engines that the fleet runs.
		PrefillRate float64
		// DecodePrefillShare is the part of that speed at which an engine of
		// the decode stage reads, between the tokens of other requests. The
		// platform halves it.
		DecodePrefillShare float64
		// DecodeChunk is the number of tokens that such an engine reads between two
		// steps of generation, which take StepTime and StepTimePerRun.
		DecodeChunk              float64
		StepTime, StepTimePerRun time.Duration
		// TimePerMillionPairs is the time that a million pairs of tokens add to
		// reading.
		TimePerMillionPairs time.Duration
		// HandoffOverhead is the cost of handing a prompt's memory to another
		// engine: a call and the transfer's start.
		HandoffOverhead time.Duration
		// OtherDomain and OtherRegion are the costs of sending a request there: the
		// round trip, and a surcharge for traffic that is paid by volume.
		OtherDomain, OtherRegion time.Duration
		// EvictionCost is the surcharge for each token that an engine has to
		// give up to take a prompt: it may have to be read again.
		EvictionCost time.Duration
		// TransferFactor is the surcharge for a second of transfer of memory,
		// as a factor.
		TransferFactor float64
	}

	// PromptRequest is a generation to be placed.
	PromptRequest struct {
		Service string
		Prompt  platform.Prompt
		Tried   []string // IDs of upstreams that are left out
		// NoSeparatePrefill leaves out the plans with a separate engine for
		// reading.
		NoSeparatePrefill bool
	}

	// Plan says which engine reads a prompt and which one generates.
	Plan struct {
		// Prefill is nil if the engine that generates reads the prompt as well.
		Prefill *Choice
		Decode  Choice
		// Expected is the time until the first event.
		Expected time.Duration
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

// PrefillTime is the time that reading the prompt itself takes.
func (p Plan) PrefillTime() (read time.Duration) {
	if p.Prefill != nil {
		return p.Prefill.PrefillTime
	}
	return p.Decode.PrefillTime
}

// PlacePrompt chooses the engines for a generation: those with the lowest
// expected time to the first event, with surcharges for what is paid for.
func (d *Dispatcher) PlacePrompt(request PromptRequest, now time.Time) (plan Plan, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.config[request.Service]
	if service == nil || service.Engine == nil {
		return Plan{}, false
	}
	engines := d.usable(request.Service, request.Tried, now)
	lowest := time.Duration(math.MaxInt64)
	runner, runWait := d.bestRunner(engines, request.Prompt, service.Engine, now)
	for _, u := range engines {
		choice, cost := d.readCost(u, request.Prompt, service.Engine, now)
		choice.service = request.Service
		candidate := Plan{Decode: choice, Expected: choice.Expected}
		if u.Stage == discovery.Prefill {
			if request.NoSeparatePrefill || runner == nil {
				continue
			}
			handOver := d.transfer(u, runner, request.Prompt.Tokens, service.Engine)
			extra := d.options.Costs.HandoffOverhead + handOver + runWait
			cost += extra + d.distance(runner)
			read := choice
			candidate = Plan{
				Prefill:  &read,
				Decode:   Choice{Upstream: runner.Upstream, Expected: extra, prompt: request.Prompt, service: request.Service},
				Expected: choice.Expected + extra,
			}
		}
		if cost < lowest {
			lowest, plan, ok = cost, candidate, true
		}
	}
	return plan, ok
}

// PlaceDecode returns the engine that generates after a prompt was read.
// Reading can take seconds, in which engines leave, and the planned one may
// have got many others: until the prompt is sent there, no node counts it.
func (d *Dispatcher) PlaceDecode(planned Choice, tried []string, now time.Time) (choice Choice, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.config[planned.service]
	if service == nil || service.Engine == nil {
		return Choice{}, false
	}
	runner, wait := d.bestRunner(d.usable(planned.service, tried, now), planned.prompt, service.Engine, now)
	if runner == nil {
		return Choice{}, false
	}
	return Choice{Upstream: runner.Upstream, Expected: wait, prompt: planned.prompt, service: planned.service}, true
}

// readCost estimates reading a prompt at an engine.
func (d *Dispatcher) readCost(u *upstream, prompt platform.Prompt, engine *routing.Engine, now time.Time) (choice Choice, cost time.Duration) {
	costs := d.options.Costs
	rate := costs.PrefillRate
	running := 0
	if u.Stage != discovery.Prefill {
		running = u.running(now)
		rate = costs.decodeRate(running)
	}
	kept := u.cache.kept(prompt)
	read := readTime(prompt.Tokens, kept, rate, costs.TimePerMillionPairs)
	choice = Choice{Upstream: u.Upstream, PrefillTime: read, CachedTokens: kept, prompt: prompt}
	surcharge := time.Duration(0)
	if holder, held := d.bestHolder(u, prompt, kept); holder != nil {
		transfer := d.transfer(holder, u, held-kept, engine)
		fetched := readTime(prompt.Tokens, held, rate, costs.TimePerMillionPairs)
		if paid := time.Duration(float64(transfer) * costs.TransferFactor); transfer+fetched+paid < read {
			choice.PrefillTime, choice.CachedTokens = transfer+fetched, held
			choice.Fetch = holder.Address
			surcharge = paid
		}
	}
	surcharge += costs.EvictionCost * time.Duration(u.cache.displaced(prompt.Tokens-kept))
	choice.Expected = u.backlog(now) + choice.PrefillTime + u.stepDelay(now, engine)
	// Reading slows the generations that the engine runs.
	surcharge += choice.PrefillTime * time.Duration(min(running, maxSlowed)) / slowedShare
	return choice, choice.Expected + d.distance(u) + surcharge
}

// decodeRate is the speed, in tokens a millisecond, at which an engine reads
// between the tokens of the requests that it runs.
func (c Costs) decodeRate(running int) (rate float64) {
	chunk := c.DecodeChunk / (c.PrefillRate * c.DecodePrefillShare)
	step := 0.0
	if running > 0 {
		step = milliseconds(c.StepTime) + milliseconds(c.StepTimePerRun)*float64(running)
	}
	return c.DecodeChunk / (chunk + step)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// bestHolder returns the engine from which the most of a prompt's first parts
// can be fetched at the least cost, if it keeps more than the engine itself.
func (d *Dispatcher) bestHolder(u *upstream, prompt platform.Prompt, kept int) (holder *upstream, held int) {
	held = kept
	for _, other := range d.services[u.Service] {
		if other == u {
			continue
		}
		n := other.cache.fetchable(prompt)
		if n > held || n == held && holder != nil && d.factor(other, u) < d.factor(holder, u) {
			holder, held = other, n
		}
	}
	return holder, held
}

// bestRunner returns the engine of the decode stage with the least work.
func (d *Dispatcher) bestRunner(engines []*upstream, prompt platform.Prompt, engine *routing.Engine, now time.Time) (runner *upstream, wait time.Duration) {
	lowest := time.Duration(math.MaxInt64)
	for _, u := range engines {
		if u.Stage == discovery.Prefill {
			continue
		}
		delay := u.stepDelay(now, engine) + u.backlog(now)/4
		displaced := d.options.Costs.EvictionCost * time.Duration(u.cache.displaced(prompt.Tokens-u.cache.kept(prompt)))
		if cost := delay + d.distance(u) + displaced; cost < lowest {
			runner, wait, lowest = u, delay, cost
		}
	}
	return runner, wait
}

// stepDelay is the time by which the requests that an engine runs delay another.
func (u *upstream) stepDelay(now time.Time, engine *routing.Engine) (delay time.Duration) {
	running := u.running(now)
	delay = time.Duration(running) * 2 * time.Millisecond
	if over := running + 1 - engine.Slots; over > 0 && engine.Slots > 0 {
		work := max(u.work, defaultWork)
		delay += work * time.Duration(over) / time.Duration(engine.Slots)
		if u.Stage != discovery.Prefill {
			delay += fullDelay
		}
	}
	return delay
}

// transfer is the time that tokens take from one engine to another.
func (d *Dispatcher) transfer(from, to *upstream, tokens int, engine *routing.Engine) (took time.Duration) {
	if engine.LinkMbps <= 0 || from == to {
		return 0
	}
	bits := float64(tokens) * float64(engine.KVTokenBytes) * 8
	once := time.Duration(bits / engine.LinkMbps * float64(time.Microsecond))
	return once * time.Duration(d.factor(from, to))
}

func (d *Dispatcher) factor(from, to *upstream) (factor int) {
	switch {
	case from.FailureDomain == to.FailureDomain:
		return 1
	case from.region == to.region:
		return otherDomainFactor
	default:
		return otherRegionFactor
	}
}

// readTime is the time that reading the tokens beyond the kept ones takes. Each
// token attends to all before it.
func readTime(tokens, kept int, rate float64, perMillionPairs time.Duration) (took time.Duration) {
	kept = min(kept, tokens)
	unread := float64(tokens - kept)
	pairs := unread * (float64(kept) + unread/2) / 1e6
	return time.Duration(unread/rate*float64(time.Millisecond)) + time.Duration(pairs*float64(perMillionPairs))
}
