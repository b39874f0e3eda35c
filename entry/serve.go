package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/http1"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/quota"
	"github.com/guavagauge/guavagauge/relay"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/upstream"
)

// Reasons for which a request ends without a response from an upstream. Each has
// its own counter.
const (
	reasonNoConfig    reason = "NoConfig"    // the node has no configuration yet
	reasonStarting    reason = "Starting"    // the node doesn't know the quarantines from before its start or its part of the quota yet
	reasonStaleConfig reason = "Stale"       // the configuration may be outdated, so keys can't be checked
	reasonNoRoute     reason = "NoRoute"     // no route matches
	reasonUnknownKey  reason = "Key"         // the API key is unknown
	reasonMalformed   reason = "Malformed"   // the request can't be parsed or read
	reasonTooLarge    reason = "TooLarge"    // the body exceeds the limit
	reasonMemory      reason = "Memory"      // the node holds too many bodies and answers
	reasonStalled     reason = "Stalled"     // the body made no progress while the node had no memory left
	reasonNoUpstream  reason = "NoUpstream"  // no upstream is available
	reasonOverload    reason = "Overload"    // the request would wait for too long
	reasonRejected    reason = "Rejected"    // an upstream rejected the request without running it
	reasonRetryBudget reason = "RetryBudget" // the retry budget is exhausted
	reasonBroken      reason = "Broken"      // an upstream's response is missing, incomplete or invalid
	reasonTimeout     reason = "Timeout"     // the request may have run, and its deadline passed
	reasonQuarantined reason = "HeldOut"     // the request is quarantined, since it crashed upstreams
	reasonUnreachable reason = "Unreachable" // no connection to an upstream could be made
	reasonStopping    reason = "Stopping"    // the node stops before it could finish the request
	reasonInternal    reason = "Internal"    // this program panicked while it handled the request
	reasonPaused      reason = "Paused"      // all upstreams that could serve the request asked for a pause
	reasonRecalled    reason = "Recalled"    // the request was recalled from an upstream, and may have run there
	reasonQuota       reason = "Quota"       // the workspace has used up its quota
	reasonUnconfirmed reason = "Unconfirmed" // an upstream refused the request without saying that it has not run
)

const (
	// defaultRetryAfter is the Retry-After value if this node can't serve a request
	// at present. It is short, since another node probably can.
	defaultRetryAfter = 300 * time.Millisecond
	// readAheadBytes is the size of the part of a plain response that is read
	// before the caller receives any of it, if the node has memory for it. If the
	// response breaks off within that part, the request can be retried.
	readAheadBytes = 1 << 20
	// responseMargin is the time reserved for responding to the caller, so that a
	// timeout is reported before the route's timeout rather than after it.
	responseMargin = 20 * time.Millisecond
	// errWithdrawn means that the chosen upstream left or asked for a pause while a
	// connection to it was being opened. The request was not sent.
	errWithdrawn = errors.ConstError("upstream was withdrawn before the request was sent")
	// errUpstreamFull means that this node has as many bytes of requests under way to the
	// upstream as it may have memory for. The request was not sent.
	errUpstreamFull = errors.ConstError("too many bytes of requests are under way to the upstream")
	// upstreamMargin is the time reserved for the response's way back from an
	// upstream. The deadline that the upstream gets is earlier by it.
	upstreamMargin = 5 * time.Millisecond
)

type (
	// reason is why a request failed.
	reason string

	// failureBody is the body of a failure that this node answers, as JSON.
	failureBody struct {
		Reason         reason
		UpstreamStatus int `json:",omitzero"` // with reasonUnconfirmed
	}

	// exchange is the state of one caller's request.
	exchange struct {
		node       *Node
		w          http.ResponseWriter
		r          *http.Request
		ctx        context.Context
		route      *routing.Route
		version    uint64 // of the configuration that decides the request; 0 without one
		service    string
		charge     *quota.Charge // to the workspace's quota; nil without one
		request    platform.RequestHeaders
		workspace  string
		priority   int
		body       []byte
		buffers    []*heldBuffer // those that count against the node's memory
		underWayTo string        // upstream to which the request counts as under way
		header     http.Header   // end-to-end headers of the request
		arrivedAt  time.Time
		deadline   time.Time
		tried      []string
		calls      int // attempts that reached an upstream, and failed prefills; once it isn't 0, the next attempt is a retry
		runs       int // attempts that the upstream may have run; prefills don't count
		lastReason reason
		job        *dispatch.Job // the last one; nil before the first
		// prefillDeviation has log attributes of how far off the expected time of a
		// separate prefill was, if the speeds of upstreams are known.
		prefillDeviation []any
		responded        bool // the status of a response was written to the caller
		// responseBegun is set once an upstream has sent an event of its response, in
		// any attempt.
		responseBegun bool
		recall        recallState
	}
)

// serve handles one request of a caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	e := &exchange{node: n, w: w, r: r, ctx: r.Context(), arrivedAt: time.Now()}
	defer e.releaseBuffers()
	defer e.refundQuota()
	defer e.endPanic()
	if n.requestCtx.Err() != nil { // read after the node began to cut requests off
		e.refuse(reasonStopping, defaultRetryAfter)
		return
	}
	if !e.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, e.deadline)
	defer cancel()
	e.ctx = ctx
	defer e.endRecall()
	n.budget.countRequest(e.service, e.arrivedAt)
	if e.route.RetryClass == routing.Stream {
		e.serveStream()
	} else {
		e.servePlain()
	}
}

// endPanic ends a panic of the handler. The caller gets status 502, which promises
// nothing, or its connection is closed if a response has begun.
func (e *exchange) endPanic() {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler { // closes the connection; see finishUnserved
		panic(value)
	}
	e.node.guard.Report("request", value)
	e.charge.Keep() // it isn't known whether the request ran
	if e.job != nil {
		e.job.End(time.Now(), dispatch.Abandoned)
	}
	if e.responded {
		e.cutResponse()
	}
	e.fail(http.StatusBadGateway, reasonInternal, nil)
}

// cutResponse aborts the handler, which closes the connection, so that a response
// that has begun doesn't look complete. To an HTTP/1.0 caller a body without a length
// ends with its connection, so only a reset shows that it isn't whole.
func (e *exchange) cutResponse() {
	if !e.r.ProtoAtLeast(1, 1) {
		http1.ResetOnClose(e.r.Context())
	}
	panic(http.ErrAbortHandler)
}

// admit validates the request, reads its body and chooses its service. If it
// refuses the request, it responds to the caller and returns false.
func (e *exchange) admit() (ok bool) {
	n := e.node
	table := n.table.Load()
	if table == nil {
		e.refuse(reasonNoConfig, defaultRetryAfter)
		return false
	}
	e.version = table.Version
	if !n.mayAdmit() {
		e.refuse(reasonStarting, defaultRetryAfter)
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
	// An open route needs no key, but an upstream is told the workspace of one that comes.
	if (!e.route.Anonymous || e.request.Key != "") && !n.configFresh() {
		e.refuse(reasonStaleConfig, defaultRetryAfter)
		return false
	}
	if !e.chargeQuota() {
		return false
	}
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultHeaderBytes
	}
	if err = e.readBody(limit); err != nil {
		e.failBody(err)
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
	if window := n.stopWindow.Load(); window != nil && !window.end.IsZero() && e.deadline.After(window.end) {
		e.refuse(reasonStopping, defaultRetryAfter)
		return false
	}
	e.service = e.route.PickService(rand.Float64())
	e.header = platform.EndToEndHeaders(e.r.Header)
	return true
}

// failBody responds to a request whose body can't be read. The rest of the body isn't
// read if the node has no memory for it.
func (e *exchange) failBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case e.node.requestCtx.Err() != nil:
		e.refuse(reasonStopping, defaultRetryAfter)
	case http1.BodyAborted(e.r.Context()):
		e.w.Header().Set("Connection", "close")
		e.fail(http.StatusRequestTimeout, reasonStalled, err)
	case errors.Is(err, errMemoryExhausted):
		e.w.Header().Set("Connection", "close")
		e.refuse(reasonMemory, defaultRetryAfter)
	case errors.As(err, &tooLarge):
		e.fail(http.StatusRequestEntityTooLarge, reasonTooLarge, err)
	default:
		e.fail(http.StatusBadRequest, reasonMalformed, err)
	}
}

// send makes one attempt to send the request to the chosen upstream. The job is
// valid even if err isn't nil, and must be ended.
func (e *exchange) send(choice dispatch.Choice, upstreamHeaders platform.UpstreamHeaders) (response *relay.Response, job *dispatch.Job, err error) {
	now := time.Now()
	header := e.header.Clone()
	upstreamHeaders.Instance, upstreamHeaders.Workspace = choice.Upstream.ID, e.workspace
	upstreamHeaders.Deadline = e.deadline.Sub(now) - upstreamMargin
	platform.SetUpstreamHeaders(header, upstreamHeaders)
	job = e.node.dispatcher.Begin(choice, now)
	e.job = job
	if !e.beginUnderWay(choice.Upstream) {
		return nil, job, &relay.Failure{Err: errUpstreamFull}
	}
	target := relay.Target{ID: choice.Upstream.ID, Address: choice.Upstream.Address}
	attemptCtx := e.watchAttempt(job, upstreamHeaders.PrefillOnly, now)
	response, err = e.node.upstreamPool.Send(attemptCtx, target, &relay.Request{
		Method: e.r.Method, URI: requestURI(e.r), Host: e.r.Host, Header: header, Body: e.body, ID: e.request.ID,
		Check: func() (err error) {
			condition, registered := e.node.dispatcher.Condition(choice.Upstream.ID, time.Now())
			if !registered || condition >= dispatch.Paused {
				return errWithdrawn
			}
			return nil
		},
	})
	if err == nil {
		e.observe(job, response.Reply)
		err = e.settleAttempt(job, upstreamHeaders.PrefillOnly, response)
	}
	return response, job, err
}

// notSent reports whether an attempt failed for a reason that is no fault of the upstream,
// before a byte was sent.
func notSent(err error) (ok bool) {
	return errors.Is(err, errWithdrawn) || errors.Is(err, errUpstreamFull) || errors.Is(err, relay.ErrNoConnection)
}

// observe passes on to the dispatcher what an upstream said of itself in an answer.
func (e *exchange) observe(job *dispatch.Job, reply platform.ResponseHeaders) {
	now := time.Now()
	job.ObserveLoad(reply.Load, now)
	if reply.Leaving {
		job.Observe(dispatch.LeavingNotice{}, now)
		e.node.count("upstream_evidence", "Leaving")
	}
	if reply.Pause > 0 {
		job.Observe(dispatch.PauseRequest{For: reply.Pause}, now)
		e.node.count("upstream_evidence", "Pause")
		e.log("upstream asked for a pause", "Upstream", job.Upstream().ID, "Pause", reply.Pause)
	}
}

// observeDeviation counts how far off the expected time of a prefill was, and returns
// log attributes that say so. It does nothing if the speeds of upstreams aren't known.
func (e *exchange) observeDeviation(job *dispatch.Job) (attributes []any) {
	deviation, ok := job.Deviation(time.Now())
	if !ok {
		return nil
	}
	outcome := "Later"
	if deviation.WithinTwice {
		outcome = "WithinTwice"
	}
	n, class := e.node, deviation.Class.String()
	n.count("speed_answers", class+outcome)
	n.addSeconds("speed_expected", class, deviation.Expected)
	n.addSeconds("speed_took", class, deviation.Took)
	return []any{
		"Own", deviation.Took, "Figure", deviation.Figure, "Factor", deviation.Factor, "Class", class,
		"RecentRatio", deviation.Recent.Ratio, "RecentWithinTwice", deviation.Recent.WithinTwice,
	}
}

// requestURI returns the request's URI as it was received. An absolute URI is
// reduced to its path and query.
func requestURI(r *http.Request) (uri string) {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// allowRetry reports whether the request may be sent again, and counts the retry
// against the retry budget if so. mayHaveRun means that the last attempt may have
// run.
func (e *exchange) allowRetry(mayHaveRun bool) (ok bool) {
	switch {
	case e.ctx.Err() != nil:
		return false
	case mayHaveRun && (!e.route.Retryable() || e.runs+e.recall.prefills >= e.route.MaxAttempts):
		return false
	case e.calls > 0 && !e.spendRetry(time.Now()):
		e.lastReason = reasonRetryBudget
		return false
	}
	return true
}

// finishUnserved responds to a request for which no upstream gave a response.
// retryAfter is sent if the request has not run. If the caller left, it aborts
// the handler.
func (e *exchange) finishUnserved(retryAfter time.Duration) {
	switch {
	case e.node.requestCtx.Err() != nil:
		e.refuse(reasonStopping, retryAfter)
	case e.r.Context().Err() != nil:
		e.countUnanswered()
		panic(http.ErrAbortHandler)
	case e.workStatus() == upstream.MayHaveRun && e.ctx.Err() != nil:
		e.fail(http.StatusGatewayTimeout, reasonTimeout, nil)
	case e.workStatus() == upstream.MayHaveRun:
		e.refuse(e.lastReason, retryAfter)
	default:
		// Before the first pause ends, another attempt here would be refused too.
		if wait, paused := e.node.dispatcher.ResumesIn(e.service, time.Now()); paused && wait > retryAfter {
			e.lastReason, retryAfter = reasonPaused, wait
		}
		e.refuse(e.lastReason, retryAfter)
	}
}

// countUnanswered counts a request whose connection ended before an answer, which is
// a fault unless the caller closed it.
func (e *exchange) countUnanswered() {
	if http1.ClosedLocally(e.r.Context()) {
		e.node.count("cut", string(e.lastReason))
		e.log("connection of the caller closed before an answer", "Stopping", e.node.stopping.Load())
		return
	}
	e.node.count("left", string(e.lastReason))
}

// workStatus reports whether the request may have run. A prefill isn't a run.
func (e *exchange) workStatus() (status upstream.WorkStatus) {
	if e.runs > 0 {
		return upstream.MayHaveRun
	}
	return upstream.NotRun
}

// mayForward reports whether the caller may get the status that an upstream answered.
// One that promises that the request has not run isn't forwarded if it may have and
// must not run again: the caller would repeat it.
func (e *exchange) mayForward(status int) (ok bool) {
	return e.route.Retryable() || e.workStatus().Allows(status)
}

// refuse responds with status 503, which promises that the request has not run
// and won't, or with 502 if it may have run.
func (e *exchange) refuse(cause reason, retryAfter time.Duration) {
	e.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	e.fail(http.StatusServiceUnavailable, cause, nil)
}

// fail responds with an error of this node, and logs and counts its cause.
func (e *exchange) fail(status int, cause reason, err error) {
	e.writeFailure(status, failureBody{Reason: cause}, err)
}

// writeFailure responds with an error of this node. In place of a status that promises
// that the request has not run, one that may have run gets 502, which promises nothing.
func (e *exchange) writeFailure(status int, body failureBody, err error) {
	work, header := e.workStatus(), e.w.Header()
	if !work.Allows(status) {
		status = http.StatusBadGateway
		header.Del("Retry-After")
	}
	e.node.count("failed", string(body.Reason))
	if body.Reason != reasonQuota { // see refusalLogInterval
		e.log("request failed", "Status", status, "Reason", body.Reason, "Error", err)
	}
	text, _ := json.Marshal(body) // a string and a number, so this can't fail
	text = append(text, '\n')
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	header.Set(upstream.HeaderWorkStatus, string(work))
	if e.request.ID != "" {
		header.Set("Request-Id", e.request.ID)
	}
	e.closeIfStopping()
	e.responded = true
	e.w.WriteHeader(status)
	e.w.Write(text)
}

// closeIfStopping tells the caller, before the head of the answer is written, that the
// connection ends after the answer if the node stops.
func (e *exchange) closeIfStopping() {
	if e.node.stopping.Load() {
		e.w.Header().Set("Connection", "close")
	}
}

// log logs a message with the state of the exchange.
func (e *exchange) log(message string, args ...any) {
	name := ""
	if e.route != nil {
		name = e.route.Name
	}
	e.node.logger.Info(message, slices.Concat([]any{
		"Request", e.request.ID, "Route", name, "Version", e.version, "Workspace", e.workspace, "Tried", e.tried,
		"Calls", e.calls, "Runs", e.runs, "Elapsed", time.Since(e.arrivedAt),
	}, args)...)
}

// writeHead writes the status and headers of an upstream's response to the
// caller. A negative length is unknown.
func (e *exchange) writeHead(response *relay.Response, length int64) {
	header := e.w.Header()
	for name, values := range platform.EndToEndHeaders(response.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	e.closeIfStopping()
	e.responded = true
	e.w.WriteHeader(response.Status)
}
