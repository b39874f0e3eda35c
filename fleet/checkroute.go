package fleet

import (
	"net/url"
	"path"
	"slices"
	"strings"
	"time"
)

const (
	maxPathBytes  = 1024
	maxBodyBytes  = 1 << 30
	minDeadline   = time.Millisecond
	maxDeadline   = time.Hour // longer calls would hold up a node's shutdown
	modelAPIPaths = "/v1/"
)

var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (s subject) route(r *Route) {
	s.routePath(r.Path)
	if len(r.Methods) == 0 && !s.leftOut("Methods") {
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
	s.overlap(r)
	s.reference("Service", r.Service, ID{r.Owner, KindService, ""})
	oneOf(s, "Repeat", r.Repeat, repeats)
	inRange(s, "Deadline", r.Deadline, minDeadline, maxDeadline)
	inRange(s, "MaxBodyBytes", r.MaxBodyBytes, 1, maxBodyBytes)
}

// routePath refuses paths that no cleaned request path can match.
func (s subject) routePath(p string) {
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	u, err := url.ParseRequestURI(p)
	switch {
	case !strings.HasPrefix(p, "/") || err != nil || u.Path != p || clean != p || len(p) > maxPathBytes:
		s.report("Path", FormatValue(p), `a clean path such as "/desk/draw", or a prefix such as "/desk/"`, "")
	case strings.HasPrefix(p, modelAPIPaths) || p+"/" == modelAPIPaths:
		s.report("Path", FormatValue(p), "a path outside "+modelAPIPaths+", which is the model API's", "")
	}
}

// overlap finds routes of any owners that take the same calls. A longer path
// inside a prefix is no overlap, because the most specific route applies.
func (s subject) overlap(r *Route) {
	methods := r.Methods
	if len(methods) == 0 {
		methods = defaultMethods
	}
	for _, method := range methods {
		call := method + " " + r.Path
		if other, ok := s.routes[call]; ok && other != s.label {
			s.report("Path", FormatValue(r.Path), "a path that no other route has for "+method+"; "+other+" has this one", "")
		}
		s.routes[call] = s.label
	}
}
