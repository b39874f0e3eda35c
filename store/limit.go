package store

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

const (
	defaultPerSecond    = 10
	defaultBurst        = 20
	defaultTimeout      = 2 * time.Second
	defaultWatchTimeout = 45 * time.Second // above the 30 s after which the service ends a watch
	// backgroundWait is how long a background call waits for the rate limit. A
	// process that has used up a burst of 10 s is back at the reserve after half of
	// that time.
	backgroundWait = 30 * time.Second
	// minBackgroundDelay keeps a background call from polling the limiter when a
	// token is missing by a rounding error.
	minBackgroundDelay = time.Millisecond
)

type (
	// LimitOptions are options of Limit. Zero fields have defaults.
	LimitOptions struct {
		// PerSecond is the sustained rate of calls, 10 by default. It bounds
		// this process's part of the rate that the service allows.
		PerSecond float64
		// Burst is the number of calls that may be made at once after a pause, 20
		// by default.
		Burst int
		// Timeout is the timeout of each call other than Watch, 2 s by default. A
		// write that exceeds it may still be applied.
		Timeout time.Duration
		// WatchTimeout is the timeout of Watch, 45 s by default.
		WatchTimeout time.Duration
		// Metrics is the set in which calls are counted. Nil means a new set.
		Metrics *metrics.Set
	}

	// Limited is a Client that limits its calls per second. Use Limit to create
	// one.
	Limited struct {
		client  Client
		options LimitOptions
		limiter *rate.Limiter
		// turn is nil unless the calls are in the background. It is full while one
		// of them takes a token, so that the others wait in order of their arrival.
		turn chan struct{}
	}
)

var _ Client = (*Limited)(nil)

// Limit returns a client that wraps another one. It rejects calls above the rate
// limit with ErrRateLimited, adds a timeout to each call, and counts the calls by
// kind and outcome in the metric guavagauge_store_calls_total.
//
// KeepAlive and Revoke count against the rate limit but are never rejected, so
// that a process with many other calls doesn't lose its leases. A Watch counts as
// one call, however long it waits.
func Limit(client Client, options LimitOptions) *Limited {
	if options.PerSecond == 0 {
		options.PerSecond = defaultPerSecond
	}
	if options.Burst == 0 {
		options.Burst = defaultBurst
	}
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.WatchTimeout == 0 {
		options.WatchTimeout = defaultWatchTimeout
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	return &Limited{
		client: client, options: options,
		limiter: rate.NewLimiter(rate.Limit(options.PerSecond), options.Burst),
	}
}

// Background returns a client for work that no request waits for, such as usage
// reports that catch up after an outage. It shares the rate limit of l, so that
// the rate of the process as a whole stays the same, but leaves half of the burst
// to the calls of l: a call waits for up to 30 s until more is left, and is then
// rejected with ErrRateLimited. While the calls of l use up the rate, background
// calls make no progress. KeepAlive and Revoke don't wait.
func (l *Limited) Background() *Limited {
	background := *l
	background.turn = make(chan struct{}, 1)
	return &background
}

// Get implements Client.
func (l *Limited) Get(ctx context.Context, key string) (entry Entry, err error) {
	err = l.call(ctx, "Get", func(ctx context.Context) (err error) {
		entry, err = l.client.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements Client.
func (l *Limited) List(ctx context.Context, prefix string) (entries []Entry, err error) {
	err = l.call(ctx, "List", func(ctx context.Context) (err error) {
		entries, err = l.client.List(ctx, prefix)
		return err
	})
	return entries, err
}

// Put implements Client.
func (l *Limited) Put(ctx context.Context, request PutRequest) (version uint64, err error) {
	err = l.call(ctx, "Put", func(ctx context.Context) (err error) {
		version, err = l.client.Put(ctx, request)
		return err
	})
	return version, err
}

// Delete implements Client.
func (l *Limited) Delete(ctx context.Context, key string, ifVersion uint64) (err error) {
	return l.call(ctx, "Delete", func(ctx context.Context) error { return l.client.Delete(ctx, key, ifVersion) })
}

// Grant implements Client.
func (l *Limited) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	err = l.call(ctx, "Grant", func(ctx context.Context) (err error) {
		id, err = l.client.Grant(ctx, ttl)
		return err
	})
	return id, err
}

// KeepAlive implements Client.
func (l *Limited) KeepAlive(ctx context.Context, id LeaseID) (ttl time.Duration, err error) {
	err = l.call(ctx, "KeepAlive", func(ctx context.Context) (err error) {
		ttl, err = l.client.KeepAlive(ctx, id)
		return err
	})
	return ttl, err
}

// Revoke implements Client.
func (l *Limited) Revoke(ctx context.Context, id LeaseID) (err error) {
	return l.call(ctx, "Revoke", func(ctx context.Context) error { return l.client.Revoke(ctx, id) })
}

// Watch implements Client.
func (l *Limited) Watch(ctx context.Context, request WatchRequest) (events []Event, revision uint64, err error) {
	err = l.call(ctx, "Watch", func(ctx context.Context) (err error) {
		events, revision, err = l.client.Watch(ctx, request)
		return err
	})
	return events, revision, err
}

func (l *Limited) call(ctx context.Context, kind string, do func(ctx context.Context) error) (err error) {
	defer func() {
		l.options.Metrics.GetOrCreateCounter(fmt.Sprintf(
			"guavagauge_store_calls_total{kind=%q,outcome=%q}", kind, ErrorName(err))).Inc()
	}()
	timeout := l.options.Timeout
	switch kind {
	case "KeepAlive", "Revoke":
		l.limiter.Reserve() // may use up tokens in advance, so that later calls are rejected
	case "Watch":
		timeout = l.options.WatchTimeout
		fallthrough
	default:
		if err = l.take(ctx); err != nil {
			return errors.Annotatef(err, "%s exceeds %g calls per second", kind, l.options.PerSecond)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx)
}

// take takes a token of the rate limit for a call. A background call waits for one.
func (l *Limited) take(ctx context.Context) (err error) {
	if l.turn == nil {
		if !l.limiter.Allow() {
			return ErrRateLimited
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, backgroundWait)
	defer cancel()
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return errors.WithType(ctx.Err(), ErrRateLimited)
	}
	reserve := float64(l.options.Burst / 2)
	for {
		missing := reserve + 1 - l.limiter.Tokens()
		if missing <= 0 && l.limiter.Allow() {
			return nil
		}
		delay := time.Duration(missing / l.options.PerSecond * float64(time.Second))
		select {
		case <-time.After(max(delay, minBackgroundDelay)):
		case <-ctx.Done():
			return errors.WithType(ctx.Err(), ErrRateLimited)
		}
	}
}
