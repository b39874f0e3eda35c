// Package intenttest is a stand-in for a lease. Tests decide when a holder loses
// it, pauses, or holds it together with another one.
//
// # Usage
//
//	var issuer intenttest.Issuer
//	first := issuer.Acquire(ctx)
//	first.Pause(0)                // its next operation blocks between check and send
//	second := issuer.Acquire(ctx) // first loses the lease
//	first.Continue()              // the blocked operation is sent nevertheless
package intenttest

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/intent"
)

const (
	// ErrLost means that another holder acquired the lease, that it was released,
	// or that the context it was granted with ended.
	ErrLost = errors.ConstError("lease lost")

	// maxOperationTime bounds an operation from when it is sent. AwaitPredecessor
	// waits as long from the grant of its lease.
	maxOperationTime = 5 * time.Second
)

type (
	// Issuer grants leases with increasing epochs. The zero value is ready to use.
	// It is safe for concurrent use.
	Issuer struct {
		mu      sync.Mutex
		epoch   uint64
		current *Lease
	}

	// Lease is the lease of one holder. It implements intent.Lease and is safe for
	// concurrent use.
	Lease struct {
		ctx        context.Context
		cancel     context.CancelFunc
		epoch      uint64
		acquiredAt time.Time

		mu                   sync.Mutex
		operationsUntilPause int           // operations that still pass before the pause blocks
		resumed              chan struct{} // nil, or closed when the pause ends
	}
)

var _ intent.Lease = (*Lease)(nil)

// Acquire grants the lease to a new holder. The current holder loses it.
func (i *Issuer) Acquire(ctx context.Context) (lease *Lease) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current != nil {
		i.current.cancel()
	}
	i.current = i.grant(ctx)
	return i.current
}

// Duplicate grants the lease to a second holder while the current one keeps it, as
// a faulty lease service would. A later Acquire doesn't end the duplicate.
func (i *Issuer) Duplicate(ctx context.Context) (lease *Lease) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.grant(ctx)
}

// grant returns a lease with the next epoch. The caller holds mu.
func (i *Issuer) grant(ctx context.Context) (lease *Lease) {
	i.epoch++
	ctx, cancel := context.WithCancel(ctx)
	return &Lease{ctx: ctx, cancel: cancel, epoch: i.epoch, acquiredAt: time.Now()}
}

// Release ends the lease.
func (l *Lease) Release() { l.cancel() }

// Pause lets n more operations pass and then blocks each one, after its check,
// until Continue.
func (l *Lease) Pause(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.operationsUntilPause = n; l.resumed == nil {
		l.resumed = make(chan struct{})
	}
}

// Continue ends a Pause and sends the blocked operations.
func (l *Lease) Continue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		close(l.resumed)
		l.resumed = nil
	}
}

// Context implements intent.Lease.
func (l *Lease) Context() context.Context { return l.ctx }

// Epoch implements intent.Lease.
func (l *Lease) Epoch() uint64 { return l.epoch }

// Check implements intent.Lease.
func (l *Lease) Check() (err error) {
	if l.ctx.Err() != nil {
		return ErrLost
	}
	return nil
}

// Do implements intent.Lease. An operation that a pause blocked is sent even if
// the lease or ctx has ended, as by a process that was suspended after its check.
// Until Continue it blocks, whatever happens to ctx.
func (l *Lease) Do(ctx context.Context, send func(ctx context.Context) error) (err error) {
	if err := l.Check(); err != nil {
		return err
	}
	l.mu.Lock()
	resumed := l.resumed
	if l.operationsUntilPause > 0 {
		l.operationsUntilPause--
		resumed = nil
	}
	l.mu.Unlock()
	if resumed != nil {
		<-resumed
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, maxOperationTime)
	defer cancel()
	if resumed == nil {
		defer context.AfterFunc(l.ctx, cancel)()
	}
	return send(ctx)
}

// AwaitPredecessor implements intent.Lease. It waits out the operations that the
// previous holder had in progress when this lease was granted, but not those that a
// pause blocks.
func (l *Lease) AwaitPredecessor(ctx context.Context) (err error) {
	timer := time.NewTimer(time.Until(l.acquiredAt.Add(maxOperationTime)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return l.Check()
	case <-l.ctx.Done():
		return ErrLost
	case <-ctx.Done():
		return ctx.Err()
	}
}
