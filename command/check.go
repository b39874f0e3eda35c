package command

import (
	"fmt"
	"os"
	"regexp"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/settings"
)

var (
	// settingsTable begins a table that only node settings have.
	settingsTable = regexp.MustCompile(`(?m)^\s*\[\s*(Listen|Store|Platform|TLS|Limits|Intervals|Operator)\s*\]`)
	// settingsKey is a key of node settings outside of tables.
	settingsKey = regexp.MustCompile(`(?m)^\s*(Name|FailureDomain|Region|Seeds|FatalInvariants)\s*=`)
	// fleetTable begins an object of a fleet configuration.
	fleetTable = regexp.MustCompile(`(?m)^\s*\[\[`)
)

// checkText checks node settings or a fleet configuration, by the tables that
// the file has: those of a fleet configuration are all arrays.
func checkText(file string, text []byte) (problems []fleet.Problem) {
	if settingsTable.Match(text) || settingsKey.Match(text) && !fleetTable.Match(text) {
		_, problems = settings.Parse(file, text)
	} else {
		_, problems = fleet.Parse(file, text)
	}
	return problems
}

func newCheck() *subcommand {
	file := ""
	c := newSubcommand("check", "checks a file of settings without starting anything",
		"  guavagauge check fleet.toml\n  guavagauge check node.toml",
		func(env environment) (err error) {
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			problems := checkText(file, text)
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
