package fleet

import (
	"slices"
	"strings"
)

// routeIndex finds routes by path.
type routeIndex struct {
	byPath     map[string][]*Route
	maxLength  int // of the longest prefix
	maxSlashes int // in the prefix with the most; bounds the search in paths sent by callers
}

func indexRoutes(routes []*Route) (index routeIndex) {
	index.byPath = make(map[string][]*Route, len(routes))
	for _, r := range routes {
		index.byPath[r.Path] = append(index.byPath[r.Path], r)
		if strings.HasSuffix(r.Path, "/") {
			index.maxLength = max(index.maxLength, len(r.Path))
			index.maxSlashes = max(index.maxSlashes, strings.Count(r.Path, "/"))
		}
	}
	return index
}

func (x *routeIndex) lookup(method, path string) (route *Route, ok bool) {
	if !isClean(path) {
		return nil, false
	}
	if route = withMethod(x.byPath[path], method); route != nil {
		return route, true
	}
	prefix := path[:min(len(path), x.maxLength)]
	if slashes := strings.Count(prefix, "/"); slashes > x.maxSlashes {
		prefix = cutAfterSlash(prefix, x.maxSlashes)
	}
	for end := strings.LastIndexByte(prefix, '/'); end >= 0; end = strings.LastIndexByte(prefix[:end], '/') {
		if route = withMethod(x.byPath[prefix[:end+1]], method); route != nil {
			return route, true
		}
	}
	return nil, false
}

// isClean reports whether path has no empty segment and no "." or "..". With
// those, a call could match the prefix of an open route and be run by a service
// that resolves them as a call of another route.
func isClean(path string) bool {
	if strings.Contains(path, "//") {
		return false
	}
	for rest := path; ; {
		at := strings.Index(rest, "/.")
		if at < 0 {
			return true
		}
		rest = rest[at+1:]
		segment, _, _ := strings.Cut(rest, "/")
		if segment == "." || segment == ".." {
			return false
		}
	}
}

// cutAfterSlash returns path up to its nth slash.
func cutAfterSlash(path string, n int) string {
	end := 0
	for range n {
		end += strings.IndexByte(path[end:], '/') + 1
	}
	return path[:end]
}

func withMethod(routes []*Route, method string) *Route {
	for _, r := range routes {
		if slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}
