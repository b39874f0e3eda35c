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

func promptOf(shared string, tokens, own int) (prompt platform.Prompt) {
	return platform.Prompt{Tokens: tokens + own, MaxOutput: 100, Parts: []platform.PromptPart{
		{ID: shared, Tokens: tokens}, {ID: fmt.Sprintf("%s-own-%d", shared, own), Tokens: own},
	}}
}

// at is a moment after the start.
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
		"own domain first":  {func(*dispatch.Dispatcher) {}, nil, "near"},
		"without the tried": {func(*dispatch.Dispatcher) {}, []string{"near"}, "far"},
		"none is left":      {func(*dispatch.Dispatcher) {}, []string{"near", "far"}, ""},
		"full": {func(d *dispatch.Dispatcher) {
			for range 40 {
				d.Begin(dispatch.Choice{Upstream: near}, start)
			}
		}, nil, "far"},
		"full by others' work": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "near", Running: 40}}, start)
		}, nil, "far"},
		"others' work is old": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "near", Running: 40}}, at(-10*time.Second))
		}, nil, "near"},
		"broken": {func(d *dispatch.Dispatcher) {
			d.Begin(dispatch.Choice{Upstream: near}, start).End(start, dispatch.Broken)
		}, nil, "far"},
		"broken, but the last": {func(d *dispatch.Dispatcher) {
			d.Begin(dispatch.Choice{Upstream: near}, start).End(start, dispatch.Broken)
		}, []string{"far"}, "near"},
		"well again": {func(d *dispatch.Dispatcher) {
			d.Begin(dispatch.Choice{Upstream: near}, start).End(start, dispatch.Broken)
			d.Begin(dispatch.Choice{Upstream: near}, start).End(start, dispatch.Served)
		}, nil, "near"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(near, far, leaving)
			c.prepare(d)
			choice, ok := d.PlacePlain("desk", c.tried, at(time.Millisecond))
			if choice.Upstream.ID != c.want || ok != (c.want != "") {
				t.Errorf("chose %q, want %q", choice.Upstream.ID, c.want)
			}
		})
	}
}

// reader is the choice by which a plan has its prompt read.
func reader(plan dispatch.Plan) (choice dispatch.Choice) {
	if plan.Prefill != nil {
		return *plan.Prefill
	}
	return plan.Decode
}

func TestPlacePrompt(t *testing.T) {
	p1, p2 := engine("p1", "a", discovery.Prefill), engine("p2", "a", discovery.Prefill)
	g1, g2, away := engine("g1", "a", discovery.Decode), engine("g2", "a", discovery.Decode), engine("away", "c", discovery.Prefill)
	long, short := promptOf("book", 13_000, 4_000), promptOf("note", 50, 250)
	kept := func(d *dispatch.Dispatcher, u discovery.Upstream) {
		other := promptOf("book", 13_000, 3_999) // shares its first part with long
		plan, _ := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: other}, start)
		choice := reader(plan)
		choice.Upstream = u
		job := d.Begin(choice, start)
		job.PrefillDone(at(time.Second))
		job.End(at(time.Second), dispatch.Served)
	}
	for name, c := range map[string]struct {
		prepare   func(d *dispatch.Dispatcher)
		prompt    platform.Prompt
		upstreams []discovery.Upstream
		read, run string
		fetch     bool
	}{
		"short ones are read where they run": {func(*dispatch.Dispatcher) {}, short, []discovery.Upstream{p1, g1}, "", "g1", false},
		"long ones are read apart":           {func(*dispatch.Dispatcher) {}, long, []discovery.Upstream{p1, g1}, "p1", "g1", false},
		"only engines that generate":         {func(*dispatch.Dispatcher) {}, long, []discovery.Upstream{g1}, "", "g1", false},
		"only engines that read":             {func(*dispatch.Dispatcher) {}, long, []discovery.Upstream{p1}, "", "", false},
		"where the part is kept":             {func(d *dispatch.Dispatcher) { kept(d, p2) }, long, []discovery.Upstream{p1, p2, g1}, "p2", "g1", false},
		"fetched when its holder is busy": {func(d *dispatch.Dispatcher) {
			kept(d, p2)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", PendingPrefillMs: 900, Running: 3}}, at(time.Second))
		}, long, []discovery.Upstream{p1, p2, g1}, "p1", "g1", true},
		"not fetched before it was read": {func(d *dispatch.Dispatcher) {
			plan, _ := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 3_999)}, start)
			plan.Prefill.Upstream = p2
			d.Begin(*plan.Prefill, start) // 400 ms were expected; it isn't read after a second
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", PendingPrefillMs: 5_000, Running: 3}}, at(time.Second))
		}, long, []discovery.Upstream{p1, p2, g1}, "p1", "g1", false},
		"another region when its own is full": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p1", PendingPrefillMs: 3_000}, {Upstream: "g1", PendingPrefillMs: 3_000}}, at(time.Second))
		}, long, []discovery.Upstream{p1, g1, away}, "away", "g1", false},
		"the engine with free slots generates": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g1", Running: 16}}, at(time.Second))
		}, long, []discovery.Upstream{p1, g1, g2}, "p1", "g2", false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(c.upstreams...)
			c.prepare(d)
			plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: c.prompt}, at(1001*time.Millisecond))
			read, fetch := "", plan.Decode.Fetch.IsValid()
			if plan.Prefill != nil {
				read, fetch = plan.Prefill.Upstream.ID, plan.Prefill.Fetch.IsValid()
			}
			if ok != (c.run != "") || read != c.read || plan.Decode.Upstream.ID != c.run || fetch != c.fetch {
				t.Errorf("read at %q, run at %q, fetch %t, want %q, %q, %t", read, plan.Decode.Upstream.ID, fetch, c.read, c.run, c.fetch)
			}
		})
	}
}

// While a prompt was read for 1.4 s, the engine that was to generate left, and got
// the request later than leaving upstreams may.
func TestRunnerLeavesMeanwhile(t *testing.T) {
	p1, g1, g2 := engine("p1", "a", discovery.Prefill), engine("g1", "a", discovery.Decode), engine("g2", "a", discovery.Decode)
	leaving, restarted := g1, g1
	leaving.Draining = true
	restarted.StartedAt = at(time.Second)
	for name, c := range map[string]struct {
		then []discovery.Upstream
		want string
	}{
		"stays":                  {[]discovery.Upstream{p1, g1, g2}, "g1"},
		"drains":                 {[]discovery.Upstream{p1, leaving, g2}, "g2"},
		"gone":                   {[]discovery.Upstream{p1, g2}, "g2"},
		"started again":          {[]discovery.Upstream{p1, restarted, g2}, "g1"},
		"none that takes work":   {[]discovery.Upstream{p1, leaving}, ""},
		"only engines that read": {[]discovery.Upstream{p1}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(p1, g1, g2)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g2", Running: 5}}, start)
			plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, start)
			if !ok || plan.Decode.Upstream.ID != "g1" {
				t.Fatalf("planned to run at %q, want g1", plan.Decode.Upstream.ID)
			}
			d.Sync(c.then, []routing.Service{models})
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g2", Running: 5}}, start)
			choice, ok := d.PlaceDecode(plan.Decode, []string{"p1"}, at(1400*time.Millisecond))
			if choice.Upstream.ID != c.want || ok != (c.want != "") {
				t.Errorf("runs at %q, want %q", choice.Upstream.ID, c.want)
			}
		})
	}
}

// While a prompt was read, the engine that was to generate got the requests of
// other nodes, which had all planned to use it.
func TestRunnerBusyMeanwhile(t *testing.T) {
	d := newDispatcher(engine("p1", "a", discovery.Prefill), engine("g1", "a", discovery.Decode), engine("g2", "a", discovery.Decode))
	d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g2", Running: 5}}, start)
	plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, start)
	if !ok || plan.Decode.Upstream.ID != "g1" {
		t.Fatalf("planned to run at %q, want g1", plan.Decode.Upstream.ID)
	}
	d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g2", Running: 5}, {Upstream: "g1", Running: 16}}, at(300*time.Millisecond))
	if choice, ok := d.PlaceDecode(plan.Decode, []string{"p1"}, at(300*time.Millisecond)); !ok || choice.Upstream.ID != "g2" {
		t.Errorf("runs at %q, want g2", choice.Upstream.ID)
	}
}

// An upstream that starts again under its ID knows nothing of before.
func TestRestart(t *testing.T) {
	before := engine("g1", "a", discovery.Decode)
	d := newDispatcher(before)
	job := d.Begin(dispatch.Choice{Upstream: before}, start)
	after := before
	after.StartedAt = at(time.Second)
	if gone := d.Sync([]discovery.Upstream{after}, []routing.Service{models}); !slices.Equal(gone, []string{"g1"}) {
		t.Errorf("gone %v, want g1", gone)
	}
	job.End(at(2*time.Second), dispatch.Served)
	if loads := d.Loads(at(2 * time.Second)); len(loads) != 0 {
		t.Errorf("loads %v, want none", loads)
	}
}

// load is what the played load of TestHeavyShift came to.
type load struct {
	onTime, late, refused int
	worst                 time.Duration
}

// playShift plays the heaviest seconds of the long-prompt shift on 18 engines of
// one region: 49 prompts a second of 13,300 shared tokens of 63 subjects and 3,720
// of their own on average. Three nodes place them and hear of each other every
// hear. Engines read first come, first served, at the published speed. Prompts
// that would begin later than the objective after waiting are refused.
func playShift(hear time.Duration, random *rand.Rand) (result load) {
	const (
		objective = 800 * time.Millisecond
		seconds   = 10
		rate      = 49
		readRate  = 48.2 // tokens a millisecond
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
	free := map[string]time.Time{}
	type reading struct {
		job *dispatch.Job
		end time.Time
	}
	var running []reading
	heard := start
	for i := range seconds * rate {
		now := at(time.Duration(i) * time.Second / rate)
		left := running[:0]
		for _, r := range running {
			if r.end.After(now) {
				left = append(left, r)
				continue
			}
			r.job.PrefillDone(r.end)
			r.job.End(r.end, dispatch.Served)
		}
		running = left
		if now.Sub(heard) >= hear {
			heard = now
			for a, told := range nodes {
				for b, node := range nodes {
					if a != b {
						node.SetPeerLoads(fmt.Sprint(a), told.Loads(now), now)
						node.ApplyCacheInserts(told.CacheInserts(now))
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
		choice, speed := plan.Decode, readRate/2
		if plan.Prefill != nil {
			choice, speed = *plan.Prefill, readRate
		}
		begin := now
		if free[choice.Upstream.ID].After(now) {
			begin = free[choice.Upstream.ID]
		}
		end := begin.Add(max(choice.PrefillTime, time.Duration(float64(prompt.Parts[1].Tokens)/speed)*time.Millisecond))
		free[choice.Upstream.ID] = end
		running = append(running, reading{job: node.Begin(choice, now), end: end})
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

// The engines can read all prompts of the shift in time: an ideal schedule needs
// about half of them. With loads told as often as nodes tell them, nine in ten
// begin in time and none is refused while others idle.
func TestHeavyShift(t *testing.T) {
	for seed := range uint64(5) {
		result := playShift(25*time.Millisecond, rand.New(rand.NewPCG(seed, 1)))
		total := result.onTime + result.late + result.refused
		if result.onTime*10 < total*9 || result.refused*100 > total {
			t.Errorf("seed %d: %+v of %d, want nine in ten on time and at most one in a hundred refused", seed, result, total)
		}
	}
}

// Hearing of each other seldom costs prompts their time: nodes choose the same
// engine.
func TestHeavyShiftHeardSeldom(t *testing.T) {
	often, seldom := load{}, load{}
	for seed := range uint64(5) {
		o, s := playShift(25*time.Millisecond, rand.New(rand.NewPCG(seed, 1))), playShift(2*time.Second, rand.New(rand.NewPCG(seed, 1)))
		often.onTime, seldom.onTime = often.onTime+o.onTime, seldom.onTime+s.onTime
	}
	if often.onTime < seldom.onTime {
		t.Errorf("%d on time when told every 25 ms, %d when every 2 s", often.onTime, seldom.onTime)
	}
}

// Guards against a queue that looks half as long as it is, since each of the
// nodes whose prompts wait in it takes its own to be the one that is being read.
func TestBacklogOfManyNodes(t *testing.T) {
	const nodes = 9
	e := engine("e1", "a", discovery.Decode) // the only one, so it is always chosen
	var all []*dispatch.Dispatcher
	for range nodes {
		all = append(all, newDispatcher(e))
	}
	tell := func(now time.Time) {
		for a, told := range all {
			for b, node := range all {
				if a != b {
					node.SetPeerLoads(fmt.Sprint(a), told.Loads(now), now)
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
		tell(at(now))
		left := nodes*300*time.Millisecond - now
		plan, ok := all[nodes-1].PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: short}, at(now))
		if !ok {
			t.Fatal("no engine")
		}
		if off := (plan.Expected - left).Abs(); off > 200*time.Millisecond {
			t.Errorf("after %v: %v expected, %v of reading are left", now, plan.Expected, left)
		}
	}
}

// Guards against parts that a node takes an engine to keep though it doesn't:
// prompts that weren't read in the end, and parts that have yielded to prompts of
// other nodes.
func TestKeptParts(t *testing.T) {
	p1, p2, g1 := engine("p1", "a", discovery.Prefill), engine("p2", "a", discovery.Prefill), engine("g1", "a", discovery.Decode)
	read := func(d *dispatch.Dispatcher, outcome dispatch.Outcome) {
		plan, _ := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 3_999)}, start)
		choice := reader(plan)
		choice.Upstream = p2
		d.Begin(choice, start).End(at(time.Second), outcome)
	}
	for name, c := range map[string]struct {
		prepare func(d *dispatch.Dispatcher)
		kept    int
	}{
		"read":            {func(d *dispatch.Dispatcher) { read(d, dispatch.Served) }, 13_000},
		"rejected":        {func(d *dispatch.Dispatcher) { read(d, dispatch.Rejected) }, 0},
		"broken":          {func(d *dispatch.Dispatcher) { read(d, dispatch.Broken) }, 0},
		"the caller left": {func(d *dispatch.Dispatcher) { read(d, dispatch.Abandoned) }, 0},
		"rejected, but read before": {func(d *dispatch.Dispatcher) {
			read(d, dispatch.Served)
			read(d, dispatch.Rejected)
		}, 13_000},
		"read at another node": {func(d *dispatch.Dispatcher) {
			d.ApplyCacheInserts([]dispatch.CacheInsert{{Upstream: "p2", Part: "book", Tokens: 13_000}})
		}, 13_000},
		"others' parts fit": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_000_000}}, start)
			read(d, dispatch.Served)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_300_000}}, at(time.Second))
		}, 13_000},
		"yielded to others' parts": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_000_000}}, start)
			read(d, dispatch.Served)
			for i := range int64(40) {
				d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_000_000 + 10_000*i}}, at(time.Second+time.Duration(i)*time.Second))
			}
		}, 0},
		"the other node started again": {func(d *dispatch.Dispatcher) {
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 1_000_000}}, start)
			read(d, dispatch.Served)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p2", UnsharedTokens: 10_000}}, at(time.Second))
		}, 13_000},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(p1, p2, g1)
			c.prepare(d)
			plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, at(time.Minute))
			if !ok || reader(plan).CachedTokens != c.kept {
				t.Errorf("plan %+v, want one with %d tokens kept", plan, c.kept)
			}
		})
	}
}

// Guards against counts of a failure domain that jump when nodes leave out an
// upstream for a while: its parts would seem to have yielded.
func TestDomainTokens(t *testing.T) {
	p1, g1 := engine("p1", "a", discovery.Prefill), engine("g1", "a", discovery.Decode)
	near, far := newDispatcher(p1, g1), newDispatcher(p1, g1)
	far.ApplyCacheInserts([]dispatch.CacheInsert{{Upstream: "p1", Part: "book", Tokens: 13_000}})
	read := int64(0)
	for i := range 400 {
		now := at(time.Duration(i) * 250 * time.Millisecond)
		near.SetPeerLoads("n2", []dispatch.Load{{Upstream: "p1", UnsharedTokens: 100_000 + 500*int64(i)}}, now)
		if i%2 == 0 { // leaves the upstream out each other time
			near.SetPeerLoads("n3", []dispatch.Load{{Upstream: "p1", UnsharedTokens: 300_000}}, now)
		} else {
			near.SetPeerLoads("n3", nil, now)
		}
		if tokens := near.DomainUnsharedTokens("p1"); tokens < read {
			t.Fatalf("count falls from %d to %d", read, tokens)
		}
		read = near.DomainUnsharedTokens("p1")
		far.SetDomainLoads("b", "n1", []dispatch.Load{{Upstream: "p1", UnsharedTokens: read}}, now)
	}
	if read != 399*500 {
		t.Errorf("%d tokens counted, want %d", read, 399*500)
	}
	plan, ok := far.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, at(100*time.Second))
	if !ok || reader(plan).CachedTokens != 13_000 {
		t.Errorf("plan %+v, want one that uses the kept part: others have read half of the engine's capacity", plan)
	}
}

// Guards against copies of a shared part at each engine in turn, for which others
// have to yield: the engine that keeps it is preferred while it is as good.
func TestFullEngines(t *testing.T) {
	p1, g1, g2 := engine("p1", "a", discovery.Prefill), engine("g1", "a", discovery.Decode), engine("g2", "a", discovery.Decode)
	for name, c := range map[string]struct {
		others int64 // tokens of other prompts at the engine without the part
		busy   int   // requests at the engine with the part
		want   string
	}{
		"room for a copy":      {10_000, 3, "g1"},
		"full":                 {399_000, 3, "g2"},
		"full, the other busy": {399_000, 16, "g1"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(p1, g1, g2)
			d.ApplyCacheInserts([]dispatch.CacheInsert{{Upstream: "p1", Part: "book", Tokens: 13_000}, {Upstream: "g2", Part: "book", Tokens: 13_000}})
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g1", UnsharedTokens: 1}, {Upstream: "g2", UnsharedTokens: 1}}, start)
			d.SetPeerLoads("n2", []dispatch.Load{{Upstream: "g1", UnsharedTokens: 1 + c.others}, {Upstream: "g2", UnsharedTokens: 1 + c.others/2, Running: c.busy}}, start)
			plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: promptOf("book", 13_000, 4_000)}, start)
			if !ok || plan.Decode.Upstream.ID != c.want {
				t.Errorf("runs at %q, want %s", plan.Decode.Upstream.ID, c.want)
			}
		})
	}
}

// Guards against messages that exceed a datagram when many engines are listed at
// once: all loads would be lost with them.
func TestPlacementsAreBounded(t *testing.T) {
	const most, engines, parts = 1000, 60, 40
	var upstreams []discovery.Upstream
	for i := range engines {
		upstreams = append(upstreams, engine(fmt.Sprint("e", i), "a", discovery.Decode))
	}
	d := newDispatcher(upstreams...)
	for _, u := range upstreams {
		kept := dispatch.CacheContents{Upstream: u.ID}
		for i := range parts {
			kept.Parts = append(kept.Parts, platform.PromptPart{ID: fmt.Sprint(u.ID, "-", i), Tokens: 5_000})
		}
		d.PublishCacheContents(kept, start)
	}
	placed := d.CacheInserts(start)
	if len(placed) != most || placed[most-1].Upstream != upstreams[engines-1].ID {
		t.Errorf("%d placements told, the last of %s, want the newest %d", len(placed), placed[len(placed)-1].Upstream, most)
	}
	kept := 0
	for _, k := range d.CacheContents() {
		kept += len(k.Parts)
	}
	if kept != engines*parts {
		t.Errorf("%d parts known, want %d", kept, engines*parts)
	}
}
