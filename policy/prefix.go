package policy

import "github.com/cespare/xxhash/v2"

const (
	// BlockTokens is the number of tokens in a block of a prompt. Only whole
	// blocks are hashed, so prompts that share fewer leading tokens share no
	// prefix.
	BlockTokens = 1024
	// BytesPerToken is the estimated size of a token, used in place of a
	// tokenizer.
	BytesPerToken = 4
	// MaxBlocks is the maximum length of a chain of hashes. It limits the chain
	// that is sent with a request to 512 bytes.
	MaxBlocks = 64

	blockBytes = BlockTokens * BytesPerToken
)

// Prefix returns the chain of hashes of the prompt's leading whole blocks, at
// most MaxBlocks. Hash i covers blocks 0 to i, so prompts share hash i only if
// they share all blocks up to i. A prompt shorter than one block has no prefix.
func Prefix(prompt string) []uint64 {
	blocks := min(len(prompt)/blockBytes, MaxBlocks)
	if blocks == 0 {
		return nil
	}
	chain := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for i := range blocks {
		digest.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		chain = append(chain, digest.Sum64())
	}
	return chain
}

// Tokens returns the estimated number of tokens of a prompt.
func Tokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}
