package selector

import (
	"reflect"
	"testing"
)

// Guards against selectors that match the wrong label sets, especially where a
// label is absent.
func TestMatches(t *testing.T) {
	labels := Labels{"tier": "gold", "pool": "a/b"}
	for text, want := range map[string]bool{
		"":                             true,
		"tier":                         true,
		"!tier":                        false,
		"! size":                       true,
		"size":                         false,
		"tier = gold":                  true,
		"tier=tin":                     false,
		"tier != gold":                 false,
		"size != large":                true,
		"tier in (tin, gold)":          true,
		"tier in (tin)":                false,
		"size in (large)":              false,
		"tier notin (tin)":             true,
		"size notin (large)":           true,
		"tier in (gold,tin) , !size":   true,
		"tier = gold, pool = a":        false,
		"\n pool=a/b,\n tier = gold\n": true,
	} {
		s, err := Parse(text)
		if err != nil || s.Matches(labels) != want {
			t.Errorf("%q: Matches = %v, %v, want %v", text, !want, err, want)
		}
	}
}

// Guards against a mistyped selector being parsed as a different one.
func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		",":                `selector term "": a key or value is missing`,
		"a,":               `selector term "": a key or value is missing`,
		"a ==b":            `selector term "a ==b": "=b" may contain only letters, digits and -_./`,
		"a b":              `selector term "a b": "a b" may contain only letters, digits and -_./`,
		"a =":              `selector term "a =": a key or value is missing`,
		"!":                `selector term "!": a key or value is missing`,
		"!a = b":           `selector term "!a = b": "!a" may contain only letters, digits and -_./`,
		"a in (b":          "selector term \"a in (b\": want `key in (a, b)` or `key notin (a, b)`",
		"a in (b) c":       "selector term \"a in (b) c\": want `key in (a, b)` or `key notin (a, b)`",
		"a in ()":          `selector term "a in ()": a key or value is missing`,
		"a of (b)":         `selector term "a of (b)": "of" isn't an operator; want in or notin`,
		"a in (b, (c), d)": "selector term \"a in (b, (c), d)\": want `key in (a, b)` or `key notin (a, b)`",
		"a), b":            `selector term "a), b": "a), b" may contain only letters, digits and -_./`,
	} {
		if _, err := Parse(text); err == nil || err.Error() != want {
			t.Errorf("Parse(%q) = %v, want %s", text, err, want)
		}
	}
}

// Guards against a panic in Parse, and against a selector that matches different
// labels after it is printed and parsed again.
func FuzzSelector(f *testing.F) {
	for _, text := range []string{"", "a", "!a", "a = b, c != d", "a in (b, c), d notin (e)", "a), (b"} {
		f.Add(text, "a", "b")
	}
	f.Fuzz(func(t *testing.T, text, key, value string) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		reparsed, err := Parse(s.String())
		labels := Labels{key: value}
		if err != nil || !reflect.DeepEqual(s, reparsed) || s.Matches(labels) != reparsed.Matches(labels) {
			t.Errorf("%q is parsed again as %+v, %v", text, reparsed, err)
		}
		for _, term := range s.Terms() {
			for _, word := range append(term.Values, term.Key) {
				if CheckWord(word) != nil {
					t.Errorf("%q contains the invalid word %q", text, word)
				}
			}
		}
	})
}
