// Package experiment measures the decisions of package policy. It runs them
// against a small model of engines in virtual time and compares them with a
// naive version and with a computed bound.
//
// The model covers what the decisions depend on: continuous batching, prefix
// caches, role changes, starts that take minutes, and load reports that are
// late. Connections have a fixed delay. The same seed gives the same table.
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

// Measures of a run.
const (
	measureGoodput     = "goodput"
	measureWorst       = "worst workspace / mean"
	measureRoleChanges = "role changes per engine and swing, most"
	measureSpend       = "spend per good request / least"
	measureFluid       = "spend / engine seconds of the work"
	measureDesk        = "plain calls in time"
	measureReclaimable = "work on reclaimable upstreams"
	measureLost        = "requests lost"
	measureAttempts    = "upstream attempts per request"
)

type (
	// Options selects a run. The zero value of a field means its default.
	Options struct {
		Seed uint64 // default 1
		// Case is one deployment and case, as in "Mopani/flood"; default all.
		Case string
		// Brief leaves out the least spend, which takes most of the time.
		Brief bool
		// Preferences replaces the preset of each deployment.
		Preferences *policy.Preferences
	}

	// Row is one measure of one case.
	Row struct {
		Deployment string
		Case       string
		Measure    string
		Naive      float64
		Current    float64
		Bound      float64
	}

	// Table is the result of a run.
	Table struct {
		Seed uint64
		Rows []Row
	}

	result struct {
		goodput, others, worst, changes, spend, reclaimable, lost, attempts, desk float64
	}
)

// Run measures all cases of both deployments.
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

// String formats the table for a terminal.
func (t Table) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n%-10s %-8s %-40s %8s %8s %8s\n", t.Seed, "deployment", "case", "measure", "naive", "now", "bound")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "%-10s %-8s %-40s %8.3f %8.3f %8.3f\n", r.Deployment, r.Case, r.Measure, r.Naive, r.Current, r.Bound)
	}
	return b.String()
}

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
		one := newSim(d, s, preset, naive, 0)
		one.run(requests)
		return one.result(requests)
	}
	naive, now := run(true), run(false)
	goodput, fluid := bound(generate(options.Seed, d, s), d.most(), s.length, share)
	least := math.NaN()
	if !options.Brief {
		least = leastFleet(options, d, s, preset)
	}
	rows := []Row{
		{Measure: measureGoodput, Naive: naive.goodput, Current: now.goodput, Bound: goodput},
		{Measure: measureWorst, Naive: naive.worst, Current: now.worst, Bound: 1},
		{Measure: measureRoleChanges, Naive: naive.changes, Current: now.changes, Bound: 0},
		{Measure: measureSpend, Naive: naive.spend / naive.goodput / least, Current: now.spend / now.goodput / least, Bound: 1},
		{Measure: measureFluid, Naive: naive.spend / fluid, Current: now.spend / fluid, Bound: 1},
		{Measure: measureReclaimable, Naive: naive.reclaimable, Current: now.reclaimable, Bound: share},
		{Measure: measureLost, Naive: naive.lost, Current: now.lost, Bound: 0},
		{Measure: measureAttempts, Naive: naive.attempts, Current: now.attempts, Bound: 1},
		{Measure: measureDesk, Naive: naive.desk, Current: now.desk, Bound: 1},
	}
	for i := range rows {
		rows[i].Deployment, rows[i].Case = d.name, s.name
	}
	return rows
}

// result computes the measures. Plain calls count apart, since they are easy
// to serve. A workspace that floods is left out of the comparison of
// workspaces: most of its work can't be served.
func (s *sim) result(requests []*request) (r result) {
	var good, sent [len(shares)]float64
	var attempts, started, desk, all float64
	for _, q := range requests {
		ok := 0.0
		if q.good() {
			ok = 1
		}
		if q.lost || !q.refused && q.emitted < q.answer {
			r.lost++
		}
		if q.desk {
			desk++
			r.desk += ok
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
	r.desk /= desk
	r.attempts = attempts / max(started, 1)
	r.worst = 1
	var mean, n, goods, sents float64
	for w := range sent {
		if w != s.scenario.flood && sent[w] > 0 {
			mean += good[w] / sent[w]
			n++
			r.worst = min(r.worst, good[w]/sent[w])
			goods += good[w]
			sents += sent[w]
		}
	}
	r.others = goods / sents
	r.worst /= max(mean/n, 1e-9)
	for _, e := range s.engines {
		if e.desk {
			continue
		}
		price := 1.0
		if e.reclaimable {
			price = reclaimablePrice
		}
		r.spend += price * e.spent.Seconds()
		r.changes = max(r.changes, float64(len(e.changes))/s.scenario.swings())
	}
	r.reclaimable = s.reclaimableWork / max(s.work, 1)
	return r
}

// swings counts the start of the load as one.
func (s scenario) swings() float64 { return float64(len(s.mixes)) }

// good reports whether the caller got the complete answer in time.
func (r *request) good() bool {
	return r.emitted >= r.answer && r.first-r.arrived <= firstTokenObjective &&
		r.last-r.first <= time.Duration(r.answer-1)*paceObjective
}
