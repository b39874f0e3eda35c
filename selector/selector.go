// Package selector parses label selectors, with equality, set and existence
// terms, and matches them against labels.
//
// # Usage
//
//	s, err := selector.Parse("tier in (large, small), pool = rulings, !suspended")
//	if s.Matches(labels) { ... }
//
// Terms are separated by commas, and a selector matches if all of its terms
// match. The empty selector matches everything. The forms of a term are:
//
//	key = value          key != value
//	key in (a, b)        key notin (a, b)
//	key                  !key
//
// As in Kubernetes, != and notin also match labels without the key.
//
// Package fleet matches the selectors of its configuration against the labels of
// objects, and limits the length of label keys and values. Package settings uses
// CheckWord for names.
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

	// Labels are the key-value pairs that selectors match against.
	Labels map[string]string

	// Selector is a parsed label selector. It doesn't change after Parse. The zero
	// value matches everything.
	Selector struct {
		text  string
		terms []term
	}

	// Term is the key and the sorted values of one term of a selector. Values is
	// empty for existence terms.
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

// Parse parses a selector. The error names the first invalid term. The selector
// that is returned with an error matches everything and must not be used.
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

// Matches reports whether all terms match labels, which may be nil.
func (s Selector) Matches(labels Labels) bool {
	for _, t := range s.terms {
		if !t.matches(labels) {
			return false
		}
	}
	return true
}

// String returns the selector as it was written, without surrounding white space.
func (s Selector) String() string {
	return s.text
}

// MarshalText returns the same text as String.
func (s Selector) MarshalText() (text []byte, err error) {
	return []byte(s.text), nil
}

// UnmarshalText parses a selector in a configuration.
func (s *Selector) UnmarshalText(text []byte) (err error) {
	*s, err = Parse(string(text))
	return err
}

// Terms returns the terms in the order in which they were written, so that
// callers can check the labels that a selector refers to.
func (s Selector) Terms() (terms []Term) {
	for _, t := range s.terms {
		terms = append(terms, Term{Key: t.key, Values: slices.Clone(t.values)})
	}
	return terms
}

// CheckWord returns an error if word can't be used as a label key or value,
// because a selector couldn't refer to it. It doesn't limit the length.
func CheckWord(word string) (err error) {
	if word == "" {
		return errors.New("label key or value is empty")
	}
	if strings.IndexFunc(word, isInvalidRune) >= 0 {
		return errors.New("label key or value may contain only letters, digits and -_./")
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

// splitTerms splits text at commas outside parentheses. parseTerm rejects terms
// with unbalanced parentheses.
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
	if head, rest, ok := strings.Cut(text, "("); ok {
		return parseSetTerm(text, head, rest)
	}
	switch {
	case strings.Contains(text, "!="): // before "=", which it contains
		return parseEqualityTerm(text, "!=", notIn)
	case strings.Contains(text, "="):
		return parseEqualityTerm(text, "=", in)
	case strings.HasPrefix(text, "!"):
		t = term{key: strings.TrimSpace(text[1:]), operator: absent}
	default:
		t = term{key: text, operator: exists}
	}
	return t, checkWords(text, t.key)
}

func parseEqualityTerm(text, sign string, op operator) (t term, err error) {
	key, value, _ := strings.Cut(text, sign)
	t = term{key: strings.TrimSpace(key), operator: op, values: []string{strings.TrimSpace(value)}}
	return t, checkWords(text, append(t.values, t.key)...)
}

// parseSetTerm parses a term with "in" or "notin". head is the text before the
// opening parenthesis, and rest is the text after it.
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
		return t, errors.Errorf("selector term %q: %q isn't an operator; want in or notin", text, fields[1])
	}
	for value := range strings.SplitSeq(list, ",") {
		t.values = append(t.values, strings.TrimSpace(value))
	}
	slices.Sort(t.values)
	return t, checkWords(text, append(t.values, t.key)...)
}

// checkWords returns an error if a key or value of the term text is empty or
// contains anything but letters, digits and "-_./". This makes `a == b` and
// `a b` errors.
func checkWords(text string, words ...string) (err error) {
	for _, word := range words {
		if word == "" {
			return errors.Errorf("selector term %q: a key or value is missing", text)
		}
		if i := strings.IndexFunc(word, isInvalidRune); i >= 0 {
			return errors.Errorf("selector term %q: %q may contain only letters, digits and -_./", text, word)
		}
	}
	return nil
}

func isInvalidRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("-_./", r)
	}
}
