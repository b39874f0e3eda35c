// Package invariant checks invariants of the system while it runs. A broken one
// is counted in the metric guavagauge_invariant_broken_total and logged as an
// error, and the program goes on. In tests, it causes a panic. Components that
// guard an invariant call Check with the condition that must hold.
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

// The invariants, numbered as in docs/design.md. Not all of them are checked at run
// time.
const (
	NoConflictingOrders    Name = "I1"  // no engine holds conflicting orders
	NoPlannedAbort         Name = "I2"  // no planned change aborts a request
	OrdersNeedLease        Name = "I3"  // orders without a valid lease have no effect
	WorkspaceIsolation     Name = "I4"  // a request runs only for its key's workspace
	SingleCapacityManager  Name = "I5"  // only one process orders starts and stops
	UsageOnce              Name = "I6"  // a usage window is reported with one set of figures
	ResponseIntegrity      Name = "I7"  // a caller gets the whole response to its own request
	NotRunIsTrue           Name = "I8"  // a request refused as NotRun has not run
	AtMostOnce             Name = "I9"  // a non-repeatable request runs at most once
	NoWorkWhenDraining     Name = "I10" // a draining upstream gets no new requests
	GracefulStop           Name = "I11" // a planned stop aborts no request
	MonotonicConfiguration Name = "I12" // no node goes back to an older configuration
)

type (
	// Name identifies one invariant.
	Name string

	// Options configures a Checker.
	Options struct {
		// Fatal makes Check panic on a broken invariant. Tests set it, for a node by
		// Settings.FatalInvariants.
		Fatal bool
	}

	// Checker counts and logs broken invariants. It is safe for concurrent use.
	// A nil Checker panics on a broken invariant without counting or logging it.
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
