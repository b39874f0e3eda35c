package platformtest

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// RawSeal is the header line of a seal, for upstreams that are scripted byte by
// byte.
const RawSeal = "Response-Seal: s\r\n"

// CallerHeader returns the headers that a caller sends.
func CallerHeader(id, key string, deadline time.Duration) (header http.Header) {
	header = http.Header{}
	header.Set("Request-Id", id)
	header.Set("Authorization", "Token "+key)
	header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	return header
}

// AddPrompt adds the description of a prompt of two parts, of which the last is
// the request's own.
func AddPrompt(header http.Header, shared, own int) {
	header.Set("Model", "m")
	header.Set("Token-Usage", fmt.Sprintf("%d,10", shared+own))
	header.Set("Prompt-Prefix", fmt.Sprintf("aa:%d,bb:%d", shared, own))
}

// AddForgedHeaders adds headers that are the system's to set.
func AddForgedHeaders(header http.Header) {
	for name, value := range map[string]string{
		"Tenant": "forged", "Kv-Source": "1.2.3.4:5/h", "Kv-Hold": "h", "Pin-Ms": "5", "Request-Priority": "0", "Stage": "prefill",
		"Expect-Instance": "d9",
	} {
		header.Set(name, value)
	}
}

// LeakedForgedHeaders returns the forged headers that reached an upstream,
// where it was asked for by the workspace.
func LeakedForgedHeaders(header http.Header, upstream, workspace string) (left []string) {
	for name, want := range map[string]string{
		"Tenant": workspace, "Authorization": "", "Kv-Source": "", "Kv-Hold": "", "Pin-Ms": "", "Request-Priority": "", "Stage": "",
		"Expect-Instance": upstream,
	} {
		if got := header.Get(name); got != want {
			left = append(left, name+": "+got)
		}
	}
	return left
}

// Seal returns the seal of an answer.
func Seal(header http.Header) (seal string) { return header.Get("Response-Seal") }
