package dev

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/enginetest"
	"github.com/guavagauge/guavagauge/providertest"
	"github.com/guavagauge/guavagauge/servicetest"
	"github.com/guavagauge/guavagauge/storetest"
	"github.com/guavagauge/guavagauge/transport"
)

// StandinOptions configures RunStandin. The addresses must be local to this host.
type StandinOptions struct {
	Store      netip.AddrPort
	Platform   netip.AddrPort
	Config     []byte // its upstreams get stand-ins at their addresses; empty for the built-in one
	ConfigFile string
	Stdout     io.Writer
	Stderr     io.Writer
}

// RunStandin serves stand-ins for all external systems until ctx ends, for nodes
// that run as separate processes. The store holds the configuration as its first
// revision.
func RunStandin(ctx context.Context, options StandinOptions) (err error) {
	defer errors.DeferredAnnotatef(&err, "run stand-ins")
	o := Options{Config: options.Config, ConfigFile: options.ConfigFile, Stdout: options.Stdout, Stderr: options.Stderr}
	config, err := o.parse()
	if err != nil {
		return err
	}
	cluster := newCluster(ctx, o)
	defer cluster.cancel()
	if err = cluster.startUpstreams(config); err != nil {
		return err
	}
	if err = cluster.storeConfig(config); err != nil {
		return err
	}
	listener, err := transport.TCP{}.Listen(ctx, options.Store)
	if err != nil {
		return err
	}
	cluster.serve(listener, cluster.Store.Handler())
	if listener, err = (transport.TCP{}).Listen(ctx, options.Platform); err != nil {
		return err
	}
	cluster.serve(listener, cluster.Platform.Handler())
	fmt.Fprintf(options.Stdout, "ready: store %s, platform %s, %d upstreams\n", options.Store, options.Platform, len(config.Upstreams))
	<-ctx.Done()
	return nil
}

func newCluster(ctx context.Context, options Options) (c *Cluster) {
	c = &Cluster{
		Engines: make(map[string]*enginetest.Engine), Services: make(map[string]*servicetest.Service),
		Store: storetest.New(storetest.Options{}), options: options, logger: newLogger(options),
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.Platform = providertest.New(c.ctx, providertest.Options{})
	return c
}
