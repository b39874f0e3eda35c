package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/store"
)

const (
	// followInterval is the time between calls to the store reader of the failure
	// domain. It bounds the delay with which the other nodes of the domain receive
	// a new configuration or a change of the upstreams from the reader.
	followInterval = 300 * time.Millisecond
	// followTimeout bounds an Entry.Follow or Entry.Account call.
	followTimeout = 400 * time.Millisecond
	// peerSilenceLimit is how long a connection to another node may be silent when a
	// call times out. It is shorter than the timeout, a part of which is spent on
	// opening a connection.
	peerSilenceLimit = followTimeout / 2
	// followStaleAge is the age of the configuration at which a node reads the store
	// itself. It exceeds the age that a follower's configuration has while its reader
	// works: up to compareInterval and an eighth of it, followInterval and the way of
	// both calls. With a lower value, followers poll the store beside their reader. A
	// higher one delays updates after the reader failed.
	followStaleAge = 1900 * time.Millisecond
	// readerSilence is the time since the last successful call to the store reader
	// after which a node lists the upstreams itself.
	readerSilence = 1300 * time.Millisecond
	// readerTTL is how long after its last message a node may still be the store
	// reader, and so how long its domain follows a reader that failed. It is shorter
	// than peerTTL, which decides whether a node counts as alive. A node with a
	// configuration older than readerMaxConfigAge can't be the reader.
	readerTTL          = time.Second
	readerMaxConfigAge = 2 * time.Second
	// joinPeriod is how long after its start a node may not know the other nodes of
	// its domain yet, so that it takes itself for the store reader. In it, a node
	// reads the configuration and the upstreams once, which makes it ready, and
	// leaves all else to nodes that have run for longer. A fleet that starts at once
	// would otherwise send the store several calls a node more.
	joinPeriod = 1500 * time.Millisecond
	// usageRewritePeriod is how long after this node wrote the counts of a usage
	// window it writes them again when another node's counts arrive late.
	usageRewritePeriod = 10 * time.Second
	// peerConnections bounds the connections from other nodes. A fleet of 300 nodes
	// needs 300, and twice as many while nodes connect again before their former
	// connections have ended.
	peerConnections = 640
	// peerMessageBytes bounds a call of another node. The largest, Entry.Account, has
	// the counts of all workspaces, of at most 80 bytes each.
	peerMessageBytes = 64 << 10
	// peerBufferedBytes bounds the memory for calls that are being received, beyond 16
	// KiB for each connection.
	peerBufferedBytes = 4 << 20
	// errCallPanicked is the result of a call of another node whose method panicked.
	// net/rpc would end the process.
	errCallPanicked = errors.ConstError("method panicked")
)

type (
	// FollowRequest holds the store revisions of the configuration and the upstreams
	// that the calling node has.
	FollowRequest struct {
		ConfigRevision    uint64 `cbor:"1,keyasint,omitzero"` // 0: none
		UpstreamsRevision uint64 `cbor:"2,keyasint,omitzero"` // 0: none
		// InlineBytes is the size up to which the reply may hold a configuration. Nodes
		// without Entry.Config send 0, which is no limit.
		InlineBytes int `cbor:"3,keyasint,omitzero"`
		// ConfigVersion is the operator's. The revisions are tokens of the positions.
		ConfigVersion uint64 `cbor:"4,keyasint,omitzero"`
		// StoreEra is that of the store, as the calling node knows it.
		StoreEra uint64 `cbor:"5,keyasint,omitzero"`
	}

	// FollowReply holds what is newer than the request's revisions, and how long
	// ago what the called node has was last known to be the newest.
	FollowReply struct {
		ConfigAge         time.Duration             `cbor:"1,keyasint,omitzero"`
		ConfigRevision    uint64                    `cbor:"2,keyasint,omitzero"`
		Config            []byte                    `cbor:"3,keyasint,omitzero"` // empty if the calling node has this revision or a newer one, or if it is larger than InlineBytes
		UpstreamsAge      time.Duration             `cbor:"4,keyasint,omitzero"`
		UpstreamsRevision uint64                    `cbor:"5,keyasint,omitzero"`
		Upstreams         []discovery.SnapshotEntry `cbor:"6,keyasint,omitzero"`
		UpstreamsSent     bool                      `cbor:"7,keyasint,omitzero"` // Upstreams holds the set, which may be empty
		ConfigVersion     uint64                    `cbor:"8,keyasint,omitzero"`
		// StoreAge is how long ago the store last answered about the configuration. Nodes
		// without it send 0; ConfigAge is the same then.
		StoreAge time.Duration `cbor:"9,keyasint,omitzero"`
		// Departed holds the upstreams that were draining or removed, for a node that starts
		// in a later era of the store.
		Departed []discovery.Departed `cbor:"10,keyasint,omitzero"`
	}

	// AccountRequest passes a node's counts of a usage window to a node that
	// writes them to the store.
	AccountRequest struct {
		Node   string           `cbor:"1,keyasint,omitzero"`
		Window int64            `cbor:"2,keyasint,omitzero"`
		Counts map[string]int64 `cbor:"3,keyasint,omitzero"`
		// Write asks the called node to write the window now. Otherwise it writes the
		// window at the usual time, or again if it did so a short time ago.
		Write bool `cbor:"4,keyasint,omitzero"`
	}

	// rpcHandler implements the RPC methods that other nodes call: Entry.Follow,
	// Entry.Config, Entry.Account and Entry.Kept.
	rpcHandler struct{ node *Node }
)

// Follow returns this node's configuration and upstreams where they are newer
// than the calling node's.
func (r *rpcHandler) Follow(request FollowRequest, reply *FollowReply) (err error) {
	defer r.node.guard.Recover("Entry.Follow", func() { err = errCallPanicked })
	n := r.node
	n.storeStateMu.Lock()
	defer n.storeStateMu.Unlock()
	reply.ConfigAge, reply.StoreAge, reply.ConfigVersion = n.configAge(), n.storeAge(), n.configVersion
	if reply.ConfigRevision, err = n.configEntry.Position().Token(); err != nil {
		return err
	}
	asked := routing.Edition{Version: request.ConfigVersion, Position: store.PositionOf(request.ConfigRevision)}
	if offersContent(n.edition(), asked) && (request.InlineBytes == 0 || len(n.configEntry.Value) <= request.InlineBytes) {
		reply.Config = n.configEntry.Value
	}
	reply.UpstreamsAge = n.clock() - n.upstreamsConfirmedAt
	if reply.UpstreamsRevision, err = n.upstreamsAt.Token(); err != nil {
		return err
	}
	if reply.UpstreamsRevision > request.UpstreamsRevision {
		reply.Upstreams, reply.UpstreamsSent = n.upstreams.Snapshot(time.Now()), true
	}
	if request.StoreEra > 0 && request.UpstreamsRevision == 0 {
		reply.Departed = n.upstreams.Departed(time.Now())
	}
	return nil
}

// offersContent reports whether an edition of the configuration replaces another one with
// other content.
func offersContent(offered, held routing.Edition) (ok bool) {
	return offered.Replaces(held) && (offered.Position.Era == held.Position.Era || offered.Version != held.Version)
}

// Account merges the usage counts of another node.
func (r *rpcHandler) Account(request AccountRequest, _ *struct{}) (err error) {
	defer r.node.guard.Recover("Entry.Account", func() { err = errCallPanicked })
	r.node.peers.mergeCounts(request)
	return nil
}

// listenPeers serves the RPCs of other nodes.
func (n *Node) listenPeers() (err error) {
	listener, err := n.network.Listen(n.ctx, n.settings.Listen.Peer)
	if err != nil {
		return err
	}
	server := peer.NewServer(n.ctx, listener, peer.Options{
		Metrics: n.Metrics, Connections: peerConnections, MessageBytes: peerMessageBytes, BufferedBytes: peerBufferedBytes,
		Logger: n.logger, Closed: n.countClosed("peer listener"),
	})
	n.peerPool = peer.NewPool(n.ctx, n.network, peer.Control, peer.Options{Metrics: n.Metrics, SilenceLimit: peerSilenceLimit})
	return server.Register("Entry", &rpcHandler{node: n})
}

// isStoreReader reports whether this node reads the store for its failure domain.
// If no node qualifies as the reader, every node acts as one.
func (n *Node) isStoreReader() (ok bool) {
	_, other := n.peers.storeReader(time.Now())
	return !other
}

// awaitJoined waits until joinPeriod after the start of the node.
func (n *Node) awaitJoined() { n.sleep(joinPeriod - (n.clock() - n.startedAt)) }

// follow calls the node at address and applies the configuration and upstreams
// that it returns. It reports whether the node answered.
func (n *Node) follow(address netip.AddrPort) (answered bool) {
	n.storeStateMu.Lock()
	held := n.edition()
	upstreamsAt := n.upstreamsAt
	n.storeStateMu.Unlock()
	request := FollowRequest{InlineBytes: inlineConfigBytes, ConfigVersion: held.Version, StoreEra: store.CurrentEra(n.store).Era}
	var err error
	if request.ConfigRevision, err = held.Position.Token(); err == nil {
		request.UpstreamsRevision, err = upstreamsAt.Token()
	}
	if err != nil {
		n.logger.Error("position in the store can't be sent to the store reader", "Error", err)
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
	defer cancel()
	askedAt := n.clock()
	var reply FollowReply
	if err := n.peerPool.Call(ctx, address, "Entry.Follow", request, &reply); err != nil {
		n.count("follow_calls", "Failed")
		n.logger.Debug("call to store reader failed", "Reader", address, "Took", n.clock()-askedAt, "Error", err)
		return false
	}
	n.lastFollowed.Store(int64(askedAt))
	if len(reply.Config) > 0 {
		n.applyConfig(configEntryAt(reply.ConfigRevision, reply.Config), address.String(), n.clock()-askedAt)
	}
	offered := routing.Edition{Version: reply.ConfigVersion, Position: store.PositionOf(reply.ConfigRevision)}
	if offersContent(offered, held) && len(reply.Config) == 0 {
		n.startConfigTransfer(address, reply.ConfigRevision, askedAt-reply.ConfigAge)
	}
	n.storeStateMu.Lock()
	if offered.Replaces(n.edition()) && !offersContent(offered, n.edition()) {
		n.configEntry.Era, n.configEntry.Version = offered.Position.Era, offered.Position.Revision
	}
	sameConfig := n.configEntry.Position() == offered.Position && reply.ConfigRevision > 0 && !n.heardConfig.Replaces(n.edition())
	n.upstreams.AddDeparted(reply.Departed, time.Now())
	offeredAt := store.PositionOf(reply.UpstreamsRevision)
	if reply.UpstreamsSent && offeredAt.Compare(n.upstreamsAt) > 0 {
		n.beginUpstreamsEra(offeredAt)
		n.upstreams.Restore(reply.Upstreams, time.Now())
		n.upstreamsAt = offeredAt
		n.upstreamsListed.Store(true)
	}
	// The reply confirms this node's upstreams only if they aren't older than the
	// called node's.
	if at := askedAt - reply.UpstreamsAge; n.upstreamsAt.Compare(offeredAt) >= 0 && at > n.upstreamsConfirmedAt {
		n.upstreamsConfirmedAt = at
	}
	n.storeStateMu.Unlock()
	if sameConfig {
		n.confirmConfig(askedAt - reply.ConfigAge)
	}
	if reply.StoreAge > 0 {
		advanceReading(&n.storeSeenAt, askedAt-reply.StoreAge)
	}
	if reply.UpstreamsSent {
		n.syncDispatcher()
	}
	return true
}

// followStoreReader keeps this node up to date from the store reader of its
// failure domain. If no other node of the domain qualifies as the reader and this
// node's configuration is stale, it follows any node that can read the store, even
// of another domain.
func (n *Node) followStoreReader() {
	n.guard.Loop(n.ctx, "follow store reader", func() {
		answered := true
		for n.ctx.Err() == nil {
			now := time.Now()
			if address, other := n.peers.storeReader(now); other {
				again := answered
				if answered = n.follow(address); !answered && again {
					// The connection may have gone silent. The next call opens another one.
					continue
				}
			} else if n.storeAge() > followStaleAge {
				// This node can't reach the store, but another one may.
				if address, ok := n.peers.anyHealthy(now); ok {
					n.follow(address)
				}
			}
			select {
			case <-time.After(followInterval):
			case <-n.ctx.Done():
			}
		}
	})
}

// storeReader returns the address of the node that reads the store for this
// failure domain, and false if that is this node. The reader is the first by name
// of the nodes whose configuration is recent, whose store calls succeed and which
// aren't stopping.
func (p *peers) storeReader(now time.Time) (address netip.AddrPort, other bool) {
	own := p.node.settings.Name
	if p.node.storeFailing() || p.node.storeAge() > readerMaxConfigAge || p.node.stopping.Load() {
		own = "" // this node is the reader only if no other qualifies
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	firstName := ""
	for name, peer := range p.byName {
		if peer.domain != p.node.settings.FailureDomain || now.Sub(peer.lastSeen) > readerTTL || peer.cannotReadStore || peer.configAge > readerMaxConfigAge {
			continue
		}
		if (own == "" || name < own) && (firstName == "" || name < firstName) {
			firstName, address = name, peer.address
		}
	}
	return address, firstName != ""
}

// anyHealthy returns the address of a node that can read the store and whose
// configuration is recent. It prefers nodes of this failure domain.
func (p *peers) anyHealthy(now time.Time) (address netip.AddrPort, ok bool) {
	if addresses := p.healthy(now); len(addresses) > 0 {
		return addresses[0], true
	}
	return netip.AddrPort{}, false
}

// healthy returns the addresses of all such nodes, those of this failure domain first.
func (p *peers) healthy(now time.Time) (addresses []netip.AddrPort) {
	var remote []netip.AddrPort
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.byName {
		switch {
		case now.Sub(peer.lastSeen) >= peerTTL || peer.cannotReadStore || peer.configAge >= readerMaxConfigAge:
		case peer.domain == p.node.settings.FailureDomain:
			addresses = append(addresses, peer.address)
		default:
			remote = append(remote, peer.address)
		}
	}
	return append(addresses, remote...)
}

// mergeCounts merges the counts that another node sent. If the sender asks for it,
// or if this node wrote the window recently, it marks the window as late, so that
// writeUsageLoop writes it again.
func (p *peers) mergeCounts(request AccountRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sender := p.byName[request.Node]
	if sender == nil {
		sender = &peerNode{}
		p.byName[request.Node] = sender
	}
	if sender.counts == nil {
		sender.counts = map[int64]counts{}
	}
	window := request.Window
	sender.counts[window] = maxCounts(sender.counts[window], request.Counts)
	sender.trimCounts(window)
	if request.Write || time.Since(p.writtenAt[window]) < usageRewritePeriod {
		p.lateWindows[window] = true
	}
}

// popLateWindows returns the late windows, and clears their marks.
func (p *peers) popLateWindows() (windows []int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for window := range p.lateWindows {
		windows = append(windows, window)
	}
	clear(p.lateWindows)
	return windows
}

// markLate marks a window as late.
func (p *peers) markLate(window int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateWindows[window] = true
}

// markWritten records that a window's counts were written to the store.
func (p *peers) markWritten(window int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writtenAt[window] = time.Now()
	for old := range p.writtenAt {
		if old < window-keptWindows {
			delete(p.writtenAt, old)
		}
	}
}
