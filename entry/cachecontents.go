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
	// bootstrapInterval is the time between attempts of a new node to fetch the
	// cache contents of engines. Each other node sends several messages within it,
	// so that its address becomes known.
	bootstrapInterval = 300 * time.Millisecond
	// bootstrapAttempts is the number of attempts after which a node stops trying
	// to fetch cache contents. engineListAttempt is the first attempt, counted from
	// 0, at which a store reader asks the engines if no other node responds with
	// cache contents.
	bootstrapAttempts = 20
	engineListAttempt = 2
	// cacheListTimeout bounds a call to a node or an engine for cache contents.
	cacheListTimeout = 500 * time.Millisecond
	// maxCacheListCalls is the number of concurrent calls to engines.
	maxCacheListCalls = 4
)

type (
	// CacheContentsRequest asks a node for the cache contents of engines.
	CacheContentsRequest struct{}

	// CacheContentsReply holds the cache contents of engines as a node knows them.
	CacheContentsReply struct {
		Known   bool                     `cbor:"1,keyasint,omitzero"` // the called node has finished its own bootstrap
		Engines []dispatch.CacheContents `cbor:"2,keyasint,omitzero"`
	}
)

// Kept returns the cache contents of engines as this node knows them.
func (r *rpcHandler) Kept(_ CacheContentsRequest, reply *CacheContentsReply) (err error) {
	defer r.node.guard.Recover("Entry.Kept", func() { err = errCallPanicked })
	if reply.Known = r.node.cachesKnown.Load(); reply.Known {
		reply.Engines = r.node.dispatcher.CacheContents()
	}
	return nil
}

// bootstrapCaches fetches the cache contents of engines after the start, from
// another node of the failure domain. If no other node has them, because all
// nodes of the domain have just started, the store reader asks the engines of the
// domain and passes the results on to the other nodes.
func (n *Node) bootstrapCaches() {
	n.guard.Go("bootstrap caches", func() {
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
		n.logger.Info("cache contents of engines not fetched")
	})
}

// fetchCacheContents fetches the cache contents of engines from the node at
// address. It reports whether that node has them.
func (n *Node) fetchCacheContents(address netip.AddrPort) (ok bool) {
	ctx, cancel := context.WithTimeout(n.ctx, cacheListTimeout)
	defer cancel()
	var reply CacheContentsReply
	if err := n.peerPool.Call(ctx, address, "Entry.Kept", CacheContentsRequest{}, &reply); err != nil {
		n.logger.Debug("call to node for cache contents failed", "Address", address, "Error", err)
		return false
	}
	if reply.Known {
		n.dispatcher.MergeCacheContents(reply.Engines)
		n.logger.Info("cache contents of engines fetched", "From", address, "Engines", len(reply.Engines))
	}
	return reply.Known
}

// listCacheContents asks the engines of the failure domain for their cache
// contents.
func (n *Node) listCacheContents() {
	var group errgroup.Group
	group.SetLimit(maxCacheListCalls)
	for _, engine := range n.localEngines() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(n.ctx, cacheListTimeout)
			defer cancel()
			parts, err := n.engineClient.CachedParts(ctx, engine)
			if err != nil {
				// Its parts count as not cached until they are used again.
				n.logger.Warn("call to engine for cache contents failed", "Upstream", engine.ID, "Error", err)
				return nil
			}
			n.dispatcher.PublishCacheContents(dispatch.CacheContents{Upstream: engine.ID, Parts: parts}, time.Now())
			n.logger.Info("cache contents of engine listed", "Upstream", engine.ID, "Parts", len(parts))
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
}

// localEngines returns the engines of the node's failure domain that neither leave
// nor asked for a pause.
func (n *Node) localEngines() (engines []discovery.Upstream) {
	hasEngine := map[string]bool{}
	for _, service := range n.table.Load().Services {
		hasEngine[service.Name] = service.Engine != nil
	}
	now := time.Now()
	for _, u := range n.upstreams.View(now) {
		condition, _ := n.dispatcher.Condition(u.ID, now)
		if u.FailureDomain == n.settings.FailureDomain && hasEngine[u.Service] && condition < dispatch.Paused {
			engines = append(engines, u)
		}
	}
	return engines
}

// localAddresses returns the addresses of the other nodes of the failure domain
// that sent a message within readerTTL.
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
