// Package fleet defines the operators' configuration: its objects, its TOML
// format, its validation, and the compiled read-only Snapshot that serves
// requests.
//
// # Usage
//
//	config, problems := fleet.Parse("fleet.toml", text)
//	snapshot := fleet.Compile(config, revision)
//	workspace, keyID, ok := snapshot.Authenticate(secret)
//	route, ok := snapshot.MatchRoute(method, path)
//	service, ok := snapshot.ServiceFor(route)
//	placement, ok := snapshot.Decide(fleet.Query{Workspace: workspace, Route: route, Target: service})
//
// Two owners may use the same names, so an object is identified by its owner,
// kind and name. A reference by name refers to an object of the same owner.
//
// The operator API parses, checks and compares configurations and stores them as
// entries. Nodes decode the entries, compile the configuration, and place
// requests with the snapshot. The command line parses files to check and explain
// them. Package settings uses Decode and Problem for settings files.
//
// # Errors
//
// Parse and Check return all problems of a configuration, and a configuration
// with problems must not be applied. FromEntries returns an error if any entry
// can't be decoded; a node then keeps the configuration that it has. Compile never
// fails. It omits invalid keys, and lookups of missing objects report ok = false.
package fleet

import (
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/selector"
)

// The kinds of configuration objects.
const (
	KindOwner     Kind = "Owner"
	KindUpstream  Kind = "Upstream"
	KindWorkspace Kind = "Workspace"
	KindRoute     Kind = "Route"
	KindService   Kind = "Service"
	KindModel     Kind = "Model"
	KindRule      Kind = "Rule"
	KindKey       Kind = "Key"
)

const (
	// Reserved upstreams run until the system stops them.
	Reserved CapacityType = "Reserved"
	// Reclaimable upstreams are cheaper. The platform may stop them with a few
	// seconds' notice, possibly a whole failure domain at once.
	Reclaimable CapacityType = "Reclaimable"
	// AnyCapacity lets a rule use both types.
	AnyCapacity CapacityType = "Any"

	// FencingChecked engines reject orders with an outdated fencing token. Orders
	// change the role, models or availability of an engine; see package engine.
	FencingChecked Fencing = "Checked"
	// FencingIgnored engines accept orders with any fencing token. They get no
	// orders until those of the previous lease holder have ended.
	FencingIgnored Fencing = "Ignored"

	// Idempotent calls may run more than once.
	Idempotent RetryClass = "Idempotent"
	// NonIdempotent calls must run at most once.
	NonIdempotent RetryClass = "Never"

	// Active upstreams accept new requests.
	Active State = "Active"
	// Draining upstreams finish their running requests and accept no new ones.
	Draining State = "Draining"

	// MaxPriority is the highest priority of a rule; 0 is the lowest. Queues have
	// a list of requests for each priority. A higher priority only lets a request
	// overtake a limited amount of earlier work; see package policy.
	MaxPriority = 9
)

// The labels that the system sets, for use in selectors. All objects have
// LabelOwner; only upstreams have the others.
const (
	LabelOwner         = "owner"
	LabelFailureDomain = "failure-domain"
	LabelRegion        = "region"
	LabelCapacity      = "capacity"
)

type (
	// Kind is the kind of a configuration object.
	Kind string
	// CapacityType is the type of capacity that an upstream is, or that a rule
	// requires.
	CapacityType string
	// Fencing says whether an engine checks the fencing token of orders.
	Fencing string
	// RetryClass says whether a call may be retried if it may have run already.
	RetryClass string
	// State says whether an upstream accepts new requests.
	State string

	// ID identifies an object. Names are unique only within an owner and kind.
	ID struct {
		Owner string `cbor:"1,keyasint,omitzero"`
		Kind  Kind   `cbor:"2,keyasint,omitzero"`
		Name  string `cbor:"3,keyasint,omitzero"`
	}

	// Meta is the part that all objects except owners have in common.
	Meta struct {
		Owner  string          `json:",omitempty"`
		Name   string          `json:",omitempty"`
		Labels selector.Labels `json:",omitempty" toml:",omitempty"`
	}

	// Owner is an organization whose fleet was merged into this one. All other
	// objects belong to an owner.
	Owner struct {
		Name   string
		Labels selector.Labels `json:",omitempty" toml:",omitempty"`
	}

	// Upstream is a model engine, or a worker of a plain HTTP service if Service
	// is set. Fencing and Pieces aren't allowed for workers.
	Upstream struct {
		Meta
		Address       netip.AddrPort
		FailureDomain string
		Region        string
		Service       string       `json:",omitempty" toml:",omitempty"`
		Capacity      CapacityType // Reserved or Reclaimable
		Fencing       Fencing      `json:",omitempty" toml:",omitempty"` // engines only
		Slots         int          // requests that run at the same time
		Pieces        int          `json:",omitempty" toml:",omitempty"` // KV cache size in pieces of 1,024 tokens
		State         State

		qualifiedName string // result of QualifiedName; set only in snapshots, to avoid the allocation
	}

	// Workspace is a tenant. Models selects which of the owner's models it may
	// use. RequestsPerSecond, Burst and Concurrent apply to the whole fleet, and
	// each node enforces its share. Without RequestsPerSecond or Concurrent, there
	// is no such limit.
	Workspace struct {
		Meta
		Weight            int // share of an upstream's time under contention
		RequestsPerSecond float64
		Burst             int // requests that may arrive at once despite RequestsPerSecond
		Concurrent        int // requests that run or wait at the same time
		Models            selector.Selector

		qualifiedName string // result of QualifiedName; set only in snapshots, to avoid the allocation
	}

	// Key is an API key for a workspace of the same owner. The configuration has
	// only the SHA-256 hash of its secret.
	Key struct {
		Meta
		Workspace string
		SHA256    string // hexadecimal
	}

	// Model is a language model that engines can load.
	Model struct {
		Meta
		Version string `json:",omitempty" toml:",omitempty"`
		Adapter string `json:",omitempty" toml:",omitempty"`
	}

	// Service is a plain HTTP service.
	Service struct {
		Meta
	}

	// Route maps HTTP calls to a service. Path matches exactly, or as a prefix
	// if it ends in "/". The routes of the model API are built in. A node's
	// settings may limit the body below MaxBodyBytes.
	Route struct {
		Meta
		Path         string
		Methods      []string
		Service      string
		Open         bool       // callable without an API key
		Repeat       RetryClass // whether calls are Idempotent or NonIdempotent
		Deadline     time.Duration
		MaxBodyBytes int64
	}

	// Rule selects the upstreams that may run a request. Rules are tried in
	// ascending Order. The first rule whose Workspaces, Routes and Targets
	// selectors all match applies. Selectors match objects of every owner, unless
	// they select by LabelOwner; the rule's own owner doesn't restrict them.
	Rule struct {
		Meta
		Order      int
		Workspaces selector.Selector
		Routes     selector.Selector
		Targets    selector.Selector // the model's or service's labels
		Upstreams  selector.Selector
		Priority   int // 0 to MaxPriority
		Capacity   CapacityType
	}

	// Config is the whole configuration of a fleet, as written in one TOML file.
	Config struct {
		Owners     []Owner     `toml:"Owner,omitempty"`
		Upstreams  []Upstream  `toml:"Upstream,omitempty"`
		Workspaces []Workspace `toml:"Workspace,omitempty"`
		Keys       []Key       `toml:"Key,omitempty"`
		Models     []Model     `toml:"Model,omitempty"`
		Services   []Service   `toml:"Service,omitempty"`
		Routes     []Route     `toml:"Route,omitempty"`
		Rules      []Rule      `toml:"Rule,omitempty"`
	}
)

// String returns "Kind owner/name", the form used on the command line and in
// logs. For an owner it is "Owner name".
func (id ID) String() string {
	if id.Kind == KindOwner {
		return string(id.Kind) + " " + id.Name
	}
	return string(id.Kind) + " " + id.Owner + "/" + id.Name
}

// ID returns the upstream's identity.
func (u *Upstream) ID() ID { return ID{u.Owner, KindUpstream, u.Name} }

// QualifiedName returns "owner/name", which identifies the upstream in hash keys
// and metrics labels.
func (u *Upstream) QualifiedName() string {
	if u.qualifiedName != "" {
		return u.qualifiedName
	}
	return u.Owner + "/" + u.Name
}

// IsEngine reports whether the upstream is a model engine.
func (u *Upstream) IsEngine() bool { return u.Service == "" }

// ID returns the workspace's identity.
func (w *Workspace) ID() ID { return ID{w.Owner, KindWorkspace, w.Name} }

// QualifiedName returns "owner/name", which identifies the workspace in hash
// keys and metrics labels.
func (w *Workspace) QualifiedName() string {
	if w.qualifiedName != "" {
		return w.qualifiedName
	}
	return w.Owner + "/" + w.Name
}

// ID returns the key's identity.
func (k *Key) ID() ID { return ID{k.Owner, KindKey, k.Name} }

// ID returns the model's identity.
func (m *Model) ID() ID { return ID{m.Owner, KindModel, m.Name} }

// ID returns the service's identity.
func (s *Service) ID() ID { return ID{s.Owner, KindService, s.Name} }

// ID returns the route's identity.
func (r *Route) ID() ID { return ID{r.Owner, KindRoute, r.Name} }

// ID returns the rule's identity.
func (r *Rule) ID() ID { return ID{r.Owner, KindRule, r.Name} }
