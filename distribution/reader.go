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
	// confirmTimeout bounds a read of the head. A store that takes longer is as
	// good as down, since the nodes' documents would no longer count as fresh.
	confirmTimeout = time.Second
	changeTimeout  = 10 * time.Second
	watchRetry     = time.Second // on average, after a failed watch
)

// updateRole starts or stops this node's work as a reader.
func (f *Follower) updateRole(reader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case reader && f.readerStop == nil:
		ctx, cancel := context.WithCancel(f.ctx)
		f.readerStop = cancel
		go f.watch(ctx)
		go f.confirmAlways(ctx)
	case !reader && f.readerStop != nil:
		f.readerStop()
		f.readerStop = nil
	}
}

// confirmAlways reads the head at short intervals, because a waiting watch says
// nothing about the present.
func (f *Follower) confirmAlways(ctx context.Context) {
	for {
		f.readHead(ctx)
		if !f.sleep(ctx, f.options.ConfirmInterval*9/10+rand.N(f.options.ConfirmInterval/5)) {
			return
		}
	}
}

// readHead reads the head once. It returns the head's version in the store.
func (f *Follower) readHead(ctx context.Context) (version uint64, err error) {
	sent := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	h, version, err := f.options.Repository.head(readCtx)
	cancel()
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	f.note(f.options.Self.Name, sent, err == nil)
	if err != nil {
		return 0, err
	}
	if f.follow(ctx, h) {
		f.confirm(h.Revision, sent)
	}
	return version, nil
}

// watch follows changes of the head as they happen, with one waiting call.
func (f *Follower) watch(ctx context.Context) {
	var after uint64
	known := false
	for ctx.Err() == nil {
		var err error
		if !known {
			after, err = f.readHead(ctx)
			known = err == nil
		} else {
			after, err = f.watchOnce(ctx, after)
			known = !errors.Is(err, store.ErrCompacted)
		}
		if err != nil && !f.sleep(ctx, watchRetry/2+rand.N(watchRetry)) {
			return
		}
	}
}

func (f *Follower) watchOnce(ctx context.Context, after uint64) (next uint64, err error) {
	key := f.options.Repository.headKey()
	events, revision, err := f.options.Repository.options.Client.Watch(ctx, store.WatchRequest{Prefix: key, After: after})
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
			return revision, errors.Annotate(err, key)
		}
		if h.Revision > newest.Revision {
			newest = h
		}
	}
	f.follow(ctx, newest)
	return max(revision, after), nil
}

// follow moves to the revision of a head. It returns true if that revision is
// in force afterwards, and false if the head is older than this node's document
// or can't be followed now.
func (f *Follower) follow(ctx context.Context, h head) (ok bool) {
	select {
	case f.fetching <- struct{}{}:
		defer func() { <-f.fetching }()
	case <-ctx.Done():
		return false
	}
	current := f.document.Load()
	if h.Revision <= current.Revision {
		if h.Revision < current.Revision {
			f.stale.Inc()
		}
		return h.Revision == current.Revision
	}
	f.mu.Lock()
	rejected := h.Revision <= f.rejected
	f.mu.Unlock()
	if rejected {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	next, deltas, err := f.options.Repository.since(ctx, h, current)
	if err != nil {
		f.options.Logger.Warn("cannot read a change", "Revision", h.Revision, "Error", err)
		return false
	}
	if len(deltas) == 0 {
		f.whole.Inc()
	}
	f.advancing.Lock()
	defer f.advancing.Unlock()
	f.advance(next, deltas)
	return f.document.Load().Revision == h.Revision
}
