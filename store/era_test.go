package store_test

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

// Guards against an era that is believed from an answer that doesn't have a valid one, an
// answer of an older era that is used, and a write across eras that counts as applied.
func TestErasFollowValidAnswersOnly(t *testing.T) {
	type answer struct {
		header string
		write  bool
		err    error
		era    uint64
	}
	for name, test := range map[string]struct {
		answers []answer
		invalid uint64
	}{
		"no eras":               {[]answer{{"", true, nil, 0}, {"", false, nil, 0}, {"", true, nil, 0}}, 0},
		"first era":             {[]answer{{"7", true, nil, 7}, {"7", true, nil, 7}}, 0},
		"read across eras":      {[]answer{{"7", false, nil, 7}, {"8", false, nil, 8}, {"8", true, nil, 8}}, 0},
		"write across eras":     {[]answer{{"7", false, nil, 7}, {"9", true, store.ErrEraChanged, 9}, {"9", true, nil, 9}}, 0},
		"write into the first":  {[]answer{{"", false, nil, 0}, {"1", true, store.ErrEraChanged, 1}}, 0},
		"falling":               {[]answer{{"7", false, nil, 7}, {"6", false, store.ErrOutdatedAnswer, 7}, {"7", true, nil, 7}}, 1},
		"missing in some":       {[]answer{{"7", false, nil, 7}, {"", true, store.ErrOutdatedAnswer, 7}, {"8", false, nil, 8}}, 1},
		"no number":             {[]answer{{"7", false, nil, 7}, {"8x", false, store.ErrOutdatedAnswer, 7}, {"-8", true, store.ErrOutdatedAnswer, 7}}, 2},
		"no number at first":    {[]answer{{"x", false, nil, 0}, {"", true, nil, 0}}, 1},
		"no number, then a one": {[]answer{{"x", false, nil, 0}, {"3", false, nil, 3}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var eras store.Eras
			for i, a := range test.answers {
				before := eras.Era()
				if _, err := eras.Observe(before, a.header, a.write); !errors.Is(err, a.err) || (err == nil) != (a.err == nil) {
					t.Errorf("answer %d: %v, want %v", i, err, a.err)
				}
				after := eras.Era()
				if after.Era != a.era || after.SeenAt.IsZero() || after.SeenAt.After(time.Now()) {
					t.Errorf("answer %d: era %d, seen at %s, want %d", i, after.Era, after.SeenAt, a.era)
				}
				ended := false
				select {
				case <-before.Ended:
					ended = true
				default:
				}
				if want := !before.SeenAt.IsZero() && before.Era != after.Era; ended != want {
					t.Errorf("answer %d: end of era %d noticed: %t, want %t", i, before.Era, ended, want)
				}
			}
			if n := eras.Era().Invalid; n != test.invalid {
				t.Errorf("%d invalid answers, want %d", n, test.invalid)
			}
		})
	}
}

// Guards against tokens that fall when the era rises, that change where a store has no
// eras, and that a receiver which holds numbers as floating point rounds.
func TestTokensRiseWithPosition(t *testing.T) {
	last := uint64(0)
	for _, p := range []store.Position{{0, 5}, {0, 1<<40 - 1}, {1, 1}, {1, 2}, {2, 1}, {1<<13 - 1, 1<<40 - 1}} {
		token, err := p.Token()
		if err != nil || token <= last || token > 1<<53-1 || p.Era == 0 && token != p.Revision {
			t.Errorf("token of %s: %d (%v) after %d", p, token, err, last)
		}
		last = token
	}
	for _, p := range []store.Position{{0, 1 << 40}, {1 << 13, 1}} {
		if token, err := p.Token(); err == nil {
			t.Errorf("token of %s: %d, want an error", p, token)
		}
	}
}
