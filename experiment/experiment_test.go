package experiment_test

import (
	"fmt"
	"testing"

	"github.com/guavagauge/guavagauge/experiment"
)

// BenchmarkExperiment prints the table of seed 1.
func BenchmarkExperiment(b *testing.B) {
	var table experiment.Table
	for b.Loop() {
		table = experiment.Run(experiment.Options{Seed: 1})
	}
	fmt.Printf("\n%s", table)
}
