// Package routing holds a configuration of routes, services and workspaces in a
// form that answers quickly which route a request takes and whose key it bears.
// A Table never changes; a new configuration is a new Table.
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
)

// What may be repeated on a route.
const (
	// Idempotent requests may run more than once.
	Idempotent RetryClass = iota
	// NonIdempotent means that a request runs at most once for each attempt of
	// a caller.
	NonIdempotent
	// Stream is answered by events, and runs at most once unless it is resumable.
	Stream
)

type (
	// RetryClass says how often a request may run.
	RetryClass uint8

	// Config is one version of the configuration.
	Config struct {
		Version    uint64
		Routes     []Route
		Services   []Service
		Workspaces []Workspace
		Limits     Limits
	}

	// Route sends the requests below a prefix of a host to services.
	Route struct {
		Name        string
		Host        string
		Prefix      string // begins and ends with a slash
		RetryClass  RetryClass
		Resumable   bool
		Anonymous   bool // requests need no key
		HasPrompt   bool // requests describe a prompt
		Timeout     time.Duration
		Objective   time.Duration // within which an answer has its full worth
		EventGap    time.Duration // longest pause between the events of an answer on time
		Priority    int           // 0 is first
		MaxAttempts int
		Targets     []Target
	}

	// Target is one of the services among which a route's requests are split.
	Target struct {
		Service string
		Weight  int
	}

	// Service is a set of like upstreams.
	Service struct {
		Name           string
		MaxConnections int // of one upstream, from all nodes together
		Engine         *Engine
		Scaling        *Scaling
	}

	// Engine describes the upstreams of a service that run a language model.
	Engine struct {
		Slots        int
		KVCapacity   int // tokens
		KVTokenBytes int // of KV cache
		LinkMbps     float64
		StageSwitch  time.Duration
		HandleTTL    time.Duration
	}

	// Scaling bounds the upstreams that may be ordered in a failure domain.
	Scaling struct {
		Min, Max    int
		Boot        time.Duration
		SpotPrice   float64            // share of the price of an upstream that isn't reclaimable
		DomainPrice map[string]float64 // of a second of an upstream
	}

	// Workspace is a paying user, known by its keys.
	Workspace struct {
		Name     string
		Keys     []string
		Priority *int // goes before that of the route
	}

	// Limits bound what a caller may send.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Table answers questions about one configuration. It is safe for concurrent
	// use.
	Table struct {
		Config
		hosts    map[string]map[string]*Route // by host, then prefix
		keys     map[string]*Workspace
		services map[string]*Service
	}
)

// NewTable prepares a configuration for look-ups.
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

// Route returns the route of a host with the longest prefix that begins path.
func (t *Table) Route(host, path string) (route *Route, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := t.hosts[strings.ToLower(host)]
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if route, ok = prefixes[path[:end]]; ok {
			return route, true
		}
	}
	return nil, false
}

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (workspace *Workspace, ok bool) {
	workspace, ok = t.keys[key]
	return workspace, ok
}

// Service returns a service by its name.
func (t *Table) Service(name string) (service *Service, ok bool) {
	service, ok = t.services[name]
	return service, ok
}

// PickService returns the service for a number that is drawn evenly from
// [0, 1).
func (r *Route) PickService(draw float64) (service string) {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	at := draw * float64(total)
	for _, target := range r.Targets {
		if at -= float64(target.Weight); at < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Retryable reports whether a request that may have run can be sent again.
func (r *Route) Retryable() bool {
	return r.RetryClass == Idempotent || r.RetryClass == Stream && r.Resumable
}
