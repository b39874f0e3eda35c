package fleet

import "github.com/guavagauge/guavagauge/selector"

// Why a rule doesn't apply.
const (
	RuleApplies        RuleReason = "Applies"
	RuleWorkspaces     RuleReason = "Workspaces" // the selector doesn't match the workspace
	RuleRoutes         RuleReason = "Routes"     // the selector doesn't match the route
	RuleTargets        RuleReason = "Targets"    // the selector doesn't match the model or service
	RuleEarlierApplied RuleReason = "EarlierApplied"
)

// Why an upstream is no candidate.
const (
	UpstreamKept        UpstreamReason = "Kept"
	UpstreamService     UpstreamReason = "Service"     // it doesn't run the target
	UpstreamSelector    UpstreamReason = "Selector"    // the rule's selector doesn't match it
	UpstreamCapacity    UpstreamReason = "Capacity"    // the rule asks for the other kind of capacity
	UpstreamReclaimable UpstreamReason = "Reclaimable" // the call may not be repeated
	UpstreamDraining    UpstreamReason = "Draining"
)

type (
	// RuleReason says why a rule applies or doesn't.
	RuleReason string
	// UpstreamReason says why an upstream is a candidate or not.
	UpstreamReason string

	// Target is what a request is for: a *Model or a *Service.
	Target interface {
		meta() *Meta
		runsOn(*Upstream) bool
	}

	// Query describes the work to be placed. Workspace is nil on open routes and
	// Route is nil for the model API; selectors see no labels for them.
	Query struct {
		Workspace *Workspace
		Route     *Route
		Target    Target
	}

	// Placement is where work may run. Upstreams may be empty and must not be
	// changed.
	Placement struct {
		Rule      *Rule
		Upstreams []*Upstream
		Priority  int
		Capacity  Capacity
	}

	// Explanation is a decision with its reasons. Upstreams is empty when no
	// rule applies.
	Explanation struct {
		Placement Placement
		OK        bool
		Rules     []RuleOutcome
		Upstreams []UpstreamOutcome
	}

	// RuleOutcome says what became of one rule.
	RuleOutcome struct {
		Rule   *Rule
		Reason RuleReason
	}

	// UpstreamOutcome says what became of one upstream.
	UpstreamOutcome struct {
		Upstream *Upstream
		Reason   UpstreamReason
	}
)

// Decide returns the first rule that applies and the upstreams that it leaves,
// or false when no rule applies.
func (s *Snapshot) Decide(q Query) (placement Placement, ok bool) {
	e := s.Explain(q)
	return e.Placement, e.OK
}

// Explain decides as Decide does, with the reason for each rule and upstream.
func (s *Snapshot) Explain(q Query) (e Explanation) {
	for _, rule := range s.rules {
		reason := rule.reason(q)
		if reason == RuleApplies && e.OK {
			reason = RuleEarlierApplied
		}
		e.Rules = append(e.Rules, RuleOutcome{rule, reason})
		if reason == RuleApplies {
			e.OK = true
			e.Placement = Placement{Rule: rule, Priority: rule.Priority, Capacity: rule.Capacity}
		}
	}
	if !e.OK {
		return e
	}
	for _, u := range s.upstreams {
		reason := e.Placement.Rule.upstreamReason(q, u)
		e.Upstreams = append(e.Upstreams, UpstreamOutcome{u, reason})
		if reason == UpstreamKept {
			e.Placement.Upstreams = append(e.Placement.Upstreams, u)
		}
	}
	return e
}

func (r *Rule) reason(q Query) RuleReason {
	var workspace, route selector.Labels
	if q.Workspace != nil {
		workspace = q.Workspace.systemLabels()
	}
	if q.Route != nil {
		route = q.Route.systemLabels()
	}
	switch {
	case !r.Workspaces.Matches(workspace):
		return RuleWorkspaces
	case !r.Routes.Matches(route):
		return RuleRoutes
	case !r.Targets.Matches(q.Target.meta().systemLabels()):
		return RuleTargets
	default:
		return RuleApplies
	}
}

func (r *Rule) upstreamReason(q Query, u *Upstream) UpstreamReason {
	never := q.Route != nil && q.Route.Repeat == Never
	switch {
	case !q.Target.runsOn(u):
		return UpstreamService
	case !r.Upstreams.Matches(u.systemLabels()):
		return UpstreamSelector
	case r.Capacity != AnyCapacity && r.Capacity != u.Capacity:
		return UpstreamCapacity
	case never && u.Capacity == Reclaimable:
		return UpstreamReclaimable
	case u.State == Draining:
		return UpstreamDraining
	default:
		return UpstreamKept
	}
}

func (m *Model) meta() *Meta { return &m.Meta }

// runsOn reports whether u is an engine. Engines of all owners are candidates
// for a model; rules select by the owner label where that isn't wanted.
func (m *Model) runsOn(u *Upstream) bool { return u.IsEngine() }

func (s *Service) meta() *Meta { return &s.Meta }

func (s *Service) runsOn(u *Upstream) bool { return u.Service == s.Name && u.Owner == s.Owner }
