package entry

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
)

const (
	// learnEvery is the time between attempts of a new node to learn what engines
	// keep. Messages of other nodes come several times within it.
	bootstrapInterval = 300 * time.Millisecond
	// learnLimit is the number of attempts after which a node goes on with what it
	// has heard by then, and listAfter the number from which it asks the engines.
	bootstrapAttempts = 20
	engineListAttempt = 2
	// keptTimeout bounds a question to a node or an engine.
	cacheListTimeout = 500 * time.Millisecond
	// keptCalls is the number of engines that are asked at a time.
	maxCacheListCalls = 4
)

type (
	// CacheContentsRequest asks what engines keep.
	CacheContentsRequest struct{}

	// CacheContentsReply has what a node knows of it.
	CacheContentsReply struct {
		Known   bool                     `cbor:"1,keyasint,omitzero"` // the node has learnt it
		Engines []dispatch.CacheContents `cbor:"2,keyasint,omitzero"`
	}
)

// Kept answers what engines keep.
func (r *receiver) Kept(_ CacheContentsRequest, reply *CacheContentsReply) (err error) {
	if reply.Known = r.node.cachesKnown.Load(); reply.Known {
		reply.Engines = r.node.dispatcher.CacheContents()
	}
	return nil
}

// learnKept learns what engines keep after the start, from another node of the
// failure domain. Where all of them have just started, the reader asks the
// engines of the domain and tells the others.
func (n *Node) bootstrapCaches() {
	go func() {
		defer n.cachesKnown.Store(true)
		for attempt := range bootstrapAttempts {
			n.sleep(bootstrapInterval)
			if n.ctx.Err() != nil {
				return
			}
			if n.table.Load() == nil || !n.upstreamsListed.Load() {
				continue
			}
			for _, address := range n.peers.localAddresses(time.Now()) {
				if n.fetchCacheContents(address) {
					return
				}
			}
			if attempt >= engineListAttempt && n.isStoreReader() {
				n.listCacheContents()
				return
			}
		}
		n.logger.Info("kept parts not learnt")
	}()
}

func (n *Node) fetchCacheContents(address netip.AddrPort) (ok bool) {
	ctx, cancel := context.WithTimeout(n.ctx, cacheListTimeout)
	defer cancel()
	var reply CacheContentsReply
	if err := n.peerPool.Call(ctx, address, "Entry.Kept", CacheContentsRequest{}, &reply); err != nil {
		n.logger.Debug("node not asked what engines keep", "Address", address, "Error", err)
		return false
	}
	if reply.Known {
		n.dispatcher.MergeCacheContents(reply.Engines)
		n.logger.Info("kept parts learnt", "From", address, "Engines", len(reply.Engines))
	}
	return reply.Known
}

// listKept asks the engines of the failure domain.
func (n *Node) listCacheContents() {
	var group errgroup.Group
	group.SetLimit(maxCacheListCalls)
	for _, engine := range n.localEngines() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(n.ctx, cacheListTimeout)
			defer cancel()
			parts, err := n.engineClient.CachedParts(ctx, engine)
			if err != nil {
				// Its parts count as not kept until they are used again.
				n.logger.Warn("engine not asked what it keeps", "Upstream", engine.ID, "Error", err)
				return nil
			}
			n.dispatcher.PublishCacheContents(dispatch.CacheContents{Upstream: engine.ID, Parts: parts}, time.Now())
			n.logger.Info("kept parts listed", "Upstream", engine.ID, "Parts", len(parts))
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
}

// enginesHere returns the engines of the node's failure domain.
func (n *Node) localEngines() (engines []discovery.Upstream) {
	models := map[string]bool{}
	for _, service := range n.table.Load().Services {
		models[service.Name] = service.Engine != nil
	}
	for _, u := range n.upstreams.View(time.Now()) {
		if u.FailureDomain == n.settings.FailureDomain && models[u.Service] && !u.Draining {
			engines = append(engines, u)
		}
	}
	return engines
}

// near returns the addresses of the other nodes of the failure domain that were
// heard lately.
func (p *peers) localAddresses(now time.Time) (addresses []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byName {
		if other.domain == p.node.settings.FailureDomain && now.Sub(other.lastSeen) < readerTTL {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}
