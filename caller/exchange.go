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
	// exchange is one request on its way through the filters. Each filter fills
	// in its own part and reads those of the filters before it.
	exchange struct {
		ctx      context.Context
		id       string
		started  time.Time
		deadline time.Time
		writer   http.ResponseWriter
		request  *http.Request
		snapshot *fleet.Snapshot
		body     []byte

		workspace *fleet.Workspace // nil on open routes
		keyID     fleet.ID
		entered   bool         // counted in by the limits
		route     *fleet.Route // nil for the model API
		work      work
		placement fleet.Placement
		claim     *claimed

		attempts      int
		suspect       bool            // it ran on an upstream that crashed
		crashed       map[string]bool // upstreams that it crashed since it arrived here
		answerStarted bool            // the status line has been sent
		forced        int             // retries beyond the budget
		writeUntil    time.Time       // the connection's write deadline
	}

	// work is what an exchange asks for: *generation, *call or *listing.
	work interface{ isWork() }

	// reader turns the request's body into work.
	reader func(ex *exchange) (w work, refused *Refusal)

	// filter is one stage of the chain.
	filter func(ex *exchange) (refused *Refusal)
)

func (*generation) isWork() {}
func (*call) isWork()       {}
func (*listing) isWork()    {}

// serve runs a request through the chain.
func (s *Server) serve(read reader) http.HandlerFunc {
	chain := []filter{
		s.accept, s.matchRoute, s.authenticate, s.limit, s.readBody,
		func(ex *exchange) (refused *Refusal) {
			ex.work, refused = read(ex)
			return refused
		},
		s.takeClaim, s.decide, s.dispatch,
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
		if ex.entered {
			s.limits.leave(ex.workspace)
		}
		if refused != nil {
			s.count("refusals", refused.Reason)
			if !ex.answerStarted {
				refused.write(w)
			}
		}
		s.log(ex, refused)
	}
}

// accept refuses requests on a node that stops, or that can't tell yet which
// routes and keys there are.
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

// matchRoute finds the route of a plain service call.
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

// repeat says whether the exchange's work may run again.
func (ex *exchange) repeat() fleet.RetryClass {
	if ex.route != nil {
		return ex.route.Repeat
	}
	return fleet.Idempotent
}

// workspaceKey names the workspace in messages and metrics.
func (ex *exchange) workspaceKey() string {
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
		"Workspace", ex.workspaceKey(), "Attempts", ex.attempts, "Elapsed", time.Since(ex.started),
	}
	if refused != nil {
		args = append(args, "Reason", string(refused.Reason), "Ran", string(refused.WorkStatus), "Message", refused.Message, "Detail", refused.Detail)
	}
	s.options.Logger.Info("request", args...)
}
