package policy_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/guavagauge/guavagauge/policy"
	"pgregory.net/rapid"
)

// Guards against a chain whose hashes don't cover all earlier blocks, or cover a
// part of a block.
func TestPrefixHashesWholeBlocks(t *testing.T) {
	const blockBytes = policy.BlockTokens * policy.BytesPerToken
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(1, 50, -1).Draw(t, "text")
		prompt := strings.Repeat(text, 70*blockBytes/len(text))[:rapid.IntRange(0, 69*blockBytes).Draw(t, "length")]
		var want []uint64
		for end := blockBytes; end <= len(prompt) && len(want) < policy.MaxBlocks; end += blockBytes {
			want = append(want, xxhash.Sum64String(prompt[:end]))
		}
		if got := policy.Prefix(prompt); !slices.Equal(got, want) {
			t.Fatalf("the prefix of %d bytes is %x, want %x", len(prompt), got, want)
		}
	})
}
