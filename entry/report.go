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
	usagePrefix = "guavagauge/usage/"
	// usageHand is the time after a window's end at which nodes hand their counts
	// to the reader of their failure domain, usageDelay that at which readers write
	// them, and usageCollect that at which the holder reports them.
	usageHand    = 300 * time.Millisecond
	usageDelay   = 1200 * time.Millisecond
	usageCollect = 3500 * time.Millisecond
	// usageRetry is the time between tries to write or report.
	usageRetry = 500 * time.Millisecond
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
func (n *Node) report(held *lease.Lease, window int64) (err error) {
	defer errors.DeferredAnnotatef(&err, "report window %d", window)
	ctx, cancel := context.WithTimeout(held.Context(), 2*dutyCall)
	defer cancel()
	usage, err := n.freeze(ctx, window)
	if err != nil {
		return err
	}
	return held.Do(ctx, func(ctx context.Context) error {
		err := n.cloud.ReportUsage(ctx, n.authority(held), usage)
		n.logger.Info("usage reported", "Window", window, "Counts", usage.Counts, "Token", held.Epoch(), "Error", err)
		return err
	})
}

// freeze returns the figures of a window that the store holds, and writes them
// first if there are none.
func (n *Node) freeze(ctx context.Context, window int64) (usage platform.Usage, err error) {
	key := fmt.Sprintf("%sfrozen/%d", usagePrefix, window)
	entry, err := n.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		if usage, err = n.collect(ctx, window); err != nil {
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
func (n *Node) collect(ctx context.Context, window int64) (usage platform.Usage, err error) {
	entries, err := n.store.List(ctx, usagePrefix+"node/")
	if err != nil {
		return usage, err
	}
	nodes := n.peers.countsOf(window)
	nodes[n.settings.Name] = n.usage.of(window)
	for _, entry := range entries {
		var written usageEntry
		if err := json.Unmarshal(entry.Value, &written); err != nil {
			n.logger.Warn("usage unreadable", "Key", entry.Key, "Error", err)
			continue
		}
		if written.Window != window {
			continue
		}
		for node, c := range written.Nodes {
			nodes[node] = larger(nodes[node], c)
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
func larger(a, b counts) (merged counts) {
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
func (n *Node) writeUsage() {
	written := n.usage.window(n.trueNow()) - 1
	handed := written
	for n.ctx.Err() == nil {
		n.pause(dutyTick)
		now := n.trueNow()
		window := written + 1
		for _, late := range n.peers.takeLate() {
			n.rewriteUsage(late)
		}
		switch since := now.Sub(n.usage.end(window)); {
		case n.usage.window(now)-window > windowsKept:
			written = n.usage.window(now) - 1 // the clock was wrong
			handed = written
		case since >= usageHand && handed < window && n.handUsage(window):
			handed = window
		case since >= usageDelay && (handed < window || n.isReader()):
			ctx, cancel := context.WithTimeout(n.ctx, dutyCall)
			err := n.putUsage(ctx, window)
			cancel()
			if err == nil || n.saveUsage(window) {
				written = window
				continue
			}
			n.logger.Warn("usage not written", "Window", window, "Error", err)
			n.pause(usageRetry)
		case since >= usageCollect:
			written = window
		}
	}
}

// handUsage gives this node's counts to the reader, if that is another node.
func (n *Node) handUsage(window int64) (ok bool) {
	address, other := n.peers.reader(time.Now())
	if !other {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
	defer cancel()
	request := AccountRequest{Node: n.settings.Name, Window: window, Counts: n.usage.of(window)}
	err := n.peerCalls.Call(ctx, address, "Entry.Account", request, &struct{}{})
	if err != nil {
		n.logger.Info("usage not handed over", "Window", window, "Error", err)
	}
	return err == nil
}

// saveUsage gives the counts of a window to a node that can reach the store.
func (n *Node) saveUsage(window int64) (ok bool) {
	address, ok := n.peers.any(time.Now())
	if !ok {
		return false
	}
	nodes := n.peers.countsOf(window)
	nodes[n.settings.Name] = n.usage.of(window)
	for name, c := range nodes {
		ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
		err := n.peerCalls.Call(ctx, address, "Entry.Account", AccountRequest{Node: name, Window: window, Counts: c, Write: true}, &struct{}{})
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
func (n *Node) rewriteUsage(window int64) {
	ctx, cancel := context.WithTimeout(n.ctx, dutyCall)
	defer cancel()
	if err := n.putUsage(ctx, window); err != nil {
		n.logger.Warn("late usage not written", "Window", window, "Error", err)
		n.peers.keepLate(window)
	}
}

func (n *Node) putUsage(ctx context.Context, window int64) (err error) {
	entry := usageEntry{Window: window, Nodes: n.peers.countsOf(window)}
	if own := n.usage.of(window); len(own) > 0 {
		entry.Nodes[n.settings.Name] = own
	}
	if len(entry.Nodes) == 0 {
		return nil
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%snode/%s/%d", usagePrefix, n.settings.Name, window%windowsKept)
	if _, err = n.store.Put(ctx, store.PutRequest{Key: key, Value: value, IfVersion: store.AnyVersion}); err == nil {
		n.peers.notedWritten(window)
	}
	return err
}

// flushUsage writes the counts of the open windows when the node stops.
func (n *Node) flushUsage(ctx context.Context) {
	if n.cloud == nil {
		return
	}
	newest := n.usage.window(n.trueNow())
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
	for name, peer := range p.known {
		if c := peer.counts[window]; len(c) > 0 {
			nodes[name] = larger(c, nil)
		}
	}
	return nodes
}
