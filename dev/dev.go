// Package dev runs a whole fleet in one process: nodes that communicate over
// loopback TCP, and stand-ins for all external systems: the store, the platform
// and the upstreams. RunStandin serves only the stand-ins. The package is for
// development and end-to-end tests; all state is in memory and ends with the
// process. Package command calls it and tests start fleets with it.
//
// # Usage
//
//	cluster, err := dev.Start(ctx, dev.Options{Listen: address, Nodes: 3})
//	defer cluster.Stop(ctx)
package dev

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/connlimit"
	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/enginetest"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/logging"
	"github.com/guavagauge/guavagauge/node"
	"github.com/guavagauge/guavagauge/providertest"
	"github.com/guavagauge/guavagauge/servicetest"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/storetest"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	// Credential is the operator credential of every development fleet. It is no
	// secret.
	Credential = "dev-operator-credential"

	maxNodes          = 32
	startTimeout      = 20 * time.Second // until all nodes are ready
	readyPollInterval = 20 * time.Millisecond
	stopTimeout       = 30 * time.Second // for all nodes together, which stop one after the other; then requests are aborted
	listenerWithdraw  = time.Millisecond // no load balancer has to notice that the listener closes
	usageWindow       = time.Minute      // a node's default
	region            = "dev"

	// The limits of the listeners of stand-ins, which serve all nodes of a fleet.
	standinConnections   = 1024
	standinHeaderTimeout = 10 * time.Second
	standinIdleTimeout   = 2 * time.Minute
)

//go:embed fleet.toml
var builtinConfig []byte

// failureDomains are assigned to the nodes in turn. They are those of the upstreams
// in fleet.toml, which are scheduled by nodes in the same domain.
var failureDomains = []string{"dev-a", "dev-b"}

type (
	// Options configures a development fleet. All listeners but the one at Listen
	// use free loopback ports.
	Options struct {
		Listen     netip.AddrPort // where the first node serves callers; port 0 picks a free port
		Nodes      int            // 1 to maxNodes
		Config     []byte         // fleet configuration; empty for the built-in one
		ConfigFile string         // file name of Config in error messages
		Stdout     io.Writer
		Stderr     io.Writer
		Verbose    bool // logs at level info instead of warn
	}

	// Cluster is a running development fleet. Its fields don't change once Start
	// has returned.
	Cluster struct {
		Nodes    []*node.Node
		Engines  map[string]*enginetest.Engine   // by qualified upstream name
		Services map[string]*servicetest.Service // by qualified upstream name
		Store    *storetest.Server
		Platform *providertest.Server

		ctx     context.Context
		cancel  context.CancelFunc
		options Options
		logger  *slog.Logger
	}
)

// BuiltinConfig returns the fleet configuration that is used by default. The caller
// must not modify it.
func BuiltinConfig() (text []byte) { return builtinConfig }

// Run starts a fleet, prints its address and example requests, and shuts it down
// gracefully when ctx ends.
func Run(ctx context.Context, options Options) (err error) {
	cluster, err := Start(context.WithoutCancel(ctx), options)
	if err != nil {
		return err
	}
	cluster.announce()
	<-ctx.Done()
	fmt.Fprintln(options.Stdout, "stopping: running requests finish first")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return cluster.Stop(stopCtx)
}

// Start starts a fleet and returns when all its nodes are ready. The upstreams run
// at free loopback ports, not at the addresses of the configuration. If Start
// fails, it ends everything that it started.
func Start(ctx context.Context, options Options) (c *Cluster, err error) {
	defer errors.DeferredAnnotatef(&err, "start the development fleet")
	if options.Nodes < 1 || options.Nodes > maxNodes {
		return nil, errors.Errorf("%d nodes: want 1 to %d", options.Nodes, maxNodes)
	}
	started := newCluster(ctx, options)
	defer func() {
		if err != nil {
			started.cancel()
		}
	}()
	config, err := options.parse()
	if err != nil {
		return nil, err
	}
	for i := range config.Upstreams {
		config.Upstreams[i].Address = loopback()
	}
	if err = started.startUpstreams(config); err != nil {
		return nil, err
	}
	if err = started.storeConfig(config); err != nil {
		return nil, err
	}
	if err = started.startNodes(); err != nil {
		return nil, err
	}
	return started, nil
}

// Address returns the address on which the first node serves callers.
func (c *Cluster) Address() netip.AddrPort { return c.Nodes[0].CallerAddress() }

// Stop shuts the nodes down gracefully, one after the other, then the stand-ins.
// It returns the first error.
func (c *Cluster) Stop(ctx context.Context) (err error) {
	defer c.cancel()
	for _, n := range c.Nodes {
		if stopErr := n.Stop(ctx); err == nil {
			err = stopErr
		}
	}
	return err
}

// parse parses Config, or the built-in configuration if Config is empty.
func (o *Options) parse() (config *fleet.Config, err error) {
	file, text := o.ConfigFile, o.Config
	if len(text) == 0 {
		file, text = "built-in", builtinConfig
	}
	config, problems := fleet.Parse(file, text)
	if len(problems) > 0 {
		return nil, errors.Errorf("%s (%d problems; run guavagauge check)", problems[0], len(problems))
	}
	return config, nil
}

// startUpstreams starts a stand-in for each upstream at its configured address.
// It replaces port 0 in the configuration by the port that was picked.
func (c *Cluster) startUpstreams(config *fleet.Config) (err error) {
	for i := range config.Upstreams {
		u := &config.Upstreams[i]
		listener, err := transport.TCP{}.Listen(c.ctx, u.Address)
		if err != nil {
			return err
		}
		u.Address = transport.ListenAddress(listener)
		if u.IsEngine() {
			// The engine opens its own listener, again after each restart. It fails
			// if another process takes the port in between.
			listener.Close()
			c.Engines[u.QualifiedName()] = enginetest.New(c.ctx, engineOptions(u))
			err = c.Engines[u.QualifiedName()].Serve(c.ctx, transport.TCP{}, u.Address)
		} else {
			c.Services[u.QualifiedName()] = servicetest.New()
			c.serve(listener, c.Services[u.QualifiedName()])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// startNodes starts the nodes, each with those before it as seeds, and waits
// until they are ready.
func (c *Cluster) startNodes() (err error) {
	var seeds []netip.AddrPort
	for i := range c.options.Nodes {
		listen := loopback()
		if i == 0 {
			listen = c.options.Listen
		}
		s := &settings.Settings{
			Name: fmt.Sprintf("dev-node-%d", i+1), FailureDomain: failureDomains[i%len(failureDomains)], Region: region,
			Seeds: seeds, Listen: settings.Listen{Caller: listen, Peer: loopback(), Operator: loopback()},
			Operator:  settings.Operator{CredentialSHA256: fleet.HashKey(Credential)},
			Intervals: settings.Intervals{ListenerWithdraw: listenerWithdraw, UsageWindow: usageWindow},
		}
		s.FillDefaults()
		n, err := node.New(c.ctx, node.Options{
			Settings: s, Network: transport.TCP{}, Store: c.Store.Client(s.Name), Platform: c.Platform, Logger: c.logger,
		})
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, n)
		seeds = append(seeds, n.PeerAddress())
	}
	return c.awaitReady()
}

// storeConfig stores config as the first revision.
func (c *Cluster) storeConfig(config *fleet.Config) (err error) {
	repository, err := distribution.NewRepository(distribution.RepositoryOptions{
		Client: c.Store.Client("dev"), Prefix: node.ConfigPrefix,
	})
	if err != nil {
		return err
	}
	change := distribution.ChangeInfo{Author: "dev", Comment: "first configuration"}
	_, err = repository.Apply(c.ctx, 0, fleet.Entries(config), change)
	return err
}

// awaitReady waits until all nodes are ready and know all others as members.
func (c *Cluster) awaitReady() (err error) {
	for start := time.Now(); time.Since(start) < startTimeout; {
		ready := true
		for _, n := range c.Nodes {
			ready = ready && n.Ready() && len(n.Members()) == len(c.Nodes)
		}
		if ready {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
	return errors.Errorf("the nodes were not ready within %s", startTimeout)
}

// serve starts an HTTP server that runs until the fleet stops. If it fails before,
// the error is only logged.
func (c *Cluster) serve(listener net.Listener, handler http.Handler) {
	limited := connlimit.New(listener, connlimit.Options{
		Name: "stand-in listener", Connections: standinConnections, Logger: c.logger, Timeouts: true,
	})
	server := &http.Server{Handler: limited.Handler(handler), ReadHeaderTimeout: standinHeaderTimeout, IdleTimeout: standinIdleTimeout}
	context.AfterFunc(c.ctx, func() { server.Close() })
	go func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			c.logger.Error("stand-in server failed", "Error", err)
		}
	}()
}

// announce prints the fleet's address and commands to try.
func (c *Cluster) announce() {
	base := "http://" + c.Address().String()
	fmt.Fprintf(c.options.Stdout, "ready: %s (%d nodes, %d engines, %d service workers)\n",
		base, len(c.Nodes), len(c.Engines), len(c.Services))
	fmt.Fprintf(c.options.Stdout, `try:
  curl %[1]s/v1/models -H 'Authorization: Bearer alpha-dev-key'
  curl %[1]s/v1/chat/completions -H 'Authorization: Bearer alpha-dev-key' -d '{"model":"dev-model","max_tokens":8,"messages":[{"role":"user","content":"Which class?"}]}'
  curl -N %[1]s/v1/completions -H 'Authorization: Bearer beta-dev-key' -d '{"model":"dev-model","max_tokens":8,"stream":true,"prompt":"Fees?"}'
  curl %[1]s/desk/fees
  curl %[1]s/desk/entries -H 'Authorization: Bearer alpha-dev-key' -H 'Idempotency-Key: entry-1' -d '{"class":"vintage"}'
  curl %[1]s/desk/runs -H 'Authorization: Bearer alpha-dev-key'
operators, with GUAVAGAUGE_CREDENTIAL=%[3]s:
  guavagauge history --operator %[2]s
  guavagauge label workspace north/alpha tier=small --operator %[2]s
  guavagauge key issue --owner north --workspace alpha --operator %[2]s
`, base, c.Nodes[0].OperatorAddress(), Credential)
}

// newLogger returns a logger to Stderr, or one that discards all events without it.
func newLogger(options Options) *slog.Logger {
	if options.Stderr == nil {
		return slog.New(slog.DiscardHandler)
	}
	level := slog.LevelWarn
	if options.Verbose {
		level = slog.LevelInfo
	}
	return logging.New(options.Stderr, level)
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// engineOptions returns the options of the stand-in engine for an upstream.
func engineOptions(u *fleet.Upstream) enginetest.Options {
	return enginetest.Options{Fencing: u.Fencing, Slots: u.Slots, Pieces: u.Pieces}
}
