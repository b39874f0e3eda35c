package fleet

import (
	"slices"
	"strings"

	"github.com/guavagauge/guavagauge/selector"
)

type (
	// ruleBits is a set of rules, with a bit for each rule in the order in which
	// rules are tried.
	ruleBits []uint64

	// matcher finds the rules whose selector for one part of a query (workspace,
	// route or target) matches a label set. Rules with the same selector share
	// one evaluation.
	matcher struct {
		selectors []selector.Selector
		rules     []ruleBits // rules of each selector
		words     int        // length of ruleBits
	}

	// labelSetCache caches a value computed from a label set. There are far fewer
	// distinct label sets than objects.
	labelSetCache[T any] struct {
		byLabels map[string]T
		compute  func(selector.Labels) T
		buffer   []byte   // reused to build cache keys
		keys     []string // reused to sort label keys
	}
)

// newMatcher returns a matcher for the selectors that part returns for the rules.
func newMatcher(rules []*Rule, part func(*Rule) selector.Selector) (m matcher) {
	m.words = (len(rules) + 63) / 64
	positions := map[string]int{}
	for i, r := range rules {
		s := part(r)
		position, ok := positions[s.String()]
		if !ok {
			position = len(m.selectors)
			positions[s.String()] = position
			m.selectors = append(m.selectors, s)
			m.rules = append(m.rules, make(ruleBits, m.words))
		}
		m.rules[position].set(i)
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

func newLabelSetCache[T any](compute func(selector.Labels) T) *labelSetCache[T] {
	return &labelSetCache[T]{byLabels: map[string]T{}, compute: compute}
}

// get returns the value for an object's labels. If the value isn't cached, get
// computes it from the result of allLabels. The cache key consists of ownLabels,
// the labels that operators set, and systemValues, the values of the labels that
// the system sets. To keep cache keys unambiguous, all calls for one cache must
// pass the same number of systemValues.
func (c *labelSetCache[T]) get(ownLabels selector.Labels, allLabels func() selector.Labels, systemValues ...string) T {
	c.keys = c.keys[:0]
	for key := range ownLabels {
		c.keys = append(c.keys, key)
	}
	slices.Sort(c.keys)
	c.buffer = c.buffer[:0]
	for _, word := range systemValues {
		c.buffer = append(append(c.buffer, word...), 0)
	}
	for _, key := range c.keys {
		c.buffer = append(append(c.buffer, key...), 0)
		c.buffer = append(append(c.buffer, ownLabels[key]...), 0)
	}
	if value, ok := c.byLabels[string(c.buffer)]; ok {
		return value
	}
	value := c.compute(allLabels())
	c.byLabels[strings.Clone(string(c.buffer))] = value
	return value
}
