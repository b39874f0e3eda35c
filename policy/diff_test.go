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

// naivePlace sorts all candidates by the documented order.
func naivePlace(r policy.PlaceRequest, all []policy.Candidate, w policy.Preferences) (choices []policy.Choice) {
	load := func(c policy.Candidate) int64 { return c.Queued + c.Running }
	slots := func(c policy.Candidate) int64 { return int64(max(c.Slots, 1)) }
	late := func(c policy.Candidate) bool { return r.Limit > 0 && load(c)+r.Cost > r.Limit*slots(c) }
	var total, count int64
	spill := !r.NoSpill
	for _, c := range all {
		if c.Region == r.Region && !c.Draining && !c.Suspected {
			total, count = total+load(c), count+slots(c)
			spill = spill && late(c)
		}
	}
	bound, spill := int64(0), spill || count == 0
	if count > 0 {
		bound = int64(w.LoadBound * float64(total+r.Cost) / float64(count))
	}
	key := r.HashKey
	if len(r.Prefix) > 0 {
		key = r.Prefix[min(w.PrefixDepth, len(r.Prefix))-1]
	}
	for i, c := range all {
		home := c.Region == r.Region
		why := policy.PrefixRegion
		switch {
		case c.Draining || !home && !spill:
			continue
		case c.Suspected:
			why = policy.Suspected
		case late(c):
			why = policy.Overloaded
		case !home:
			why = policy.Spilled
		case load(c) > bound*slots(c):
			why = policy.LeastLoaded
		case c.Domain == r.Domain:
			why = policy.PrefixHome
		}
		choices = append(choices, policy.Choice{Index: i, Reason: why})
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

// Guards against a fast placement that differs from sorting all candidates.
func TestPlaceMatchesNaive(t *testing.T) {
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
		want := naivePlace(request, all, policy.Goodput())
		got := policy.Place(nil, request, all, policy.Goodput())
		if !slices.Equal(got, want) {
			t.Fatalf("Place returned %v, the naive version %v", got, want)
		}
	})
}

// Guards against a queue that loses or repeats items, serves a workspace out
// of order at equal priority, or lets a backlogged workspace fall behind its
// share by more than the priority credit and the largest item.
func TestQueueSharesMatchFluid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := policy.NewQueue(policy.QueueOptions{})
		weight := []int{1, 2, 4}
		served, next := make([]float64, 3), make([]int, 3)
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
				if next[w]++; next[w] > 3 {
					break
				}
				if !queue.Remove(item) || queue.Remove(item) {
					t.Fatal("Remove must succeed exactly once")
				}
				delete(items[w], item)
			}
		}
		for len(items[0]) > 0 && len(items[1]) > 0 && len(items[2]) > 0 {
			item := queue.Next()
			w := item.Value.(int)
			if !items[w][item] {
				t.Fatal("an item was served twice or after its removal")
			}
			delete(items[w], item)
			served[w] += float64(item.Cost) / float64(weight[w])
			if lead := slices.Max(served) - slices.Min(served); lead > 9*1024+2000 {
				t.Fatalf("a workspace leads by %v of service per weight: %v", lead, served)
			}
		}
		left := 0
		for queue.Next() != nil {
			left++
		}
		if want := len(items[0]) + len(items[1]) + len(items[2]); left != want || queue.Len() != 0 || queue.Cost() != 0 {
			t.Fatalf("%d items left, want %d; Len %d, Cost %d", left, want, queue.Len(), queue.Cost())
		}
	})
}

// Guards against admission that counts less work ahead of an item than the
// queue then serves before it.
func TestQueueAheadCoversWhatIsServedFirst(t *testing.T) {
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
		// Items aren't divided: each other workspace may be one item ahead.
		if ahead > total || before > ahead+3*500 {
			t.Fatalf("%d was served first, Ahead said %d of %d", before, ahead, total)
		}
	})
}

// Guards against refusals that a request could have been spared, admissions
// that are late, and a retry-after that isn't kept when the queue drains.
func TestAdmitIsTruthful(t *testing.T) {
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
			t.Fatalf("Admit says %v, but in time is %v", got.Verdict, inTime)
		}
		if got.Verdict != policy.TooLate {
			return
		}
		r.Ahead = max(r.Ahead-int64(r.Rate*got.RetryAfter.Seconds()), 0)
		r.NextStageWait = max(r.NextStageWait-got.RetryAfter, 0)
		if again := policy.Admit(r); again.Verdict == policy.TooLate {
			t.Fatalf("still %v %v after the promised %v", again.Verdict, again.RetryAfter, got.RetryAfter)
		}
	})
}

// Guards against long prompts that are never served because no upstream can
// meet their objective, and against ones that wait although they can.
func TestAdmitServesLongPromptsLate(t *testing.T) {
	r := policy.AdmitRequest{Rate: 1000, FirstToken: 2 * time.Second, BestFirstToken: time.Second, Objective: 870 * time.Millisecond}
	for ahead, want := range map[int64]policy.Verdict{0: policy.Admitted, 800: policy.Admitted, 900: policy.TooLate} {
		if r.Ahead = ahead; policy.Admit(r).Verdict != want {
			t.Errorf("behind %d: %v, want %v", ahead, policy.Admit(r).Verdict, want)
		}
	}
	r.Ahead, r.BestFirstToken = 0, 500*time.Millisecond
	if got := policy.Admit(r).Verdict; got != policy.NeverInTime {
		t.Errorf("on a slow upstream: %v, want NeverInTime, so that a faster one is tried", got)
	}
}

// Guards against retries beyond a fifth of the requests while every upstream
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

// Guards against a count of crashes that differs from one that keeps all
// reports, that outgrows its bound, or that single crashes can push out.
func TestCrashesMatchNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := policy.NewCrashes(policy.CrashOptions{MaxEntries: 20})
		now := start
		seen := map[string]map[string]bool{}
		until := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 240).Draw(t, "wait")) * time.Second)
			fingerprint, upstream := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "f")), fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "u"))
			if !until[fingerprint].After(now) {
				seen[fingerprint] = map[string]bool{}
			}
			if !seen[fingerprint][upstream] && len(seen[fingerprint]) < 2 {
				seen[fingerprint][upstream] = true
				until[fingerprint] = now.Add(10 * time.Minute)
			}
			got := crashes.Report(fingerprint, upstream, now)
			remaining, quarantined := crashes.Quarantined(fingerprint, now)
			if got != len(seen[fingerprint]) || quarantined != (got == 2) || quarantined && remaining != until[fingerprint].Sub(now) {
				t.Fatalf("count %d, quarantined %v for %v, want %d", got, quarantined, remaining, len(seen[fingerprint]))
			}
		}
		crashes.Report("poison", "a", now)
		crashes.Report("poison", "b", now)
		for i := range 100 {
			crashes.Report(fmt.Sprint("single-", i), "a", now)
		}
		if _, ok := crashes.Quarantined("poison", now); !ok || crashes.Len() > 20 {
			t.Fatalf("quarantined %v with %d entries", ok, crashes.Len())
		}
	})
}
