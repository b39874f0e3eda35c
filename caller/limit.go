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
	// limits holds each workspace's rate and concurrency on this node. A
	// workspace's limits are for the fleet; each live node grants an equal
	// share, since the balancer spreads requests evenly.
	limits struct {
		nodes func() int

		mu         sync.Mutex
		workspaces map[string]*usage
	}

	// usage is one workspace's.
	usage struct {
		limiter *rate.Limiter
		running int
	}
)

func newLimits(nodes func() int) *limits {
	return &limits{nodes: nodes, workspaces: make(map[string]*usage)}
}

// limit applies the workspace's rate and concurrency limits.
func (s *Server) limit(ex *exchange) (refused *Refusal) {
	if ex.workspace == nil {
		return nil
	}
	reason, wait := s.limits.enter(ex.workspace, time.Now())
	if reason == "" {
		ex.entered = true
		return nil
	}
	refused = notRun(reason, "the workspace's limit is reached")
	refused.RetryAfter = max(wait, refused.RetryAfter)
	return refused
}

// enter counts a request in, or returns which limit it meets.
func (l *limits) enter(workspace *fleet.Workspace, now time.Time) (reason upstream.Reason, wait time.Duration) {
	nodes := max(1, l.nodes())
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.workspaces[workspace.QualifiedName()]
	if u == nil {
		u = &usage{limiter: rate.NewLimiter(share(workspace, nodes))}
		l.workspaces[workspace.QualifiedName()] = u
	}
	u.setRate(workspace, nodes, now)
	if workspace.Concurrent > 0 && u.running >= max(1, (workspace.Concurrent+nodes-1)/nodes) {
		return upstream.ReasonConcurrency, 0
	}
	if reservation := u.limiter.ReserveN(now, 1); reservation.DelayFrom(now) > 0 {
		wait = reservation.DelayFrom(now)
		reservation.CancelAt(now)
		return upstream.ReasonRate, wait
	}
	u.running++
	return "", 0
}

// leave counts a request out.
func (l *limits) leave(workspace *fleet.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.workspaces[workspace.QualifiedName()]; u != nil {
		u.running--
	}
}

// share returns one node's part of a workspace's rate and burst.
func share(workspace *fleet.Workspace, nodes int) (limit rate.Limit, burst int) {
	if workspace.RequestsPerSecond <= 0 {
		return rate.Inf, 1
	}
	return rate.Limit(workspace.RequestsPerSecond / float64(nodes)), max(1, workspace.Burst/nodes)
}

func (u *usage) setRate(workspace *fleet.Workspace, nodes int, now time.Time) {
	limit, burst := share(workspace, nodes)
	if u.limiter.Limit() != limit {
		u.limiter.SetLimitAt(now, limit)
	}
	if u.limiter.Burst() != burst {
		u.limiter.SetBurstAt(now, burst)
	}
}

// readBody reads the whole body within its limits of size and time. A body that
// is too slow or too large is refused before any work begins.
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
		return notRun(upstream.ReasonBadRequest, "the body could not be read in time: "+err.Error())
	}
	ex.body = body
	return nil
}

// byteCount prints a size limit.
func byteCount(n int64) (text string) {
	if n >= 1<<20 && n%(1<<20) == 0 {
		return strconv.FormatInt(n>>20, 10) + " MiB"
	}
	return strconv.FormatInt(n, 10) + " bytes"
}
