package fleet

import "math/bits"

// Why a rule doesn't apply.
const (
	RuleApplies           RuleReason = "Applies"
	RuleWorkspaceMismatch RuleReason = "Workspaces" // the selector doesn't match the workspace
	RuleRouteMismatch     RuleReason = "Routes"     // the selector doesn't match the route
	RuleTargetMismatch    RuleReason = "Targets"    // the selector doesn't match the model or service
	RuleEarlierApplied    RuleReason = "EarlierApplied"
)

// Why an upstream is no candidate.
const (
	UpstreamCandidate        UpstreamReason = "Kept"
	UpstreamTargetMismatch   UpstreamReason = "Service"     // it doesn't run the target
	UpstreamSelectorMismatch UpstreamReason = "Selector"    // the rule's selector doesn't match it
	UpstreamCapacityMismatch UpstreamReason = "Capacity"    // the rule asks for the other kind of capacity
	UpstreamReclaimable      UpstreamReason = "Reclaimable" // the call may not be repeated
	UpstreamDraining         UpstreamReason = "Draining"
)

type (
	// RuleReason says why a rule applies or doesn't.
	RuleReason string
	// UpstreamReason says why an upstream is a candidate or not.
	UpstreamReason string

	// Target is what a request is for: a *Model or a *Service.
	Target interface {
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
		Capacity  CapacityType
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
	if q.Target == nil {
		return Placement{}, false
	}
	workspace, route := s.workspaceBits(q.Workspace), s.routeBits(q.Route)
	target, kind := s.targetBits(q.Target)
	for word, rules := range target {
		if rules &= workspace[word] & route[word]; rules != 0 {
			return s.place(64*word+bits.TrailingZeros64(rules), kind, q), true
		}
	}
	return Placement{}, false
}

// Explain decides as Decide does, with the reason for each rule and upstream.
func (s *Snapshot) Explain(q Query) (e Explanation) {
	e.Placement, e.OK = s.Decide(q)
	if q.Target == nil {
		return e
	}
	workspace, route := s.workspaceBits(q.Workspace), s.routeBits(q.Route)
	target, _ := s.targetBits(q.Target)
	applied := -1
	for i, rule := range s.rules {
		outcome := RuleOutcome{rule, RuleApplies}
		switch {
		case !workspace.has(i):
			outcome.Reason = RuleWorkspaceMismatch
		case !route.has(i):
			outcome.Reason = RuleRouteMismatch
		case !target.has(i):
			outcome.Reason = RuleTargetMismatch
		case applied >= 0:
			outcome.Reason = RuleEarlierApplied
		default:
			applied = i
		}
		e.Rules = append(e.Rules, outcome)
	}
	if applied < 0 {
		return e
	}
	p := s.pools[applied]
	groups := s.matchGroups(p)
	for i, u := range s.upstreams {
		e.Upstreams = append(e.Upstreams, UpstreamOutcome{u, p.reason(q, u, groups[s.upstreamGroups.of[i]])})
	}
	return e
}

func (s *Snapshot) place(rule, kind int, q Query) Placement {
	r := s.rules[rule]
	return Placement{Rule: r, Upstreams: s.candidates(s.pools[rule], kind, q), Priority: r.Priority, Capacity: r.Capacity}
}

// workspaceBits also serves workspaces of another snapshot, which requests
// hold that waited while the configuration changed.
func (s *Snapshot) workspaceBits(w *Workspace) ruleBits {
	if w == nil {
		return s.noWorkspace
	}
	if info, ok := s.workspaceInfo[w]; ok {
		return info.bits
	}
	return s.matchWorkspaces.match(w.systemLabels())
}

func (s *Snapshot) routeBits(r *Route) ruleBits {
	if r == nil {
		return s.noRoute
	}
	if info, ok := s.routeInfo[r]; ok {
		return info.bits
	}
	return s.matchRoutes.match(r.systemLabels())
}

// targetBits also returns the target's number among the lists of a pool, or -1
// for a service of another snapshot.
func (s *Snapshot) targetBits(t Target) (bits ruleBits, kind int) {
	switch t := t.(type) {
	case *Model:
		if bits, ok := s.modelBits[t]; ok {
			return bits, engines
		}
		return s.matchTargets.match(t.systemLabels()), engines
	case *Service:
		if info, ok := s.serviceInfo[t]; ok {
			return info.bits, info.kind
		}
		return s.matchTargets.match(t.systemLabels()), -1
	default:
		panic("fleet: a target is a *Model or a *Service")
	}
}

func (q *Query) never() bool { return q.Route != nil && q.Route.Repeat == NonIdempotent }

// runsOn reports whether u is an engine. Engines of all owners are candidates
// for a model; rules select by the owner label where that isn't wanted.
func (m *Model) runsOn(u *Upstream) bool { return u.IsEngine() }

func (s *Service) runsOn(u *Upstream) bool { return u.Service == s.Name && u.Owner == s.Owner }
