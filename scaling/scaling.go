// Package scaling decides how many upstreams of a service run in a failure
// domain, and how many of them are spot: cheaper ones that the platform may
// reclaim on short notice, all of a domain at once. It also decides how many
// engines of a model service are in the prefill and in the decode stage. Package
// entry calls it repeatedly, and orders what it returns from the platform.
//
// # Usage
//
//	want := scaling.Decide(service.Scaling, present, noSpot)
//	engine, stage, ok := scaling.NextStageChange(engines, missing)
package scaling

import (
	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/routing"
)

const (
	// reservedShare is the least fraction of a domain's maximum that is reserved
	// and can't be reclaimed. When the spot ones are reclaimed, the reserved ones
	// serve the requests that other domains have no capacity for.
	reservedShare = 0.17
	// noSpotReservedShare is the fraction of a domain's maximum that is reserved
	// while no spot upstreams are available. The rest is left free for spot ones,
	// since reserved ones cost about five times as much.
	noSpotReservedShare = 0.85
	// reservedReleaseStep is the number of reserved upstreams that are released at
	// a time to make room for spot ones, once the maximum is reached. The domain
	// runs that many fewer until the spot ones have started.
	reservedReleaseStep = 2
	// prefillShare is the fraction of a domain's engines in the prefill stage. An
	// engine prefills twice as fast when it doesn't decode, and decoding needs few
	// engines.
	prefillShare = 0.5
)

// Counts holds the numbers of reserved and spot upstreams that run or are wanted.
type Counts struct {
	Reserved, Spot int
}

// NextStageChange returns an engine of a failure domain whose stage should change,
// and its new stage. The prefill stage should have prefillShare of the engines,
// and the decode stage at least one. While engines are missing, that is, fewer
// run than are wanted, none leaves the prefill stage, whose wanted number grows
// when they start. Engines without a stage count towards the total, but aren't
// changed. It returns false if no change is needed or possible.
func NextStageChange(engines []discovery.Upstream, missing int) (change discovery.Upstream, stage discovery.Stage, ok bool) {
	prefill := 0
	for _, engine := range engines {
		if engine.Stage == discovery.Prefill {
			prefill++
		}
	}
	// -1 without engines; then there is none to change either.
	want := min(int(float64(len(engines))*prefillShare+0.5), len(engines)-1)
	from, to := discovery.Decode, discovery.Prefill
	if prefill == want || prefill > want && missing > 0 {
		return discovery.Upstream{}, "", false
	}
	if prefill > want {
		from, to = to, from
	}
	for _, engine := range engines {
		if engine.Stage == from {
			return engine, to, true
		}
	}
	return discovery.Upstream{}, "", false
}

// Decide returns the numbers of upstreams that a service should have in a failure
// domain, given those that run now. Their sum is always bounds.Max, and bounds.Min
// is the least number of reserved ones. While no spot upstreams are available
// (noSpot), reserved ones replace most of them; the rest of the maximum stays free
// for spot ones that become available.
//
// bounds.Max must be at least 1 and at least bounds.Min. Otherwise the number of
// spot upstreams is negative.
func Decide(bounds *routing.Scaling, present Counts, noSpot bool) (want Counts) {
	// want.Spot is the highest number of spot upstreams until the end, where it is
	// reduced to what want.Reserved leaves of the maximum.
	minReserved := max(bounds.Min, int(float64(bounds.Max)*reservedShare+0.5), 1)
	want = Counts{Reserved: minReserved, Spot: max(0, bounds.Max-minReserved)}
	switch {
	case noSpot && present.Spot < want.Spot:
		want.Reserved = max(minReserved, min(int(float64(bounds.Max)*noSpotReservedShare+0.5), bounds.Max-present.Spot))
	case present.Spot < want.Spot:
		// Reserved upstreams are released only as spot ones arrive, since both count
		// towards the maximum.
		want.Reserved = max(minReserved, min(present.Reserved, bounds.Max-present.Spot))
		if present.Reserved+present.Spot >= bounds.Max {
			want.Reserved = max(minReserved, want.Reserved-reservedReleaseStep)
		}
	}
	want.Spot = bounds.Max - want.Reserved
	return want
}
