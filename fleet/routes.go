package fleet

import (
	"slices"
	"strings"
)

// routeIndex finds routes by path.
type routeIndex struct {
	byPath     map[string][]*Route
	maxLength  int // bytes of the longest prefix route
	maxSlashes int // most slashes in a prefix route; limits the prefixes tried for a caller's path
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

// isClean reports whether path has no empty, "." or ".." segment. A call
// with such a path could match the prefix of an open route, while the service
// resolves the path to that of another route, which needs a key.
func isClean(path string) bool {
	if strings.Contains(path, "//") {
		return false
	}
	for rest := path; ; {
		dot := strings.Index(rest, "/.")
		if dot < 0 {
			return true
		}
		rest = rest[dot+1:]
		segment, _, _ := strings.Cut(rest, "/")
		if segment == "." || segment == ".." {
			return false
		}
	}
}

// cutAfterSlash returns path up to and including its nth slash.
func cutAfterSlash(path string, n int) string {
	end := 0
	for range n {
		end += strings.IndexByte(path[end:], '/') + 1
	}
	return path[:end]
}

// withMethod returns the first of routes that lists method, or nil.
func withMethod(routes []*Route, method string) *Route {
	for _, r := range routes {
		if slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}
