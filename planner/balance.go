package planner

import (
	"math"
	"time"

	"github.com/guavagauge/guavagauge/engine"
)

const (
	defaultPrefillRate = 8000             // tokens/s of one engine
	defaultDecodeRate  = 400              // tokens/s of one engine with full slots
	defaultBalanceRest = 10 * time.Minute // between two changes of one engine
	defaultSurplus     = 1.0              // engines by which the roles may be off
	smallestBacklog    = 2 * time.Second  // of work for one engine, below which nothing changes
)

// BalanceOptions of NewBalance. Zero values mean defaults.
type BalanceOptions struct {
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// Cooldown is the least time between two changes of one engine, 10 min.
	Cooldown time.Duration
}

// NewBalance returns a simple decision: the shares of prefill and decode
// engines follow the waiting work, one engine at a time, and not before they
// are off by more than a whole engine.
func NewBalance(options BalanceOptions) (decide func(view View) []ChangeRequest) {
	if options.PrefillTokensPerSecond == 0 {
		options.PrefillTokensPerSecond = defaultPrefillRate
	}
	if options.DecodeTokensPerSecond == 0 {
		options.DecodeTokensPerSecond = defaultDecodeRate
	}
	if options.Cooldown == 0 {
		options.Cooldown = defaultBalanceRest
	}
	return options.decide
}

func (o BalanceOptions) decide(view View) (wishes []ChangeRequest) {
	var prefill, decode float64 // seconds of one engine
	counts := make(map[engine.Role]float64)
	for _, e := range view.Engines {
		if e.Unavailable {
			return nil // the effect of a change is awaited first
		}
		prefill += float64(e.Report.QueuedPrefillTokens) / o.PrefillTokensPerSecond
		decode += float64(e.Report.QueuedDecodeTokens) / o.DecodeTokensPerSecond
		counts[e.State.Role]++
	}
	if prefill+decode < smallestBacklog.Seconds() {
		return nil
	}
	want := math.Round(prefill / (prefill + decode) * float64(len(view.Engines)))
	have := counts[engine.Prefill] + counts[engine.Mixed]/2
	to, from := engine.Prefill, engine.Decode
	if have > want {
		to, from = engine.Decode, engine.Prefill
	}
	if math.Abs(have-want) <= defaultSurplus {
		return nil
	}
	for _, role := range []engine.Role{from, engine.Mixed} {
		for _, e := range view.Engines {
			last := len(e.RoleChanges) - 1
			if e.State.Role == role && (last < 0 || view.Now.Sub(e.RoleChanges[last]) >= o.Cooldown) {
				return []ChangeRequest{{Engine: e.Key, Kind: engine.OrderRole, Role: to}}
			}
		}
	}
	return nil
}
