package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
)

// Properties of the simulated engines, as measured in runs of two fleets.
const (
	simulatedStart      = 20 * time.Millisecond // node, network and start of an engine
	simulatedTokens     = 36.7                  // per ms
	simulatedStep       = 4.34                  // ms for each chunk of 1,024 tokens
	simulatedNoise      = 2.5
	simulatedNoiseFor   = 600 * time.Millisecond
	simulatedNoiseEvery = 4 * time.Second
	simulatedGossip     = 60 * time.Millisecond
	simulatedRun        = 60 * time.Second
)

type (
	// simulation replays the load of one failure domain of several nodes on simulated
	// engines, which take one prompt after another. One in ten messages between the nodes
	// is lost.
	simulation struct {
		speeds   []float64
		figure   func(s *simulation, engine int, slowdown float64) (percent int) // that engines send; nil: none
		duration time.Duration
		seed     uint64

		now    time.Duration
		events []simulatedEvent // by time
		noise  [][]time.Duration
		free   []time.Duration // by engine
		random *rand.Rand
		nodes  []*dispatch.Dispatcher
	}

	simulatedEvent struct {
		at  time.Duration
		run func()
	}

	// simulated holds the times of one kind of prompts, in milliseconds.
	simulated struct {
		took, expected []float64
		speeds         map[float64]int
	}
)

func (s *simulated) add(took, expected time.Duration, speed float64) {
	s.took, s.expected = append(s.took, took.Seconds()*1000), append(s.expected, expected.Seconds()*1000)
	s.speeds[speed]++
}

// accuracy returns the sum of the times divided by that of the expected times, the
// share of those that took at most twice the expected time, and their mean.
func (s *simulated) accuracy() (ratio, withinTwice, mean float64) {
	var took, expected float64
	for i := range s.took {
		took, expected = took+s.took[i], expected+s.expected[i]
		if s.took[i] <= 2*s.expected[i] {
			withinTwice++
		}
	}
	n := float64(len(s.took))
	return took / expected, withinTwice / n, took / n
}

func (s *simulation) at(at time.Duration, run func()) {
	i, _ := slices.BinarySearchFunc(s.events, at, func(e simulatedEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	s.events = slices.Insert(s.events, i, simulatedEvent{at, run})
}

// slowdown returns the present slowdown of an engine, and until when it lasts.
func (s *simulation) slowdown(engine int, at time.Duration) (factor float64, until time.Duration) {
	for _, begin := range s.noise[engine] {
		if at < begin {
			return s.speeds[engine], begin
		}
		if at < begin+simulatedNoiseFor {
			return s.speeds[engine] * simulatedNoise, begin + simulatedNoiseFor
		}
	}
	return s.speeds[engine], 1 << 62
}

// serve returns when an engine ends work that usually takes a time.
func (s *simulation) serve(engine int, usual time.Duration) (end time.Duration) {
	end = max(s.now+simulatedStart, s.free[engine])
	for usual > 0 {
		factor, until := s.slowdown(engine, end)
		step := min(usual, time.Duration(float64(until-end)/factor)+1)
		end += time.Duration(float64(step) * factor)
		usual -= step
	}
	s.free[engine] = end
	return end
}

// send sends a prompt of a number of tokens from a random node.
func (s *simulation) send(tokens int, result *simulated) {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	prompt := platform.Prompt{Tokens: tokens, Parts: []platform.PromptPart{{ID: fmt.Sprint(s.random.Uint64()), Tokens: tokens}}}
	plan, ok := node.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: prompt}, at(s.now))
	if !ok {
		return
	}
	choice, rate := plan.Decode, simulatedTokens/2
	if plan.Prefill != nil {
		choice, rate = *plan.Prefill, simulatedTokens
	}
	var index int
	fmt.Sscanf(choice.Upstream.ID, "engine-%d", &index)
	job, begin := node.Begin(choice, at(s.now)), s.now
	usual := float64(tokens)/rate + float64(tokens)*float64(tokens)/2e6*.248 + simulatedStep*float64(1+tokens/1024)
	s.at(s.serve(index, time.Duration(usual*float64(time.Millisecond))), func() {
		load := platform.Load{Known: true, Slots: 12}
		if factor, _ := s.slowdown(index, s.now); s.figure != nil {
			load.SlowdownPercent = s.figure(s, index, factor)
		}
		job.ObserveLoad(load, at(s.now))
		job.End(at(s.now), dispatch.Served)
		if begin > s.duration/4 { // the nodes have learned
			result.add(s.now-begin, choice.Expected, s.speeds[index])
		}
	})
}

// run returns the times of short and long prompts.
func (s *simulation) run() (short, long *simulated) {
	s.random = rand.New(rand.NewPCG(s.seed, 1))
	var upstreams []discovery.Upstream
	for i := range s.speeds {
		stage := discovery.Prefill
		if i%3 == 2 {
			stage = discovery.Decode
		}
		upstreams = append(upstreams, engine(fmt.Sprintf("engine-%d", i), "a", stage))
		var noise []time.Duration
		for begin := time.Duration(0); begin < s.duration+time.Minute; begin += simulatedNoiseFor {
			begin += time.Duration(s.random.ExpFloat64() * float64(simulatedNoiseEvery))
			noise = append(noise, begin)
		}
		s.noise = append(s.noise, noise)
	}
	s.free = make([]time.Duration, len(s.speeds))
	for i := range 10 {
		node := dispatch.New(dispatch.Options{FailureDomain: "a", Regions: regions, Node: fmt.Sprint("node-", i)})
		node.Sync(upstreams, []routing.Service{models})
		s.nodes = append(s.nodes, node)
		for tick := time.Duration(i) * simulatedGossip / 10; tick < s.duration; tick += simulatedGossip {
			s.at(tick, func() {
				loads, speeds := node.Loads(at(s.now)), node.SpeedReports(at(s.now), 2*simulatedGossip)
				for _, other := range s.nodes {
					if other != node && s.random.IntN(10) > 0 {
						other.SetPeerLoads(fmt.Sprint("node-", i), loads, at(s.now))
						other.ApplySpeedReports("a", fmt.Sprint("node-", i), speeds, at(s.now))
					}
				}
			})
		}
	}
	short, long = &simulated{speeds: map[float64]int{}}, &simulated{speeds: map[float64]int{}}
	arrivals := func(perSecond float64, send func()) {
		for at := time.Duration(0); at < s.duration; at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)) {
			s.at(at, send)
		}
	}
	arrivals(90, func() { s.send(100+s.random.IntN(1000), short) })
	arrivals(4, func() { s.send(5000+s.random.IntN(20_000), long) })
	for len(s.events) > 0 {
		event := s.events[0]
		s.events, s.now = s.events[1:], event.at
		event.run()

	}
	return short, long
}

// Guards against expected times that are far off, and against figures that mislead
// placements. Without figures nothing is learned, so the same load takes longer.
func TestSimulatedSpeeds(t *testing.T) {
	var speeds []float64
	for i := range 22 {
		speeds = append(speeds, []float64{.6, 1, 1.6}[i%7%3])
	}
	random := rand.New(rand.NewPCG(7, 7))
	_, unlearned := (&simulation{speeds: speeds, duration: simulatedRun, seed: 1}).run()
	_, _, before := unlearned.accuracy()
	honest := func(_ *simulation, _ int, slowdown float64) int { return int(100 * slowdown) }
	for name, figure := range map[string]func(s *simulation, engine int, slowdown float64) (percent int){
		"true":     honest,
		"noise":    func(_ *simulation, engine int, slowdown float64) int { return int(100 * slowdown / speeds[engine]) },
		"constant": func(*simulation, int, float64) int { return 100 },
		"random":   func(*simulation, int, float64) int { return 20 + random.IntN(600) },
		"one lies": func(_ *simulation, engine int, slowdown float64) int {
			if engine == 4 {
				return 20
			}
			return int(100 * slowdown)
		},
		"absent from halfway": func(s *simulation, _ int, slowdown float64) int {
			if s.now > s.duration/2 {
				return 0
			}
			return int(100 * slowdown)
		},
		"false from halfway": func(s *simulation, engine int, slowdown float64) int {
			if s.now > s.duration/2 && engine%2 == 0 {
				return 30
			}
			return int(100 * slowdown)
		},
	} {
		short, long := (&simulation{speeds: speeds, figure: figure, duration: simulatedRun, seed: 1}).run()
		for _, class := range []*simulated{short, long} {
			ratio, withinTwice, mean := class.accuracy()
			t.Logf("%s: %d prompts, ratio %.2f, within twice %.3f, mean %.0f ms, by speed %v", name, len(class.took), ratio, withinTwice, mean, class.speeds)
			if ratio < 0.8 || ratio > 1.25 || withinTwice < 0.9 {
				t.Errorf("%s: times are %.2f times the expected ones, %.3f within twice", name, ratio, withinTwice)
			}
		}
		if _, _, after := long.accuracy(); after > before*3/4 {
			t.Errorf("%s: long prompts take %.0f ms, %.0f ms without figures", name, after, before)
		}
	}
}

// Guards against placements that change for services whose upstreams send no figures:
// the digest of the choices is that of the version before package speed.
func TestPlacementWithoutFigures(t *testing.T) {
	const before = 0x7707e1567c04fbff
	d := loadedDispatcher(56)
	d.Sync(append(loadedEngines(56), upstreamOf("desk", "desk-1", "a", ""), upstreamOf("desk", "desk-2", "b", "")), []routing.Service{models, desk})
	random := rand.New(rand.NewPCG(3, 3))
	digest := xxhash.New()
	for i := range 2000 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		prompt := promptOf(fmt.Sprintf("subject-%02d", random.IntN(benchSubjects)), 13_300, 50+random.IntN(4000))
		plan, ok := d.PlacePrompt(dispatch.PromptRequest{Service: "models", Prompt: prompt}, now)
		if !ok {
			t.Fatal("no engine chosen")
		}
		step := plan.Decode
		if plan.Prefill != nil {
			step = *plan.Prefill
		}
		plain, _ := d.PlacePlain("desk", nil, now)
		fmt.Fprintln(digest, step.Upstream.ID, plan.Decode.Upstream.ID, step.CachedTokens, step.Fetch.IsValid(), plain.Upstream.ID)
		for j, choice := range []dispatch.Choice{step, plain} {
			job := d.Begin(choice, now)
			if i%4 > 0 {
				job.ObserveLoad(platform.Load{Known: true, Running: random.IntN(12), Slots: 12}, now)
				job.End(now.Add(time.Duration(5+j)*time.Millisecond), dispatch.Served)
			}
		}
	}
	if sum := digest.Sum64(); sum != before {
		t.Errorf("digest of the choices: %#x, want %#x", sum, uint64(before))
	}
	if reports := d.SpeedReports(at(time.Minute), time.Hour); reports != nil || d.DomainSpeedReports(at(time.Minute)) != nil {
		t.Errorf("reports without a figure: %v", reports)
	}
}
