package policy_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/guavagauge/guavagauge/policy"
	"pgregory.net/rapid"
)

// Guards against a chain whose hashes don't cover all pieces before them, or
// cover part of a piece.
func TestPrefixMatchesNaive(t *testing.T) {
	const piece = policy.BlockTokens * policy.BytesPerToken
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(1, 50, -1).Draw(t, "text")
		prompt := strings.Repeat(text, 70*piece/len(text))[:rapid.IntRange(0, 69*piece).Draw(t, "length")]
		var want []uint64
		for end := piece; end <= len(prompt) && len(want) < policy.MaxBlocks; end += piece {
			want = append(want, xxhash.Sum64String(prompt[:end]))
		}
		if got := policy.Prefix(prompt); !slices.Equal(got, want) {
			t.Fatalf("%d bytes gave %x, want %x", len(prompt), got, want)
		}
	})
}
