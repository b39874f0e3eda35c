package fleet

import (
	"cmp"
	"slices"
)

// Parse parses and validates a configuration and returns all of its problems. A
// configuration with problems must not be applied. Objects are sorted by owner
// and name, so that equal configurations compare as equal. The file name is used
// in problems only.
func Parse(file string, text []byte) (config *Config, problems []Problem) {
	config = &Config{}
	source := Decode(file, text, config)
	check(config, source)
	config.normalize()
	return config, source.SortedProblems()
}

// Check validates a configuration that wasn't read from a file, such as one that
// SetLabel changed, and returns its problems, which have no line numbers. A zero
// value counts as an omitted setting. file is the name of the configuration in
// problems. Check doesn't change config.
func Check(file string, config *Config) (problems []Problem) {
	source := &ParsedFile{File: file, lines: lineIndex{}, defined: map[string]bool{}, undecodable: map[string]bool{}}
	check(config, source)
	return source.SortedProblems()
}

// normalize fills in the defaults and sorts the objects.
func (c *Config) normalize() {
	c.fillDefaults()
	slices.SortStableFunc(c.Owners, func(a, b Owner) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Upstreams, func(a, b Upstream) int { return a.compare(&b.Meta) })
	slices.SortStableFunc(c.Workspaces, func(a, b Workspace) int { return a.compare(&b.Meta) })
	slices.SortStableFunc(c.Keys, func(a, b Key) int { return a.compare(&b.Meta) })
	slices.SortStableFunc(c.Models, func(a, b Model) int { return a.compare(&b.Meta) })
	slices.SortStableFunc(c.Services, func(a, b Service) int { return a.compare(&b.Meta) })
	slices.SortStableFunc(c.Routes, func(a, b Route) int { return a.compare(&b.Meta) })
	slices.SortStableFunc(c.Rules, func(a, b Rule) int { return a.compare(&b.Meta) })
}

func (m *Meta) compare(other *Meta) int {
	return cmp.Or(cmp.Compare(m.Owner, other.Owner), cmp.Compare(m.Name, other.Name))
}
