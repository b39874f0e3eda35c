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
	// nodeKeyPrefix is the prefix of the nodes' keys in the store.
	nodeKeyPrefix = "guavagauge/node/"
	// nodeTTL is the lease TTL of a node's entry. It exceeds the longest store
	// outage that is expected. An entry that outlives its node only costs datagrams.
	nodeTTL = time.Minute
	// nodeRenewInterval is the time between two renewals of this node's entry, and
	// between two listings of the nodes.
	nodeRenewInterval = 6 * time.Second
	// nodeRetryDelay replaces nodeRenewInterval while this node isn't registered,
	// and after its first listings, since other nodes may start at the same time.
	nodeRetryDelay = time.Second
	// initialListings is the number of listings that nodeRetryDelay follows.
	initialListings = 4
	// peerTTL is how long after its last message a node counts as alive: its clock
	// is used, and it stays known without an entry in the store.
	peerTTL = 3 * time.Second
)

type (
	// peers holds the state of the other nodes and exchanges messages with them.
	peers struct {
		node *Node
		conn net.PacketConn

		// announcedLocal and announcedRemote are when the crashes of all quarantined
		// parts were last sent to the nodes of the domain and to other domains. Only
		// the goroutine that sends messages uses them.
		announcedLocal, announcedRemote time.Time

		mu          sync.Mutex
		byName      map[string]*peerNode
		writtenAt   map[int64]time.Time // when this node last wrote a window's counts
		lateWindows map[int64]bool      // windows to be written, or written again, at the next tick
		// pendingRelays holds the messages of other domains that this node has yet to
		// relay within its own.
		pendingRelays []relayedMessage
		// pendingExtensions holds the extensions of those messages.
		pendingExtensions []relayedExtension
		// remoteClocks holds the clock offset of one node in each other domain.
		remoteClocks map[string]clockOffset
	}

	// clockOffset is the offset of another wall clock from this node's, with the
	// time of its measurement.
	clockOffset struct {
		offset time.Duration
		at     time.Time
	}

	// peerNode is the state of another node, from its last messages. Before the
	// first one, it holds only what the node's entry in the store and AccountRequests
	// contain.
	peerNode struct {
		address         netip.AddrPort
		domain          string
		lastSeen        time.Time
		configAge       time.Duration // since the store last answered about its configuration
		cannotReadStore bool
		offset          time.Duration // of its wall clock from this node's
		lastAggregate   time.Time     // when it last sent an aggregate message
		loads           []dispatch.Load
		cacheInserts    []dispatch.CacheInsert
		crashes         []crash
		counts          map[int64]counts // by usage window
	}

	// nodeEntry is the value of a node's entry in the store, as JSON.
	nodeEntry struct {
		Address       netip.AddrPort
		FailureDomain string
	}
)

// newPeers registers this node in the store and starts to exchange messages with
// the other nodes. listen opens the socket for these.
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
	n.guard.Loop(n.ctx, "receive datagrams", func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			size, from, err := p.conn.ReadFrom(buffer)
			if n.ctx.Err() != nil {
				return
			}
			if err != nil {
				n.logger.Warn("datagram can't be read", "Error", err)
				continue
			}
			n.guard.Run("datagram", func() { p.receive(buffer[:size], from, time.Now()) })
		}
	})
	n.guard.Loop(n.ctx, "send datagrams", func() {
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
	})
	n.guard.Loop(n.ctx, "register", p.register)
	return p, nil
}

// register keeps this node's entry in the store alive and lists the other nodes,
// until the node stops. Its store calls have no timeout of their own. While one of
// them gets no response, the entry can expire; nodes that receive messages from
// this node keep it nevertheless.
func (p *peers) register() {
	n := p.node
	value, err := json.Marshal(nodeEntry{Address: n.settings.Listen.Peer, FailureDomain: n.settings.FailureDomain})
	if err != nil {
		n.logger.Error("node entry can't be encoded", "Error", err)
		return
	}
	var lease store.LeaseID
	var leaseEra uint64
	for round := 0; n.ctx.Err() == nil; round++ {
		if era := store.CurrentEra(n.store).Era; era != leaseEra { // its ID may be another's now
			lease, leaseEra = 0, era
		}
		if lease != 0 {
			// After another error the renewal may have been applied, so the lease is
			// kept until the next round.
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
				n.logger.Warn("node not registered in store", "Error", err)
				lease = 0
			}
		}
		if entries, _, err := n.store.Range(n.ctx, nodeKeyPrefix, true); err != nil {
			n.logger.Warn("nodes in store not listed", "Error", err)
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

// updateNodes adds the listed nodes, removes silent ones that aren't listed, and
// sets the number of nodes that share the retry budget.
func (p *peers) updateNodes(entries []store.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		var node nodeEntry
		if err := json.Unmarshal(entry.Value, &node); err != nil {
			p.node.logger.Warn("node entry in store can't be decoded", "Key", entry.Key, "Error", err)
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
	p.node.setQuotaNodes(len(listed) + 1)
}

// trimCounts drops the counts of windows that are too old to be reported. newest
// is the newest known window.
func (p *peerNode) trimCounts(newest int64) {
	for window := range p.counts {
		if window < newest-keptWindows {
			delete(p.counts, window)
		}
	}
}

// medianOffset returns the median offset of the nodes' wall clocks from this
// node's, including this node's own of 0. A single clock that jumped doesn't
// affect it much.
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

// medianNow returns the median of the nodes' wall clocks. All nodes use it to
// assign requests to usage windows, so that a wrong clock doesn't move usage to
// another window.
func (n *Node) medianNow() time.Time {
	now := time.Now()
	return now.Add(n.peers.medianOffset(now))
}
