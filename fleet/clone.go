package fleet

import (
	"maps"
	"slices"
)

// clone returns a copy that is unaffected by later changes to c.
func (c *Config) clone() *Config {
	d := &Config{
		Owners:     slices.Clone(c.Owners),
		Upstreams:  slices.Clone(c.Upstreams),
		Workspaces: slices.Clone(c.Workspaces),
		Keys:       slices.Clone(c.Keys),
		Models:     slices.Clone(c.Models),
		Services:   slices.Clone(c.Services),
		Routes:     slices.Clone(c.Routes),
		Rules:      slices.Clone(c.Rules),
	}
	for i := range d.Owners {
		d.Owners[i].Labels = maps.Clone(d.Owners[i].Labels)
	}
	for _, m := range d.metas() {
		m.Labels = maps.Clone(m.Labels)
	}
	for i := range d.Routes {
		d.Routes[i].Methods = slices.Clone(d.Routes[i].Methods)
	}
	return d
}

// metas returns the Meta of every object; owners have none.
func (c *Config) metas() (metas []*Meta) {
	for i := range c.Upstreams {
		metas = append(metas, &c.Upstreams[i].Meta)
	}
	for i := range c.Workspaces {
		metas = append(metas, &c.Workspaces[i].Meta)
	}
	for i := range c.Keys {
		metas = append(metas, &c.Keys[i].Meta)
	}
	for i := range c.Models {
		metas = append(metas, &c.Models[i].Meta)
	}
	for i := range c.Services {
		metas = append(metas, &c.Services[i].Meta)
	}
	for i := range c.Routes {
		metas = append(metas, &c.Routes[i].Meta)
	}
	for i := range c.Rules {
		metas = append(metas, &c.Rules[i].Meta)
	}
	return metas
}
