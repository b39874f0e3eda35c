package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

const (
	errNotAcquired = errors.ConstError("lease not acquired")
	watchTimeout   = 45 * time.Second // above the 30 s after which the store ends a watch
)

type (
	// candidate is a process that waits for the key to become free.
	candidate struct {
		client         store.Client
		options        Options
		value          []byte
		nonce          uint64
		era            uint64 // of the store, to which the versions below belong
		highestVersion uint64 // highest version or revision seen in any response; that of the key must be above it
		deletedVersion uint64 // version of the last deletion of the key seen; a read of an older entry is stale
		backoff        time.Duration
	}
)

// Acquire waits until this process holds the lease or ctx ends. The lease is
// renewed until it is released or ctx ends. A waiting candidate makes two calls
// to the store per long poll, so only a few processes should wait for the same
// key.
func Acquire(ctx context.Context, client store.Client, options Options) (held *Lease, err error) {
	defer errors.DeferredAnnotatef(&err, "acquire lease %q", options.Key)
	c := &candidate{client: client, options: options.withDefaults(), nonce: rand.Uint64()}
	c.backoff = c.options.InitialBackoff
	if c.value, err = json.Marshal(Holder{Holder: c.options.Holder, Nonce: c.nonce}); err != nil {
		return nil, err
	}
	for {
		if err = c.awaitFree(ctx); err == nil {
			if held, err = c.tryAcquire(ctx); err == nil {
				c.options.Logger.Info("lease acquired", "Key", c.options.Key, "Epoch", held.epoch)
				return held, nil
			}
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if c.options.NoWait && (errors.Is(err, ErrHeld) || store.Classify(err) == store.Conflict) {
			return nil, errors.WithType(err, ErrHeld)
		}
		c.options.Logger.Debug("lease not acquired", "Key", c.options.Key, "Err", err)
		if err = sleep(ctx, c.backoff/2+c.options.Jitter(c.backoff)); err != nil {
			return nil, err
		}
		c.backoff = min(2*c.backoff, c.options.MaxBackoff)
	}
}

// awaitFree returns nil when the key seems to be free. Reads may be stale, so an
// entry that is older than the last deletion seen is ignored.
func (c *candidate) awaitFree(ctx context.Context) (err error) {
	for {
		var entry store.Entry
		err = c.call(ctx, func(ctx context.Context) (err error) {
			entry, err = c.client.Get(ctx, c.options.Key)
			return err
		})
		switch {
		case errors.Is(err, store.ErrNotFound):
			return nil
		case err != nil:
			return err
		}
		c.followEra()
		switch {
		case entry.Version < c.deletedVersion:
			return nil
		case c.options.NoWait:
			return ErrHeld
		}
		c.highestVersion = max(c.highestVersion, entry.Version)
		c.backoff = c.options.InitialBackoff // the store has answered
		events, revision, err := c.watch(ctx, entry.Version)
		if err != nil {
			return err
		}
		c.followEra()
		c.highestVersion = max(c.highestVersion, revision)
		for _, event := range events {
			if event.Deleted && event.Entry.Key == c.options.Key {
				c.deletedVersion = event.Entry.Version
			}
		}
		if len(events) > 0 { // spreads the attempts of the candidates, of which one succeeds
			if err = sleep(ctx, c.options.Jitter(c.options.InitialBackoff)); err != nil {
				return err
			}
		}
	}
}

// followEra forgets the versions of an earlier era, which are given out again.
func (c *candidate) followEra() {
	if era := store.CurrentEra(c.client).Era; era != c.era {
		c.era, c.highestVersion, c.deletedVersion = era, 0, 0
	}
}

// tryAcquire tries to create the key under a new store lease. If it fails after
// the key was created, the key is deleted when that lease is revoked or expires.
// It rejects an epoch that isn't above all versions seen, which a store returns
// only if its revision has gone back, and one that was created across eras.
func (c *candidate) tryAcquire(ctx context.Context) (held *Lease, err error) {
	c.followEra()
	era, grantSentAt := store.CurrentEra(c.client), c.options.Clock.Now()
	var id store.LeaseID
	err = c.call(ctx, func(ctx context.Context) (err error) {
		id, err = c.client.Grant(ctx, c.options.TTL)
		return err
	})
	if err != nil {
		return nil, err
	}
	version, err := c.write(ctx, id)
	var epoch uint64
	if err == nil {
		epoch, err = store.Position{Era: era.Era, Revision: version}.Token()
	}
	switch current := store.CurrentEra(c.client).Era; {
	case current != era.Era:
		// The ID of the store lease may be that of another process now, so it isn't revoked.
		return nil, errors.Annotatef(errNotAcquired, "the store came back from an older copy, in era %d", current)
	case err == nil && version <= c.highestVersion:
		err = errors.Annotatef(errNotAcquired, "key was created at version %d, but the store had reached version %d before", version, c.highestVersion)
	case err == nil:
		held = newLease(ctx, c.client, c.options, id, era, epoch, grantSentAt)
		if err = held.Check(); err == nil {
			return held, nil
		}
		c.highestVersion = max(c.highestVersion, version)
		held.Release(ctx)
		return nil, err
	}
	c.call(context.WithoutCancel(ctx), func(ctx context.Context) error { return c.client.Revoke(ctx, id) })
	return nil, err
}

// write creates the key, which must not exist, and returns its version. After an
// unknown outcome it writes again: either that succeeds, and the first write
// can't be applied any more, or it conflicts with the first write, which is then
// read back.
func (c *candidate) write(ctx context.Context, id store.LeaseID) (version uint64, err error) {
	for range 3 {
		err = c.call(ctx, func(ctx context.Context) (err error) {
			version, err = c.client.Put(ctx, store.PutRequest{Key: c.options.Key, Value: c.value, Lease: id})
			return err
		})
		if store.Classify(err) != store.UnknownOutcome {
			break
		}
	}
	if !errors.Is(err, store.ErrConflict) {
		return version, err
	}
	var entry store.Entry
	readErr := c.call(ctx, func(ctx context.Context) (err error) {
		entry, err = c.client.Get(ctx, c.options.Key)
		return err
	})
	if readErr != nil {
		return 0, errors.Annotatef(err, "can't read back key (%s)", readErr)
	}
	var holder Holder
	if json.Unmarshal(entry.Value, &holder) == nil && entry.Lease == id && holder.Nonce == c.nonce {
		return entry.Version, nil
	}
	return 0, err
}

func (c *candidate) watch(ctx context.Context, after uint64) (events []store.Event, revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.client.Watch(ctx, store.WatchRequest{Prefix: c.options.Key, After: after})
}

func (c *candidate) call(ctx context.Context, do func(ctx context.Context) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return do(ctx)
}
