package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/store"
)

const (
	// followEvery is the time between questions to the reader of the failure
	// domain. A leaving upstream and a new configuration are known to all nodes of
	// the domain within it.
	followInterval = 300 * time.Millisecond
	// followTimeout bounds a question to another node of the domain.
	followTimeout = 400 * time.Millisecond
	// followLimit is the age of what is known at which a node reads the store
	// itself.
	followStaleAge = 1300 * time.Millisecond
	// readerLife is how long a silent node counts as the reader, and readerAge the
	// age of its configuration above which it doesn't.
	readerTTL          = time.Second
	readerMaxConfigAge = 2 * time.Second
	// lateUsage is how long after writing a window its counts are written again if
	// more come.
	usageRewritePeriod = 10 * time.Second
)

type (
	// FollowRequest says what a node knows, as revisions of the store.
	FollowRequest struct {
		Config    uint64 `cbor:"1,keyasint,omitzero"`
		Upstreams uint64 `cbor:"2,keyasint,omitzero"`
	}

	// FollowReply has what the node doesn't know, and how old the knowledge is.
	FollowReply struct {
		ConfigAge       time.Duration             `cbor:"1,keyasint,omitzero"` // since the store confirmed it
		ConfigRevision  uint64                    `cbor:"2,keyasint,omitzero"`
		Config          []byte                    `cbor:"3,keyasint,omitzero"` // empty: the same as asked with
		UpstreamsAge    time.Duration             `cbor:"4,keyasint,omitzero"`
		Revision        uint64                    `cbor:"5,keyasint,omitzero"`
		Upstreams       []discovery.SnapshotEntry `cbor:"6,keyasint,omitzero"`
		UpstreamsListed bool                      `cbor:"7,keyasint,omitzero"` // Upstreams hold the upstream set at Revision
	}

	// AccountRequest hands a node's counts of an ended window to the reader.
	AccountRequest struct {
		Node   string           `cbor:"1,keyasint,omitzero"`
		Window int64            `cbor:"2,keyasint,omitzero"`
		Counts map[string]int64 `cbor:"3,keyasint,omitzero"`
		// Write asks for the counts to be written to the store at once.
		Write bool `cbor:"4,keyasint,omitzero"`
	}

	// receiver answers other nodes.
	receiver struct{ node *Node }
)

// Follow answers what this node knows of the store.
func (r *receiver) Follow(request FollowRequest, reply *FollowReply) (err error) {
	n := r.node
	n.storeStateMu.Lock()
	defer n.storeStateMu.Unlock()
	reply.ConfigAge, reply.ConfigRevision = n.configAge(), n.configEntry.Version
	if n.configEntry.Version > request.Config {
		reply.Config = n.configEntry.Value
	}
	reply.UpstreamsAge, reply.Revision = n.clock()-n.upstreamsConfirmedAt, n.upstreamsRevision
	if n.upstreamsRevision > request.Upstreams {
		reply.Upstreams, reply.UpstreamsListed = n.upstreams.Snapshot(time.Now()), true
	}
	return nil
}

// Account takes the counts of another node.
func (r *receiver) Account(request AccountRequest, _ *struct{}) (err error) {
	r.node.peers.mergeCounts(request)
	return nil
}

// listenPeers serves calls of other nodes.
func (n *Node) listenPeers() (err error) {
	listener, err := n.network.Listen(n.ctx, n.settings.Listen.Peer)
	if err != nil {
		return err
	}
	server := peer.NewServer(n.ctx, listener, peer.Options{Metrics: n.Metrics})
	n.peerPool = peer.NewPool(n.ctx, n.network, peer.Control, peer.Options{Metrics: n.Metrics})
	return server.Register("Entry", &receiver{node: n})
}

// isReader reports whether this node reads the store for its failure domain.
func (n *Node) isStoreReader() (ok bool) {
	_, other := n.peers.storeReader(time.Now())
	return !other
}

// follow asks the reader of the failure domain, or any node if this one can't
// read the store, for what is new. It reports whether the answer is recent.
func (n *Node) follow(address netip.AddrPort) (recent bool) {
	n.storeStateMu.Lock()
	request := FollowRequest{Config: n.configEntry.Version, Upstreams: n.upstreamsRevision}
	n.storeStateMu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
	defer cancel()
	askedAt := n.clock()
	var reply FollowReply
	if err := n.peerPool.Call(ctx, address, "Entry.Follow", request, &reply); err != nil {
		n.logger.Debug("reader not asked", "Reader", address, "Error", err)
		return false
	}
	n.lastFollowed.Store(int64(askedAt))
	if len(reply.Config) > 0 {
		n.applyConfig(store.Entry{Key: platform.ConfigKey, Value: reply.Config, Version: reply.ConfigRevision})
	}
	n.storeStateMu.Lock()
	sameConfig := n.configEntry.Version == reply.ConfigRevision && reply.ConfigRevision > 0
	if reply.UpstreamsListed && reply.Revision > n.upstreamsRevision {
		n.upstreams.Restore(reply.Upstreams, time.Now())
		n.upstreamsRevision = reply.Revision
		n.upstreamsListed.Store(true)
	}
	if at := askedAt - reply.UpstreamsAge; n.upstreamsRevision >= reply.Revision && at > n.upstreamsConfirmedAt {
		n.upstreamsConfirmedAt = at
	}
	n.storeStateMu.Unlock()
	if sameConfig {
		n.confirmConfig(askedAt - reply.ConfigAge)
	}
	if reply.UpstreamsListed {
		n.syncDispatcher()
	}
	return sameConfig && n.configAge() < followStaleAge
}

// followReader keeps a node that isn't a reader up to date. It also helps one
// that can't read the store.
func (n *Node) followStoreReader() {
	go func() {
		for n.ctx.Err() == nil {
			now := time.Now()
			if address, other := n.peers.storeReader(now); other {
				n.follow(address)
			} else if n.configAge() > followStaleAge {
				// The store doesn't answer this node; another may know.
				if address, ok := n.peers.anyHealthy(now); ok {
					n.follow(address)
				}
			}
			select {
			case <-time.After(followInterval):
			case <-n.ctx.Done():
			}
		}
	}()
}

// reader returns the address of the node that reads the store for this failure
// domain, and false if this node does. It is the first by name of those whose
// configuration is recent and whose calls to the store don't fail.
func (p *peers) storeReader(now time.Time) (address netip.AddrPort, other bool) {
	own := p.node.settings.Name
	if p.node.storeFailing.Load() || p.node.configAge() > readerMaxConfigAge || p.node.stopping.Load() {
		own = "" // any other that is recent goes first
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

// any returns a node that heard of the store lately, of another failure domain
// if there is none in this one.
func (p *peers) anyHealthy(now time.Time) (address netip.AddrPort, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.byName {
		if now.Sub(peer.lastSeen) < peerTTL && !peer.cannotReadStore && peer.configAge < readerMaxConfigAge {
			address, ok = peer.address, true
			if peer.domain == p.node.settings.FailureDomain {
				break
			}
		}
	}
	return address, ok
}

// account takes the counts that another node handed over.
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

// takeLate returns the windows whose counts grew after they were written.
func (p *peers) popLateWindows() (windows []int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for window := range p.lateWindows {
		windows = append(windows, window)
	}
	clear(p.lateWindows)
	return windows
}

func (p *peers) markLate(window int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateWindows[window] = true
}

// notedWritten notes that a window's counts were written to the store.
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
