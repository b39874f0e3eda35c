package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/guavagauge/guavagauge/selector"
)

const (
	// maxNameBytes bounds names and label words, which become metrics labels
	// and parts of store keys.
	maxNameBytes = 63
	maxTextBytes = 256
	nameRule     = "1 to 63 letters, digits and -_."
	labelRule    = "1 to 63 letters, digits and -_./"
)

type (
	// checker holds what the checks of single objects need of the others.
	checker struct {
		config    *Config
		source    *ParsedFile
		names     map[ID][]string // of each kind and owner, under an ID without name
		known     map[ID]bool
		seen      map[ID]int // line of each object
		addresses map[netip.AddrPort]string
		hashes    map[string]string
		regions   map[string]string // region of each failure domain
		routes    map[string]string // route by method and path
	}

	// subject is the object that is being checked.
	subject struct {
		*checker
		kind  Kind
		index int
		owner string
		label string
	}
)

var (
	systemLabels = []string{LabelOwner, LabelFailureDomain, LabelRegion, LabelCapacity}

	capacities     = []CapacityType{Reserved, Reclaimable}
	ruleCapacities = []CapacityType{Reserved, Reclaimable, AnyCapacity}
	fencings       = []Fencing{FencingChecked, FencingIgnored}
	repeats        = []RetryClass{Idempotent, NonIdempotent}
	states         = []State{Active, Draining}
)

// check reports all problems of config to source. It runs before the defaults
// are filled in: a zero value is a problem only if it was written.
func check(config *Config, source *ParsedFile) {
	c := &checker{
		config:    config,
		source:    source,
		names:     map[ID][]string{},
		known:     map[ID]bool{},
		seen:      map[ID]int{},
		addresses: map[netip.AddrPort]string{},
		hashes:    map[string]string{},
		regions:   map[string]string{},
		routes:    map[string]string{},
	}
	for i := range config.Owners {
		c.know(KindOwner, &Meta{Name: config.Owners[i].Name})
	}
	for i := range config.Workspaces {
		c.know(KindWorkspace, &config.Workspaces[i].Meta)
	}
	for i := range config.Services {
		c.know(KindService, &config.Services[i].Meta)
	}
	c.checkObjects()
}

func (c *checker) checkObjects() {
	for i := range c.config.Owners {
		o := &c.config.Owners[i]
		c.subject(KindOwner, i, &Meta{Owner: o.Name, Name: o.Name, Labels: o.Labels})
	}
	for i := range c.config.Upstreams {
		c.subject(KindUpstream, i, &c.config.Upstreams[i].Meta).upstream(&c.config.Upstreams[i])
	}
	for i := range c.config.Workspaces {
		c.subject(KindWorkspace, i, &c.config.Workspaces[i].Meta).workspace(&c.config.Workspaces[i])
	}
	for i := range c.config.Keys {
		c.subject(KindKey, i, &c.config.Keys[i].Meta).key(&c.config.Keys[i])
	}
	for i := range c.config.Models {
		c.subject(KindModel, i, &c.config.Models[i].Meta).model(&c.config.Models[i])
	}
	for i := range c.config.Services {
		c.subject(KindService, i, &c.config.Services[i].Meta)
	}
	for i := range c.config.Routes {
		c.subject(KindRoute, i, &c.config.Routes[i].Meta).route(&c.config.Routes[i])
	}
	for i := range c.config.Rules {
		c.subject(KindRule, i, &c.config.Rules[i].Meta).rule(&c.config.Rules[i])
	}
}

func (c *checker) know(kind Kind, m *Meta) {
	list, id := ID{Owner: m.Owner, Kind: kind}, ID{m.Owner, kind, m.Name}
	if !c.known[id] {
		c.names[list] = append(c.names[list], m.Name)
	}
	c.known[id] = true
}

// subject checks what all objects have in common.
func (c *checker) subject(kind Kind, index int, m *Meta) (s subject) {
	s = subject{checker: c, kind: kind, index: index, owner: m.Owner, label: objectName(kind, m.Owner, m.Name, index)}
	s.name("Name", m.Name)
	if kind != KindOwner {
		s.reference("Owner", m.Owner, ID{Kind: KindOwner})
	}
	for _, key := range sortedKeys(m.Labels) {
		s.labelPair(key, m.Labels[key])
	}
	id := ID{m.Owner, kind, m.Name}
	if line, ok := c.seen[id]; ok && m.Name != "" {
		s.report("Name", FormatValue(m.Name), "a name that no other "+string(kind)+" of this owner has"+atLine(line), "")
	}
	c.seen[id] = c.source.lines.find(s.path("Name")...)
	return s
}

func (s subject) upstream(u *Upstream) {
	if !u.Address.IsValid() || u.Address.Port() == 0 || u.Address.Addr().IsUnspecified() || u.Address.Addr().IsMulticast() {
		s.report("Address", showAddress(u.Address), `the upstream's IP address and port, such as "10.0.0.7:9000"`, "")
	}
	unmapped := netip.AddrPortFrom(u.Address.Addr().Unmap(), u.Address.Port())
	if other, ok := s.addresses[unmapped]; ok && u.Address.IsValid() {
		s.report("Address", showAddress(u.Address), "an address that no other upstream has; "+other+" has this one", "")
	}
	s.addresses[unmapped] = s.label
	s.name("FailureDomain", u.FailureDomain)
	s.name("Region", u.Region)
	if region, ok := s.regions[u.FailureDomain]; ok && region != u.Region && u.Region != "" {
		s.report("Region", FormatValue(u.Region), FormatValue(region)+", the region of the other upstreams in failure domain "+FormatValue(u.FailureDomain), "")
	}
	if _, ok := s.regions[u.FailureDomain]; !ok {
		s.regions[u.FailureDomain] = u.Region
	}
	oneOf(s, "Capacity", u.Capacity, capacities)
	oneOf(s, "State", u.State, states)
	inRange(s, "Slots", u.Slots, 1, 4096)
	inRange(s, "Pieces", u.Pieces, 0, 1<<24)
	if u.IsEngine() {
		oneOf(s, "Fencing", u.Fencing, fencings)
		return
	}
	s.reference("Service", u.Service, ID{u.Owner, KindService, ""})
	if u.Fencing != "" {
		s.report("Fencing", FormatValue(u.Fencing), "it left out, because a service's worker gets no orders", "")
	}
	if u.Pieces != 0 {
		s.report("Pieces", FormatValue(u.Pieces), "it left out, because a service's worker has no KV cache", "")
	}
}

func (s subject) workspace(w *Workspace) {
	inRange(s, "Weight", w.Weight, 1, 1000)
	inRange(s, "RequestsPerSecond", w.RequestsPerSecond, 0, 1e6)
	inRange(s, "Burst", w.Burst, 0, 1_000_000)
	inRange(s, "Concurrent", w.Concurrent, 0, 1_000_000)
	s.selector("Models", w.Models, KindModel)
}

func (s subject) key(k *Key) {
	s.reference("Workspace", k.Workspace, ID{k.Owner, KindWorkspace, ""})
	if len(k.SHA256) != 64 || strings.Trim(k.SHA256, "0123456789abcdef") != "" {
		s.report("SHA256", k.SHA256, "the secret's SHA-256 hash as 64 hexadecimal digits in lower case", "")
		return
	}
	if other, ok := s.hashes[k.SHA256]; ok {
		s.report("SHA256", k.SHA256, "a hash that no other key has; "+other+" has this one", "")
	}
	s.hashes[k.SHA256] = s.label
}

func (s subject) model(m *Model) {
	s.text("Version", m.Version)
	s.text("Adapter", m.Adapter)
}

func (s subject) rule(r *Rule) {
	inRange(s, "Order", r.Order, 0, 1_000_000)
	inRange(s, "Priority", r.Priority, 0, MaxPriority)
	oneOf(s, "Capacity", r.Capacity, ruleCapacities)
	s.selector("Workspaces", r.Workspaces, KindWorkspace)
	s.selector("Routes", r.Routes, KindRoute)
	s.selector("Targets", r.Targets, KindModel)
	s.selector("Upstreams", r.Upstreams, KindUpstream)
}

// selector checks the terms on labels that the system adds. Others may refer
// to labels that operators are yet to write.
func (s subject) selector(field string, sel selector.Selector, kind Kind) {
	for _, t := range sel.Terms() {
		var known []string
		switch {
		case !slices.Contains(systemLabels, t.Key):
			continue
		case t.Key == LabelOwner:
			known = s.names[ID{Kind: KindOwner}]
		case kind != KindUpstream:
			s.report(field, FormatValue(sel), "a selector without "+FormatValue(t.Key)+", a label that only upstreams have", "")
			continue
		case t.Key == LabelCapacity:
			known = []string{string(Reserved), string(Reclaimable)}
		default:
			continue
		}
		for _, value := range t.Values {
			if !slices.Contains(known, value) {
				s.report(field, FormatValue(sel), FormatValue(t.Key)+" to be one of "+strings.Join(known, ", "), Suggest(value, known))
			}
		}
	}
}

func (s subject) name(field, value string) {
	if len(value) > maxNameBytes || selector.CheckWord(value) != nil || strings.Contains(value, "/") {
		s.report(field, FormatValue(value), nameRule, "")
	}
}

func (s subject) labelPair(key, value string) {
	if problem, allowed := labelFault(key, value); allowed != "" {
		path := s.path("Labels", key)
		s.source.Report(Problem{Object: s.label, Field: "Labels." + key, Value: FormatValue(problem), Allowed: allowed}, path...)
	}
}

// labelFault returns the faulty part of a label and what is allowed, or "".
func labelFault(key, value string) (found, allowed string) {
	switch {
	case slices.Contains(systemLabels, key):
		return key, "another key; the system sets " + strings.Join(systemLabels, ", ")
	case len(key) > maxNameBytes || selector.CheckWord(key) != nil:
		return key, "a key of " + labelRule
	case len(value) > maxNameBytes || selector.CheckWord(value) != nil:
		return value, "a value of " + labelRule
	default:
		return "", ""
	}
}

func (s subject) text(field, value string) {
	if len(value) > maxTextBytes || strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		s.report(field, FormatValue(value), fmt.Sprintf("at most %d bytes without spaces", maxTextBytes), "")
	}
}

func (s subject) reference(field, value string, to ID) {
	names := s.names[to]
	to.Name = value
	if s.known[to] && value != "" {
		return
	}
	allowed := "the name of a configured " + string(to.Kind)
	if to.Kind != KindOwner {
		allowed += " of the same owner"
	}
	s.report(field, FormatValue(value), allowed, Suggest(value, names))
}

// report adds a problem unless the setting couldn't even be read.
func (s subject) report(field, found, allowed, near string) {
	p := Problem{Object: s.label, Field: field, Value: found, Allowed: allowed, Suggestion: near}
	if found == `""` && !s.source.IsDefined(s.path(field)...) {
		p.Value = "nothing"
	}
	if !s.source.IsUndecodable(s.path(field)...) {
		s.source.Report(p, s.path(field)...)
	}
}

func (s subject) path(field ...string) []string {
	return append([]string{string(s.kind), strconv.Itoa(s.index)}, field...)
}

func (s subject) leftOut(field string) bool { return !s.source.IsDefined(s.path(field)...) }

func oneOf[T ~string](s subject, field string, value T, allowed []T) {
	if slices.Contains(allowed, value) || value == "" && s.leftOut(field) {
		return
	}
	var names []string
	for _, a := range allowed {
		names = append(names, string(a))
	}
	s.report(field, FormatValue(value), "one of "+strings.Join(names, ", "), Suggest(string(value), names))
}

// inRange also refuses NaN, which compares as false.
func inRange[T cmp.Ordered](s subject, field string, value, low, high T) {
	var zero T
	if value >= low && value <= high || value == zero && s.leftOut(field) {
		return
	}
	s.report(field, FormatValue(value), FormatValue(low)+" to "+FormatValue(high), "")
}

func showAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return `""`
	}
	return FormatValue(a)
}

func atLine(line int) string {
	if line == 0 {
		return ""
	}
	return "; line " + strconv.Itoa(line) + " has this one"
}
