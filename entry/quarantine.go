package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

const (
	// quarantineKey is the key in the store of the requests and prompt parts that are
	// quarantined. Store readers write it, and nodes read it when they start.
	quarantineKey = "guavagauge/quarantine"
	// quarantineStoreInterval is the time between checks of a store reader whether
	// the entry in the store lacks a quarantine.
	quarantineStoreInterval = 250 * time.Millisecond
	// quarantineLearnInterval is the time between attempts of a new node to learn the
	// quarantines from another node, if it didn't read them with its first
	// configuration. From quarantineStoreAttempt on, it also reads the store.
	quarantineLearnInterval = 100 * time.Millisecond
	quarantineStoreAttempt  = 6
	// maxStoredQuarantines bounds the entry in the store to about 100 KB. Those that
	// end first are left out.
	maxStoredQuarantines = 1000
	// quarantineWriteAttempts is the number of attempts to write the entry while other
	// store readers write it.
	quarantineWriteAttempts = 3
	// quarantineLearnPeriod is how long a node that has a configuration refuses requests
	// because it doesn't know the quarantines. It then serves without them if the store is
	// down and the other nodes run a version that can't be asked, and goes on asking
	// every quarantineRelearnInterval.
	quarantineLearnPeriod     = 5 * time.Second
	quarantineRelearnInterval = time.Second
)

type (
	// storedQuarantine is an element of the entry in the store, as JSON. Fingerprint
	// and Event are those of a crash.
	storedQuarantine struct {
		Fingerprint string
		Event       string // empty with heldRequestPrefix
		Until       time.Time
	}

	// storedQuarantineKey identifies a storedQuarantine.
	storedQuarantineKey struct{ fingerprint, event string }

	// CrashesRequest asks a node for the crashes that it knows.
	CrashesRequest struct{}

	// CrashesReply holds the crashes, clearances and quarantines of requests and
	// prompt parts as a node knows them.
	CrashesReply struct {
		Known   bool          `cbor:"1,keyasint,omitzero"` // the called node has learnt those from before its start, and doesn't only serve without them
		Crashes []CrashReport `cbor:"2,keyasint,omitzero"`
	}

	// CrashReport is a crash in a CrashesReply.
	CrashReport struct {
		Fingerprint string `cbor:"1,keyasint,omitzero"`
		Event       string `cbor:"2,keyasint,omitzero"`
	}
)

// Crashes returns the crashes that this node knows, also those of requests and parts
// that aren't quarantined.
func (r *rpcHandler) Crashes(_ CrashesRequest, reply *CrashesReply) (err error) {
	defer r.node.guard.Recover("Entry.Crashes", func() { err = errCallPanicked })
	if reply.Known = r.node.crashesKnown.Load(); reply.Known {
		for _, known := range r.node.crashes.all(time.Now()) {
			reply.Crashes = append(reply.Crashes, CrashReport{Fingerprint: known.Fingerprint, Event: known.Event})
		}
	}
	return nil
}

// all returns everything that is known of crashes.
func (c *crashTracker) all(now time.Time) (known []crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known = c.heldRequests(now)
	for _, fingerprint := range c.requests.Parts(now) {
		for _, a := range c.requests.Accusations(fingerprint, now) {
			report := crash{Fingerprint: a.Part, Event: a.Crash}
			if a.Cleared {
				report.Fingerprint = clearedRequestPrefix + a.Part
			}
			known = append(known, report)
		}
	}
	for _, part := range c.parts.Parts(now) {
		for _, a := range c.parts.Accusations(part, now) {
			known = append(known, partCrash(a))
		}
	}
	return known
}

// learnQuarantines learns the quarantines from before the start of this node, unless
// readFirstConfig does. Until then the node refuses all requests, since any of them may
// crash upstreams, but at most for quarantineLearnPeriod. Crashes below the limit aren't in
// the store, so they are fetched from another node afterwards.
func (n *Node) learnQuarantines() {
	if n.settings.FirstStart {
		n.crashesKnown.Store(true)
		return
	}
	n.guard.Go("learn quarantines", func() {
		// A panic must not keep the node from serving.
		defer n.crashesWaived.Store(true)
		waitedFrom := n.clock()
		for attempt := 0; n.ctx.Err() == nil && !n.crashesKnown.Load(); attempt++ {
			now, interval := n.clock(), quarantineLearnInterval
			if n.table.Load() == nil {
				waitedFrom = now
			}
			if now-waitedFrom > quarantineLearnPeriod && !n.crashesWaived.Swap(true) {
				n.logger.Warn("quarantines from before the start are unknown")
			}
			fromStore := attempt >= quarantineStoreAttempt
			if now-n.startedAt > quarantineLearnPeriod {
				// The other nodes of the failure domain learn them from its store reader.
				interval, fromStore = quarantineRelearnInterval, n.isStoreReader()
			}
			if n.fetchCrashes() || fromStore && n.readQuarantines() {
				break
			}
			n.sleep(interval)
		}
		if n.ctx.Err() != nil {
			return
		}
		n.crashesKnown.Store(true)
		n.awaitJoined()
		n.fetchCrashes()
	})
}

// mayAdmit reports whether requests are no longer refused because this node doesn't know
// the quarantines from before its start.
func (n *Node) mayAdmit() (ok bool) { return n.crashesKnown.Load() || n.crashesWaived.Load() }

// readQuarantines applies the quarantines in the store. It returns false if the store
// can't be read.
func (n *Node) readQuarantines() (ok bool) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	entry, err := n.store.Get(ctx, quarantineKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		n.count("quarantine_reads", "Failed")
		n.logger.Info("quarantines not read from store", "Error", err)
		return false
	}
	n.applyQuarantines(entry)
	return true
}

// applyQuarantines applies the quarantines of an entry in the store. The zero Entry
// holds none.
func (n *Node) applyQuarantines(entry store.Entry) {
	stored := n.decodeQuarantines(entry)
	now := n.medianNow()
	var reports []crash
	for key, until := range stored {
		remaining := until.Sub(now)
		if remaining <= 0 {
			continue
		}
		report := crash{Fingerprint: key.fingerprint, Event: key.event}
		if kind, _ := cutCrashPrefix(key.fingerprint); kind == heldRequestPrefix {
			report = heldRequest(key.fingerprint, remaining)
		}
		reports = append(reports, report)
	}
	n.recordCrashes(reports, false)
	n.count("quarantine_reads", "Store")
	n.logger.Info("quarantines read from store", "Stored", len(stored), "Applied", len(reports))
}

// decodeQuarantines decodes the entry in the store. The zero Entry is empty. One that
// can't be decoded counts as empty, so that the next write replaces it.
func (n *Node) decodeQuarantines(entry store.Entry) (stored map[storedQuarantineKey]time.Time) {
	stored = map[storedQuarantineKey]time.Time{}
	if len(entry.Value) == 0 {
		return stored
	}
	var list []storedQuarantine
	if err := json.Unmarshal(entry.Value, &list); err != nil {
		n.logger.Warn("quarantines in store can't be decoded", "Revision", entry.Version, "Error", err)
	}
	for _, q := range list {
		stored[storedQuarantineKey{q.Fingerprint, q.Event}] = q.Until
	}
	return stored
}

// fetchCrashes fetches the crashes that the store reader of the failure domain knows,
// or any node that can read the store if no other node of the domain can.
func (n *Node) fetchCrashes() (ok bool) {
	now := time.Now()
	address, found := n.peers.storeReader(now)
	if !found {
		if address, found = n.peers.anyHealthy(now); !found {
			return false
		}
	}
	ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
	defer cancel()
	var reply CrashesReply
	if err := n.peerPool.Call(ctx, address, "Entry.Crashes", CrashesRequest{}, &reply); err != nil {
		n.logger.Debug("call to node for crashes failed", "Address", address, "Error", err)
		return false
	}
	if !reply.Known {
		return false
	}
	var reports []crash
	for _, known := range reply.Crashes {
		reports = append(reports, crash{Fingerprint: known.Fingerprint, Event: known.Event})
	}
	n.recordCrashes(reports, false)
	n.count("quarantine_reads", "Peer")
	n.logger.Info("crashes fetched from another node", "From", address, "Crashes", len(reports))
	return true
}

// storeQuarantines writes new and prolonged quarantines to the store while this node
// is the store reader, so that they outlast a restart of all nodes.
func (n *Node) storeQuarantines() {
	n.guard.Loop(n.ctx, "store quarantines", func() {
		var stored map[storedQuarantineKey]time.Time // as last read or written by this node
		var storedEra uint64
		for n.ctx.Err() == nil {
			n.sleep(quarantineStoreInterval)
			if era := store.CurrentEra(n.store).Era; era != storedEra { // it may have lost them
				stored, storedEra = nil, era
			}
			if !n.isStoreReader() || !n.crashesKnown.Load() {
				continue
			}
			current, _ := n.crashes.quarantines(n.medianNow())
			if !outdatedQuarantines(stored, current) {
				continue
			}
			written, err := n.writeQuarantines()
			if err != nil {
				n.count("quarantine_writes", "Failed")
				n.logger.Warn("quarantines not written to store", "Error", err)
				n.sleep(usageRetryDelay)
				continue
			}
			stored = written
		}
	})
}

// quarantines returns the quarantines to store, and the crashes of prompt parts that
// were cleared.
func (c *crashTracker) quarantines(wallNow time.Time) (current map[storedQuarantineKey]time.Time, cleared []storedQuarantineKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	current = map[storedQuarantineKey]time.Time{}
	for _, h := range c.requests.HeldParts(now) {
		current[storedQuarantineKey{heldRequestPrefix + h.Part, ""}] = wallNow.Add(h.Remaining)
	}
	for _, part := range c.parts.Parts(now) {
		remaining, held := c.parts.Held(part, now)
		for _, a := range c.parts.Accusations(part, now) {
			key := storedQuarantineKey{accusedPartPrefix + part, a.Crash}
			switch {
			case a.Cleared:
				cleared = append(cleared, key)
			case held:
				current[key] = wallNow.Add(remaining)
			}
		}
	}
	return current, cleared
}

// outdatedQuarantines reports whether a quarantine isn't stored, or ends in the store
// more than half its length too early.
func outdatedQuarantines(stored, current map[storedQuarantineKey]time.Time) (ok bool) {
	for key, until := range current {
		if storedUntil, found := stored[key]; !found || until.Sub(storedUntil) > requestQuarantineTTL/2 {
			return true
		}
	}
	return false
}

// writeQuarantines adds this node's quarantines to the entry in the store, unless it
// has them, and returns what the entry holds then.
func (n *Node) writeQuarantines() (stored map[storedQuarantineKey]time.Time, err error) {
	defer errors.DeferredAnnotatef(&err, "write quarantines")
	ctx, cancel := context.WithTimeout(n.ctx, quarantineWriteAttempts*callTimeout)
	defer cancel()
	for range quarantineWriteAttempts {
		entry, err := n.store.Get(ctx, quarantineKey)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return nil, err
		}
		if err == nil && entry.Era != store.CurrentEra(n.store).Era {
			continue // its version may be that of another value now
		}
		stored = n.decodeQuarantines(entry)
		now := n.medianNow()
		current, cleared := n.crashes.quarantines(now)
		if !outdatedQuarantines(stored, current) {
			return stored, nil
		}
		value, err := json.Marshal(mergeQuarantines(stored, current, cleared, now))
		if err != nil {
			return nil, err
		}
		_, err = n.store.Put(ctx, store.PutRequest{Key: quarantineKey, Value: value, IfVersion: entry.Version})
		if err == nil {
			n.count("quarantine_writes", "Written")
			n.logger.Info("quarantines written to store", "Quarantines", len(stored), "Bytes", len(value))
			return stored, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return nil, err
		}
	}
	return nil, store.ErrConflict
}

// mergeQuarantines adds quarantines to those that are stored, and returns the list to
// store. It drops those that have ended or were cleared.
func mergeQuarantines(stored, current map[storedQuarantineKey]time.Time, cleared []storedQuarantineKey, now time.Time) (list []storedQuarantine) {
	for key, until := range current {
		if until.After(stored[key]) {
			stored[key] = until
		}
	}
	for _, key := range cleared {
		delete(stored, key)
	}
	maps.DeleteFunc(stored, func(_ storedQuarantineKey, until time.Time) bool { return !until.After(now) })
	for key, until := range stored {
		list = append(list, storedQuarantine{key.fingerprint, key.event, until})
	}
	slices.SortFunc(list, func(a, b storedQuarantine) int { return b.Until.Compare(a.Until) })
	return list[:min(len(list), maxStoredQuarantines)]
}
