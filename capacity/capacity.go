// Package capacity starts and stops the upstreams of one failure domain, as the
// holder of the domain's capacity lease.
//
// # Usage
//
//	c := capacity.New(capacity.Options{
//		FailureDomain: "limpopo-a", Store: client, Platform: platform, Load: load, Drain: drain, Decide: decide,
//	})
//	err := lease.Run(ctx, client, options, func(ctx context.Context, held *lease.Lease) error {
//		return c.Run(ctx, held)
//	})
//
// # Orders
//
// An order is written to the store with its idempotency token before it is sent,
// and stays there until the platform has answered. A holder that takes over
// repeats the orders that it finds under their tokens, so a lost answer or a
// dead holder doesn't lead to a second order. Upstreams that were ordered and
// aren't on the platform's lagging list yet are written down as well.
//
// A planned stop drains the upstream first, and the order is sent only after
// the upstream was seen idle by this holder. Upstreams with a notice of reclaim
// are drained at once.
package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/intent"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/store"
)

const (
	defaultPeriod       = time.Second
	defaultDecideEvery  = 5 * time.Second
	defaultListEvery    = 30 * time.Second // the list of a large domain is over 100 KB
	defaultDrainGrace   = 5 * time.Second  // schedulers stop sending within this (I10)
	defaultStartTimeout = 10 * time.Minute // until an ordered upstream is on the list
	defaultNoneFor      = time.Minute
)

type (
	// Load is the work of one upstream as its schedulers know it.
	Load struct {
		Running int
		Queued  int
		// Started counts the requests that were sent to the upstream. It shows work
		// between two looks, and may be left at 0.
		Started uint64
	}

	// View is what a decision is based on.
	View struct {
		Now           time.Time
		FailureDomain string
		Upstreams     []UpstreamView // sorted by name
		// ReclaimableUnavailable means that the platform recently had none.
		ReclaimableUnavailable bool
	}

	// UpstreamView is one upstream that runs or is ordered.
	UpstreamView struct {
		provider.VM
		Load
		Draining bool // for a planned stop, which a start can still revoke
		// Terminating upstreams are about to be reclaimed or stopped.
		Terminating bool
		IdleFor     time.Duration
	}

	// Plan is what a decision asks for.
	Plan struct {
		StartReserved    int
		StartReclaimable int
		// Stops take the upstreams of the kind that have been idle for longest,
		// or that have the least work.
		StopReserved    int
		StopReclaimable int
	}

	// DrainNotice tells schedulers to send an upstream no new requests because
	// it leaves, or to send them again. A notice with a lower version than one
	// seen before for the same VM is ignored.
	DrainNotice struct {
		VM       provider.VM
		Draining bool
		Version  intent.SequenceNumber
	}

	// Options of a Manager. Zero values mean defaults.
	Options struct {
		FailureDomain string
		Store         store.Client
		Platform      provider.Client
		// Load returns the load by the names of VMs. Without an answer nothing is
		// stopped.
		Load func(ctx context.Context) (load map[string]Load, err error)
		// Drain passes a notice to all schedulers. It is repeated until it
		// succeeds.
		Drain func(ctx context.Context, notice DrainNotice) (err error)
		// Decide is called when no order is pending. The default is NewThreshold.
		Decide func(view View) Plan

		// Period is the time between two looks at the notices, and at the load while
		// upstreams are drained, 1 s.
		Period time.Duration
		// DecideEvery is the time between two decisions, 5 s.
		DecideEvery time.Duration
		// ListEvery is the time between two reads of the list of VMs, 30 s.
		ListEvery time.Duration
		// DrainGrace is the time from a drain until the upstream gets no more
		// requests, 5 s.
		DrainGrace time.Duration
		// StartTimeout is the time after which an ordered upstream that isn't on
		// the list counts as lost, 10 min.
		StartTimeout time.Duration
		// NoneAvailableTTL is the time for which an answer of "none available"
		// holds, 1 min.
		NoneAvailableTTL time.Duration

		Logger  *slog.Logger
		Metrics *metrics.Set
		Checker *invariant.Checker
	}

	// Manager gives the orders of one failure domain whenever it holds the
	// authority.
	Manager struct{ options Options }
)

// New returns a manager that does nothing until Run.
func New(options Options) *Manager {
	for value, fallback := range map[*time.Duration]time.Duration{
		&options.Period: defaultPeriod, &options.DecideEvery: defaultDecideEvery, &options.ListEvery: defaultListEvery,
		&options.DrainGrace:   defaultDrainGrace,
		&options.StartTimeout: defaultStartTimeout, &options.NoneAvailableTTL: defaultNoneFor,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	if options.Decide == nil {
		options.Decide = NewThreshold(ThresholdOptions{})
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	options.Logger = options.Logger.With("Role", "Capacity", "FailureDomain", options.FailureDomain)
	return &Manager{options: options}
}

// Run manages until ctx or the authority ends. Failures of the store and of the
// platform are logged and tried again; it returns early only when another
// holder took over.
func (m *Manager) Run(ctx context.Context, authority intent.Lease) (err error) {
	h := newHolder(m.options, authority)
	return intent.Loop(ctx, authority, m.options.Period, h.tick, func(err error) {
		m.options.Logger.Warn("capacity not managed", "Epoch", authority.Epoch(), "Err", err)
		h.count("failures", "tick")
	})
}

// Key returns the key of the document of a failure domain's orders.
func Key(failureDomain string) string { return "capacity/" + failureDomain }

// Counts returns how many upstreams of each kind run or are ordered and stay.
func (v View) Counts() (reserved, reclaimable int) {
	for _, u := range v.Upstreams {
		switch {
		case u.Terminating || u.Draining:
		case u.Capacity == provider.Reclaimable:
			reclaimable++
		default:
			reserved++
		}
	}
	return reserved, reclaimable
}

func (h *holder) count(name, label string) {
	h.options.Metrics.GetOrCreateCounter(fmt.Sprintf("guavagauge_capacity_%s_total{kind=%q}", name, label)).Inc()
}
