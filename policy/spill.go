package policy

import "time"

type (
	// SpillRequest compares the home region with another one for a request.
	SpillRequest struct {
		Home      time.Duration // expected time to the first token at home
		Remote    time.Duration // the same in the other region, without the crossing
		Latency   time.Duration // one way between the regions
		Objective time.Duration // for the first token; 0 means none
		Bytes     int64         // volume of the request and its answer
		Price     float64       // of 1 GB between the regions
	}

	// SpillDecision says whether to cross and at what cost.
	SpillDecision struct {
		Spill bool
		Cost  float64
	}
)

// Spill decides whether a request leaves its home region: only if home can't
// serve it in time, the other region can, and being in time is worth the price
// of the volume.
func Spill(request SpillRequest, weights Preferences) SpillDecision {
	cost := float64(request.Bytes) / 1e9 * request.Price
	away := request.Remote + 2*request.Latency
	late := request.Objective > 0 && request.Home > request.Objective
	return SpillDecision{
		Spill: late && away <= request.Objective && cost <= weights.SpillValue,
		Cost:  cost,
	}
}
