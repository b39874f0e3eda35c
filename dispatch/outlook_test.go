package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
)

// Guards against a recall that rests on an old or absurd figure, or on a queue that the
// upstream reported before it had the request.
func TestOutlook(t *testing.T) {
	for name, c := range map[string]struct {
		load     platform.Load
		reported time.Duration // after the job was sent
		asked    time.Duration
		slowdown float64
		queued   bool
		reports  bool
	}{
		"nothing reported":      {platform.Load{}, 0, 200 * time.Millisecond, 1, false, false},
		"three numbers":         {platform.Load{Known: true, Waiting: 3}, 100 * time.Millisecond, 200 * time.Millisecond, 1, true, false},
		"slower, with a queue":  {platform.Load{Known: true, Waiting: 3, SlowdownPercent: 250}, 100 * time.Millisecond, 200 * time.Millisecond, 2.5, true, true},
		"queue before the job":  {platform.Load{Known: true, Waiting: 3, SlowdownPercent: 250}, 20 * time.Millisecond, 200 * time.Millisecond, 2.5, false, true},
		"absurd":                {platform.Load{Known: true, SlowdownPercent: 1 << 40}, 100 * time.Millisecond, 200 * time.Millisecond, 8, false, true},
		"old":                   {platform.Load{Known: true, Waiting: 3, SlowdownPercent: 250}, 100 * time.Millisecond, time.Second, 2.5, false, true}, // the model keeps the usual figure
		"older than the switch": {platform.Load{Known: true, Waiting: 3, SlowdownPercent: 250}, 100 * time.Millisecond, 6 * time.Second, 2.5, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(engine("g1", "b", discovery.Decode))
			plan, _ := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("s", 1000, 100)}, start)
			job := d.Begin(plan.Decode, start)
			job.ObserveLoad(c.load, at(c.reported))
			o := job.Outlook(at(c.asked))
			if math.Abs(o.Slowdown-c.slowdown) > 0.01 || o.Queued != c.queued || o.Expected != plan.Expected || o.Own != plan.PrefillTime() {
				t.Errorf("got %+v of %+v, want slowdown %v, queued %t", o, plan, c.slowdown, c.queued)
			}
			if got := d.ReportsSlowdown("models", at(c.asked)); got != c.reports {
				t.Errorf("service reports slowdown: %t, want %t", got, c.reports)
			}
			if s, ok := d.Standing("g1", at(c.asked)); !ok || s.NetworkCost == 0 || s.Condition != dispatch.Available {
				t.Errorf("standing %+v, %t", s, ok)
			}
		})
	}
}

// Guards against a model that takes an upstream for fast because its late answers were
// recalled.
func TestRecalledJobIsLearned(t *testing.T) {
	var expected []time.Duration
	for _, recalled := range []bool{false, true} {
		d := newDispatcher(engine("g1", "a", discovery.Decode))
		place := func(now time.Duration) dispatch.Plan {
			plan, _ := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf(fmt.Sprint(now), 1000, 100)}, at(now))
			return plan
		}
		d.Begin(place(0).Decode, start).ObserveLoad(platform.Load{Known: true, SlowdownPercent: 100}, start)
		job := d.Begin(place(1).Decode, start)
		if recalled {
			job.Recalled(at(time.Second))
		}
		job.End(at(time.Second), dispatch.Abandoned)
		expected = append(expected, place(2*time.Second).PrefillTime())
	}
	if expected[1] <= expected[0] {
		t.Errorf("prefill expected to take %s after a recall, %s without", expected[1], expected[0])
	}
}
