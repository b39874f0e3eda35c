// Package invariant reports promises of the system that were found broken
// while it ran: a counter, an error log line and, in tests, a panic.
//
// # Usage
//
//	checker := invariant.New(logger, set, invariant.Options{Fatal: true})
//	checker.Check(epoch >= last, invariant.NoConflictingOrders, "order with an old epoch", "Engine", id)
package invariant

import (
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
)

// The promises, numbered as in docs/design.md.
const (
	NoConflictingOrders    Name = "I1"  // no engine holds conflicting orders
	NoPlannedAbort         Name = "I2"  // no request is cut by a planned change
	OrdersNeedLease        Name = "I3"  // orders without authority have no effect
	WorkspaceIsolation     Name = "I4"  // a request runs only for its key's workspace
	SingleCapacityManager  Name = "I5"  // one process gives start and stop orders
	UsageOnce              Name = "I6"  // a usage window has one set of figures
	ResponseIntegrity      Name = "I7"  // a caller gets the whole answer to its own request
	NotRunIsTrue           Name = "I8"  // a refusal that says NotRun is true
	AtMostOnce             Name = "I9"  // non-repeatable work runs at most once
	NoWorkWhenDraining     Name = "I10" // a leaving upstream gets no new work
	GracefulStop           Name = "I11" // a planned stop cuts no request
	MonotonicConfiguration Name = "I12" // configuration never reverts
)

type (
	// Name identifies one invariant.
	Name string

	// Options of a Checker.
	Options struct {
		// Fatal makes a broken invariant panic. Tests set it.
		Fatal bool
	}

	// Checker counts and logs broken invariants. A nil Checker panics on one.
	Checker struct {
		logger *slog.Logger
		set    *metrics.Set
		fatal  bool
	}
)

// New returns a Checker that logs to logger and counts in set.
func New(logger *slog.Logger, set *metrics.Set, options Options) *Checker {
	return &Checker{logger: logger, set: set, fatal: options.Fatal}
}

// Check reports the invariant as broken unless holds is true. The arguments are
// alternating keys and values, as for slog.
func (c *Checker) Check(holds bool, name Name, message string, args ...any) {
	if holds {
		return
	}
	if c == nil {
		panic(fmt.Sprintf("invariant %s broken: %s %v", name, message, args))
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("guavagauge_invariant_broken_total{name=%q}", string(name))).Inc()
	c.logger.Error("invariant broken", append([]any{"Invariant", string(name), "Reason", message}, args...)...)
	if c.fatal {
		panic(fmt.Sprintf("invariant %s broken: %s %v", name, message, args))
	}
}
