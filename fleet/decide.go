package fleet

import "math/bits"

// The reasons why a rule applies or doesn't. A mismatch has the name of the
// selector as its value.
const (
	RuleApplies           RuleReason = "Applies"
	RuleWorkspaceMismatch RuleReason = "Workspaces"     // the selector doesn't match the workspace
	RuleRouteMismatch     RuleReason = "Routes"         // the selector doesn't match the route
	RuleTargetMismatch    RuleReason = "Targets"        // the selector doesn't match the model or service
	RuleEarlierApplied    RuleReason = "EarlierApplied" // an earlier rule applies
)

// The reasons why an upstream is a candidate or not. Explanations show the
// values.
const (
	UpstreamCandidate        UpstreamReason = "Kept"        // the upstream may run the request
	UpstreamTargetMismatch   UpstreamReason = "Service"     // the upstream doesn't run the target
	UpstreamSelectorMismatch UpstreamReason = "Selector"    // the rule's selector doesn't match the upstream
	UpstreamCapacityMismatch UpstreamReason = "Capacity"    // the rule requires the other capacity type
	UpstreamReclaimable      UpstreamReason = "Reclaimable" // the upstream is reclaimable, but the call isn't idempotent
	UpstreamDraining         UpstreamReason = "Draining"    // the upstream accepts no new requests
)

type (
	// RuleReason says why a rule applies or doesn't.
	RuleReason string
	// UpstreamReason says why an upstream is a candidate or not.
	UpstreamReason string

	// Target is the *Model or *Service that a request is for.
	Target interface {
		runsOn(*Upstream) bool
	}

	// Query describes a request to be placed. Workspace is nil on open routes, and
	// Route is nil for the model API. For selectors, a nil one has no labels.
	Query struct {
		Workspace *Workspace
		Route     *Route
		Target    Target
	}

	// Placement has the rule that applies to a request and the upstreams that may
	// run it. Upstreams is empty if the rule leaves no candidate; later rules
	// aren't tried, so the request can't run. The caller must not change Upstreams,
	// which other requests share.
	Placement struct {
		Rule      *Rule
		Upstreams []*Upstream
		Priority  int
		Capacity  CapacityType
	}

	// Explanation is the result of Decide with the outcome of each rule and
	// upstream. Upstreams is empty if no rule applies.
	Explanation struct {
		Placement Placement
		OK        bool
		Rules     []RuleOutcome
		Upstreams []UpstreamOutcome
	}

	// RuleOutcome says whether a rule applies, and why.
	RuleOutcome struct {
		Rule   *Rule
		Reason RuleReason
	}

	// UpstreamOutcome says whether an upstream is a candidate, and why.
	UpstreamOutcome struct {
		Upstream *Upstream
		Reason   UpstreamReason
	}
)

// Decide returns the first rule that applies and the upstreams that may run the
// request. ok is false if no rule applies or q has no target.
func (s *Snapshot) Decide(q Query) (placement Placement, ok bool) {
	if q.Target == nil {
		return Placement{}, false
	}
	workspace, route := s.workspaceBits(q.Workspace), s.routeBits(q.Route)
	target, targetIndex := s.targetBits(q.Target)
	for word, rules := range target {
		if rules &= workspace[word] & route[word]; rules != 0 {
			return s.place(64*word+bits.TrailingZeros64(rules), targetIndex, q), true
		}
	}
	return Placement{}, false
}

// Explain returns the result of Decide with the reason for each rule and
// upstream.
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
	matches := s.groupMatches(p)
	for i, u := range s.upstreams {
		e.Upstreams = append(e.Upstreams, UpstreamOutcome{u, p.reason(q, u, matches[s.upstreamGroups.index[i]])})
	}
	return e
}

func (s *Snapshot) place(rule, targetIndex int, q Query) Placement {
	r := s.rules[rule]
	return Placement{Rule: r, Upstreams: s.candidates(s.pools[rule], targetIndex, q), Priority: r.Priority, Capacity: r.Capacity}
}

// workspaceBits returns the rules that match a workspace. The workspace may
// belong to another snapshot, because the configuration can change while a
// request waits.
func (s *Snapshot) workspaceBits(w *Workspace) ruleBits {
	if w == nil {
		return s.noWorkspace
	}
	if info, ok := s.workspaceInfo[w]; ok {
		return info.bits
	}
	return s.matchWorkspaces.match(w.allLabels())
}

// routeBits returns the rules that match a route, which may belong to another
// snapshot.
func (s *Snapshot) routeBits(r *Route) ruleBits {
	if r == nil {
		return s.noRoute
	}
	if info, ok := s.routeInfo[r]; ok {
		return info.bits
	}
	return s.matchRoutes.match(r.allLabels())
}

// targetBits returns the rules that match a target, and the index of the
// target's candidate lists in a pool, or -1 for a service of another snapshot,
// which has no lists. A model of another snapshot uses those of all models.
func (s *Snapshot) targetBits(t Target) (bits ruleBits, targetIndex int) {
	switch t := t.(type) {
	case *Model:
		if bits, ok := s.modelBits[t]; ok {
			return bits, modelTargetIndex
		}
		return s.matchTargets.match(t.allLabels()), modelTargetIndex
	case *Service:
		if info, ok := s.serviceInfo[t]; ok {
			return info.bits, info.targetIndex
		}
		return s.matchTargets.match(t.allLabels()), -1
	default:
		panic("fleet: target is neither a *Model nor a *Service")
	}
}

// nonIdempotent reports whether q calls a NonIdempotent route. Requests to the
// model API have no route.
func (q *Query) nonIdempotent() bool { return q.Route != nil && q.Route.Repeat == NonIdempotent }

// runsOn reports whether u is an engine. Engines of all owners are candidates
// for a model; rules can select engines of one owner by LabelOwner.
func (m *Model) runsOn(u *Upstream) bool { return u.IsEngine() }

func (s *Service) runsOn(u *Upstream) bool { return u.Service == s.Name && u.Owner == s.Owner }
