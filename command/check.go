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
	// settingsTable matches the header of a table that only node settings have.
	settingsTable = regexp.MustCompile(`(?m)^\s*\[\s*(Listen|Store|Platform|TLS|Limits|Intervals|Operator)\s*\]`)
	// settingsKey matches a top-level key of node settings.
	settingsKey = regexp.MustCompile(`(?m)^\s*(Name|FailureDomain|Region|Seeds|FatalInvariants)\s*=`)
	// fleetTable matches the header of an array of tables, which all objects of
	// a fleet configuration have.
	fleetTable = regexp.MustCompile(`(?m)^\s*\[\[`)
)

// checkText returns the problems of a file with node settings or a fleet
// configuration. It tells them apart by their tables: those of a fleet
// configuration are all arrays of tables. It checks the settings of an entry node
// as those of a node, which have tables of the same names.
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
	c := newSubcommand("check", "checks a fleet configuration or node settings without applying them",
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
