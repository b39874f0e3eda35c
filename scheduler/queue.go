package scheduler

import (
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	// rateWeight is the weight of the newest sample in the moving average of the
	// service rate. A larger one follows changes sooner, but lets single jobs
	// with unusual rates decide whether others are refused.
	rateWeight = 0.1
	// trialPeriod is how long a poison suspect, a job that ran on an upstream
	// when it crashed, runs before another suspect may start beside it. Most
	// requests that crash an upstream do so early, and a longer period would
	// delay the harmless suspects behind them.
	trialPeriod = 2 * time.Second
	// downCooldown is how long requests are refused after the upstream crashed or
	// refused a connection, so that an upstream that is down costs one attempt
	// per cooldown and not one per request.
	downCooldown = time.Second
	// reclaimDuration is how long a reclaim notice is valid. Another VM may get
	// the upstream's address afterwards.
	reclaimDuration = time.Minute
)

// Whether a job is blamed for a crash of its upstream.
const (
	blameUnknown blame = iota
	blamed
	notBlamed
)

// How strongly a running job is suspected of having crashed its upstream, in
// ascending order.
const (
	suspicionNone        suspicion = iota
	suspicionPassedTrial           // poison suspect that has run for at least trialPeriod
	suspicionOnTrial               // poison suspect that started less than trialPeriod ago
)

type (
	// upstreamQueue holds the jobs of one upstream: those waiting in its fair
	// queue and those running. It counts the jobs that the scheduler itself
	// sent, so its load is exact without load reports from the upstream.
	upstreamQueue struct {
		now func() time.Time
		key string // the upstream's qualified name

		mu      sync.Mutex
		spec    *fleet.Upstream
		queue   *policy.Queue
		running map[*job]struct{}
		load    Load
		// rate is the moving average of the cost served per second and slot, 0
		// until the first sample. Only generations give samples: an upstream for
		// plain calls refuses none because of its deadline.
		rate float64

		downUntil      time.Time
		reclaimedUntil time.Time
	}

	// job is one attempt that is waiting or running.
	job struct {
		item                 policy.Item                  // its entry in the fair queue
		poisonSuspect        bool                         // an earlier attempt ran on an upstream that crashed
		resumed              bool                         // the caller already has a part of the response
		start                func()                       // starts the request without blocking
		reject               func(reason upstream.Reason) // called when the job leaves the queue without running
		failOver             func()                       // ends the attempt so that the entry node resumes it on another upstream; nil for plain calls, which can't be resumed
		waiting              bool
		started              time.Time
		actualCost           int64 // set when a generation succeeded; 0 otherwise
		startedWhileDraining bool  // recorded at the start for the check of invariant.NoWorkWhenDraining
		blame                blame // set by the first job that reports the crash
	}

	blame     uint8
	suspicion uint8
)

func newUpstreamQueue(spec *fleet.Upstream) *upstreamQueue {
	return &upstreamQueue{
		now: time.Now, key: spec.QualifiedName(), spec: spec, queue: policy.NewQueue(policy.QueueOptions{}),
		running: make(map[*job]struct{}),
	}
}

func newJob(principal Principal, poisonSuspect, resumed bool, cost int64) *job {
	j := &job{poisonSuspect: poisonSuspect, resumed: resumed}
	j.item = policy.Item{
		Workspace: principal.Workspace, Weight: principal.Weight, Priority: principal.Priority, Cost: cost, Value: j,
	}
	return j
}

// submit queues a job, or refuses it if the upstream accepts no requests or
// can't start it before its deadline. A resumed job is queued even when its
// start is expected to be late.
func (q *upstreamQueue) submit(j *job, remaining time.Duration) (load Load, failure *upstream.Failure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.draining() {
		return q.loadLocked(), newRefusal(upstream.ReasonDraining, "the upstream is draining")
	}
	if remaining <= 0 {
		return q.loadLocked(), newRefusal(upstream.ReasonDeadline, "the request's deadline has passed")
	}
	if q.now().Before(q.downUntil) {
		return q.loadLocked(), newRefusal(upstream.ReasonDown, "the upstream is marked down after a crash or refused connection")
	}
	admission := policy.Admit(policy.AdmitRequest{
		Ahead: q.costAhead(j), Rate: q.rate * float64(q.spec.Slots), Deadline: remaining,
	})
	if !admission.OK() && !j.resumed {
		failure = newRefusal(upstream.ReasonBusy, "the upstream can't start the request before its deadline")
		failure.RetryAfter = admission.RetryAfter
		return q.loadLocked(), failure
	}
	q.enqueue(j)
	q.startWaiting()
	return q.loadLocked(), nil
}

// remove removes a job from the queue and reports whether it was waiting there.
func (q *upstreamQueue) remove(j *job) (waited bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !j.waiting {
		return false
	}
	q.queue.Remove(&j.item)
	q.markDequeued(j)
	return true
}

// finish frees the slot of a job that ran and starts waiting jobs.
func (q *upstreamQueue) finish(j *job) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.running, j)
	q.load.Running--
	q.load.RunningCost -= j.item.Cost
	if j.actualCost > 0 {
		q.recordActualCost(j)
	}
	q.startWaiting()
}

// recordActualCost corrects the workspace's fair share by the actual cost of a
// job and updates the service rate. The estimated cost assumes max_tokens
// generated tokens, which most completions don't reach. The caller holds mu.
func (q *upstreamQueue) recordActualCost(j *job) {
	q.queue.Charge(j.item.Workspace, j.actualCost-j.item.Cost)
	elapsed := q.now().Sub(j.started).Seconds()
	if elapsed <= 0 {
		return
	}
	sample := float64(j.actualCost) / elapsed
	if q.rate == 0 {
		q.rate = sample
	}
	q.rate += rateWeight * (sample - q.rate)
}

// assignBlame decides which running jobs are blamed for a crash of the upstream
// and reports whether j, which is still running, is one of them. The first job
// that notices the crash decides for all running ones; the others get that
// decision. Only one poison suspect at a time is in its trial period; if there is
// one, it alone is blamed. Otherwise all running suspects are blamed, or all
// running jobs if none is a suspect.
func (q *upstreamQueue) assignBlame(j *job) (isBlamed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if j.blame != blameUnknown {
		return j.blame == blamed
	}
	highest := suspicionNone
	for other := range q.running {
		highest = max(highest, q.suspicion(other))
	}
	for other := range q.running {
		if other.blame = notBlamed; q.suspicion(other) == highest {
			other.blame = blamed
		}
	}
	return j.blame == blamed
}

// updateSpec applies new settings of the upstream.
func (q *upstreamQueue) updateSpec(spec *fleet.Upstream) {
	q.mu.Lock()
	q.spec = spec
	if spec.State != fleet.Draining {
		q.startWaiting()
	}
	q.mu.Unlock()
	if spec.State == fleet.Draining {
		q.rejectWaiting(upstream.ReasonDraining)
	}
}

// reclaim rejects new and waiting jobs and fails running generations over to
// other upstreams. It returns the number of jobs that were running.
func (q *upstreamQueue) reclaim() (running int) {
	q.mu.Lock()
	q.reclaimedUntil = q.now().Add(reclaimDuration)
	var failOvers []func()
	for j := range q.running {
		if j.failOver != nil {
			failOvers = append(failOvers, j.failOver)
		}
	}
	running = len(q.running)
	q.mu.Unlock()
	q.rejectWaiting(upstream.ReasonDraining)
	for _, failOver := range failOvers {
		failOver()
	}
	return running
}

// reclaimed reports whether the platform is reclaiming the upstream. A
// connection that breaks then is not blamed on a request.
func (q *upstreamQueue) reclaimed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.now().Before(q.reclaimedUntil)
}

// draining reports whether the upstream accepts no new requests, because of its
// settings or a reclaim notice. The caller holds mu.
func (q *upstreamQueue) draining() bool {
	return q.spec.State == fleet.Draining || q.now().Before(q.reclaimedUntil)
}

// markDown rejects new and waiting jobs for downCooldown, after the upstream
// crashed or refused a connection.
func (q *upstreamQueue) markDown() {
	q.mu.Lock()
	q.downUntil = q.now().Add(downCooldown)
	q.mu.Unlock()
	q.rejectWaiting(upstream.ReasonDown)
}

// rejectWaiting rejects all waiting jobs.
func (q *upstreamQueue) rejectWaiting(reason upstream.Reason) {
	q.mu.Lock()
	var jobs []*job
	for item := q.queue.Next(); item != nil; item = q.queue.Next() {
		j := item.Value.(*job)
		q.markDequeued(j)
		jobs = append(jobs, j)
	}
	q.mu.Unlock()
	for _, j := range jobs {
		j.reject(reason)
	}
}

// currentLoad returns the upstream's load.
func (q *upstreamQueue) currentLoad() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.loadLocked()
}

// startWaiting starts waiting jobs while there are free slots. The caller holds
// mu.
func (q *upstreamQueue) startWaiting() {
	var deferred []*job // poison suspects that wait for the end of another suspect's trial period
	for q.load.Running < q.spec.Slots {
		item := q.queue.Next()
		if item == nil {
			break
		}
		j := item.Value.(*job)
		q.markDequeued(j)
		if j.poisonSuspect && q.hasTrial() {
			deferred = append(deferred, j)
			continue
		}
		if j.poisonSuspect {
			time.AfterFunc(trialPeriod, q.startAfterTrial)
		}
		j.started, j.startedWhileDraining = q.now(), q.draining()
		q.running[j] = struct{}{}
		q.load.Running++
		q.load.RunningCost += j.item.Cost
		j.start()
	}
	for _, j := range deferred {
		q.enqueue(j)
	}
}

// startAfterTrial starts poison suspects that waited for the end of another
// suspect's trial period.
func (q *upstreamQueue) startAfterTrial() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startWaiting()
}

// hasTrial reports whether a running poison suspect is in its trial period. The
// caller holds mu.
func (q *upstreamQueue) hasTrial() bool {
	for j := range q.running {
		if q.suspicion(j) == suspicionOnTrial {
			return true
		}
	}
	return false
}

// suspicion returns how strongly a running job is suspected of a crash. The
// caller holds mu.
func (q *upstreamQueue) suspicion(j *job) suspicion {
	switch {
	case !j.poisonSuspect:
		return suspicionNone
	case q.now().Sub(j.started) < trialPeriod:
		return suspicionOnTrial
	default:
		return suspicionPassedTrial
	}
}

// costAhead estimates the cost that is served before the job starts. The caller
// holds mu.
func (q *upstreamQueue) costAhead(j *job) (cost int64) {
	if q.load.Running < q.spec.Slots && q.load.Waiting == 0 || q.rate == 0 {
		return 0 // a slot is free, or the service rate is still unknown
	}
	return q.queue.Ahead(j.item.Workspace, j.item.Weight, j.item.Cost)
}

// enqueue adds a job to the fair queue and the waiting load. The caller holds mu.
func (q *upstreamQueue) enqueue(j *job) {
	q.queue.Push(&j.item)
	j.waiting = true
	q.load.Waiting++
	q.load.WaitingCost += j.item.Cost
}

// markDequeued removes a job that left the fair queue from the waiting load. The
// caller holds mu.
func (q *upstreamQueue) markDequeued(j *job) {
	j.waiting = false
	q.load.Waiting--
	q.load.WaitingCost -= j.item.Cost
}

// loadLocked returns the upstream's load. The caller holds mu.
func (q *upstreamQueue) loadLocked() (load Load) {
	load = q.load
	load.Slots = q.spec.Slots
	load.Draining = q.draining()
	return load
}

// newRefusal returns the failure of a request that did not run.
func newRefusal(reason upstream.Reason, detail string) *upstream.Failure {
	return &upstream.Failure{Reason: reason, Progress: upstream.NotWritten, Detail: detail}
}

func (q *upstreamQueue) idle() bool {
	load := q.currentLoad()
	return load.Running == 0 && load.Waiting == 0
}
