package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/speed"
)

const (
	benchSubjects   = 60 // shared prompt parts
	benchLocalPeers = 48
)

// loadedDispatcher returns a dispatcher of one of 49 nodes of a failure domain,
// with a number of engines, each of which has some of the shared parts cached
// and jobs of several other nodes.
func loadedDispatcher(engines int) (d *dispatch.Dispatcher) {
	random := rand.New(rand.NewPCG(1, uint64(engines)))
	d = dispatch.New(dispatch.Options{FailureDomain: "a", Regions: regions, Node: "node-00"})
	upstreams := loadedEngines(engines)
	d.Sync(upstreams, []routing.Service{models, desk})
	for _, u := range upstreams {
		for range 4 {
			subject := fmt.Sprintf("subject-%02d", random.IntN(benchSubjects))
			d.ApplyCacheInserts([]dispatch.CacheInsert{{Upstream: u.ID, Part: subject, Tokens: 13_300}})
		}
	}
	for peer := range benchLocalPeers {
		d.SetPeerLoads(fmt.Sprintf("node-%02d", peer), peerLoads(random, engines), start)
	}
	return d
}

// loadedEngines returns the engines of loadedDispatcher.
func loadedEngines(n int) (upstreams []discovery.Upstream) {
	for i := range n {
		stage := discovery.Decode
		if i%2 == 0 {
			stage = discovery.Prefill
		}
		upstreams = append(upstreams, engine(fmt.Sprintf("engine-%03d", i), []string{"a", "b", "c"}[i%3], stage))
	}
	return upstreams
}

// peerLoads returns the loads that one node reports, on six engines.
func peerLoads(random *rand.Rand, engines int) (loads []dispatch.Load) {
	for _, i := range random.Perm(engines)[:min(6, engines)] {
		loads = append(loads, dispatch.Load{Upstream: fmt.Sprintf("engine-%03d", i), PendingPrefillMs: 80, BusyMs: 20, Running: 1, UnsharedTokens: 4000})
	}
	return loads
}

// BenchmarkPlacePrompt shows how the time of a placement grows with the number of
// engines. It has to grow no faster than they do.
func BenchmarkPlacePrompt(b *testing.B) {
	for _, engines := range []int{18, 56, 128} {
		for _, figures := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d,figures=%t", engines, figures), func(b *testing.B) {
				d := loadedDispatcher(engines)
				if figures {
					reportSpeeds(d, engines)
				}
				for i := 0; b.Loop(); i++ {
					request := dispatch.PromptRequest{Service: "models", Prompt: promptOf(fmt.Sprintf("subject-%02d", i%benchSubjects), 13_300, 3_700)}
					// The time passes, since factors are kept for a while.
					if _, ok := d.PlacePrompt(request, at(time.Millisecond+time.Duration(i)*time.Microsecond)); !ok {
						b.Fatal("no engine chosen")
					}
				}
			})
		}
	}
}

// reportSpeeds lets another node report a figure and answers of all engines.
func reportSpeeds(d *dispatch.Dispatcher, engines int) {
	for i := range engines {
		report := speed.Report{Upstream: fmt.Sprintf("engine-%03d", i), Percent: 60 + 10*(i%9), FactorPermille: 900 + 10*i, FigurePermille: 1000, Answers: 20_000}
		d.ApplySpeedReports("a", "node-07", []speed.Report{report}, start)
	}
}

// BenchmarkSetPeerLoads shows the time for the loads of one message from another
// node. It mustn't grow with the number of engines that the message doesn't list.
func BenchmarkSetPeerLoads(b *testing.B) {
	for _, engines := range []int{18, 56, 128} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			d := loadedDispatcher(engines)
			random := rand.New(rand.NewPCG(2, 2))
			loads := [][]dispatch.Load{peerLoads(random, engines), peerLoads(random, engines)}
			for i := 0; b.Loop(); i++ {
				d.SetPeerLoads("node-07", loads[i%2], start)
			}
		})
	}
}

// BenchmarkLoads shows the time to collect the loads for a message.
func BenchmarkLoads(b *testing.B) {
	for _, engines := range []int{18, 56, 128} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			d := loadedDispatcher(engines)
			for b.Loop() {
				d.Loads(start)
			}
		})
	}
}
