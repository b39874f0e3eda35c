package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/policy"
)

// decodeSecondsPerToken is the engine time that one answer token takes in a batch
// of decodeSlots streams, the largest that an engine runs. Smaller batches cost
// more per token.
const decodeSecondsPerToken = (float64(stepBase+decodeSlots*stepPerStream) / decodeSlots) / float64(time.Second)

const (
	reclaimablePrice = 0.35 // relative to a reserved upstream
	goodputWindow    = 30 * time.Second
	targetShare      = 0.95 // of the requests have to meet the objective in smallestFleetSpend
)

// bound returns an upper bound of the goodput and a lower bound of the spend.
// The spend is in seconds of a reserved engine.
//
// Goodput: in each window of arrivals, the fleet can do at most the number of
// engines times the window's length of work. The work of a request is at least
// the prefill of its prompt at full speed, without the shared blocks, which a
// cache may hold, plus the decoding of its answer in the largest batch. Within
// a window the smallest requests are served first, which maximizes their
// number. Queueing, role changes, latency between regions, late load reports
// and uneven arrivals cost nothing here, so no scheduler reaches the bound
// under load. Work may end after its window: to allow for that, the objective
// for the first token and the time of the longest answer are added once, to
// the capacity of the first window.
//
// Spend: the engine seconds of all requests on engines that are never idle, at
// the cheapest allowed mix of reserved and reclaimable engines. No fleet reaches
// it, because an objective of 0.87 s can't be met at full utilization; compare
// with smallestFleetSpend instead.
func bound(requests []*request, engines int, duration time.Duration, reclaimable float64) (goodput, spend float64) {
	windows := make([][]float64, int((duration+goodputWindow-1)/goodputWindow))
	var total float64
	var served, all int
	for _, r := range requests {
		if r.plain {
			continue
		}
		all++
		work := r.minWork()
		total += work
		w := int(r.arrivedAt / goodputWindow)
		windows[w] = append(windows[w], work)
	}
	overrun := float64(engines) * (firstTokenObjective.Seconds() + 30) // 30 s: the longest answer, 750 tokens, at tokenIntervalObjective
	for _, works := range windows {
		capacity := float64(engines)*goodputWindow.Seconds() + overrun
		overrun = 0
		slices.Sort(works)
		for _, work := range works {
			if capacity < work {
				break
			}
			capacity -= work
			served++
		}
	}
	price := reclaimable*reclaimablePrice + 1 - reclaimable
	return float64(served) / math.Max(float64(all), 1), total * price
}

// smallestFleetSpend returns the spend per good request of the smallest fleet
// of constant size that meets the objective for 95% of the requests, those of
// the flooding workspace excepted. Apart from the fleet's size, the decisions
// are those of package policy. The result is NaN if no fleet of up to twice the
// deployment's size meets it. The smallest fleet tried has one engine per region.
// The binary search assumes that a larger fleet never serves fewer requests.
func smallestFleetSpend(options Options, d deployment, s scenario, preset policy.Preferences) float64 {
	spend := math.NaN()
	for low, high := regions, 2*regions*d.engines; low <= high; {
		n := (low + high) / 2
		simulation := newSim(d, s, preset, false, n)
		requests := generate(options.Seed, d, s)
		simulation.run(requests)
		if r := simulation.result(requests); r.nonFlooding >= targetShare {
			spend, high = r.spend/r.goodput, n-1
		} else {
			low = n + 1
		}
	}
	return spend
}

// minWork returns the least engine seconds that the request can take, with all
// shared blocks in the cache and the answer decoded in the largest batch.
func (r *request) minWork() float64 {
	shared := 0
	for _, block := range r.prefix {
		if block < 1<<16 { // newRequest numbers the shared blocks from w*1024+1 up, with 8 workspaces
			shared++
		}
	}
	return float64(r.prompt-shared*policy.BlockTokens)/prefillTokensPerSecond + float64(r.answer)*decodeSecondsPerToken
}

// maxEngines returns the size of the largest fleet that the capacity plan may
// order. planCapacity limits each region to its third of it.
func (d deployment) maxEngines() int { return regions * (d.engines * 4 / 3) }
