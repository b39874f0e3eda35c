package policy_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/rendezvous"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// referencePlace implements Place by sorting all usable candidates.
func referencePlace(r policy.PlaceRequest, all []policy.Candidate, preferences policy.Preferences) (choices []policy.Choice) {
	load := func(c policy.Candidate) int64 { return c.Queued + c.Running }
	slots := func(c policy.Candidate) int64 { return int64(max(c.Slots, 1)) }
	late := func(c policy.Candidate) bool { return r.Limit > 0 && load(c)+r.Cost > r.Limit*slots(c) }
	var total, slotCount int64
	spill := !r.NoSpill
	for _, c := range all {
		if c.Region == r.Region && !c.Draining && !c.Suspected {
			total, slotCount = total+load(c), slotCount+slots(c)
			spill = spill && late(c)
		}
	}
	bound, spill := int64(0), spill || slotCount == 0
	if slotCount > 0 {
		bound = int64(preferences.LoadBound * float64(total+r.Cost) / float64(slotCount))
	}
	key := r.HashKey
	if len(r.Prefix) > 0 {
		key = r.Prefix[min(preferences.PrefixDepth, len(r.Prefix))-1]
	}
	for i, c := range all {
		home := c.Region == r.Region
		reason := policy.PrefixRegion
		switch {
		case c.Draining || !home && !spill:
			continue
		case c.Suspected:
			reason = policy.Suspected
		case late(c):
			reason = policy.Overloaded
		case !home:
			reason = policy.Spilled
		case load(c) > bound*slots(c):
			reason = policy.LeastLoaded
		case c.Domain == r.Domain:
			reason = policy.PrefixHome
		}
		choices = append(choices, policy.Choice{Index: i, Reason: reason})
	}
	slices.SortStableFunc(choices, func(a, b policy.Choice) int {
		x, y := all[a.Index], all[b.Index]
		byLoad := 0
		if len(r.Prefix) == 0 || a.Reason > policy.PrefixRegion {
			byLoad = cmp.Compare(load(x)/slots(x)+x.NetworkCost, load(y)/slots(y)+y.NetworkCost)
		}
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), byLoad,
			cmp.Compare(rendezvous.Weight(key, y.Hash), rendezvous.Weight(key, x.Hash)))
	})
	return choices[:min(len(choices), policy.MaxChoices)]
}

// Guards against a Place whose result differs from sorting all candidates. Place
// keeps only the best few and reads the region of most candidates from a cache.
func TestPlaceMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 160).Draw(t, "n")
		all := make([]policy.Candidate, n)
		for i := range all {
			domain := rapid.IntRange(0, 3).Draw(t, "domain")
			all[i] = policy.Candidate{
				Hash: rendezvous.Hash(fmt.Sprint(i)), Slots: rapid.IntRange(0, 8).Draw(t, "slots"),
				Queued: rapid.Int64Range(0, 500).Draw(t, "queued"), Running: rapid.Int64Range(0, 500).Draw(t, "running"),
				Domain: fmt.Sprint("d", domain), Region: fmt.Sprint("r", domain/2), NetworkCost: int64(domain * 7),
				Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0, Suspected: rapid.IntRange(0, 9).Draw(t, "suspected") == 0,
			}
		}
		request := policy.PlaceRequest{
			Prefix: rapid.SliceOfN(rapid.Uint64(), 0, 3).Draw(t, "prefix"), HashKey: 7, Domain: "d1", Region: "r0",
			Cost: rapid.Int64Range(0, 300).Draw(t, "cost"), Limit: rapid.Int64Range(0, 300).Draw(t, "limit"),
			NoSpill: rapid.Bool().Draw(t, "stay"),
		}
		want := referencePlace(request, all, policy.Goodput())
		got := policy.Place(nil, request, all, policy.Goodput())
		if !slices.Equal(got, want) {
			t.Fatalf("Place returned %v, want %v as from sorting all candidates", got, want)
		}
	})
}

// Guards against a queue that loses items, serves them twice or after their
// removal, or lets a backlogged workspace fall behind its weighted share by more
// than the priority credit and two of the largest items.
func TestQueueServesEachItemOnceByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := policy.NewQueue(policy.QueueOptions{})
		weight := []int{1, 2, 4}
		served, removed := make([]float64, 3), make([]int, 3)
		items := map[int]map[*policy.Item]bool{}
		for w := range 3 {
			items[w] = map[*policy.Item]bool{}
			for range 300 {
				item := &policy.Item{
					Workspace: fmt.Sprint(w), Weight: weight[w], Value: w, Cost: rapid.Int64Range(1, 1000).Draw(t, "cost"),
					Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
				}
				items[w][item] = true
				queue.Push(item)
			}
			for item := range items[w] {
				if removed[w]++; removed[w] > 3 {
					break
				}
				if !queue.Remove(item) || queue.Remove(item) {
					t.Fatal("Remove didn't succeed exactly once")
				}
				delete(items[w], item)
			}
		}
		for len(items[0]) > 0 && len(items[1]) > 0 && len(items[2]) > 0 {
			item := queue.Next()
			w := item.Value.(int)
			if !items[w][item] {
				t.Fatal("Next returned an item twice or after its removal")
			}
			delete(items[w], item)
			served[w] += float64(item.Cost) / float64(weight[w])
			if lead := slices.Max(served) - slices.Min(served); lead > 9*1024+2000 {
				t.Fatalf("service per weight differs by %v between workspaces: %v", lead, served)
			}
		}
		remaining := 0
		for queue.Next() != nil {
			remaining++
		}
		if want := len(items[0]) + len(items[1]) + len(items[2]); remaining != want || queue.Len() != 0 || queue.Cost() != 0 {
			t.Fatalf("Next returned %d remaining items, want %d; then Len is %d, Cost is %d", remaining, want, queue.Len(), queue.Cost())
		}
	})
}

// Guards against an estimate by Ahead that is lower than the cost that the queue
// then serves before the item, which would admit work that is late.
func TestQueueAheadDoesNotUnderestimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := policy.NewQueue(policy.QueueOptions{})
		draw := func() *policy.Item {
			w := rapid.IntRange(0, 3).Draw(t, "workspace")
			return &policy.Item{Workspace: fmt.Sprint(w), Weight: w + 1, Cost: rapid.Int64Range(1, 500).Draw(t, "cost")}
		}
		for range rapid.IntRange(0, 200).Draw(t, "waiting") {
			queue.Push(draw())
		}
		item := draw()
		ahead, total, before := queue.Ahead(item.Workspace, item.Weight, item.Cost), queue.Cost(), int64(0)
		queue.Push(item)
		for next := queue.Next(); next != item; next = queue.Next() {
			before += next.Cost
		}
		// Items aren't divided, so each of the three other workspaces may be
		// served one item of up to 500 more than its share.
		if ahead > total || before > ahead+3*500 {
			t.Fatalf("cost served before the item is %d, Ahead returned %d of %d waiting", before, ahead, total)
		}
	})
}

// Guards against refusing work that would be in time, admitting work that would
// be late, and a RetryAfter after which the drained queue still refuses the work
// as TooLate.
func TestAdmitAcceptsExactlyWorkInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		r := policy.AdmitRequest{
			Ahead: rapid.Int64Range(0, 100000).Draw(t, "ahead"), Rate: float64(rapid.IntRange(100, 20000).Draw(t, "rate")),
			FirstToken: ms("own", 0, 1500), Objective: 870 * time.Millisecond, Waited: ms("waited", 0, 1200),
			NextStageWait: ms("next", 0, 100), NextStageLimit: ms("limit", 0, 100), Deadline: ms("deadline", -10, 5000),
		}
		r.BestFirstToken = r.FirstToken / 2
		r.Total = r.FirstToken + ms("rest", 0, 2000)
		wait := time.Duration(float64(r.Ahead) / r.Rate * float64(time.Second))
		inTime := r.Waited+wait+r.FirstToken <= r.Objective && (r.Deadline == 0 || wait+r.Total <= r.Deadline) &&
			(r.NextStageLimit == 0 || r.NextStageWait <= r.NextStageLimit)
		got := policy.Admit(r)
		if got.OK() != inTime {
			t.Fatalf("Admit returned %v, but whether the work is in time is %v", got.Verdict, inTime)
		}
		if got.Verdict != policy.TooLate {
			return
		}
		r.Ahead = max(r.Ahead-int64(r.Rate*got.RetryAfter.Seconds()), 0)
		r.NextStageWait = max(r.NextStageWait-got.RetryAfter, 0)
		if again := policy.Admit(r); again.Verdict == policy.TooLate {
			t.Fatalf("verdict %v with RetryAfter %v after waiting for the first RetryAfter of %v", again.Verdict, again.RetryAfter, got.RetryAfter)
		}
	})
}

// Guards against refusing long prompts for good because no upstream can meet
// their objective, and against admitting them on a slow upstream if a faster one
// can meet it.
func TestAdmitServesLateIfNoUpstreamMeetsObjective(t *testing.T) {
	r := policy.AdmitRequest{Rate: 1000, FirstToken: 2 * time.Second, BestFirstToken: time.Second, Objective: 870 * time.Millisecond}
	for ahead, want := range map[int64]policy.Verdict{0: policy.Admitted, 800: policy.Admitted, 900: policy.TooLate} {
		if r.Ahead = ahead; policy.Admit(r).Verdict != want {
			t.Errorf("with a cost of %d ahead: verdict %v, want %v", ahead, policy.Admit(r).Verdict, want)
		}
	}
	r.Ahead, r.BestFirstToken = 0, 500*time.Millisecond
	if got := policy.Admit(r).Verdict; got != policy.NeverInTime {
		t.Errorf("on a slow upstream: verdict %v, want NeverInTime, so that a faster one is tried", got)
	}
}

// Guards against more retries than a fifth of the requests while every attempt
// fails.
func TestRetriesStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := policy.NewRetryBudget(policy.RetryOptions{})
		workspaces := rapid.IntRange(1, 8).Draw(t, "workspaces")
		requests, attempts := 0, 0
		for i := range rapid.IntRange(50, 300).Draw(t, "requests") * workspaces {
			workspace := fmt.Sprint(i % workspaces)
			budget.Earn(workspace, fmt.Sprint(i%3))
			requests, attempts = requests+1, attempts+1
			for next := 1; next < policy.MaxChoices && budget.Spend(workspace, fmt.Sprint((i+next)%3)); next++ {
				attempts++
			}
		}
		if float64(attempts) > 1.2*float64(requests) {
			t.Fatalf("%d attempts for %d requests", attempts, requests)
		}
	})
}

// Guards against crash counts and quarantines that differ from those of a plain
// map, against more records than MaxEntries, and against a quarantine that many
// single crashes of other fingerprints evict.
func TestCrashesMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := policy.NewCrashes(policy.CrashOptions{MaxEntries: 20})
		now := start
		crashed := map[string]map[string]bool{}
		expires := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 240).Draw(t, "wait")) * time.Second)
			fingerprint, upstream := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "f")), fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "u"))
			if !expires[fingerprint].After(now) {
				crashed[fingerprint] = map[string]bool{}
			}
			if !crashed[fingerprint][upstream] && len(crashed[fingerprint]) < 2 {
				crashed[fingerprint][upstream] = true
				expires[fingerprint] = now.Add(10 * time.Minute)
			}
			got := crashes.Report(fingerprint, upstream, now)
			remaining, quarantined := crashes.Quarantined(fingerprint, now)
			if got != len(crashed[fingerprint]) || quarantined != (got == 2) || quarantined && remaining != expires[fingerprint].Sub(now) {
				t.Fatalf("count is %d, quarantined is %v for %v, want a count of %d", got, quarantined, remaining, len(crashed[fingerprint]))
			}
		}
		crashes.Report("poison", "a", now)
		crashes.Report("poison", "b", now)
		for i := range 100 {
			crashes.Report(fmt.Sprint("single-", i), "a", now)
		}
		if _, ok := crashes.Quarantined("poison", now); !ok || crashes.Len() > 20 {
			t.Fatalf("the fingerprint with two crashes: quarantined is %v, with %d entries", ok, crashes.Len())
		}
	})
}
