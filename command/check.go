package command

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/fleet"
)

func newCheck() *subcommand {
	file := ""
	c := newSubcommand("check", "checks a file of settings without starting anything",
		"  guavagauge check fleet.toml\n  guavagauge check node.toml",
		func(env environment) (err error) {
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			_, problems := fleet.Parse(file, text)
			for _, problem := range problems {
				fmt.Fprintln(env.stderr, problem)
			}
			if len(problems) > 0 {
				return errors.Errorf("%s: %d problems", file, len(problems))
			}
			fmt.Fprintf(env.stdout, "%s: no problems\n", file)
			return nil
		})
	c.flags.AddPositionalValue(&file, "FILE", 1, true, "fleet configuration or node settings in TOML")
	return c
}
