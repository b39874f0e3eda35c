package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/store"
)

const (
	usageKeyPrefix = "guavagauge/usage/"
	// usageHand is the time after a window's end at which nodes hand their counts
	// to the reader of their failure domain, usageDelay that at which readers write
	// them, and usageCollect that at which the holder reports them.
	usageSendDelay   = 300 * time.Millisecond
	usageWriteDelay  = 1200 * time.Millisecond
	usageReportDelay = 3500 * time.Millisecond
	// usageRetry is the time between tries to write or report.
	usageRetryDelay = 500 * time.Millisecond
)

type (
	// usageEntry is what a node writes about a window: its own counts, and those
	// of other nodes as it knows them. Accounts of one node only grow, so readers
	// take the larger ones.
	usageEntry struct {
		Window int64
		Nodes  map[string]counts
	}
)

// report sums up what all nodes wrote of a window and reports it. The figures
// are fixed in the store first, so that no other holder reports others.
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

// freeze returns the figures of a window that the store holds, and writes them
// first if there are none.
func (n *Node) freezeUsage(ctx context.Context, window int64) (usage platform.Usage, err error) {
	key := fmt.Sprintf("%sfrozen/%d", usageKeyPrefix, window)
	entry, err := n.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		if usage, err = n.sumUsage(ctx, window); err != nil {
			return usage, err
		}
		value, err := json.Marshal(usage)
		if err != nil {
			return usage, err
		}
		_, err = n.store.Put(ctx, store.PutRequest{Key: key, Value: value})
		if err == nil {
			return usage, nil
		}
		entry, err = n.store.Get(ctx, key) // another holder's, or ours with a lost answer
		if err != nil {
			return usage, err
		}
	}
	if err != nil {
		return usage, err
	}
	usage = platform.Usage{}
	err = json.Unmarshal(entry.Value, &usage)
	return usage, err
}

// collect sums up what nodes wrote of a window.
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
			n.logger.Warn("usage unreadable", "Key", entry.Key, "Error", err)
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

// larger merges two accounts of one node, which only grow.
func maxCounts(a, b counts) (merged counts) {
	merged = counts{}
	for _, c := range []counts{a, b} {
		for workspace, count := range c {
			merged[workspace] = max(merged[workspace], count)
		}
	}
	return merged
}

// writeUsage hands this node's counts of each ended window to the reader of the
// failure domain, which writes those of all its nodes to the store. A node whose
// reader doesn't take them writes them itself.
func (n *Node) writeUsageLoop() {
	written := n.usage.windowAt(n.medianNow()) - 1
	sent := written
	for n.ctx.Err() == nil {
		n.sleep(tickInterval)
		now := n.medianNow()
		window := written + 1
		for _, lateWindow := range n.peers.popLateWindows() {
			n.rewriteLateUsage(lateWindow)
		}
		switch elapsed := now.Sub(n.usage.windowEnd(window)); {
		case n.usage.windowAt(now)-window > keptWindows:
			written = n.usage.windowAt(now) - 1 // the clock was wrong
			sent = written
		case elapsed >= usageSendDelay && sent < window && n.sendUsageToReader(window):
			sent = window
		case elapsed >= usageWriteDelay && (sent < window || n.isStoreReader()):
			ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
			err := n.putUsage(ctx, window)
			cancel()
			if err == nil || n.writeUsageViaPeer(window) {
				written = window
				continue
			}
			n.logger.Warn("usage not written", "Window", window, "Error", err)
			n.sleep(usageRetryDelay)
		case elapsed >= usageReportDelay:
			written = window
		}
	}
}

// handUsage gives this node's counts to the reader, if that is another node.
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
		n.logger.Info("usage not handed over", "Window", window, "Error", err)
	}
	return err == nil
}

// saveUsage gives the counts of a window to a node that can reach the store.
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
			n.logger.Warn("usage not saved", "Window", window, "Peer", address, "Error", err)
			return false
		}
	}
	n.logger.Info("usage saved at another node", "Window", window, "Peer", address)
	return true
}

// rewriteUsage writes a window again of which counts came late.
func (n *Node) rewriteLateUsage(window int64) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	if err := n.putUsage(ctx, window); err != nil {
		n.logger.Warn("late usage not written", "Window", window, "Error", err)
		n.peers.markLate(window)
	}
}

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

// flushUsage writes the counts of the open windows when the node stops.
func (n *Node) flushUsage(ctx context.Context) {
	if n.cloud == nil {
		return
	}
	newest := n.usage.windowAt(n.medianNow())
	for _, window := range []int64{newest - 1, newest} {
		if err := n.putUsage(ctx, window); err != nil {
			n.logger.Warn("usage not written at the end", "Window", window, "Error", err)
		}
	}
}

// countsOf returns what other nodes told of a window.
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
