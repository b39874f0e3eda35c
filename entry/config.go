package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/store"
)

const (
	// compareInterval is the longest time between two comparisons of the
	// configuration with the one in the store. Two of them fit into the time
	// within which a new configuration has to be in force.
	compareInterval = time.Second
	// configReadTimeout bounds a comparison that brings a new configuration, which
	// can be large and the link slow. A store that doesn't respond is noticed
	// sooner, see platform.Store.
	configReadTimeout = 30 * time.Second
	// compareRetryDelay is the delay before the next attempt after a failure.
	compareRetryDelay = 500 * time.Millisecond
	// freshnessMargin is the part of Bounds.Revocation that is reserved for the
	// time that a request spends on its way to the node and in admission.
	freshnessMargin = 700 * time.Millisecond
	// fromStore is the source of a configuration that the store sent, as logged.
	// For one that another node sent, it is that node's address.
	fromStore = "store"
)

// followConfig keeps the configuration up to date with the store. The store
// reader of the failure domain polls the store. Another node polls it only while
// its own store calls fail, to notice when they succeed again, or while its
// configuration is older than followStaleAge and no newer one is arriving from
// another node.
func (n *Node) followConfig() {
	n.guard.Loop(n.ctx, "follow configuration", func() {
		reachable := true
		interval := min(compareInterval, n.settings.Bounds.Configuration*2/5)
		for n.ctx.Err() == nil {
			if !n.isStoreReader() && !n.configFailing.Load() && (n.storeAge() < followStaleAge || n.transferAdvancing()) {
				n.sleep(compareRetryDelay)
				continue
			}
			askedAt := n.clock()
			entry, changed, err := n.compareConfig()
			wait := interval - interval/8 + rand.N(interval/4)
			switch {
			case err != nil:
				n.count("config_checks", "Failed")
				if reachable {
					n.logger.Warn("configuration check against store failed", "Took", n.clock()-askedAt, "Error", err)
				}
				wait = compareRetryDelay
				if reachable {
					wait = 0 // the connection may have gone silent; the next call opens another one
				} else {
					n.markStoreDown()
				}
			case !changed && n.holdsStoredConfig(), changed && n.applyConfig(entry, fromStore, n.clock()-askedAt):
				n.confirmConfig(askedAt)
			default:
				// The store came back from an older copy, and may hold an older configuration.
				advanceReading(&n.storeSeenAt, askedAt)
				n.unconfirmedAt.Store(int64(askedAt))
				wait = min(wait, compareRetryDelay)
			}
			if err == nil && !reachable {
				n.logger.Info("configuration check against store succeeded again")
			}
			reachable = err == nil
			// ErrNotFound is an answer: the store has no configuration yet.
			n.configFailing.Store(!reachable && !errors.Is(err, store.ErrNotFound))
			n.sleep(wait)
			if err == nil {
				n.awaitJoined()
			}
		}
	})
}

// sleep waits for a duration, or until the node stops.
func (n *Node) sleep(wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-n.ctx.Done():
	}
}

// compareConfig compares the version of the configuration in force with the
// store's. If the store has another one, it returns that entry and true.
func (n *Node) compareConfig() (entry store.Entry, changed bool, err error) {
	n.storeStateMu.Lock()
	known, seen := n.configEntry.Version > 0, n.lastSeenConfig()
	n.storeStateMu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, configReadTimeout)
	defer cancel()
	if !known {
		return n.readFirstConfig(ctx)
	}
	entry, err = n.store.Compare(ctx, platform.ConfigKey, seen)
	switch {
	case errors.Is(err, store.ErrConflict) && entry.Version > seen.Revision:
		return entry, true, nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrEraChanged):
		// The response of the comparison doesn't contain the new entry, or there was none.
		entry, err = n.store.Get(ctx, platform.ConfigKey)
		return entry, err == nil, err
	default:
		return store.Entry{}, false, err
	}
}

// holdsStoredConfig reports whether the configuration in force is the one that the store
// held last, and may be confirmed.
func (n *Node) holdsStoredConfig() (ok bool) {
	n.storeStateMu.Lock()
	defer n.storeStateMu.Unlock()
	return n.configEntry.Position() == n.lastSeenConfig() && n.mayConfirm(n.edition())
}

// lastSeenConfig returns the position of the newest entry of the configuration that this
// node has seen. The caller holds storeStateMu.
func (n *Node) lastSeenConfig() (p store.Position) {
	if p = n.configEntry.Position(); n.configSeen.Compare(p) > 0 {
		return n.configSeen
	}
	return p
}

// mayConfirm reports whether an edition that the store holds is known to be the newest. A
// store that came back from an older copy may lack one that other nodes have, so a node
// that starts in a later era hears one of them first, unless there is none. The caller
// holds storeStateMu.
func (n *Node) mayConfirm(edition routing.Edition) (ok bool) {
	if n.heardConfig.Replaces(edition) {
		return false
	}
	return edition.Position.Era == 0 || n.settings.FirstStart || n.heardAnyConfig || n.clock()-n.startedAt >= joinPeriod
}

// edition returns the edition of the configuration in force. The caller holds
// storeStateMu.
func (n *Node) edition() (e routing.Edition) {
	return routing.Edition{Version: n.configVersion, Position: n.configEntry.Position()}
}

// readFirstConfig reads the configuration, and in the same call the quarantines from
// before the start of this node.
func (n *Node) readFirstConfig(ctx context.Context) (entry store.Entry, found bool, err error) {
	entries, err := n.store.GetAll(ctx, platform.ConfigKey, quarantineKey)
	if err != nil {
		return store.Entry{}, false, err
	}
	if !n.crashesKnown.Load() {
		n.applyQuarantines(entries[quarantineKey])
		n.crashesKnown.Store(true)
	}
	if entry, found = entries[platform.ConfigKey]; !found {
		return store.Entry{}, false, store.ErrNotFound
	}
	return entry, true, nil
}

// applyConfig puts a configuration in force unless a newer one already is. It
// reports whether the entry is in force afterwards, and no other node has said that it has
// a newer one. source says where the entry came from, and took how long the call that
// brought it lasted.
func (n *Node) applyConfig(entry store.Entry, source string, took time.Duration) (ok bool) {
	config, err := platform.DecodeConfig(entry.Value)
	if err != nil {
		n.logger.Error("stored configuration can't be decoded", "Revision", entry.Version, "Error", err)
		return false
	}
	now := n.clock()
	n.storeStateMu.Lock()
	if source == fromStore {
		n.configSeen = entry.Position()
	}
	first := n.configEntry.Version == 0
	held, offered := n.edition(), routing.Edition{Version: config.Version, Position: entry.Position()}
	confirmed := n.mayConfirm(offered)
	if !first && !offered.Replaces(held) {
		n.storeStateMu.Unlock()
		if ok = offered == held; !ok && source == fromStore {
			n.logger.Warn("store holds an older configuration", "Version", config.Version, "Position", offered.Position, "Held", held.Version, "HeldPosition", held.Position)
		}
		return ok && confirmed
	}
	n.configEntry, n.configVersion = entry, config.Version
	if !first && held.Version == offered.Version && held.Position.Era != offered.Position.Era {
		n.storeStateMu.Unlock()
		n.logger.Info("configuration is in the store again", "Version", config.Version, "Position", offered.Position, "Before", held.Position)
		return confirmed
	}
	n.configureQuotas(config, now)
	n.table.Store(routing.NewTable(config))
	n.storeStateMu.Unlock()
	n.syncDispatcher()
	n.logger.Info("configuration applied", "Version", config.Version, "Revision", entry.Version, "Routes", len(config.Routes),
		"Source", source, "Bytes", len(entry.Value), "Took", took, "ConfirmedAgo", n.configAge())
	return confirmed
}

// hearConfig records that another node has an edition of the configuration, and fetches it
// if it is newer than the one in force, as a store that came back from an older copy may
// not have it.
func (n *Node) hearConfig(edition routing.Edition, from netip.AddrPort) {
	n.storeStateMu.Lock()
	n.heardAnyConfig = true
	newer := edition.Version > n.configVersion && edition.Replaces(n.edition())
	if newer && edition.Replaces(n.heardConfig) {
		n.heardConfig = edition
	}
	n.storeStateMu.Unlock()
	if at := n.unconfirmedAt.Load(); at > 0 && n.holdsStoredConfig() && n.unconfirmedAt.CompareAndSwap(at, 0) {
		n.confirmConfig(time.Duration(at))
	}
	if token, err := edition.Position.Token(); newer && err == nil {
		n.startConfigTransfer(from, token, 0)
	}
}

// confirmConfig records that the configuration in force was the newest at the
// clock reading at.
func (n *Node) confirmConfig(at time.Duration) {
	advanceReading(&n.configConfirmedAt, at)
	advanceReading(&n.storeSeenAt, at)
}

// advanceReading sets a clock reading unless it is later already.
func advanceReading(reading *atomic.Int64, at time.Duration) {
	for {
		last := reading.Load()
		if int64(at) <= last || reading.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// storeAge returns the time since the store last answered about the configuration. It is
// less than configAge while the store holds an older configuration than this node.
func (n *Node) storeAge() (age time.Duration) {
	return n.clock() - time.Duration(n.storeSeenAt.Load())
}

// configAge returns the time since the configuration was last known to be the
// newest.
func (n *Node) configAge() time.Duration {
	return n.clock() - time.Duration(n.configConfirmedAt.Load())
}

// logConfigAge logs when the configuration has become older than
// Bounds.Configuration, and when it was confirmed again. It returns whether it is
// older now; wasOutdated is the result of the call before.
func (n *Node) logConfigAge(wasOutdated bool) (outdated bool) {
	age := n.configAge()
	outdated = n.table.Load() != nil && age > n.settings.Bounds.Configuration
	switch {
	case outdated && !wasOutdated:
		reader, _ := n.peers.storeReader(time.Now())
		n.logger.Warn("configuration outdated", "ConfigAge", age, "StoreFailing", n.storeFailing(), "Reader", reader)
	case wasOutdated && !outdated:
		n.logger.Info("configuration no longer outdated", "ConfigAge", age)
	}
	return outdated
}

// configFresh reports whether the configuration is recent enough to authenticate
// keys: a key that was withdrawn longer ago than the bound is no longer in it.
func (n *Node) configFresh() bool {
	return n.configAge() < n.settings.Bounds.Revocation-freshnessMargin
}
