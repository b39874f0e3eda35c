package entry

import (
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/store"
)

const (
	nodePrefix = "guavagauge/node/"
	// nodeLease outlives the longest outage of the store that is expected. Entries
	// of nodes that are gone only cost datagrams.
	nodeLease = time.Minute
	// nodeRenew is the time between renewals of the node's entry and listings of
	// the others.
	nodeRenew = 6 * time.Second
	// nodeRetry is the time between tries to register and the first listings,
	// while nodes start together.
	nodeRetry = time.Second
	// firstListings are made at intervals of nodeRetry.
	firstListings = 4
	// peerLife is how long a node that is silent counts as alive.
	peerLife = 3 * time.Second
)

type (
	// peers are the other nodes.
	peers struct {
		node *Node
		conn net.PacketConn

		mu    sync.Mutex
		known map[string]*peerNode // by name
		wrote map[int64]time.Time  // windows whose counts this node wrote
		late  map[int64]bool       // windows of which counts came after that
		// far holds the messages of other domains that are to be handed on.
		far []relayed
		// farClocks holds the offsets of clocks in other domains.
		farClocks map[string]clockOffset
	}

	clockOffset struct {
		offset time.Duration
		at     time.Time
	}

	peerNode struct {
		address netip.AddrPort
		domain  string
		heard   time.Time
		age     time.Duration // of its configuration
		failing bool
		offset  time.Duration // of its wall clock to this node's
		whole   time.Time     // when it last spoke for another failure domain
		loads   []dispatch.Load
		placed  []dispatch.CacheInsert
		crashes []crash
		counts  map[int64]counts
	}

	// nodeEntry is a node's entry in the store.
	nodeEntry struct {
		Address       netip.AddrPort
		FailureDomain string
	}
)

// newPeers starts to talk to other nodes.
func newPeers(n *Node, listen func(address netip.AddrPort) (conn net.PacketConn, err error)) (p *peers, err error) {
	p = &peers{
		node: n, known: map[string]*peerNode{}, wrote: map[int64]time.Time{}, late: map[int64]bool{},
		farClocks: map[string]clockOffset{},
	}
	if p.conn, err = listen(n.settings.Listen.Peer); err != nil {
		return nil, err
	}
	go func() {
		<-n.ctx.Done()
		p.conn.Close()
	}()
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			size, from, err := p.conn.ReadFrom(buffer)
			if n.ctx.Err() != nil {
				return
			}
			if err != nil {
				n.logger.Warn("datagram not read", "Error", err)
				continue
			}
			p.take(buffer[:size], from, time.Now())
		}
	}()
	go func() {
		ticker := time.NewTicker(tellEvery)
		defer ticker.Stop()
		var near, far, counted time.Time
		for {
			select {
			case now := <-ticker.C:
				if now.Sub(near) < p.tellInterval() {
					continue
				}
				near = now
				withCounts := now.Sub(counted) >= countsEvery
				if withCounts {
					counted = now
				}
				p.tellNear(now, withCounts)
				if now.Sub(far) >= tellFarEvery && n.isReader() {
					far = now
					p.tellFar(now)
				}
			case <-n.ctx.Done():
				return
			}
		}
	}()
	go func() { p.register() }()
	return p, nil
}

// register keeps the node's entry in the store, and lists the others.
func (p *peers) register() {
	n := p.node
	value, err := json.Marshal(nodeEntry{Address: n.settings.Listen.Peer, FailureDomain: n.settings.FailureDomain})
	if err != nil {
		n.logger.Error("node not registered", "Error", err)
		return
	}
	var lease store.LeaseID
	for round := 0; n.ctx.Err() == nil; round++ {
		if lease != 0 {
			if _, err = n.store.KeepAlive(n.ctx, lease); store.Classify(err) == store.NotApplied {
				lease = 0
			}
		}
		if lease == 0 {
			if lease, err = n.store.Grant(n.ctx, nodeLease); err == nil {
				_, err = n.store.Put(n.ctx, store.PutRequest{
					Key: nodePrefix + n.settings.Name, Value: value, IfVersion: store.AnyVersion, Lease: lease,
				})
			}
			if err != nil {
				n.logger.Warn("node not registered", "Error", err)
				lease = 0
			}
		}
		if entries, _, err := n.store.Range(n.ctx, nodePrefix, true); err != nil {
			n.logger.Warn("nodes not listed", "Error", err)
		} else {
			p.replace(entries)
		}
		wait := nodeRenew
		if lease == 0 || round < firstListings {
			wait = nodeRetry
		}
		select {
		case <-time.After(wait):
		case <-n.ctx.Done():
		}
	}
}

// replace takes the listing of all nodes.
func (p *peers) replace(entries []store.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		var node nodeEntry
		if err := json.Unmarshal(entry.Value, &node); err != nil {
			p.node.logger.Warn("node entry unreadable", "Key", entry.Key, "Error", err)
			continue
		}
		name := strings.TrimPrefix(entry.Key, nodePrefix)
		if name == p.node.settings.Name {
			continue
		}
		listed[name] = true
		known := p.known[name]
		if known == nil {
			known = &peerNode{}
			p.known[name] = known
		}
		known.address, known.domain = node.Address, node.FailureDomain
	}
	for name, known := range p.known {
		if !listed[name] && time.Since(known.heard) > peerLife {
			delete(p.known, name)
		}
	}
	p.node.budget.share(len(p.known) + 1)
}

// trim forgets the counts of windows whose reports are done.
func (p *peerNode) trim(newest int64) {
	for window := range p.counts {
		if window < newest-windowsKept {
			delete(p.counts, window)
		}
	}
}

// offset is the median by which the nodes' wall clocks differ from this one's. A
// clock that jumped is outvoted.
func (p *peers) offset(now time.Time) (median time.Duration) {
	offsets := []time.Duration{0}
	p.mu.Lock()
	for _, peer := range p.known {
		if now.Sub(peer.heard) < peerLife {
			offsets = append(offsets, peer.offset)
		}
	}
	for _, far := range p.farClocks {
		if now.Sub(far.at) < peerLife {
			offsets = append(offsets, far.offset)
		}
	}
	p.mu.Unlock()
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// trueNow is the time of day that most nodes agree on.
func (n *Node) trueNow() time.Time {
	now := time.Now()
	return now.Add(n.peers.offset(now))
}
