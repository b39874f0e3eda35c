package usage

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

// Settle compares this node's figures of past windows with what was frozen, and
// carries what a window missed into the present one. It returns how many
// workspaces' figures were carried. It is called now and then, with jitter.
func (l *Ledger) Settle(ctx context.Context, client store.Client, shards int) (carried int, err error) {
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

func (l *Ledger) settle(ctx context.Context, p past, shards int, frozen *Frozen) (carried int, err error) {
	self := l.options.Source.String()
	complete := slices.Contains(frozen.Complete, self)
	included := make(map[string]Totals)
	for _, cell := range frozen.Partial[self] {
		included[cell.Workspace] = cell.Totals
	}
	for _, cell := range l.cellsOf(p.window, p.shard, shards) {
		missed := cell.Totals.Minus(included[cell.Workspace])
		l.forget(cell)
		if complete || missed == (Totals{}) {
			continue
		}
		carried++
		l.count("guavagauge_usage_carried_total")
		if err = l.add(ctx, cell.Workspace, missed); err != nil && !errors.Is(err, ErrNotHeld) {
			return carried, err
		}
	}
	return carried, nil
}

func (l *Ledger) forget(cell Cell) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := cellKey{cell.Window, cell.Workspace}
	delete(l.cells, key)
	for _, k := range l.links {
		delete(k.dirty, key)
	}
}
