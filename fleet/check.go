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
	// maxNameBytes limits names, label keys and label values, which become
	// metrics labels and parts of store keys. It is in nameRule and labelRule too.
	maxNameBytes = 63
	maxTextBytes = 256 // of a model's Version or Adapter
	nameRule     = "1 to 63 letters, digits and -_."
	labelRule    = "1 to 63 letters, digits and -_./"
)

type (
	// checker checks a configuration. Its maps hold what the check of one object
	// needs to know about the others.
	checker struct {
		config            *Config
		source            *ParsedFile
		names             map[ID][]string           // names of the owners, workspaces and services of each owner, by an ID without Name
		registered        map[ID]bool               // whether names has the object
		lineOfObject      map[ID]int                // of the objects checked so far
		upstreamByAddress map[netip.AddrPort]string // display names
		keyByHash         map[string]string         // display names
		regionOfDomain    map[string]string         // by failure domain
		routeByCall       map[string]string         // display names, by method and path
	}

	// objectChecker checks one object.
	objectChecker struct {
		*checker
		kind        Kind
		index       int
		owner       string
		displayName string // the object's name in problems
	}
)

var (
	systemLabels = []string{LabelOwner, LabelFailureDomain, LabelRegion, LabelCapacity}

	capacities     = []CapacityType{Reserved, Reclaimable}
	ruleCapacities = []CapacityType{Reserved, Reclaimable, AnyCapacity}
	fencings       = []Fencing{FencingChecked, FencingIgnored}
	retryClasses   = []RetryClass{Idempotent, NonIdempotent}
	states         = []State{Active, Draining}
)

// check reports all problems of config to source. It runs before the defaults
// are set, because a zero value is a problem only if the file has it.
func check(config *Config, source *ParsedFile) {
	c := &checker{
		config:            config,
		source:            source,
		names:             map[ID][]string{},
		registered:        map[ID]bool{},
		lineOfObject:      map[ID]int{},
		upstreamByAddress: map[netip.AddrPort]string{},
		keyByHash:         map[string]string{},
		regionOfDomain:    map[string]string{},
		routeByCall:       map[string]string{},
	}
	for i := range config.Owners {
		c.register(KindOwner, &Meta{Name: config.Owners[i].Name})
	}
	for i := range config.Workspaces {
		c.register(KindWorkspace, &config.Workspaces[i].Meta)
	}
	for i := range config.Services {
		c.register(KindService, &config.Services[i].Meta)
	}
	c.checkObjects()
}

func (c *checker) checkObjects() {
	for i := range c.config.Owners {
		o := &c.config.Owners[i]
		c.checkCommon(KindOwner, i, &Meta{Owner: o.Name, Name: o.Name, Labels: o.Labels})
	}
	for i := range c.config.Upstreams {
		c.checkCommon(KindUpstream, i, &c.config.Upstreams[i].Meta).checkUpstream(&c.config.Upstreams[i])
	}
	for i := range c.config.Workspaces {
		c.checkCommon(KindWorkspace, i, &c.config.Workspaces[i].Meta).checkWorkspace(&c.config.Workspaces[i])
	}
	for i := range c.config.Keys {
		c.checkCommon(KindKey, i, &c.config.Keys[i].Meta).checkKey(&c.config.Keys[i])
	}
	for i := range c.config.Models {
		c.checkCommon(KindModel, i, &c.config.Models[i].Meta).checkModel(&c.config.Models[i])
	}
	for i := range c.config.Services {
		c.checkCommon(KindService, i, &c.config.Services[i].Meta)
	}
	for i := range c.config.Routes {
		c.checkCommon(KindRoute, i, &c.config.Routes[i].Meta).checkRoute(&c.config.Routes[i])
	}
	for i := range c.config.Rules {
		c.checkCommon(KindRule, i, &c.config.Rules[i].Meta).checkRule(&c.config.Rules[i])
	}
}

// register adds an object to those that other objects may refer to.
func (c *checker) register(kind Kind, m *Meta) {
	list, id := ID{Owner: m.Owner, Kind: kind}, ID{m.Owner, kind, m.Name}
	if !c.registered[id] {
		c.names[list] = append(c.names[list], m.Name)
	}
	c.registered[id] = true
}

// checkCommon checks what all objects have in common and returns a checker for
// the fields of the object's kind.
func (c *checker) checkCommon(kind Kind, index int, m *Meta) (s objectChecker) {
	s = objectChecker{checker: c, kind: kind, index: index, owner: m.Owner, displayName: objectName(kind, m.Owner, m.Name, index)}
	s.checkName("Name", m.Name)
	if kind != KindOwner {
		s.checkReference("Owner", m.Owner, ID{Kind: KindOwner})
	}
	for _, key := range sortedKeys(m.Labels) {
		s.checkLabel(key, m.Labels[key])
	}
	id := ID{m.Owner, kind, m.Name}
	if line, ok := c.lineOfObject[id]; ok && m.Name != "" {
		s.report("Name", FormatValue(m.Name), "a name unique among objects of kind "+string(kind)+" with the same owner"+usedAtLine(line), "")
	}
	c.lineOfObject[id] = c.source.lines.find(s.settingPath("Name")...)
	return s
}

func (s objectChecker) checkUpstream(u *Upstream) {
	if !u.Address.IsValid() || u.Address.Port() == 0 || u.Address.Addr().IsUnspecified() || u.Address.Addr().IsMulticast() {
		s.report("Address", formatAddress(u.Address), `the upstream's IP address and port, such as "10.0.0.7:9000"`, "")
	}
	unmapped := netip.AddrPortFrom(u.Address.Addr().Unmap(), u.Address.Port())
	if other, ok := s.upstreamByAddress[unmapped]; ok && u.Address.IsValid() {
		s.report("Address", formatAddress(u.Address), "a unique address; "+other+" already uses it", "")
	}
	s.upstreamByAddress[unmapped] = s.displayName
	s.checkName("FailureDomain", u.FailureDomain)
	s.checkName("Region", u.Region)
	if region, ok := s.regionOfDomain[u.FailureDomain]; ok && region != u.Region && u.Region != "" {
		s.report("Region", FormatValue(u.Region), FormatValue(region)+", the region of the other upstreams in failure domain "+FormatValue(u.FailureDomain), "")
	}
	if _, ok := s.regionOfDomain[u.FailureDomain]; !ok {
		s.regionOfDomain[u.FailureDomain] = u.Region
	}
	checkOneOf(s, "Capacity", u.Capacity, capacities)
	checkOneOf(s, "State", u.State, states)
	checkRange(s, "Slots", u.Slots, 1, 4096)
	checkRange(s, "Pieces", u.Pieces, 0, 1<<24)
	if u.IsEngine() {
		checkOneOf(s, "Fencing", u.Fencing, fencings)
		return
	}
	s.checkReference("Service", u.Service, ID{u.Owner, KindService, ""})
	if u.Fencing != "" {
		s.report("Fencing", FormatValue(u.Fencing), "no value, because a service's worker receives no orders", "")
	}
	if u.Pieces != 0 {
		s.report("Pieces", FormatValue(u.Pieces), "no value, because a service's worker has no KV cache", "")
	}
}

func (s objectChecker) checkWorkspace(w *Workspace) {
	checkRange(s, "Weight", w.Weight, 1, 1000)
	checkRange(s, "RequestsPerSecond", w.RequestsPerSecond, 0, 1e6)
	checkRange(s, "Burst", w.Burst, 0, 1_000_000)
	checkRange(s, "Concurrent", w.Concurrent, 0, 1_000_000)
	s.checkSelector("Models", w.Models, KindModel)
}

func (s objectChecker) checkKey(k *Key) {
	s.checkReference("Workspace", k.Workspace, ID{k.Owner, KindWorkspace, ""})
	if len(k.SHA256) != 64 || strings.Trim(k.SHA256, "0123456789abcdef") != "" {
		s.report("SHA256", k.SHA256, "the secret's SHA-256 hash as 64 hexadecimal digits in lower case", "")
		return
	}
	if other, ok := s.keyByHash[k.SHA256]; ok {
		s.report("SHA256", k.SHA256, "a unique hash; "+other+" already uses it", "")
	}
	s.keyByHash[k.SHA256] = s.displayName
}

func (s objectChecker) checkModel(m *Model) {
	s.checkText("Version", m.Version)
	s.checkText("Adapter", m.Adapter)
}

// checkRule checks Targets like a selector of models. Services have the same
// system labels.
func (s objectChecker) checkRule(r *Rule) {
	checkRange(s, "Order", r.Order, 0, 1_000_000)
	checkRange(s, "Priority", r.Priority, 0, MaxPriority)
	checkOneOf(s, "Capacity", r.Capacity, ruleCapacities)
	s.checkSelector("Workspaces", r.Workspaces, KindWorkspace)
	s.checkSelector("Routes", r.Routes, KindRoute)
	s.checkSelector("Targets", r.Targets, KindModel)
	s.checkSelector("Upstreams", r.Upstreams, KindUpstream)
}

// checkSelector checks the terms for labels that the system sets on objects of
// the kind. Other terms may refer to labels that operators haven't set yet.
func (s objectChecker) checkSelector(field string, sel selector.Selector, kind Kind) {
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

func (s objectChecker) checkName(field, value string) {
	if len(value) > maxNameBytes || selector.CheckWord(value) != nil || strings.Contains(value, "/") {
		s.report(field, FormatValue(value), nameRule, "")
	}
}

func (s objectChecker) checkLabel(key, value string) {
	if found, allowed := invalidLabelPart(key, value); allowed != "" {
		path := s.settingPath("Labels", key)
		s.source.Report(Problem{Object: s.displayName, Field: "Labels." + key, Value: FormatValue(found), Allowed: allowed}, path...)
	}
}

// invalidLabelPart returns the key or value that makes a label invalid and a
// description of what is allowed. allowed is "" if the label is valid.
func invalidLabelPart(key, value string) (found, allowed string) {
	switch {
	case slices.Contains(systemLabels, key):
		return key, "a key other than those that the system sets: " + strings.Join(systemLabels, ", ")
	case len(key) > maxNameBytes || selector.CheckWord(key) != nil:
		return key, "a key of " + labelRule
	case len(value) > maxNameBytes || selector.CheckWord(value) != nil:
		return value, "a value of " + labelRule
	default:
		return "", ""
	}
}

func (s objectChecker) checkText(field, value string) {
	if len(value) > maxTextBytes || strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		s.report(field, FormatValue(value), fmt.Sprintf("at most %d bytes without spaces or control characters", maxTextBytes), "")
	}
}

// checkReference checks that value names an object of the owner and kind in to,
// an ID without Name.
func (s objectChecker) checkReference(field, value string, to ID) {
	names := s.names[to]
	to.Name = value
	if s.registered[to] && value != "" {
		return
	}
	allowed := "the name of a configured " + string(to.Kind)
	if to.Kind != KindOwner {
		allowed += " of the same owner"
	}
	s.report(field, FormatValue(value), allowed, Suggest(value, names))
}

// report adds a problem of a setting, unless the setting couldn't be decoded,
// which is a problem already.
func (s objectChecker) report(field, found, allowed, suggestion string) {
	p := Problem{Object: s.displayName, Field: field, Value: found, Allowed: allowed, Suggestion: suggestion}
	if found == `""` && !s.source.IsDefined(s.settingPath(field)...) {
		p.Value = "nothing"
	}
	if !s.source.IsUndecodable(s.settingPath(field)...) {
		s.source.Report(p, s.settingPath(field)...)
	}
}

// settingPath returns the path of a setting of the object, as in lineIndex.
func (s objectChecker) settingPath(field ...string) []string {
	return append([]string{string(s.kind), strconv.Itoa(s.index)}, field...)
}

func (s objectChecker) isUnset(field string) bool {
	return !s.source.IsDefined(s.settingPath(field)...)
}

func checkOneOf[T ~string](s objectChecker, field string, value T, allowed []T) {
	if slices.Contains(allowed, value) || value == "" && s.isUnset(field) {
		return
	}
	var names []string
	for _, a := range allowed {
		names = append(names, string(a))
	}
	s.report(field, FormatValue(value), "one of "+strings.Join(names, ", "), Suggest(string(value), names))
}

// checkRange reports values outside low to high, and NaN, whose comparisons are
// all false. It allows a zero value that the text doesn't have, which gets the
// default later.
func checkRange[T cmp.Ordered](s objectChecker, field string, value, low, high T) {
	var zero T
	if value >= low && value <= high || value == zero && s.isUnset(field) {
		return
	}
	s.report(field, FormatValue(value), FormatValue(low)+" to "+FormatValue(high), "")
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return `""`
	}
	return FormatValue(a)
}

func usedAtLine(line int) string {
	if line == 0 {
		return ""
	}
	return "; line " + strconv.Itoa(line) + " already uses it"
}
