// Package dispatch chooses the upstream that serves a request, and estimates how
// long the request takes there, so that callers can refuse requests that can't
// be served in time. It tracks the upstreams, the work that this node has sent
// to them, the load that other nodes report, and the prompt parts that each
// engine probably has in its KV cache. It uses neither the network nor a clock:
// the time is an argument. Package entry serves the requests, and exchanges loads
// and cache inserts with other nodes.
//
// Failures affect the choices as follows:
//   - An upstream that rejected a request or failed is suspect for a while, and is
//     chosen only if there is no other. One that asked for a pause, or that leaves,
//     isn't chosen at all; see Condition.
//   - An upstream that has restarted starts without jobs, loads and cached parts,
//     and without a pause.
//   - The loads that another node has reported expire after peerLoadTTL.
//   - If messages from other nodes are lost, the expected times and the cache
//     estimates are less accurate.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{FailureDomain: "a", Regions: regions})
//	d.Sync(upstreams, services)
//	plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: prompt}, now)
//	if plan.Prefill != nil {
//		job := d.Begin(*plan.Prefill, now)
//		job.End(now, dispatch.Served)
//		plan.Decode, ok = d.PlaceDecode(plan.Decode, tried, now)
//	}
//	job := d.Begin(plan.Decode, now)
//	job.PrefillDone(now)
//	job.End(now, dispatch.Served)
//	other.SetPeerLoads("node-1", d.Loads(now), now)
//	other.ApplyCacheInserts(d.CacheInserts(now))
package dispatch

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/speed"
)

// Outcomes of a job.
const (
	// Served means that the upstream sent a complete response.
	Served Outcome = iota
	// Rejected means that the upstream refused the request without serving it,
	// for example because it was full.
	Rejected
	// Broken means that the upstream sent no response, or an invalid or
	// incomplete one.
	Broken
	// Abandoned means that the caller left, the request's deadline passed or the
	// request was recalled. It counts neither as a success nor as a failure of the upstream.
	Abandoned
)

const (
	// backoffFirst is the backoff of an upstream after its first failure. It
	// doubles with each consecutive failure, up to backoffLimit. During it, the
	// upstream gets requests only if no other is available. So an upstream that has
	// recovered is avoided for at most backoffLimit. A lower limit sends more
	// requests to upstreams that still fail.
	backoffFirst = 300 * time.Millisecond
	backoffLimit = 4 * time.Second
	// reportedLoadTTL is how long the load that an upstream reported is used. Until
	// then, it still counts jobs of other nodes that have ended since.
	reportedLoadTTL = 400 * time.Millisecond
)

type (
	// Outcome is the way in which a job ended.
	Outcome uint8

	// Options configures a Dispatcher.
	Options struct {
		FailureDomain string            // of this node
		Regions       map[string]string // by failure domain; domains without one count as one region
		// Node is the name of this node. Nodes with different names prefer different
		// upstreams among those of nearly the same speed.
		Node string
		// LearnSpeeds means that the times of all services are learned from their answers.
		// Otherwise they are only for services whose upstreams say how fast they are.
		LearnSpeeds bool
		Costs       Costs
	}

	// Dispatcher tracks the state of upstreams as one node sees it, and chooses
	// among them. It is safe for concurrent use.
	Dispatcher struct {
		options Options

		mu                 sync.Mutex
		upstreams          map[string]*upstream
		upstreamsByService map[string][]*upstream
		serviceConfigs     map[string]*routing.Service
		cacheInserts       []CacheInsert // recent ones, to be sent to other nodes
		// loadedBy has the upstreams whose peerLoads have an entry of a source.
		loadedBy map[string][]*upstream
		leaving  map[instance]time.Time  // instances that said that they leave, by the time of their last notice
		speeds   map[string]*speed.Model // by service
		// engineStates is reused by each placement of a prompt.
		engineStates []engineState
	}

	// Choice is the upstream chosen for one step of a request: the prefill, the
	// decoding or both, or the whole of a request without a prompt.
	Choice struct {
		Upstream discovery.Upstream
		// PrefillTime is the expected duration of the prefill, including the
		// transfer of cached parts from Fetch. Expected includes the wait in queues,
		// and ends as follows:
		//   - for a step with a prefill: when the prefill is done;
		//   - for a step that only decodes: when the decoding begins;
		//   - for a request without a prompt: when it is done. Only then, Expected
		//     also includes the cost of reaching the upstream.
		PrefillTime, Expected time.Duration
		// Fetch is the address of the engine from which cached parts of the
		// prompt are fetched. It isn't valid if there is none.
		Fetch netip.AddrPort
		// CachedTokens is the number of prompt tokens that are probably cached at
		// the engine or fetched from Fetch.
		CachedTokens int

		// prompt is also set for a step that only decodes, since the engine then
		// gets the KV cache of the prompt.
		prompt  platform.Prompt
		service string
		// prefilledAt is the ID of the engine with the KV cache, for a step that only
		// decodes.
		prefilledAt string
		// basis is what Expected was computed from, if the speed of the upstreams is known.
		basis speed.Basis
	}

	// Job is one step of a request that was sent to an upstream.
	Job struct {
		dispatcher   *Dispatcher
		upstream     *upstream // nil if it was no longer registered at Begin
		choice       Choice
		prefillTime  time.Duration
		startedAt    time.Time
		slowdown     float64       // of the upstream at startedAt; see upstream.slowdown
		prefillEnded bool          // the prompt was prefilled, or never will be
		prefillTook  time.Duration // 0 if the prompt wasn't prefilled
		ended        bool
	}

	upstream struct {
		discovery.Upstream
		region         string
		networkCost    time.Duration // see setDistance
		roundTrip      time.Duration
		jobs           map[*Job]struct{}
		pendingPrefill time.Duration // of this node's jobs whose prompt isn't prefilled yet
		// busySince is the time at which a job was last sent while pendingPrefill
		// was 0.
		busySince time.Time
		// ownUnsharedTokens counts the tokens that the engine prefilled for this
		// node in parts that aren't announced to other nodes (see isShared).
		ownUnsharedTokens int64
		// domainUnsharedTokens counts the same for the other nodes of the failure
		// domain.
		domainUnsharedTokens int64
		// lastPrefill is the time at which the last prefill for any node ended or
		// was given up, and ownLastPrefill the same for this node.
		lastPrefill, ownLastPrefill time.Time
		peerLoads                   []peerLoad // at most one of each source
		// peerUnsharedTokens has the last Load.UnsharedTokens by the node that
		// reported it.
		peerUnsharedTokens  map[string]int64
		reportedLoad        platform.Load
		reportedAt          time.Time
		ownJobsAtReport     int // number of this node's jobs when the load was reported
		cache               *cache
		averageJobTime      time.Duration // exponential moving average over served jobs, starting from 0
		consecutiveFailures int
		backoffUntil        time.Time // other upstreams are preferred until then
		pausedUntil         time.Time // no request is sent until then
		saidLeaving         bool      // in one of its answers
		answeredAt          time.Time // of the last answer to this node
		speed               *speed.Upstream
		spreadWeight        float64 // of this node and the upstream, from 0 to 2; see spread
	}
)

// New returns a dispatcher without upstreams; Sync adds them.
func New(options Options) *Dispatcher {
	options.Costs = options.Costs.withDefaults()
	return &Dispatcher{
		options: options, upstreams: map[string]*upstream{}, upstreamsByService: map[string][]*upstream{},
		serviceConfigs: map[string]*routing.Service{}, loadedBy: map[string][]*upstream{}, leaving: map[instance]time.Time{},
		speeds: map[string]*speed.Model{},
	}
}

// Sync replaces the upstreams and the services by the registered upstreams and
// the services of the current configuration. It returns the IDs of upstreams
// that are no longer registered or have restarted.
func (d *Dispatcher) Sync(registered []discovery.Upstream, services []routing.Service) (gone []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serviceConfigs = map[string]*routing.Service{}
	for i := range services {
		d.serviceConfigs[services[i].Name] = &services[i]
	}
	listed := map[string]bool{}
	d.upstreamsByService = map[string][]*upstream{}
	for _, r := range registered {
		listed[r.ID] = true
		u := d.upstreams[r.ID]
		if u == nil || !u.StartedAt.Equal(r.StartedAt) || u.Address != r.Address {
			if u != nil {
				gone = append(gone, r.ID)
			}
			_, left := d.leaving[instanceOf(r)]
			u = &upstream{saidLeaving: left, jobs: map[*Job]struct{}{}, peerUnsharedTokens: map[string]int64{}, cache: newCache()}
			d.upstreams[r.ID] = u
		}
		if u.speed == nil || u.Service != r.Service {
			d.initSpeed(u, r)
		}
		u.Upstream, u.region = r, d.options.Regions[r.FailureDomain]
		d.setDistance(u)
		if service := d.serviceConfigs[r.Service]; service != nil && service.Engine != nil {
			u.cache.capacity = service.Engine.KVCapacity
		}
		d.upstreamsByService[r.Service] = append(d.upstreamsByService[r.Service], u)
	}
	for id := range d.upstreams {
		if !listed[id] {
			delete(d.upstreams, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Begin records that a request is being sent to the chosen upstream, and returns
// the job that represents it.
func (d *Dispatcher) Begin(choice Choice, now time.Time) (job *Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	job = &Job{dispatcher: d, choice: choice, prefillTime: choice.PrefillTime, startedAt: now, upstream: d.upstreams[choice.Upstream.ID]}
	u := job.upstream
	if u == nil { // no longer registered; the job isn't counted
		job.ended = true
		return job
	}
	job.slowdown = u.slowdown(&choice, now)
	if u.pendingPrefill == 0 {
		u.busySince = now
	}
	u.jobs[job] = struct{}{}
	u.pendingPrefill += job.prefillTime
	u.cache.insertPending(choice.prompt) // also for a step that only decodes; see Choice.prompt
	return job
}

// Upstream returns the upstream that the job was sent to.
func (j *Job) Upstream() (upstream discovery.Upstream) { return j.choice.Upstream }

// PrefillDone records that the prompt is prefilled. It is called when the response
// begins. End with the outcome Served records it as well.
func (j *Job) PrefillDone(now time.Time) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	j.finishPrefill(now, true)
}

// ObserveLoad records a response of the upstream, and the load that it reported with it.
func (j *Job) ObserveLoad(load platform.Load, now time.Time) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	u := j.upstream
	if u == nil {
		return
	}
	u.answeredAt = now
	if load.Known {
		u.reportedLoad, u.reportedAt, u.ownJobsAtReport = load, now, len(u.jobs)
		u.speed.Observe(speed.Figure{Percent: load.SlowdownPercent}, now)
	}
}

// End records the outcome of the job. Further calls have no effect.
func (j *Job) End(now time.Time, outcome Outcome) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	if j.ended {
		return
	}
	j.ended = true
	j.finishPrefill(now, outcome == Served)
	u := j.upstream
	delete(u.jobs, j)
	switch outcome {
	case Served:
		u.consecutiveFailures, u.backoffUntil = 0, time.Time{}
		u.averageJobTime += (now.Sub(j.startedAt) - u.averageJobTime) / 8
	case Rejected, Broken:
		u.consecutiveFailures++
		u.backoffUntil = now.Add(min(backoffFirst<<min(u.consecutiveFailures-1, 8), backoffLimit))
	case Abandoned:
	}
}

// finishPrefill records that the prefill was completed or, if completed is false,
// that it won't be. It is called with mu held.
func (j *Job) finishPrefill(now time.Time, completed bool) {
	u := j.upstream
	if u == nil || j.prefillEnded {
		return
	}
	j.prefillEnded = true
	if completed {
		j.prefillTook = now.Sub(j.startedAt)
		u.speed.Observe(speed.Answer{Basis: j.choice.basis, Took: j.prefillTook}, now)
		u.cache.markPrefilled(j.choice.prompt)
		j.dispatcher.recordPrefill(u, j.choice.prompt, now)
	} else {
		u.cache.removePending(j.choice.prompt)
	}
	if j.prefillTime > 0 {
		u.pendingPrefill -= j.prefillTime
		u.lastPrefill, u.ownLastPrefill = now, now
	}
}

// runningJobs returns the estimated number of jobs at an upstream, from all
// nodes: the higher of what the nodes report and what the upstream reports.
func (u *upstream) runningJobs(now time.Time) (jobs int) {
	jobs = len(u.jobs)
	for i := range u.peerLoads {
		if peer := &u.peerLoads[i]; now.Sub(peer.receivedAt) < peerLoadTTL {
			jobs += peer.running
		}
	}
	if age := now.Sub(u.reportedAt); age < reportedLoadTTL {
		// The upstream's own report covers the jobs of all nodes, but not those
		// that this node has sent since.
		jobs = max(jobs, u.reportedLoad.Running+u.reportedLoad.Waiting+len(u.jobs)-u.ownJobsAtReport)
	}
	return jobs
}

// usableUpstreams returns the upstreams of a service that are available, except
// the tried ones. Suspect ones are returned only if there are no others.
func (d *Dispatcher) usableUpstreams(service string, tried []string, now time.Time) (upstreams []*upstream) {
	var suspects []*upstream
	for _, u := range d.upstreamsByService[service] {
		switch condition := u.condition(now); {
		case condition >= Paused, slices.Contains(tried, u.ID):
		case condition == Suspect:
			suspects = append(suspects, u)
		default:
			upstreams = append(upstreams, u)
		}
	}
	if len(upstreams) == 0 {
		return suspects
	}
	return upstreams
}

// setDistance sets the cost of reaching an upstream, and the round trip beyond that
// within a failure domain. The cost is the round trip and a surcharge for traffic that
// is billed by volume.
func (d *Dispatcher) setDistance(u *upstream) {
	switch {
	case u.FailureDomain == d.options.FailureDomain:
		u.networkCost, u.roundTrip = 0, 0
	case u.region == d.options.Regions[d.options.FailureDomain]:
		u.networkCost, u.roundTrip = d.options.Costs.OtherDomain, domainRoundTrip
	default:
		u.networkCost, u.roundTrip = d.options.Costs.OtherRegion, regionRoundTrip
	}
}

// PlacePlain chooses the upstream for a request without a prompt. The tried
// upstreams are left out. It returns false if no upstream is left.
func (d *Dispatcher) PlacePlain(service string, tried []string, now time.Time) (choice Choice, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lowest := time.Duration(math.MaxInt64)
	for _, u := range d.usableUpstreams(service, tried, now) {
		candidate := Choice{service: service}
		var cost time.Duration
		if pace := u.speed.Pace(now); pace.Active() {
			candidate.Expected, candidate.basis = d.pacedJobTime(u, pace, now)
			cost = candidate.Expected + u.networkSurcharge() + time.Duration(u.spreadWeight*float64(candidate.Expected/plainSpreadDivisor))
		} else {
			candidate.Expected = u.expectedJobTime(now) + u.networkCost
			cost = candidate.Expected
		}
		if cost < lowest {
			candidate.Upstream = u.Upstream
			choice, lowest, ok = candidate, cost, true
		}
	}
	return choice, ok
}

// expectedJobTime returns the expected duration of one more job without a prompt,
// including its wait for one of the slots that the upstream has registered.
func (u *upstream) expectedJobTime(now time.Time) (expected time.Duration) {
	jobTime := u.averageJobTime
	if jobTime == 0 {
		jobTime = defaultJobTime
	}
	return u.crowdedJobTime(jobTime, now)
}

// crowdedJobTime returns the expected duration of a job beside those that the
// upstream has, given its duration without them.
func (u *upstream) crowdedJobTime(jobTime time.Duration, now time.Time) (expected time.Duration) {
	slots := max(u.Slots, 1)
	running := u.runningJobs(now)
	queued := max(0, running+1-slots)
	// Each running job slows the others a little, even while slots are free: as
	// many as there are slots add a quarter of the job time.
	return jobTime + jobTime*time.Duration(queued)/time.Duration(slots) + jobTime*time.Duration(running)/time.Duration(4*slots)
}
