package distribution

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

const (
	// confirmTimeout is the timeout of a read of the head. A slower read is
	// reported as a failure to reach the store, because confirmations would be
	// too old by the time they reach the nodes.
	confirmTimeout     = time.Second
	readChangesTimeout = 10 * time.Second
	watchRetryDelay    = time.Second // mean delay after a failed watch
)

// updateRole makes this node a reader, which watches and confirms the head, or
// stops it from being one.
func (f *Follower) updateRole(reader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case reader && f.stopReader == nil:
		ctx, cancel := context.WithCancel(f.ctx)
		f.stopReader = cancel
		go f.watch(ctx)
		go f.confirmPeriodically(ctx)
	case !reader && f.stopReader != nil:
		f.stopReader()
		f.stopReader = nil
	}
}

// confirmPeriodically reads the head at short intervals to confirm that the
// document is the newest. A pending watch doesn't prove that nothing has changed.
func (f *Follower) confirmPeriodically(ctx context.Context) {
	for {
		f.readHead(ctx)
		if !f.sleep(ctx, f.options.ConfirmInterval*9/10+rand.N(f.options.ConfirmInterval/5)) {
			return
		}
	}
}

// readHead reads the head and catches up to it. It returns the version of the
// head's key, which is the store revision of its last write, so a watch can
// continue from it.
func (f *Follower) readHead(ctx context.Context) (version uint64, err error) {
	sent := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	h, version, err := f.options.Repository.head(readCtx)
	cancel()
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	f.recordReport(f.options.Self.Name, sent, err == nil)
	if err != nil {
		return 0, err
	}
	if f.catchUp(ctx, h) {
		f.confirm(h.Revision, sent)
	}
	return version, nil
}

// watch catches up to each change of the head as soon as it happens, using one
// long-polling call at a time. It continues from a store revision, which is
// unrelated to the document's revision. If the store has compacted that revision,
// it reads the head again.
func (f *Follower) watch(ctx context.Context) {
	var after uint64
	haveVersion := false
	for ctx.Err() == nil {
		var err error
		if !haveVersion {
			after, err = f.readHead(ctx)
			haveVersion = err == nil
		} else {
			after, err = f.watchOnce(ctx, after)
			haveVersion = !errors.Is(err, store.ErrCompacted)
		}
		if err != nil && !f.sleep(ctx, watchRetryDelay/2+rand.N(watchRetryDelay)) {
			return
		}
	}
}

// watchOnce waits for changes of the head after a store revision, and catches up
// to the newest. It returns the store revision to continue from.
func (f *Follower) watchOnce(ctx context.Context, after uint64) (next uint64, err error) {
	key := f.options.Repository.headKey()
	events, storeRevision, err := f.options.Repository.options.Client.Watch(ctx, store.WatchRequest{Prefix: key, After: after})
	if err != nil {
		return after, err
	}
	var newest head
	for _, event := range events {
		var h head
		if event.Entry.Key != key || event.Deleted {
			continue
		}
		if err := json.Unmarshal(event.Entry.Value, &h); err != nil {
			return storeRevision, errors.Annotate(err, key)
		}
		if h.Revision > newest.Revision {
			newest = h
		}
	}
	f.catchUp(ctx, newest)
	return max(storeRevision, after), nil
}

// catchUp reads the changes up to the head's revision from the store and makes
// that the current document. It reports whether the current document then has
// the head's revision. It doesn't if the head is older, or if the revision was
// rejected or can't be read. A stale read that returns the current document's
// revision is not detected.
func (f *Follower) catchUp(ctx context.Context, h head) (ok bool) {
	select {
	case f.fetchLock <- struct{}{}:
		defer func() { <-f.fetchLock }()
	case <-ctx.Done():
		return false
	}
	current := f.document.Load()
	if h.Revision <= current.Revision {
		if h.Revision < current.Revision {
			f.staleReads.Inc()
		}
		return h.Revision == current.Revision
	}
	f.mu.Lock()
	rejected := h.Revision <= f.rejectedRevision
	f.mu.Unlock()
	if rejected {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readChangesTimeout)
	defer cancel()
	next, deltas, err := f.options.Repository.changesSince(ctx, h, current)
	if err != nil {
		f.options.Logger.Warn("cannot read changes from the store", "Revision", h.Revision, "Error", err)
		return false
	}
	if len(deltas) == 0 {
		f.fullDocuments.Inc()
	}
	f.advanceMu.Lock()
	defer f.advanceMu.Unlock()
	f.advance(next, deltas)
	return f.document.Load().Revision == h.Revision
}
