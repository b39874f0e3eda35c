package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/store"
)

const (
	// usageKeyPrefix is the prefix of the keys with usage counts in the store.
	usageKeyPrefix = "guavagauge/usage/"
	// Times after a window's end: at usageSendDelay nodes send their counts to the
	// store reader of their failure domain, at usageWriteDelay store readers write
	// them to the store, and at usageReportDelay the leader reports them. Within each
	// gap, a failed call is repeated.
	usageSendDelay   = 300 * time.Millisecond
	usageWriteDelay  = 1200 * time.Millisecond
	usageReportDelay = 3500 * time.Millisecond
	// usageRetryDelay is the time between two attempts to write usage. It is also
	// the initial backoff of acquiring the leader's lease.
	usageRetryDelay = 500 * time.Millisecond
	// eraClockMargin is how far the clocks of leaders in two eras of the store may differ
	// in what was due before the later one.
	eraClockMargin = time.Second
	// errTotalsLost means that a window may have been reported with totals that the store
	// has lost since.
	errTotalsLost = errors.ConstError("totals of the window were lost with an era of the store")
)

type (
	// frozenTotals holds the totals of windows that this node stored or read as the leader.
	frozenTotals struct {
		mu      sync.Mutex
		windows map[int64]platform.Usage
		// ofEra is the newest window whose totals are known to have been stored in era.
		era   uint64
		ofEra int64
	}

	// frozenEntry is the value of the totals in the store, as JSON. Era is that of the store
	// when they were first stored, and 0 if they were stored again.
	frozenEntry struct {
		platform.Usage
		Era uint64 `json:",omitzero"`
	}

	// usageEntry is the value that a node writes to the store for a window, as
	// JSON: its own counts, and those of other nodes as it knows them. The counts of
	// a node only grow, so of several values for a node the largest is the newest.
	usageEntry struct {
		Window int64
		Nodes  map[string]counts
	}
)

// reportUsage reports the usage of all nodes in a window to the platform. It
// stores the totals first, so that another leader reports the same ones.
func (n *Node) reportUsage(held *lease.Lease, window int64) (err error) {
	defer errors.DeferredAnnotatef(&err, "report window %d", window)
	ctx, cancel := context.WithTimeout(held.Context(), 2*callTimeout)
	defer cancel()
	usage, err := n.freezeUsage(ctx, window)
	if err != nil {
		return err
	}
	return held.Do(ctx, func(ctx context.Context) error {
		err := n.cloud.ReportUsage(ctx, n.fencedHolder(held), usage)
		n.logger.Info("usage reported", "Window", window, "Counts", usage.Counts, "Token", held.Epoch(), "Error", err)
		return err
	})
}

// freezeUsage returns the totals of a window that were stored for the report. If
// there are none, it computes and stores them. The first leader that stores them
// determines them: they are never overwritten or deleted. If the store has lost them, this
// node stores the same again if it knows them, and fails if they may have been reported.
func (n *Node) freezeUsage(ctx context.Context, window int64) (usage platform.Usage, err error) {
	defer func() {
		if err == nil {
			n.frozen.put(usage)
		}
	}()
	stored, err := n.storedTotals(ctx, window)
	if errors.Is(err, store.ErrNotFound) {
		var totals frozenEntry
		if totals, err = n.totals(ctx, window); err != nil {
			return usage, err
		}
		var value []byte
		if value, err = json.Marshal(totals); err != nil {
			return usage, err
		}
		usage = totals.Usage
		_, err = n.store.Put(ctx, store.PutRequest{Key: frozenKey(window), Value: value})
		if err == nil {
			return usage, nil
		}
		stored, err = n.storedTotals(ctx, window) // written by another leader, or by this one if the response to Put was lost
	}
	return stored.Usage, err
}

// storedTotals reads the totals of a window from the store.
func (n *Node) storedTotals(ctx context.Context, window int64) (stored frozenEntry, err error) {
	entry, err := n.store.Get(ctx, frozenKey(window))
	if err != nil {
		return stored, err
	}
	if err = json.Unmarshal(entry.Value, &stored); err == nil {
		n.frozen.noteEra(stored)
	}
	return stored, err
}

func frozenKey(window int64) (key string) { return fmt.Sprintf("%sfrozen/%d", usageKeyPrefix, window) }

// totals returns the totals of a window that the store doesn't have.
func (n *Node) totals(ctx context.Context, window int64) (totals frozenEntry, err error) {
	if usage, known := n.frozen.get(window); known {
		return frozenEntry{Usage: usage}, nil
	}
	for earlier := window - 1; n.mayBeReported(window); earlier-- {
		if earlier < window-keptWindows {
			return totals, errTotalsLost
		}
		if _, err = n.storedTotals(ctx, earlier); err != nil && !errors.Is(err, store.ErrNotFound) {
			return totals, err
		}
	}
	totals.Era = store.CurrentEra(n.store).Era
	totals.Usage, err = n.sumUsage(ctx, window)
	return totals, err
}

// mayBeReported reports whether a leader may have reported a window in an earlier era of
// the store: it was due before the last lease of that era can have ended. A process that
// starts takes its own first answer for the begin of the era, unless the totals of an
// earlier window were stored in it.
func (n *Node) mayBeReported(window int64) (ok bool) {
	view := store.CurrentEra(n.store)
	if view.Era == 0 || n.settings.FirstStart && n.erasEnded.Load() == 0 || n.frozen.earlierOfEra(window, view.Era) {
		return false
	}
	leasesEnded := n.medianNow().Add(n.settings.Bounds.Lease - time.Since(view.SeenAt))
	return !n.usage.windowEnd(window).Add(usageReportDelay - eraClockMargin).After(leasesEnded)
}

func (f *frozenTotals) get(window int64) (usage platform.Usage, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	usage, ok = f.windows[window]
	return usage, ok
}

// noteEra records in which era totals were stored.
func (f *frozenTotals) noteEra(stored frozenEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stored.Era > f.era || stored.Era == f.era && stored.Window > f.ofEra {
		f.era, f.ofEra = stored.Era, stored.Window
	}
}

// earlierOfEra reports whether the totals of an earlier window were stored in an era.
func (f *frozenTotals) earlierOfEra(window int64, era uint64) (ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era == era && f.ofEra < window
}

// put records the totals of a window, and drops those that are too old to be reported.
func (f *frozenTotals) put(usage platform.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.windows == nil {
		f.windows = map[int64]platform.Usage{}
	}
	f.windows[usage.Window] = usage
	for window := range f.windows {
		if window < usage.Window-keptWindows {
			delete(f.windows, window)
		}
	}
}

// sumUsage sums up the counts of all nodes in a window: those in the store, and
// those that this node has received itself.
func (n *Node) sumUsage(ctx context.Context, window int64) (usage platform.Usage, err error) {
	entries, err := n.store.List(ctx, usageKeyPrefix+"node/")
	if err != nil {
		return usage, err
	}
	nodes := n.peers.countsOf(window)
	nodes[n.settings.Name] = n.usage.countsOf(window)
	for _, entry := range entries {
		var stored usageEntry
		if err := json.Unmarshal(entry.Value, &stored); err != nil {
			n.logger.Warn("usage entry in store can't be decoded", "Key", entry.Key, "Error", err)
			continue
		}
		if stored.Window != window {
			continue
		}
		for node, c := range stored.Nodes {
			nodes[node] = maxCounts(nodes[node], c)
		}
	}
	usage = platform.Usage{Window: window, Counts: map[string]int64{}}
	for _, c := range nodes {
		for workspace, count := range c {
			usage.Counts[workspace] += count
		}
	}
	return usage, nil
}

// maxCounts merges two versions of a node's counts in a window. Counts only grow,
// so it takes the larger value for each workspace.
func maxCounts(a, b counts) (merged counts) {
	merged = counts{}
	for _, c := range []counts{a, b} {
		for workspace, count := range c {
			merged[workspace] = max(merged[workspace], count)
		}
	}
	return merged
}

// writeUsageLoop sends this node's counts of each ended window to the store reader
// of the failure domain, which writes those of all nodes of the domain to the
// store. If the reader doesn't accept them, this node writes them itself, or sends
// them to any node that can reach the store.
//
// It handles one window after another. From usageSendDelay on, it sends the counts
// at each tick until the reader accepts them. From usageWriteDelay on, it writes
// the window if the reader hasn't accepted the counts or if it is the reader itself.
func (n *Node) writeUsageLoop() {
	lastDone := n.usage.windowAt(n.medianNow()) - 1 // the last window without anything left to do
	lastSent := lastDone                            // the last window that the store reader accepted
	for n.ctx.Err() == nil {
		n.sleep(tickInterval)
		now := n.medianNow()
		window := lastDone + 1
		for _, lateWindow := range n.peers.popLateWindows() {
			n.rewriteLateUsage(lateWindow)
		}
		switch elapsed := now.Sub(n.usage.windowEnd(window)); {
		case n.usage.windowAt(now)-window > keptWindows:
			lastDone = n.usage.windowAt(now) - 1 // the clock jumped, or writing failed for that long; skips these windows
			lastSent = lastDone
		case elapsed >= usageSendDelay && lastSent < window && n.sendUsageToReader(window):
			lastSent = window
		case elapsed >= usageWriteDelay && (lastSent < window || n.isStoreReader()):
			ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
			err := n.putUsage(ctx, window)
			cancel()
			if err == nil || n.writeUsageViaPeer(window) {
				lastDone = window
				continue
			}
			n.logger.Warn("usage not written", "Window", window, "Error", err)
			n.sleep(usageRetryDelay)
		case elapsed >= usageReportDelay:
			// The store reader has the counts. Up to here, this node would have written
			// them itself if it had become the reader.
			lastDone = window
		}
	}
}

// sendUsageToReader sends this node's counts of a window to the store reader, if
// that is another node. It reports whether the reader accepted them.
func (n *Node) sendUsageToReader(window int64) (ok bool) {
	address, other := n.peers.storeReader(time.Now())
	if !other {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
	defer cancel()
	request := AccountRequest{Node: n.settings.Name, Window: window, Counts: n.usage.countsOf(window)}
	err := n.peerPool.Call(ctx, address, "Entry.Account", request, &struct{}{})
	if err != nil {
		n.logger.Info("usage not sent to store reader", "Window", window, "Error", err)
	}
	return err == nil
}

// writeUsageViaPeer sends all known counts of a window to a node that can reach
// the store, to be written there. It reports whether that node accepted them.
func (n *Node) writeUsageViaPeer(window int64) (ok bool) {
	address, ok := n.peers.anyHealthy(time.Now())
	if !ok {
		return false
	}
	nodes := n.peers.countsOf(window)
	nodes[n.settings.Name] = n.usage.countsOf(window)
	for name, c := range nodes {
		ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
		err := n.peerPool.Call(ctx, address, "Entry.Account", AccountRequest{Node: name, Window: window, Counts: c, Write: true}, &struct{}{})
		cancel()
		if err != nil {
			n.logger.Warn("usage not sent to peer for writing", "Window", window, "Peer", address, "Error", err)
			return false
		}
	}
	n.logger.Info("usage sent to peer for writing", "Window", window, "Peer", address)
	return true
}

// rewriteLateUsage writes a window again for which counts arrived late.
func (n *Node) rewriteLateUsage(window int64) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	if err := n.putUsage(ctx, window); err != nil {
		n.logger.Warn("late usage not written", "Window", window, "Error", err)
		n.peers.markLate(window)
	}
}

// putUsage writes the known counts of a window to the store, if there are any. It
// replaces the entry that this node wrote keptWindows windows ago.
func (n *Node) putUsage(ctx context.Context, window int64) (err error) {
	entry := usageEntry{Window: window, Nodes: n.peers.countsOf(window)}
	if own := n.usage.countsOf(window); len(own) > 0 {
		entry.Nodes[n.settings.Name] = own
	}
	if len(entry.Nodes) == 0 {
		return nil
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%snode/%s/%d", usageKeyPrefix, n.settings.Name, window%keptWindows)
	if _, err = n.store.Put(ctx, store.PutRequest{Key: key, Value: value, IfVersion: store.AnyVersion}); err == nil {
		n.peers.markWritten(window)
	}
	return err
}

// flushUsage writes the counts of the current window and the one before when the
// node stops.
func (n *Node) flushUsage(ctx context.Context) {
	if n.cloud == nil {
		return
	}
	newest := n.usage.windowAt(n.medianNow())
	for _, window := range []int64{newest - 1, newest} {
		if err := n.putUsage(ctx, window); err != nil {
			n.logger.Warn("usage not written at shutdown", "Window", window, "Error", err)
		}
	}
}

// countsOf returns the counts of other nodes in a window, as they sent them.
func (p *peers) countsOf(window int64) (nodes map[string]counts) {
	nodes = map[string]counts{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, peer := range p.byName {
		if c := peer.counts[window]; len(c) > 0 {
			nodes[name] = maxCounts(c, nil)
		}
	}
	return nodes
}
