package fleet

import (
	"flag"
	"os"
	"testing"
)

// rapidDefaults are the default flags of package rapid. The seed is fixed, so
// that CI runs are reproducible; -rapid.seed=0 uses a random one. 100 checks
// missed some bugs that were inserted into Snapshot on purpose.
var rapidDefaults = map[string]string{"rapid.seed": "20261204", "rapid.checks": "500"}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(rapidDefaults, f.Name) })
	for name, value := range rapidDefaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
