package routing_test

import (
	"testing"

	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/store"
)

// Guards against a configuration that goes back when the store does, and against one that
// is written again at a lower revision and isn't taken.
func TestEditionsNeverGoBackAcrossEras(t *testing.T) {
	at := func(version, era, revision uint64) routing.Edition {
		return routing.Edition{Version: version, Position: store.Position{Era: era, Revision: revision}}
	}
	// Each edition replaces those before it, and none of those after it.
	order := []routing.Edition{at(0, 0, 0), at(3, 0, 10), at(5, 0, 40), at(5, 1, 20), at(7, 1, 30), at(7, 2, 12), at(9, 2, 13)}
	for i, e := range order {
		for j, other := range order {
			if got := e.Replaces(other); got != (i > j) {
				t.Errorf("%+v replaces %+v: %t, want %t", e, other, got, i > j)
			}
		}
	}
	if old, held := at(3, 1, 10), at(5, 0, 40); old.Replaces(held) || !held.Replaces(old) {
		t.Error("an older version in the copy replaces a newer one of before")
	}
}
