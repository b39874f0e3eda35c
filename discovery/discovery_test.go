package discovery_test

import (
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
)

const grace = 2 * time.Second

func ids(upstreams []discovery.Upstream) (text string) {
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
		do   func(r *discovery.UpstreamSet, now time.Time)
		want string
	}
	put := func(id string) func(*discovery.UpstreamSet, time.Time) {
		return func(r *discovery.UpstreamSet, _ time.Time) { r.Put(discovery.Upstream{ID: id}) }
	}
	remove := func(id string) func(*discovery.UpstreamSet, time.Time) {
		return func(r *discovery.UpstreamSet, now time.Time) { r.Remove(id, now) }
	}
	suspect := func(r *discovery.UpstreamSet, now time.Time) { r.MarkRegistryDown(now) }
	list := func(ids ...string) func(*discovery.UpstreamSet, time.Time) {
		return func(r *discovery.UpstreamSet, now time.Time) {
			var all []discovery.Upstream
			for _, id := range ids {
				all = append(all, discovery.Upstream{ID: id})
			}
			r.Replace(all, now)
		}
	}
	adopt := func(ids ...string) func(*discovery.UpstreamSet, time.Time) {
		return func(r *discovery.UpstreamSet, now time.Time) {
			other := discovery.New(grace)
			for _, id := range ids {
				other.Put(discovery.Upstream{ID: id})
			}
			r.Restore(other.Snapshot(now), now)
		}
	}
	nothing := func(*discovery.UpstreamSet, time.Time) {}
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
		"drains, then is gone":   {{0, func(r *discovery.UpstreamSet, _ time.Time) { r.Put(discovery.Upstream{ID: "a", Draining: true}) }, "a"}, {5, suspect, "a"}, {6, remove("a"), ""}},
		"removed long after one": {{0, put("a"), "a"}, {5, suspect, "a"}, {8, remove("a"), ""}},
	} {
		t.Run(name, func(t *testing.T) {
			r := discovery.New(grace)
			for i, s := range steps {
				s.do(r, at(s.at))
				if got := ids(r.View(at(s.at))); got != s.want {
					t.Errorf("step %d: %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// A node that adopted an entry which had vanished kept it for good, since its
// removal had been announced before.
func TestRosterAdoptsGrace(t *testing.T) {
	start := time.Unix(1000, 0)
	reader, follower := discovery.New(grace), discovery.New(grace)
	reader.Put(discovery.Upstream{ID: "a"})
	reader.Put(discovery.Upstream{ID: "b"})
	reader.MarkRegistryDown(start)
	reader.Remove("a", start.Add(time.Second))
	follower.Restore(reader.Snapshot(start.Add(1500*time.Millisecond)), start.Add(1500*time.Millisecond))
	for _, c := range []struct {
		at   time.Duration
		want string
	}{{1500 * time.Millisecond, "ab"}, {2900 * time.Millisecond, "ab"}, {3 * time.Second, "b"}} {
		if got := ids(follower.View(start.Add(c.at))); got != c.want {
			t.Errorf("after %s: %q, want %q", c.at, got, c.want)
		}
	}
}
