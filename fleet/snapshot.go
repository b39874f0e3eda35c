package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/guavagauge/guavagauge/selector"
)

type (
	// Snapshot is a compiled configuration. It is immutable and safe for
	// concurrent use; nodes replace it as a whole.
	Snapshot struct {
		revision   uint64
		upstreams  []*Upstream
		workspaces []*Workspace
		models     []*Model
		rules      []*Rule
		routes     []*Route

		upstreamByKey  map[string]*Upstream
		workspaceByKey map[string]*Workspace
		serviceByKey   map[string]*Service
		keys           keyIndex
	}
)

// Compile builds the read-only form of a configuration that Parse or
// FromEntries accepted. It keeps no reference to config.
func Compile(config *Config, revision uint64) *Snapshot {
	c := config.clone()
	c.fillDefaults()
	s := &Snapshot{
		revision:       revision,
		upstreams:      pointers(c.Upstreams),
		workspaces:     pointers(c.Workspaces),
		models:         pointers(c.Models),
		routes:         pointers(c.Routes),
		rules:          pointers(c.Rules),
		upstreamByKey:  map[string]*Upstream{},
		workspaceByKey: map[string]*Workspace{},
		serviceByKey:   map[string]*Service{},
	}
	for _, u := range s.upstreams {
		s.upstreamByKey[u.Key()] = u
	}
	for _, w := range s.workspaces {
		s.workspaceByKey[w.Key()] = w
	}
	for i := range c.Services {
		s.serviceByKey[c.Services[i].Owner+"/"+c.Services[i].Name] = &c.Services[i]
	}
	slices.SortFunc(s.rules, compareRules)
	s.keys = indexKeys(c.Keys, s.workspaceByKey)
	return s
}

// Revision returns the configuration's revision.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Upstreams returns all upstreams. The caller must not change the slice.
func (s *Snapshot) Upstreams() []*Upstream { return s.upstreams }

// Workspaces returns all workspaces. The caller must not change the slice.
func (s *Snapshot) Workspaces() []*Workspace { return s.workspaces }

// Upstream returns the upstream with the key that Upstream.Key returns.
func (s *Snapshot) Upstream(key string) (upstream *Upstream, ok bool) {
	upstream, ok = s.upstreamByKey[key]
	return upstream, ok
}

// Workspace returns the workspace with the key that Workspace.Key returns.
func (s *Snapshot) Workspace(key string) (workspace *Workspace, ok bool) {
	workspace, ok = s.workspaceByKey[key]
	return workspace, ok
}

// WorkspaceByKey returns the workspace that a secret lets in, and the identity
// of its key, which KeyActive takes.
func (s *Snapshot) WorkspaceByKey(secret string) (workspace *Workspace, keyID ID, ok bool) {
	return s.keys.lookup(secret)
}

// KeyActive reports whether a key is still part of the configuration.
func (s *Snapshot) KeyActive(keyID ID) bool {
	return s.keys.active[keyID]
}

// MatchRoute returns the most specific route for a call: the exact path, else
// the longest prefix. Routes without the method are passed over.
func (s *Snapshot) MatchRoute(method, path string) (route *Route, ok bool) {
	for _, r := range s.routes {
		if r.matches(method, path) && (route == nil || r.moreSpecific(route)) {
			route = r
		}
	}
	return route, route != nil
}

// ServiceFor returns the service that a route maps to.
func (s *Snapshot) ServiceFor(route *Route) (service *Service, ok bool) {
	service, ok = s.serviceByKey[route.Owner+"/"+route.Service]
	return service, ok
}

// ModelFor returns the model with a name if the workspace may use it. The name
// means a model of the workspace's owner.
func (s *Snapshot) ModelFor(workspace *Workspace, name string) (model *Model, ok bool) {
	for _, m := range s.models {
		if m.Name == name && workspace.mayUse(m) {
			return m, true
		}
	}
	return nil, false
}

// Models returns the models that a workspace may use.
func (s *Snapshot) Models(workspace *Workspace) (models []*Model) {
	for _, m := range s.models {
		if workspace.mayUse(m) {
			models = append(models, m)
		}
	}
	return models
}

func (w *Workspace) mayUse(m *Model) bool {
	return w.Owner == m.Owner && w.Models.Matches(m.systemLabels())
}

func (r *Route) matches(method, path string) bool {
	prefix := strings.HasSuffix(r.Path, "/") && strings.HasPrefix(path, r.Path)
	return (prefix || path == r.Path) && slices.Contains(r.Methods, method)
}

func (r *Route) moreSpecific(other *Route) bool {
	return len(r.Path) > len(other.Path)
}

// systemLabels returns the labels of an object together with the labels that
// the system adds.
func (m *Meta) systemLabels() selector.Labels {
	labels := make(selector.Labels, len(m.Labels)+4)
	for key, value := range m.Labels {
		labels[key] = value
	}
	labels[LabelOwner] = m.Owner
	return labels
}

func (u *Upstream) systemLabels() selector.Labels {
	labels := u.Meta.systemLabels()
	labels[LabelFailureDomain] = u.FailureDomain
	labels[LabelRegion] = u.Region
	labels[LabelCapacity] = string(u.Capacity)
	return labels
}

// compareRules orders rules as they are tried. Rules with the same Order are
// tried by owner and name, so that all nodes agree.
func compareRules(a, b *Rule) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Name, b.Name))
}

func pointers[T any](objects []T) (list []*T) {
	list = make([]*T, len(objects))
	for i := range objects {
		list[i] = &objects[i]
	}
	return list
}
