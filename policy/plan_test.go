package policy_test

import (
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/policy"
	"pgregory.net/rapid"
)

// share is the share of the demand that n engines by role serve, by trying all
// divisions of the mixed engines' time. Decode engines only get the requests
// that prefill engines hand over.
func share(r policy.RolesRequest, n [3]float64) (best float64) {
	if r.Demand.Prefill > 0 {
		n[policy.Decode] = min(n[policy.Decode], r.Demand.Decode*n[policy.Prefill]/r.Demand.Prefill)
	}
	for i := range 101 {
		x := float64(i) / 100
		s := 1.0
		if r.Demand.Prefill > 0 {
			s = min(s, (n[policy.Prefill]+x*r.MixedPrefill*n[policy.Mixed])/r.Demand.Prefill)
		}
		if r.Demand.Decode > 0 {
			s = min(s, (n[policy.Decode]+(1-x)*r.MixedDecode*n[policy.Mixed])/r.Demand.Decode)
		}
		best = max(best, s)
	}
	return best
}

// Guards against role plans that serve less in the end than never changing
// does, that go on for ever, or that change an engine too often.
func TestPlanRolesImprovesAndSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := policy.Goodput()
		r := policy.RolesRequest{Now: start, ChangeTime: 15 * time.Second, MixedPrefill: 0.6, MixedDecode: 0.8}
		r.Demand.Prefill = float64(rapid.IntRange(0, 80).Draw(t, "prefill")) / 10
		r.Demand.Decode = float64(rapid.IntRange(0, 80).Draw(t, "decode")) / 10
		var now [3]float64
		for range rapid.IntRange(1, 8).Draw(t, "engines") {
			e := policy.EngineRole{Role: policy.Role(rapid.IntRange(0, 2).Draw(t, "role")), Fencing: fleet.FencingChecked}
			if rapid.IntRange(0, 3).Draw(t, "unchecked") == 0 {
				e.Fencing = fleet.FencingIgnored
			}
			r.Engines = append(r.Engines, e)
			now[e.Role]++
		}
		before := share(r, now)
		for step := 0; ; step++ {
			change, ok := policy.PlanRoles(r, w)
			if !ok {
				break
			}
			e := &r.Engines[change.Engine]
			now[e.Role]--
			now[change.To]++
			e.Role, e.RoleChanges = change.To, append(e.RoleChanges, r.Now)
			limit := w.MaxRoleChanges
			if e.Fencing == fleet.FencingIgnored {
				limit = 1
			}
			if len(e.RoleChanges) > limit || step > 2*len(r.Engines) {
				t.Fatalf("engine changed %d times in one swing, step %d", len(e.RoleChanges), step)
			}
			r.Now = r.Now.Add(time.Second)
		}
		if after := share(r, now); after < before-0.02 {
			t.Fatalf("the plan serves %.2f, no change %.2f", after, before)
		}
	})
}

// Guards against decode engines that stand idle because no prefill engine is
// left to hand requests over to them.
func TestPlanRolesFeedsDecodeEngines(t *testing.T) {
	r := policy.RolesRequest{Now: start, ChangeTime: 15 * time.Second, MixedPrefill: 0.6, MixedDecode: 0.8}
	r.Demand = policy.Demand{Prefill: 0.5, Decode: 1.8}
	r.Engines = []policy.EngineRole{{Role: policy.Decode}, {Role: policy.Prefill}, {Role: policy.Mixed}}
	if change, ok := policy.PlanRoles(r, policy.Goodput()); ok && change.Engine == 1 {
		t.Errorf("planned %+v of the only prefill engine", change)
	}
	r.Engines[1].Role = policy.Decode
	if change, ok := policy.PlanRoles(r, policy.Goodput()); !ok || r.Engines[change.Engine].Role != policy.Decode && change.To != policy.Prefill {
		t.Errorf("planned %+v, %v, want a prefill engine or one idle decode engine less", change, ok)
	}
}

// Guards against a change while a third of the engines is out of service.
func TestPlanRolesWaitsForChanges(t *testing.T) {
	r := policy.RolesRequest{Now: start, ChangeTime: 15 * time.Second, MixedPrefill: 0.6, MixedDecode: 0.8}
	r.Demand.Prefill = 3
	r.Engines = make([]policy.EngineRole, 3)
	if _, ok := policy.PlanRoles(r, policy.Goodput()); !ok {
		t.Fatal("no change although only prefill work arrives")
	}
	r.Engines[1].Unavailable = true
	if change, ok := policy.PlanRoles(r, policy.Goodput()); ok {
		t.Errorf("planned %v while an engine of three changes", change)
	}
}

// Guards against orders on a short deficit, fleets beyond their limit, a share
// of reclaimable upstreams above its bound, and waiting for reclaimable ones
// that the platform doesn't have.
func TestPlanCapacityKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := policy.WorstServed()
		r := policy.CapacityRequest{Now: start, InterruptibleShare: 0.8, Reserved: 1, Max: 12}
		var state policy.CapacityState
		changed := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			need := float64(rapid.IntRange(0, 12).Draw(t, "need"))
			r.ReclaimableUnavailable = rapid.Bool().Draw(t, "none")
			if need != r.RequiredUpstreams {
				r.RequiredUpstreams, changed, state = need, r.Now, policy.CapacityState{}
			}
			for range rapid.IntRange(1, 40).Draw(t, "periods") {
				var plan policy.CapacityPlan
				plan, state = policy.PlanCapacity(state, r, w)
				started, stopped := plan.StartReserved+plan.StartReclaimable, plan.StopReserved+plan.StopReclaimable
				switch lasted := r.Now.Sub(changed); {
				case started > 0 && lasted < w.ScaleUpDelay, stopped > 0 && lasted < w.ScaleDownDelay:
					t.Fatalf("%+v after only %v", plan, lasted)
				case plan.StartReclaimable > 0 && r.ReclaimableUnavailable:
					t.Fatalf("%+v although there are no reclaimable upstreams", plan)
				case started == 0 && lasted >= w.ScaleUpDelay && r.Reserved+r.Reclaimable < min(int(need), r.Max):
					t.Fatalf("%+v, no start with a need of %v and %+v", plan, need, r)
				}
				r.Reserved += plan.StartReserved - plan.StopReserved
				r.Reclaimable += plan.StartReclaimable - plan.StopReclaimable
				total := r.Reserved + r.Reclaimable
				if total < 1 || total > r.Max || started > 0 && plan.StartReclaimable > 0 && r.Reclaimable > r.MaxReclaimable(total, w) {
					t.Fatalf("%+v led to %+v", plan, r)
				}
				r.Now = r.Now.Add(5 * time.Second)
			}
		}
	})
}

// Guards against crossings that aren't needed, don't help or cost too much.
func TestSpillOnlyWhenItHelps(t *testing.T) {
	late := policy.SpillRequest{
		Home: time.Second, Remote: 700 * time.Millisecond, Latency: 30 * time.Millisecond,
		Objective: 870 * time.Millisecond, Bytes: 1e6, Price: 0.02,
	}
	for name, test := range map[string]struct {
		change func(*policy.SpillRequest)
		spill  bool
	}{
		"home is late":      {func(*policy.SpillRequest) {}, true},
		"home is in time":   {func(r *policy.SpillRequest) { r.Home = 800 * time.Millisecond }, false},
		"away is late too":  {func(r *policy.SpillRequest) { r.Remote = 820 * time.Millisecond }, false},
		"the volume is big": {func(r *policy.SpillRequest) { r.Bytes = 1e12 }, false},
		"no objective":      {func(r *policy.SpillRequest) { r.Objective = 0 }, false},
	} {
		r := late
		test.change(&r)
		if got := policy.Spill(r, policy.Goodput()); got.Spill != test.spill {
			t.Errorf("%s: spill %v, want %v", name, got.Spill, test.spill)
		}
	}
}

// Guards against reported load that misses work sent since the report.
func TestSentCoversTheTimeSinceTheReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent policy.SentCost
		times, costs := []time.Time{}, []int64{}
		now := start
		for range rapid.IntRange(1, 50).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			times, costs = append(times, now), append(costs, rapid.Int64Range(1, 100).Draw(t, "cost"))
			sent.Add(now, costs[len(costs)-1])
		}
		taken := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
		var least, most int64
		for i, at := range times {
			if !at.Before(taken) {
				least += costs[i]
			}
			if !at.Before(taken.Add(-250 * time.Millisecond)) {
				most += costs[i]
			}
		}
		if got := sent.Since(taken, now); got < least || got > most {
			t.Fatalf("sent %d, want %d to %d", got, least, most)
		}
	})
}
