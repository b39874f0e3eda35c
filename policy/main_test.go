package policy_test

import (
	"testing"

	"github.com/guavagauge/guavagauge/rapidtest"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Defaults{"rapid.seed": "1"}) }
