// Package node runs one node of the system. Every node serves callers, peers and
// operators, and can take every role. A role that only one node may have at a
// time is guarded by a lease. Package command starts a node per process; packages
// dev and scale run several nodes in one process.
//
// # Failures
//
// If the store fails, the node keeps its configuration in force and stops using
// its leases once they may have expired. Requests that need a claim are refused,
// all others are served. If other nodes fail, the Directory replaces them once the
// membership removes them. A node that may miss withdrawals of API keys refuses
// requests with a key and reports that it isn't ready; see Node.Isolated. A
// failed call for reclaim notices is repeated at the next poll. Failed usage
// reports and reconciliations are logged and repeated. If a listener fails after
// the start, the node logs an error and goes on without it.
//
// # Usage
//
//	n, err := node.New(ctx, node.Options{
//		Settings: settings, Network: transport.TCP{}, Store: client, Platform: platformClient, Logger: logger,
//	})
//	<-signal
//	err = n.Stop(stopCtx) // graceful shutdown
package node

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/caller"
	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/http1"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/membership"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/transport"
	"github.com/guavagauge/guavagauge/usage"
)

const (
	// storeBurst is the number of store calls that may exceed the rate limit. A
	// starting node needs them to read the whole configuration, which has 64 chunks
	// by default (see distribution.RepositoryOptions), and to request its leases.
	storeBurst = 200
	// stopAnswerTime is how long a stopping node waits until the last responses are
	// written, after the requests have ended.
	stopAnswerTime = 200 * time.Millisecond
)

type (
	// Options configures a Node. All fields but Platform are required.
	Options struct {
		Settings *settings.Settings // with defaults filled in
		Network  transport.Network
		Store    store.Client
		Platform provider.Client // nil: no VM discovery, reclaim notices, usage reports or reconciliation
		Logger   *slog.Logger
	}

	// Node is one running node. It is safe for concurrent use. New sets all
	// fields; later only snapshot, accepted and stopping change.
	Node struct {
		Metrics   *metrics.Set
		Directory *Directory
		Scheduler *scheduler.Scheduler

		options          Options
		settings         *settings.Settings
		logger           *slog.Logger
		checker          *invariant.Checker
		store            store.Client // rate-limited
		backgroundStore  store.Client // for calls that no request waits for; shares the limit of store
		ctx              context.Context
		cancel           context.CancelFunc
		self             usage.Source // Incarnation is the start time
		snapshot         atomic.Pointer[fleet.Snapshot]
		accepted         atomic.Pointer[acceptedConfig] // the last validated one, nil once applied
		stopping         atomic.Bool
		members          *membership.Group
		repository       *distribution.Repository
		follower         *distribution.Follower
		ledger           *usage.Ledger
		callerServer     *caller.Server
		callerHTTPServer *http1.Server
		peerServer       *peer.Server
		controlPool      *peer.Pool
		addresses        addresses
	}

	// acceptedConfig is a document that passed validation, with its decoded
	// configuration.
	acceptedConfig struct {
		document *distribution.Document
		config   *fleet.Config
	}

	// addresses holds the listeners' addresses, with the actual ports.
	addresses struct{ caller, peer, operator netip.AddrPort }
)

// New starts a node, which serves until Stop is called or ctx ends. It isn't
// ready before it has applied a configuration.
func New(ctx context.Context, options Options) (n *Node, err error) {
	defer errors.DeferredAnnotatef(&err, "start node %s", options.Settings.Name)
	n = &Node{
		Metrics: metrics.NewSet(), Directory: NewDirectory(options.Settings.Region),
		options: options, settings: options.Settings, logger: options.Logger.With("Node", options.Settings.Name),
		self: usage.Source{Node: options.Settings.Name, Incarnation: uint64(time.Now().UnixNano())},
	}
	n.checker = invariant.New(n.logger, n.Metrics, invariant.Options{Fatal: options.Settings.FatalInvariants})
	limited := store.Limit(options.Store, store.LimitOptions{
		PerSecond: n.settings.Store.CallsPerSecond, Burst: storeBurst, Timeout: n.settings.Store.CallTimeout, Metrics: n.Metrics,
	})
	n.store, n.backgroundStore = limited, limited.Background()
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.snapshot.Store(fleet.Compile(&fleet.Config{}, 0))
	for _, start := range []func() error{n.servePeers, n.serveCallers, n.serveOperators} {
		if err = start(); err != nil {
			n.cancel()
			return nil, err
		}
	}
	n.exportGauges()
	n.startPlatformTasks()
	return n, nil
}

// exportGauges registers the metrics of the node's current state.
func (n *Node) exportGauges() {
	gauge := func(name string, value func() float64) { n.Metrics.NewGauge(name, value) }
	gauge("guavagauge_members", func() float64 { return float64(len(n.Members())) })
	gauge("guavagauge_configuration_revision", func() float64 { return float64(n.Snapshot().Revision()) })
	gauge("guavagauge_configuration_confirmed_age_seconds", func() float64 { return time.Since(n.follower.ConfirmedAt()).Seconds() })
	gauge("guavagauge_requests_in_flight", func() float64 { return float64(n.callerServer.InFlight()) })
	gauge("guavagauge_steward_requests", func() float64 { return float64(n.Scheduler.InFlight()) })
	gauge("guavagauge_isolated", func() float64 {
		if n.Isolated() {
			return 1
		}
		return 0
	})
}

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() netip.AddrPort { return n.addresses.caller }

// PeerAddress returns the address of the listener for other nodes.
func (n *Node) PeerAddress() netip.AddrPort { return n.addresses.peer }

// OperatorAddress returns the address of the listener for operators. It is
// invalid if none is configured.
func (n *Node) OperatorAddress() netip.AddrPort { return n.addresses.operator }

// Name returns the node's name.
func (n *Node) Name() string { return n.settings.Name }

// Snapshot returns the configuration in force, which has revision 0 until one
// was applied.
func (n *Node) Snapshot() *fleet.Snapshot { return n.snapshot.Load() }

// Members returns the live nodes in this node's view of the membership.
func (n *Node) Members() []membership.Member { return n.members.View().Live() }

// Ready reports whether a load balancer should send requests to this node. The
// operator server's readiness check returns it.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.Snapshot().Revision() > 0 && !n.Isolated()
}

// Stop shuts the node down gracefully. It reports the node as not ready, leaves
// the membership so that other nodes choose other schedulers, waits for the load
// balancer to withdraw the node, and finishes the requests of its callers and
// those that it runs on upstreams for other nodes. Requests that still run when
// ctx ends are aborted, which doesn't count as a broken invariant.
func (n *Node) Stop(ctx context.Context) (err error) {
	n.stopping.Store(true)
	n.logger.Info("stopping", "InFlight", n.callerServer.InFlight(), "Running", n.Scheduler.InFlight())
	if err := n.members.Leave(ctx); err != nil {
		n.logger.Warn("leave not announced to other members", "Error", err)
	}
	select {
	case <-time.After(n.settings.Intervals.ListenerWithdraw):
	case <-ctx.Done():
	}
	n.Scheduler.StopAccepting() // entry nodes send the waiting requests to other upstreams
	n.callerServer.StopAccepting()
	n.callerHTTPServer.Drain(ctx)
	err = n.callerServer.Drain(ctx)
	n.Scheduler.Drain(ctx)
	answerCtx, cancel := context.WithTimeout(n.ctx, stopAnswerTime)
	defer cancel()
	n.callerHTTPServer.Close(answerCtx)
	n.checker.Check(ctx.Err() != nil || n.callerServer.InFlight()+n.Scheduler.InFlight() == 0, invariant.GracefulStop,
		"requests were still running when the node stopped", "InFlight", n.callerServer.InFlight(), "Running", n.Scheduler.InFlight())
	if flushErr := n.ledger.Flush(ctx); flushErr != nil {
		n.logger.Warn("usage not flushed to other nodes", "Error", flushErr)
	}
	n.cancel()
	n.logger.Info("stopped", "Error", err)
	return err
}
