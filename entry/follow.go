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
	followEvery = 300 * time.Millisecond
	// followTimeout bounds a question to another node of the domain.
	followTimeout = 400 * time.Millisecond
	// followLimit is the age of what is known at which a node reads the store
	// itself.
	followLimit = 1300 * time.Millisecond
	// readerLife is how long a silent node counts as the reader, and readerAge the
	// age of its configuration above which it doesn't.
	readerLife = time.Second
	readerAge  = 2 * time.Second
	// lateUsage is how long after writing a window its counts are written again if
	// more come.
	lateUsage = 10 * time.Second
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
	n.knownMu.Lock()
	defer n.knownMu.Unlock()
	reply.ConfigAge, reply.ConfigRevision = n.age(), n.configEntry.Version
	if n.configEntry.Version > request.Config {
		reply.Config = n.configEntry.Value
	}
	reply.UpstreamsAge, reply.Revision = n.clock()-n.upstreamsAt, n.upstreamsRevision
	if n.upstreamsRevision > request.Upstreams {
		reply.Upstreams, reply.UpstreamsListed = n.roster.Snapshot(time.Now()), true
	}
	return nil
}

// Account takes the counts of another node.
func (r *receiver) Account(request AccountRequest, _ *struct{}) (err error) {
	r.node.peers.account(request)
	return nil
}

// listenPeers serves calls of other nodes.
func (n *Node) listenPeers() (err error) {
	listener, err := n.network.Listen(n.ctx, n.settings.Listen.Peer)
	if err != nil {
		return err
	}
	server := peer.NewServer(n.ctx, listener, peer.Options{Metrics: n.Metrics})
	n.peerCalls = peer.NewPool(n.ctx, n.network, peer.Control, peer.Options{Metrics: n.Metrics})
	return server.Register("Entry", &receiver{node: n})
}

// isReader reports whether this node reads the store for its failure domain.
func (n *Node) isReader() (ok bool) {
	_, other := n.peers.reader(time.Now())
	return !other
}

// follow asks the reader of the failure domain, or any node if this one can't
// read the store, for what is new. It reports whether the answer is recent.
func (n *Node) follow(address netip.AddrPort) (recent bool) {
	n.knownMu.Lock()
	request := FollowRequest{Config: n.configEntry.Version, Upstreams: n.upstreamsRevision}
	n.knownMu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
	defer cancel()
	asked := n.clock()
	var reply FollowReply
	if err := n.peerCalls.Call(ctx, address, "Entry.Follow", request, &reply); err != nil {
		n.logger.Debug("reader not asked", "Reader", address, "Error", err)
		return false
	}
	n.followedAt.Store(int64(asked))
	if len(reply.Config) > 0 {
		n.apply(store.Entry{Key: platform.ConfigKey, Value: reply.Config, Version: reply.ConfigRevision})
	}
	n.knownMu.Lock()
	same := n.configEntry.Version == reply.ConfigRevision && reply.ConfigRevision > 0
	if reply.UpstreamsListed && reply.Revision > n.upstreamsRevision {
		n.roster.Restore(reply.Upstreams, time.Now())
		n.upstreamsRevision = reply.Revision
		n.listed.Store(true)
	}
	if at := asked - reply.UpstreamsAge; n.upstreamsRevision >= reply.Revision && at > n.upstreamsAt {
		n.upstreamsAt = at
	}
	n.knownMu.Unlock()
	if same {
		n.confirm(asked - reply.ConfigAge)
	}
	if reply.UpstreamsListed {
		n.syncUpstreams()
	}
	return same && n.age() < followLimit
}

// followReader keeps a node that isn't a reader up to date. It also helps one
// that can't read the store.
func (n *Node) followReader() {
	go func() {
		for n.ctx.Err() == nil {
			now := time.Now()
			if address, other := n.peers.reader(now); other {
				n.follow(address)
			} else if n.age() > followLimit {
				// The store doesn't answer this node; another may know.
				if address, ok := n.peers.any(now); ok {
					n.follow(address)
				}
			}
			select {
			case <-time.After(followEvery):
			case <-n.ctx.Done():
			}
		}
	}()
}

// reader returns the address of the node that reads the store for this failure
// domain, and false if this node does. It is the first by name of those whose
// configuration is recent and whose calls to the store don't fail.
func (p *peers) reader(now time.Time) (address netip.AddrPort, other bool) {
	own := p.node.settings.Name
	if p.node.storeFailing.Load() || p.node.age() > readerAge || p.node.stopping.Load() {
		own = "" // any other that is recent goes first
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	first := ""
	for name, peer := range p.known {
		if peer.domain != p.node.settings.FailureDomain || now.Sub(peer.heard) > readerLife || peer.failing || peer.age > readerAge {
			continue
		}
		if (own == "" || name < own) && (first == "" || name < first) {
			first, address = name, peer.address
		}
	}
	return address, first != ""
}

// any returns a node that heard of the store lately, of another failure domain
// if there is none in this one.
func (p *peers) any(now time.Time) (address netip.AddrPort, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.known {
		if now.Sub(peer.heard) < peerLife && !peer.failing && peer.age < readerAge {
			address, ok = peer.address, true
			if peer.domain == p.node.settings.FailureDomain {
				break
			}
		}
	}
	return address, ok
}

// account takes the counts that another node handed over.
func (p *peers) account(request AccountRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[request.Node]
	if known == nil {
		known = &peerNode{}
		p.known[request.Node] = known
	}
	if known.counts == nil {
		known.counts = map[int64]counts{}
	}
	window := request.Window
	known.counts[window] = larger(known.counts[window], request.Counts)
	known.trim(window)
	if request.Write || time.Since(p.wrote[window]) < lateUsage {
		p.late[window] = true
	}
}

// takeLate returns the windows whose counts grew after they were written.
func (p *peers) takeLate() (windows []int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for window := range p.late {
		windows = append(windows, window)
	}
	clear(p.late)
	return windows
}

func (p *peers) keepLate(window int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late[window] = true
}

// notedWritten notes that a window's counts were written to the store.
func (p *peers) notedWritten(window int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wrote[window] = time.Now()
	for old := range p.wrote {
		if old < window-windowsKept {
			delete(p.wrote, old)
		}
	}
}
