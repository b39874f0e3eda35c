// Package scaling decides how many upstreams of a service run in a failure
// domain, and how many of them are spot: cheaper ones that the platform may take
// away on short notice, all of a domain at once.
//
// # Usage
//
//	want := scaling.Decide(service.Scaling, view)
package scaling

import (
	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/routing"
)

const (
	// reservedShare is the part of a domain's upstreams that can't be taken away.
	// While the spot ones are gone, it serves what other domains can't take.
	reservedShare = 0.17
	// dryShare is the part of a domain's bound that is reserved while no spot
	// upstreams are to be had. They cost about five times as much.
	dryShare = 0.85
	// exchangeStep is the number of reserved upstreams that leave at a time, once
	// all are present, to make room for spot ones.
	exchangeStep = 2
	// prefillShare is the part of a domain's engines that read prompts. An engine
	// reads twice as fast apart from generating, and generating needs few engines.
	prefillShare = 0.5
)

// Counts is a number of upstreams of each kind.
type Counts struct {
	Reserved, Spot int
}

// NextStageChange returns an engine whose stage should change, and to which: as
// many engines of a failure domain read prompts as prefillShare says, and one
// at least generates. While engines are missing, none stops reading prompts.
func NextStageChange(engines []discovery.Upstream, missing int) (change discovery.Upstream, stage discovery.Stage, ok bool) {
	prefill := 0
	for _, engine := range engines {
		if engine.Stage == discovery.Prefill {
			prefill++
		}
	}
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

// Decide returns the upstreams that a service should have in a failure domain,
// where present ones of each kind run now. While no spot upstreams are to be
// had, reserved ones take their place, with room for some to come back.
func Decide(bounds *routing.Scaling, present Counts, spotDry bool) (want Counts) {
	least := max(bounds.Min, int(float64(bounds.Max)*reservedShare+0.5), 1)
	want = Counts{Reserved: least, Spot: max(0, bounds.Max-least)}
	switch {
	case spotDry && present.Spot < want.Spot:
		want.Reserved = max(least, min(int(float64(bounds.Max)*dryShare+0.5), bounds.Max-present.Spot))
	case present.Spot < want.Spot:
		// Reserved upstreams leave only as spot ones arrive: both count towards the
		// bound.
		want.Reserved = max(least, min(present.Reserved, bounds.Max-present.Spot))
		if present.Reserved+present.Spot >= bounds.Max {
			want.Reserved = max(least, want.Reserved-exchangeStep)
		}
	}
	want.Spot = bounds.Max - want.Reserved
	return want
}
