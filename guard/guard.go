// Package guard keeps an unexpected panic from ending the process: it ends at most
// the work that it belongs to. The boundaries are a request, a message, a call of
// another process, and a round of a background loop.
//
// A panic is logged with its stack and counted. A background loop starts again
// after a delay that grows with each panic, since a loop that has ended without
// notice is worse than a process that ends. The work must release its locks with
// defer; a lock that stays locked would block the next round.
//
// # Usage
//
//	g := guard.New(logger, metrics)
//	g.Loop(ctx, "follow configuration", func() { ... })       // in a goroutine of its own, again after a panic
//	g.Go("probe", func() { ... })                             // in a goroutine of its own, once
//	g.Run("datagram", func() { ... })                         // in this goroutine
//	defer g.Recover("Entry.Follow", func() { err = errPanic }) // in the deferring function
package guard

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// firstDelay is the time after which a loop starts again after its first panic.
	// It doubles with each further one, up to maxDelay.
	firstDelay = 100 * time.Millisecond
	maxDelay   = 5 * time.Second
	// calmPeriod is how long a loop has to run for its delay to start from
	// firstDelay again.
	calmPeriod = time.Minute
)

// Guard reports the panics of one process. It is safe for concurrent use.
type Guard struct {
	logger *slog.Logger
	set    *metrics.Set
}

// New returns a guard that logs panics, and counts them unless set is nil.
func New(logger *slog.Logger, set *metrics.Set) *Guard { return &Guard{logger: logger, set: set} }

// Report logs and counts a panic. It must be called in the goroutine that
// panicked, while its stack is still there.
func (g *Guard) Report(where string, value any) {
	if g.set != nil {
		g.set.GetOrCreateCounter(fmt.Sprintf("guavagauge_panics_total{where=%q}", where)).Inc()
	}
	g.logger.Error("panic", "Where", where, "Value", fmt.Sprint(value), "Stack", string(debug.Stack()))
}

// Recover ends a panic of the function that defers it, reports it and calls
// handle. Without a panic it does nothing.
func (g *Guard) Recover(where string, handle func()) {
	if value := recover(); value != nil {
		g.Report(where, value)
		handle()
	}
}

// Run calls work, and reports whether it returned without a panic.
func (g *Guard) Run(where string, work func()) (ok bool) {
	ok = true
	defer g.Recover(where, func() { ok = false })
	work()
	return ok
}

// Go runs work in a goroutine of its own.
func (g *Guard) Go(where string, work func()) {
	go func() { g.Run(where, work) }()
}

// Loop runs work in a goroutine of its own, and starts it again after a panic until
// the context ends.
func (g *Guard) Loop(ctx context.Context, where string, work func()) {
	go func() {
		delay := firstDelay
		for started := time.Now(); !g.Run(where, work) && ctx.Err() == nil; started = time.Now() {
			if time.Since(started) > calmPeriod {
				delay = firstDelay
			}
			select {
			case <-time.After(delay):
			case <-ctx.Done():
			}
			delay = min(2*delay, maxDelay)
		}
	}()
}
