// Package routing indexes a configuration of routes, services and workspaces, to
// look up the route of a request and the workspace of its API key. A Table is
// immutable; each version of the configuration gets a new one. Package platform
// decodes the configuration, and package entry builds the table and looks up each
// request. Packages dispatch and scaling use the description of a service.
//
// The configuration isn't validated here. If two routes have the same host and
// prefix, or two workspaces the same key, or two services the same name, the last
// one is found.
//
// # Usage
//
//	table := routing.NewTable(config)
//	route, ok := table.Route("files.example", "/lots/17")
//	workspace, ok := table.Workspace(key)
package routing

import (
	"net"
	"strings"
	"time"

	"github.com/guavagauge/guavagauge/quota"
)

// Retry classes of a route.
const (
	// Idempotent means that a request may run more than once. It can be
	// retried after a response with a server error too.
	Idempotent RetryClass = iota
	// NonIdempotent means that a request runs at most once for each attempt of
	// the caller.
	NonIdempotent
	// Stream means that the response is a stream of events. A request runs at
	// most once unless the route is resumable.
	Stream
)

type (
	// RetryClass determines whether a request that may have run can be retried.
	RetryClass uint8

	// Config is one version of the configuration.
	Config struct {
		Version    uint64
		Routes     []Route
		Services   []Service
		Workspaces []Workspace
		Limits     Limits
	}

	// Route maps the requests of a host and path prefix to services.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash. Without the latter, it matches only
		// that path.
		Prefix     string
		RetryClass RetryClass
		Resumable  bool // a stream can be continued after its last event
		Anonymous  bool // requests need no API key
		HasPrompt  bool // requests describe a prompt; not used by the node
		// Timeout bounds the time from the arrival of a request to the end of the
		// response. A caller can set a shorter deadline.
		Timeout time.Duration
		// Objective is the latency within which a response has its full value.
		// Streams whose expected wait exceeds it by too much are refused.
		Objective time.Duration
		// EventGap is the longest pause between the events of a response that is on
		// time. The node doesn't use it.
		EventGap time.Duration
		Priority int // 0 is the highest
		// MaxAttempts is the number of runs after which a request that may have run
		// isn't retried. Attempts that didn't run don't count.
		MaxAttempts int
		Targets     []Target
	}

	// Target is one of the services among which a route splits its requests, in
	// proportion to their weights.
	Target struct {
		Service string
		Weight  int
	}

	// Service is a set of interchangeable upstreams.
	Service struct {
		Name           string
		MaxConnections int      // to one upstream, from all nodes together; not enforced by the node
		Engine         *Engine  // nil if the service doesn't run a language model
		Scaling        *Scaling // nil if nodes don't order its upstreams
	}

	// Engine describes the upstreams of a service that runs a language model.
	Engine struct {
		Slots        int           // requests that an engine serves at the same time; 0 if unlimited
		KVCapacity   int           // tokens; 0 if unknown
		KVTokenBytes int           // size of a token in the KV cache
		LinkMbps     float64       // of KV transfers within a failure domain; 0 if they take no time
		StageSwitch  time.Duration // time to change the stage of an engine
		HandleTTL    time.Duration // of KV handles; not used by the node
	}

	// Scaling determines the number of a service's upstreams in a failure domain.
	Scaling struct {
		Min, Max  int           // of reserved upstreams; of all upstreams
		Boot      time.Duration // time to start an upstream
		SpotPrice float64       // as a fraction of the price of a reserved upstream; not used by the node
		// DomainPrice is the price of an upstream for a second, by failure domain.
		// The service is scaled in the domains that it lists.
		DomainPrice map[string]float64
	}

	// Workspace is a paying customer, identified by its API keys.
	Workspace struct {
		Name     string
		Keys     []string
		Priority *int // overrides that of the route, if set
		Quota    quota.Quota
	}

	// Limits bound the requests and connections of callers. The node enforces only
	// BodyBytes.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64 // 0 or less means the node's default
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Table is an index of one configuration. It is safe for concurrent use, as
	// callers don't modify what its methods return.
	Table struct {
		Config
		hosts    map[string]map[string]*Route // by host, then prefix
		keys     map[string]*Workspace
		services map[string]*Service
	}
)

// NewTable returns an index of a configuration.
func NewTable(config Config) (table *Table) {
	table = &Table{
		Config: config, hosts: map[string]map[string]*Route{}, keys: map[string]*Workspace{}, services: map[string]*Service{},
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		host := strings.ToLower(route.Host)
		if table.hosts[host] == nil {
			table.hosts[host] = map[string]*Route{}
		}
		table.hosts[host][route.Prefix] = route
	}
	for i := range table.Workspaces {
		for _, key := range table.Workspaces[i].Keys {
			table.keys[key] = &table.Workspaces[i]
		}
	}
	for i := range table.Services {
		table.services[table.Services[i].Name] = &table.Services[i]
	}
	return table
}

// Route returns the route of a host whose prefix is the longest that matches path.
// The port in host and the case of its letters are ignored.
func (t *Table) Route(host, path string) (route *Route, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := t.hosts[strings.ToLower(host)]
	// Tries the whole path, and then every shorter prefix that ends with a slash.
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if route, ok = prefixes[path[:end]]; ok {
			return route, true
		}
	}
	return nil, false
}

// Workspace returns the workspace to which an API key belongs.
func (t *Table) Workspace(key string) (workspace *Workspace, ok bool) {
	workspace, ok = t.keys[key]
	return workspace, ok
}

// Service returns the service with that name.
func (t *Table) Service(name string) (service *Service, ok bool) {
	service, ok = t.services[name]
	return service, ok
}

// PickService returns the service of a target chosen in proportion to its weight.
// The caller draws a number uniformly from [0, 1). If all weights are 0, the first
// target is chosen. The service is empty if there are no targets.
func (r *Route) PickService(draw float64) (service string) {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * float64(total)
	for _, target := range r.Targets {
		if remaining -= float64(target.Weight); remaining < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Retryable reports whether a request that may have run can be retried.
func (r *Route) Retryable() bool {
	return r.RetryClass == Idempotent || r.RetryClass == Stream && r.Resumable
}
