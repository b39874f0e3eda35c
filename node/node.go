// Package node builds one node of the system: it listens to callers, peers and
// operators, and holds every role. Roles that need a single holder are taken by
// leases.
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
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/caller"
	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/fleet"
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

// storeBurst lets a starting node read the whole configuration, which lies in 64
// chunks at first, and ask for its leases.
const storeBurst = 200

type (
	// Options of a Node.
	Options struct {
		Settings *settings.Settings // with defaults filled in
		Network  transport.Network
		Store    store.Client
		Platform provider.Client // nil: no VM list and no usage reports
		Logger   *slog.Logger
	}

	// Node is one running node.
	Node struct {
		Metrics   *metrics.Set
		Directory *Directory
		Steward   *scheduler.Scheduler

		options    Options
		settings   *settings.Settings
		logger     *slog.Logger
		checker    *invariant.Checker
		store      store.Client // within the node's budget
		ctx        context.Context
		cancel     context.CancelFunc
		self       usage.Source
		snapshot   atomic.Pointer[fleet.Snapshot]
		accepted   atomic.Pointer[accepted] // until it is put in force
		stopping   atomic.Bool
		members    *membership.Group
		repository *distribution.Repository
		follower   *distribution.Follower
		ledger     *usage.Ledger
		callers    *caller.Server
		callerHTTP *http.Server
		peers      *peer.Server
		control    *peer.Pool
		addresses  addresses
	}

	// accepted is the configuration of a document that was checked.
	accepted struct {
		document *distribution.Document
		config   *fleet.Config
	}

	// addresses are those of the listeners, with their actual ports.
	addresses struct{ caller, peer, operator netip.AddrPort }
)

// New starts a node. It serves until Stop is called or ctx ends, and is ready
// once it has a configuration.
func New(ctx context.Context, options Options) (n *Node, err error) {
	defer errors.DeferredAnnotatef(&err, "start node %s", options.Settings.Name)
	n = &Node{
		Metrics: metrics.NewSet(), Directory: NewDirectory(options.Settings.Region),
		options: options, settings: options.Settings, logger: options.Logger.With("Node", options.Settings.Name),
		self: usage.Source{Node: options.Settings.Name, Incarnation: uint64(time.Now().UnixNano())},
	}
	n.checker = invariant.New(n.logger, n.Metrics, invariant.Options{Fatal: options.Settings.FatalInvariants})
	n.store = store.Limit(options.Store, store.LimitOptions{
		PerSecond: n.settings.Store.CallsPerSecond, Burst: storeBurst, Timeout: n.settings.Store.CallTimeout, Metrics: n.Metrics,
	})
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.snapshot.Store(fleet.Compile(&fleet.Config{}, 0))
	for _, start := range []func() error{n.servePeers, n.serveCallers, n.serveOperators} {
		if err = start(); err != nil {
			n.cancel()
			return nil, err
		}
	}
	n.exportGauges()
	n.holdRoles()
	return n, nil
}

// exportGauges makes the node's state visible to operators.
func (n *Node) exportGauges() {
	gauge := func(name string, value func() float64) { n.Metrics.NewGauge(name, value) }
	gauge("guavagauge_members", func() float64 { return float64(len(n.Members())) })
	gauge("guavagauge_configuration_revision", func() float64 { return float64(n.Snapshot().Revision()) })
	gauge("guavagauge_configuration_confirmed_age_seconds", func() float64 { return time.Since(n.follower.ConfirmedAt()).Seconds() })
	gauge("guavagauge_requests_in_flight", func() float64 { return float64(n.callers.InFlight()) })
	gauge("guavagauge_steward_requests", func() float64 { return float64(n.Steward.InFlight()) })
	gauge("guavagauge_isolated", func() float64 {
		if n.Isolated() {
			return 1
		}
		return 0
	})
}

// CallerAddress returns the address at which callers are served.
func (n *Node) CallerAddress() netip.AddrPort { return n.addresses.caller }

// PeerAddress returns the address at which other nodes are served.
func (n *Node) PeerAddress() netip.AddrPort { return n.addresses.peer }

// OperatorAddress returns the address at which operators are served.
func (n *Node) OperatorAddress() netip.AddrPort { return n.addresses.operator }

// Name returns the node's name.
func (n *Node) Name() string { return n.settings.Name }

// Snapshot returns the configuration in force.
func (n *Node) Snapshot() *fleet.Snapshot { return n.snapshot.Load() }

// Members returns the live nodes as this one sees them.
func (n *Node) Members() []membership.Member { return n.members.View().Live() }

// Ready reports whether the balancer should send callers here.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.Snapshot().Revision() > 0 && !n.Isolated()
}

// Stop shuts the node down gracefully: it reports that it isn't ready, lets the
// balancer notice, and finishes the requests of its callers and those that run
// on its upstreams, within ctx. What then still runs is cut.
func (n *Node) Stop(ctx context.Context) (err error) {
	n.stopping.Store(true)
	n.logger.Info("stopping", "InFlight", n.callers.InFlight(), "Running", n.Steward.InFlight())
	if err := n.members.Leave(ctx); err != nil {
		n.logger.Warn("departure not announced", "Error", err)
	}
	select {
	case <-time.After(n.settings.Intervals.ListenerWithdraw):
	case <-ctx.Done():
	}
	n.Steward.StopAccepting()
	err = n.callerHTTP.Shutdown(ctx)
	n.callers.StopAccepting()
	if drainErr := n.callers.Drain(ctx); err == nil {
		err = drainErr
	}
	n.Steward.Drain(ctx)
	n.checker.Check(ctx.Err() != nil || n.callers.InFlight()+n.Steward.InFlight() == 0, invariant.GracefulStop,
		"requests were running when the node stopped", "InFlight", n.callers.InFlight(), "Running", n.Steward.InFlight())
	if flushErr := n.ledger.Flush(ctx); flushErr != nil {
		n.logger.Warn("usage not handed over", "Error", flushErr)
	}
	n.cancel()
	n.logger.Info("stopped", "Error", err)
	return err
}
