package policy

import "time"

type (
	// SpillRequest describes a request and the two regions that could serve it.
	SpillRequest struct {
		Home      time.Duration // expected time to the first token in the home region
		Remote    time.Duration // the same in the other region, without network latency
		Latency   time.Duration // one-way network latency between the regions
		Objective time.Duration // for the time to the first token; 0 means none
		Bytes     int64         // size of the request and its response
		Price     float64       // of transferring 1 GB between the regions
	}

	// SpillDecision is the result of Spill.
	SpillDecision struct {
		Spill bool    // whether to send the request to the other region
		Cost  float64 // of the transfer, whatever the decision
	}
)

// Spill decides whether a request leaves its home region: only if the home
// region can't serve it in time, the other region can, and the transfer costs no
// more than SpillValue. Package experiment turns a refusal into
// PlaceRequest.NoSpill; running nodes set neither NoSpill nor Limit, so they leave
// the home region only if all its upstreams are draining or suspected.
func Spill(request SpillRequest, preferences Preferences) SpillDecision {
	cost := float64(request.Bytes) / 1e9 * request.Price
	remote := request.Remote + 2*request.Latency
	lateAtHome := request.Objective > 0 && request.Home > request.Objective
	return SpillDecision{
		Spill: lateAtHome && remote <= request.Objective && cost <= preferences.SpillValue,
		Cost:  cost,
	}
}
