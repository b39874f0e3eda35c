package experiment_test

import (
	"fmt"
	"testing"

	"github.com/guavagauge/guavagauge/experiment"
)

// Guards against results that depend on anything but the options, such as the
// iteration order of a map, and against a seed that has no effect.
func TestSameSeedGivesSameTable(t *testing.T) {
	run := func(seed uint64) string {
		return experiment.Run(experiment.Options{Seed: seed, SkipLeastSpend: true, Case: "Mwakyusa/reclaim"}).String()
	}
	first := run(1)
	if again := run(1); first != again {
		t.Errorf("seed 1 printed\n%s\nin the first run and\n%s\nin the second", first, again)
	}
	if other := run(2); first == other {
		t.Error("seeds 1 and 2 printed the same table")
	}
}

// Guards against changes to package policy after which a measure misses its
// target.
func TestMeasuresMeetTargets(t *testing.T) {
	minimum := map[string]float64{"worst workspace / mean": 0.8, "work on reclaimable upstreams": 0.5}
	maximum := map[string]float64{
		"role changes per engine and swing, most": 2, "requests lost": 0, "upstream attempts per request": 1.2,
	}
	for _, row := range experiment.Run(experiment.Options{Seed: 1, SkipLeastSpend: true, Case: "Mwakyusa/flood"}).Rows {
		least, hasLeast := minimum[row.Measure]
		most, hasMost := maximum[row.Measure]
		if row.Measure == "goodput" {
			least, hasLeast = 0.9*row.Bound, true
		}
		if hasLeast && row.Current < least || hasMost && row.Current > most {
			t.Errorf("%s/%s: %s is %.3f, which misses the target", row.Deployment, row.Case, row.Measure, row.Current)
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
