// Package rapidtest runs the tests of a package with defaults for the flags of package
// rapid, so that its random runs are the same each time.
//
// # Usage
//
//	func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Defaults{"rapid.seed": "1"}) }
//
// A flag that is given on the command line takes precedence: -rapid.seed=0 chooses a random
// seed.
package rapidtest

import (
	"flag"
	"os"
)

// Defaults holds values of flags by their names.
type Defaults map[string]string

// Main sets the defaults, runs the tests and exits.
func Main(m interface{ Run() (code int) }, defaults Defaults) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
