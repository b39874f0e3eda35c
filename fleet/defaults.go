package fleet

import (
	"math"
	"slices"
	"time"
)

// The defaults of settings that a configuration omits. Workspaces without a
// Weight have equal shares, and upstreams without Slots run one request at a
// time. A workspace's Burst defaults to the number of requests that it may send
// in one second.
const (
	DefaultWeight       = 1
	DefaultSlots        = 1
	DefaultMaxBodyBytes = 1 << 20          // of a route
	DefaultDeadline     = 30 * time.Second // of a route
)

var defaultMethods = []string{"GET"}

// fillDefaults sets every setting with a zero value to its default. If a file has
// a zero that isn't allowed, check has reported it before. Routes default to
// NonIdempotent: a route wrongly marked Idempotent could run a call twice,
// while one wrongly marked NonIdempotent only loses retries. Engines default to
// FencingIgnored, so that the planner relies on an engine's check only if an
// operator has declared it.
func (c *Config) fillDefaults() {
	c.dropEmptyLabels()
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		setDefault(&u.Capacity, Reserved)
		setDefault(&u.State, Active)
		setDefault(&u.Slots, DefaultSlots)
		if u.IsEngine() {
			setDefault(&u.Fencing, FencingIgnored)
		}
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		setDefault(&w.Weight, DefaultWeight)
		if w.RequestsPerSecond > 0 {
			setDefault(&w.Burst, max(1, int(math.Ceil(w.RequestsPerSecond))))
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Methods) == 0 {
			r.Methods = slices.Clone(defaultMethods)
		}
		setDefault(&r.Repeat, NonIdempotent)
		setDefault(&r.Deadline, DefaultDeadline)
		setDefault(&r.MaxBodyBytes, DefaultMaxBodyBytes)
	}
	for i := range c.Rules {
		setDefault(&c.Rules[i].Capacity, AnyCapacity)
	}
}

// dropEmptyLabels replaces empty label tables with nil, so that they compare as
// equal to omitted ones.
func (c *Config) dropEmptyLabels() {
	for i := range c.Owners {
		if len(c.Owners[i].Labels) == 0 {
			c.Owners[i].Labels = nil
		}
	}
	for _, m := range c.metas() {
		if len(m.Labels) == 0 {
			m.Labels = nil
		}
	}
}

func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
