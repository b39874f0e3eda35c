package fleet

import (
	"cmp"
	"slices"

	"github.com/guavagauge/guavagauge/selector"
)

type (
	// Snapshot is a compiled configuration. It doesn't change, except that pools
	// compute their candidate lists on first use, and is safe for concurrent use.
	// Nodes replace it as a whole. Objects of an earlier snapshot are valid
	// arguments, because requests keep them while they wait.
	//
	// The selectors of rules are evaluated at compile time: each workspace, route
	// and target has a bit set of the rules that match its labels. Decide takes
	// the first rule that is in all three sets.
	Snapshot struct {
		revision   uint64
		upstreams  []*Upstream
		workspaces []*Workspace
		models     []*Model
		rules      []*Rule
		pools      []*pool // of each rule

		upstreamByName  map[string]*Upstream  // by "owner/name"
		workspaceByName map[string]*Workspace // by "owner/name"
		serviceByName   map[string]*Service   // by "owner/name"
		keys            keyIndex
		routes          routeIndex

		workspaceInfo  map[*Workspace]workspaceInfo
		routeInfo      map[*Route]routeInfo
		modelBits      map[*Model]ruleBits
		serviceInfo    map[*Service]serviceInfo
		upstreamGroups upstreamGroups

		matchWorkspaces matcher
		matchRoutes     matcher
		matchTargets    matcher
		noWorkspace     ruleBits // rules that match a query without a workspace
		noRoute         ruleBits // rules that match a query without a route
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
		bits        ruleBits
		targetIndex int // index of the service's candidate lists in a pool
	}

	// modelSet has the models that workspaces with the same owner and Models
	// selector may use.
	modelSet struct {
		list   []*Model
		byName map[string]*Model
	}

	modelSetKey struct {
		owner    string
		selector string
	}
)

// Compile builds a snapshot of a configuration from Parse or FromEntries. It
// doesn't validate the configuration, but it can compile one with problems. The
// snapshot is unaffected by later changes to config.
func Compile(config *Config, revision uint64) *Snapshot {
	c := config.clone()
	c.fillDefaults()
	s := &Snapshot{
		revision:        revision,
		upstreams:       pointers(c.Upstreams),
		workspaces:      pointers(c.Workspaces),
		models:          pointers(c.Models),
		rules:           pointers(c.Rules),
		upstreamByName:  make(map[string]*Upstream, len(c.Upstreams)),
		workspaceByName: make(map[string]*Workspace, len(c.Workspaces)),
		serviceByName:   make(map[string]*Service, len(c.Services)),
	}
	for _, u := range s.upstreams {
		u.qualifiedName = u.Owner + "/" + u.Name
		s.upstreamByName[u.qualifiedName] = u
	}
	for _, w := range s.workspaces {
		w.qualifiedName = w.Owner + "/" + w.Name
		s.workspaceByName[w.qualifiedName] = w
	}
	services := pointers(c.Services)
	for _, service := range services {
		s.serviceByName[service.Owner+"/"+service.Name] = service
	}
	s.keys = indexKeys(c.Keys, s.workspaceByName)
	s.compileRules()
	s.compileWorkspaces()
	s.compileRoutes(pointers(c.Routes))
	s.compileTargets(services)
	s.upstreamGroups = groupUpstreams(s.upstreams)
	s.pools = newPools(s.rules, 1+len(services))
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
	cache := newLabelSetCache(s.matchWorkspaces.match)
	modelSets := map[modelSetKey]*modelSet{}
	for _, w := range s.workspaces {
		key := modelSetKey{w.Owner, w.Models.String()}
		if modelSets[key] == nil {
			modelSets[key] = s.newModelSet(w)
		}
		s.workspaceInfo[w] = workspaceInfo{cache.get(w.Labels, w.allLabels, w.Owner), modelSets[key]}
	}
}

func (s *Snapshot) compileRoutes(routes []*Route) {
	s.routes = indexRoutes(routes)
	s.routeInfo = make(map[*Route]routeInfo, len(routes))
	cache := newLabelSetCache(s.matchRoutes.match)
	for _, r := range routes {
		s.routeInfo[r] = routeInfo{cache.get(r.Labels, r.allLabels, r.Owner), s.serviceByName[r.Owner+"/"+r.Service]}
	}
}

func (s *Snapshot) compileTargets(services []*Service) {
	cache := newLabelSetCache(s.matchTargets.match)
	s.modelBits = make(map[*Model]ruleBits, len(s.models))
	for _, m := range s.models {
		s.modelBits[m] = cache.get(m.Labels, m.allLabels, m.Owner)
	}
	s.serviceInfo = make(map[*Service]serviceInfo, len(services))
	for i, service := range services {
		bits := cache.get(service.Labels, service.allLabels, service.Owner)
		s.serviceInfo[service] = serviceInfo{bits, modelTargetIndex + 1 + i}
	}
}

// Revision returns the configuration's revision.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Upstreams returns all upstreams. The caller must not change the slice.
func (s *Snapshot) Upstreams() []*Upstream { return s.upstreams }

// Workspaces returns all workspaces. The caller must not change the slice.
func (s *Snapshot) Workspaces() []*Workspace { return s.workspaces }

// Upstream returns the upstream with the given Upstream.QualifiedName.
func (s *Snapshot) Upstream(qualifiedName string) (upstream *Upstream, ok bool) {
	upstream, ok = s.upstreamByName[qualifiedName]
	return upstream, ok
}

// Workspace returns the workspace with the given Workspace.QualifiedName.
func (s *Snapshot) Workspace(qualifiedName string) (workspace *Workspace, ok bool) {
	workspace, ok = s.workspaceByName[qualifiedName]
	return workspace, ok
}

// Authenticate returns the workspace of the API key with the given secret, and
// the key's identity, for use with KeyActive.
func (s *Snapshot) Authenticate(secret string) (workspace *Workspace, keyID ID, ok bool) {
	return s.keys.lookup(secret)
}

// KeyActive reports whether the configuration has the key with the given ID and
// Authenticate accepts its secret.
func (s *Snapshot) KeyActive(keyID ID) bool {
	return s.keys.active[keyID]
}

// MatchRoute returns the most specific route for a call: the one with the exact
// path, else the one with the longest prefix. Routes that don't list the method
// are skipped. path is decoded, as http.Request.URL.Path is. A path with an
// empty, "." or ".." segment matches no route.
func (s *Snapshot) MatchRoute(method, path string) (route *Route, ok bool) {
	return s.routes.lookup(method, path)
}

// ServiceFor returns the service that a route maps to. The route may belong to
// another snapshot.
func (s *Snapshot) ServiceFor(route *Route) (service *Service, ok bool) {
	if info, found := s.routeInfo[route]; found {
		return info.service, info.service != nil
	}
	service, ok = s.serviceByName[route.Owner+"/"+route.Service]
	return service, ok
}

// ModelFor returns the model with the given name if the workspace may use it.
// Only models of the workspace's owner are considered.
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
	return w.Owner == m.Owner && w.Models.Matches(m.allLabels())
}

// allLabels returns the labels of an object, including those that the system
// sets.
func (m *Meta) allLabels() selector.Labels {
	labels := make(selector.Labels, len(m.Labels)+4)
	for key, value := range m.Labels {
		labels[key] = value
	}
	labels[LabelOwner] = m.Owner
	return labels
}

func (u *Upstream) allLabels() selector.Labels {
	labels := u.Meta.allLabels()
	labels[LabelFailureDomain] = u.FailureDomain
	labels[LabelRegion] = u.Region
	labels[LabelCapacity] = string(u.Capacity)
	return labels
}

// compareRules compares rules by the order in which they are tried. Ties in Order
// are broken by owner and name, so that all nodes agree.
func compareRules(a, b *Rule) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Name, b.Name))
}

// pointers returns a pointer to each of objects.
func pointers[T any](objects []T) (list []*T) {
	list = make([]*T, len(objects))
	for i := range objects {
		list[i] = &objects[i]
	}
	return list
}
