// Package lease gives one process at a time the authority to do something, on
// top of a key-value service with expiring keys. Each time the authority is
// taken it has a higher epoch, which serves as a fencing token.
//
// # Usage
//
//	held, err := lease.Acquire(ctx, client, lease.Options{Key: "lease/planner/mbeya-a", Holder: nodeID})
//	if err := held.AwaitPredecessor(ctx); err != nil { // operations of the previous holder end
//		return err
//	}
//	err = held.Do(ctx, func(ctx context.Context) error { // refused once the authority is in doubt
//		return sendOrder(ctx, order, held.Epoch())
//	})
//	held.Release(ctx)
//
// Run does this in a loop for as long as its context lives. Lease.Context ends
// when the authority does.
//
// # Guarantees
//
// Epochs increase strictly over holders, expiry, restarts of the service, old
// reads and lost answers: an epoch is the store-wide version of the write that
// took the key. The holder counts the life of its lease from before the renewal
// was sent, by the faster of its monotonic and its wall clock, and stops a
// margin before the service can give the key to another. A pause or a clock
// jump that is noticed suspends the authority until a renewal confirms it.
//
// A process that is paused between Check and its send can send late. Targets
// that compare epochs reject that; for others the successor's AwaitPredecessor
// covers operations that end within the longest operation and the margin. A VM
// whose clocks both stand still while it is paused, and whose wall clock isn't
// corrected on resumption, notices nothing until its next renewal.
//
// Nothing else may delete the key or revoke its lease: the holder would learn
// of that only from its next renewal.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

// Reasons for which a lease gives no authority.
const (
	// ErrLost means that the lease ran out or the service dropped it.
	ErrLost = errors.ConstError("lease lost")
	// ErrReleased means that the holder gave the lease up.
	ErrReleased = errors.ConstError("lease released")
	// ErrHeld means that another process has the lease, and Options.NoWait is set.
	ErrHeld = errors.ConstError("lease held by another")
	// ErrSuspended means that the process was paused or its clock jumped, and no
	// renewal has confirmed the lease since. The operation must be dropped; later
	// ones may pass.
	ErrSuspended = errors.ConstError("lease suspended")
)

type (
	// Lease is the authority that Acquire took.
	Lease struct {
		client  store.Client
		options Options
		id      store.LeaseID
		epoch   uint64
		taken   Reading // when the key was known to be taken
		ctx     context.Context
		cancel  context.CancelCauseFunc
		kick    chan struct{} // asks for a renewal at once
		done    chan struct{} // closed after the lease was revoked

		mu          sync.Mutex
		renewed     Reading // before the last successful renewal was sent
		ttl         time.Duration
		observed    Reading // the last look at the clock
		suspended   bool
		suspensions int
		lost        error
		revokeErr   error
	}

	// Holder is what the service stores about a lease, for operators.
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

// Run takes the lease, waits until it is settled, and calls work with a context
// that ends with the authority. It releases the lease when work returns and
// starts again, until ctx ends. An error of work is logged.
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
		release, cancel := context.WithTimeout(context.WithoutCancel(ctx), options.CallTimeout)
		held.Release(release)
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			options.Logger.Warn("work under a lease ended", "Key", options.Key, "Epoch", held.epoch, "Err", err)
		}
		if err = sleep(ctx, options.InitialBackoff+options.Jitter(options.InitialBackoff)); err != nil {
			return err
		}
	}
}

// newHeld starts the goroutines that renew the lease and watch the clock.
func newHeld(ctx context.Context, client store.Client, options Options, id store.LeaseID, epoch uint64, granted Reading) *Lease {
	h := &Lease{
		client: client, options: options, id: id, epoch: epoch, taken: options.Clock.Now(),
		kick: make(chan struct{}, 1), done: make(chan struct{}),
		renewed: granted, ttl: options.TTL,
	}
	h.observed = h.taken
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	go func() {
		for h.ctx.Err() == nil {
			select {
			case <-time.After(h.nextLook()):
			case <-h.ctx.Done():
			}
			h.Check()
		}
	}()
	go func() {
		defer close(h.done)
		for wait := h.options.renewWait(); ; {
			select {
			case <-time.After(wait):
			case <-h.kick:
			case <-h.ctx.Done():
				h.revoke()
				return
			}
			if wait = h.options.renewWait(); !h.renew() {
				wait /= 4 // several attempts fit into the life of the lease
			}
		}
	}()
	return h
}

// Epoch returns the fencing token: strictly higher than that of every earlier
// holder of the key.
func (h *Lease) Epoch() uint64 { return h.epoch }

// Context ends when the authority is lost or released, or when the context of
// Acquire ends. Its cause is the reason.
func (h *Lease) Context() context.Context { return h.ctx }

// Check returns nil when the authority holds now. It is called immediately
// before each send.
func (h *Lease) Check() (err error) {
	// The clock is read before the lock is taken: a process paused in between
	// evaluates an old reading, as one that is paused after Check.
	now := h.options.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost == nil && h.ctx.Err() != nil {
		h.lose(errors.WithType(context.Cause(h.ctx), ErrReleased))
	}
	if h.lost != nil {
		return h.lost
	}
	if age := now.since(h.renewed); age >= h.ttl-h.options.margin() {
		h.lose(errors.WithType(errors.Errorf("not renewed for %s", age), ErrLost))
		return h.lost
	}
	silence, drift := now.Monotonic-h.observed.Monotonic, now.drift(h.observed)
	if silence >= 0 {
		h.observed = now
	}
	switch {
	case silence > h.options.lookEvery()+h.options.PauseTolerance:
		h.suspend("pause", silence)
	case drift.Abs() > h.options.PauseTolerance:
		h.suspend("clock jump", drift)
	}
	if h.suspended {
		return ErrSuspended
	}
	return nil
}

// Do calls send if Check passes, with a context that ends with the authority
// or after the longest operation.
func (h *Lease) Do(ctx context.Context, send func(ctx context.Context) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, h.options.MaxOperationTime)
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	if err := h.Check(); err != nil {
		return err
	}
	return send(ctx)
}

// AwaitPredecessor waits until operations that the previous holder sent under
// its authority have ended: the margin and the longest operation, counted from
// when the lease was taken. The holder then reads the state of what it
// controls.
func (h *Lease) AwaitPredecessor(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "settle lease %q", h.options.Key)
	for {
		elapsed := h.options.Clock.Now().Monotonic - h.taken.Monotonic
		wait := h.options.margin() + h.options.MaxOperationTime - elapsed
		if wait <= 0 {
			if err = h.Check(); !errors.Is(err, ErrSuspended) {
				return err
			}
			wait = h.options.InitialBackoff
		}
		select {
		case <-time.After(wait):
		case <-h.ctx.Done():
			return context.Cause(h.ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Release gives the authority up and lets the next holder take it. Operations
// under it should have ended. An error means that the service may keep the key
// until the lease expires; the authority is gone in any case.
func (h *Lease) Release(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "release lease %q", h.options.Key)
	h.mu.Lock()
	h.lose(ErrReleased)
	h.mu.Unlock()
	select {
	case <-h.done:
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.revokeErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// renew keeps the lease alive and returns whether that succeeded. The life of
// the lease counts from before the call, since the answer may be late.
func (h *Lease) renew() (ok bool) {
	start := h.options.Clock.Now()
	h.mu.Lock()
	suspensions := h.suspensions
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, h.options.CallTimeout)
	defer cancel()
	ttl, err := h.client.KeepAlive(ctx, h.id)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.lost != nil:
		return true
	case errors.Is(err, store.ErrLeaseExpired):
		h.lose(errors.WithType(err, ErrLost))
		return true
	case err != nil:
		h.options.Logger.Warn("lease not renewed", "Key", h.options.Key, "Epoch", h.epoch, "Err", err)
		return false
	}
	h.renewed, h.ttl = start, ttl
	if h.suspended && h.suspensions == suspensions {
		h.suspended = false
	}
	return true
}

// revoke gives the key back. It runs after every end of the authority, so that
// a successor needn't wait for the expiry.
func (h *Lease) revoke() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(h.ctx), h.options.CallTimeout)
	defer cancel()
	err := h.client.Revoke(ctx, h.id)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		h.revokeErr = err
	}
}

// nextLook returns the time until the clock must be looked at: soon enough to
// notice pauses, and exactly when the lease runs out.
func (h *Lease) nextLook() time.Duration {
	now := h.options.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, min(h.options.lookEvery(), h.ttl-h.options.margin()-now.since(h.renewed)))
}

// suspend is called with mu held.
func (h *Lease) suspend(reason string, size time.Duration) {
	h.suspended = true
	h.suspensions++
	h.options.count("suspended", reason)
	h.options.Logger.Warn("lease suspended", "Key", h.options.Key, "Epoch", h.epoch, "Reason", reason, "Size", size)
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// lose is called with mu held. The first reason stays.
func (h *Lease) lose(reason error) {
	if h.lost != nil {
		return
	}
	h.lost = reason
	h.cancel(reason)
	if errors.Is(reason, ErrLost) {
		h.options.count("lost", "")
		h.options.Logger.Warn("lease lost", "Key", h.options.Key, "Epoch", h.epoch, "Err", reason)
	}
}
