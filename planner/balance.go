package planner

import (
	"math"
	"time"

	"github.com/guavagauge/guavagauge/engine"
)

const (
	defaultPrefillTokensPerSecond = 8000             // of one engine
	defaultDecodeTokensPerSecond  = 400              // of one engine with full slots
	defaultBalanceCooldown        = 10 * time.Minute // between two role changes of one engine
	maxRoleSurplus                = 1.0              // engines by which a role may differ from its share without a change
	minBacklog                    = 2 * time.Second  // of one engine's work; no change below it
)

// BalanceOptions configures NewBalance. Zero values mean defaults.
type BalanceOptions struct {
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the throughput of one
	// engine, 8000 and 400.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// Cooldown is the least time between two role changes of one engine, 10 min. It
	// isn't reliably enforced above an hour, for which role changes are remembered.
	Cooldown time.Duration
}

// NewBalance returns a simple function for Options.Decide. It changes the role of
// one engine at a time, so that the shares of prefill and decode engines follow
// the shares of queued work. Differences of up to one engine are left as they
// are. It requests nothing while any engine of the view is unavailable.
func NewBalance(options BalanceOptions) (decide func(view View) []ChangeRequest) {
	if options.PrefillTokensPerSecond == 0 {
		options.PrefillTokensPerSecond = defaultPrefillTokensPerSecond
	}
	if options.DecodeTokensPerSecond == 0 {
		options.DecodeTokensPerSecond = defaultDecodeTokensPerSecond
	}
	if options.Cooldown == 0 {
		options.Cooldown = defaultBalanceCooldown
	}
	return options.decide
}

func (o BalanceOptions) decide(view View) (changes []ChangeRequest) {
	var prefill, decode float64 // seconds of one engine's work
	counts := make(map[engine.Role]float64)
	for _, e := range view.Engines {
		if e.Unavailable {
			return nil // a change is in progress, or the engine's state and so its role is unknown
		}
		prefill += float64(e.Report.QueuedPrefillTokens) / o.PrefillTokensPerSecond
		decode += float64(e.Report.QueuedDecodeTokens) / o.DecodeTokensPerSecond
		counts[e.State.Role]++
	}
	if prefill+decode < minBacklog.Seconds() {
		return nil
	}
	wantPrefill := math.Round(prefill / (prefill + decode) * float64(len(view.Engines)))
	havePrefill := counts[engine.Prefill] + counts[engine.Mixed]/2
	to, from := engine.Prefill, engine.Decode
	if havePrefill > wantPrefill {
		to, from = engine.Decode, engine.Prefill
	}
	if math.Abs(havePrefill-wantPrefill) <= maxRoleSurplus {
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
