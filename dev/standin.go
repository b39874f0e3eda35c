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

// StandinOptions of RunStandin. The addresses must be on this machine.
type StandinOptions struct {
	Store      netip.AddrPort
	Platform   netip.AddrPort
	Config     []byte // its upstreams are served at their addresses
	ConfigFile string
	Stdout     io.Writer
	Stderr     io.Writer
}

// RunStandin serves stand-ins of all outside systems until ctx ends, for nodes
// that run as processes of their own. The store holds the configuration as its
// first revision.
func RunStandin(ctx context.Context, options StandinOptions) (err error) {
	defer errors.DeferredAnnotatef(&err, "run stand-ins")
	o := Options{Config: options.Config, ConfigFile: options.ConfigFile, Stdout: options.Stdout, Stderr: options.Stderr}
	config, err := o.parse()
	if err != nil {
		return err
	}
	f := newFleet(ctx, o)
	defer f.cancel()
	if err = f.startUpstreams(config); err != nil {
		return err
	}
	if err = f.store(config); err != nil {
		return err
	}
	listener, err := transport.TCP{}.Listen(ctx, options.Store)
	if err != nil {
		return err
	}
	f.serve(listener, f.Store.Handler())
	if listener, err = (transport.TCP{}).Listen(ctx, options.Platform); err != nil {
		return err
	}
	f.serve(listener, f.Platform.Handler())
	fmt.Fprintf(options.Stdout, "ready: store %s, platform %s, %d upstreams\n", options.Store, options.Platform, len(config.Upstreams))
	<-ctx.Done()
	return nil
}

func newFleet(ctx context.Context, options Options) (f *Cluster) {
	f = &Cluster{
		Engines: make(map[string]*enginetest.Engine), Services: make(map[string]*servicetest.Service),
		Store: storetest.New(storetest.Options{}), options: options, logger: logger(options),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.Platform = providertest.New(f.ctx, providertest.Options{})
	return f
}
