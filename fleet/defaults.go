package fleet

import (
	"math"
	"slices"
	"time"
)

// The values of settings that a configuration leaves out. A workspace's Burst
// is its requests of one second.
const (
	DefaultWeight       = 1
	DefaultSlots        = 1
	DefaultMaxBodyBytes = 1 << 20
	DefaultDeadline     = 30 * time.Second
)

var defaultMethods = []string{"GET"}

// fillDefaults sets every setting that was left out. Calls on a route may not
// be repeated unless the operator says so, because a wrong Idempotent would run
// an entry twice and a wrong NonIdempotent only costs a retry.
func (c *Config) fillDefaults() {
	c.dropEmptyLabels()
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		fill(&u.Capacity, Reserved)
		fill(&u.State, Active)
		fill(&u.Slots, DefaultSlots)
		if u.IsEngine() {
			fill(&u.Fencing, FencingIgnored)
		}
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		fill(&w.Weight, DefaultWeight)
		if w.RequestsPerSecond > 0 {
			fill(&w.Burst, max(1, int(math.Ceil(w.RequestsPerSecond))))
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Methods) == 0 {
			r.Methods = slices.Clone(defaultMethods)
		}
		fill(&r.Repeat, NonIdempotent)
		fill(&r.Deadline, DefaultDeadline)
		fill(&r.MaxBodyBytes, DefaultMaxBodyBytes)
	}
	for i := range c.Rules {
		fill(&c.Rules[i].Capacity, AnyCapacity)
	}
}

// dropEmptyLabels makes an empty table of labels equal to a missing one.
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

func fill[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
