package planner

import (
	"time"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/policy"
)

// PolicyOptions configures NewPolicy. Preferences must be set, for example to
// policy.Goodput(); other zero values mean defaults.
type PolicyOptions struct {
	Preferences policy.Preferences
	// Demand returns the work of the failure domain. The default counts only the
	// queued work in the engines' reports.
	Demand func(view View) policy.Demand
	// ChangeTime is how long an engine is out of service during a role change,
	// 5 s.
	ChangeTime time.Duration
	// MixedPrefill and MixedDecode are the throughput of a mixed engine that does
	// only prefill or only decode, relative to an engine with that role, 0.75.
	MixedPrefill float64
	MixedDecode  float64
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the throughput of one
	// engine, 8000 and 400. Only the default of Demand uses them.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
}

const (
	defaultChangeTime      = 5 * time.Second
	defaultMixedEfficiency = 0.75
)

// NewPolicy returns a function for Options.Decide that asks policy.PlanRoles for at
// most one role change at a time.
func NewPolicy(options PolicyOptions) (decide func(view View) []ChangeRequest) {
	if options.ChangeTime == 0 {
		options.ChangeTime = defaultChangeTime
	}
	for value, fallback := range map[*float64]float64{
		&options.MixedPrefill: defaultMixedEfficiency, &options.MixedDecode: defaultMixedEfficiency,
		&options.PrefillTokensPerSecond: defaultPrefillTokensPerSecond, &options.DecodeTokensPerSecond: defaultDecodeTokensPerSecond,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	if options.Demand == nil {
		options.Demand = options.queuedDemand
	}
	return options.decide
}

func (o *PolicyOptions) decide(view View) (changes []ChangeRequest) {
	request := policy.RolesRequest{
		Now: view.Now, Demand: o.Demand(view), ChangeTime: o.ChangeTime,
		MixedPrefill: o.MixedPrefill, MixedDecode: o.MixedDecode,
	}
	var keys []string
	for _, e := range view.Engines {
		if e.Unreachable {
			continue
		}
		keys = append(keys, e.Key)
		request.Engines = append(request.Engines, policy.EngineRole{
			Role: policyRole(e.TargetRole), RoleChanges: e.RoleChanges, Fencing: e.Fencing, Unavailable: e.Unavailable,
		})
	}
	if change, ok := policy.PlanRoles(request, o.Preferences); ok {
		changes = append(changes, ChangeRequest{
			Engine: keys[change.Engine], Kind: engine.OrderRole, Role: engine.Role(change.To.String()),
		})
	}
	return changes
}

func (o *PolicyOptions) queuedDemand(view View) (demand policy.Demand) {
	for _, e := range view.Engines {
		prefill := float64(e.Report.QueuedPrefillTokens) / o.PrefillTokensPerSecond
		decode := float64(e.Report.QueuedDecodeTokens) / o.DecodeTokensPerSecond
		demand.QueuedPrefill += time.Duration(prefill * float64(time.Second))
		demand.QueuedDecode += time.Duration(decode * float64(time.Second))
	}
	return demand
}

func policyRole(role engine.Role) policy.Role {
	switch role {
	case engine.Prefill:
		return policy.Prefill
	case engine.Decode:
		return policy.Decode
	}
	return policy.Mixed
}
