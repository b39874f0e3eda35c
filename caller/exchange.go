package caller

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// exchange is the state of one request. Only the goroutine that serves the
	// request uses it. Each filter sets some fields and reads those set by the
	// filters before it.
	exchange struct {
		ctx      context.Context
		id       string
		started  time.Time
		deadline time.Time // enforced by the scheduler; ctx has no deadline
		writer   http.ResponseWriter
		request  *http.Request
		snapshot *fleet.Snapshot
		body     []byte

		workspace *fleet.Workspace // nil on open routes
		keyID     fleet.ID
		admitted  bool         // counted in Server.limits
		route     *fleet.Route // nil for the model API
		work      work
		placement fleet.Placement
		claim     *requestClaim

		attempts int
		// poisonSuspect is set if an upstream crashed while running the request or
		// an earlier one with its fingerprint. An upstream's scheduler starts such
		// requests one after another, each with a trial period.
		poisonSuspect   bool
		crashed         map[string]bool // upstreams that crashed during its attempts
		responseStarted bool            // the status line was written
		forcedRetries   int             // retries made after waiting in vain for a retry token
		writeDeadline   time.Time       // as last set on the connection
	}

	// work is what a request asks for: *generation, *call or *listing.
	work interface{ isWork() }

	// requestParser returns the work that a request asks for.
	requestParser func(ex *exchange) (w work, refused *Refusal)

	// filter processes one stage of a request. A refusal ends the chain.
	filter func(ex *exchange) (refused *Refusal)
)

func (*generation) isWork() {}
func (*call) isWork()       {}
func (*listing) isWork()    {}

// serve returns a handler that runs requests through the chain of filters. The
// claim is taken before the rule is matched, so that a stored response is
// replayed even if no upstream can run the work.
func (s *Server) serve(parse requestParser) http.HandlerFunc {
	chain := []filter{
		s.accept, s.matchRoute, s.authenticate, s.limit, s.readBody,
		func(ex *exchange) (refused *Refusal) {
			ex.work, refused = parse(ex)
			return refused
		},
		s.takeClaim, s.matchRule, s.dispatch,
	}
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(s.ctx, cancel)()
		ex := &exchange{
			ctx: ctx, id: "req-" + rand.Text(), started: time.Now(), writer: w, request: r,
			snapshot: s.options.Snapshot(),
		}
		w.Header().Set(HeaderRequestID, ex.id)
		var refused *Refusal
		for _, stage := range chain {
			if refused = stage(ex); refused != nil {
				break
			}
		}
		if ex.admitted {
			s.limits.release(ex.workspace)
		}
		if refused != nil {
			s.count("refusals", refused.Reason)
			if !ex.responseStarted {
				refused.write(w)
			}
		}
		s.log(ex, refused)
	}
}

// accept sets the deadline and refuses requests while the node shuts down or
// has no configuration, hence no routes and keys, yet.
func (s *Server) accept(ex *exchange) (refused *Refusal) {
	ex.deadline = ex.started.Add(s.options.ModelDeadline)
	if s.stopping.Load() {
		return notRun(upstream.ReasonStopping, "this node is shutting down; send the request again")
	}
	if ex.snapshot.Revision() == 0 {
		return notRun(upstream.ReasonStarting, "this node has no configuration yet; send the request again")
	}
	return nil
}

// matchRoute sets the route of a request to a plain service, and the route's
// deadline. Paths under /v1/ belong to the model API.
func (s *Server) matchRoute(ex *exchange) (refused *Refusal) {
	if strings.HasPrefix(ex.request.URL.Path, "/v1/") {
		return nil
	}
	route, ok := ex.snapshot.MatchRoute(ex.request.Method, ex.request.URL.Path)
	if !ok {
		return notRun(upstream.ReasonNotFound, "no route for "+ex.request.Method+" "+ex.request.URL.Path)
	}
	ex.route = route
	if route.Deadline > 0 {
		ex.deadline = ex.started.Add(route.Deadline)
	}
	return nil
}

// retryClass returns whether the work may run more than once. All work of the
// model API may.
func (ex *exchange) retryClass() fleet.RetryClass {
	if ex.route != nil {
		return ex.route.Repeat
	}
	return fleet.Idempotent
}

// workspaceName returns the workspace's qualified name, or "" on open routes.
func (ex *exchange) workspaceName() string {
	if ex.workspace == nil {
		return ""
	}
	return ex.workspace.QualifiedName()
}

func (s *Server) log(ex *exchange, refused *Refusal) {
	outcome := "Answered"
	if refused != nil {
		outcome = "Refused"
	}
	s.options.Metrics.GetOrCreateCounter(`guavagauge_requests_total{outcome="` + outcome + `"}`).Inc()
	s.options.Metrics.GetOrCreateHistogram("guavagauge_request_seconds").Update(time.Since(ex.started).Seconds())
	args := []any{
		"RequestID", ex.id, "Method", ex.request.Method, "Path", ex.request.URL.Path,
		"Workspace", ex.workspaceName(), "Attempts", ex.attempts, "Elapsed", time.Since(ex.started),
	}
	if refused != nil {
		args = append(args, "Reason", string(refused.Reason), "Ran", string(refused.WorkStatus), "Message", refused.Message, "Detail", refused.Detail)
	}
	s.options.Logger.Info("request", args...)
}
