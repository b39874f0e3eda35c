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

type (
	// Outlook is what is known of a job that was sent and may not have begun.
	Outlook struct {
		// Expected is the time from sending to the beginning, as it was expected at Begin.
		// Own is the part of it for the job's own work.
		Expected, Own time.Duration
		// Slowdown is how many times as long the work takes now as was expected then.
		Slowdown float64
		// Queued means that the upstream has reported lately, after the job was sent, that
		// requests wait there.
		Queued bool
	}

	// Standing is what is known of an upstream beside the expected times of a choice.
	Standing struct {
		Condition   Condition
		Slowdown    float64 // how many times as long as was expected work takes there
		NetworkCost time.Duration
	}
)

// ReportsSlowdown reports whether an upstream of the service has reported its slowdown
// in the last seconds.
func (d *Dispatcher) ReportsSlowdown(service string, now time.Time) (ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreamsByService[service] {
		if u.reportedLoad.SlowdownPercent > 0 && now.Sub(u.reportedAt) < slowdownTTL {
			return true
		}
	}
	return false
}

// Standing returns what is known of an upstream, and false if it isn't registered.
func (d *Dispatcher) Standing(id string, now time.Time) (s Standing, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return Standing{}, false
	}
	return Standing{Condition: u.condition(now), Slowdown: u.slowdown(now), NetworkCost: d.networkCost(u)}, true
}

// Outlook returns what is known of the job.
func (j *Job) Outlook(now time.Time) (o Outlook) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	u := j.upstream
	if u == nil {
		return Outlook{Expected: j.choice.Expected, Own: j.choice.Expected, Slowdown: 1}
	}
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * j.slowdown) }
	o = Outlook{Expected: scale(j.choice.Expected), Own: scale(j.prefillTime), Slowdown: u.slowdown(now) / j.slowdown}
	if o.Own == 0 { // a request without a prompt, or a step that only decodes
		o.Own = o.Expected
	}
	o.Queued = u.reportedLoad.Waiting > 0 && now.Sub(u.reportedAt) < reportedLoadTTL && u.reportedAt.Sub(j.startedAt) > reportDelay
	return o
}

// slowdown returns how many times as long as usual work takes at an upstream, as it
// reported lately. It is 1 if it didn't. Expected times don't contain it.
func (u *upstream) slowdown(now time.Time) (factor float64) {
	if u.reportedLoad.SlowdownPercent == 0 || now.Sub(u.reportedAt) >= reportedLoadTTL {
		return 1
	}
	return min(max(float64(u.reportedLoad.SlowdownPercent)/100, 1.0/maxSlowdown), maxSlowdown)
}
