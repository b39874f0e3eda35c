package node

import (
	"net/netip"
	"sync/atomic"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/membership"
	"github.com/guavagauge/guavagauge/rendezvous"
)

const (
	stewardsPerUpstream = 2 // the scheduler, and the node to try when it doesn't answer
	homesPerRegion      = 2 // nodes of a region that count a request's crashes
)

type (
	// Directory finds the nodes that are responsible for something, by
	// rendezvous hashing over the live members. Readers take no lock.
	Directory struct {
		region string
		table  atomic.Pointer[table]
	}

	table struct {
		all     []target
		domains map[string][]target
		regions map[string][]target
	}

	target struct {
		hash    uint64
		address netip.AddrPort
	}
)

// NewDirectory returns an empty directory for a node of a region.
func NewDirectory(region string) *Directory {
	d := &Directory{region: region}
	d.Update(nil)
	return d
}

// Update replaces the live members.
func (d *Directory) Update(members []membership.Member) {
	t := &table{domains: make(map[string][]target), regions: make(map[string][]target)}
	for _, m := range members {
		entry := target{rendezvous.Hash(m.Name), m.Address}
		t.all = append(t.all, entry)
		t.domains[m.FailureDomain] = append(t.domains[m.FailureDomain], entry)
		t.regions[m.Region] = append(t.regions[m.Region], entry)
	}
	d.table.Store(t)
}

// Schedulers returns the upstream's scheduler and the next in line. They are in
// the upstream's failure domain, or in its region if none is alive there, or
// anywhere.
func (d *Directory) Schedulers(spec *fleet.Upstream) (addresses []netip.AddrPort) {
	t := d.table.Load()
	group := t.domains[spec.FailureDomain]
	if len(group) == 0 {
		group = t.regions[spec.Region]
	}
	if len(group) == 0 {
		group = t.all
	}
	addresses = top(nil, rendezvous.Hash(spec.QualifiedName()), group, stewardsPerUpstream)
	if len(addresses) < stewardsPerUpstream && len(group) < len(t.all) {
		for _, address := range top(nil, rendezvous.Hash(spec.QualifiedName()), t.all, stewardsPerUpstream) {
			if len(addresses) == 0 || address != addresses[0] {
				addresses = append(addresses, address)
				break
			}
		}
	}
	return addresses
}

// CrashTrackers returns the nodes that count a request's crashes: those in this
// node's region, and those in all others.
func (d *Directory) CrashTrackers(fingerprint string) (near, far []netip.AddrPort) {
	t := d.table.Load()
	key := rendezvous.Hash(fingerprint)
	for region, group := range t.regions {
		if region == d.region {
			near = top(near, key, group, homesPerRegion)
		} else {
			far = top(far, key, group, homesPerRegion)
		}
	}
	return near, far
}

// Nodes returns the number of live nodes.
func (d *Directory) Nodes() (n int) { return len(d.table.Load().all) }

// top appends the n heaviest targets for key, heaviest first.
func top(addresses []netip.AddrPort, key uint64, group []target, n int) []netip.AddrPort {
	var weights [max(stewardsPerUpstream, homesPerRegion)]uint64
	first := len(addresses)
	for _, t := range group {
		weight := rendezvous.Weight(key, t.hash)
		at := len(addresses) - first
		for at > 0 && weight > weights[at-1] {
			at--
		}
		if at == n {
			continue
		}
		if len(addresses)-first < n {
			addresses = append(addresses, t.address)
		}
		copy(addresses[first+at+1:], addresses[first+at:])
		copy(weights[at+1:n], weights[at:n-1])
		addresses[first+at], weights[at] = t.address, weight
	}
	return addresses
}
