// Package selector parses and evaluates label selectors with equality, set and
// existence terms.
//
// # Usage
//
//	s, err := selector.Parse("tier in (large, small), pool = rulings, !suspended")
//	if s.Matches(labels) { ... }
//
// The terms are joined by commas and all must hold. The empty selector matches
// everything. The terms are:
//
//	key = value          key != value
//	key in (a, b)        key notin (a, b)
//	key                  !key
//
// As in other label systems, != and notin also hold where the key is absent.
package selector

import (
	"slices"
	"strings"

	"github.com/juju/errors"
)

const (
	exists operator = iota
	absent
	in
	notIn
)

type (
	operator uint8

	// Labels are the key-value pairs that selectors look at.
	Labels map[string]string

	// Selector is a parsed selector. The zero value matches everything.
	Selector struct {
		text  string
		terms []term
	}

	// Term is one term as Terms returns it. Values is empty for existence terms.
	Term struct {
		Key    string
		Values []string
	}

	term struct {
		key      string
		operator operator
		values   []string // sorted
	}
)

// Parse reads a selector, or fails with the term that it couldn't read.
func Parse(text string) (s Selector, err error) {
	s.text = strings.TrimSpace(text)
	for _, part := range splitTerms(s.text) {
		t, err := parseTerm(part)
		if err != nil {
			return Selector{}, err
		}
		s.terms = append(s.terms, t)
	}
	return s, nil
}

// Matches reports whether all terms hold for labels.
func (s Selector) Matches(labels Labels) bool {
	for _, t := range s.terms {
		if !t.matches(labels) {
			return false
		}
	}
	return true
}

// String returns the selector as it was written.
func (s Selector) String() string {
	return s.text
}

// MarshalText returns the selector as it was written.
func (s Selector) MarshalText() (text []byte, err error) {
	return []byte(s.text), nil
}

// UnmarshalText parses a selector from a settings file.
func (s *Selector) UnmarshalText(text []byte) (err error) {
	*s, err = Parse(string(text))
	return err
}

// Terms returns the terms in their written order, for checks of the labels
// that a selector refers to.
func (s Selector) Terms() (terms []Term) {
	for _, t := range s.terms {
		terms = append(terms, Term{Key: t.key, Values: slices.Clone(t.values)})
	}
	return terms
}

// CheckWord fails if a label key or value could not be written in a selector.
func CheckWord(word string) (err error) {
	if word == "" {
		return errors.New("it is empty")
	}
	if strings.IndexFunc(word, notWord) >= 0 {
		return errors.New("it may hold letters, digits and -_./ only")
	}
	return nil
}

func (t term) matches(labels Labels) bool {
	value, present := labels[t.key]
	switch t.operator {
	case exists:
		return present
	case absent:
		return !present
	case in:
		return present && slices.Contains(t.values, value)
	default:
		return !present || !slices.Contains(t.values, value)
	}
}

// splitTerms splits at the commas that are outside parentheses.
func splitTerms(text string) (parts []string) {
	if text == "" {
		return nil
	}
	depth, start := 0, 0
	for i, r := range text {
		switch {
		case r == '(':
			depth++
		case r == ')':
			depth--
		case r == ',' && depth == 0:
			parts = append(parts, text[start:i])
			start = i + 1
		}
	}
	return append(parts, text[start:])
}

func parseTerm(text string) (t term, err error) {
	text = strings.TrimSpace(text)
	if key, values, ok := strings.Cut(text, "("); ok {
		return parseSetTerm(text, key, values)
	}
	switch {
	case strings.Contains(text, "!="):
		return equalityTerm(text, "!=", notIn)
	case strings.Contains(text, "="):
		return equalityTerm(text, "=", in)
	case strings.HasPrefix(text, "!"):
		t = term{key: strings.TrimSpace(text[1:]), operator: absent}
	default:
		t = term{key: text, operator: exists}
	}
	return t, checkWord(text, t.key)
}

func equalityTerm(text, sign string, op operator) (t term, err error) {
	key, value, _ := strings.Cut(text, sign)
	t = term{key: strings.TrimSpace(key), operator: op, values: []string{strings.TrimSpace(value)}}
	return t, checkWord(text, append(t.values, t.key)...)
}

func parseSetTerm(text, head, rest string) (t term, err error) {
	list, tail, closed := strings.Cut(rest, ")")
	fields := strings.Fields(head)
	if !closed || strings.TrimSpace(tail) != "" || len(fields) != 2 {
		return t, errors.Errorf("selector term %q: want `key in (a, b)` or `key notin (a, b)`", text)
	}
	t.key = fields[0]
	switch fields[1] {
	case "in":
		t.operator = in
	case "notin":
		t.operator = notIn
	default:
		return t, errors.Errorf("selector term %q: %q isn't an operator, want in or notin", text, fields[1])
	}
	for value := range strings.SplitSeq(list, ",") {
		t.values = append(t.values, strings.TrimSpace(value))
	}
	slices.Sort(t.values)
	return t, checkWord(text, append(t.values, t.key)...)
}

// checkWord refuses keys and values that are empty or hold anything but
// letters, digits and "-_./", so that `a == b` and `a b` are errors.
func checkWord(text string, words ...string) (err error) {
	for _, word := range words {
		if word == "" {
			return errors.Errorf("selector term %q: a key or value is missing", text)
		}
		if i := strings.IndexFunc(word, notWord); i >= 0 {
			return errors.Errorf("selector term %q: %q may hold letters, digits and -_./ only", text, word)
		}
	}
	return nil
}

func notWord(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("-_./", r)
	}
}
