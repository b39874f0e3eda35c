package fleet

import (
	"slices"
	"strings"

	"github.com/guavagauge/guavagauge/selector"
)

type (
	// ruleBits has a bit for each rule, in the order in which they are tried.
	ruleBits []uint64

	// matcher finds the rules whose selector of one part of the work
	// (workspace, route or target) matches a label set. Equal selectors are
	// matched once.
	matcher struct {
		selectors []selector.Selector
		rules     []ruleBits // for each selector
		words     int
	}

	// groups maps label sets to what was computed for the first object that had
	// the set. Objects share label sets, so there are far fewer sets.
	groups[T any] struct {
		byLabels map[string]T
		compute  func(selector.Labels) T
		buffer   []byte
		keys     []string
	}
)

func newMatcher(rules []*Rule, part func(*Rule) selector.Selector) (m matcher) {
	m.words = (len(rules) + 63) / 64
	index := map[string]int{}
	for i, r := range rules {
		s := part(r)
		at, ok := index[s.String()]
		if !ok {
			at = len(m.selectors)
			index[s.String()] = at
			m.selectors = append(m.selectors, s)
			m.rules = append(m.rules, make(ruleBits, m.words))
		}
		m.rules[at].set(i)
	}
	return m
}

func (m *matcher) match(labels selector.Labels) (bits ruleBits) {
	bits = make(ruleBits, m.words)
	for i, s := range m.selectors {
		if s.Matches(labels) {
			for word, rules := range m.rules[i] {
				bits[word] |= rules
			}
		}
	}
	return bits
}

func (b ruleBits) set(i int) { b[i/64] |= 1 << (i % 64) }

func (b ruleBits) has(i int) bool { return b[i/64]&(1<<(i%64)) != 0 }

func newGroups[T any](compute func(selector.Labels) T) *groups[T] {
	return &groups[T]{byLabels: map[string]T{}, compute: compute}
}

// of returns the value for an object's own labels and the system labels that
// add returns.
func (g *groups[T]) of(own selector.Labels, system func() selector.Labels, distinct ...string) T {
	g.keys = g.keys[:0]
	for key := range own {
		g.keys = append(g.keys, key)
	}
	slices.Sort(g.keys)
	g.buffer = g.buffer[:0]
	for _, word := range distinct {
		g.buffer = append(append(g.buffer, word...), 0)
	}
	for _, key := range g.keys {
		g.buffer = append(append(g.buffer, key...), 0)
		g.buffer = append(append(g.buffer, own[key]...), 0)
	}
	if value, ok := g.byLabels[string(g.buffer)]; ok {
		return value
	}
	value := g.compute(system())
	g.byLabels[strings.Clone(string(g.buffer))] = value
	return value
}
