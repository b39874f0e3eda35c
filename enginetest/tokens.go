package enginetest

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const bytesPerToken = 4 // of a prompt, about that of English text

// Completion returns the full answer to a prompt: what every engine generates.
func Completion(model, prompt string, seed int64, tokens int) (answer []string) {
	text := newText(model, prompt, seed)
	for offset := range tokens {
		answer = append(answer, text.token(offset))
	}
	return answer
}

// PromptTokens returns the number of tokens that a prompt counts as.
func PromptTokens(prompt string) (tokens int) {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// text is the hash that the tokens of an answer depend on.
type text uint64

func newText(model, prompt string, seed int64) text {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(seed))
	digest := xxhash.New()
	digest.WriteString(model)
	digest.Write([]byte{0})
	digest.WriteString(prompt)
	digest.Write(number[:])
	return text(digest.Sum64())
}

func (t text) token(offset int) string {
	var number [16]byte
	binary.LittleEndian.PutUint64(number[:8], uint64(t))
	binary.LittleEndian.PutUint64(number[8:], uint64(offset))
	return strconv.FormatUint(xxhash.Sum64(number[:])%(36*36*36*36), 36) + " "
}
