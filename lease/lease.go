// Package lease grants an exclusive lease to one process at a time, on top of a
// key-value store with expiring keys. Each acquisition of a lease has a higher
// epoch, which serves as a fencing token.
//
// # Usage
//
//	held, err := lease.Acquire(ctx, client, lease.Options{Key: "lease/planner/mbeya-a", Holder: nodeID})
//	if err := held.AwaitPredecessor(ctx); err != nil { // until operations of the previous holder have ended
//		return err
//	}
//	err = held.Do(ctx, func(ctx context.Context) error { // fails if the lease may have ended
//		return sendOrder(ctx, order, held.Epoch())
//	})
//	held.Release(ctx)
//
// Run does this in a loop until its context ends. Lease.Context ends when the
// lease ends.
//
// # Guarantees
//
// The epochs of a key increase strictly, even after expired leases, restarts of
// the store, stale reads and lost responses: an epoch is the store-wide version
// of the write that created the key. If the client is a store.EraClient, that also
// holds when the store comes back from an older copy, since an epoch then begins
// with the store's era. A holder that learns of a new era loses its lease, and a new
// one waits in AwaitEarlierEra until the terms that others may still have from an
// earlier era have ended. The holder counts the TTL of its lease from
// before the renewal was sent, by the faster of its monotonic and its wall
// clock, and stops a safety margin before the store can free the key for another
// process. When the holder notices that its process was paused or its clock
// jumped, it suspends the lease until a renewal confirms it.
//
// A process that is paused between Check and the send of an operation can send
// it late. Receivers that compare epochs reject such an operation. For other
// receivers, AwaitPredecessor makes the next holder wait for operations that end
// within MaxOperationTime and the safety margin. A VM whose clocks both stand
// still while it is paused, and whose wall clock isn't corrected when it
// resumes, doesn't notice the pause until its next renewal.
//
// No other code may delete the key or revoke its store lease, because the holder
// would notice that only at its next renewal.
//
// # Failures of the store
//
// A candidate tries again, with a doubling backoff, until its context ends. A
// holder whose renewal fails keeps the lease and tries again after a quarter of
// the usual interval. If none succeeds until the safety margin before the end of
// the TTL, the lease is lost: Check returns ErrLost and Lease.Context ends.
// A panic of the store's client counts as a failed call.
// If the store fails during Release, the key may stay until the store lease
// expires.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/guard"
	"github.com/guavagauge/guavagauge/store"
)

// Reasons why a process doesn't hold a lease or may not use it.
const (
	// ErrLost means that the lease was not renewed in time or has expired in the
	// store.
	ErrLost = errors.ConstError("lease lost")
	// ErrReleased means that Release was called or that the context of Acquire
	// ended.
	ErrReleased = errors.ConstError("lease released")
	// ErrHeld means that another process holds the lease and Options.NoWait is
	// set.
	ErrHeld = errors.ConstError("lease held by another process")
	// ErrSuspended means that the process was paused or its clock jumped, and no
	// renewal has confirmed the lease since. The operation must be dropped; later
	// operations may succeed.
	ErrSuspended = errors.ConstError("lease suspended")

	errPanicked = errors.ConstError("call of the store's client panicked")
)

type (
	// Lease is a lease acquired by this process. It is safe for concurrent use.
	Lease struct {
		client     store.Client
		options    Options
		id         store.LeaseID
		era        store.EraView // in which the key was created
		epoch      uint64
		acquiredAt Reading       // when the key was known to be created
		eraAge     time.Duration // at that time
		ctx        context.Context
		cancel     context.CancelCauseFunc
		renewNow   chan struct{} // requests an immediate renewal
		done       chan struct{} // closed after the attempt to revoke the store lease

		mu          sync.Mutex
		renewedAt   Reading // read before the last successful renewal was sent
		ttl         time.Duration
		lastReading Reading // read by the last Check
		suspended   bool
		suspensions int // renew compares this to detect a suspension during its call
		endReason   error
		revokeErr   error
	}

	// Holder describes the holder of a lease, for operators. Epoch isn't part of
	// the stored value: it is the version of the store's entry.
	Holder struct {
		Holder string
		Epoch  uint64 `json:"-"`
		Nonce  uint64
	}
)

// Read returns the current holder of a lease, or store.ErrNotFound.
func Read(ctx context.Context, client store.Client, key string) (holder Holder, err error) {
	defer errors.DeferredAnnotatef(&err, "read lease %q", key)
	entry, err := client.Get(ctx, key)
	if err != nil {
		return Holder{}, err
	}
	err = json.Unmarshal(entry.Value, &holder)
	holder.Epoch = entry.Version
	return holder, err
}

// Run acquires the lease, waits until operations of the previous holder have
// ended, and calls work with a context that ends with the lease. It releases the
// lease when work returns, and repeats this until ctx ends. An error of work is
// logged.
func Run(ctx context.Context, client store.Client, options Options, work func(ctx context.Context, held *Lease) error) (err error) {
	options = options.withDefaults()
	for {
		held, err := Acquire(ctx, client, options)
		if err != nil {
			return err
		}
		if err = held.AwaitPredecessor(ctx); err == nil {
			err = work(held.Context(), held)
		}
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), options.CallTimeout)
		held.Release(releaseCtx)
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			options.Logger.Warn("work under lease failed", "Key", options.Key, "Epoch", held.epoch, "Err", err)
		}
		if err = sleep(ctx, options.InitialBackoff+options.Jitter(options.InitialBackoff)); err != nil {
			return err
		}
	}
}

// newLease returns a lease and starts the goroutines that renew it and check the
// clock and the store's era. grantSentAt was read before the store lease was requested.
func newLease(ctx context.Context, client store.Client, options Options, id store.LeaseID, era store.EraView, epoch uint64, grantSentAt Reading) *Lease {
	l := &Lease{
		client: client, options: options, id: id, era: era, epoch: epoch, acquiredAt: options.Clock.Now(),
		renewNow: make(chan struct{}, 1), done: make(chan struct{}),
		renewedAt: grantSentAt, ttl: options.TTL,
	}
	l.lastReading, l.eraAge = l.acquiredAt, time.Since(era.SeenAt)
	l.ctx, l.cancel = context.WithCancelCause(ctx)
	panics := guard.New(options.Logger, options.Metrics)
	panics.Loop(l.ctx, "lease check", func() {
		for l.ctx.Err() == nil {
			select {
			case <-time.After(l.nextCheck()):
			case <-l.era.Ended:
			case <-l.ctx.Done():
			}
			l.Check()
		}
	})
	go func() {
		defer close(l.done)
		for wait := l.options.renewDelay(); ; {
			select {
			case <-time.After(wait):
			case <-l.renewNow:
			case <-l.ctx.Done():
				if !panics.Run("lease revocation", l.revoke) {
					l.setRevokeError(errPanicked)
				}
				return
			}
			renewed := false
			panics.Run("lease renewal", func() { renewed = l.renew() }) // a panic is a failed attempt
			if wait = l.options.renewDelay(); !renewed {
				wait /= 4 // so that several attempts fit into the TTL
			}
		}
	}()
	return l
}

// Epoch returns the fencing token of the lease. It is higher than the epoch of
// every earlier holder of the key.
func (l *Lease) Epoch() uint64 { return l.epoch }

// Context returns a context that ends when the lease is lost or released, or
// when the context of Acquire ends. Its cause is the reason.
func (l *Lease) Context() context.Context { return l.ctx }

// Check returns nil if the lease is held and not suspended. It must be called
// immediately before an operation is sent.
func (l *Lease) Check() (err error) {
	// The clock is read before mu is locked, so a pause in between goes
	// unnoticed, as does a pause after Check.
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason == nil && l.ctx.Err() != nil {
		l.end(errors.WithType(context.Cause(l.ctx), ErrReleased))
	}
	if l.endReason != nil {
		return l.endReason
	}
	if era := store.CurrentEra(l.client).Era; era != l.era.Era {
		l.end(errors.WithType(errors.Errorf("acquired in era %d of the store, which is in era %d", l.era.Era, era), ErrLost))
		return l.endReason
	}
	if age := now.since(l.renewedAt); age >= l.ttl-l.options.safetyMargin() {
		l.end(errors.WithType(errors.Errorf("not renewed for %s", age), ErrLost))
		return l.endReason
	}
	gap, jump := now.Monotonic-l.lastReading.Monotonic, now.wallJump(l.lastReading)
	if gap >= 0 { // a concurrent Check may have read the clock later and locked mu earlier
		l.lastReading = now
	}
	switch {
	case gap > l.options.checkInterval()+l.options.PauseTolerance:
		l.suspend("pause", gap)
	case jump.Abs() > l.options.PauseTolerance:
		l.suspend("clock jump", jump)
	}
	if l.suspended {
		return ErrSuspended
	}
	return nil
}

// Do calls send if Check returns nil, with a context that ends with the lease or
// after Options.MaxOperationTime.
func (l *Lease) Do(ctx context.Context, send func(ctx context.Context) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.MaxOperationTime)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	if err := l.Check(); err != nil {
		return err
	}
	return send(ctx)
}

// AwaitPredecessor waits until operations that the previous holder sent under
// its lease have ended. That takes the safety margin plus
// Options.MaxOperationTime, counted from the acquisition of this lease by the
// monotonic clock, so that a jump of the wall clock doesn't shorten it, or from the
// end of AwaitEarlierEra less the safety margin. Afterwards the holder should read the
// state of what it controls.
func (l *Lease) AwaitPredecessor(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "wait for operations of the previous holder of lease %q", l.options.Key)
	margin := l.options.safetyMargin()
	return l.await(ctx, max(l.acquiredAt.Monotonic, l.earlierEraEnd()-margin)+margin+l.options.MaxOperationTime)
}

// AwaitEarlierEra waits until the leases have ended that other processes may still hold
// from an earlier era of the store: it may have lost their keys, and a process that
// doesn't reach it hasn't noticed. That takes the TTL, counted from when this process
// first saw the era.
func (l *Lease) AwaitEarlierEra(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "wait for holders of lease %q in an earlier era of the store", l.options.Key)
	return l.await(ctx, l.earlierEraEnd())
}

// earlierEraEnd returns the reading of the monotonic clock at which AwaitEarlierEra ends.
func (l *Lease) earlierEraEnd() (at time.Duration) {
	if l.era.Era == 0 {
		return 0
	}
	return l.acquiredAt.Monotonic - l.eraAge + l.options.TTL
}

// await waits until the monotonic clock has reached a reading and the lease isn't
// suspended.
func (l *Lease) await(ctx context.Context, until time.Duration) (err error) {
	for {
		wait := until - l.options.Clock.Now().Monotonic
		if wait <= 0 {
			if err = l.Check(); !errors.Is(err, ErrSuspended) {
				return err
			}
			wait = l.options.InitialBackoff
		}
		select {
		case <-time.After(wait):
		case <-l.ctx.Done():
			return context.Cause(l.ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Release ends the lease and lets another process acquire it. Operations under
// the lease should have ended before. Even after an error this process no longer
// holds the lease, but the store may keep the key until the lease expires.
func (l *Lease) Release(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "release lease %q", l.options.Key)
	l.mu.Lock()
	l.end(ErrReleased)
	l.mu.Unlock()
	select {
	case <-l.done:
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.revokeErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// renew renews the store lease. It reports false if it failed and should be
// retried soon, and true if the lease has ended. The TTL counts from before the
// call, since the response may be late. Only a renewal that began after the
// latest suspension ends the suspension.
func (l *Lease) renew() (ok bool) {
	start := l.options.Clock.Now()
	l.mu.Lock()
	suspensions := l.suspensions
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, l.options.CallTimeout)
	defer cancel()
	ttl, err := l.client.KeepAlive(ctx, l.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.endReason != nil:
		return true
	case errors.Is(err, store.ErrLeaseExpired):
		l.end(errors.WithType(err, ErrLost))
		return true
	case err != nil:
		l.options.Logger.Warn("lease not renewed", "Key", l.options.Key, "Epoch", l.epoch, "Err", err)
		return false
	}
	l.renewedAt, l.ttl = start, ttl
	if l.suspended && l.suspensions == suspensions {
		l.suspended = false
	}
	return true
}

// revoke revokes the store lease, which deletes the key. It runs whenever the
// lease ends, so that a successor needn't wait until the store lease expires. In
// another era the ID may be that of another process's lease.
func (l *Lease) revoke() {
	if store.CurrentEra(l.client).Era != l.era.Era {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), l.options.CallTimeout)
	defer cancel()
	if err := l.client.Revoke(ctx, l.id); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		l.setRevokeError(err)
	}
}

// setRevokeError sets the error that Release returns.
func (l *Lease) setRevokeError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revokeErr = err
}

// nextCheck returns the time until the next check of the clock: one check
// interval, which detects pauses, or less if the lease ends earlier.
func (l *Lease) nextCheck() time.Duration {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, min(l.options.checkInterval(), l.ttl-l.options.safetyMargin()-now.since(l.renewedAt)))
}

// suspend suspends the lease until a renewal that is sent afterwards succeeds,
// and requests one. The caller holds mu.
func (l *Lease) suspend(reason string, size time.Duration) {
	l.suspended = true
	l.suspensions++
	l.options.count("suspended", reason)
	l.options.Logger.Warn("lease suspended", "Key", l.options.Key, "Epoch", l.epoch, "Reason", reason, "Size", size)
	select {
	case l.renewNow <- struct{}{}:
	default:
	}
}

// end ends the lease. Only the first call sets the reason. The caller holds mu.
func (l *Lease) end(reason error) {
	if l.endReason != nil {
		return
	}
	l.endReason = reason
	l.cancel(reason)
	if errors.Is(reason, ErrLost) {
		l.options.count("lost", "")
		l.options.Logger.Warn("lease lost", "Key", l.options.Key, "Epoch", l.epoch, "Err", reason)
	}
}
