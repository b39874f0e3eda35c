package fleet

import (
	"testing"

	"github.com/guavagauge/guavagauge/rapidtest"
)

// TestMain fixes the seed of the random runs. 100 checks missed some bugs that were
// inserted into Snapshot on purpose.
func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Defaults{"rapid.seed": "20261204", "rapid.checks": "500"})
}
