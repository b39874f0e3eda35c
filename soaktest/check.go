package main

import (
	"fmt"
	"strings"

	"github.com/guavagauge/guavagauge/platformtest"
)

// checkInvariants compares the responses that callers got with the requests that
// upstreams ran, and adds a violation for each mismatch, and if there was no
// complete answer to compare.
func (r *soakRun) checkInvariants() {
	runsByRequest := map[string][]platformtest.Run{}
	for id, upstream := range r.upstreams {
		for _, run := range upstream.Runs() {
			request := r.requests[run.ID]
			switch {
			case request == nil:
				r.addViolation("upstream %s ran request %q, which no caller sent", id, run.ID)
				continue
			case run.Path != request.path || run.Body != request.id:
				r.addViolation("upstream %s ran request %s with wrong path %q or body %q", id, request.id, run.Path, run.Body)
			case run.Tenant != "w" || run.Header.Get("Authorization") != "":
				r.addViolation("upstream %s ran request %s for workspace %q; API key forwarded: %t", id, request.id, run.Tenant, run.Header.Get("Authorization") != "")
			}
			runsByRequest[request.id] = append(runsByRequest[request.id], run)
		}
	}
	for _, request := range r.requests {
		r.checkRequest(request, runsByRequest[request.id])
		r.checkLost(request)
	}
	if r.counts["whole"] == 0 {
		r.addViolation("none of %d requests got a complete answer", len(r.requests))
	}
	for _, violation := range r.cloud.Violations() {
		r.addViolation("%s", violation)
	}
}

// checkRequest checks one request, given all of its runs on upstreams: that there
// are no more than its route allows, none with a key revoked too long ago, and none
// at all if it must not repeat and was refused, and that a complete answer is the
// one of the upstream. Responses with other statuses or a broken body are not
// compared.
func (r *soakRun) checkRequest(request *callerRequest, runs []platformtest.Run) {
	repeatable := strings.HasPrefix(request.path, "/draws/") || strings.HasPrefix(request.path, "/models/")
	limit := 1
	if repeatable {
		limit = 2 // max_attempts of these routes
	}
	if len(runs) > limit {
		r.addViolation("request %s to %s ran %d times", request.id, request.path, len(runs))
	}
	if revokedAt, ok := r.revokedAt[request.key]; ok && len(runs) > 0 && request.sentAt.Sub(revokedAt) > revocationLimit {
		r.addViolation("request %s ran although its key had been revoked %s before it was sent", request.id, request.sentAt.Sub(revokedAt))
	}
	switch {
	case request.status == 503 || request.status == 429 || request.status == 408 || request.status == 421:
		// For a request that must not repeat, they say that it did not run.
		r.counts["refused"]++
		if len(runs) > 0 && !repeatable {
			r.addViolation("request %s to %s was refused with %d as not run, but ran", request.id, request.path, request.status)
		}
	case request.status/100 == 2 && request.complete:
		r.counts["whole"]++
		if !strings.HasPrefix(request.seal, "seal-") || !strings.HasSuffix(request.seal, "-"+request.id) {
			r.addViolation("request %s was answered with wrong seal %q", request.id, request.seal)
		}
		if want := wantBody(request); request.body != want {
			r.addViolation("request %s to %s was answered with %q, want %q", request.id, request.path, request.body, want)
		}
	}
}

// wantBody returns the complete answer of the upstream that the seal names.
func wantBody(request *callerRequest) (body string) {
	if strings.HasPrefix(request.path, "/models/") || strings.HasPrefix(request.path, "/rulings/") {
		for event := 1; event <= streamEvents; event++ {
			body += fmt.Sprintf("id: %d\ndata: piece %d\n\n", event, event)
		}
		return body
	}
	upstream := strings.TrimSuffix(strings.TrimPrefix(request.seal, "seal-"), "-"+request.id)
	return fmt.Sprintf("answer of %s to %s", upstream, request.id)
}
