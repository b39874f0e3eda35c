// Package scale runs fleets of real nodes in one process and counts the messages
// and bytes between the nodes, by service, and the calls and bytes to the store,
// in total and in the worst second.
//
// # Usage
//
//	f, err := scale.Start(ctx, scale.Options{Nodes: 48, Config: scale.Small.Config()})
//	f.AwaitReady(time.Minute)
//	cost := f.Observe(time.Minute, nil)
//	fmt.Println(cost.Control().Bytes / f.Size() / cost.Seconds)
//
// A fleet runs inside a testing/synctest bubble, where waiting takes no real
// time, or outside of one, for measurements of processor time and memory. Only
// this package's own tests and benchmarks use it.
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
	pollInterval     = 50 * time.Millisecond
	intraRegionDelay = 500 * time.Microsecond // one way, inside a region
	interRegionDelay = 30 * time.Millisecond  // one way, between regions
	peerPort         = 7000
	callerPort       = 8080
	nodesPerSubnet   = 250
)

type (
	// Options are the settings of a Cluster. Nodes and Config are required.
	Options struct {
		Nodes  int
		Config *fleet.Config
		// Loopback selects TCP on loopback addresses instead of an in-memory
		// network. Partition, ServeEngines and Load need the in-memory one.
		Loopback bool
		Logger   *slog.Logger // by default, log lines are discarded
	}

	// Cluster is a running fleet with stand-ins for the store and the platform. Node,
	// StartNode and Kill are safe for concurrent use. ApplyRevision must not run
	// concurrently with itself or with AwaitInForce.
	Cluster struct {
		Store    *storetest.Server
		Platform *providertest.Server

		ctx              context.Context
		options          Options
		domains          int
		regions          int
		simulatedNetwork *nettest.Network
		counters         *counters
		repository       *distribution.Repository
		revision         uint64 // of the last ApplyRevision that succeeded

		mu    sync.Mutex
		nodes []*runningNode // nil while stopped
	}

	runningNode struct {
		*node.Node
		stop context.CancelFunc
	}
)

// Start stores the configuration and starts all nodes at once. They stop when ctx
// ends, also if Start fails. Up to 9 nodes are spread over 3 failure domains, each
// in a region of its own, and more nodes over 4 failure domains in 2 regions.
func Start(ctx context.Context, options Options) (f *Cluster, err error) {
	f = &Cluster{
		Store: storetest.New(storetest.Options{}), Platform: providertest.New(ctx, providertest.Options{}),
		ctx: ctx, options: options, domains: 4, regions: 2, simulatedNetwork: nettest.New(), counters: newCounters(),
		nodes: make([]*runningNode, options.Nodes),
	}
	if options.Nodes <= 9 { // like today's deployments
		f.domains, f.regions = 3, 3
	}
	if options.Logger == nil {
		f.options.Logger = slog.New(slog.DiscardHandler)
	}
	f.simulatedNetwork.SetDelay(func(from, to netip.Addr) time.Duration {
		if f.region(nodeIndex(from)) != f.region(nodeIndex(to)) {
			return interRegionDelay
		}
		return intraRegionDelay
	})
	f.repository, err = distribution.NewRepository(distribution.RepositoryOptions{
		Client: &countingStore{f.Store.Client("operator"), f.counters}, Prefix: node.ConfigPrefix,
	})
	if err != nil {
		return nil, err
	}
	if err = f.ApplyRevision(); err != nil {
		return nil, err
	}
	for i := range options.Nodes {
		f.Platform.Add(provider.VM{
			Name: nodeName(i), Kind: provider.Entry, Address: nodeAddress(i, peerPort), FailureDomain: f.domain(i), State: provider.Live,
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

// StartNode starts the i-th node, which must not be running.
func (f *Cluster) StartNode(i int) (err error) {
	s := &settings.Settings{
		Name: nodeName(i), FailureDomain: f.domain(i), Region: fmt.Sprint("region-", f.region(i)),
		Listen:   settings.Listen{Caller: nodeAddress(i, callerPort), Peer: nodeAddress(i, peerPort)},
		Operator: settings.Operator{CredentialSHA256: fleet.HashKey("scale")},
	}
	// The seeds are the first node of each failure domain.
	for seed := range min(f.domains, f.options.Nodes) {
		s.Seeds = append(s.Seeds, nodeAddress(seed, peerPort))
	}
	s.FillDefaults()
	s.Listen.Operator = netip.AddrPort{} // FillDefaults sets an address; without one, the node has no operator listener
	ctx, cancel := context.WithCancel(f.ctx)
	n, err := node.New(ctx, node.Options{
		Settings: s, Network: &network{f.hostNetwork(i), f.counters, f.region(i), f.region}, Platform: f.Platform,
		Store:  &countingStore{f.Store.Client(s.Name), f.counters},
		Logger: f.options.Logger,
	})
	if err != nil {
		cancel()
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = &runningNode{n, cancel}
	return nil
}

// Kill stops the i-th node without a graceful shutdown, as if its VM had failed.
func (f *Cluster) Kill(i int) {
	f.mu.Lock()
	m := f.nodes[i]
	f.nodes[i] = nil
	f.mu.Unlock()
	if m != nil {
		m.stop()
		f.simulatedNetwork.Crash(nodeAddress(i, 0).Addr().String())
	}
}

// KillDomain kills all nodes of a failure domain and returns their number.
func (f *Cluster) KillDomain(domain int) (killed int) {
	for i := range f.nodes {
		if i%f.domains == domain {
			f.Kill(i)
			killed++
		}
	}
	return killed
}

// Partition isolates region 1 from the other regions and from the store. Bytes
// in transit between nodes are delayed until Heal.
func (f *Cluster) Partition() {
	f.counters.setIsolatedRegion(1)
	f.forEachInRegion(1, func(name string) { f.Store.Partition(name, storetest.Both) })
}

// Heal ends the partition that Partition began.
func (f *Cluster) Heal() {
	f.counters.setIsolatedRegion(noRegion)
	f.forEachInRegion(1, f.Store.Heal)
}

func (f *Cluster) forEachInRegion(region int, apply func(name string)) {
	for i := range f.nodes {
		if f.region(i) == region {
			apply(nodeName(i))
		}
	}
}

// ApplyRevision stores the next revision of the configuration, in which one
// workspace differs from the original. It also undoes the previous change.
func (f *Cluster) ApplyRevision() (err error) {
	next := f.revision + 1
	entries := fleet.Entries(f.options.Config)
	changed := f.options.Config.Workspaces[int(next)%len(f.options.Config.Workspaces)]
	changed.Burst += int(next)
	for name, value := range fleet.Entries(&fleet.Config{Workspaces: []fleet.Workspace{changed}}) {
		entries[name] = value
	}
	if _, err = f.repository.Apply(f.ctx, f.revision, entries, distribution.ChangeInfo{Author: "scale"}); err != nil {
		return err
	}
	f.revision = next
	return nil
}

// AwaitInForce waits until the newest revision is in force on all running nodes,
// and returns how long that took.
func (f *Cluster) AwaitInForce(limit time.Duration) (took time.Duration, err error) {
	return f.await("configuration in force", limit, func(n *node.Node) bool { return n.Snapshot().Revision() >= f.revision })
}

// AwaitReady waits until all running nodes are ready and have each other in their
// directories, and returns how long that took.
func (f *Cluster) AwaitReady(limit time.Duration) (took time.Duration, err error) {
	running := 0
	for i := range f.nodes {
		if f.Node(i) != nil {
			running++
		}
	}
	return f.await("ready", limit, func(n *node.Node) bool { return n.Ready() && n.Directory.Nodes() == running })
}

func (f *Cluster) await(description string, limit time.Duration, condition func(n *node.Node) bool) (took time.Duration, err error) {
	for start := time.Now(); ; time.Sleep(pollInterval) {
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
			return limit, errors.Errorf("condition %q not met on %d of %d nodes after %s", description, missing, len(f.nodes), limit)
		}
	}
}

func (f *Cluster) hostNetwork(i int) transport.Network {
	if f.options.Loopback {
		return transport.TCP{}
	}
	return f.simulatedNetwork.Host(nodeAddress(i, 0).Addr().String())
}

func (f *Cluster) domain(i int) string { return fmt.Sprint("domain-", i%f.domains) }

func (f *Cluster) region(i int) int { return i % f.domains % f.regions }

func nodeName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// nodeAddress returns the address of the i-th node. It is in the loopback network,
// so that it is valid for TCP as well.
func nodeAddress(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / nodesPerSubnet), byte(i%nodesPerSubnet + 1)}), port)
}

// nodeIndex returns the index of the node at an address. Any other address also
// yields an index, which places its host, such as an upstream, in a region for the
// delays and for a partition.
func nodeIndex(a netip.Addr) int {
	b := a.As4()
	return max(0, int(b[2])*nodesPerSubnet+int(b[3])-1)
}
