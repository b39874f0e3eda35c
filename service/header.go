package service

import (
	"net/http"
	"strings"

	"github.com/guavagauge/guavagauge/upstream"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110,
// section 7.6.1) and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of header without the hop-by-hop headers,
// including those that its Connection header names.
func endToEndHeaders(header http.Header) (result http.Header) {
	if result = header.Clone(); result == nil {
		return make(http.Header)
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			// A caller must not be able to remove the header that names its
			// workspace by listing it in Connection.
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != upstream.HeaderWorkspace {
				result.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		result.Del(name)
	}
	return result
}
