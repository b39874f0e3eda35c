package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
)

var (
	start   = time.Unix(1000, 0)
	regions = map[string]string{"a": "r1", "b": "r1", "c": "r2"}
	models  = routing.Service{Name: "models", Engine: &routing.Engine{
		Slots: 16, KVCapacity: 400_000, KVTokenBytes: 18_432, LinkMbps: 370_000,
	}}
	desk = routing.Service{Name: "desk"}
)

func engine(id, domain string, stage discovery.Stage) discovery.Upstream {
	return upstreamOf("models", id, domain, stage)
}

func upstreamOf(service, id, domain string, stage discovery.Stage) discovery.Upstream {
	return discovery.Upstream{
		ID: id, Service: service, FailureDomain: domain, Stage: stage, Slots: 4,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

func newDispatcher(upstreams ...discovery.Upstream) (d *dispatch.Dispatcher) {
	d = dispatch.New(dispatch.Options{FailureDomain: "a", Regions: regions})
	d.Sync(upstreams, []routing.Service{models, desk})
	return d
}

func promptOf(sharedID string, sharedTokens, ownTokens int) (prompt platform.Prompt) {
	return platform.Prompt{Tokens: sharedTokens + ownTokens, MaxOutput: 100, Parts: []platform.PromptPart{
		{ID: sharedID, Tokens: sharedTokens}, {ID: fmt.Sprintf("%s-own-%d", sharedID, ownTokens), Tokens: ownTokens},
	}}
}

// at returns the time d after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

func TestPlacePlain(t *testing.T) {
	near, far := upstreamOf("desk", "near", "a", ""), upstreamOf("desk", "far", "c", "")
	leaving := upstreamOf("desk", "leaving", "a", "")
	leaving.Draining = true
	for name, c := range map[string]struct {
		prepare func(d *dispatch.Dispatcher)
		tried   []string
		want    string
	}{
		"own domain preferred":    {func(*dispatch.Dispatcher) {}, nil, "near"},
		"tried upstream left out": {func(*dispatch.Dispatcher) {}, []string{"near"}, "far"},
		"all upstreams tried":     {func(*dispatch.Dispatcher) {}, []string{"near", "far"}, ""},
		"full": {func(d *dispatch.Dispatcher) {
			for range 40 {
				d.Begin(dispatch.Choice{Upstream: near}, start)
			}
		}, nil, "far"},
		"full by another node's jobs": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "near", Running: 40}}, start)
		}, nil, "far"},
		"upstream listed twice by another node": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "near", Running: 40}, {Upstream: "near", Running: 0}}, start)
		}, nil, "near"},
		"another node's load is replaced": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "near", Running: 40}}, start)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "far", Running: 1}}, start)
		}, nil, "near"},
		"another node's load has expired": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "near", Running: 40}}, at(-10*time.Second))
		}, nil, "near"},
		"broken": {func(d *dispatch.Dispatcher) {
			d.Begin(dispatch.Choice{Upstream: near}, start).End(start, dispatch.Broken)
		}, nil, "far"},
		"broken, but no other left": {func(d *dispatch.Dispatcher) {
			d.Begin(dispatch.Choice{Upstream: near}, start).End(start, dispatch.Broken)
		}, []string{"far"}, "near"},
		"served after a failure": {func(d *dispatch.Dispatcher) {
			d.Begin(dispatch.Choice{Upstream: near}, start).End(start, dispatch.Broken)
			d.Begin(dispatch.Choice{Upstream: near}, start).End(start, dispatch.Served)
		}, nil, "near"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(near, far, leaving)
			c.prepare(d)
			choice, ok := d.PlacePlain("desk", c.tried, at(time.Millisecond))
			if choice.Upstream.ID != c.want || ok != (c.want != "") {
				t.Errorf("PlacePlain chose %q, want %q", choice.Upstream.ID, c.want)
			}
		})
	}
}

// prefillChoice returns the choice of a plan that includes the prefill.
func prefillChoice(plan dispatch.Plan) (choice dispatch.Choice) {
	if plan.Prefill != nil {
		return *plan.Prefill
	}
	return plan.Decode
}

func TestPlacePrompt(t *testing.T) {
	p1, p2 := engine("p1", "a", discovery.Prefill), engine("p2", "a", discovery.Prefill)
	g1, g2, away := engine("g1", "a", discovery.Decode), engine("g2", "a", discovery.Decode), engine("away", "c", discovery.Prefill)
	long, short := promptOf("book", 13_000, 4_000), promptOf("note", 50, 250)
	cacheBook := func(d *dispatch.Dispatcher, u discovery.Upstream) {
		other := promptOf("book", 13_000, 3_999) // has the same first part as long
		plan, _ := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: other}, start)
		choice := prefillChoice(plan)
		choice.Upstream = u
		job := d.Begin(choice, start)
		job.PrefillDone(at(time.Second))
		job.End(at(time.Second), dispatch.Served)
	}
	for name, c := range map[string]struct {
		prepare         func(d *dispatch.Dispatcher)
		prompt          platform.Prompt
		upstreams       []discovery.Upstream
		prefill, decode string
		fetch           bool
	}{
		"short prompt prefilled where it decodes": {func(*dispatch.Dispatcher) {}, short, []discovery.Upstream{p1, g1}, "", "g1", false},
		"long prompt prefilled separately":        {func(*dispatch.Dispatcher) {}, long, []discovery.Upstream{p1, g1}, "p1", "g1", false},
		"only decode engines":                     {func(*dispatch.Dispatcher) {}, long, []discovery.Upstream{g1}, "", "g1", false},
		"only prefill engines":                    {func(*dispatch.Dispatcher) {}, long, []discovery.Upstream{p1}, "", "", false},
		"engine with the cached part preferred":   {func(d *dispatch.Dispatcher) { cacheBook(d, p2) }, long, []discovery.Upstream{p1, p2, g1}, "p2", "g1", false},
		"cached part fetched from a busy engine": {func(d *dispatch.Dispatcher) {
			cacheBook(d, p2)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", PendingPrefillMs: 900, Running: 3}}, at(time.Second))
		}, long, []discovery.Upstream{p1, p2, g1}, "p1", "g1", true},
		"part not fetched before its prefill ends": {func(d *dispatch.Dispatcher) {
			plan, _ := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 3_999)}, start)
			plan.Prefill.Upstream = p2
			d.Begin(*plan.Prefill, start) // expected to take 400 ms, not prefilled after a second
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", PendingPrefillMs: 5_000, Running: 3}}, at(time.Second))
		}, long, []discovery.Upstream{p1, p2, g1}, "p1", "g1", false},
		"other region when the own engines are busy": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p1", PendingPrefillMs: 3_000}, {Upstream: "g1", PendingPrefillMs: 3_000}}, at(time.Second))
		}, long, []discovery.Upstream{p1, g1, away}, "away", "g1", false},
		"decode engine with free slots": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g1", Running: 16}}, at(time.Second))
		}, long, []discovery.Upstream{p1, g1, g2}, "p1", "g2", false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(c.upstreams...)
			c.prepare(d)
			plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: c.prompt}, at(1001*time.Millisecond))
			prefill, fetch := "", plan.Decode.Fetch.IsValid()
			if plan.Prefill != nil {
				prefill, fetch = plan.Prefill.Upstream.ID, plan.Prefill.Fetch.IsValid()
			}
			if ok != (c.decode != "") || prefill != c.prefill || plan.Decode.Upstream.ID != c.decode || fetch != c.fetch {
				t.Errorf("prefill at %q, decode at %q, fetch %t, want %q, %q, %t", prefill, plan.Decode.Upstream.ID, fetch, c.prefill, c.decode, c.fetch)
			}
		})
	}
}

// Guards against sending a request to a decode engine that left during the
// prefill. In one run, the planned engine left during a prefill of 1.4 s and got
// the request later than a leaving upstream may.
func TestDecodeEngineLeavesDuringPrefill(t *testing.T) {
	p1, g1, g2 := engine("p1", "a", discovery.Prefill), engine("g1", "a", discovery.Decode), engine("g2", "a", discovery.Decode)
	leaving, restarted := g1, g1
	leaving.Draining = true
	restarted.StartedAt = at(time.Second)
	for name, c := range map[string]struct {
		afterPrefill []discovery.Upstream
		want         string
	}{
		"stays":                {[]discovery.Upstream{p1, g1, g2}, "g1"},
		"drains":               {[]discovery.Upstream{p1, leaving, g2}, "g2"},
		"gone":                 {[]discovery.Upstream{p1, g2}, "g2"},
		"restarted and usable": {[]discovery.Upstream{p1, restarted, g2}, "g1"},
		"no usable engine":     {[]discovery.Upstream{p1, leaving}, ""},
		"only prefill engines": {[]discovery.Upstream{p1}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(p1, g1, g2)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g2", Running: 5}}, start)
			plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, start)
			if !ok || plan.Decode.Upstream.ID != "g1" {
				t.Fatalf("planned to decode at %q, want g1", plan.Decode.Upstream.ID)
			}
			d.Sync(c.afterPrefill, []routing.Service{models})
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g2", Running: 5}}, start)
			choice, ok := d.PlaceDecode(plan.Decode, []string{"p1"}, at(1400*time.Millisecond))
			if choice.Upstream.ID != c.want || ok != (c.want != "") {
				t.Errorf("decodes at %q, want %q", choice.Upstream.ID, c.want)
			}
		})
	}
}

// Guards against sending all requests to one decode engine: during the prefill,
// the planned engine gets the requests of other nodes that planned to use it too.
func TestDecodeEngineGetsBusyDuringPrefill(t *testing.T) {
	d := newDispatcher(engine("p1", "a", discovery.Prefill), engine("g1", "a", discovery.Decode), engine("g2", "a", discovery.Decode))
	d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g2", Running: 5}}, start)
	plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, start)
	if !ok || plan.Decode.Upstream.ID != "g1" {
		t.Fatalf("planned to decode at %q, want g1", plan.Decode.Upstream.ID)
	}
	d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g2", Running: 5}, {Upstream: "g1", Running: 16}}, at(300*time.Millisecond))
	if choice, ok := d.PlaceDecode(plan.Decode, []string{"p1"}, at(300*time.Millisecond)); !ok || choice.Upstream.ID != "g2" {
		t.Errorf("decodes at %q, want g2", choice.Upstream.ID)
	}
}

// Guards against counting the jobs of an upstream that has restarted under the
// same ID.
func TestRestartedUpstreamLosesItsLoad(t *testing.T) {
	before := engine("g1", "a", discovery.Decode)
	d := newDispatcher(before)
	job := d.Begin(dispatch.Choice{Upstream: before}, start)
	after := before
	after.StartedAt = at(time.Second)
	if gone := d.Sync([]discovery.Upstream{after}, []routing.Service{models}); !slices.Equal(gone, []string{"g1"}) {
		t.Errorf("Sync returned %v as gone, want g1", gone)
	}
	job.End(at(2*time.Second), dispatch.Served)
	if loads := d.Loads(at(2 * time.Second)); len(loads) != 0 {
		t.Errorf("loads %v after the restart, want none", loads)
	}
}

// peakResult counts the prompts of a run of simulatePeak by their outcome.
type peakResult struct {
	onTime, late, refused int
	worst                 time.Duration
}

// simulatePeak simulates the busiest seconds of the long-prompt phase of a load
// shift on 18 engines of one region: 49 prompts per second, each with 13,300
// tokens shared by the prompts on one of 63 subjects, and 3,720 tokens of its own
// on average. Three nodes place them and exchange loads at each reportInterval.
// Engines prefill first come, first served, at their published speed. Prompts
// whose expected wait exceeds the objective are refused.
func simulatePeak(reportInterval time.Duration, random *rand.Rand) (result peakResult) {
	const (
		objective   = 800 * time.Millisecond
		seconds     = 10
		rate        = 49
		prefillRate = 48.2 // tokens per millisecond
	)
	var upstreams []discovery.Upstream
	for i := range 18 {
		stage := discovery.Prefill
		if i%5 < 2 {
			stage = discovery.Decode
		}
		upstreams = append(upstreams, engine(fmt.Sprintf("e%02d", i), "a", stage))
	}
	nodes := []*dispatch.Dispatcher{newDispatcher(upstreams...), newDispatcher(upstreams...), newDispatcher(upstreams...)}
	freeAt := map[string]time.Time{}
	type prefill struct {
		job *dispatch.Job
		end time.Time
	}
	var running []prefill
	reportedAt := start
	for i := range seconds * rate {
		now := at(time.Duration(i) * time.Second / rate)
		remaining := running[:0]
		for _, r := range running {
			if r.end.After(now) {
				remaining = append(remaining, r)
				continue
			}
			r.job.PrefillDone(r.end)
			r.job.End(r.end, dispatch.Served)
		}
		running = remaining
		if now.Sub(reportedAt) >= reportInterval {
			reportedAt = now
			for from, sender := range nodes {
				for to, node := range nodes {
					if from != to {
						node.SetPeerLoads(fmt.Sprint(from), sender.Loads(now), now)
						node.ApplyCacheInserts(sender.CacheInserts(now))
					}
				}
			}
		}
		prompt := promptOf(fmt.Sprintf("subject-%d", random.IntN(63)), 13_300, 500+int(random.ExpFloat64()*3_220))
		node := nodes[random.IntN(len(nodes))]
		plan, ok := node.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: prompt}, now)
		if !ok || plan.Expected-plan.PrefillTime() > objective {
			result.refused++
			continue
		}
		choice, speed := plan.Decode, prefillRate/2
		if plan.Prefill != nil {
			choice, speed = *plan.Prefill, prefillRate
		}
		begin := now
		if freeAt[choice.Upstream.ID].After(now) {
			begin = freeAt[choice.Upstream.ID]
		}
		end := begin.Add(max(choice.PrefillTime, time.Duration(float64(prompt.Parts[1].Tokens)/speed)*time.Millisecond))
		freeAt[choice.Upstream.ID] = end
		running = append(running, prefill{job: node.Begin(choice, now), end: end})
		switch wait := end.Sub(now); {
		case wait <= objective:
			result.onTime++
			result.worst = max(result.worst, wait)
		default:
			result.late++
			result.worst = max(result.worst, wait)
		}
	}
	return result
}

// Guards against late or refused prompts while engines are idle. An ideal schedule
// needs about half of the engines to prefill all prompts on time. With loads
// reported as often as nodes send them, nine in ten prompts must be on time, and
// at most one in a hundred refused.
func TestLongPromptPeak(t *testing.T) {
	for seed := range uint64(5) {
		result := simulatePeak(25*time.Millisecond, rand.New(rand.NewPCG(seed, 1)))
		total := result.onTime + result.late + result.refused
		if result.onTime*10 < total*9 || result.refused*100 > total {
			t.Errorf("seed %d: %+v of %d, want nine in ten on time and at most one in a hundred refused", seed, result, total)
		}
	}
}

// Guards against load reports that don't improve placement. When they are rare,
// nodes choose the same engines and fewer prompts are on time.
func TestLongPromptPeakWithRareLoadReports(t *testing.T) {
	frequent, rare := peakResult{}, peakResult{}
	for seed := range uint64(5) {
		f, r := simulatePeak(25*time.Millisecond, rand.New(rand.NewPCG(seed, 1))), simulatePeak(2*time.Second, rand.New(rand.NewPCG(seed, 1)))
		frequent.onTime, rare.onTime = frequent.onTime+f.onTime, rare.onTime+r.onTime
	}
	if frequent.onTime < rare.onTime {
		t.Errorf("%d prompts on time with loads reported every 25 ms, %d with every 2 s", frequent.onTime, rare.onTime)
	}
}

// Guards against a backlog estimate of half the real queue, which comes from each
// node with prompts in the queue assuming that its own is being prefilled now.
func TestBacklogCountsProgressOnce(t *testing.T) {
	const nodes = 9
	e := engine("e1", "a", discovery.Decode) // the only engine, so it is always chosen
	var all []*dispatch.Dispatcher
	for range nodes {
		all = append(all, newDispatcher(e))
	}
	reportLoads := func(now time.Time) {
		for from, sender := range all {
			for to, node := range all {
				if from != to {
					node.SetPeerLoads(fmt.Sprint(from), sender.Loads(now), now)
				}
			}
		}
	}
	var jobs []*dispatch.Job
	for i, node := range all {
		jobs = append(jobs, node.Begin(dispatch.Choice{
			Upstream: e, PrefillTime: 300 * time.Millisecond, Expected: time.Duration(i+1) * 300 * time.Millisecond,
		}, start))
	}
	short := platform.Prompt{Tokens: 48, Parts: []platform.PromptPart{{ID: "short", Tokens: 48}}}
	for now := 25 * time.Millisecond; now < 2600*time.Millisecond; now += 25 * time.Millisecond {
		if done := int(now/(300*time.Millisecond)) - 1; done >= 0 && now%(300*time.Millisecond) == 0 {
			jobs[done].PrefillDone(at(now))
			jobs[done].End(at(now), dispatch.Served)
		}
		reportLoads(at(now))
		remaining := nodes*300*time.Millisecond - now
		plan, ok := all[nodes-1].PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: short}, at(now))
		if !ok {
			t.Fatal("PlacePrompt found no engine")
		}
		if deviation := (plan.Expected - remaining).Abs(); deviation > 200*time.Millisecond {
			t.Errorf("after %v: expected wait is %v, %v of prefill remain", now, plan.Expected, remaining)
		}
	}
}

// Guards against a cache estimate with parts that the engine doesn't have: those
// of prompts that were never prefilled, and those that were evicted by prompts of
// other nodes.
func TestCachedPartsMatchEngine(t *testing.T) {
	p1, p2, g1 := engine("p1", "a", discovery.Prefill), engine("p2", "a", discovery.Prefill), engine("g1", "a", discovery.Decode)
	prefill := func(d *dispatch.Dispatcher, outcome dispatch.Outcome) {
		plan, _ := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 3_999)}, start)
		choice := prefillChoice(plan)
		choice.Upstream = p2
		d.Begin(choice, start).End(at(time.Second), outcome)
	}
	for name, c := range map[string]struct {
		prepare      func(d *dispatch.Dispatcher)
		cachedTokens int
	}{
		"read":                    {func(d *dispatch.Dispatcher) { prefill(d, dispatch.Served) }, 13_000},
		"rejected":                {func(d *dispatch.Dispatcher) { prefill(d, dispatch.Rejected) }, 0},
		"broken":                  {func(d *dispatch.Dispatcher) { prefill(d, dispatch.Broken) }, 0},
		"abandoned by the caller": {func(d *dispatch.Dispatcher) { prefill(d, dispatch.Abandoned) }, 0},
		"rejected after an earlier prefill": {func(d *dispatch.Dispatcher) {
			prefill(d, dispatch.Served)
			prefill(d, dispatch.Rejected)
		}, 13_000},
		"prefilled for another node": {func(d *dispatch.Dispatcher) {
			d.ApplyCacheInserts([]dispatch.CacheInsert{{Upstream: "p2", Part: "book", Tokens: 13_000}})
		}, 13_000},
		"other nodes' parts fit": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_000_000}}, start)
			prefill(d, dispatch.Served)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_300_000}}, at(time.Second))
		}, 13_000},
		"evicted by other nodes' parts": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_000_000}}, start)
			prefill(d, dispatch.Served)
			for i := range int64(40) {
				d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_000_000 + 10_000*i}}, at(time.Second+time.Duration(i)*time.Second))
			}
		}, 0},
		"token count of a restarted node": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_000_000}}, start)
			prefill(d, dispatch.Served)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 10_000}}, at(time.Second))
		}, 13_000},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(p1, p2, g1)
			c.prepare(d)
			plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, at(time.Minute))
			if !ok || prefillChoice(plan).CachedTokens != c.cachedTokens {
				t.Errorf("plan %+v, want one with %d cached tokens", plan, c.cachedTokens)
			}
		})
	}
}

// Guards against token counts of a failure domain that fall and rise again when
// nodes leave out an upstream for a while. Other domains would count the rise as
// new tokens, and take cached parts as evicted.
func TestDomainUnsharedTokensNeverFall(t *testing.T) {
	p1, g1 := engine("p1", "a", discovery.Prefill), engine("g1", "a", discovery.Decode)
	near, far := newDispatcher(p1, g1), newDispatcher(p1, g1) // far gets the loads as if from another domain
	far.ApplyCacheInserts([]dispatch.CacheInsert{{Upstream: "p1", Part: "book", Tokens: 13_000}})
	counted := int64(0)
	for i := range 400 {
		now := at(time.Duration(i) * 250 * time.Millisecond)
		near.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p1", UnsharedTokens: 100_000 + 500*int64(i)}}, now)
		if i%2 == 0 { // n3 leaves out the upstream every other time
			near.SetPeerLoads("n3", []dispatch.Load{{Upstream: "p1", UnsharedTokens: 300_000}}, now)
		} else {
			near.SetPeerLoads("n3", nil, now)
		}
		if tokens := near.DomainUnsharedTokens("p1"); tokens < counted {
			t.Fatalf("token count falls from %d to %d", counted, tokens)
		}
		counted = near.DomainUnsharedTokens("p1")
		far.SetDomainLoads("b", "n1", []dispatch.Load{{Upstream: "p1", UnsharedTokens: counted}}, now)
	}
	if counted != 399*500 {
		t.Errorf("%d tokens counted, want %d", counted, 399*500)
	}
	plan, ok := far.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, at(100*time.Second))
	if !ok || prefillChoice(plan).CachedTokens != 13_000 {
		t.Errorf("plan %+v, want one that uses the cached part: other prompts fill only half of the engine's cache", plan)
	}
}

// Guards against copying a shared part to one full engine after another, which
// evicts other parts there. The engine that has the part is preferred unless its
// load outweighs the evictions.
func TestFullEnginesAvoidCopies(t *testing.T) {
	p1, g1, g2 := engine("p1", "a", discovery.Prefill), engine("g1", "a", discovery.Decode), engine("g2", "a", discovery.Decode)
	for name, c := range map[string]struct {
		otherTokens int64 // tokens of other prompts at the engine without the part
		running     int   // requests at the engine with the part
		want        string
	}{
		"room for a copy":                 {10_000, 3, "g1"},
		"full":                            {399_000, 3, "g2"},
		"full, but the other one is busy": {399_000, 16, "g1"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(p1, g1, g2)
			d.ApplyCacheInserts([]dispatch.CacheInsert{{Upstream: "p1", Part: "book", Tokens: 13_000}, {Upstream: "g2", Part: "book", Tokens: 13_000}})
			// Only the increase over the first counts is added to the cache estimate.
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g1", UnsharedTokens: 1}, {Upstream: "g2", UnsharedTokens: 1}}, start)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g1", UnsharedTokens: 1 + c.otherTokens}, {Upstream: "g2", UnsharedTokens: 1 + c.otherTokens/2, Running: c.running}}, start)
			plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, start)
			if !ok || plan.Decode.Upstream.ID != c.want {
				t.Errorf("decodes at %q, want %s", plan.Decode.Upstream.ID, c.want)
			}
		})
	}
}

// Guards against cache inserts that exceed a datagram when the contents of many
// engines are published at once. The loads in the same message would be lost.
func TestCacheInsertsAreBounded(t *testing.T) {
	const limit, engines, parts = 1000, 60, 40
	var upstreams []discovery.Upstream
	for i := range engines {
		upstreams = append(upstreams, engine(fmt.Sprint("e", i), "a", discovery.Decode))
	}
	d := newDispatcher(upstreams...)
	for _, u := range upstreams {
		contents := dispatch.CacheContents{Upstream: u.ID}
		for i := range parts {
			contents.Parts = append(contents.Parts, platform.PromptPart{ID: fmt.Sprint(u.ID, "-", i), Tokens: 5_000})
		}
		d.PublishCacheContents(contents, start)
	}
	inserts := d.CacheInserts(start)
	if len(inserts) != limit || inserts[limit-1].Upstream != upstreams[engines-1].ID {
		t.Errorf("%d cache inserts, the last of %s, want the newest %d", len(inserts), inserts[len(inserts)-1].Upstream, limit)
	}
	knownParts := 0
	for _, contents := range d.CacheContents() {
		knownParts += len(contents.Parts)
	}
	if knownParts != engines*parts {
		t.Errorf("CacheContents has %d parts, want %d", knownParts, engines*parts)
	}
}

// Guards against an upstream that is used, or from which cached parts are fetched,
// while it wants nothing, and against a pause that a late answer ends.
func TestConditions(t *testing.T) {
	d := newDispatcher(engine("e1", "a", discovery.Decode), engine("e2", "a", discovery.Decode))
	begin := func(id string) *dispatch.Job {
		return d.Begin(dispatch.Choice{Upstream: engine(id, "a", discovery.Decode)}, start)
	}
	expect := func(what, id string, after time.Duration, want dispatch.Condition) {
		t.Helper()
		if got, ok := d.Condition(id, at(after)); got != want || !ok {
			t.Errorf("%s: condition %d, registered %t, want %d", what, got, ok, want)
		}
	}
	first, late := begin("e1"), begin("e1")
	first.Observe(dispatch.PauseRequest{For: 2 * time.Second}, start)
	first.End(start, dispatch.Rejected)
	late.Observe(dispatch.PauseRequest{For: time.Second}, at(100*time.Millisecond))
	late.End(at(100*time.Millisecond), dispatch.Served)
	expect("during the pause", "e1", 1900*time.Millisecond, dispatch.Paused)
	expect("after the pause", "e1", 2100*time.Millisecond, dispatch.Available)
	if wait, ok := d.ResumesIn("models", at(time.Second)); ok {
		t.Errorf("resumes in %s, want no wait beside an available upstream", wait)
	}
	begin("e2").Observe(dispatch.PauseRequest{For: time.Minute}, start)
	if wait, ok := d.ResumesIn("models", at(time.Second)); !ok || wait != time.Second {
		t.Errorf("resumes in %s, %t, want %s", wait, ok, time.Second)
	}
	d.ApplyCacheInserts([]dispatch.CacheInsert{{Upstream: "e2", Part: "book", Tokens: 13_000}})
	if plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 300)}, at(3*time.Second)); !ok || plan.Decode.Fetch.IsValid() {
		t.Errorf("plan %+v, %t, want one at e1 that fetches nothing from e2", plan, ok)
	}
	begin("e2").Observe(dispatch.PauseRequest{For: 1 << 62}, start)
	expect("absurdly long pause", "e2", 59*time.Minute, dispatch.Paused)
	expect("absurdly long pause", "e2", 61*time.Minute, dispatch.Available)
	begin("e2").Observe(dispatch.LeavingNotice{}, start)
	expect("leaving", "e2", 2*time.Hour, dispatch.Leaving)
	restarted := engine("e2", "a", discovery.Decode)
	restarted.StartedAt = at(time.Hour)
	d.Sync([]discovery.Upstream{engine("e1", "a", discovery.Decode), restarted}, []routing.Service{models, desk})
	expect("new instance", "e2", 0, dispatch.Available)
}
