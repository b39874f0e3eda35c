package platformtest

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Header lines for tests that write an upstream's response as raw bytes.
const (
	RawSeal   = "Response-Seal: s\r\n"
	RawNotRun = "Not-Executed: 1\r\n" // the request hasn't run
)

// PromptPart is a part of a prompt, with its size.
type PromptPart struct {
	ID     string
	Tokens int
}

// BeginResponse sets the headers of a valid response to a request, for handlers
// that write an upstream's response themselves.
func BeginResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "s")
}

// CallerHeader returns the headers of a caller's request: its ID, API key and
// deadline.
func CallerHeader(id, key string, deadline time.Duration) (header http.Header) {
	header = http.Header{}
	header.Set("Request-Id", id)
	header.Set("Authorization", "Token "+key)
	header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	return header
}

// AddPrompt adds the headers that describe a prompt of two parts: a shared
// prefix and a part that is unique to the request. Both are sizes in tokens. The
// expected output has 10 tokens.
func AddPrompt(header http.Header, shared, unique int) {
	DescribePrompt(header, PromptPart{"aa", shared}, PromptPart{"bb", unique})
}

// AddPromptParts adds the headers that describe a prompt of the given parts, each
// of 20 tokens.
func AddPromptParts(header http.Header, parts ...string) {
	const tokensEach = 20
	var sized []PromptPart
	for _, part := range parts {
		sized = append(sized, PromptPart{part, tokensEach})
	}
	DescribePrompt(header, sized...)
}

// DescribePrompt adds the headers that describe a prompt of the given parts. The
// expected output has 10 tokens.
func DescribePrompt(header http.Header, parts ...PromptPart) {
	tokens, fields := 0, []string{}
	for _, part := range parts {
		tokens += part.Tokens
		fields = append(fields, fmt.Sprintf("%s:%d", part.ID, part.Tokens))
	}
	header.Set("Model", "m")
	header.Set("Token-Usage", fmt.Sprintf("%d,10", tokens))
	header.Set("Prompt-Prefix", strings.Join(fields, ","))
}

// HasSharedPart reports whether a part, other than the last one, of the prompt
// that the headers describe has an ID.
func HasSharedPart(header http.Header, id string) (ok bool) {
	fields := strings.Split(header.Get("Prompt-Prefix"), ",")
	for _, field := range fields[:len(fields)-1] {
		if strings.HasPrefix(field, id+":") {
			return true
		}
	}
	return false
}

// AddForgedHeaders adds headers that only the system may set, with values that
// LeakedForgedHeaders recognizes.
func AddForgedHeaders(header http.Header) {
	for name, value := range map[string]string{
		"Tenant": "forged", "Kv-Source": "1.2.3.4:5/h", "Kv-Hold": "h", "Pin-Ms": "5", "Request-Priority": "0", "Stage": "prefill",
		"Expect-Instance": "d9",
	} {
		header.Set(name, value)
	}
}

// LeakedForgedHeaders returns the headers of AddForgedHeaders that reached an
// upstream with a value other than the one the system sets for a request of the
// workspace.
func LeakedForgedHeaders(header http.Header, upstream, workspace string) (leaked []string) {
	for name, want := range map[string]string{
		"Tenant": workspace, "Authorization": "", "Kv-Source": "", "Kv-Hold": "", "Pin-Ms": "", "Request-Priority": "", "Stage": "",
		"Expect-Instance": upstream,
	} {
		if got := header.Get(name); got != want {
			leaked = append(leaked, name+": "+got)
		}
	}
	return leaked
}

// Seal returns the Response-Seal header of a response.
func Seal(header http.Header) (seal string) { return header.Get("Response-Seal") }

// KVSource returns the engine and the handle from which a request goes on, or "".
func KVSource(header http.Header) (source string) { return header.Get("Kv-Source") }
