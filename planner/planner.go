// Package planner assigns roles and models to the engines of one failure domain.
// It is meant to run on the node that holds the domain's planner lease. In this
// module only the tests start it.
//
// # Usage
//
//	p := planner.New(planner.Options{
//		FailureDomain: "limpopo-a", Store: client, Engines: engines, Decide: decide, WeightLoadLimiter: platform,
//	})
//	err := lease.Run(ctx, client, options, func(ctx context.Context, held *lease.Lease) error {
//		return p.Run(ctx, held)
//	})
//
// # Orders
//
// A change of an engine goes through stages, such as drain, apply and resume. A
// stage is saved to the store with the holder's epoch before its order is sent,
// and ends when the engine's state shows the effect of the order. A new holder
// continues from the saved stages and the engines' states. It repeats orders
// under the same ID, so that the engine carries them out only once.
//
// An engine that checks epochs first gets an order without any other effect,
// which makes it refuse orders of former holders. An engine that ignores epochs
// gets no order until the previous holder's last operations have ended, and its
// state is read only after that.
//
// # Failures
//
// Each pass repeats what failed in an earlier one:
//
//   - After a failed write of the stages, no orders are sent until the document has
//     been loaded again. Drained engines stay drained in the meantime.
//   - A change of an engine whose state can't be read waits. Its timeouts are only
//     checked after a successful read.
//   - A change of an engine that restarted is abandoned, and the engine is resumed.
//     A change of an engine that no longer belongs to the failure domain is dropped.
//   - A change doesn't wait for schedulers to acknowledge a drain, but doesn't end
//     until they have acknowledged that the engine is resumed.
//   - While the platform fails, model loads wait without a limit.
package planner

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/intent"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/store"
)

const (
	defaultPeriod           = time.Second
	defaultDecideEvery      = 5 * time.Second
	defaultDrainTimeout     = 2 * time.Minute
	defaultApplyTimeout     = 10 * time.Minute // enough for a large model from a rate-limited store
	defaultUnfencedCooldown = 30 * time.Minute
	defaultReadTimeout      = 2 * time.Second
	defaultResyncEvery      = 5 * time.Minute

	// historyRetention is how long role changes are remembered: longer than a swing
	// of the load lasts. A longer cooldown isn't reliably enforced.
	historyRetention = time.Hour
	maxParallelCalls = 16 // to engines
)

type (
	// Engine is one engine of the failure domain.
	Engine struct {
		Key     string // Upstream.QualifiedName
		Control engine.ControlClient
		Fencing fleet.Fencing
	}

	// View is the input of Options.Decide.
	View struct {
		Now           time.Time
		FailureDomain string
		Engines       []EngineView // in the order of Options.Engines
	}

	// EngineView is one engine in a View.
	EngineView struct {
		Key        string
		Fencing    fleet.Fencing
		State      engine.State // as last read
		Report     engine.Report
		TargetRole engine.Role // the new role during a role change, else the current one
		// Unavailable means that the engine can't be changed now: a change is in
		// progress, the engine reports one, or it is unreachable.
		Unavailable bool
		Unreachable bool // State is unknown
		// RoleChanges are the times at which the last role changes were ordered,
		// in ascending order. They are kept for at least an hour.
		RoleChanges []time.Time
	}

	// ChangeRequest is a change that Options.Decide asks for. Kind is OrderRole,
	// OrderLoad or OrderUnload.
	ChangeRequest struct {
		Engine string
		Kind   engine.OrderKind
		Role   engine.Role
		Model  string
	}

	// DrainNotice tells schedulers to stop sending an engine new requests while it
	// changes, or to resume. It doesn't affect drains for other reasons. Schedulers
	// must ignore a notice with a lower version than one that they received before
	// for the same engine.
	DrainNotice struct {
		Engine   string
		Draining bool
		Version  intent.SequenceNumber
	}

	// WeightLoadLimiter is the part of provider.Client that limits the rate at
	// which models are loaded.
	WeightLoadLimiter interface {
		ReserveWeights(ctx context.Context, request provider.WeightsRequest) (wait time.Duration, err error)
	}

	// Options configures a Planner. Zero values mean defaults.
	Options struct {
		FailureDomain string
		Store         store.Client
		// Engines returns the engines of the failure domain.
		Engines func() []Engine
		// Decide returns the changes to make. The default is that of NewBalance
		// with default options.
		Decide func(view View) []ChangeRequest
		// Drain sends a notice to the schedulers of an engine. It may be nil, since
		// a drained engine refuses new requests itself.
		Drain func(ctx context.Context, notice DrainNotice) (err error)
		// WeightLoadLimiter may be nil, in which case no load is started. It must not
		// be nil if an earlier holder may have left a load unfinished.
		WeightLoadLimiter WeightLoadLimiter
		// Reports returns the latest load reports of the engines, by key. The
		// default asks each engine. In a large fleet, the schedulers should collect
		// the reports instead. An engine may be missing: its report in the View is
		// then zero, as if it had no work queued.
		Reports func(ctx context.Context, engines []Engine) (reports map[string]engine.Report)

		// Period is the time between two reads of the state of a changing engine,
		// 1 s.
		Period time.Duration
		// DecideEvery is the time between two decisions, 5 s.
		DecideEvery time.Duration
		// ResyncEvery is the time between two reads of the state of an engine that
		// isn't changing and whose reports agree with the last state read, 5 min.
		ResyncEvery time.Duration
		// DrainTimeout is how long a change waits for the engine's requests to end
		// before it is abandoned, 2 min.
		DrainTimeout time.Duration
		// ApplyTimeout is how long a change waits for the engine to carry it out
		// before it is abandoned, 10 min. While the engine reports that it is
		// changing, the change isn't abandoned.
		ApplyTimeout time.Duration
		// UnfencedCooldown is the least time between two role changes of an
		// engine that ignores epochs, 30 min. Such an engine carries out an order of
		// a former holder that arrives late, so its role is changed less often than
		// that of an engine that checks epochs, for which only Decide limits the rate.
		// Role changes are only remembered for an hour, so a longer time isn't
		// reliably enforced.
		UnfencedCooldown time.Duration
		// ReadTimeout is the timeout of one read of an engine's state or report,
		// 2 s.
		ReadTimeout time.Duration

		Logger  *slog.Logger
		Metrics *metrics.Set
		Checker *invariant.Checker
	}

	// Planner plans the changes of one failure domain while it holds the lease.
	Planner struct{ options Options }
)

// New returns a planner that does nothing until Run is called.
func New(options Options) *Planner {
	for value, fallback := range map[*time.Duration]time.Duration{
		&options.Period: defaultPeriod, &options.DecideEvery: defaultDecideEvery, &options.DrainTimeout: defaultDrainTimeout,
		&options.ApplyTimeout: defaultApplyTimeout, &options.UnfencedCooldown: defaultUnfencedCooldown,
		&options.ReadTimeout: defaultReadTimeout, &options.ResyncEvery: defaultResyncEvery,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	if options.Decide == nil {
		options.Decide = NewBalance(BalanceOptions{})
	}
	if options.Drain == nil {
		options.Drain = func(context.Context, DrainNotice) error { return nil }
	}
	if options.Reports == nil {
		options.Reports = options.fetchReports
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	options.Logger = options.Logger.With("Role", "Planner", "FailureDomain", options.FailureDomain)
	return &Planner{options: options}
}

// Run plans changes until ctx or the lease ends. It logs failed passes and
// continues with the next one; it returns early only if another holder took
// over.
func (p *Planner) Run(ctx context.Context, lease intent.Lease) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(lease.Context(), cancel)()
	r := newReconciler(p.options, lease)
	go func() {
		if lease.AwaitPredecessor(ctx) == nil {
			r.predecessorDone.Store(true)
		}
	}()
	return intent.Loop(ctx, lease, p.options.Period, r.reconcile, func(err error) {
		p.options.Logger.Warn("planner reconciliation failed", "Epoch", lease.Epoch(), "Err", err)
		r.count("failures", "tick")
	}, engine.ErrStaleEpoch)
}

// Key returns the store key of the document of a failure domain's planner.
func Key(failureDomain string) string { return "planner/" + failureDomain }

// count increments a counter of the planner.
func (r *reconciler) count(name, label string) {
	r.options.Metrics.GetOrCreateCounter(fmt.Sprintf("guavagauge_planner_%s_total{kind=%q}", name, label)).Inc()
}
