package node

import (
	"net/netip"
	"sync/atomic"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/membership"
	"github.com/guavagauge/guavagauge/rendezvous"
)

const (
	schedulersPerUpstream = 2 // the scheduler and its fallback
	// crashTrackersPerRegion is the number of nodes in each region that count the
	// crashes of a request. If one fails, the caller server asks the other.
	crashTrackersPerRegion = 2
)

type (
	// Directory maps upstreams and request fingerprints to the nodes that are
	// responsible for them, by rendezvous hashing over the live members. It is
	// safe for concurrent use, and lookups take no lock.
	Directory struct {
		region string
		table  atomic.Pointer[memberTable]
	}

	// memberTable is an immutable index of the live members.
	memberTable struct {
		all     []hashedNode
		domains map[string][]hashedNode
		regions map[string][]hashedNode
	}

	// hashedNode is a member with the hash of its name.
	hashedNode struct {
		hash    uint64
		address netip.AddrPort
	}
)

// NewDirectory returns an empty directory for a node in the given region.
func NewDirectory(region string) *Directory {
	d := &Directory{region: region}
	d.Update(nil)
	return d
}

// Update replaces the set of live members.
func (d *Directory) Update(members []membership.Member) {
	t := &memberTable{domains: make(map[string][]hashedNode), regions: make(map[string][]hashedNode)}
	for _, m := range members {
		member := hashedNode{rendezvous.Hash(m.Name), m.Address}
		t.all = append(t.all, member)
		t.domains[m.FailureDomain] = append(t.domains[m.FailureDomain], member)
		t.regions[m.Region] = append(t.regions[m.Region], member)
	}
	d.table.Store(t)
}

// Schedulers returns the node that schedules an upstream, followed by the
// fallback for when that one doesn't answer. The scheduler is in the upstream's
// failure domain, or else in its region if no node of the domain is alive, or
// else anywhere. The fallback is chosen among all nodes if that group has only
// one.
func (d *Directory) Schedulers(spec *fleet.Upstream) (addresses []netip.AddrPort) {
	t := d.table.Load()
	group := t.domains[spec.FailureDomain]
	if len(group) == 0 {
		group = t.regions[spec.Region]
	}
	if len(group) == 0 {
		group = t.all
	}
	addresses = appendTop(nil, rendezvous.Hash(spec.QualifiedName()), group, schedulersPerUpstream)
	if len(addresses) < schedulersPerUpstream && len(group) < len(t.all) {
		for _, address := range appendTop(nil, rendezvous.Hash(spec.QualifiedName()), t.all, schedulersPerUpstream) {
			if len(addresses) == 0 || address != addresses[0] {
				addresses = append(addresses, address)
				break
			}
		}
	}
	return addresses
}

// CrashTrackers returns the nodes that count the upstream crashes of requests
// with a fingerprint: near are up to crashTrackersPerRegion nodes in this node's
// region, far as many in each other region.
func (d *Directory) CrashTrackers(fingerprint string) (near, far []netip.AddrPort) {
	t := d.table.Load()
	key := rendezvous.Hash(fingerprint)
	for region, group := range t.regions {
		if region == d.region {
			near = appendTop(near, key, group, crashTrackersPerRegion)
		} else {
			far = appendTop(far, key, group, crashTrackersPerRegion)
		}
	}
	return near, far
}

// Nodes returns the number of live nodes.
func (d *Directory) Nodes() (n int) { return len(d.table.Load().all) }

// appendTop appends the addresses of the n nodes with the highest rendezvous
// weights for key, by falling weight. n must not exceed the length of weights.
func appendTop(addresses []netip.AddrPort, key uint64, nodes []hashedNode, n int) []netip.AddrPort {
	var weights [max(schedulersPerUpstream, crashTrackersPerRegion)]uint64
	first := len(addresses)
	for _, node := range nodes {
		weight := rendezvous.Weight(key, node.hash)
		position := len(addresses) - first
		for position > 0 && weight > weights[position-1] {
			position--
		}
		if position == n {
			continue
		}
		if len(addresses)-first < n {
			addresses = append(addresses, node.address)
		}
		copy(addresses[first+position+1:], addresses[first+position:])
		copy(weights[position+1:n], weights[position:n-1])
		addresses[first+position], weights[position] = node.address, weight
	}
	return addresses
}
