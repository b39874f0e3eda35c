package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/store"
)

const (
	// listTimeout bounds a listing of the upstreams, which can be long and the link
	// slow. A store that doesn't respond is noticed sooner, see platform.Store.
	listTimeout = 30 * time.Second
	// listRetryDelay is the time until the next attempt after a failure, and
	// between checks whether this node must read the store itself.
	listRetryDelay = 300 * time.Millisecond
	// ownListInterval is the time between listings by a node whose store reader
	// doesn't respond.
	ownListInterval = time.Second
	// upstreamWatchWait is the time after which the store ends a watch without events.
	upstreamWatchWait = 800 * time.Millisecond
	// upstreamPollWait is the wait of a watch that only asks for the changes so far.
	upstreamPollWait = time.Millisecond
	// watchBatchDelay is the pause after each watch, so that changes in quick
	// succession share a call.
	watchBatchDelay = 200 * time.Millisecond
	// relistAge is the age of the upstream set above which a new store reader lists
	// the entries before it watches them, and another node stops relying on the
	// reader. It exceeds the age that the set has at the end of the second of two
	// watches, the first of which had an event at its end.
	relistAge = 2500 * time.Millisecond
	// departedAskInterval is the time between attempts to learn from other nodes which
	// upstreams have left, and maxDepartedAsked bounds how many are asked.
	departedAskInterval = 50 * time.Millisecond
	maxDepartedAsked    = 8
	// maxMalformedEntries bounds the memory for entries that were logged as
	// malformed. Beyond it, they are logged again.
	maxMalformedEntries = 1000
)

// followUpstreams keeps the upstream set up to date with the entries in the
// store. The store reader of the failure domain watches them. Another node lists
// them only while the reader doesn't respond or its upstreams are outdated.
func (n *Node) followUpstreams() {
	n.guard.Loop(n.ctx, "follow upstreams", func() {
		for n.ctx.Err() == nil {
			at, age := n.upstreamsState()
			isReader, failing := n.isStoreReader(), n.upstreamsFailing.Load()
			readerAnswers := n.clock()-time.Duration(n.lastFollowed.Load()) < readerSilence
			if !isReader && !failing && age < relistAge && readerAnswers {
				n.sleep(listRetryDelay)
				continue
			}
			var err error
			switch {
			case at == store.Position{} || age > relistAge || !isReader && !failing:
				err = n.listUpstreams()
			case failing:
				err = n.watchUpstreams(upstreamPollWait)
			}
			// A node that becomes the reader continues from the revision that it has,
			// unless its set is too old.
			n.upstreamsFailing.Store(isStoreFailure(err))
			if err == nil && !isReader {
				n.sleep(ownListInterval)
			} else if err == nil {
				n.awaitJoined() // the watch begins at the revision of the listing
			}
			// This node may have become the reader during the sleep.
			for err == nil && n.isStoreReader() {
				if err = n.watchUpstreams(upstreamWatchWait); isStoreFailure(err) {
					err = n.retryWatch(err)
				}
				n.sleep(watchBatchDelay)
			}
			switch {
			case n.ctx.Err() != nil:
				return
			case errors.Is(err, store.ErrCompacted):
				n.logger.Info("watch history compacted; listing upstreams again", "Error", err)
				if err = n.listUpstreams(); err == nil {
					continue
				}
			case err == nil:
				continue
			}
			n.upstreamsFailing.Store(true)
			n.logger.Warn("upstreams not updated from store", "Age", n.clock()-n.upstreamsConfirmed(), "Error", err)
			n.markStoreDown()
			n.sleep(listRetryDelay)
		}
	})
}

// isStoreFailure reports whether an error of a watch or a listing means that the
// store gave no answer.
func isStoreFailure(err error) (ok bool) { return err != nil && !errors.Is(err, store.ErrCompacted) }

// retryWatch asks for the changes again after a watch failed, on a new connection,
// since that of the watch may have gone silent while the store is sound. Until the
// answer, this node doesn't count as a store reader.
func (n *Node) retryWatch(cause error) (err error) {
	n.upstreamsFailing.Store(true)
	age := n.clock() - n.upstreamsConfirmed()
	if err = n.watchUpstreams(upstreamPollWait); isStoreFailure(err) {
		return err
	}
	n.upstreamsFailing.Store(false)
	n.count("upstream_watches", "Retried")
	n.logger.Warn("watch of upstreams failed, and the store answers on a new connection", "Age", age, "Error", cause)
	return err
}

// storeFailing reports whether this node fails to read the configuration or the
// upstreams from the store.
func (n *Node) storeFailing() (ok bool) { return n.configFailing.Load() || n.upstreamsFailing.Load() }

// markStoreDown records that the store doesn't answer this node, not even on a new
// connection, so that upstreams whose entries are removed because of the outage stay
// usable for upstreamGrace. If another node can read the store, only this one is cut
// off: upstreams can reach the store, and removed entries are gone for good.
func (n *Node) markStoreDown() {
	now := time.Now()
	if address, ok := n.peers.anyHealthy(now); ok {
		n.count("store_outages", "OnlyHere")
		n.logger.Debug("store doesn't answer this node, but another one", "Other", address)
		return
	}
	n.count("store_outages", "Fleet")
	n.upstreams.MarkStoreDown(now)
}

// upstreamsState returns the position in the store of the upstream set, and the time since
// it was last known to be up to date.
func (n *Node) upstreamsState() (at store.Position, age time.Duration) {
	n.storeStateMu.Lock()
	defer n.storeStateMu.Unlock()
	return n.upstreamsAt, n.clock() - n.upstreamsConfirmedAt
}

// upstreamsConfirmed returns the clock reading at which the upstream set was last
// known to be up to date.
func (n *Node) upstreamsConfirmed() (at time.Duration) {
	n.storeStateMu.Lock()
	defer n.storeStateMu.Unlock()
	return n.upstreamsConfirmedAt
}

// confirmUpstreams records that the upstream set reflects the store at a position,
// which was the newest at a clock reading. The caller holds storeStateMu.
func (n *Node) confirmUpstreams(at store.Position, reading time.Duration) {
	if at.Compare(n.upstreamsAt) > 0 {
		n.upstreamsAt = at
	}
	n.upstreamsConfirmedAt = max(n.upstreamsConfirmedAt, reading)
}

// beginUpstreamsEra prepares the upstream set for one at a position, if that is of a later
// era of the store. The caller holds storeStateMu.
func (n *Node) beginUpstreamsEra(at store.Position) {
	if at.Era > n.upstreamsAt.Era && n.upstreamsAt != (store.Position{}) {
		n.upstreams.BeginEra(time.Now())
		n.logger.Warn("upstreams of an earlier era of the store", "Before", n.upstreamsAt, "Position", at, "Departed", len(n.upstreams.Departed(time.Now())))
	}
}

// learnDeparted learns from another node, before the first listing by a node that starts
// in a later era of the store, which upstreams have left: the store may have come back from
// a copy in which they are ready. It reports whether it has the upstreams of another node
// now. It gives up when all that it has heard of start as well, and after joinPeriod, as
// there may be none.
func (n *Node) learnDeparted() (ok bool) {
	answered := map[netip.AddrPort]bool{}
	var settled time.Duration // clock reading at which others have been heard of
	for now := n.clock(); now-n.startedAt < joinPeriod && n.ctx.Err() == nil; now = n.clock() {
		for _, address := range n.peers.healthy(time.Now()) {
			if len(answered) < maxDepartedAsked && !answered[address] && n.follow(address) {
				answered[address] = true
			}
			if at, _ := n.upstreamsState(); at != (store.Position{}) {
				return true
			}
		}
		switch {
		case len(answered) > 0 && settled == 0:
			settled = n.clock() + peerSettleTime
		case settled > 0 && now > settled:
			return false
		}
		n.sleep(departedAskInterval)
	}
	return false
}

// listUpstreams replaces the upstream set by the entries in the store, unless another
// node has brought a newer set meanwhile.
func (n *Node) listUpstreams() (err error) {
	ctx, cancel := context.WithTimeout(n.ctx, listTimeout)
	defer cancel()
	askedAt := n.clock()
	entries, at, err := n.store.Range(ctx, platform.UpstreamPrefix, false)
	if err != nil {
		return err
	}
	if at.Era > 0 && !n.settings.FirstStart && n.learnDeparted() {
		return nil
	}
	var upstreams []discovery.Upstream
	for _, entry := range entries {
		if upstream, ok := n.decodeUpstream(entry); ok {
			upstreams = append(upstreams, upstream)
		}
	}
	n.storeStateMu.Lock()
	if at.Compare(n.upstreamsAt) >= 0 {
		n.beginUpstreamsEra(at)
		n.upstreams.Replace(upstreams, time.Now())
		n.confirmUpstreams(at, askedAt)
	}
	n.storeStateMu.Unlock()
	n.upstreamsListed.Store(true)
	n.syncDispatcher()
	return nil
}

// watchUpstreams waits for changes of the entries after the revision of the upstream
// set and applies them. The store ends a watch without events after wait, and the
// client gives up soon after that. The changes are dropped if another node has brought
// a newer set meanwhile, since they could undo later ones.
func (n *Node) watchUpstreams(wait time.Duration) (err error) {
	after, _ := n.upstreamsState()
	if store.CurrentEra(n.store).Era != after.Era {
		return errors.Annotatef(store.ErrCompacted, "position %s is of an earlier era", after)
	}
	askedAt := n.clock()
	events, revision, err := n.store.Watch(n.ctx, store.WatchRequest{Prefix: platform.UpstreamPrefix, After: after.Revision, Wait: wait})
	if err != nil {
		return err
	}
	if store.CurrentEra(n.store).Era != after.Era { // the revision may have been given out again
		return errors.Annotatef(store.ErrCompacted, "position %s is of an earlier era", after)
	}
	// The response of a watch without events is as of the end of the wait. One with
	// events is as of an unknown time after the request.
	confirmedAt := askedAt
	if len(events) == 0 {
		confirmedAt += wait
	}
	n.storeStateMu.Lock()
	if n.upstreamsAt == after {
		n.applyUpstreamEvents(events)
		n.confirmUpstreams(store.Position{Era: after.Era, Revision: revision}, confirmedAt)
	}
	n.storeStateMu.Unlock()
	if len(events) > 0 {
		n.syncDispatcher()
	}
	return nil
}

// applyUpstreamEvents applies the events of a watch to the upstream set.
func (n *Node) applyUpstreamEvents(events []store.Event) {
	for _, event := range events {
		upstream, ok := discovery.Upstream{}, false
		if !event.Deleted {
			upstream, ok = n.decodeUpstream(event.Entry)
		}
		if ok {
			n.upstreams.Put(upstream, time.Now())
			n.logger.Info("upstream changed", "Upstream", upstream.ID, "Service", upstream.Service, "Address", upstream.Address,
				"Domain", upstream.FailureDomain, "Stage", upstream.Stage, "Draining", upstream.Draining, "Spot", upstream.Spot)
		} else {
			n.upstreams.Remove(platform.UpstreamID(event.Entry.Key), time.Now())
			n.logger.Info("upstream removed", "Key", event.Entry.Key, "Deleted", event.Deleted)
		}
	}
}

// decodeUpstream decodes the entry of an upstream. It returns false for a malformed
// one, which another writer may have left, and logs and counts it once for each
// time that it was written. Only followUpstreams calls it.
func (n *Node) decodeUpstream(entry store.Entry) (upstream discovery.Upstream, ok bool) {
	upstream, err := platform.DecodeUpstream(entry.Key, entry.Value)
	if err == nil {
		delete(n.malformedEntries, entry.Key)
		return upstream, true
	}
	if n.malformedEntries[entry.Key] != entry.Version {
		if len(n.malformedEntries) >= maxMalformedEntries {
			clear(n.malformedEntries)
		}
		n.malformedEntries[entry.Key] = entry.Version
		n.count("malformed_entries", "Upstream")
		n.logger.Warn("upstream entry can't be decoded", "Key", entry.Key, "Revision", entry.Version, "Error", err)
	}
	return discovery.Upstream{}, false
}

// syncDispatcher passes the upstream set and the configured services to the
// dispatcher if they have changed, and closes idle connections to upstreams that
// are gone.
func (n *Node) syncDispatcher() {
	table := n.table.Load()
	if table == nil {
		return
	}
	n.syncMu.Lock()
	defer n.syncMu.Unlock()
	// The generation is read first, so that a change in between is passed on by the
	// next call.
	now := time.Now()
	generation := n.upstreams.Generation(now)
	if table == n.syncedTable && generation == n.syncedGeneration {
		return
	}
	n.syncedTable, n.syncedGeneration = table, generation
	for _, id := range n.dispatcher.Sync(n.upstreams.View(now), table.Services) {
		n.upstreamPool.Forget(id)
	}
}
