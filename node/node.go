// Package node builds one node of the system: it listens to callers, peers and
// operators, and holds every role.
//
// # Usage
//
//	n, err := node.New(ctx, options)
//	n.Apply(snapshot)       // until a configuration is distributed
//	<-signal
//	err = n.Stop(stopCtx)   // graceful shutdown
package node

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/caller"
	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/service"
	"github.com/guavagauge/guavagauge/steward"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

type (
	// Options of a Node.
	Options struct {
		Name          string
		FailureDomain string
		Region        string
		Caller        netip.AddrPort // listen addresses
		Peer          netip.AddrPort
		Operator      netip.AddrPort

		Network   transport.Network
		Logger    *slog.Logger
		CallerTLS *tls.Config
		PeerTLS   *tls.Config
		Claims    caller.Claims
		Meter     caller.Meter
		Isolated  func() bool
		Weights   policy.Weights
		// BalancerDelay is how long a stopping node still accepts connections,
		// until the balancer has seen that it isn't ready.
		BalancerDelay time.Duration
		Invariants    invariant.Options
	}

	// Node is one running node.
	Node struct {
		Options

		Set       *metrics.Set
		Directory *Directory
		Steward   *steward.Steward

		ctx      context.Context
		cancel   context.CancelFunc
		snapshot atomic.Pointer[fleet.Snapshot]
		callers  *caller.Server
		http     *http.Server
		peers    *peer.Server
		ready    atomic.Bool
		address  netip.AddrPort // of the caller listener
		peerAt   netip.AddrPort
	}
)

// New starts a node with an empty configuration. It serves until Stop is called
// or ctx ends.
func New(ctx context.Context, options Options) (n *Node, err error) {
	defer errors.DeferredAnnotatef(&err, "start node %s", options.Name)
	n = &Node{Options: options, Set: metrics.NewSet(), Directory: NewDirectory(options.Region)}
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.Logger = n.Logger.With("Node", n.Name)
	n.snapshot.Store(fleet.Compile(&fleet.Config{}, 0))
	if err = n.servePeers(); err != nil {
		n.cancel()
		return nil, err
	}
	if err = n.serveCallers(); err != nil {
		n.cancel()
		return nil, err
	}
	return n, nil
}

// CallerAddress returns the address at which callers are served.
func (n *Node) CallerAddress() netip.AddrPort { return n.address }

// Member returns the node as other nodes reach it.
func (n *Node) Member() Member {
	return Member{Name: n.Name, Peer: n.peerAt, FailureDomain: n.FailureDomain, Region: n.Region}
}

// Snapshot returns the configuration in force.
func (n *Node) Snapshot() *fleet.Snapshot { return n.snapshot.Load() }

// Apply puts a configuration in force, unless a newer one already is.
func (n *Node) Apply(snapshot *fleet.Snapshot) (applied bool) {
	for {
		current := n.snapshot.Load()
		if snapshot.Revision() <= current.Revision() {
			return false
		}
		if n.snapshot.CompareAndSwap(current, snapshot) {
			n.Steward.Apply(snapshot)
			n.ready.Store(true)
			n.Logger.Info("configuration in force", "Revision", snapshot.Revision())
			return true
		}
	}
}

// Ready reports whether the balancer should send callers here.
func (n *Node) Ready() bool { return n.ready.Load() }

// Stop shuts the node down gracefully: it reports that it isn't ready, lets the
// balancer notice, and finishes the requests of its callers and those that run
// on its upstreams, within ctx.
func (n *Node) Stop(ctx context.Context) (err error) {
	n.ready.Store(false)
	n.Logger.Info("stopping", "InFlight", n.callers.InFlight(), "Running", n.Steward.Running())
	select {
	case <-time.After(n.BalancerDelay):
	case <-ctx.Done():
	}
	err = n.http.Shutdown(ctx)
	n.callers.Stop()
	err = errors.Trace(firstOf(err, n.callers.Drain(ctx)))
	n.Steward.Drain(ctx)
	n.cancel()
	n.Logger.Info("stopped", "Error", err)
	return err
}

func (n *Node) servePeers() (err error) {
	listener, err := n.Network.Listen(n.ctx, n.Peer)
	if err != nil {
		return err
	}
	n.peerAt = transport.ListenAddress(listener)
	options := peer.Options{Set: n.Set, TLS: n.PeerTLS}
	n.peers = peer.NewServer(n.ctx, listener, options)
	n.Steward = steward.New(n.ctx, steward.Options{
		Logger: n.Logger, Set: n.Set, Checker: invariant.New(n.Logger, n.Set, n.Invariants), Snapshot: n.Snapshot,
		Engine: func(spec *fleet.Upstream) engine.Client {
			return engine.NewClient(n.Network, spec.Address, engine.Options{})
		},
		Service: func(spec *fleet.Upstream) service.Client {
			return service.NewClient(n.Network, spec.Address, service.Options{})
		},
	})
	return n.Steward.Register(n.peers)
}

func (n *Node) serveCallers() (err error) {
	listener, err := n.Network.Listen(n.ctx, n.Caller)
	if err != nil {
		return err
	}
	n.address = transport.ListenAddress(listener)
	n.callers = caller.New(n.ctx, caller.Options{
		Logger: n.Logger, Set: n.Set, Checker: invariant.New(n.Logger, n.Set, n.Invariants), Snapshot: n.Snapshot,
		Directory: n.Directory, Peers: peer.NewPool(n.ctx, n.Network, peer.Data, peer.Options{Set: n.Set, TLS: n.PeerTLS}),
		Claims: n.Claims, Meter: n.Meter, Isolated: n.Isolated,
		FailureDomain: n.FailureDomain, Region: n.Region, Weights: n.Weights,
	})
	n.http = &http.Server{
		Handler: n.callers.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(n.Logger.Handler(), slog.LevelDebug),
		BaseContext: func(net.Listener) context.Context { return n.ctx },
	}
	if n.CallerTLS != nil {
		listener = tls.NewListener(listener, n.CallerTLS)
	}
	context.AfterFunc(n.ctx, func() { n.http.Close() })
	go func() {
		if err := n.http.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.Logger.Error("caller listener failed", "Error", err)
		}
	}()
	return nil
}

func firstOf(errs ...error) (first error) {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
