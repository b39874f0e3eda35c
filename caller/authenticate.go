package caller

import (
	"net/http"
	"slices"
	"strings"

	"github.com/guavagauge/guavagauge/upstream"
)

// minKeyBytes is the minimum length at which a value in keyHeaders, other than
// the key that authenticates the request, is taken for a key. Shorter values
// are placeholders of client libraries and would match ordinary headers.
const minKeyBytes = 8

// keyHeaders are the headers in which a caller may send its API key. They
// aren't forwarded to upstreams.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Api-Key"}

// hopByHop are headers that apply to one connection only and aren't forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// authenticate sets the workspace that the request's API key belongs to. Open
// routes need no key.
func (s *Server) authenticate(ex *exchange) (refused *Refusal) {
	if ex.route != nil && ex.route.Open {
		return nil
	}
	if s.options.Isolated != nil && s.options.Isolated() {
		return notRun(upstream.ReasonIsolated, "this node might miss key withdrawals at the moment; send the request to another node")
	}
	key := requestKey(ex.request.Header)
	if key == "" {
		return notRun(upstream.ReasonUnauthorized, "send the workspace's key as `Authorization: Bearer KEY`")
	}
	workspace, keyID, ok := ex.snapshot.Authenticate(key)
	if !ok {
		return notRun(upstream.ReasonUnauthorized, "the key isn't valid")
	}
	ex.workspace, ex.keyID = workspace, keyID
	return nil
}

func requestKey(header http.Header) (key string) {
	if token, ok := bearer(header.Get("Authorization")); ok {
		return token
	}
	for _, name := range keyHeaders[1:] {
		if key = header.Get(name); key != "" {
			return key
		}
	}
	return ""
}

func bearer(value string) (token string, ok bool) {
	scheme, token, ok := strings.Cut(value, " ")
	return strings.TrimSpace(token), ok && strings.EqualFold(scheme, "Bearer")
}

// possibleKeys returns all values in keyHeaders that may be API keys. Besides
// the key that authenticates the request, a caller may send the key of another
// workspace.
func possibleKeys(header http.Header) (keys []string) {
	add := func(key string) {
		if len(key) >= minKeyBytes {
			keys = append(keys, key)
		}
	}
	for _, value := range header["Authorization"] {
		if token, ok := bearer(value); ok {
			add(token)
		}
	}
	for _, name := range keyHeaders[1:] {
		for _, value := range header[name] {
			add(value)
		}
	}
	// The key that authenticates the request counts even if it is short.
	if key := requestKey(header); key != "" && len(key) < minKeyBytes {
		keys = append(keys, key)
	}
	return keys
}

// endToEndHeader returns the headers of a request or response to forward. It
// drops hop-by-hop headers, keyHeaders and any header with a value that contains
// one of the API keys.
func endToEndHeader(header http.Header) (kept http.Header) {
	keys := possibleKeys(header)
	connection := strings.Split(strings.Join(header.Values("Connection"), ","), ",")
	kept = make(http.Header, len(header))
	for name, values := range header {
		dropped := slices.Contains(keyHeaders, name) || slices.Contains(hopByHop, name) ||
			slices.ContainsFunc(connection, func(c string) bool { return strings.EqualFold(strings.TrimSpace(c), name) })
		containsKey := slices.ContainsFunc(values, func(v string) bool {
			return slices.ContainsFunc(keys, func(key string) bool { return strings.Contains(v, key) })
		})
		if !dropped && !containsKey {
			kept[name] = values
		}
	}
	return kept
}
