package command

import (
	"fmt"

	"github.com/guavagauge/guavagauge/experiment"
)

func newExperiment() *subcommand {
	seed := uint64(1)
	c := newSubcommand("experiment", "simulates the scheduling decisions and compares them with a naive version and a bound",
		"  guavagauge experiment --seed 1\n\nThe same seed always gives the same table.",
		func(env environment) (err error) {
			_, err = fmt.Fprint(env.stdout, experiment.Run(experiment.Options{Seed: seed}))
			return err
		})
	c.flags.UInt64(&seed, "s", "seed", "seed of the workloads")
	return c
}
