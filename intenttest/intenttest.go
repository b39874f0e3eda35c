// Package intenttest is a stand-in for a lease whose holders are replaced,
// paused and duplicated at will.
//
// # Usage
//
//	var issuer intenttest.Issuer
//	first := issuer.Acquire(ctx)
//	first.Pause(0)               // its next operation hangs between check and send
//	second := issuer.Acquire(ctx) // first has lost its authority
//	first.Continue()             // and sends all the same
package intenttest

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/intent"
)

const (
	// ErrLost means that another holder acquired the lease.
	ErrLost = errors.ConstError("lease lost")

	longestOperation = 5 * time.Second
)

type (
	// Issuer hands out authorities with rising epochs. The zero value is ready.
	Issuer struct {
		mu    sync.Mutex
		epoch uint64
		held  *Lease
	}

	// Lease is one authority. It implements intent.Lease.
	Lease struct {
		ctx    context.Context
		cancel context.CancelFunc
		epoch  uint64
		since  time.Time

		mu     sync.Mutex
		passes int           // operations until the pause
		gate   chan struct{} // nil, or closed when a pause ends
	}
)

var _ intent.Lease = (*Lease)(nil)

// Acquire takes the lease from its holder.
func (l *Issuer) Acquire(ctx context.Context) (held *Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		l.held.cancel()
	}
	l.held = l.grant(ctx)
	return l.held
}

// Duplicate grants the lease without taking it from its holder, as a faulty
// lease would.
func (l *Issuer) Duplicate(ctx context.Context) (held *Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant(ctx)
}

func (l *Issuer) grant(ctx context.Context) (held *Lease) {
	l.epoch++
	ctx, cancel := context.WithCancel(ctx)
	return &Lease{ctx: ctx, cancel: cancel, epoch: l.epoch, since: time.Now()}
}

// Release ends the authority.
func (h *Lease) Release() { h.cancel() }

// Pause stops operations after their check until Continue, once n more have
// passed.
func (h *Lease) Pause(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.passes = n; h.gate == nil {
		h.gate = make(chan struct{})
	}
}

// Continue ends a Pause. An operation that hangs is sent now.
func (h *Lease) Continue() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gate != nil {
		close(h.gate)
		h.gate = nil
	}
}

// Context implements intent.Lease.
func (h *Lease) Context() context.Context { return h.ctx }

// Epoch implements intent.Lease.
func (h *Lease) Epoch() uint64 { return h.epoch }

// Check implements intent.Lease.
func (h *Lease) Check() (err error) {
	if h.ctx.Err() != nil {
		return ErrLost
	}
	return nil
}

// Do implements intent.Lease. During a pause the process doesn't notice
// that its authority or its time ends.
func (h *Lease) Do(ctx context.Context, send func(ctx context.Context) error) (err error) {
	if err := h.Check(); err != nil {
		return err
	}
	h.mu.Lock()
	gate := h.gate
	if h.passes > 0 {
		h.passes--
		gate = nil
	}
	h.mu.Unlock()
	if gate != nil {
		<-gate
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, longestOperation)
	defer cancel()
	if gate == nil {
		defer context.AfterFunc(h.ctx, cancel)()
	}
	return send(ctx)
}

// AwaitPredecessor implements intent.Lease.
func (h *Lease) AwaitPredecessor(ctx context.Context) (err error) {
	timer := time.NewTimer(time.Until(h.since.Add(longestOperation)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return h.Check()
	case <-h.ctx.Done():
		return ErrLost
	case <-ctx.Done():
		return ctx.Err()
	}
}
