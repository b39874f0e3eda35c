package main

import (
	"fmt"
	"strings"

	"github.com/guavagauge/guavagauge/platformtest"
)

// check compares what callers got with what upstreams ran.
func (r *run) check() {
	runs := map[string][]platformtest.Run{}
	for id, w := range r.upstreams {
		for _, ran := range w.Runs() {
			a := r.asked[ran.ID]
			switch {
			case a == nil:
				r.broke("%s ran %q, which nobody sent", id, ran.ID)
				continue
			case ran.Path != a.path || ran.Body != a.id:
				r.broke("%s ran %s with path %q and body %q", id, a.id, ran.Path, ran.Body)
			case ran.Tenant != "w" || ran.Header.Get("Authorization") != "":
				r.broke("%s ran %s for workspace %q, key passed on %t", id, a.id, ran.Tenant, ran.Header.Get("Authorization") != "")
			}
			runs[a.id] = append(runs[a.id], ran)
		}
	}
	for _, a := range r.asked {
		r.checkOne(a, runs[a.id])
	}
	for _, fault := range r.cloud.Violations() {
		r.broke("%s", fault)
	}
}

func (r *run) checkOne(a *asked, runs []platformtest.Run) {
	repeatable := strings.HasPrefix(a.path, "/draws/") || strings.HasPrefix(a.path, "/models/")
	limit := 1
	if repeatable {
		limit = 2
	}
	if len(runs) > limit {
		r.broke("%s %s ran %d times", a.id, a.path, len(runs))
	}
	if at, ok := r.withdrawn[a.key]; ok && len(runs) > 0 && a.sent.Sub(at) > revocation {
		r.broke("%s ran with a key that was withdrawn %s before it was sent", a.id, a.sent.Sub(at))
	}
	switch {
	case a.status == 503 || a.status == 429:
		r.count["refused"]++
		if len(runs) > 0 && !repeatable {
			r.broke("%s %s was refused as not run, and ran", a.id, a.path)
		}
	case a.status == 200 && a.whole:
		r.count["whole"]++
		if !strings.HasPrefix(a.seal, "seal-") || !strings.HasSuffix(a.seal, "-"+a.id) {
			r.broke("%s was answered with seal %q", a.id, a.seal)
		}
		if want := wantBody(a); a.body != want {
			r.broke("%s %s was answered with %q, want %q", a.id, a.path, a.body, want)
		}
	}
}

// wantBody is the whole answer, by the upstream whose seal it bears.
func wantBody(a *asked) (body string) {
	if strings.HasPrefix(a.path, "/models/") || strings.HasPrefix(a.path, "/rulings/") {
		for event := 1; event <= events; event++ {
			body += fmt.Sprintf("id: %d\ndata: piece %d\n\n", event, event)
		}
		return body
	}
	upstream := strings.TrimSuffix(strings.TrimPrefix(a.seal, "seal-"), "-"+a.id)
	return fmt.Sprintf("answer of %s to %s", upstream, a.id)
}
