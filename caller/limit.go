package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/quota"
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
		start time.Time // accounts use the time since then

		mu         sync.Mutex
		workspaces map[string]*workspaceLimiter // by qualified name; not removed with the workspace
	}

	// workspaceLimiter holds this node's share of a workspace's rate and the
	// number of its running requests.
	workspaceLimiter struct {
		rate    *quota.Account
		running int
	}
)

func newLimits(nodes func() int) *limits {
	return &limits{nodes: nodes, start: time.Now(), workspaces: make(map[string]*workspaceLimiter)}
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
	nodes, elapsed := max(1, l.nodes()), now.Sub(l.start)
	limit, share := quota.Quota{Rate: workspace.RequestsPerSecond, Burst: float64(workspace.Burst)}, 1/float64(nodes)
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.workspaces[workspace.QualifiedName()]
	if limiter == nil {
		limiter = &workspaceLimiter{rate: quota.NewAccount(limit, share, 0, elapsed)}
		l.workspaces[workspace.QualifiedName()] = limiter
	}
	limiter.rate.Set(limit, share, elapsed)
	if workspace.Concurrent > 0 && limiter.running >= max(1, (workspace.Concurrent+nodes-1)/nodes) {
		return upstream.ReasonConcurrency, 0
	}
	var ok bool
	if wait, ok = limiter.rate.Take(limit.Cost(quota.Usage{}), elapsed); !ok {
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
