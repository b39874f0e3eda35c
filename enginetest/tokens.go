package enginetest

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const bytesPerToken = 4 // of a prompt; approximates English text

// Completion returns the tokens that every Engine generates for a prompt.
func Completion(model, prompt string, seed int64, tokens int) (answer []string) {
	source := newTokenSource(model, prompt, seed)
	for offset := range tokens {
		answer = append(answer, source.token(offset))
	}
	return answer
}

// PromptTokens returns the number of tokens of a prompt, as every Engine counts
// them.
func PromptTokens(prompt string) (tokens int) {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// tokenSource is the hash from which the tokens of a completion are derived.
type tokenSource uint64

func newTokenSource(model, prompt string, seed int64) tokenSource {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(seed))
	digest := xxhash.New()
	digest.WriteString(model)
	digest.Write([]byte{0})
	digest.WriteString(prompt)
	digest.Write(number[:])
	return tokenSource(digest.Sum64())
}

func (t tokenSource) token(offset int) string {
	var number [16]byte
	binary.LittleEndian.PutUint64(number[:8], uint64(t))
	binary.LittleEndian.PutUint64(number[8:], uint64(offset))
	return strconv.FormatUint(xxhash.Sum64(number[:])%(36*36*36*36), 36) + " "
}
