package fleet

import (
	"net/url"
	"path"
	"slices"
	"strings"
	"time"
)

const (
	maxPathBytes   = 1024
	maxBodyBytes   = 1 << 30 // upper limit of MaxBodyBytes, also in package settings
	minDeadline    = time.Millisecond
	maxDeadline    = time.Hour // longer calls would delay a node's shutdown
	modelAPIPrefix = "/v1/"
)

var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (s objectChecker) checkRoute(r *Route) {
	s.checkPath(r.Path)
	if len(r.Methods) == 0 && !s.isUnset("Methods") {
		s.report("Methods", "an empty list", "at least one of "+strings.Join(httpMethods, ", "), "")
	}
	for i, method := range r.Methods {
		if !slices.Contains(httpMethods, method) {
			s.report("Methods", FormatValue(method), "one of "+strings.Join(httpMethods, ", "), Suggest(method, httpMethods))
		}
		if slices.Contains(r.Methods[:i], method) {
			s.report("Methods", FormatValue(method)+" twice", "each method once", "")
		}
	}
	s.checkOverlap(r)
	s.checkReference("Service", r.Service, ID{r.Owner, KindService, ""})
	checkOneOf(s, "Repeat", r.Repeat, retryClasses)
	checkRange(s, "Deadline", r.Deadline, minDeadline, maxDeadline)
	checkRange(s, "MaxBodyBytes", r.MaxBodyBytes, 1, maxBodyBytes)
}

// checkPath rejects paths that no clean request path can match, and those of the
// model API.
func (s objectChecker) checkPath(p string) {
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	u, err := url.ParseRequestURI(p)
	switch {
	case !strings.HasPrefix(p, "/") || err != nil || u.Path != p || clean != p || len(p) > maxPathBytes:
		s.report("Path", FormatValue(p), `a clean path such as "/desk/draw", or a prefix such as "/desk/"`, "")
	case strings.HasPrefix(p, modelAPIPrefix) || p+"/" == modelAPIPrefix:
		s.report("Path", FormatValue(p), "a path outside "+modelAPIPrefix+", which is reserved for the model API", "")
	}
}

// checkOverlap reports routes with the same method and path, whatever their
// owner. A longer path within a prefix is allowed, because the most specific
// route applies. A route doesn't overlap itself if it lists a method twice, which
// checkRoute reports.
func (s objectChecker) checkOverlap(r *Route) {
	methods := r.Methods
	if len(methods) == 0 {
		methods = defaultMethods
	}
	for _, method := range methods {
		call := method + " " + r.Path
		if other, ok := s.routeByCall[call]; ok && other != s.displayName {
			s.report("Path", FormatValue(r.Path), "a unique path for "+method+"; "+other+" already uses it", "")
		}
		s.routeByCall[call] = s.displayName
	}
}
