package dispatch

import (
	"time"

	"github.com/guavagauge/guavagauge/discovery"
)

// Conditions of an upstream, from the one in which it is used first. How much work
// an upstream has isn't a condition: the expected times count it.
const (
	// Available means that the upstream takes requests.
	Available Condition = iota
	// Suspect means that the upstream has failed or rejected requests. It is used
	// only if no other is available.
	Suspect
	// Paused means that the upstream asked this node for a pause. It gets nothing
	// until the pause ends.
	Paused
	// Leaving means that the upstream is draining, as its entry in the store or one
	// of its answers said. This instance gets nothing any more.
	Leaving
)

const (
	// maxPause bounds the pause that an upstream can ask for, so that an absurd value
	// doesn't take it out of use until this node restarts.
	maxPause = time.Hour
	// leavingTTL is how long this node remembers that an instance leaves. It exceeds
	// the time for which an instance serves on after it has said so, and the outages
	// of the store in which its entry may be removed and written again.
	leavingTTL = 10 * time.Minute
)

type (
	// Condition tells whether a node sends requests to an upstream.
	Condition uint8

	// Evidence is what an upstream says of itself beside the answer to a request:
	// LeavingNotice or PauseRequest.
	Evidence interface{ isEvidence() }

	// LeavingNotice says that the upstream leaves.
	LeavingNotice struct{}

	// PauseRequest says that the upstream wants no request from this node for a time.
	PauseRequest struct{ For time.Duration }

	// UpstreamState is what is known of the upstream of a job.
	UpstreamState struct {
		Registered bool
		Leaving    bool      // it was known to leave, if it isn't registered any more
		AnsweredAt time.Time // of its last answer to this node
	}

	// instance is one start of an upstream. Another start under the same ID or at the
	// same address is another instance, of which earlier evidence says nothing.
	instance struct {
		id        string
		startedAt int64 // Unix milliseconds
	}
)

func (LeavingNotice) isEvidence() {}
func (PauseRequest) isEvidence()  {}

func instanceOf(u discovery.Upstream) instance {
	return instance{id: u.ID, startedAt: u.StartedAt.UnixMilli()}
}

// Observe records what the upstream of the job said of itself. A notice holds for
// this instance even if its entry in the store is removed and written again. A
// pause is only prolonged: a later answer to an earlier request doesn't end it.
func (j *Job) Observe(evidence Evidence, now time.Time) {
	d := j.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	switch e := evidence.(type) {
	case LeavingNotice:
		for known, at := range d.leaving {
			if now.Sub(at) > leavingTTL {
				delete(d.leaving, known)
			}
		}
		d.leaving[instanceOf(j.choice.Upstream)] = now
		if j.upstream != nil {
			j.upstream.saidLeaving = true
		}
	case PauseRequest:
		if until := now.Add(min(e.For, maxPause)); j.upstream != nil && until.After(j.upstream.pausedUntil) {
			j.upstream.pausedUntil = until
		}
	}
}

// condition returns the condition of an upstream.
func (u *upstream) condition(now time.Time) Condition {
	switch {
	case u.Draining, u.saidLeaving:
		return Leaving
	case now.Before(u.pausedUntil):
		return Paused
	case now.Before(u.backoffUntil):
		return Suspect
	default:
		return Available
	}
}

// Condition returns the condition of an upstream, and false if it isn't
// registered.
func (d *Dispatcher) Condition(id string, now time.Time) (condition Condition, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return Leaving, false
	}
	return u.condition(now), true
}

// UpstreamState returns what is known of the job's upstream. A restart is another one.
func (j *Job) UpstreamState() (state UpstreamState) {
	d, u := j.dispatcher, j.upstream
	if u == nil { // already gone when the job began
		return UpstreamState{Leaving: true}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return UpstreamState{Registered: d.upstreams[u.ID] == u, Leaving: u.Draining || u.saidLeaving, AnsweredAt: u.answeredAt}
}

// ResumesIn returns the time until the first upstream of a service that asked for a
// pause can be used again. It returns false if another upstream can be used before
// that, or none of them is paused.
func (d *Dispatcher) ResumesIn(service string, now time.Time) (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreamsByService[service] {
		switch u.condition(now) {
		case Leaving:
		case Paused:
			if remaining := u.pausedUntil.Sub(now); !ok || remaining < wait {
				wait, ok = remaining, true
			}
		default:
			return 0, false
		}
	}
	return wait, ok
}
