// Package experiment measures the decisions of package policy. It simulates a
// fleet of model engines under these decisions in virtual time, and compares the
// results with those of a naive fleet and with a computed bound.
//
// The naive fleet has a constant number of reserved engines, all in the mixed
// role, round robin placement, queues in order of arrival and no admission
// control.
//
// The simulation covers what the decisions depend on: continuous batching,
// prefix caches, role changes, engine starts that take minutes, and delayed load
// reports. Network latency is constant. The same seed gives the same table.
// The parameters of the simulated engines, the workload and the prices are
// constants of this package; no setting of a node changes them.
//
// The subcommand experiment prints the table. Run simulates the cases in parallel;
// each has a simulation of its own, which one goroutine uses.
//
// # Usage
//
//	fmt.Print(experiment.Run(experiment.Options{Seed: 1}))
package experiment

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/policy"
)

// Names of the measures in the table.
const (
	measureGoodput        = "goodput"
	measureWorstWorkspace = "worst workspace / mean"
	measureRoleChanges    = "role changes per engine and swing, most"
	measureSpend          = "spend per good request / least"
	measureSpendPerWork   = "spend / engine seconds of the work"
	measurePlainCalls     = "plain calls in time"
	measureReclaimable    = "work on reclaimable upstreams"
	measureLost           = "requests lost"
	measureAttempts       = "upstream attempts per request"
)

type (
	// Options select what Run measures. The zero value of a field means its
	// default.
	Options struct {
		Seed uint64 // default 1
		// Case limits the run to one case of one deployment, such as
		// "Mopani/flood". By default Run measures all. The table has no rows if no
		// case has this name.
		Case string
		// SkipLeastSpend skips the search for the smallest constant fleet, which
		// takes most of the time. Spend relative to it is then NaN, as it is if no
		// fleet that the search tries is large enough.
		SkipLeastSpend bool
		// Preferences, if not nil, replaces the preset of each deployment.
		Preferences *policy.Preferences
	}

	// Row is one measure of one case.
	Row struct {
		Deployment string
		Case       string
		Measure    string
		Naive      float64 // without the decisions of package policy
		Current    float64 // with them; the column "now" of the table
		Bound      float64 // best value possible
	}

	// Table is the result of Run.
	Table struct {
		Seed uint64
		Rows []Row
	}

	// result holds the measures of one simulation. goodput is the share of the model
	// requests that were answered within both objectives, and plainCalls that of the
	// plain calls. nonFlooding is the goodput of all workspaces but the flooding one.
	// spend is in seconds of a reserved engine. lost is the number of requests that
	// were on a reclaimed engine at its end, or were neither refused nor completed.
	result struct {
		goodput, nonFlooding, worstWorkspace, roleChanges, spend, reclaimable, lost, attempts, plainCalls float64
	}
)

// Run measures the selected cases and returns their table.
func Run(options Options) (table Table) {
	if options.Seed == 0 {
		options.Seed = 1
	}
	table.Seed = options.Seed
	var wait sync.WaitGroup
	parts := make([][]Row, len(deployments)*len(scenarios))
	for i := range parts {
		d, s := deployments[i/len(scenarios)], scenarios[i%len(scenarios)]
		if options.Case == "" || options.Case == d.name+"/"+s.name {
			wait.Go(func() { parts[i] = measure(options, d, s) })
		}
	}
	wait.Wait()
	table.Rows = slices.Concat(parts...)
	return table
}

// String returns the table as aligned text.
func (t Table) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n%-10s %-8s %-40s %8s %8s %8s\n", t.Seed, "deployment", "case", "measure", "naive", "now", "bound")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "%-10s %-8s %-40s %8.3f %8.3f %8.3f\n", r.Deployment, r.Case, r.Measure, r.Naive, r.Current, r.Bound)
	}
	return b.String()
}

// measure simulates one case with the naive fleet and with the decisions of
// package policy.
func measure(options Options, d deployment, s scenario) []Row {
	preset := policy.Goodput()
	if d.name == "Mwakyusa" {
		preset = policy.WorstServed()
	}
	if options.Preferences != nil {
		preset = *options.Preferences
	}
	full := policy.CapacityRequest{InterruptibleShare: 1}
	share := float64(full.MaxReclaimable(d.engines, preset)) / float64(d.engines)
	run := func(naive bool) result {
		requests := generate(options.Seed, d, s)
		simulation := newSim(d, s, preset, naive, 0)
		simulation.run(requests)
		return simulation.result(requests)
	}
	naive, current := run(true), run(false)
	goodput, minSpend := bound(generate(options.Seed, d, s), d.maxEngines(), s.duration, share)
	leastSpend := math.NaN()
	if !options.SkipLeastSpend {
		leastSpend = smallestFleetSpend(options, d, s, preset)
	}
	rows := []Row{
		{Measure: measureGoodput, Naive: naive.goodput, Current: current.goodput, Bound: goodput},
		{Measure: measureWorstWorkspace, Naive: naive.worstWorkspace, Current: current.worstWorkspace, Bound: 1},
		{Measure: measureRoleChanges, Naive: naive.roleChanges, Current: current.roleChanges, Bound: 0},
		{Measure: measureSpend, Naive: naive.spend / naive.goodput / leastSpend, Current: current.spend / current.goodput / leastSpend, Bound: 1},
		{Measure: measureSpendPerWork, Naive: naive.spend / minSpend, Current: current.spend / minSpend, Bound: 1},
		{Measure: measureReclaimable, Naive: naive.reclaimable, Current: current.reclaimable, Bound: share},
		{Measure: measureLost, Naive: naive.lost, Current: current.lost, Bound: 0},
		{Measure: measureAttempts, Naive: naive.attempts, Current: current.attempts, Bound: 1},
		{Measure: measurePlainCalls, Naive: naive.plainCalls, Current: current.plainCalls, Bound: 1},
	}
	for i := range rows {
		rows[i].Deployment, rows[i].Case = d.name, s.name
	}
	return rows
}

// result computes the measures of a finished simulation. Calls of the plain
// service are counted apart, because they are easy to serve. The flooding
// workspace is left out of the comparison of workspaces, because most of its
// requests can't be served.
func (s *sim) result(requests []*request) (r result) {
	var good, sent [len(requestShares)]float64
	var attempts, started, plain, all float64
	for _, q := range requests {
		ok := 0.0
		if q.good() {
			ok = 1
		}
		if q.lost || !q.refused && q.emitted < q.answer {
			r.lost++
		}
		if q.plain {
			plain++
			r.plainCalls += ok
			continue
		}
		all++
		sent[q.workspace]++
		good[q.workspace] += ok
		r.goodput += ok
		if q.attempts > 0 {
			started++
			attempts += float64(q.attempts)
		}
	}
	r.goodput /= all
	r.plainCalls /= plain
	r.attempts = attempts / max(started, 1)
	r.worstWorkspace = 1
	var mean, n, nonFloodingGood, nonFloodingSent float64
	for w := range sent {
		if w != s.scenario.floodWorkspace && sent[w] > 0 {
			mean += good[w] / sent[w]
			n++
			r.worstWorkspace = min(r.worstWorkspace, good[w]/sent[w])
			nonFloodingGood += good[w]
			nonFloodingSent += sent[w]
		}
	}
	r.nonFlooding = nonFloodingGood / nonFloodingSent
	r.worstWorkspace /= max(mean/n, 1e-9)
	for _, e := range s.engines {
		if e.plain {
			continue
		}
		price := 1.0
		if e.reclaimable {
			price = reclaimablePrice
		}
		r.spend += price * e.serviceTime.Seconds()
		r.roleChanges = max(r.roleChanges, float64(len(e.roleChanges))/s.scenario.swings())
	}
	r.reclaimable = s.reclaimableWorkDone / max(s.workDone, 1)
	return r
}

// swings returns the number of times that the request mix changes. The start of
// the load counts as one.
func (s scenario) swings() float64 { return float64(len(s.mixes)) }

// good reports whether the caller got the complete answer within both
// objectives.
func (r *request) good() bool {
	return r.emitted >= r.answer && r.firstTokenAt-r.arrivedAt <= firstTokenObjective &&
		r.lastTokenAt-r.firstTokenAt <= time.Duration(r.answer-1)*tokenIntervalObjective
}
