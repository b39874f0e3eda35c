package dispatch

import (
	"cmp"
	"time"

	"github.com/guavagauge/guavagauge/speed"
)

const (
	// slowdownTTL is how long after the last report of a slowdown by an upstream of a
	// service the service counts as one whose upstreams report it.
	slowdownTTL = 5 * time.Second
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
		Condition Condition
		// NetworkCost is the cost of reaching an engine that expected times don't contain.
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
	state := engineState{upstream: u, pace: u.speed.Pace(now)}
	return Standing{Condition: u.condition(now), NetworkCost: state.networkSurcharge()}, true
}

// Outlook returns what is known of the job.
func (j *Job) Outlook(now time.Time) (o Outlook) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	u := j.upstream
	if u == nil {
		return Outlook{Expected: j.choice.Expected, Own: j.choice.Expected, Slowdown: 1}
	}
	o = Outlook{Expected: j.choice.Expected, Own: j.prefillTime, Slowdown: u.slowdown(&j.choice, now) / j.slowdown}
	if o.Own == 0 { // a request without a prompt, or a step that only decodes
		o.Own = o.Expected
	}
	o.Queued = u.reportedLoad.Waiting > 0 && now.Sub(u.reportedAt) < reportedLoadTTL && u.reportedAt.Sub(j.startedAt) > reportDelay
	return o
}

// Recalled records that the job was recalled. If it had waited for longer than expected,
// the model of the upstream's speed learns that the answer would have taken at least this
// long. Otherwise it would learn only from answers that weren't late.
func (j *Job) Recalled(now time.Time) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	if waited := now.Sub(j.startedAt); j.upstream != nil && waited > j.choice.Expected {
		j.upstream.speed.Observe(speed.Answer{Basis: j.choice.basis, Took: waited}, now)
	}
}

// slowdown returns how many times as long as usual the work of a choice takes at an
// upstream, by the model of its speed. Expected times contain it. A choice that was made
// before the model was in force has no kind, and counts as one without a prompt.
func (u *upstream) slowdown(choice *Choice, now time.Time) (factor float64) {
	work := max(choice.Expected, time.Millisecond)
	return float64(u.speed.Pace(now).Work(cmp.Or(choice.basis.Kind, speed.Plain), work)) / float64(work)
}
