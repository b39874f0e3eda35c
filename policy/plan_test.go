package policy_test

import (
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/policy"
	"pgregory.net/rapid"
)

// servedShare returns the share of the demand that the engines, counted by role,
// can serve. It tries how to divide the time of mixed engines between prefill
// and decode. Decode engines only get the requests that prefill engines hand
// over.
func servedShare(r policy.RolesRequest, engines [3]float64) (best float64) {
	if r.Demand.Prefill > 0 {
		engines[policy.Decode] = min(engines[policy.Decode], r.Demand.Decode*engines[policy.Prefill]/r.Demand.Prefill)
	}
	for i := range 101 {
		prefillShare := float64(i) / 100
		served := 1.0
		if r.Demand.Prefill > 0 {
			served = min(served, (engines[policy.Prefill]+prefillShare*r.MixedPrefill*engines[policy.Mixed])/r.Demand.Prefill)
		}
		if r.Demand.Decode > 0 {
			served = min(served, (engines[policy.Decode]+(1-prefillShare)*r.MixedDecode*engines[policy.Mixed])/r.Demand.Decode)
		}
		best = max(best, served)
	}
	return best
}

// Guards against role changes that serve less demand in the end than no change
// would, that never stop, or that change an engine too often.
func TestPlanRolesConvergesWithoutLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		preferences := policy.Goodput()
		r := policy.RolesRequest{Now: start, ChangeTime: 15 * time.Second, MixedPrefill: 0.6, MixedDecode: 0.8}
		r.Demand.Prefill = float64(rapid.IntRange(0, 80).Draw(t, "prefill")) / 10
		r.Demand.Decode = float64(rapid.IntRange(0, 80).Draw(t, "decode")) / 10
		var engines [3]float64
		for range rapid.IntRange(1, 8).Draw(t, "engines") {
			e := policy.EngineRole{Role: policy.Role(rapid.IntRange(0, 2).Draw(t, "role")), Fencing: fleet.FencingChecked}
			if rapid.IntRange(0, 3).Draw(t, "unchecked") == 0 {
				e.Fencing = fleet.FencingIgnored
			}
			r.Engines = append(r.Engines, e)
			engines[e.Role]++
		}
		before := servedShare(r, engines)
		for step := 0; ; step++ {
			change, ok := policy.PlanRoles(r, preferences)
			if !ok {
				break
			}
			e := &r.Engines[change.Engine]
			engines[e.Role]--
			engines[change.To]++
			e.Role, e.RoleChanges = change.To, append(e.RoleChanges, r.Now)
			limit := preferences.MaxRoleChanges
			if e.Fencing == fleet.FencingIgnored {
				limit = 1
			}
			if len(e.RoleChanges) > limit || step > 2*len(r.Engines) {
				t.Fatalf("engine changed its role %d times within RoleChangeWindow, in step %d", len(e.RoleChanges), step)
			}
			r.Now = r.Now.Add(time.Second)
		}
		if after := servedShare(r, engines); after < before-0.02 {
			t.Fatalf("the planned roles serve a share of %.2f, the original roles %.2f", after, before)
		}
	})
}

// Guards against idle decode engines, which get no requests because no prefill
// engine is left to hand them over.
func TestPlanRolesKeepsPrefillEngineForDecode(t *testing.T) {
	r := policy.RolesRequest{Now: start, ChangeTime: 15 * time.Second, MixedPrefill: 0.6, MixedDecode: 0.8}
	r.Demand = policy.Demand{Prefill: 0.5, Decode: 1.8}
	r.Engines = []policy.EngineRole{{Role: policy.Decode}, {Role: policy.Prefill}, {Role: policy.Mixed}}
	if change, ok := policy.PlanRoles(r, policy.Goodput()); ok && change.Engine == 1 {
		t.Errorf("planned the change %+v of the only prefill engine", change)
	}
	r.Engines[1].Role = policy.Decode
	if change, ok := policy.PlanRoles(r, policy.Goodput()); !ok || r.Engines[change.Engine].Role != policy.Decode && change.To != policy.Prefill {
		t.Errorf("planned %+v, %v, want a change to a prefill engine or of an idle decode engine", change, ok)
	}
}

// Guards against planning a role change while a third of the engines is out of
// service.
func TestPlanRolesLimitsEnginesOutOfService(t *testing.T) {
	r := policy.RolesRequest{Now: start, ChangeTime: 15 * time.Second, MixedPrefill: 0.6, MixedDecode: 0.8}
	r.Demand.Prefill = 3
	r.Engines = make([]policy.EngineRole, 3)
	if _, ok := policy.PlanRoles(r, policy.Goodput()); !ok {
		t.Fatal("no role change although all engines are mixed and only prefill work arrives")
	}
	r.Engines[1].Unavailable = true
	if change, ok := policy.PlanRoles(r, policy.Goodput()); ok {
		t.Errorf("planned %v while one of three engines is out of service", change)
	}
}

// Guards against starts and stops after a deficit or surplus that was too short,
// more upstreams than Max, too large a share of reclaimable upstreams, and
// waiting for reclaimable upstreams that the platform doesn't have.
func TestPlanCapacityRespectsDelaysAndLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		preferences := policy.WorstServed()
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
				plan, state = policy.PlanCapacity(state, r, preferences)
				started, stopped := plan.StartReserved+plan.StartReclaimable, plan.StopReserved+plan.StopReclaimable
				switch lasted := r.Now.Sub(changed); {
				case started > 0 && lasted < preferences.ScaleUpDelay, stopped > 0 && lasted < preferences.ScaleDownDelay:
					t.Fatalf("planned %+v when the need was unchanged for only %v", plan, lasted)
				case plan.StartReclaimable > 0 && r.ReclaimableUnavailable:
					t.Fatalf("planned %+v although no reclaimable upstreams are available", plan)
				case started == 0 && lasted >= preferences.ScaleUpDelay && r.Reserved+r.Reclaimable < min(int(need), r.Max):
					t.Fatalf("planned %+v, want a start with a need of %v and the request %+v", plan, need, r)
				}
				r.Reserved += plan.StartReserved - plan.StopReserved
				r.Reclaimable += plan.StartReclaimable - plan.StopReclaimable
				total := r.Reserved + r.Reclaimable
				if total < 1 || total > r.Max || started > 0 && plan.StartReclaimable > 0 && r.Reclaimable > r.MaxReclaimable(total, preferences) {
					t.Fatalf("the plan %+v led to too few, too many or too many reclaimable upstreams: %+v", plan, r)
				}
				r.Now = r.Now.Add(5 * time.Second)
			}
		}
	})
}

// Guards against sending a request to another region when the home region is in
// time, when the other region is late too, or when the transfer costs too much.
func TestSpillOnlyIfNeededAndAffordable(t *testing.T) {
	late := policy.SpillRequest{
		Home: time.Second, Remote: 700 * time.Millisecond, Latency: 30 * time.Millisecond,
		Objective: 870 * time.Millisecond, Bytes: 1e6, Price: 0.02,
	}
	for name, test := range map[string]struct {
		change func(*policy.SpillRequest)
		spill  bool
	}{
		"home region is late":       {func(*policy.SpillRequest) {}, true},
		"home region is in time":    {func(r *policy.SpillRequest) { r.Home = 800 * time.Millisecond }, false},
		"other region is late too":  {func(r *policy.SpillRequest) { r.Remote = 820 * time.Millisecond }, false},
		"transfer is too expensive": {func(r *policy.SpillRequest) { r.Bytes = 1e12 }, false},
		"no objective":              {func(r *policy.SpillRequest) { r.Objective = 0 }, false},
	} {
		r := late
		test.change(&r)
		if got := policy.Spill(r, policy.Goodput()); got.Spill != test.spill {
			t.Errorf("%s: Spill is %v, want %v", name, got.Spill, test.spill)
		}
	}
}

// Guards against a SentCost that misses work sent since a load report, or that
// counts work from more than one bucket before it.
func TestSentCostCoversWorkSinceReport(t *testing.T) {
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
			t.Fatalf("Since returned %d, want %d to %d", got, least, most)
		}
	})
}
