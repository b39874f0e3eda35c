package usage

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

// Reconcile compares this node's figures of past windows with what was frozen,
// and carries what a window missed into the present one. It returns how many
// workspaces' figures were carried. It is called now and then, with jitter.
func (l *Ledger) Reconcile(ctx context.Context, client store.Client, shards int) (carried int, err error) {
	for _, past := range l.pastWindows(shards) {
		frozen, err := readFrozen(ctx, client, frozenKey(past.shard, past.window))
		if errors.Is(err, store.ErrNotFound) {
			continue // not closed yet
		}
		if err != nil {
			return carried, err
		}
		n, err := l.settle(ctx, past, shards, frozen)
		carried += n
		if err != nil {
			return carried, err
		}
	}
	return carried, nil
}

// past is a window and shard in which this node has figures.
type past struct {
	window int64
	shard  int
}

func (l *Ledger) pastWindows(shards int) (list []past) {
	present := windowStart(time.Now(), l.options.Window)
	seen := make(map[past]bool)
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.cells {
		p := past{key.window, shardOf(key.workspace, shards)}
		if key.window < present && !seen[p] {
			seen[p] = true
			list = append(list, p)
		}
	}
	return list
}

func (l *Ledger) settle(ctx context.Context, p past, shards int, frozen *FrozenWindow) (carried int, err error) {
	self := l.options.Source.String()
	complete := slices.Contains(frozen.Complete, self)
	included := make(map[string]Totals)
	for _, record := range frozen.Partial[self] {
		included[record.Workspace] = record.Totals
	}
	for _, record := range l.cellsOf(p.window, p.shard, shards) {
		missed := record.Totals.Minus(included[record.Workspace])
		l.forget(record)
		if complete || missed == (Totals{}) {
			continue
		}
		carried++
		l.count("guavagauge_usage_carried_total")
		if err = l.add(ctx, record.Workspace, missed); err != nil && !errors.Is(err, ErrNotReplicated) {
			return carried, err
		}
	}
	return carried, nil
}

func (l *Ledger) forget(record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := cellKey{record.Window, record.Workspace}
	delete(l.cells, key)
	for _, k := range l.links {
		delete(k.dirty, key)
	}
}
