package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/store"
)

const (
	listTimeout    = 1500 * time.Millisecond
	listRetryDelay = 300 * time.Millisecond
	// ownListEvery is the time between listings by a node whose reader doesn't
	// answer.
	ownListInterval = time.Second
	// watchPause lets changes that come together share a call.
	watchBatchDelay = 250 * time.Millisecond
	// relistAge is the age of the upstream set from which a new reader lists
	// the entries instead of watching on, and another node stops to rely on the
	// reader. A watch without events takes three seconds.
	relistAge = 5 * time.Second
)

// followUpstreams keeps the upstream set up to date with the entries in the
// store, at the reader of the failure domain and where the reader can't tell.
func (n *Node) followUpstreams() {
	go func() {
		for n.ctx.Err() == nil {
			n.storeStateMu.Lock()
			revision, age := n.upstreamsRevision, n.clock()-n.upstreamsConfirmedAt
			n.storeStateMu.Unlock()
			isReader := n.isStoreReader()
			readerAnswers := n.clock()-time.Duration(n.lastFollowed.Load()) < followStaleAge
			if !isReader && age < relistAge && readerAnswers {
				n.sleep(listRetryDelay)
				continue
			}
			var err error
			if !isReader || revision == 0 || age > relistAge {
				revision, err = n.listUpstreams()
			}
			if err == nil && !isReader {
				n.sleep(ownListInterval)
			}
			for err == nil && n.isStoreReader() {
				revision, err = n.watchUpstreams(revision)
				n.sleep(watchBatchDelay)
			}
			switch {
			case n.ctx.Err() != nil:
				return
			case errors.Is(err, store.ErrCompacted):
				n.logger.Info("upstreams are listed again", "Error", err)
				if _, err = n.listUpstreams(); err == nil {
					continue
				}
			case err == nil:
				continue
			}
			n.logger.Warn("upstreams not followed", "Error", err)
			n.upstreams.MarkRegistryDown(time.Now())
			n.sleep(listRetryDelay)
		}
	}()
}

// noteUpstreams notes that the upstream set held the entries at a revision, as
// the store said at a reading of the clock.
func (n *Node) setUpstreamsRevision(revision uint64, at time.Duration) {
	n.storeStateMu.Lock()
	defer n.storeStateMu.Unlock()
	n.upstreamsRevision, n.upstreamsConfirmedAt = max(n.upstreamsRevision, revision), max(n.upstreamsConfirmedAt, at)
}

func (n *Node) listUpstreams() (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, listTimeout)
	defer cancel()
	askedAt := n.clock()
	entries, revision, err := n.store.Range(ctx, platform.UpstreamPrefix, false)
	if err != nil {
		return 0, err
	}
	var upstreams []discovery.Upstream
	for _, entry := range entries {
		if upstream, ok := n.decodeUpstream(entry); ok {
			upstreams = append(upstreams, upstream)
		}
	}
	n.upstreams.Replace(upstreams, time.Now())
	n.setUpstreamsRevision(revision, askedAt)
	n.upstreamsListed.Store(true)
	n.syncDispatcher()
	return revision, nil
}

func (n *Node) watchUpstreams(after uint64) (revision uint64, err error) {
	events, revision, err := n.store.Watch(n.ctx, store.WatchRequest{Prefix: platform.UpstreamPrefix, After: after})
	if err != nil {
		return 0, err
	}
	for _, event := range events {
		upstream, ok := discovery.Upstream{}, false
		if !event.Deleted {
			upstream, ok = n.decodeUpstream(event.Entry)
		}
		if ok {
			n.upstreams.Put(upstream)
			n.logger.Info("upstream changed", "Upstream", upstream.ID, "Service", upstream.Service, "Address", upstream.Address,
				"Domain", upstream.FailureDomain, "Stage", upstream.Stage, "Draining", upstream.Draining, "Spot", upstream.Spot)
		} else {
			n.upstreams.Remove(platform.UpstreamID(event.Entry.Key), time.Now())
			n.logger.Info("upstream gone", "Key", event.Entry.Key, "Deleted", event.Deleted)
		}
	}
	// A watch that ends without events says that there were none until now.
	n.setUpstreamsRevision(revision, n.clock())
	if len(events) > 0 {
		n.syncDispatcher()
	}
	return revision, nil
}

// decodeUpstream passes over what another writer left.
func (n *Node) decodeUpstream(entry store.Entry) (upstream discovery.Upstream, ok bool) {
	upstream, err := platform.DecodeUpstream(entry.Key, entry.Value)
	if err != nil {
		n.logger.Warn("entry names no upstream", "Key", entry.Key, "Revision", entry.Version, "Error", err)
		return discovery.Upstream{}, false
	}
	return upstream, true
}

// syncUpstreams tells the dispatcher what the upstream set and the
// configuration hold.
func (n *Node) syncDispatcher() {
	table := n.table.Load()
	if table == nil {
		return
	}
	for _, id := range n.dispatcher.Sync(n.upstreams.View(time.Now()), table.Services) {
		n.upstreamPool.Forget(id)
	}
}
