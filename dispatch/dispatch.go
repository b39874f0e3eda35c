// Package dispatch decides which upstream serves a request, and when a request
// is refused because none can serve it in time. It knows the upstreams, the work
// that this node has sent to them, what other nodes say that they sent, and
// which parts of prompts each engine probably keeps. It uses neither network nor
// clock: the time is an argument.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{FailureDomain: "a", Regions: regions})
//	d.Sync(upstreams, services)
//	plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: prompt}, now)
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
)

// How a job ended.
const (
	// Served means that the upstream answered.
	Served Outcome = iota
	// Rejected means that the upstream was full.
	Rejected
	// Broken means that the upstream didn't answer, or spoilt its answer.
	Broken
	// Abandoned means that the caller left.
	Abandoned
)

const (
	// avoidFirst and avoidLimit bound how long an upstream that failed gets only
	// work that no other can take. It doubles with each failure in a row.
	avoidFirst = 300 * time.Millisecond
	avoidLimit = 4 * time.Second
	// ownLoadLife is how long the load that an upstream told counts.
	ownLoadLife = 400 * time.Millisecond
)

type (
	// Outcome is how a job ended.
	Outcome uint8

	// Options of a Dispatcher.
	Options struct {
		FailureDomain string
		Regions       map[string]string // of each failure domain
		Costs         Costs
	}

	// Dispatcher holds what one node knows about upstreams. It is safe for
	// concurrent use.
	Dispatcher struct {
		options Options

		mu        sync.Mutex
		upstreams map[string]*upstream
		services  map[string][]*upstream
		config    map[string]*routing.Service
		placed    []CacheInsert // by this node, lately
	}

	// Choice is an upstream for one step of a request.
	Choice struct {
		Upstream discovery.Upstream
		// PrefillTime is the time that reading the prompt is expected to take
		// there, and Expected the time until the step is done, with waiting.
		PrefillTime, Expected time.Duration
		// Fetch is the address of another engine from which cached parts of the
		// prompt are fetched, if valid.
		Fetch netip.AddrPort
		// CachedTokens is the number of tokens that the engine probably keeps
		// or fetches.
		CachedTokens int

		prompt  platform.Prompt
		service string
	}

	// Job is work that was sent to an upstream.
	Job struct {
		dispatcher *Dispatcher
		upstream   *upstream
		choice     Choice
		read       time.Duration
		began      time.Time
		finished   bool // reading
		ended      bool
	}

	upstream struct {
		discovery.Upstream
		region string
		jobs   map[*Job]struct{}
		unread time.Duration // of jobs whose prompt isn't read yet
		// busySince is when the first of these was sent.
		busySince time.Time
		// ownTokens counts the tokens of this node's prompts that the engine read
		// without other nodes being told of their parts.
		ownTokens int64
		// domainTokens counts those of other nodes of the failure domain.
		domainTokens int64
		// lastRead is when any node's prompt was last read to its end or given up,
		// and ownRead when one of this node was.
		lastRead, ownRead time.Time
		peers             map[string]peerLoad
		// peerTokens are the other nodes' ownTokens, as told last.
		peerTokens map[string]int64
		load       platform.Load
		loadAt     time.Time
		loadOwn    int // this node's jobs when the load was told
		cache      *cache
		work       time.Duration // smoothed time of a plain job
		failures   int
		avoid      time.Time // until when other upstreams go first
	}
)

// New returns a dispatcher that knows no upstream.
func New(options Options) *Dispatcher {
	options.Costs = options.Costs.withDefaults()
	return &Dispatcher{options: options, upstreams: map[string]*upstream{}, services: map[string][]*upstream{}, config: map[string]*routing.Service{}}
}

// Sync takes the registered upstreams and the services of the configuration in
// force. It returns the IDs of upstreams that are gone.
func (d *Dispatcher) Sync(registered []discovery.Upstream, services []routing.Service) (gone []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = map[string]*routing.Service{}
	for i := range services {
		d.config[services[i].Name] = &services[i]
	}
	listed := map[string]bool{}
	d.services = map[string][]*upstream{}
	for _, r := range registered {
		listed[r.ID] = true
		u := d.upstreams[r.ID]
		if u == nil || !u.StartedAt.Equal(r.StartedAt) || u.Address != r.Address {
			if u != nil {
				gone = append(gone, r.ID)
			}
			u = &upstream{jobs: map[*Job]struct{}{}, peers: map[string]peerLoad{}, peerTokens: map[string]int64{}, cache: newCache()}
			d.upstreams[r.ID] = u
		}
		u.Upstream, u.region = r, d.options.Regions[r.FailureDomain]
		if service := d.config[r.Service]; service != nil && service.Engine != nil {
			u.cache.capacity = service.Engine.KVCapacity
		}
		d.services[r.Service] = append(d.services[r.Service], u)
	}
	for id := range d.upstreams {
		if !listed[id] {
			delete(d.upstreams, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Begin notes that a request is sent to an upstream.
func (d *Dispatcher) Begin(choice Choice, now time.Time) (job *Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	job = &Job{dispatcher: d, choice: choice, read: choice.PrefillTime, began: now, upstream: d.upstreams[choice.Upstream.ID]}
	u := job.upstream
	if u == nil { // gone meanwhile; the job is counted nowhere
		job.ended = true
		return job
	}
	if u.unread == 0 {
		u.busySince = now
	}
	u.jobs[job] = struct{}{}
	u.unread += job.read
	u.cache.use(choice.prompt)
	return job
}

// Upstream returns the upstream that the job was sent to.
func (j *Job) Upstream() (upstream discovery.Upstream) { return j.choice.Upstream }

// PrefillDone notes that the prompt was read: the answer began.
func (j *Job) PrefillDone(now time.Time) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	j.finishRead(now, true)
}

// ObserveLoad takes the load that the upstream told with an answer.
func (j *Job) ObserveLoad(load platform.Load, now time.Time) {
	if !load.Known {
		return
	}
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	if u := j.upstream; u != nil {
		u.load, u.loadAt, u.loadOwn = load, now, len(u.jobs)
	}
}

// End notes how the job ended. Further calls have no effect.
func (j *Job) End(now time.Time, outcome Outcome) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	if j.ended {
		return
	}
	j.ended = true
	j.finishRead(now, outcome == Served)
	u := j.upstream
	delete(u.jobs, j)
	switch outcome {
	case Served:
		u.failures, u.avoid = 0, time.Time{}
		u.work += (now.Sub(j.began) - u.work) / 8
	case Rejected, Broken:
		u.failures++
		u.avoid = now.Add(min(avoidFirst<<min(u.failures-1, 8), avoidLimit))
	case Abandoned:
	}
}

// finishRead notes that the prompt was read, or that it won't be. It is called
// with mu held.
func (j *Job) finishRead(now time.Time, kept bool) {
	u := j.upstream
	if u == nil || j.finished {
		return
	}
	j.finished = true
	if kept {
		u.cache.read(j.choice.prompt)
		j.dispatcher.note(u, j.choice.prompt, now)
	} else {
		u.cache.forget(j.choice.prompt)
	}
	if j.read > 0 {
		u.unread -= j.read
		u.lastRead, u.ownRead = now, now
	}
}

// running is the number of jobs that an upstream probably works on.
func (u *upstream) running(now time.Time) (jobs int) {
	jobs = len(u.jobs)
	for _, peer := range u.peers {
		if now.Sub(peer.at) < peerLoadLife {
			jobs += peer.running
		}
	}
	if age := now.Sub(u.loadAt); age < ownLoadLife {
		// Its own account covers all callers, but not what was sent since.
		jobs = max(jobs, u.load.Running+u.load.Waiting+len(u.jobs)-u.loadOwn)
	}
	return jobs
}

// usable returns the upstreams of a service that take work, without those that
// are tried. Those that failed lately are left out if others remain.
func (d *Dispatcher) usable(service string, tried []string, now time.Time) (upstreams []*upstream) {
	var avoided []*upstream
	for _, u := range d.services[service] {
		switch {
		case u.Draining, slices.Contains(tried, u.ID):
		case now.Before(u.avoid):
			avoided = append(avoided, u)
		default:
			upstreams = append(upstreams, u)
		}
	}
	if len(upstreams) == 0 {
		return avoided
	}
	return upstreams
}

// distance returns the cost of reaching an upstream, as the round trip and a
// surcharge for traffic that is paid by volume.
func (d *Dispatcher) distance(u *upstream) (cost time.Duration) {
	switch {
	case u.FailureDomain == d.options.FailureDomain:
		return 0
	case u.region == d.options.Regions[d.options.FailureDomain]:
		return d.options.Costs.OtherDomain
	default:
		return d.options.Costs.OtherRegion
	}
}

// PlacePlain chooses an upstream for a request without a prompt.
func (d *Dispatcher) PlacePlain(service string, tried []string, now time.Time) (choice Choice, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *upstream
	lowest := time.Duration(math.MaxInt64)
	for _, u := range d.usable(service, tried, now) {
		if cost := u.plainWait(now) + d.distance(u); cost < lowest {
			best, lowest = u, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Upstream: best.Upstream, Expected: lowest, service: service}, true
}

// plainWait is the expected time until a further job is done.
func (u *upstream) plainWait(now time.Time) (wait time.Duration) {
	work := u.work
	if work == 0 {
		work = defaultWork
	}
	slots := max(u.Slots, 1)
	running := u.running(now)
	waiting := max(0, running+1-slots)
	// A busy upstream is a little slower than an idle one.
	return work + work*time.Duration(waiting)/time.Duration(slots) + work*time.Duration(running)/time.Duration(4*slots)
}
