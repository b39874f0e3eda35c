package caller

import (
	"net/http"
	"slices"
	"strings"

	"github.com/guavagauge/guavagauge/upstream"
)

// minKeyBytes is the least length of a key beside the one in use. Shorter values
// are placeholders of client libraries and would match ordinary headers.
const minKeyBytes = 8

// keyHeaders are the headers in which a caller may send its key. None of them
// goes to an upstream.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Api-Key"}

// hopHeaders concern one connection only and aren't passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// authenticate finds the workspace by the request's key. Open routes need none.
func (s *Server) authenticate(ex *exchange) (refused *Refusal) {
	if ex.route != nil && ex.route.Open {
		return nil
	}
	if s.options.Isolated != nil && s.options.Isolated() {
		return notRun(upstream.ReasonIsolated, "this node can't learn of withdrawn keys at the moment; try another")
	}
	key := keyOf(ex.request.Header)
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

func keyOf(header http.Header) (key string) {
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

// keysOf returns everything in the headers for keys that may be one. Besides
// the key that lets the request in, a caller may send that of another workspace.
func keysOf(header http.Header) (keys []string) {
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
	if key := keyOf(header); key != "" && len(key) < minKeyBytes {
		keys = append(keys, key)
	}
	return keys
}

// onwardHeader returns the headers that an upstream may see: no key, wherever
// it was sent, and nothing that concerns the caller's connection only.
func onwardHeader(header http.Header) (onward http.Header) {
	keys := keysOf(header)
	connection := strings.Split(strings.Join(header.Values("Connection"), ","), ",")
	onward = make(http.Header, len(header))
	for name, values := range header {
		dropped := slices.Contains(keyHeaders, name) || slices.Contains(hopHeaders, name) ||
			slices.ContainsFunc(connection, func(c string) bool { return strings.EqualFold(strings.TrimSpace(c), name) })
		holdsKey := slices.ContainsFunc(values, func(v string) bool {
			return slices.ContainsFunc(keys, func(key string) bool { return strings.Contains(v, key) })
		})
		if !dropped && !holdsKey {
			onward[name] = values
		}
	}
	return onward
}
