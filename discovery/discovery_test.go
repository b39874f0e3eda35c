package discovery_test

import (
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
)

const grace = 2 * time.Second

func ids(upstreams []discovery.Upstream) (joined string) {
	for _, u := range upstreams {
		joined += u.ID
	}
	return joined
}

func TestRemovedUpstream(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	type step struct {
		at   float64
		do   func(set *discovery.UpstreamSet, now time.Time)
		want string
	}
	put := func(id string) func(*discovery.UpstreamSet, time.Time) {
		return func(set *discovery.UpstreamSet, now time.Time) { set.Put(discovery.Upstream{ID: id}, now) }
	}
	remove := func(id string) func(*discovery.UpstreamSet, time.Time) {
		return func(set *discovery.UpstreamSet, now time.Time) { set.Remove(id, now) }
	}
	storeDown := func(set *discovery.UpstreamSet, now time.Time) { set.MarkStoreDown(now) }
	replace := func(ids ...string) func(*discovery.UpstreamSet, time.Time) {
		return func(set *discovery.UpstreamSet, now time.Time) {
			var all []discovery.Upstream
			for _, id := range ids {
				all = append(all, discovery.Upstream{ID: id})
			}
			set.Replace(all, now)
		}
	}
	restore := func(ids ...string) func(*discovery.UpstreamSet, time.Time) {
		return func(set *discovery.UpstreamSet, now time.Time) {
			sender := discovery.New(grace)
			for _, id := range ids {
				sender.Put(discovery.Upstream{ID: id}, time.Now())
			}
			set.Restore(sender.Snapshot(now), now)
		}
	}
	// restoreInGrace restores the snapshot of a node that had an outage of its own, in
	// which the entry was removed.
	restoreInGrace := func(id string) func(*discovery.UpstreamSet, time.Time) {
		return func(set *discovery.UpstreamSet, now time.Time) {
			sender := discovery.New(grace)
			sender.Put(discovery.Upstream{ID: id}, time.Now())
			sender.Put(discovery.Upstream{ID: "z"}, time.Now())
			sender.MarkStoreDown(now)
			sender.Remove(id, now)
			set.Restore(sender.Snapshot(now), now)
		}
	}
	noChange := func(*discovery.UpstreamSet, time.Time) {}
	for name, steps := range map[string][]step{
		"removed without outage":                {{0, put("a"), "a"}, {1, remove("a"), ""}},
		"removed right after an outage":         {{0, put("a"), "a"}, {5, storeDown, "a"}, {6, remove("a"), "a"}, {7, noChange, "a"}, {8, noChange, ""}},
		"registered again in the grace period":  {{0, put("a"), "a"}, {5, storeDown, "a"}, {6, remove("a"), "a"}, {7, put("a"), "a"}, {9, noChange, "a"}},
		"grace not extended by a longer outage": {{0, put("a"), "a"}, {5, storeDown, "a"}, {6, remove("a"), "a"}, {7.5, storeDown, "a"}, {7.9, noChange, "a"}, {8, noChange, ""}},
		// Guards against keeping upstreams that left without draining while this
		// node couldn't reach the store, though the restored snapshot of another
		// node lacks them. A node that the store rejected for seconds sent requests
		// to such an upstream for 3 s.
		"not in the restored snapshot": {{0, put("a"), "a"}, {5, storeDown, "a"}, {5.5, restore(), ""}},
		"in the restored snapshot":     {{0, put("a"), "a"}, {5, storeDown, "a"}, {5.5, restore("a"), "a"}, {9, noChange, "a"}},
		// Guards against another node's outage that brings an upstream back, or keeps it,
		// at a node that had none.
		"in the sender's grace period, removed here":         {{0, replace("a", "z"), "az"}, {1, remove("a"), "z"}, {2, restoreInGrace("a"), "z"}},
		"in the sender's grace period, registered here":      {{0, replace("a", "z"), "az"}, {2, restoreInGrace("a"), "z"}},
		"in the sender's grace period, outage here too":      {{0, replace("a", "z"), "az"}, {1, storeDown, "az"}, {2, restoreInGrace("a"), "az"}, {4, noChange, "z"}},
		"in the sender's grace period, in an older one here": {{0, replace("a", "z"), "az"}, {1, storeDown, "az"}, {1.5, remove("a"), "az"}, {2, restoreInGrace("a"), "az"}, {3.5, noChange, "z"}},
		"not in a listing after an outage":                   {{0, replace("a", "b"), "ab"}, {5, storeDown, "ab"}, {6, replace("b"), "ab"}, {8, replace("b"), "b"}},
		"draining and removed after an outage": {{0, func(set *discovery.UpstreamSet, now time.Time) {
			set.Put(discovery.Upstream{ID: "a", Draining: true}, now)
		}, "a"}, {5, storeDown, "a"}, {6, remove("a"), ""}},
		"removed long after an outage": {{0, put("a"), "a"}, {5, storeDown, "a"}, {8, remove("a"), ""}},
	} {
		t.Run(name, func(t *testing.T) {
			set := discovery.New(grace)
			for i, s := range steps {
				s.do(set, at(s.at))
				if got := ids(set.View(at(s.at))); got != s.want {
					t.Errorf("step %d: view has %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// Guards against keeping a removed upstream forever. A node that restores a
// snapshot after the removal gets no further event for it, so the snapshot has to
// say when the grace period ends.
func TestRestoredGracePeriodEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	sender, receiver := discovery.New(grace), discovery.New(grace)
	sender.Put(discovery.Upstream{ID: "a"}, time.Now())
	sender.Put(discovery.Upstream{ID: "b"}, time.Now())
	sender.MarkStoreDown(start)
	sender.Remove("a", start.Add(time.Second))
	receiver.Restore(sender.Snapshot(start.Add(1500*time.Millisecond)), start.Add(1500*time.Millisecond))
	for _, c := range []struct {
		at   time.Duration
		want string
	}{{1500 * time.Millisecond, "ab"}, {2900 * time.Millisecond, "ab"}, {3 * time.Second, "b"}} {
		if got := ids(receiver.View(start.Add(c.at))); got != c.want {
			t.Errorf("after %s: view has %q, want %q", c.at, got, c.want)
		}
	}
}

// Guards against upstreams that have left and are used again because an older copy of the
// store says that they are ready, and against live ones that stay away.
func TestDepartedUpstreamsStayAwayInLaterEra(t *testing.T) {
	const grace = 2 * time.Second
	start := time.Unix(1000, 0)
	upstream := func(id string, draining bool) discovery.Upstream {
		return discovery.Upstream{ID: id, StartedAt: start, Draining: draining}
	}
	usable := func(set *discovery.UpstreamSet, now time.Time) (ids string) {
		for _, u := range set.View(now) {
			if !u.Draining {
				ids += u.ID
			}
		}
		return ids
	}
	set, other, now := discovery.New(grace), discovery.New(grace), start
	all := []discovery.Upstream{upstream("a", false), upstream("b", false), upstream("c", false)}
	set.Replace(all, now)
	set.Put(upstream("b", true), now)  // drains
	set.Remove("c", now)               // has gone
	set.Put(upstream("d", false), now) // has come
	now = now.Add(5 * time.Second)
	set.BeginEra(now)
	set.Replace(all, now) // the copy
	if got := usable(set, now); got != "ad" {
		t.Errorf("usable after the copy was listed: %q, want ad", got)
	}
	other.AddDeparted(set.Departed(now), now)
	other.BeginEra(now.Add(time.Millisecond))
	other.Replace(all, now.Add(time.Millisecond))
	if got := usable(other, now.Add(time.Millisecond)); got != "a" {
		t.Errorf("usable at a node that was told: %q, want a", got)
	}
	now = now.Add(time.Second)
	set.Put(upstream("b", false), now) // the copy's entry, written again
	set.Put(upstream("c", false), now) // its entry had expired
	set.Put(discovery.Upstream{ID: "b2", StartedAt: now}, now)
	if got := usable(set, now); got != "ab2cd" {
		t.Errorf("usable after entries were written in the new era: %q, want ab2cd", got)
	}
	if got := usable(set, now.Add(grace)); got != "ab2c" {
		t.Errorf("usable after the grace period: %q, want ab2c", got)
	}
	set.Remove("c", now)
	now = now.Add(time.Minute / 2)
	set.Replace(all, now) // registered again in the same era
	if got := usable(set, now); got != "ac" {
		t.Errorf("usable after a later listing: %q, want ac", got)
	}
}
