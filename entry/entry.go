// Package entry runs an entry node: a server that accepts the requests of callers
// and forwards them to upstreams. The platform's store holds the operator's
// configuration, the list of upstreams and the leader's lease. Any node can serve
// any request: it reads the whole request, chooses an upstream by its load and
// cache contents as far as the node knows them, and forwards the response. The entry
// command of guavagauge runs one node per process.
//
// Nodes keep no state on disk. They send each other the loads, cache inserts, grants,
// crashes and usage counts that their requests cause. In the store they write only
// their own entries (nodeKeyPrefix), usage counts (usageKeyPrefix), the leader's
// lease (leaderKey) and the quarantines (quarantineKey).
//
// One node per failure domain, the store reader, follows the store; the other
// nodes of the domain follow the store reader. One node of the fleet, the leader,
// reports usage to the platform and orders capacity from it.
//
// # Usage
//
//	n, err := entry.New(ctx, entry.Options{Settings: settings, Logger: logger})
//	<-signal
//	n.Stop(stopCtx) // graceful shutdown
//
// # Freshness of the configuration
//
// The configuration of a node is compared with the store's about once a second.
// When the last confirmation is too old, keys that the node accepts may have been
// withdrawn. The node then refuses requests on routes that require a key until the
// store or another node confirms its configuration.
//
// # Failures
//
//   - Store: the node keeps its configuration and upstreams, and follows any node
//     that can read the store. Without one, it isn't ready once the configuration is
//     too old, and serves only anonymous routes. Upstreams whose entries expired
//     during an outage for all nodes stay in use for upstreamGrace. A failed call is
//     first repeated on a new connection, since open ones may go silent.
//   - Other nodes: one that is silent for readerTTL can't be the store reader, and
//     each node of its domain follows the next one by name. One that is silent for
//     peerTTL doesn't count as alive.
//   - Upstream: the request is retried at another upstream if it hasn't run, or if
//     its route allows it to run again, within the retry budget and the deadline.
//     Otherwise the caller gets status 503 if the request has not run, and 502 or
//     504 if it may have. A response that has begun is cut off. A crash of the
//     upstream counts against the request, see crashLimit, and against the parts
//     of its prompt, see policy.Suspects. A request that waits at an upstream while
//     others have room is recalled, if its upstreams report a slowdown; see package
//     recall.
//   - Platform: callers are served as before. The leader repeats usage reports until
//     Bounds.UsageLateness, and orders after orderRetryDelay.
//   - A panic of this program: it ends the request, message or call in which it
//     happened. Background loops start again, see package guard.
//   - Caller: when it disconnects, the request to the upstream is canceled. One that
//     doesn't keep to the limits is refused, and what it may hold is bounded, see package
//     resources.
package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/connlimit"
	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/guard"
	"github.com/guavagauge/guavagauge/http1"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/recall"
	"github.com/guavagauge/guavagauge/relay"
	"github.com/guavagauge/guavagauge/resources"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	// upstreamGrace is how long an upstream whose entry expired because of a store
	// outage stays usable, so that it can register again. It stays below the
	// three seconds after which no node may send requests to an upstream whose entry
	// is gone.
	upstreamGrace = 2 * time.Second
	// callerIdleTimeout, defaultHeaderTimeout and defaultHeaderBytes are the limits for
	// callers' connections where the configuration has none. No caller reaches them.
	// defaultHeaderBytes is also the body limit if the configuration has none.
	callerIdleTimeout    = 2 * time.Minute
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
	// maxHeaderBytes exceeds the header limit of any configuration.
	maxHeaderBytes = 1 << 20
	// summaryInterval is the time between log lines with the counters.
	summaryInterval = 10 * time.Second
	// sweepInterval is the time between closing idle connections to upstreams, and
	// between updates of the dispatcher for upstreams whose grace has ended.
	sweepInterval = 250 * time.Millisecond
	// stopAnswerTime is how long a stopping node waits until the last responses are
	// written, those to requests that it cuts off included.
	stopAnswerTime = 200 * time.Millisecond
	// finalFlushTime is how long the last write of usage may take if the requests have
	// used up the time of Stop.
	finalFlushTime = 400 * time.Millisecond
	// withdrawDelay is how long a stopping node accepts new requests. The load
	// balancer checks readiness once a second and removes a node after two failed
	// checks.
	withdrawDelay = 2500 * time.Millisecond

	// readinessConnections and operatorConnections bound the connections of the
	// listeners for readiness checks, and of those for metrics and for profiles. Load
	// balancers and scrapers use one connection each.
	readinessConnections = 64
	operatorConnections  = 32
	// answerTimeout bounds the time for an answer to a readiness check or a scrape, and
	// profileTimeout that for a profile, which lasts for 30 s by default.
	answerTimeout  = 10 * time.Second
	profileTimeout = 5 * time.Minute
)

type (
	// ConfigStore is the platform's store, as a node uses it.
	ConfigStore interface {
		store.Client
		// Range returns the entries whose keys begin with prefix, and the store's
		// position before the read. A stale read is cheaper and may be seconds old.
		Range(ctx context.Context, prefix string, stale bool) (entries []store.Entry, at store.Position, err error)
		// GetAll returns those of the keys that exist, in one call.
		GetAll(ctx context.Context, keys ...string) (entries map[string]store.Entry, err error)
		// Compare returns nil if the key is still at the position. Otherwise it returns
		// store.ErrConflict, with the current entry if the store sent it.
		Compare(ctx context.Context, key string, position store.Position) (current store.Entry, err error)
	}

	// Options configures a Node. Settings and Logger are required.
	Options struct {
		Settings *settings.EntrySettings
		Logger   *slog.Logger
		Store    ConfigStore
		// Cloud is a client of Settings.Cloud by default. If that has no address, the
		// node writes no usage and never becomes the leader.
		Cloud   Cloud
		Network transport.Network // platform.Network{} by default
		// Packets opens the socket for datagrams of other nodes; UDP by default.
		Packets func(address netip.AddrPort) (conn net.PacketConn, err error)
		// Clock returns the time since a fixed moment, including the time for which
		// the VM was suspended. By default it is the time since the VM booted.
		Clock func() time.Duration
	}

	// Node is a running entry node.
	Node struct {
		// Metrics is what the metrics listener serves.
		Metrics *metrics.Set

		settings          *settings.EntrySettings
		logger            *slog.Logger
		store             ConfigStore
		cloud             Cloud
		clock             func() time.Duration
		startedAt         time.Duration // clock reading
		ctx               context.Context
		cancel            context.CancelFunc
		table             atomic.Pointer[routing.Table]
		configConfirmedAt atomic.Int64 // clock reading at which the configuration was last known to be the newest
		storeSeenAt       atomic.Int64 // clock reading at which the store last answered about the configuration, to this node or the one that it follows
		unconfirmedAt     atomic.Int64 // clock reading of the last answer of the store that didn't confirm the configuration; 0: none
		upstreamsListed   atomic.Bool  // upstreams was filled at least once, from the store or by another node
		// configFailing is set while this node fails to compare its configuration with
		// the store, and upstreamsFailing while it fails to read the upstreams there.
		configFailing    atomic.Bool
		upstreamsFailing atomic.Bool
		// requestCtx is the context of callers' requests. Stop ends it before ctx, so that
		// requests that are cut off still get an answer.
		requestCtx     context.Context
		cancelRequests context.CancelFunc
		// stopWindow is set once Stop closes the listener for callers.
		stopWindow      atomic.Pointer[stopWindow]
		stopping        atomic.Bool
		lastFollowed    atomic.Int64 // clock reading when the last successful Entry.Follow call began
		lastDutyCall    atomic.Int64 // clock reading of this node's last call as the leader; 0: none
		inFlight        atomic.Int64
		upstreams       *discovery.UpstreamSet
		dispatcher      *dispatch.Dispatcher
		upstreamPool    *relay.Pool
		guard           *guard.Guard
		budget          *retryBudget
		recalls         *recall.Decider
		resources       *resources.Account
		underWay        *resources.UnderWay
		usage           *ledger
		frozen          frozenTotals
		erasEnded       atomic.Int64 // eras of the store whose end this node has seen
		crashes         *crashTracker
		quotas          *quotas
		peers           *peers
		callerServer    *http1.Server
		readinessServer *http.Server
		addresses       Addresses
		network         transport.Network
		peerPool        *peer.Pool
		engineClient    *platform.EngineClient
		cachesKnown     atomic.Bool  // bootstrapCaches has ended, successfully or not
		abandonedProbes atomic.Int64 // that run; see probeAbandoned
		crashesKnown    atomic.Bool  // the quarantines from before the start are known
		crashesWaived   atomic.Bool  // the node serves although they may be unknown
		configArchive   configArchive
		// transferring is set while a configuration is fetched from another node. The
		// goroutine that sets it owns transfer.
		transferring       atomic.Bool
		transfer           configTransfer
		transferAdvancedAt atomic.Int64 // clock reading when the transfer began or received its last part

		// malformedEntries has the revisions of the upstream entries that couldn't be
		// decoded, by key. Only the goroutine of followUpstreams uses it.
		malformedEntries map[string]uint64
		// syncMu guards the inputs of the last Dispatcher.Sync.
		syncMu           sync.Mutex
		syncedTable      *routing.Table
		syncedGeneration uint64

		// storeStateMu guards the fields below. The other types of this package have
		// their own locks.
		storeStateMu         sync.Mutex
		configEntry          store.Entry     // store entry of the configuration in force
		configVersion        uint64          // the operator's, of the configuration in force
		configSeen           store.Position  // of the entry that the store held last, in force or not
		heardConfig          routing.Edition // best one that another node said it has
		heardAnyConfig       bool
		upstreamsAt          store.Position // position in the store that upstreams reflects
		upstreamsConfirmedAt time.Duration  // clock reading at which upstreams were last known to be up to date
	}

	// stopWindow is the time for which a stopping node finishes requests.
	stopWindow struct{ end time.Time } // zero: without limit

	// Addresses holds the addresses of a node's listeners for callers and for
	// readiness checks, with their actual ports.
	Addresses struct{ Caller, Ready netip.AddrPort }
)

// New starts a node. It runs until Stop is called or ctx ends.
func New(ctx context.Context, options Options) (n *Node, err error) {
	s := options.Settings
	defer errors.DeferredAnnotatef(&err, "start entry node %s", s.Name)
	if options.Network == nil {
		options.Network = platform.Network{}
	}
	if options.Packets == nil {
		options.Packets = func(address netip.AddrPort) (conn net.PacketConn, err error) {
			return net.ListenPacket("udp4", address.String())
		}
	}
	set := metrics.NewSet()
	if options.Store == nil {
		options.Store = platform.NewStore(options.Network, s.Store.Address, func(call string) {
			set.GetOrCreateCounter(fmt.Sprintf("guavagauge_entry_store_calls_total{call=%q}", call)).Inc()
		})
	}
	if options.Cloud == nil && s.Cloud.Address.IsValid() {
		options.Cloud = platform.NewCloud(options.Network, s.Cloud.Address)
	}
	if options.Clock == nil {
		options.Clock = bootClock
	}
	n = &Node{
		Metrics: set, settings: s, logger: options.Logger.With("Node", s.Name), store: options.Store,
		cloud: options.Cloud, clock: options.Clock, upstreams: discovery.New(upstreamGrace),
		dispatcher: dispatch.New(dispatch.Options{FailureDomain: s.FailureDomain, Regions: s.Regions, Node: s.Name, LearnSpeeds: platform.UpstreamsUnderPressure(s.Contracts)}),
		network:    options.Network, budget: newRetryBudget(s.Bounds), recalls: recall.New(), underWay: resources.NewUnderWay(), usage: newLedger(s.Bounds.UsageWindow), crashes: newCrashTracker(),
		malformedEntries: map[string]uint64{},
	}
	n.startedAt = n.clock()
	n.quotas = newQuotas(n)
	n.resources = n.newAccount()
	n.guard = guard.New(n.logger, set)
	n.engineClient = platform.NewEngineClient(options.Network)
	n.upstreamPool = relay.New(relay.Options{
		Network: options.Network, Count: func(event string) { n.count("connections", event) },
		Opening: func() (ok bool) { return n.resources.OpenUpstream(time.Now()) }, Closed: n.resources.CloseUpstream,
	})
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.requestCtx, n.cancelRequests = context.WithCancel(n.ctx)
	if err = n.listen(); err != nil {
		n.cancel()
		return nil, err
	}
	if n.peers, err = newPeers(n, options.Packets); err != nil {
		n.cancel()
		return nil, err
	}
	if err = n.listenPeers(); err != nil {
		n.cancel()
		return nil, err
	}
	n.followConfig()
	n.followStoreReader()
	n.followUpstreams()
	n.learnQuarantines()
	n.storeQuarantines()
	n.followEras()
	n.campaign()
	n.bootstrapCaches()
	n.guard.Loop(n.ctx, "sweep", func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		summary := time.Now()
		outdated, partialQuotas := false, false
		for {
			select {
			case now := <-ticker.C:
				n.upstreamPool.Sweep(now)
				n.syncDispatcher()
				outdated = n.logConfigAge(outdated)
				partialQuotas = n.logQuotaNodes(partialQuotas)
				if now.Sub(summary) >= summaryInterval {
					summary = now
					n.logCounters()
				}
			case <-n.ctx.Done():
				return
			}
		}
	})
	return n, nil
}

// listen starts the listeners for callers, readiness checks and metrics.
func (n *Node) listen() (err error) {
	listener, err := n.network.Listen(n.ctx, n.settings.Listen.Caller)
	if err != nil {
		return err
	}
	readyListener, err := n.network.Listen(n.ctx, n.settings.Listen.Ready)
	if err != nil {
		return err
	}
	n.addresses = Addresses{Caller: addressOf(listener), Ready: addressOf(readyListener)}
	n.callerServer = http1.New(n.ctx, listener, http1.Options{
		Handler: http.HandlerFunc(n.serve), MaxHeaderBytes: maxHeaderBytes, Limits: n.callerLimits, Account: n.resources, WriteStall: writeStall,
		RequestContext: n.requestCtx, Logger: n.logger, Count: func(event string) { n.count("caller_connections", event) },
	})
	router := chi.NewRouter()
	router.Get("/v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	limited := n.limit("readiness listener", readyListener, readinessConnections)
	n.readinessServer = connlimit.NewServer(limited, router, connlimit.Timeouts{Write: answerTimeout})
	go func() { n.logListenerError("readiness listener", n.readinessServer.Serve(limited)) }()
	metricsRouter := chi.NewRouter()
	metricsRouter.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { n.Metrics.WritePrometheus(w) })
	n.listenOptional("metrics listener", n.settings.Listen.Metrics, metricsRouter, answerTimeout)
	n.listenOptional("profile listener", n.settings.Listen.Profile, profileRouter(), profileTimeout)
	return nil
}

// listenOptional starts a listener for operators if its address is set. The node
// can serve callers without it, so a failure is only logged.
func (n *Node) listenOptional(name string, address netip.AddrPort, handler http.Handler, timeout time.Duration) {
	if !address.IsValid() {
		return
	}
	listener, err := n.network.Listen(n.ctx, address)
	if err != nil {
		n.logger.Error("can't listen", "Listener", name, "Address", address, "Error", err)
		return
	}
	limited := n.limit(name, listener, operatorConnections)
	server := connlimit.NewServer(limited, handler, connlimit.Timeouts{Write: timeout})
	context.AfterFunc(n.ctx, func() { listener.Close() })
	go func() { n.logListenerError(name, server.Serve(limited)) }()
}

// limit bounds the connections of a listener.
func (n *Node) limit(name string, listener net.Listener, connections int) (limited *connlimit.Listener) {
	return connlimit.New(listener, connlimit.Options{
		Name: name, Connections: connections, Logger: n.logger, Count: n.countClosed(name), Timeouts: true,
	})
}

// countClosed returns a function that counts the connections which a limit of a
// listener closed.
func (n *Node) countClosed(listener string) (count func(reason connlimit.Reason)) {
	return func(reason connlimit.Reason) {
		n.Metrics.GetOrCreateCounter(fmt.Sprintf("guavagauge_entry_listener_closed_total{listener=%q,reason=%q}", listener, reason)).Inc()
	}
}

// profileRouter serves the profiles of net/http/pprof at their usual paths.
func profileRouter() (router chi.Router) {
	router = chi.NewRouter()
	router.Get("/debug/pprof/profile", pprof.Profile)
	router.Get("/debug/pprof/trace", pprof.Trace)
	router.Get("/debug/pprof/*", pprof.Index)
	return router
}

func addressOf(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// logListenerError logs the end of a listener unless the node is stopping.
func (n *Node) logListenerError(listener string, err error) {
	if !errors.Is(err, http.ErrServerClosed) && !n.stopping.Load() && n.ctx.Err() == nil {
		n.logger.Error("listener failed", "Listener", listener, "Error", err)
	}
}

// Addresses returns the addresses of the node's listeners.
func (n *Node) Addresses() Addresses { return n.addresses }

// Ready reports whether the load balancer should send requests to this node.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.table.Load() != nil && n.upstreamsListed.Load() && n.mayAdmit() && n.configFresh()
}

// Stop shuts the node down gracefully. The node reports that it isn't ready,
// accepts requests until the load balancer has removed it, and finishes the
// requests in flight. It refuses those that come on open connections later, unless
// their deadline is before that of ctx. When ctx ends first, the remaining ones are cut
// off: callers that have received nothing get an error.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.logger.Info("stopping", "InFlight", n.inFlight.Load())
	select {
	case <-time.After(withdrawDelay):
	case <-ctx.Done():
	}
	end, _ := ctx.Deadline()
	n.stopWindow.Store(&stopWindow{end: end})
	n.callerServer.Drain(ctx)
	if inFlight := n.inFlight.Load(); inFlight > 0 {
		n.logger.Warn("requests cut off at shutdown", "InFlight", inFlight)
	}
	n.cancelRequests()
	answerCtx, cancel := context.WithTimeout(n.ctx, stopAnswerTime)
	defer cancel()
	n.callerServer.Close(answerCtx)
	flushCtx := ctx
	if !end.IsZero() && time.Until(end) < finalFlushTime {
		var cancelFlush context.CancelFunc
		flushCtx, cancelFlush = context.WithTimeout(n.ctx, finalFlushTime)
		defer cancelFlush()
	}
	n.flushUsage(flushCtx)
	n.cancel()
	n.readinessServer.Close()
	n.logger.Info("stopped")
}

// logCounters logs all counters, for operators who can't reach the metrics
// address.
func (n *Node) logCounters() {
	var text strings.Builder
	n.Metrics.WritePrometheus(&text)
	line := strings.ReplaceAll(strings.TrimSpace(text.String()), "guavagauge_entry_", "")
	n.logger.Info("counters", "InFlight", n.inFlight.Load(), "Reader", n.isStoreReader(), "ConfigAge", n.configAge(),
		"Counters", strings.ReplaceAll(line, "\n", "; "))
}

// count increments a counter of the node with the label reason.
func (n *Node) count(name, label string) {
	n.Metrics.GetOrCreateCounter("guavagauge_entry_" + name + `_total{reason="` + label + `"}`).Inc()
}

// addSeconds adds a time to a counter of the node with the label reason.
func (n *Node) addSeconds(name, label string, d time.Duration) {
	n.Metrics.GetOrCreateFloatCounter("guavagauge_entry_" + name + `_seconds_total{reason="` + label + `"}`).Add(d.Seconds())
}
