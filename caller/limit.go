package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// limits enforces each workspace's rate and concurrency limits on this
	// node. They are set for the whole fleet. Each live node grants an equal
	// share, since the load balancer spreads requests evenly. A node's share of
	// the concurrency limit is rounded up and its burst is at least 1, so all
	// nodes together may admit more than the limit.
	limits struct {
		nodes func() int

		mu         sync.Mutex
		workspaces map[string]*workspaceLimiter // by qualified name; not removed with the workspace
	}

	// workspaceLimiter holds one workspace's rate limiter and its number of
	// running requests.
	workspaceLimiter struct {
		rate    *rate.Limiter
		running int
	}
)

func newLimits(nodes func() int) *limits {
	return &limits{nodes: nodes, workspaces: make(map[string]*workspaceLimiter)}
}

// limit refuses a request that exceeds its workspace's rate or concurrency
// limit. Requests without a workspace have none.
func (s *Server) limit(ex *exchange) (refused *Refusal) {
	if ex.workspace == nil {
		return nil
	}
	reason, wait := s.limits.acquire(ex.workspace, time.Now())
	if reason == "" {
		ex.admitted = true
		return nil
	}
	refused = notRun(reason, "the workspace's limit is reached")
	refused.RetryAfter = max(wait, refused.RetryAfter)
	return refused
}

// acquire counts a request as running, or returns the reason to refuse it. For
// the rate limit, wait is the time until it admits a request.
func (l *limits) acquire(workspace *fleet.Workspace, now time.Time) (reason upstream.Reason, wait time.Duration) {
	nodes := max(1, l.nodes())
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.workspaces[workspace.QualifiedName()]
	if limiter == nil {
		limiter = &workspaceLimiter{rate: rate.NewLimiter(share(workspace, nodes))}
		l.workspaces[workspace.QualifiedName()] = limiter
	}
	limiter.setRate(workspace, nodes, now)
	if workspace.Concurrent > 0 && limiter.running >= max(1, (workspace.Concurrent+nodes-1)/nodes) {
		return upstream.ReasonConcurrency, 0
	}
	if reservation := limiter.rate.ReserveN(now, 1); reservation.DelayFrom(now) > 0 {
		wait = reservation.DelayFrom(now)
		reservation.CancelAt(now)
		return upstream.ReasonRate, wait
	}
	limiter.running++
	return "", 0
}

// release stops counting a request that acquire admitted.
func (l *limits) release(workspace *fleet.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limiter := l.workspaces[workspace.QualifiedName()]; limiter != nil {
		limiter.running--
	}
}

// share returns one node's share of a workspace's rate and burst.
func share(workspace *fleet.Workspace, nodes int) (limit rate.Limit, burst int) {
	if workspace.RequestsPerSecond <= 0 {
		return rate.Inf, 1
	}
	return rate.Limit(workspace.RequestsPerSecond / float64(nodes)), max(1, workspace.Burst/nodes)
}

// setRate adjusts the limiter to the configuration and the number of nodes.
func (l *workspaceLimiter) setRate(workspace *fleet.Workspace, nodes int, now time.Time) {
	limit, burst := share(workspace, nodes)
	if l.rate.Limit() != limit {
		l.rate.SetLimitAt(now, limit)
	}
	if l.rate.Burst() != burst {
		l.rate.SetBurstAt(now, burst)
	}
}

// readBody reads the whole body. A body that is too large or too slow is
// refused before any work begins.
func (s *Server) readBody(ex *exchange) (refused *Refusal) {
	limit := s.options.MaxBodyBytes
	if ex.route != nil && ex.route.MaxBodyBytes > 0 {
		limit = min(limit, ex.route.MaxBodyBytes)
	}
	controller := http.NewResponseController(ex.writer)
	controller.SetReadDeadline(time.Now().Add(s.options.BodyTimeout)) // not supported by test writers
	body, err := io.ReadAll(http.MaxBytesReader(ex.writer, ex.request.Body, limit))
	controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return notRun(upstream.ReasonBodyTooLarge, "the body exceeds the limit of "+byteCount(limit))
	case err != nil:
		return notRun(upstream.ReasonBadRequest, "the body could not be read: "+err.Error())
	}
	ex.body = body
	return nil
}

// byteCount formats a size limit, in MiB if it is a multiple of that.
func byteCount(n int64) (text string) {
	if n >= 1<<20 && n%(1<<20) == 0 {
		return strconv.FormatInt(n>>20, 10) + " MiB"
	}
	return strconv.FormatInt(n, 10) + " bytes"
}
