package scheduler

import (
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	// rateWeight is the weight of the newest sample in the measured rate.
	rateWeight = 0.1
	// probation is how long a job that was running at a crash runs beside no
	// other such job. Most requests that crash an upstream do so early, and a
	// longer time would delay the innocent ones behind them.
	probation = 2 * time.Second
	// downTime is how long a lane refuses work after its upstream crashed or
	// refused a connection, so that an upstream that is down costs one attempt
	// in that time and not one for each request.
	downTime = time.Second
	// reclaimTime is how long a reclaim notice holds. Another VM may get the
	// address later.
	reclaimTime = time.Minute
)

// Whether a job may have crashed its upstream.
const (
	blameUnknown blame = iota
	blamed
	notBlamed
)

// How likely a running job has crashed its upstream, from the least on.
const (
	suspicionNone      suspicion = iota
	suspicionServed              // it ran at an earlier crash, but has run for a while since
	suspicionProbation           // it ran at an earlier crash and has just started again
)

type (
	// lane holds the work of one upstream: what waits in its fair queue and
	// what runs. The scheduler knows what it sent, so these counts are right
	// without the upstream's reports.
	lane struct {
		now func() time.Time
		key string // of the upstream

		mu      sync.Mutex
		spec    *fleet.Upstream
		queue   *policy.Queue
		running map[*job]struct{}
		load    Load
		rate    float64 // cost served per second and slot; 0 until measured

		downUntil      time.Time
		reclaimedUntil time.Time
	}

	// job is one attempt that waits or runs.
	job struct {
		item    policy.Item                  // in the queue
		suspect bool                         // it ran on an upstream that crashed
		resumed bool                         // its caller already has a part of the answer
		start   func()                       // lets the work begin and returns at once
		refused func(reason upstream.Reason) // it left the queue without running
		move    func()                       // ends it here so that it goes on elsewhere; nil for plain calls
		waiting bool
		started time.Time
		served  int64 // real cost of a job that succeeded
		late    bool  // it was started although the upstream is leaving
		blamed  blame
	}

	blame     uint8
	suspicion uint8
)

func newLane(spec *fleet.Upstream) *lane {
	return &lane{
		now: time.Now, key: spec.QualifiedName(), spec: spec, queue: policy.NewQueue(policy.QueueOptions{}),
		running: make(map[*job]struct{}),
	}
}

func newJob(origin Principal, suspect, resumed bool, cost int64) *job {
	j := &job{suspect: suspect, resumed: resumed}
	j.item = policy.Item{
		Workspace: origin.Workspace, Weight: origin.Weight, Priority: origin.Priority, Cost: cost, Value: j,
	}
	return j
}

// submit queues a job, or refuses it when it could not start in time.
func (l *lane) submit(j *job, remaining time.Duration) (load Load, failure *upstream.Failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving() {
		return l.digest(), refuse(upstream.ReasonDraining, "the upstream is draining")
	}
	if remaining <= 0 {
		return l.digest(), refuse(upstream.ReasonDeadline, "the deadline has passed")
	}
	if l.now().Before(l.downUntil) {
		return l.digest(), refuse(upstream.ReasonDown, "the upstream is down")
	}
	admission := policy.Admit(policy.AdmitRequest{
		Ahead: l.ahead(j), Rate: l.rate * float64(l.spec.Slots), Deadline: remaining,
	})
	if !admission.OK() && !j.resumed {
		failure = refuse(upstream.ReasonBusy, "the upstream can't start the request in time")
		failure.RetryAfter = admission.RetryAfter
		return l.digest(), failure
	}
	l.enqueue(j)
	l.startWaiting()
	return l.digest(), nil
}

// withdraw takes a job out of the queue, and reports whether it was there.
func (l *lane) withdraw(j *job) (waited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !j.waiting {
		return false
	}
	l.queue.Remove(&j.item)
	l.dequeued(j)
	return true
}

// finished frees a job's slot.
func (l *lane) finished(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, j)
	l.load.Running--
	l.load.RunningCost -= j.item.Cost
	if j.served > 0 {
		l.account(j)
	}
	l.startWaiting()
}

// account takes the real cost of a job into the workspace's share and into the
// measured rate. The estimate counts the whole of max_tokens, which most answers
// don't reach. The caller holds mu.
func (l *lane) account(j *job) {
	l.queue.Charge(j.item.Workspace, j.served-j.item.Cost)
	took := l.now().Sub(j.started).Seconds()
	if took <= 0 {
		return
	}
	sample := float64(j.served) / took
	if l.rate == 0 {
		l.rate = sample
	}
	l.rate += rateWeight * (sample - l.rate)
}

// crashed decides which of the running jobs may have crashed the upstream. A
// job that was running at an earlier crash is on probation alone, so it alone
// is blamed for the next crash. Without one, all such jobs are, or else all.
func (l *lane) crashed(j *job) (isBlamed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.blamed != blameUnknown {
		return j.blamed == blamed
	}
	highest := suspicionNone
	for other := range l.running {
		highest = max(highest, l.suspicion(other))
	}
	for other := range l.running {
		if other.blamed = notBlamed; l.suspicion(other) == highest {
			other.blamed = blamed
		}
	}
	return j.blamed == blamed
}

// update takes over new settings.
func (l *lane) update(spec *fleet.Upstream) {
	l.mu.Lock()
	l.spec = spec
	if spec.State != fleet.Draining {
		l.startWaiting()
	}
	l.mu.Unlock()
	if spec.State == fleet.Draining {
		l.drain(upstream.ReasonDraining)
	}
}

// reclaim refuses new and waiting work and moves what can go on elsewhere.
func (l *lane) reclaim() (running int) {
	l.mu.Lock()
	l.reclaimedUntil = l.now().Add(reclaimTime)
	var moves []func()
	for j := range l.running {
		if j.move != nil {
			moves = append(moves, j.move)
		}
	}
	running = len(l.running)
	l.mu.Unlock()
	l.drain(upstream.ReasonDraining)
	for _, move := range moves {
		move()
	}
	return running
}

// reclaimed reports whether the upstream ends by a reclaim, so that no request
// is blamed for it.
func (l *lane) reclaimed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.reclaimedUntil)
}

// leaving reports whether the upstream takes no new work. The caller holds mu.
func (l *lane) leaving() bool {
	return l.spec.State == fleet.Draining || l.now().Before(l.reclaimedUntil)
}

// down refuses work for a moment, after the upstream crashed or refused a
// connection.
func (l *lane) down() {
	l.mu.Lock()
	l.downUntil = l.now().Add(downTime)
	l.mu.Unlock()
	l.drain(upstream.ReasonDown)
}

// drain refuses all jobs that wait.
func (l *lane) drain(reason upstream.Reason) {
	l.mu.Lock()
	var jobs []*job
	for item := l.queue.Next(); item != nil; item = l.queue.Next() {
		j := item.Value.(*job)
		l.dequeued(j)
		jobs = append(jobs, j)
	}
	l.mu.Unlock()
	for _, j := range jobs {
		j.refused(reason)
	}
}

// current returns the lane's load.
func (l *lane) current() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest()
}

// startWaiting starts jobs while there are free slots. The caller holds mu.
func (l *lane) startWaiting() {
	var held []*job // suspects that wait for another one to end
	for l.load.Running < l.spec.Slots {
		item := l.queue.Next()
		if item == nil {
			break
		}
		j := item.Value.(*job)
		l.dequeued(j)
		if j.suspect && l.onProbation() {
			held = append(held, j)
			continue
		}
		if j.suspect {
			time.AfterFunc(probation, l.wake)
		}
		j.started, j.late = l.now(), l.leaving()
		l.running[j] = struct{}{}
		l.load.Running++
		l.load.RunningCost += j.item.Cost
		j.start()
	}
	for _, j := range held {
		l.enqueue(j)
	}
}

// wake starts jobs that waited for the end of a probation.
func (l *lane) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startWaiting()
}

func (l *lane) onProbation() bool {
	for j := range l.running {
		if l.suspicion(j) == suspicionProbation {
			return true
		}
	}
	return false
}

func (l *lane) suspicion(j *job) suspicion {
	switch {
	case !j.suspect:
		return suspicionNone
	case l.now().Sub(j.started) < probation:
		return suspicionProbation
	default:
		return suspicionServed
	}
}

// ahead is the cost that would be served before the job starts: nothing while
// a slot is free. The caller holds mu.
func (l *lane) ahead(j *job) (cost int64) {
	if l.load.Running < l.spec.Slots && l.load.Waiting == 0 || l.rate == 0 {
		return 0 // a free slot, or nothing known of the upstream's speed
	}
	return l.queue.Ahead(j.item.Workspace, j.item.Weight, j.item.Cost)
}

// enqueue and dequeued keep the counts. The caller holds mu.
func (l *lane) enqueue(j *job) {
	l.queue.Push(&j.item)
	j.waiting = true
	l.load.Waiting++
	l.load.WaitingCost += j.item.Cost
}

func (l *lane) dequeued(j *job) {
	j.waiting = false
	l.load.Waiting--
	l.load.WaitingCost -= j.item.Cost
}

func (l *lane) digest() (load Load) {
	load = l.load
	load.Slots = l.spec.Slots
	load.Draining = l.leaving()
	return load
}

func refuse(reason upstream.Reason, detail string) *upstream.Failure {
	return &upstream.Failure{Reason: reason, Progress: upstream.NotWritten, Detail: detail}
}

func (l *lane) idle() bool {
	load := l.current()
	return load.Running == 0 && load.Waiting == 0
}
