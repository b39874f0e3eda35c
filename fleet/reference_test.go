package fleet

import (
	"fmt"
	pathpkg "path"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/selector"
)

// referenceExplain implements Explain as loops over the rules and upstreams,
// without the bit sets and candidate lists of Snapshot.
func referenceExplain(s *Snapshot, q Query) (e Explanation) {
	rules := slices.Clone(s.rules)
	sortKey := func(r *Rule) string { return fmt.Sprintf("%09d %s %s", r.Order, r.Owner, r.Name) }
	slices.SortFunc(rules, func(a, b *Rule) int { return strings.Compare(sortKey(a), sortKey(b)) })
	for _, rule := range rules {
		reason := referenceRuleReason(rule, q)
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
		reason := referenceUpstreamReason(e.Placement.Rule, q, u)
		e.Upstreams = append(e.Upstreams, UpstreamOutcome{u, reason})
		if reason == UpstreamCandidate {
			e.Placement.Upstreams = append(e.Placement.Upstreams, u)
		}
	}
	return e
}

func referenceRuleReason(r *Rule, q Query) RuleReason {
	var workspace, route selector.Labels
	if q.Workspace != nil {
		workspace = q.Workspace.allLabels()
	}
	if q.Route != nil {
		route = q.Route.allLabels()
	}
	switch {
	case !r.Workspaces.Matches(workspace):
		return RuleWorkspaceMismatch
	case !r.Routes.Matches(route):
		return RuleRouteMismatch
	case !r.Targets.Matches(q.Target.(interface{ allLabels() selector.Labels }).allLabels()):
		return RuleTargetMismatch
	default:
		return RuleApplies
	}
}

func referenceUpstreamReason(r *Rule, q Query, u *Upstream) UpstreamReason {
	nonIdempotent := q.Route != nil && q.Route.Repeat == NonIdempotent
	switch {
	case !q.Target.runsOn(u):
		return UpstreamTargetMismatch
	case !r.Upstreams.Matches(u.allLabels()):
		return UpstreamSelectorMismatch
	case r.Capacity != AnyCapacity && r.Capacity != u.Capacity:
		return UpstreamCapacityMismatch
	case nonIdempotent && u.Capacity == Reclaimable:
		return UpstreamReclaimable
	case u.State == Draining:
		return UpstreamDraining
	default:
		return UpstreamCandidate
	}
}

// referenceMatchRoute implements MatchRoute as a loop over the routes.
func referenceMatchRoute(routes []Route, method, path string) (found *Route) {
	clean := pathpkg.Clean("/" + path)
	if strings.HasSuffix(path, "/") && clean != "/" {
		clean += "/"
	}
	if path != "" && clean != path {
		return nil
	}
	for i := range routes {
		r := &routes[i]
		prefix := strings.HasSuffix(r.Path, "/") && strings.HasPrefix(path, r.Path)
		if (prefix || path == r.Path) && slices.Contains(r.Methods, method) && (found == nil || len(r.Path) > len(found.Path)) {
			found = r
		}
	}
	return found
}

// referenceModels implements Models as a loop over the models.
func referenceModels(s *Snapshot, w *Workspace) (models []*Model) {
	for _, m := range s.models {
		if w.mayUse(m) {
			models = append(models, m)
		}
	}
	return models
}

// Guards against Decide, Explain, Models and MatchRoute differing from the
// reference implementations. Queries also refer to objects of another snapshot,
// because the configuration can change while a request waits.
func TestDecideMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		s, other := Compile(config, 1), Compile(config, 2)
		for _, from := range []*Snapshot{s, other} {
			queries := drawQueries(from, config)
			for _, q := range queries {
				want, got := referenceExplain(s, q), s.Explain(q)
				if !reflect.DeepEqual(got, want) {
					t.Fatalf("%+v: Explain = %+v, want %+v", q, got, want)
				}
				if placement, ok := s.Decide(q); ok != want.OK || !reflect.DeepEqual(placement, want.Placement) {
					t.Fatalf("%+v: Decide = %+v, %v, want %+v", q, placement, ok, want.Placement)
				}
			}
			for _, w := range from.workspaces {
				if got, want := s.Models(w), referenceModels(s, w); !slices.Equal(got, want) {
					t.Fatalf("%s: Models = %v, want %v", w.ID(), got, want)
				}
			}
		}
		for _, path := range rapid.SliceOfN(rapid.StringMatching(`(/(a|b|a\.|\.|\.\.|)){0,4}`), 10, 10).Draw(t, "paths") {
			for _, method := range httpMethods[:3] {
				got, ok := s.MatchRoute(method, path)
				if want := referenceMatchRoute(config.Routes, method, path); ok != (want != nil) || ok && got.ID() != want.ID() {
					t.Fatalf("MatchRoute(%s, %q) = %v, want %v", method, path, got, want)
				}
			}
		}
	})
}

// drawQueries returns a query for each combination of a workspace or none with a
// model, or with a route that has a service.
func drawQueries(s *Snapshot, config *Config) (queries []Query) {
	workspaces := append([]*Workspace{nil}, s.workspaces...)
	for _, w := range workspaces {
		for _, m := range s.models {
			queries = append(queries, Query{Workspace: w, Target: m})
		}
		for i := range config.Routes {
			for r := range s.routeInfo {
				if service, ok := s.ServiceFor(r); ok && r.ID() == config.Routes[i].ID() {
					queries = append(queries, Query{w, r, service})
				}
			}
		}
	}
	return queries
}

func drawConfig(t *rapid.T) *Config {
	c := &Config{}
	for i := range rapid.IntRange(0, 16).Draw(t, "upstreams") {
		c.Upstreams = append(c.Upstreams, Upstream{
			Meta:          drawMeta(t, i),
			FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
			Region:        rapid.SampledFrom([]string{"r", "s"}).Draw(t, "region"),
			Service:       rapid.SampledFrom([]string{"", "0", "1"}).Draw(t, "service"),
			Capacity:      rapid.SampledFrom(capacities).Draw(t, "capacity"),
			State:         rapid.SampledFrom(states).Draw(t, "state"),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "workspaces") {
		c.Workspaces = append(c.Workspaces, Workspace{Meta: drawMeta(t, i), Models: drawSelector(t)})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "models") {
		c.Models = append(c.Models, Model{Meta: drawMeta(t, i)})
	}
	for i := range 4 {
		service := Service{Meta: drawMeta(t, i/2)}
		service.Owner = []string{"x", "y"}[i%2]
		c.Services = append(c.Services, service)
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "routes") {
		c.Routes = append(c.Routes, Route{
			Meta: drawMeta(t, i), Path: rapid.StringMatching(`(/(a|b|a\.)){0,2}/?`).Draw(t, "path"),
			Methods: rapid.SliceOfN(rapid.SampledFrom(httpMethods[:3]), 1, 2).Draw(t, "methods"),
			Service: rapid.SampledFrom([]string{"0", "1"}).Draw(t, "service"),
			Repeat:  rapid.SampledFrom(retryClasses).Draw(t, "repeat"),
		})
	}
	// Rules that match nothing move the others across the boundary between two
	// words of ruleBits.
	matchesNothing, _ := selector.Parse("none = none")
	for i := range rapid.SampledFrom([]int{0, 0, 62, 127}).Draw(t, "padding") {
		c.Rules = append(c.Rules, Rule{Meta: Meta{Owner: "x", Name: fmt.Sprint("never", i)}, Order: i % 3, Workspaces: matchesNothing})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "rules") {
		c.Rules = append(c.Rules, Rule{
			Meta: drawMeta(t, i), Order: rapid.IntRange(0, 3).Draw(t, "order"),
			Workspaces: drawSelector(t), Routes: drawSelector(t), Targets: drawSelector(t), Upstreams: drawSelector(t, "capacity = Reserved", "region = r", "failure-domain notin (b)", "tier", "owner = y"),
			Capacity: rapid.SampledFrom(ruleCapacities).Draw(t, "capacity"),
		})
	}
	return c
}

func drawMeta(t *rapid.T, i int) Meta {
	m := Meta{Owner: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "owner"), Name: fmt.Sprint(i)}
	if tier := rapid.SampledFrom([]string{"", "gold", "tin"}).Draw(t, "tier"); tier != "" {
		m.Labels = selector.Labels{"tier": tier}
	}
	return m
}

func drawSelector(t *rapid.T, more ...string) selector.Selector {
	text := rapid.SampledFrom(append(more, "", "", "", "tier", "!tier", "tier = gold", "tier != gold", "owner = x", "tier in (gold, tin), owner notin (y)",
		"failure-domain = a", "capacity != Reserved", "region",
	)).Draw(t, "selector")
	s, err := selector.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
