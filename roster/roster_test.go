package roster_test

import (
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/roster"
)

const grace = 2 * time.Second

func ids(upstreams []roster.Upstream) (text string) {
	for _, u := range upstreams {
		text += u.ID
	}
	return text
}

func TestRosterRemoval(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	type step struct {
		at   float64
		do   func(r *roster.Roster, now time.Time)
		want string
	}
	put := func(id string) func(*roster.Roster, time.Time) {
		return func(r *roster.Roster, _ time.Time) { r.Put(roster.Upstream{ID: id}) }
	}
	remove := func(id string) func(*roster.Roster, time.Time) {
		return func(r *roster.Roster, now time.Time) { r.Remove(id, now) }
	}
	suspect := func(r *roster.Roster, now time.Time) { r.Suspect(now) }
	list := func(ids ...string) func(*roster.Roster, time.Time) {
		return func(r *roster.Roster, now time.Time) {
			var all []roster.Upstream
			for _, id := range ids {
				all = append(all, roster.Upstream{ID: id})
			}
			r.Replace(all, now)
		}
	}
	adopt := func(ids ...string) func(*roster.Roster, time.Time) {
		return func(r *roster.Roster, _ time.Time) {
			var all []roster.Upstream
			for _, id := range ids {
				all = append(all, roster.Upstream{ID: id})
			}
			r.Adopt(all)
		}
	}
	nothing := func(*roster.Roster, time.Time) {}
	for name, steps := range map[string][]step{
		"removed in calm":     {{0, put("a"), "a"}, {1, remove("a"), ""}},
		"lapsed in an outage": {{0, put("a"), "a"}, {5, suspect, "a"}, {6, remove("a"), "a"}, {7, nothing, "a"}, {8, nothing, ""}},
		"registered again":    {{0, put("a"), "a"}, {5, suspect, "a"}, {6, remove("a"), "a"}, {7, put("a"), "a"}, {9, nothing, "a"}},
		"outage goes on":      {{0, put("a"), "a"}, {5, suspect, "a"}, {6, remove("a"), "a"}, {7.5, suspect, "a"}, {7.9, nothing, "a"}, {8, nothing, ""}},
		// The store turned one node away for seconds. An upstream that left without
		// notice meanwhile got requests of that node for 3 s.
		"gone at another node":   {{0, put("a"), "a"}, {5, suspect, "a"}, {5.5, adopt(), ""}},
		"kept at another node":   {{0, put("a"), "a"}, {5, suspect, "a"}, {5.5, adopt("a"), "a"}, {9, nothing, "a"}},
		"listing after outage":   {{0, list("a", "b"), "ab"}, {5, suspect, "ab"}, {6, list("b"), "ab"}, {8, list("b"), "b"}},
		"drains, then is gone":   {{0, func(r *roster.Roster, _ time.Time) { r.Put(roster.Upstream{ID: "a", Draining: true}) }, "a"}, {5, suspect, "a"}, {6, remove("a"), ""}},
		"removed long after one": {{0, put("a"), "a"}, {5, suspect, "a"}, {8, remove("a"), ""}},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New(grace)
			for i, s := range steps {
				s.do(r, at(s.at))
				if got := ids(r.View(at(s.at))); got != s.want {
					t.Errorf("step %d: %q, want %q", i, got, s.want)
				}
			}
		})
	}
}
