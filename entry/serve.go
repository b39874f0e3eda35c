package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/relay"
	"github.com/guavagauge/guavagauge/routing"
)

// Reasons for which a request ends without an upstream's answer. Each has a
// counter.
const (
	reasonNoConfig    reason = "NoConfig"    // no configuration is known yet
	reasonStaleConfig reason = "Stale"       // keys may have been withdrawn
	reasonNoRoute     reason = "NoRoute"     // no route matches
	reasonUnknownKey  reason = "Key"         // the key is unknown
	reasonMalformed   reason = "Malformed"   // the request can't be read
	reasonTooLarge    reason = "TooLarge"    // the body exceeds the limit
	reasonNoUpstream  reason = "NoUpstream"  // no upstream takes work
	reasonOverload    reason = "Overload"    // it would not be served in time
	reasonRejected    reason = "Rejected"    // upstreams refused it
	reasonRetryBudget reason = "RetryBudget" // no extra calls left
	reasonBroken      reason = "Broken"      // an upstream broke off
	reasonTimeout     reason = "Timeout"     // its time is over
	reasonQuarantined reason = "HeldOut"     // it crashed upstreams
	reasonUnreachable reason = "Unreachable" // no connection to an upstream
)

const (
	// retrySoon is told to callers of a node that can't serve yet. Another node
	// probably can.
	defaultRetryAfter = 300 * time.Millisecond
	// readAheadBytes of a plain answer are read before the caller gets any of it,
	// so that a broken one can be replaced.
	readAheadBytes = 1 << 20
	// replyMargin is left to answer at the route's timeout rather than after it.
	responseMargin = 20 * time.Millisecond
	// workMargin is the part of the time left that the way back takes.
	upstreamMargin = 5 * time.Millisecond
)

type (
	reason string

	// exchange is one request on its way.
	exchange struct {
		node       *Node
		w          http.ResponseWriter
		r          *http.Request
		ctx        context.Context
		route      *routing.Route
		service    string
		request    platform.RequestHeaders
		workspace  string
		priority   int
		body       []byte
		header     http.Header // to be passed on
		arrivedAt  time.Time
		deadline   time.Time
		tried      []string
		calls      int // that reached an upstream
		runs       int // that may have run
		lastReason reason
	}
)

// serve answers one request of a caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	e := &exchange{node: n, w: w, r: r, ctx: r.Context(), arrivedAt: time.Now()}
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !e.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, e.deadline)
	defer cancel()
	e.ctx = ctx
	n.budget.countRequest(e.service, e.arrivedAt)
	if e.route.RetryClass == routing.Stream {
		e.serveStream()
	} else {
		e.servePlain()
	}
}

// admit reads the request and finds out whether it may be served.
func (e *exchange) admit() (ok bool) {
	n := e.node
	table := n.table.Load()
	if table == nil {
		e.refuse(reasonNoConfig, defaultRetryAfter)
		return false
	}
	var err error
	if e.request, err = platform.ParseRequestHeaders(e.r.Header); err != nil || e.request.ID == "" {
		e.fail(http.StatusBadRequest, reasonMalformed, err)
		return false
	}
	if e.route, ok = table.Route(e.r.Host, e.r.URL.EscapedPath()); !ok {
		e.fail(http.StatusNotFound, reasonNoRoute, nil)
		return false
	}
	e.priority = e.route.Priority
	workspace, known := table.Workspace(e.request.Key)
	switch {
	case known:
		e.workspace = workspace.Name
		if workspace.Priority != nil {
			e.priority = *workspace.Priority
		}
	case !e.route.Anonymous:
		e.fail(http.StatusUnauthorized, reasonUnknownKey, nil)
		return false
	}
	if !e.route.Anonymous && !n.configFresh() {
		e.refuse(reasonStaleConfig, defaultRetryAfter)
		return false
	}
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = maxHeaderBytes
	}
	if e.body, err = io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, limit)); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			e.fail(http.StatusRequestEntityTooLarge, reasonTooLarge, err)
		} else {
			e.fail(http.StatusBadRequest, reasonMalformed, err)
		}
		return false
	}
	if e.quarantined() {
		e.refuse(reasonQuarantined, quarantineRetryAfter)
		return false
	}
	e.deadline = e.arrivedAt.Add(e.route.Timeout - responseMargin)
	if d := e.request.Deadline; d > 0 && d < e.route.Timeout {
		e.deadline = e.arrivedAt.Add(d - responseMargin)
	}
	e.service = e.route.PickService(rand.Float64())
	e.header = platform.EndToEndHeaders(e.r.Header)
	return true
}

// send sends the request to a chosen upstream once.
func (e *exchange) send(choice dispatch.Choice, upstreamHeaders platform.UpstreamHeaders) (response *relay.Response, job *dispatch.Job, err error) {
	now := time.Now()
	header := e.header.Clone()
	upstreamHeaders.Instance, upstreamHeaders.Workspace = choice.Upstream.ID, e.workspace
	upstreamHeaders.Deadline = e.deadline.Sub(now) - upstreamMargin
	platform.SetUpstreamHeaders(header, upstreamHeaders)
	job = e.node.dispatcher.Begin(choice, now)
	target := relay.Target{ID: choice.Upstream.ID, Address: choice.Upstream.Address}
	response, err = e.node.upstreamPool.Send(e.ctx, target, &relay.Request{
		Method: e.r.Method, URI: requestURI(e.r), Host: e.r.Host, Header: header, Body: e.body, ID: e.request.ID,
	})
	if err == nil {
		job.ObserveLoad(response.Reply.Load, time.Now())
	}
	return response, job, err
}

func requestURI(r *http.Request) (uri string) {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// another reports whether the request may be sent once more.
func (e *exchange) allowRetry(mayHaveRun bool) (ok bool) {
	switch {
	case e.ctx.Err() != nil:
		return false
	case mayHaveRun && (!e.route.Retryable() || e.runs >= e.route.MaxAttempts):
		return false
	case e.calls > 0 && !e.node.budget.spend(e.service, time.Now()):
		e.lastReason = reasonRetryBudget
		return false
	}
	return true
}

// give ends a request that no upstream has answered.
func (e *exchange) finishUnserved(retryAfter time.Duration) {
	switch {
	case e.r.Context().Err() != nil: // the caller left
		e.node.count("left", string(e.lastReason))
		panic(http.ErrAbortHandler)
	case e.runs > 0 && e.ctx.Err() != nil:
		e.fail(http.StatusGatewayTimeout, reasonTimeout, nil)
	case e.runs > 0:
		e.fail(http.StatusBadGateway, e.lastReason, nil)
	default:
		e.refuse(e.lastReason, retryAfter)
	}
}

// refuse answers that the request has not run and won't.
func (e *exchange) refuse(cause reason, retryAfter time.Duration) {
	e.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	e.fail(http.StatusServiceUnavailable, cause, nil)
}

// fail answers with a status of our own.
func (e *exchange) fail(status int, cause reason, err error) {
	e.node.count("failed", string(cause))
	e.log("request failed", "Status", status, "Reason", cause, "Error", err)
	text := fmt.Sprintf(`{"Reason":%q}`+"\n", cause)
	e.w.Header().Set("Content-Type", "application/json")
	e.w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if e.request.ID != "" {
		e.w.Header().Set("Request-Id", e.request.ID)
	}
	e.w.WriteHeader(status)
	io.WriteString(e.w, text)
}

func (e *exchange) log(message string, args ...any) {
	name := ""
	if e.route != nil {
		name = e.route.Name
	}
	e.node.logger.Info(message, slices.Concat([]any{
		"Request", e.request.ID, "Route", name, "Workspace", e.workspace, "Tried", e.tried,
		"Calls", e.calls, "Runs", e.runs, "Elapsed", time.Since(e.arrivedAt),
	}, args)...)
}

// copyHead passes on the head of an upstream's answer.
func (e *exchange) writeHead(response *relay.Response, length int64) {
	header := e.w.Header()
	for name, values := range platform.EndToEndHeaders(response.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if e.node.stopping.Load() {
		header.Set("Connection", "close")
	}
	e.w.WriteHeader(response.Status)
}
