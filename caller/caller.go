// Package caller serves the HTTP API to its clients, here named callers: the
// OpenAI-style model API and the routes of plain services. Each node runs one
// Server. Each request passes through a chain of filters and is then dispatched
// to an upstream's scheduler, the node through which all requests to that
// upstream pass. RPC methods and log attributes name the scheduler Steward.
//
// # Usage
//
//	server := caller.New(ctx, options)
//	http.Serve(listener, server.Handler())
//	server.StopAccepting() // once the listener is closed, for requests on open connections
//	server.Drain(ctx)
//
// The Work-Status header of each refusal says whether the work ran: NotRun or
// MayHaveRun. Every response has an X-Request-Id header.
//
// # Failures
//
//   - Upstream: the work is tried on another one, as far as its retry class, the
//     retry budget and the deadline allow. A generation continues after the last
//     token received.
//   - Scheduler: the node that takes over from it is asked, for a call to a plain
//     service only if the scheduler certainly didn't run the call. A stream ends
//     after maxPullFailures failed pulls, and another attempt follows.
//   - Store: requests that may run only once are refused with StoreDown, since
//     they can't be claimed. Others don't use it.
//   - Crash trackers: requests are served without the check for poison requests.
//   - Meter: the request is answered although no replica has confirmed its usage.
//   - Configuration: before the first one, all requests are refused. While
//     Options.Isolated reports true, those that need an API key are.
//   - Caller: work in progress is canceled if the caller disconnects or blocks a
//     write to its stream for about Options.WriteTimeout.
//
// The scheduler ends an attempt at the request's deadline, and no retry starts
// after it. If the scheduler doesn't reply, the timeouts of the calls to it
// apply.
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
	drainPollInterval = 50 * time.Millisecond

	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
)

type (
	// Directory finds the nodes that schedule upstreams and track crashes.
	Directory interface {
		// Schedulers returns the address of the upstream's scheduler, followed
		// by that of the node that takes over if the scheduler fails, or nothing
		// if no node is alive.
		Schedulers(spec *fleet.Upstream) (addresses []netip.AddrPort)
		// CrashTrackers returns the nodes that count the upstreams crashed by
		// the request with this fingerprint: near are those in this node's
		// region, far those in other regions.
		CrashTrackers(fingerprint string) (near, far []netip.AddrPort)
		// Nodes returns the number of live nodes.
		Nodes() (n int)
	}

	// Meter records the usage for which workspaces are billed.
	Meter interface {
		// Record adds usage to a workspace and returns once a peer has a copy.
		// After an error the request is still answered.
		Record(ctx context.Context, workspace string, usage upstream.Usage, elapsed time.Duration) (err error)
	}

	// Options configures a Server. Zero limits take the defaults below. Package
	// node sets all of them from its settings, which have their own defaults,
	// except MaxTokensLimit, which has no setting.
	Options struct {
		Logger    *slog.Logger
		Metrics   *metrics.Set
		Checker   *invariant.Checker
		Snapshot  func() *fleet.Snapshot
		Directory Directory
		Peers     peer.RPCClient
		Claims    *claim.Claims // not used for idempotent requests
		Meter     Meter         // if nil, usage isn't recorded
		// Isolated reports whether this node might miss withdrawals of API
		// keys. Requests that need a key are refused meanwhile. It may be nil.
		Isolated func() bool

		FailureDomain string
		Region        string
		Preferences   policy.Preferences

		MaxBodyBytes   int64         // a route can only lower it; default 4 MiB
		ModelDeadline  time.Duration // also for routes without a deadline; default 2 min
		WriteTimeout   time.Duration // for one write to the caller, in a stream up to an eighth less; default 30 s
		BodyTimeout    time.Duration // for reading the whole body; default 30 s
		MaxTokensLimit int           // largest max_tokens accepted; default 16,384
	}

	// Server serves the HTTP API to callers.
	Server struct {
		ctx      context.Context
		options  Options
		limits   *limits
		retries  *policy.RetryBudget // guarded by retryMu
		retryMu  sync.Mutex
		pullers  *pullerPool
		loads    sync.Map // qualified name of an upstream -> *knownLoad; not removed with the upstream
		inFlight atomic.Int64

		firstToken *metrics.Histogram
		stopping   atomic.Bool // set by StopAccepting
		handler    http.Handler
	}
)

// New returns a Server. When ctx ends, requests in progress are canceled.
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
	s.pullers = newPullerPool(s)
	router := chi.NewRouter()
	router.Post(pathChat, s.serve(s.parseChat))
	router.Post(pathCompletions, s.serve(s.parseCompletion))
	router.Get(pathModels, s.serve(s.parseModels))
	// The routes of plain services come with the configuration, which may
	// change. matchRoute finds them.
	router.NotFound(s.serve(s.parseCall))
	router.MethodNotAllowed(s.serve(s.parseCall))
	s.handler = router
	return s
}

// Handler returns the handler for all of the server's paths.
func (s *Server) Handler() http.Handler { return s.handler }

// StopAccepting makes the server refuse new requests.
func (s *Server) StopAccepting() { s.stopping.Store(true) }

// Drain waits until no request is in progress. It returns the error of ctx if
// that ends first.
func (s *Server) Drain(ctx context.Context) (err error) {
	for s.inFlight.Load() > 0 {
		select {
		case <-time.After(drainPollInterval):
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
