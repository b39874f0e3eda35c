package experiment_test

import (
	"fmt"
	"testing"

	"github.com/guavagauge/guavagauge/experiment"
)

// Guards against a table that depends on anything but its seed, such as the
// order of a map, and against a seed that has no effect.
func TestTableRepeats(t *testing.T) {
	run := func(seed uint64) string {
		return experiment.Run(experiment.Options{Seed: seed, Brief: true, Case: "Mwakyusa/reclaim"}).String()
	}
	first := run(1)
	if again := run(1); first != again {
		t.Errorf("seed 1 gave\n%s\nand then\n%s", first, again)
	}
	if other := run(2); first == other {
		t.Error("seeds 1 and 2 gave the same table")
	}
}

// Guards against a change of a decision that misses a target that was met.
func TestTargets(t *testing.T) {
	low := map[string]float64{"worst workspace / mean": 0.8, "work on reclaimable upstreams": 0.5}
	high := map[string]float64{
		"role changes per engine and swing, most": 2, "requests lost": 0, "upstream attempts per request": 1.2,
	}
	for _, row := range experiment.Run(experiment.Options{Seed: 1, Brief: true, Case: "Mwakyusa/flood"}).Rows {
		least, hasLeast := low[row.Measure]
		most, hasMost := high[row.Measure]
		if row.Measure == "goodput" {
			least, hasLeast = 0.9*row.Bound, true
		}
		if hasLeast && row.Current < least || hasMost && row.Current > most {
			t.Errorf("%s %s: %s is %.3f", row.Deployment, row.Case, row.Measure, row.Current)
		}
	}
}

// BenchmarkExperiment prints the table of seed 1.
func BenchmarkExperiment(b *testing.B) {
	var table experiment.Table
	for b.Loop() {
		table = experiment.Run(experiment.Options{Seed: 1})
	}
	fmt.Printf("\n%s", table)
}
