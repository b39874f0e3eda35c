package fleet

import "time"

// The values of settings that a configuration leaves out.
const (
	DefaultWeight       = 1
	DefaultSlots        = 1
	DefaultPriority     = 0
	DefaultMaxBodyBytes = 1 << 20
	DefaultDeadline     = 30 * time.Second
)

// fillDefaults sets every setting that was left out. Calls on a route may not
// be repeated unless the operator says so, because a wrong Idempotent would run
// an entry twice and a wrong Never only costs a retry.
func (c *Config) fillDefaults() {
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
		fill(&c.Workspaces[i].Weight, DefaultWeight)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Methods) == 0 {
			r.Methods = []string{"GET"}
		}
		fill(&r.Repeat, Never)
		fill(&r.Deadline, DefaultDeadline)
		fill(&r.MaxBodyBytes, DefaultMaxBodyBytes)
	}
	for i := range c.Rules {
		fill(&c.Rules[i].Capacity, AnyCapacity)
	}
}

func fill[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
