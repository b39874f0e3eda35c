package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/caller"
	"github.com/guavagauge/guavagauge/certificate"
	"github.com/guavagauge/guavagauge/claim"
	"github.com/guavagauge/guavagauge/connlimit"
	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/http1"
	"github.com/guavagauge/guavagauge/operator"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/service"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/transport"
)

// maxClaimRecordBytes bounds the response that is stored with a claim. Of a larger
// one only the status is stored; a repeated request is then refused, with the
// status in the message. Each claim in progress reserves this space in a document
// of limited size, so a higher bound allows fewer claims at a time.
const maxClaimRecordBytes = 4 << 10

const (
	// callerConnections, operatorConnections and peerConnections bound the connections
	// of the listeners; see package connlimit.
	callerConnections   = 4096
	operatorConnections = 64
	peerConnections     = 4096
	// operatorAnswerTimeout bounds the time for reading a call of an operator and
	// writing its answer. A call itself takes at most 30 s.
	operatorAnswerTimeout = 5 * time.Minute
)

// servePeers starts the listener for other nodes and all services behind it. It
// comes before the other listeners, which use its pool, follower and ledger.
func (n *Node) servePeers() (err error) {
	listener, err := n.options.Network.Listen(n.ctx, n.settings.Listen.Peer)
	if err != nil {
		return err
	}
	n.addresses.peer = transport.ListenAddress(listener)
	options := peer.Options{
		Metrics: n.Metrics, Connections: peerConnections, Logger: n.logger, Closed: n.countClosed("peer listener"),
	}
	if options.TLS, err = n.peerTLS(); err != nil {
		return err
	}
	n.peerServer = peer.NewServer(n.ctx, listener, options)
	n.controlPool = peer.NewPool(n.ctx, n.options.Network, peer.Control, options)
	n.Scheduler = scheduler.New(n.ctx, scheduler.Options{
		Logger: n.logger, Metrics: n.Metrics, Checker: n.checker, Snapshot: n.Snapshot,
		Quarantine: n.settings.Intervals.Quarantine,
		Engine: func(spec *fleet.Upstream) engine.Client {
			return engine.NewClient(n.options.Network, spec.Address, engine.Options{})
		},
		Service: func(spec *fleet.Upstream) service.Client {
			return service.NewClient(n.options.Network, spec.Address, service.Options{})
		},
	})
	// The follower and the ledger use the members, so the membership comes first.
	for _, register := range []func(server *peer.Server) error{
		n.Scheduler.Register, n.joinMembership, n.startFollower, n.startUsageLedger,
	} {
		if err = register(n.peerServer); err != nil {
			return err
		}
	}
	return nil
}

// serveCallers starts the listener for callers.
func (n *Node) serveCallers() (err error) {
	listener, err := n.options.Network.Listen(n.ctx, n.settings.Listen.Caller)
	if err != nil {
		return err
	}
	n.addresses.caller = transport.ListenAddress(listener)
	peerTLS, err := n.peerTLS()
	if err != nil {
		return err
	}
	limits := n.settings.Limits
	n.callerServer = caller.New(n.ctx, caller.Options{
		Logger: n.logger, Metrics: n.Metrics, Checker: n.checker, Snapshot: n.Snapshot, Directory: n.Directory,
		Peers: peer.NewPool(n.ctx, n.options.Network, peer.Data, peer.Options{
			Metrics: n.Metrics, TLS: peerTLS, Local: n.peerServer, LocalAddress: n.addresses.peer,
		}),
		Claims: n.newClaims(), Meter: n.ledger, Isolated: n.Isolated,
		FailureDomain: n.settings.FailureDomain, Region: n.settings.Region, Preferences: policyPreferences(n.settings.Preference),
		MaxBodyBytes: limits.BodyBytes, ModelDeadline: limits.RequestDeadline, WriteTimeout: limits.WriteTimeout,
		BodyTimeout: limits.BodyReadTimeout,
	})
	limited := n.limit("caller listener", listener, callerConnections, false) // http1 counts timeouts
	if listener, err = n.withTLS(limited, n.settings.TLS.CallerCertificate, n.settings.TLS.CallerKey); err != nil {
		return err
	}
	handler := limited.Handler(n.callerServer.Handler())
	n.callerHTTPServer = http1.New(n.ctx, listener, http1.Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			handler.ServeHTTP(w, r)
		}),
		HeaderTimeout: limits.HeaderReadTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.HeaderBytes,
		Logger: n.logger, Count: func(event string) {
			n.Metrics.GetOrCreateCounter(fmt.Sprintf("guavagauge_caller_connections_total{event=%q}", event)).Inc()
		},
	})
	return nil
}

// newClaims returns the claims that keep non-idempotent requests from running
// twice.
func (n *Node) newClaims() *claim.Claims {
	return claim.New(n.ctx, n.store, claim.Options{
		Retention: n.settings.Intervals.ClaimRetention, MaxRecordBytes: maxClaimRecordBytes, Logger: n.logger, Metrics: n.Metrics,
	})
}

// serveOperators starts the listener for operators, if one is configured. It also
// serves the readiness check and the metrics.
func (n *Node) serveOperators() (err error) {
	if !n.settings.Listen.Operator.IsValid() {
		return nil
	}
	listener, err := n.options.Network.Listen(n.ctx, n.settings.Listen.Operator)
	if err != nil {
		return err
	}
	n.addresses.operator = transport.ListenAddress(listener)
	server := operator.NewServer(operator.Options{
		Repository: n.repository, Follower: n.follower, Metrics: n.Metrics, Logger: n.logger, Ready: n.Ready,
		Removed:          n.removedNodes,
		CredentialSHA256: n.settings.Operator.CredentialSHA256,
	})
	limited := n.limit("operator listener", listener, operatorConnections, true)
	if listener, err = n.withTLS(limited, n.settings.TLS.OperatorCertificate, n.settings.TLS.OperatorKey); err != nil {
		return err
	}
	n.serveHTTP(listener, limited.Handler(server.Handler()))
	return nil
}

func policyPreferences(preference settings.Preference) policy.Preferences {
	if preference == settings.PreferWorstServed {
		return policy.WorstServed()
	}
	return policy.Goodput()
}

// withTLS returns a listener that uses TLS, or listener itself if certificateFile is empty.
func (n *Node) withTLS(listener net.Listener, certificateFile, keyFile string) (result net.Listener, err error) {
	if certificateFile == "" {
		return listener, nil
	}
	files, err := certificate.Load(n.ctx, certificateFile, keyFile, "")
	if err != nil {
		return nil, err
	}
	return tls.NewListener(listener, files.ServerConfig()), nil
}

// limit bounds the connections of a listener. timeouts is connlimit.Options.Timeouts.
func (n *Node) limit(name string, listener net.Listener, connections int, timeouts bool) (limited *connlimit.Listener) {
	return connlimit.New(listener, connlimit.Options{
		Name: name, Connections: connections, Logger: n.logger, Count: n.countClosed(name), Timeouts: timeouts,
	})
}

// countClosed returns a function that counts the connections which a limit of a
// listener closed.
func (n *Node) countClosed(listener string) (count func(reason connlimit.Reason)) {
	return func(reason connlimit.Reason) {
		n.Metrics.GetOrCreateCounter(fmt.Sprintf("guavagauge_listener_closed_total{listener=%q,reason=%q}", listener, reason)).Inc()
	}
}

// serveHTTP starts an HTTP server for operators that runs until the node's context ends. If the
// listener fails, the error is only logged.
func (n *Node) serveHTTP(listener net.Listener, handler http.Handler) {
	limits := n.settings.Limits
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: limits.HeaderReadTimeout, IdleTimeout: limits.IdleTimeout,
		WriteTimeout: operatorAnswerTimeout, MaxHeaderBytes: limits.HeaderBytes, BaseContext: func(net.Listener) context.Context { return n.ctx },
	}
	context.AfterFunc(n.ctx, func() { server.Close() })
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.logger.Error("listener failed", "Address", listenAddress(listener), "Error", err)
		}
	}()
}

// peerTLS returns the configuration for mutual TLS between nodes, or nil if no
// peer certificate is configured. Each call loads the files and watches them for
// changes.
func (n *Node) peerTLS() (config *tls.Config, err error) {
	paths := n.settings.TLS
	if paths.PeerCertificate == "" {
		return nil, nil
	}
	files, err := certificate.Load(n.ctx, paths.PeerCertificate, paths.PeerKey, paths.PeerAuthorities)
	if err != nil {
		return nil, err
	}
	return files.MutualConfig(), nil
}

func listenAddress(listener net.Listener) netip.AddrPort { return transport.ListenAddress(listener) }
