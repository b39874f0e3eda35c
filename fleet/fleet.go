// Package fleet holds the operators' configuration: its objects, its TOML
// format, its checks, and the compiled read-only Snapshot that requests read.
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
// kind and name, and a reference by name means the same owner's object.
package fleet

import (
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/selector"
)

// The kinds of object.
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
	// Reserved upstreams stay until they are stopped by an order.
	Reserved CapacityType = "Reserved"
	// Reclaimable upstreams are cheaper and may be taken away on a few seconds'
	// notice, a whole failure domain at a time.
	Reclaimable CapacityType = "Reclaimable"
	// AnyCapacity lets a rule use both kinds.
	AnyCapacity CapacityType = "Any"

	// FencingChecked engines refuse orders with an old fencing token.
	FencingChecked Fencing = "Checked"
	// FencingIgnored engines take orders whatever their token.
	FencingIgnored Fencing = "Ignored"

	// Idempotent calls may be repeated.
	Idempotent RetryClass = "Idempotent"
	// NonIdempotent marks calls that must run at most once.
	NonIdempotent RetryClass = "Never"

	// Active upstreams take new work.
	Active State = "Active"
	// Draining upstreams finish what they have and take no new work.
	Draining State = "Draining"

	// MaxPriority is the most urgent priority of a rule; 0 is the least.
	MaxPriority = 9
)

// The labels that selectors may use without an operator writing them. All
// objects have LabelOwner, upstreams have all of them.
const (
	LabelOwner         = "owner"
	LabelFailureDomain = "failure-domain"
	LabelRegion        = "region"
	LabelCapacity      = "capacity"
)

type (
	// Kind is the kind of a configuration object.
	Kind string
	// CapacityType is the kind of capacity that an upstream is, or a rule asks
	// for.
	CapacityType string
	// Fencing says whether an engine checks the fencing token of orders.
	Fencing string
	// RetryClass says whether a call may be made again.
	RetryClass string
	// State says whether an upstream takes new work.
	State string

	// ID identifies an object. Names are unique within an owner and kind only.
	ID struct {
		Owner string `cbor:"1,keyasint,omitzero"`
		Kind  Kind   `cbor:"2,keyasint,omitzero"`
		Name  string `cbor:"3,keyasint,omitzero"`
	}

	// Meta is common to all objects.
	Meta struct {
		Owner  string          `json:",omitempty"`
		Name   string          `json:",omitempty"`
		Labels selector.Labels `json:",omitempty" toml:",omitempty"`
	}

	// Owner is a party whose fleet was merged into this one.
	Owner struct {
		Name   string
		Labels selector.Labels `json:",omitempty" toml:",omitempty"`
	}

	// Upstream is a model engine, or a worker of a plain service when Service
	// is set.
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

		key string // what QualifiedName returns; set in snapshots, to save the allocation
	}

	// Workspace is a tenant. Models selects the models that it may use. Limits
	// of zero mean no limit.
	Workspace struct {
		Meta
		Weight            int // share of an upstream's time under contention
		RequestsPerSecond float64
		Burst             int
		Concurrent        int
		Models            selector.Selector

		key string // what QualifiedName returns; set in snapshots, to save the allocation
	}

	// Key lets requests in for a workspace of the same owner. Only the SHA-256
	// hash of the secret is kept.
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

	// Service is a plain application service.
	Service struct {
		Meta
	}

	// Route maps calls to a service. Path is exact, or a prefix when it ends in
	// "/". The model API's routes are built in.
	Route struct {
		Meta
		Path         string
		Methods      []string
		Service      string
		Open         bool       // needs no key
		Repeat       RetryClass // Idempotent or NonIdempotent
		Deadline     time.Duration
		MaxBodyBytes int64
	}

	// Rule decides which work runs where. Rules are tried by rising Order; the
	// first whose three work selectors match applies.
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

	// Config is the whole configuration of a fleet, as in one TOML file.
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

// String returns the form used on the command line and in logs.
func (id ID) String() string {
	if id.Kind == KindOwner {
		return string(id.Kind) + " " + id.Name
	}
	return string(id.Kind) + " " + id.Owner + "/" + id.Name
}

// ID returns the upstream's identity.
func (u *Upstream) ID() ID { return ID{u.Owner, KindUpstream, u.Name} }

// QualifiedName returns the upstream's identity as a hash key and metrics
// label.
func (u *Upstream) QualifiedName() string {
	if u.key != "" {
		return u.key
	}
	return u.Owner + "/" + u.Name
}

// IsEngine reports whether the upstream is a model engine.
func (u *Upstream) IsEngine() bool { return u.Service == "" }

// ID returns the workspace's identity.
func (w *Workspace) ID() ID { return ID{w.Owner, KindWorkspace, w.Name} }

// QualifiedName returns the workspace's identity as a hash key and metrics
// label.
func (w *Workspace) QualifiedName() string {
	if w.key != "" {
		return w.key
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
