package fleet

import (
	"flag"
	"os"
	"testing"
)

// rapidDefaults fix the seed, so that CI runs repeat; -rapid.seed=0 draws a
// fresh one. With 100 checks, some deliberate faults of the compiled form went
// unnoticed.
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
