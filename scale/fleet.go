// Package scale runs fleets of real nodes in one process and counts what they
// cost: messages and bytes between nodes by service, and calls and bytes at the
// store, also at the worst second.
//
// # Usage
//
//	f, err := scale.Start(ctx, scale.Options{Nodes: 48})
//	f.AwaitReady(time.Minute)
//	cost := f.Observe(time.Minute, nil)
//	fmt.Println(cost.Control().Bytes / f.Size() / cost.Seconds)
//
// It works inside a testing/synctest bubble, where an hour takes no real time,
// and outside for processor time and memory.
package scale

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/node"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/providertest"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/storetest"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	poll         = 50 * time.Millisecond
	localDelay   = 500 * time.Microsecond // one way, inside a region
	regionDelay  = 30 * time.Millisecond  // one way, between regions
	peerPort     = 7000
	callerPort   = 8080
	nodesPerByte = 250
)

type (
	// Options of a Cluster.
	Options struct {
		Nodes  int
		Config *fleet.Config
		// Loopback uses TCP on loopback addresses instead of an in-memory
		// network. The regions then can't be parted.
		Loopback bool
		Logger   *slog.Logger
	}

	// Cluster is a running fleet with stand-ins for the outside systems.
	Cluster struct {
		Store    *storetest.Server
		Platform *providertest.Server

		ctx        context.Context
		options    Options
		domains    int
		regions    int
		memory     *nettest.Network
		counts     *counts
		repository *distribution.Repository
		revision   uint64

		mu    sync.Mutex
		nodes []*member // nil while stopped
	}

	member struct {
		*node.Node
		stop context.CancelFunc
	}
)

// Start starts all nodes at once. They end with ctx.
func Start(ctx context.Context, options Options) (f *Cluster, err error) {
	f = &Cluster{
		Store: storetest.New(storetest.Options{}), Platform: providertest.New(ctx, providertest.Options{}),
		ctx: ctx, options: options, domains: 4, regions: 2, memory: nettest.New(), counts: newCounts(),
		nodes: make([]*member, options.Nodes),
	}
	if options.Nodes <= 9 { // today's deployments
		f.domains, f.regions = 3, 3
	}
	if options.Logger == nil {
		f.options.Logger = slog.New(slog.DiscardHandler)
	}
	f.memory.SetDelay(func(from, to netip.Addr) time.Duration {
		if f.region(index(from)) != f.region(index(to)) {
			return regionDelay
		}
		return localDelay
	})
	f.repository, err = distribution.NewRepository(distribution.RepositoryOptions{
		Client: &countingStore{f.Store.Client("operator"), f.counts}, Prefix: node.ConfigPrefix,
	})
	if err != nil {
		return nil, err
	}
	if err = f.ApplyRevision(); err != nil {
		return nil, err
	}
	for i := range options.Nodes {
		f.Platform.Add(provider.VM{
			Name: name(i), Kind: provider.Entry, Address: address(i, peerPort), FailureDomain: f.domain(i), State: provider.Live,
		})
	}
	for i := range options.Nodes {
		if err = f.StartNode(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Size returns the number of nodes, running or not.
func (f *Cluster) Size() int { return len(f.nodes) }

// Node returns the i-th node, or nil while it is stopped.
func (f *Cluster) Node(i int) *node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[i] == nil {
		return nil
	}
	return f.nodes[i].Node
}

// StartNode starts a node that doesn't run.
func (f *Cluster) StartNode(i int) (err error) {
	s := &settings.Settings{
		Name: name(i), FailureDomain: f.domain(i), Region: fmt.Sprint("region-", f.region(i)),
		Listen:   settings.Listen{Caller: address(i, callerPort), Peer: address(i, peerPort)},
		Operator: settings.Operator{CredentialSHA256: fleet.HashKey("scale")},
	}
	for seed := range min(f.domains, f.options.Nodes) {
		s.Seeds = append(s.Seeds, address(seed, peerPort))
	}
	s.FillDefaults()
	s.Listen.Operator = netip.AddrPort{}
	ctx, cancel := context.WithCancel(f.ctx)
	n, err := node.New(ctx, node.Options{
		Settings: s, Network: &network{f.transport(i), f.counts, f.region(i), f.region}, Platform: f.Platform,
		Store:  &countingStore{f.Store.Client(s.Name), f.counts},
		Logger: f.options.Logger,
	})
	if err != nil {
		cancel()
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = &member{n, cancel}
	return nil
}

// Kill ends a node as the loss of its VM does.
func (f *Cluster) Kill(i int) {
	f.mu.Lock()
	m := f.nodes[i]
	f.nodes[i] = nil
	f.mu.Unlock()
	if m != nil {
		m.stop()
		f.memory.Crash(address(i, 0).Addr().String())
	}
}

// KillDomain ends all nodes of a failure domain and returns their number.
func (f *Cluster) KillDomain(domain int) (killed int) {
	for i := range f.nodes {
		if i%f.domains == domain {
			f.Kill(i)
			killed++
		}
	}
	return killed
}

// Partition cuts region 1 off from the others and from the store. Bytes on the
// way are held back, and arrive after Heal.
func (f *Cluster) Partition() {
	f.counts.cut(1)
	f.eachOfRegion(1, func(name string) { f.Store.Partition(name, storetest.Both) })
}

// Heal ends Partition.
func (f *Cluster) Heal() {
	f.counts.cut(noRegion)
	f.eachOfRegion(1, f.Store.Heal)
}

func (f *Cluster) eachOfRegion(region int, do func(name string)) {
	for i := range f.nodes {
		if f.region(i) == region {
			do(name(i))
		}
	}
}

// ApplyRevision stores a further revision of the configuration, in which one
// object differs.
func (f *Cluster) ApplyRevision() (err error) {
	f.revision++
	entries := fleet.Entries(f.options.Config)
	changed := f.options.Config.Workspaces[int(f.revision)%len(f.options.Config.Workspaces)]
	changed.Burst += int(f.revision)
	for name, value := range fleet.Entries(&fleet.Config{Workspaces: []fleet.Workspace{changed}}) {
		entries[name] = value
	}
	_, err = f.repository.Apply(f.ctx, f.revision-1, entries, distribution.ChangeInfo{Author: "scale"})
	return err
}

// AwaitInForce returns how long it took until the newest revision was in force
// on all running nodes.
func (f *Cluster) AwaitInForce(limit time.Duration) (took time.Duration, err error) {
	return f.await("configuration in force", limit, func(n *node.Node) bool { return n.Snapshot().Revision() >= f.revision })
}

// AwaitReady returns how long it took until all running nodes were ready and
// knew each other.
func (f *Cluster) AwaitReady(limit time.Duration) (took time.Duration, err error) {
	running := 0
	for i := range f.nodes {
		if f.Node(i) != nil {
			running++
		}
	}
	return f.await("ready", limit, func(n *node.Node) bool { return n.Ready() && n.Directory.Nodes() == running })
}

func (f *Cluster) await(what string, limit time.Duration, condition func(n *node.Node) bool) (took time.Duration, err error) {
	for start := time.Now(); ; time.Sleep(poll) {
		missing := 0
		for i := range f.nodes {
			if n := f.Node(i); n != nil && !condition(n) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start), nil
		}
		if time.Since(start) > limit {
			return limit, errors.Errorf("%s: not on %d of %d nodes after %s", what, missing, len(f.nodes), limit)
		}
	}
}

func (f *Cluster) transport(i int) transport.Network {
	if f.options.Loopback {
		return transport.TCP{}
	}
	return f.memory.Host(address(i, 0).Addr().String())
}

func (f *Cluster) domain(i int) string { return fmt.Sprint("domain-", i%f.domains) }

func (f *Cluster) region(i int) int { return i % f.domains % f.regions }

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

// address is on the loopback network, so that TCP can be used as well.
func address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / nodesPerByte), byte(i%nodesPerByte + 1)}), port)
}

// index returns the node at an address, or 0 for other addresses.
func index(a netip.Addr) int {
	b := a.As4()
	return max(0, int(b[2])*nodesPerByte+int(b[3])-1)
}
