package service

import (
	"net/http"
	"strings"

	"github.com/guavagauge/guavagauge/upstream"
)

// hopByHop are the headers that belong to one connection (RFC 9110, section
// 7.6.1) and are never passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of header without those that belong to one
// connection, including those that Connection names.
func endToEnd(header http.Header) (result http.Header) {
	if result = header.Clone(); result == nil {
		return make(http.Header)
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			// A caller must not be able to drop the header that names its workspace.
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != upstream.HeaderWorkspace {
				result.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		result.Del(name)
	}
	return result
}
