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
	errNotTaken  = errors.ConstError("lease not taken")
	watchTimeout = 45 * time.Second // above the 30 s after which the service ends a watch
)

type (
	// candidate is a process that waits for the key to become free.
	candidate struct {
		client  store.Client
		options Options
		value   []byte
		nonce   uint64
		highest uint64 // highest version seen anywhere
		freed   uint64 // version of the last deletion seen
		retry   time.Duration
	}
)

// Acquire waits until the lease is taken or ctx ends. The lease is renewed
// until it is released or ctx ends. A waiting candidate costs two calls to the
// service per long poll, so only a few processes should wait for the same key.
func Acquire(ctx context.Context, client store.Client, options Options) (held *Lease, err error) {
	defer errors.DeferredAnnotatef(&err, "acquire lease %q", options.Key)
	c := &candidate{client: client, options: options.withDefaults(), nonce: rand.Uint64()}
	c.retry = c.options.InitialBackoff
	if c.value, err = json.Marshal(Holder{Holder: c.options.Holder, Nonce: c.nonce}); err != nil {
		return nil, err
	}
	for {
		if err = c.awaitFree(ctx); err == nil {
			if held, err = c.take(ctx); err == nil {
				c.options.Logger.Info("lease taken", "Key", c.options.Key, "Epoch", held.epoch)
				return held, nil
			}
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if c.options.NoWait && (errors.Is(err, ErrHeld) || store.Classify(err) == store.Conflict) {
			return nil, errors.WithType(err, ErrHeld)
		}
		c.options.Logger.Debug("lease not taken", "Key", c.options.Key, "Err", err)
		if err = sleep(ctx, c.retry/2+c.options.Jitter(c.retry)); err != nil {
			return nil, err
		}
		c.retry = min(2*c.retry, c.options.MaxBackoff)
	}
}

// awaitFree returns nil when nobody seems to hold the key. A read may be old,
// so an entry below the last deletion seen doesn't count.
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
		case entry.Version < c.freed:
			return nil
		}
		if c.options.NoWait {
			return ErrHeld
		}
		c.highest = max(c.highest, entry.Version)
		c.retry = c.options.InitialBackoff
		events, revision, err := c.watch(ctx, entry.Version)
		if err != nil {
			return err
		}
		c.highest = max(c.highest, revision)
		for _, event := range events {
			if event.Deleted && event.Entry.Key == c.options.Key {
				c.freed = event.Entry.Version
			}
		}
		if len(events) > 0 { // spreads the candidates, of whom one wins
			if err = sleep(ctx, c.options.Jitter(c.options.InitialBackoff)); err != nil {
				return err
			}
		}
	}
}

// take tries to write the key under a new lease of the service. Whatever is
// left behind by a failure goes when that lease is revoked or expires.
func (c *candidate) take(ctx context.Context) (held *Lease, err error) {
	granted := c.options.Clock.Now()
	var id store.LeaseID
	err = c.call(ctx, func(ctx context.Context) (err error) {
		id, err = c.client.Grant(ctx, c.options.TTL)
		return err
	})
	if err != nil {
		return nil, err
	}
	epoch, err := c.write(ctx, id)
	switch {
	case err == nil && epoch <= c.highest:
		err = errors.Annotatef(errNotTaken, "version %d of the service is below %d, which was seen before", epoch, c.highest)
	case err == nil:
		held = newHeld(ctx, c.client, c.options, id, epoch, granted)
		if err = held.Check(); err == nil {
			return held, nil
		}
		c.highest = max(c.highest, epoch)
		held.Release(ctx)
		return nil, err
	}
	c.call(context.WithoutCancel(ctx), func(ctx context.Context) error { return c.client.Revoke(ctx, id) })
	return nil, err
}

// write creates the key and returns its version. After an unknown outcome it
// writes again: that either succeeds, and the first write can't any more, or
// conflicts with the write that is then read back.
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
		return 0, errors.Annotatef(err, "not read back (%s)", readErr)
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
