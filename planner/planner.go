// Package planner gives the engines of one failure domain their roles and
// models, as the holder of the domain's planner lease.
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
// Each change of an engine goes through stages: it is drained, ordered to
// change, and resumed. A stage is written to the store with the holder's epoch
// before the order that belongs to it is sent, and ends when the engine's own
// state shows it. A holder that takes over continues from the stages and from
// what the engines say; repeated orders carry the same ID and have no further
// effect.
//
// A checking engine gets the epoch first in an order without any other effect.
// An engine that ignores epochs gets no order until the previous holder's last
// orders have ended, and then only on the basis of its state read after that.
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
	defaultPeriod         = time.Second
	defaultSurveyEvery    = 5 * time.Second
	defaultDrainTimeout   = 2 * time.Minute
	defaultApplyTimeout   = 10 * time.Minute // a large model from a rate-limited store
	defaultUncheckedEvery = 30 * time.Minute
	defaultReadTimeout    = 2 * time.Second
	defaultScanEvery      = 5 * time.Minute

	historyKept = time.Hour // of role changes; longer than a swing
	parallel    = 16        // calls to engines at the same time
)

type (
	// Engine is one engine of the failure domain.
	Engine struct {
		Key     string // Upstream.QualifiedName
		Control engine.ControlClient
		Fencing fleet.Fencing
	}

	// View is what a decision is based on.
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
		TargetRole engine.Role // the new one while it changes
		// Unavailable engines can't be read, are changing, or may not be changed
		// yet.
		Unavailable bool
		Unreachable bool        // State and Report are unknown
		RoleChanges []time.Time // of the role, within the last hour
	}

	// ChangeRequest is a change that a decision asks for. Kind is OrderRole,
	// OrderLoad or OrderUnload.
	ChangeRequest struct {
		Engine string
		Kind   engine.OrderKind
		Role   engine.Role
		Model  string
	}

	// DrainNotice tells schedulers to send an engine no new requests while it
	// changes, or to send them again. It says nothing about drains for other
	// reasons. A notice with a lower version than one seen before for the same
	// engine is ignored.
	DrainNotice struct {
		Engine   string
		Draining bool
		Version  intent.SequenceNumber
	}

	// WeightLoadLimiter is the part of provider.Client that limits loads of
	// models.
	WeightLoadLimiter interface {
		ReserveWeights(ctx context.Context, request provider.WeightsRequest) (wait time.Duration, err error)
	}

	// Options of a Planner. Zero values mean defaults.
	Options struct {
		FailureDomain string
		Store         store.Client
		// Engines returns the engines of the failure domain.
		Engines func() []Engine
		// Decide returns the changes to make. The default is NewBalance.
		Decide func(view View) []ChangeRequest
		// Drain passes a notice to the schedulers of an engine. It may be nil,
		// as a drained engine refuses new requests itself.
		Drain func(ctx context.Context, notice DrainNotice) (err error)
		// WeightLoadLimiter may be nil when no model is ever loaded.
		WeightLoadLimiter WeightLoadLimiter
		// Reports returns the load reports that are known of the engines, by
		// key. The default asks each engine, which a large fleet leaves to the
		// schedulers.
		Reports func(ctx context.Context, engines []Engine) (reports map[string]engine.Report)

		// Period is the time between two looks at engines that are changing, 1 s.
		Period time.Duration
		// DecideEvery is the time between two decisions, 5 s.
		DecideEvery time.Duration
		// ResyncEvery is the time between two reads of the state of an engine
		// that isn't changing and whose report shows no restart, 5 min.
		ResyncEvery time.Duration
		// DrainTimeout ends a change whose requests don't end, 2 min.
		DrainTimeout time.Duration
		// ApplyTimeout ends a change that an engine doesn't carry out, 10 min.
		ApplyTimeout time.Duration
		// UnfencedCooldown is the least time between two role changes of an
		// engine that ignores epochs, 30 min.
		UnfencedCooldown time.Duration
		// ReadTimeout bounds one read of an engine's state, 2 s.
		ReadTimeout time.Duration

		Logger  *slog.Logger
		Metrics *metrics.Set
		Checker *invariant.Checker
	}

	// Planner plans one failure domain whenever it holds the authority.
	Planner struct{ options Options }
)

// New returns a planner that does nothing until Run.
func New(options Options) *Planner {
	for value, fallback := range map[*time.Duration]time.Duration{
		&options.Period: defaultPeriod, &options.DecideEvery: defaultSurveyEvery, &options.DrainTimeout: defaultDrainTimeout,
		&options.ApplyTimeout: defaultApplyTimeout, &options.UnfencedCooldown: defaultUncheckedEvery,
		&options.ReadTimeout: defaultReadTimeout, &options.ResyncEvery: defaultScanEvery,
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
		options.Reports = options.askForReports
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

// Run plans until ctx or the authority ends. Failures of the store and of
// engines are logged and tried again; it returns early only when another holder
// took over.
func (p *Planner) Run(ctx context.Context, authority intent.Lease) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(authority.Context(), cancel)()
	h := newHolder(p.options, authority)
	go func() {
		if authority.AwaitPredecessor(ctx) == nil {
			h.settled.Store(true)
		}
	}()
	return intent.Loop(ctx, authority, p.options.Period, h.tick, func(err error) {
		p.options.Logger.Warn("planning failed", "Epoch", authority.Epoch(), "Err", err)
		h.count("failures", "tick")
	}, engine.ErrStaleEpoch)
}

// Key returns the key of the document of a failure domain's planner.
func Key(failureDomain string) string { return "planner/" + failureDomain }

func (h *holder) count(name, label string) {
	h.options.Metrics.GetOrCreateCounter(fmt.Sprintf("guavagauge_planner_%s_total{kind=%q}", name, label)).Inc()
}
