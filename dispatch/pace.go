package dispatch

import (
	"slices"
	"time"
)

const (
	// paceSamples is the number of the newest measurements that a pace is taken from,
	// and minPaceSamples the least number. Before that, engines are taken to prefill
	// at Costs.PrefillRate.
	paceSamples    = 32
	minPaceSamples = 5
	// minPaceTokens is the least number of tokens of a prefill that is measured. In
	// a shorter one, the way to the engine and back counts too much.
	minPaceTokens = 1000
	// Measurements beyond these bounds are dropped: their engine waited for something
	// else, or had more of the prompt cached than expected.
	minPace, maxPace = 0.1, 10
)

// pace estimates how much longer than by Costs the engines of a service take for a
// prefill, since the platform doesn't tell their speed. Only prefills at engines
// without other work are measured. The median isn't affected by the few that had to
// wait for work of other nodes which this node didn't know of yet.
type pace struct {
	samples []float64 // newest last
	factor  float64   // 0: unknown
}

// observe adds the measurement of one prefill.
func (p *pace) observe(expected, actual time.Duration) {
	sample := float64(actual) / float64(expected)
	if sample < minPace || sample > maxPace {
		return
	}
	p.samples = append(p.samples, sample)
	p.samples = p.samples[max(0, len(p.samples)-paceSamples):]
	if len(p.samples) >= minPaceSamples {
		sorted := slices.Sorted(slices.Values(p.samples))
		p.factor = sorted[len(sorted)/2]
	}
}

// costsOf returns the costs for the engines of a service, with the times of a
// prefill by their measured pace. It is called with mu held.
func (d *Dispatcher) costsOf(service string) (costs Costs) {
	costs = d.options.Costs
	if p := d.paces[service]; p != nil && p.factor > 0 {
		costs.PrefillRate /= p.factor
		costs.TimePerMillionPairs = time.Duration(float64(costs.TimePerMillionPairs) * p.factor)
		costs.EvictionCost = time.Duration(float64(costs.EvictionCost) * p.factor)
	}
	return costs
}

// observePace measures the prefill of a job that has just ended. It is called with
// mu held.
func (d *Dispatcher) observePace(j *Job, now time.Time) {
	if j.undisturbed <= 0 {
		return
	}
	p := d.paces[j.choice.service]
	if p == nil {
		p = &pace{}
		d.paces[j.choice.service] = p
	}
	p.observe(j.undisturbed, now.Sub(j.startedAt))
}

// undisturbedPrefill returns the time by Costs of a prefill at an engine that has
// no other work, or 0 if the prefill can't be measured: the engine has other work or
// decodes too, part of the prompt is fetched, or it is far away.
func (d *Dispatcher) undisturbedPrefill(u *upstream, choice Choice, now time.Time) (duration time.Duration) {
	tokens := choice.prompt.Tokens
	if !choice.PrefillOnly || choice.Fetch.IsValid() || u.FailureDomain != d.options.FailureDomain || tokens-choice.CachedTokens < minPaceTokens ||
		u.runningJobs(now) > 0 || u.backlog(now) > 0 {
		return 0
	}
	return prefillTime(tokens, choice.CachedTokens, d.options.Costs.PrefillRate, d.options.Costs.TimePerMillionPairs)
}
