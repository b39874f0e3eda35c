// Package dev runs a whole fleet in one process: nodes that talk over loopback
// TCP, and stand-ins for all outside systems. It is for trying guavagauge out
// and for end-to-end tests.
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
	// Credential is the operators' credential of a development fleet.
	Credential = "dev-operator-credential"

	maxNodes     = 32
	startTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	stopTimeout  = 30 * time.Second
	withdraw     = time.Millisecond // there is no balancer to wait for
	usageWindow  = time.Minute
	region       = "dev"
)

//go:embed fleet.toml
var builtinConfig []byte

// failureDomains are those of the nodes, in turn.
var failureDomains = []string{"dev-a", "dev-b"}

type (
	// Options of a development fleet.
	Options struct {
		Listen     netip.AddrPort // callers of the first node; port 0 takes any
		Nodes      int
		Config     []byte // fleet configuration; empty for the built-in one
		ConfigFile string // its name in messages
		Stdout     io.Writer
		Stderr     io.Writer
		Verbose    bool
	}

	// Cluster is a running development fleet.
	Cluster struct {
		Nodes    []*node.Node
		Engines  map[string]*enginetest.Engine   // by upstream key
		Services map[string]*servicetest.Service // by upstream key
		Store    *storetest.Server
		Platform *providertest.Server

		ctx     context.Context
		cancel  context.CancelFunc
		options Options
		logger  *slog.Logger
	}
)

// BuiltinConfig returns the fleet configuration used when none is given.
func BuiltinConfig() (text []byte) { return builtinConfig }

// Run starts a fleet, prints where it can be reached, and shuts it down
// gracefully when ctx ends.
func Run(ctx context.Context, options Options) (err error) {
	f, err := Start(context.WithoutCancel(ctx), options)
	if err != nil {
		return err
	}
	f.announce()
	<-ctx.Done()
	fmt.Fprintln(options.Stdout, "stopping: running requests finish first")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return f.Stop(stopCtx)
}

// Start starts a fleet and returns when it serves.
func Start(ctx context.Context, options Options) (f *Cluster, err error) {
	defer errors.DeferredAnnotatef(&err, "start the development fleet")
	if options.Nodes < 1 || options.Nodes > maxNodes {
		return nil, errors.Errorf("%d nodes: want 1 to %d", options.Nodes, maxNodes)
	}
	started := newFleet(ctx, options)
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
	if err = started.store(config); err != nil {
		return nil, err
	}
	if err = started.startNodes(); err != nil {
		return nil, err
	}
	return started, nil
}

// Address returns where the first node serves callers.
func (f *Cluster) Address() netip.AddrPort { return f.Nodes[0].CallerAddress() }

// Stop shuts the nodes down gracefully, then the stand-ins.
func (f *Cluster) Stop(ctx context.Context) (err error) {
	defer f.cancel()
	for _, n := range f.Nodes {
		if stopErr := n.Stop(ctx); err == nil {
			err = stopErr
		}
	}
	return err
}

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

// startUpstreams starts a stand-in for each upstream at its address, and puts
// the actual port into the configuration where that is 0.
func (f *Cluster) startUpstreams(config *fleet.Config) (err error) {
	for i := range config.Upstreams {
		u := &config.Upstreams[i]
		listener, err := transport.TCP{}.Listen(f.ctx, u.Address)
		if err != nil {
			return err
		}
		u.Address = transport.ListenAddress(listener)
		if u.IsEngine() {
			listener.Close() // the engine listens again after each restart
			f.Engines[u.QualifiedName()] = enginetest.New(f.ctx, engineOptions(u))
			err = f.Engines[u.QualifiedName()].Serve(f.ctx, transport.TCP{}, u.Address)
		} else {
			f.Services[u.QualifiedName()] = servicetest.New()
			f.serve(listener, f.Services[u.QualifiedName()])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Cluster) startNodes() (err error) {
	var seeds []netip.AddrPort
	for i := range f.options.Nodes {
		listen := loopback()
		if i == 0 {
			listen = f.options.Listen
		}
		s := &settings.Settings{
			Name: fmt.Sprintf("dev-node-%d", i+1), FailureDomain: failureDomains[i%len(failureDomains)], Region: region,
			Seeds: seeds, Listen: settings.Listen{Caller: listen, Peer: loopback(), Operator: loopback()},
			Operator:  settings.Operator{CredentialSHA256: fleet.HashKey(Credential)},
			Intervals: settings.Intervals{ListenerWithdraw: withdraw, UsageWindow: usageWindow},
		}
		s.FillDefaults()
		n, err := node.New(f.ctx, node.Options{
			Settings: s, Network: transport.TCP{}, Store: f.Store.Client(s.Name), Platform: f.Platform, Logger: f.logger,
		})
		if err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, n)
		seeds = append(seeds, n.PeerAddress())
	}
	return f.awaitReady()
}

// store puts the first configuration into the store.
func (f *Cluster) store(config *fleet.Config) (err error) {
	repository, err := distribution.NewRepository(distribution.RepositoryOptions{
		Client: f.Store.Client("dev"), Prefix: node.ConfigPrefix,
	})
	if err != nil {
		return err
	}
	change := distribution.ChangeInfo{Author: "dev", Comment: "first configuration"}
	_, err = repository.Apply(f.ctx, 0, fleet.Entries(config), change)
	return err
}

// awaitReady returns when all nodes have the configuration and know each other.
func (f *Cluster) awaitReady() (err error) {
	for start := time.Now(); time.Since(start) < startTimeout; {
		ready := true
		for _, n := range f.Nodes {
			ready = ready && n.Ready() && len(n.Members()) == len(f.Nodes)
		}
		if ready {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-f.ctx.Done():
			return f.ctx.Err()
		}
	}
	return errors.Errorf("the nodes were not ready within %s", startTimeout)
}

// serve runs an HTTP server until the fleet stops.
func (f *Cluster) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(f.ctx, func() { server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.logger.Error("stand-in failed", "Error", err)
		}
	}()
}

func (f *Cluster) announce() {
	base := "http://" + f.Address().String()
	fmt.Fprintf(f.options.Stdout, "ready: %s (%d nodes, %d engines, %d service workers)\n",
		base, len(f.Nodes), len(f.Engines), len(f.Services))
	fmt.Fprintf(f.options.Stdout, `try:
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
`, base, f.Nodes[0].OperatorAddress(), Credential)
}

func logger(options Options) *slog.Logger {
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

// engineOptions gives a stand-in engine the upstream's settings.
func engineOptions(u *fleet.Upstream) enginetest.Options {
	return enginetest.Options{Fencing: u.Fencing, Slots: u.Slots, Pieces: u.Pieces}
}
