// Package entry serves callers on a platform that holds the operator's
// configuration, the list of upstreams and the leases of duties. Any node can
// serve any request: it reads the request whole, chooses upstreams by what it
// knows of their load and caches, and relays the answer. Nodes keep nothing and
// tell each other what they sent where.
//
// # Usage
//
//	n, err := entry.New(ctx, entry.Options{Settings: settings, Logger: logger})
//	<-signal
//	n.Stop(stopCtx) // graceful shutdown
//
// # Freshness of the configuration
//
// A node compares its configuration with the store's about once a second. After
// a time without confirmation, keys may have been withdrawn that it knows, and
// it refuses requests with keys until the store or another node confirms its
// version.
package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/relay"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	// lapseGrace is how long upstreams whose entries lapsed with an outage of the
	// store have to register again.
	upstreamGrace = 2 * time.Second
	// callerIdle exceeds every idle timeout that callers are told, so that callers
	// close idle connections first.
	callerIdleTimeout = 2 * time.Minute
	// headerLimit is above what any configuration allows.
	maxHeaderBytes = 64 << 10
	// summaryEvery is the time between log lines with the counters.
	summaryInterval = 10 * time.Second
	sweepInterval   = 250 * time.Millisecond
	// withdrawTime is how long a stopping node serves new requests: the balancer
	// asks once a second and removes it after two misses.
	withdrawDelay = 2500 * time.Millisecond
)

type (
	// ConfigStore is the part of the platform's store that a node needs.
	ConfigStore interface {
		store.Client
		Range(ctx context.Context, prefix string, stale bool) (entries []store.Entry, revision uint64, err error)
		Compare(ctx context.Context, key string, version uint64) (current store.Entry, err error)
	}

	// Options of a Node. Settings and Logger are required.
	Options struct {
		Settings *settings.EntrySettings
		Logger   *slog.Logger
		Store    ConfigStore
		Cloud    Cloud             // nil: no duties
		Network  transport.Network // platform.Network by default
		// Packets listens for the datagrams of other nodes.
		Packets func(address netip.AddrPort) (conn net.PacketConn, err error)
		// Clock tells the time since some fixed moment, with suspensions.
		Clock func() time.Duration
	}

	// Node serves callers.
	Node struct {
		Metrics *metrics.Set

		settings          *settings.EntrySettings
		logger            *slog.Logger
		store             ConfigStore
		cloud             Cloud
		clock             func() time.Duration
		ctx               context.Context
		cancel            context.CancelFunc
		table             atomic.Pointer[routing.Table]
		configConfirmedAt atomic.Int64 // Clock reading at which the table was known to be the newest
		upstreamsListed   atomic.Bool  // the upstreams were listed at least once
		// storeFailing is set while this node's own calls to the store fail.
		storeFailing    atomic.Bool
		stopping        atomic.Bool
		lastFollowed    atomic.Int64 // Clock reading of the last answered question to another node
		inFlight        atomic.Int64
		upstreams       *discovery.UpstreamSet
		dispatcher      *dispatch.Dispatcher
		upstreamPool    *relay.Pool
		budget          *retryBudget
		usage           *ledger
		crashes         *crashTracker
		peers           *peers
		callerServer    *http.Server
		readinessServer *http.Server
		addresses       Addresses
		network         transport.Network
		peerPool        *peer.Pool
		engineClient    *platform.EngineClient
		cachesKnown     atomic.Bool // what engines keep has been learnt

		storeStateMu         sync.Mutex
		configEntry          store.Entry   // the one in force
		upstreamsRevision    uint64        // of the store, that the upstream set holds
		upstreamsConfirmedAt time.Duration // Clock reading at which it was the newest
	}

	// Addresses are those of a node's listeners, with their actual ports.
	Addresses struct{ Caller, Ready netip.AddrPort }
)

// New starts a node. It serves until Stop is called or ctx ends.
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
		dispatcher: dispatch.New(dispatch.Options{FailureDomain: s.FailureDomain, Regions: s.Regions}),
		network:    options.Network, budget: newRetryBudget(s.Bounds), usage: newLedger(s.Bounds.UsageWindow), crashes: newCrashTracker(),
	}
	n.engineClient = platform.NewEngineClient(options.Network)
	n.upstreamPool = relay.New(relay.Options{Network: options.Network, Count: func(event string) { n.count("connections", event) }})
	n.ctx, n.cancel = context.WithCancel(ctx)
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
	n.campaign()
	n.bootstrapCaches()
	go func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		summary := time.Now()
		for {
			select {
			case now := <-ticker.C:
				n.upstreamPool.Sweep(now)
				n.syncDispatcher()
				if now.Sub(summary) >= summaryInterval {
					summary = now
					n.logCounters()
				}
			case <-n.ctx.Done():
				return
			}
		}
	}()
	return n, nil
}

// listen starts the listeners for callers, the balancer and metrics.
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
	n.callerServer = &http.Server{
		Handler: http.HandlerFunc(n.serve), IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return n.ctx },
		ErrorLog:    slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
	router := chi.NewRouter()
	router.Get("/v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	n.readinessServer = &http.Server{Handler: router}
	go func() { n.logListenerError("caller listener", n.callerServer.Serve(listener)) }()
	go func() { n.logListenerError("readiness listener", n.readinessServer.Serve(readyListener)) }()
	if n.settings.Listen.Metrics.IsValid() {
		metricsListener, err := n.network.Listen(n.ctx, n.settings.Listen.Metrics)
		if err != nil {
			// Callers are served without metrics.
			n.logger.Error("no metrics listener", "Address", n.settings.Listen.Metrics, "Error", err)
			return nil
		}
		router := chi.NewRouter()
		router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { n.Metrics.WritePrometheus(w) })
		go func() { n.logListenerError("metrics listener", http.Serve(metricsListener, router)) }()
	}
	return nil
}

func addressOf(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (n *Node) logListenerError(listener string, err error) {
	if !errors.Is(err, http.ErrServerClosed) && n.ctx.Err() == nil {
		n.logger.Error("listener ended", "Listener", listener, "Error", err)
	}
}

// Addresses returns those of the listeners.
func (n *Node) Addresses() Addresses { return n.addresses }

// Ready reports whether the balancer should send callers here.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.table.Load() != nil && n.upstreamsListed.Load() && n.configFresh()
}

// Stop shuts the node down gracefully: it reports that it isn't ready, serves on
// until the balancer has noticed, and finishes the requests that it has.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.logger.Info("stopping", "InFlight", n.inFlight.Load())
	select {
	case <-time.After(withdrawDelay):
	case <-ctx.Done():
	}
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.logger.Warn("requests cut at shutdown", "InFlight", n.inFlight.Load(), "Error", err)
	}
	n.flushUsage(ctx)
	n.cancel()
	n.readinessServer.Close()
	n.logger.Info("stopped")
}

// logSummary logs the counters, for whom the metrics address is out of reach.
func (n *Node) logCounters() {
	var text strings.Builder
	n.Metrics.WritePrometheus(&text)
	line := strings.ReplaceAll(strings.TrimSpace(text.String()), "guavagauge_entry_", "")
	n.logger.Info("counters", "InFlight", n.inFlight.Load(), "Reader", n.isStoreReader(), "ConfigAge", n.configAge(),
		"Counters", strings.ReplaceAll(line, "\n", "; "))
}

func (n *Node) count(name, label string) {
	n.Metrics.GetOrCreateCounter("guavagauge_entry_" + name + `_total{reason="` + label + `"}`).Inc()
}
