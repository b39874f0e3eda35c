package scaling_test

import (
	"fmt"
	"testing"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/scaling"
)

func TestDecide(t *testing.T) {
	type counts = scaling.Counts
	for name, c := range map[string]struct {
		min, max int
		present  counts
		noSpot   bool
		want     counts
	}{
		"spot not yet started":                   {1, 6, counts{3, 0}, false, counts{3, 3}},
		"maximum reached, reserved released":     {1, 6, counts{3, 3}, false, counts{1, 5}},
		"maximum reached, two reserved released": {1, 12, counts{7, 5}, false, counts{5, 7}},
		"steady":                                 {1, 12, counts{2, 10}, false, counts{2, 10}},
		"spot reclaimed and not available":       {1, 12, counts{2, 0}, true, counts{10, 2}},
		"reserved in place of spot":              {1, 12, counts{10, 0}, true, counts{10, 2}},
		"spot reclaimed but available":           {1, 12, counts{2, 0}, false, counts{2, 10}},
		"one upstream":                           {1, 1, counts{1, 0}, false, counts{1, 0}},
		"one upstream, no spot available":        {1, 1, counts{1, 0}, true, counts{1, 0}},
		"minimum above the reserved share":       {5, 6, counts{6, 0}, false, counts{5, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			bounds := &routing.Scaling{Min: c.min, Max: c.max}
			if got := scaling.Decide(bounds, c.present, c.noSpot); got != c.want {
				t.Errorf("Decide returned %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against decisions that exceed the maximum, and against numbers that keep
// changing when each decision is carried out.
func TestDecideWithinBounds(t *testing.T) {
	for limit := 1; limit <= 60; limit++ {
		bounds := &routing.Scaling{Min: 1, Max: limit}
		present := scaling.Counts{Reserved: limit / 2}
		for step := range 3 * limit {
			got := scaling.Decide(bounds, present, step < limit/2)
			if got.Reserved < 1 || got.Spot < 0 || got.Reserved+got.Spot > limit {
				t.Fatalf("limit %d: Decide returned %+v", limit, got)
			}
			present = got
			if step < limit/2 {
				present.Spot = 0
			}
		}
		steady := scaling.Decide(bounds, present, false)
		if steady != present {
			t.Errorf("limit %d: Decide changed %+v to %+v, want no change", limit, present, steady)
		}
	}
}

func TestNextStageChange(t *testing.T) {
	engines := func(stages string) (list []discovery.Upstream) {
		for i, letter := range stages {
			stage := discovery.Decode
			if letter == 'p' {
				stage = discovery.Prefill
			}
			list = append(list, discovery.Upstream{ID: fmt.Sprint(i), Stage: stage})
		}
		return list
	}
	for _, c := range []struct {
		stages  string
		missing int
		want    string
	}{
		{"ddd", 0, "0 prefill"},
		{"pdd", 0, "1 prefill"},
		{"ppd", 0, ""},
		{"pppd", 0, "0 decode"},
		{"ppp", 0, "0 decode"},
		{"ppp", 2, ""},
		{"d", 0, ""},
		{"p", 0, "0 decode"},
		{"", 0, ""},
	} {
		got := ""
		if change, stage, ok := scaling.NextStageChange(engines(c.stages), c.missing); ok {
			got = change.ID + " " + string(stage)
		}
		if got != c.want {
			t.Errorf("stages %q with %d missing: got change %q, want %q", c.stages, c.missing, got, c.want)
		}
	}
}
