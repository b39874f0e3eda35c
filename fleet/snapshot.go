package fleet

import (
	"cmp"
	"slices"

	"github.com/guavagauge/guavagauge/selector"
)

type (
	// Snapshot is a compiled configuration. It is immutable and safe for
	// concurrent use; nodes replace it as a whole.
	//
	// Rules are matched in advance: each workspace, route and target has a bit
	// for each rule that its labels satisfy, so a decision is the first bit
	// that all three have.
	Snapshot struct {
		revision   uint64
		upstreams  []*Upstream
		workspaces []*Workspace
		models     []*Model
		rules      []*Rule
		pools      []*pool // of each rule

		upstreamByKey  map[string]*Upstream
		workspaceByKey map[string]*Workspace
		serviceByKey   map[string]*Service
		keys           keyIndex
		routes         routeIndex

		workspaceInfo  map[*Workspace]workspaceInfo
		routeInfo      map[*Route]routeInfo
		modelBits      map[*Model]ruleBits
		serviceInfo    map[*Service]serviceInfo
		upstreamGroups upstreamGroups

		matchWorkspaces matcher
		matchRoutes     matcher
		matchTargets    matcher
		noWorkspace     ruleBits
		noRoute         ruleBits
	}

	workspaceInfo struct {
		bits   ruleBits
		models *modelSet
	}

	routeInfo struct {
		bits    ruleBits
		service *Service
	}

	serviceInfo struct {
		bits ruleBits
		kind int // number among the lists of a pool
	}

	// modelSet is the models that workspaces with the same owner and selector
	// may use.
	modelSet struct {
		list   []*Model
		byName map[string]*Model
	}

	modelSetKey struct {
		owner    string
		selector string
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
		rules:          pointers(c.Rules),
		upstreamByKey:  make(map[string]*Upstream, len(c.Upstreams)),
		workspaceByKey: make(map[string]*Workspace, len(c.Workspaces)),
		serviceByKey:   make(map[string]*Service, len(c.Services)),
	}
	for _, u := range s.upstreams {
		u.key = u.Owner + "/" + u.Name
		s.upstreamByKey[u.key] = u
	}
	for _, w := range s.workspaces {
		w.key = w.Owner + "/" + w.Name
		s.workspaceByKey[w.key] = w
	}
	services := pointers(c.Services)
	for _, service := range services {
		s.serviceByKey[service.Owner+"/"+service.Name] = service
	}
	s.keys = indexKeys(c.Keys, s.workspaceByKey)
	s.compileRules()
	s.compileWorkspaces()
	s.compileRoutes(pointers(c.Routes))
	s.compileTargets(services)
	s.upstreamGroups = groupUpstreams(s.upstreams)
	s.pools = makePools(s.rules, 1+len(services))
	return s
}

func (s *Snapshot) compileRules() {
	slices.SortFunc(s.rules, compareRules)
	s.matchWorkspaces = newMatcher(s.rules, func(r *Rule) selector.Selector { return r.Workspaces })
	s.matchRoutes = newMatcher(s.rules, func(r *Rule) selector.Selector { return r.Routes })
	s.matchTargets = newMatcher(s.rules, func(r *Rule) selector.Selector { return r.Targets })
	s.noWorkspace = s.matchWorkspaces.match(nil)
	s.noRoute = s.matchRoutes.match(nil)
}

func (s *Snapshot) compileWorkspaces() {
	s.workspaceInfo = make(map[*Workspace]workspaceInfo, len(s.workspaces))
	groups := newGroups(s.matchWorkspaces.match)
	sets := map[modelSetKey]*modelSet{}
	for _, w := range s.workspaces {
		key := modelSetKey{w.Owner, w.Models.String()}
		if sets[key] == nil {
			sets[key] = s.newModelSet(w)
		}
		s.workspaceInfo[w] = workspaceInfo{groups.of(w.Labels, w.systemLabels, w.Owner), sets[key]}
	}
}

func (s *Snapshot) compileRoutes(routes []*Route) {
	s.routes = indexRoutes(routes)
	s.routeInfo = make(map[*Route]routeInfo, len(routes))
	groups := newGroups(s.matchRoutes.match)
	for _, r := range routes {
		s.routeInfo[r] = routeInfo{groups.of(r.Labels, r.systemLabels, r.Owner), s.serviceByKey[r.Owner+"/"+r.Service]}
	}
}

func (s *Snapshot) compileTargets(services []*Service) {
	groups := newGroups(s.matchTargets.match)
	s.modelBits = make(map[*Model]ruleBits, len(s.models))
	for _, m := range s.models {
		s.modelBits[m] = groups.of(m.Labels, m.systemLabels, m.Owner)
	}
	s.serviceInfo = make(map[*Service]serviceInfo, len(services))
	for i, service := range services {
		bits := groups.of(service.Labels, service.systemLabels, service.Owner)
		s.serviceInfo[service] = serviceInfo{bits, engines + 1 + i}
	}
}

// Revision returns the configuration's revision.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Upstreams returns all upstreams. The caller must not change the slice.
func (s *Snapshot) Upstreams() []*Upstream { return s.upstreams }

// Workspaces returns all workspaces. The caller must not change the slice.
func (s *Snapshot) Workspaces() []*Workspace { return s.workspaces }

// Upstream returns the upstream with the key that Upstream.QualifiedName
// returns.
func (s *Snapshot) Upstream(key string) (upstream *Upstream, ok bool) {
	upstream, ok = s.upstreamByKey[key]
	return upstream, ok
}

// Workspace returns the workspace with the key that Workspace.QualifiedName
// returns.
func (s *Snapshot) Workspace(key string) (workspace *Workspace, ok bool) {
	workspace, ok = s.workspaceByKey[key]
	return workspace, ok
}

// Authenticate returns the workspace that a secret lets in, and the identity
// of its key, which KeyActive takes.
func (s *Snapshot) Authenticate(secret string) (workspace *Workspace, keyID ID, ok bool) {
	return s.keys.lookup(secret)
}

// KeyActive reports whether a key is still part of the configuration.
func (s *Snapshot) KeyActive(keyID ID) bool {
	return s.keys.active[keyID]
}

// MatchRoute returns the most specific route for a call: the exact path, else
// the longest prefix. Routes without the method are passed over. The path is
// the decoded one, as in http.Request.URL.Path; one that isn't clean has no
// route.
func (s *Snapshot) MatchRoute(method, path string) (route *Route, ok bool) {
	return s.routes.lookup(method, path)
}

// ServiceFor returns the service that a route maps to.
func (s *Snapshot) ServiceFor(route *Route) (service *Service, ok bool) {
	if info, found := s.routeInfo[route]; found {
		return info.service, info.service != nil
	}
	service, ok = s.serviceByKey[route.Owner+"/"+route.Service]
	return service, ok
}

// ModelFor returns the model with a name if the workspace may use it. The name
// means a model of the workspace's owner.
func (s *Snapshot) ModelFor(workspace *Workspace, name string) (model *Model, ok bool) {
	model, ok = s.modelSet(workspace).byName[name]
	return model, ok
}

// Models returns the models that a workspace may use. The caller must not
// change the slice.
func (s *Snapshot) Models(workspace *Workspace) (models []*Model) {
	return s.modelSet(workspace).list
}

func (s *Snapshot) modelSet(w *Workspace) *modelSet {
	if info, ok := s.workspaceInfo[w]; ok {
		return info.models
	}
	return s.newModelSet(w)
}

func (s *Snapshot) newModelSet(w *Workspace) *modelSet {
	set := &modelSet{byName: map[string]*Model{}}
	for _, m := range s.models {
		if w.mayUse(m) {
			set.list = append(set.list, m)
			set.byName[m.Name] = m
		}
	}
	return set
}

func (w *Workspace) mayUse(m *Model) bool {
	return w.Owner == m.Owner && w.Models.Matches(m.systemLabels())
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
