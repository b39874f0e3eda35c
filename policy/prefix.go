package policy

import "github.com/cespare/xxhash/v2"

const (
	// BlockTokens is the size of a piece of a prefix cache in tokens.
	BlockTokens = 1024
	// BytesPerToken is the estimate by which prompts are measured without a
	// tokenizer.
	BytesPerToken = 4
	// MaxBlocks bounds the chain that travels with a request to 512 bytes.
	MaxBlocks = 64

	pieceBytes = BlockTokens * BytesPerToken
)

// Prefix returns the chain of hashes of the prompt's leading whole pieces.
// Hash i covers pieces 0 to i, so prompts share hash i only if they share all
// pieces up to it. A prompt shorter than one piece has no prefix.
func Prefix(prompt string) []uint64 {
	pieces := min(len(prompt)/pieceBytes, MaxBlocks)
	if pieces == 0 {
		return nil
	}
	chain := make([]uint64, 0, pieces)
	digest := xxhash.New()
	for i := range pieces {
		digest.WriteString(prompt[i*pieceBytes : (i+1)*pieceBytes])
		chain = append(chain, digest.Sum64())
	}
	return chain
}

// Tokens estimates the number of tokens of a prompt.
func Tokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}
