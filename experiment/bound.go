package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/policy"
)

// decodeSeconds is the engine time of an answer token in the largest batch
// that keeps the step limit. Smaller batches cost more per token.
const decodeSeconds = (float64(stepBase+decodeSlots*stepPerStream) / decodeSlots) / float64(time.Second)

const (
	reclaimablePrice = 0.35 // of a reserved upstream
	window           = 30 * time.Second
	share95          = 0.95 // of requests that have to meet the objective
)

// bound returns an upper bound of the goodput and a lower bound of the spend
// in seconds of a reserved engine.
//
// Goodput: per window no more work can be done than engines times the window.
// The work of a request is at least its prompt without the shared pieces, which
// a cache may hold, at the full prefill rate, and its answer in the largest
// batch. Of all requests of a window the smallest are served first, which
// maximizes their number. Nothing is charged for queueing, role changes,
// crossings, late reports or uneven arrivals, so no scheduler reaches it under
// load. Work may run on past its window: the objective for the first token and
// the longest answer are added to the first window's capacity.
//
// Spend: the engine seconds of all requests, busy at every moment, at the
// cheapest allowed mix of reserved and reclaimable engines. An objective of
// 0.87 s can't be met at full use, so no fleet reaches it; leastFleet is the
// figure to compare with.
func bound(requests []*request, engines int, length time.Duration, reclaimable float64) (goodput, spend float64) {
	windows := make([][]float64, int((length+window-1)/window))
	var total float64
	var served, all int
	for _, r := range requests {
		if r.desk {
			continue
		}
		all++
		work := r.leastWork()
		total += work
		w := int(r.arrived / window)
		windows[w] = append(windows[w], work)
	}
	carry := float64(engines) * (firstTokenObjective.Seconds() + 30)
	for _, works := range windows {
		capacity := float64(engines)*window.Seconds() + carry
		carry = 0
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

// leastFleet returns the spend per good request of the smallest fleet of
// constant size, with the same decisions but for capacity, with which 95 in 100
// requests of the workspaces that don't flood meet the objective. It is NaN if
// no fleet of up to twice the size does. A larger fleet is taken to serve no
// less.
func leastFleet(options Options, d deployment, s scenario, preset policy.Preferences) float64 {
	spend := math.NaN()
	for low, high := regions, 2*regions*d.engines; low <= high; {
		n := (low + high) / 2
		one := newSim(d, s, preset, false, n)
		requests := generate(options.Seed, d, s)
		one.run(requests)
		if r := one.result(requests); r.others >= share95 {
			spend, high = r.spend/r.goodput, n-1
		} else {
			low = n + 1
		}
	}
	return spend
}

func (r *request) leastWork() float64 {
	shared := 0
	for _, piece := range r.prefix {
		if piece < 1<<16 {
			shared++
		}
	}
	return float64(r.prompt-shared*policy.BlockTokens)/prefillPerSecond + float64(r.answer)*decodeSeconds
}

// most is the largest fleet that may be ordered.
func (d deployment) most() int { return regions * (d.engines * 4 / 3) }
