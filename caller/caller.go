// Package caller serves callers over HTTP: the OpenAI-style model API and the
// routes of plain services. A request passes a chain of filters, each in a file
// of its own, and ends in a dispatch to the upstream's scheduler.
//
// # Usage
//
//	server := caller.New(ctx, options)
//	http.Serve(listener, server.Handler())
//	server.Drain(ctx) // after the listener has closed
//
// Every refusal says in the header Work-Status whether the work ran,
// NotRun or MayHaveRun, and every answer carries X-Request-Id.
package caller

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"github.com/guavagauge/guavagauge/claim"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	drainPoll = 50 * time.Millisecond

	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
)

type (
	// Directory finds the nodes that are responsible for upstreams.
	Directory interface {
		// Schedulers returns the upstream's scheduler, followed by the node
		// that would be next.
		Schedulers(spec *fleet.Upstream) (addresses []netip.AddrPort)
		// CrashTrackers returns the nodes that count a request's crashes, in
		// this node's region and in the others.
		CrashTrackers(fingerprint string) (near, far []netip.AddrPort)
		// Nodes returns the number of live nodes.
		Nodes() (n int)
	}

	// Meter bills completed work.
	Meter interface {
		// Record adds to a workspace's usage and returns when a peer holds the
		// figures too. A failure doesn't stop the answer.
		Record(ctx context.Context, workspace string, usage upstream.Usage, elapsed time.Duration) (err error)
	}

	// Options of a Server. Zero limits take the defaults of New.
	Options struct {
		Logger    *slog.Logger
		Metrics   *metrics.Set
		Checker   *invariant.Checker
		Snapshot  func() *fleet.Snapshot
		Directory Directory
		Peers     peer.RPCClient
		Claims    *claim.Claims
		Meter     Meter
		// Isolated reports whether withdrawals of keys may not reach this node.
		Isolated func() bool

		FailureDomain string
		Region        string
		Preferences   policy.Preferences

		MaxBodyBytes   int64         // default 4 MiB
		ModelDeadline  time.Duration // default 2 min
		WriteTimeout   time.Duration // one write to a slow caller; default 30 s
		BodyTimeout    time.Duration // reading the whole body; default 30 s
		MaxTokensLimit int           // largest max_tokens; default 16,384
	}

	// Server serves callers.
	Server struct {
		ctx      context.Context
		options  Options
		limits   *limits
		retries  *policy.RetryBudget
		retryMu  sync.Mutex
		pulls    *pulls
		loads    sync.Map // upstream key -> *knownLoad
		inFlight atomic.Int64

		firstToken *metrics.Histogram
		stopping   atomic.Bool
		handler    http.Handler
	}
)

// New returns a Server. Requests end with ctx.
func New(ctx context.Context, options Options) *Server {
	setDefault(&options.MaxBodyBytes, 4<<20)
	setDefault(&options.ModelDeadline, 2*time.Minute)
	setDefault(&options.WriteTimeout, 30*time.Second)
	setDefault(&options.BodyTimeout, 30*time.Second)
	setDefault(&options.MaxTokensLimit, 16384)
	s := &Server{
		ctx: ctx, options: options,
		limits:     newLimits(options.Directory.Nodes),
		retries:    policy.NewRetryBudget(policy.RetryOptions{}),
		firstToken: options.Metrics.GetOrCreateHistogram("guavagauge_first_token_seconds"),
	}
	s.pulls = newPulls(s)
	router := chi.NewRouter()
	router.Post(pathChat, s.serve(s.readChat))
	router.Post(pathCompletions, s.serve(s.readCompletion))
	router.Get(pathModels, s.serve(s.readModels))
	router.NotFound(s.serve(s.readCall))
	router.MethodNotAllowed(s.serve(s.readCall))
	s.handler = router
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.handler }

// StopAccepting refuses requests from now on.
func (s *Server) StopAccepting() { s.stopping.Store(true) }

// Drain returns when no request is in progress, or when ctx ends.
func (s *Server) Drain(ctx context.Context) (err error) {
	for s.inFlight.Load() > 0 {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

func (s *Server) count(kind string, reason upstream.Reason) {
	s.options.Metrics.GetOrCreateCounter("guavagauge_" + kind + `_total{reason="` + string(reason) + `"}`).Inc()
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
