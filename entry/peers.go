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
	nodeKeyPrefix = "guavagauge/node/"
	// nodeLease outlives the longest outage of the store that is expected. Entries
	// of nodes that are gone only cost datagrams.
	nodeTTL = time.Minute
	// nodeRenew is the time between renewals of the node's entry and listings of
	// the others.
	nodeRenewInterval = 6 * time.Second
	// nodeRetry is the time between tries to register and the first listings,
	// while nodes start together.
	nodeRetryDelay = time.Second
	// firstListings are made at intervals of nodeRetry.
	initialListings = 4
	// peerLife is how long a node that is silent counts as alive.
	peerTTL = 3 * time.Second
)

type (
	// peers are the other nodes.
	peers struct {
		node *Node
		conn net.PacketConn

		mu          sync.Mutex
		byName      map[string]*peerNode // by name
		writtenAt   map[int64]time.Time  // windows whose counts this node wrote
		lateWindows map[int64]bool       // windows of which counts came after that
		// far holds the messages of other domains that are to be handed on.
		pendingRelays []relayedMessage
		// farClocks holds the offsets of clocks in other domains.
		remoteClocks map[string]clockOffset
	}

	clockOffset struct {
		offset time.Duration
		at     time.Time
	}

	peerNode struct {
		address         netip.AddrPort
		domain          string
		lastSeen        time.Time
		configAge       time.Duration // of its configuration
		cannotReadStore bool
		offset          time.Duration // of its wall clock to this node's
		lastAggregate   time.Time     // when it last spoke for another failure domain
		loads           []dispatch.Load
		cacheInserts    []dispatch.CacheInsert
		crashes         []crash
		counts          map[int64]counts
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
		node: n, byName: map[string]*peerNode{}, writtenAt: map[int64]time.Time{}, lateWindows: map[int64]bool{},
		remoteClocks: map[string]clockOffset{},
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
			p.receive(buffer[:size], from, time.Now())
		}
	}()
	go func() {
		ticker := time.NewTicker(gossipTick)
		defer ticker.Stop()
		var lastLocal, lastRemote, lastCounts time.Time
		for {
			select {
			case now := <-ticker.C:
				if now.Sub(lastLocal) < p.gossipInterval() {
					continue
				}
				lastLocal = now
				withCounts := now.Sub(lastCounts) >= countsInterval
				if withCounts {
					lastCounts = now
				}
				p.gossipLocal(now, withCounts)
				if now.Sub(lastRemote) >= remoteGossipInterval && n.isStoreReader() {
					lastRemote = now
					p.gossipRemote(now)
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
			if lease, err = n.store.Grant(n.ctx, nodeTTL); err == nil {
				_, err = n.store.Put(n.ctx, store.PutRequest{
					Key: nodeKeyPrefix + n.settings.Name, Value: value, IfVersion: store.AnyVersion, Lease: lease,
				})
			}
			if err != nil {
				n.logger.Warn("node not registered", "Error", err)
				lease = 0
			}
		}
		if entries, _, err := n.store.Range(n.ctx, nodeKeyPrefix, true); err != nil {
			n.logger.Warn("nodes not listed", "Error", err)
		} else {
			p.updateNodes(entries)
		}
		wait := nodeRenewInterval
		if lease == 0 || round < initialListings {
			wait = nodeRetryDelay
		}
		select {
		case <-time.After(wait):
		case <-n.ctx.Done():
		}
	}
}

// replace takes the listing of all nodes.
func (p *peers) updateNodes(entries []store.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		var node nodeEntry
		if err := json.Unmarshal(entry.Value, &node); err != nil {
			p.node.logger.Warn("node entry unreadable", "Key", entry.Key, "Error", err)
			continue
		}
		name := strings.TrimPrefix(entry.Key, nodeKeyPrefix)
		if name == p.node.settings.Name {
			continue
		}
		listed[name] = true
		peer := p.byName[name]
		if peer == nil {
			peer = &peerNode{}
			p.byName[name] = peer
		}
		peer.address, peer.domain = node.Address, node.FailureDomain
	}
	for name, peer := range p.byName {
		if !listed[name] && time.Since(peer.lastSeen) > peerTTL {
			delete(p.byName, name)
		}
	}
	p.node.budget.setNodes(len(p.byName) + 1)
}

// trim forgets the counts of windows whose reports are done.
func (p *peerNode) trimCounts(newest int64) {
	for window := range p.counts {
		if window < newest-keptWindows {
			delete(p.counts, window)
		}
	}
}

// offset is the median by which the nodes' wall clocks differ from this one's. A
// clock that jumped is outvoted.
func (p *peers) medianOffset(now time.Time) (median time.Duration) {
	offsets := []time.Duration{0}
	p.mu.Lock()
	for _, peer := range p.byName {
		if now.Sub(peer.lastSeen) < peerTTL {
			offsets = append(offsets, peer.offset)
		}
	}
	for _, remote := range p.remoteClocks {
		if now.Sub(remote.at) < peerTTL {
			offsets = append(offsets, remote.offset)
		}
	}
	p.mu.Unlock()
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// trueNow is the time of day that most nodes agree on.
func (n *Node) medianNow() time.Time {
	now := time.Now()
	return now.Add(n.peers.medianOffset(now))
}
