package usage

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

// Reconcile compares this node's records of past windows with the frozen
// windows in the store, and carries usage that a frozen window lacks over into
// the current window. It returns the number of records that had such usage. Call
// it periodically, with jitter. Usage of a window that was deleted from the store
// before, frozenWindowsKept windows later, isn't carried over.
func (l *Ledger) Reconcile(ctx context.Context, client store.Client, shards int) (carried int, err error) {
	for _, p := range l.pastWindows(shards) {
		frozen, err := readFrozen(ctx, client, frozenKey(p.shard, p.window))
		if errors.Is(err, store.ErrNotFound) {
			continue // the window isn't closed yet, or was deleted from the store
		}
		if err != nil {
			return carried, err
		}
		n, err := l.reconcileWindow(ctx, p, shards, frozen)
		carried += n
		if err != nil {
			return carried, err
		}
	}
	return carried, nil
}

// pastWindow is a window and shard for which this node has records.
type pastWindow struct {
	window int64
	shard  int
}

func (l *Ledger) pastWindows(shards int) (list []pastWindow) {
	current := windowStart(time.Now(), l.options.Window)
	seen := make(map[pastWindow]bool)
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.records {
		p := pastWindow{key.window, shardOf(key.workspace, shards)}
		if key.window < current && !seen[p] {
			seen[p] = true
			list = append(list, p)
		}
	}
	return list
}

func (l *Ledger) reconcileWindow(ctx context.Context, p pastWindow, shards int, frozen *FrozenWindow) (carried int, err error) {
	self := l.options.Source.String()
	complete := slices.Contains(frozen.Complete, self)
	included := make(map[string]Totals)
	for _, record := range frozen.Partial[self] {
		included[record.Workspace] = record.Totals
	}
	for _, record := range l.ownRecords(p.window, p.shard, shards) {
		missing := record.Totals.Minus(included[record.Workspace])
		l.deleteRecord(record) // its usage is frozen, except for missing, which is added below
		if complete || missing == (Totals{}) {
			continue
		}
		carried++
		l.count("guavagauge_usage_carried_total")
		if err = l.add(ctx, record.Workspace, missing); err != nil && !errors.Is(err, ErrNotReplicated) {
			return carried, err
		}
	}
	return carried, nil
}

func (l *Ledger) deleteRecord(record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := recordKey{record.Window, record.Workspace}
	delete(l.records, key)
	for _, r := range l.replicators {
		delete(r.dirty, key)
	}
}
