package dispatch

import "time"

const (
	// slowdownTTL is how long after the last report of a slowdown by an upstream of a
	// service the service counts as one whose upstreams report it.
	slowdownTTL = 5 * time.Second
	// maxSlowdown bounds a reported slowdown, and 1/maxSlowdown bounds it from below, so
	// that an absurd figure isn't taken for the speed.
	maxSlowdown = 8
	// reportDelay is the time after a job was sent from which a report of its upstream is
	// certain to include it: a round trip between regions.
	reportDelay = 60 * time.Millisecond
)

// Outlook is what is known of a job that was sent and may not have begun.
type Outlook struct {
	// Expected is the time from sending to the beginning, as it was expected at Begin. Own
	// is the part of it for the job's own work.
	Expected, Own time.Duration
	// Queued means that the upstream has reported lately, after the job was sent, that
	// requests wait there.
	Queued bool
}

// ReportsSlowdown reports whether an upstream of the service has reported its slowdown
// in the last seconds.
func (d *Dispatcher) ReportsSlowdown(service string, now time.Time) (ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, known := d.slowdownReportedAt[service]
	return known && now.Sub(at) < slowdownTTL
}

// Slowdown returns how many times as long work takes at an upstream as usual, as it
// reported lately. It is 1 if it didn't.
func (d *Dispatcher) Slowdown(id string, now time.Time) (factor float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil || u.reportedLoad.SlowdownPercent == 0 || now.Sub(u.reportedAt) >= reportedLoadTTL {
		return 1
	}
	return min(max(float64(u.reportedLoad.SlowdownPercent)/100, 1.0/maxSlowdown), maxSlowdown)
}

// NetworkCost returns the cost of reaching the upstream of a choice.
func (d *Dispatcher) NetworkCost(choice Choice) (cost time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.upstreams[choice.Upstream.ID]; u != nil {
		cost = d.networkCost(u)
	}
	return cost
}

// Outlook returns what is known of the job.
func (j *Job) Outlook(now time.Time) (o Outlook) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	o = Outlook{Expected: j.choice.Expected, Own: j.prefillTime}
	if o.Own == 0 { // a request without a prompt, or a step that only decodes
		o.Own = o.Expected
	}
	if u := j.upstream; u != nil {
		o.Queued = u.reportedLoad.Waiting > 0 && now.Sub(u.reportedAt) < reportedLoadTTL && u.reportedAt.Sub(j.startedAt) > reportDelay
	}
	return o
}
