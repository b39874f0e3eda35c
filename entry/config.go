package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/store"
)

const (
	// compareEvery is the longest time between comparisons of the configuration with
	// the store's. Two of them fit into the bound for a new configuration.
	compareInterval = 1200 * time.Millisecond
	// compareTimeout bounds one comparison. A store that is slow answers within
	// half a second.
	compareTimeout = 1200 * time.Millisecond
	// compareRetry is the time until the next try after a failure.
	compareRetryDelay = 500 * time.Millisecond
	// freshnessMargin is the part of the revocation bound that is left for the way
	// of the request and for what is being decided.
	freshnessMargin = 700 * time.Millisecond
)

// followConfig compares the configuration in force with the store's, at the
// reader of the failure domain and where the reader can't tell.
func (n *Node) followConfig() {
	go func() {
		reachable := true
		interval := min(compareInterval, n.settings.Bounds.Configuration*2/5)
		for n.ctx.Err() == nil {
			if !n.isStoreReader() && !n.storeFailing.Load() && n.configAge() < followStaleAge {
				n.sleep(compareRetryDelay)
				continue
			}
			askedAt := n.clock()
			entry, changed, err := n.compareConfig()
			wait := interval - interval/8 + rand.N(interval/4)
			switch {
			case err != nil:
				if reachable {
					n.logger.Warn("store lost", "Error", err)
				}
				wait = compareRetryDelay
				n.upstreams.MarkRegistryDown(time.Now())
			case !changed || n.applyConfig(entry):
				n.confirmConfig(askedAt)
			}
			if err == nil && !reachable {
				n.logger.Info("store regained")
			}
			reachable = err == nil
			n.storeFailing.Store(!reachable && !errors.Is(err, store.ErrNotFound))
			n.sleep(wait)
		}
	}()
}

// pause waits for a time, or until the node ends.
func (n *Node) sleep(wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-n.ctx.Done():
	}
}

// compare asks the store whether its entry is still the one in force.
func (n *Node) compareConfig() (entry store.Entry, changed bool, err error) {
	n.storeStateMu.Lock()
	version := n.configEntry.Version
	n.storeStateMu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, compareTimeout)
	defer cancel()
	if version == 0 {
		entry, err = n.store.Get(ctx, platform.ConfigKey)
		return entry, err == nil, err
	}
	entry, err = n.store.Compare(ctx, platform.ConfigKey, version)
	if !errors.Is(err, store.ErrConflict) {
		return store.Entry{}, false, err
	}
	if entry.Version > version {
		return entry, true, nil
	}
	// The answer doesn't hold the entry.
	entry, err = n.store.Get(ctx, platform.ConfigKey)
	return entry, err == nil, err
}

// apply puts a configuration in force unless a newer one is. It reports whether
// the entry is the one in force then.
func (n *Node) applyConfig(entry store.Entry) (ok bool) {
	config, err := platform.DecodeConfig(entry.Value)
	if err != nil {
		n.logger.Error("configuration unreadable", "Revision", entry.Version, "Error", err)
		return false
	}
	n.storeStateMu.Lock()
	if entry.Version <= n.configEntry.Version {
		ok = entry.Version == n.configEntry.Version
		n.storeStateMu.Unlock()
		return ok
	}
	n.configEntry = entry
	n.table.Store(routing.NewTable(config))
	n.storeStateMu.Unlock()
	n.syncDispatcher()
	n.logger.Info("configuration in force", "Version", config.Version, "Revision", entry.Version, "Routes", len(config.Routes))
	return true
}

// confirm notes that the configuration in force was the newest at a reading of
// the clock.
func (n *Node) confirmConfig(at time.Duration) {
	for {
		last := n.configConfirmedAt.Load()
		if int64(at) <= last || n.configConfirmedAt.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// age is the time since the configuration was known to be the newest.
func (n *Node) configAge() time.Duration {
	return n.clock() - time.Duration(n.configConfirmedAt.Load())
}

// fresh reports whether no key can have been withdrawn for longer than the
// bound without this node knowing.
func (n *Node) configFresh() bool {
	return n.configAge() < n.settings.Bounds.Revocation-freshnessMargin
}
