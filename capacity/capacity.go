// Package capacity starts and stops the upstreams of one failure domain while it
// holds the capacity lease of the domain. It is meant to run on a node. In this
// module only the tests start it.
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
// and stays there until the platform has answered. The next lease holder sends
// the pending orders that it finds again with the same tokens, so a lost response
// or a crashed holder doesn't lead to a second order. The platform's list of VMs
// lags, so upstreams that were ordered and aren't listed yet are stored as well.
//
// A planned stop drains the upstream first. The stop order is sent only after the
// current lease holder has seen the drained upstream idle. Upstreams that the
// platform is about to reclaim are drained at once.
//
// # Failures
//
//   - After a failed write to the store, no orders and notices are sent until the
//     document has been loaded again.
//   - An order without a known outcome is sent again in each period, and no
//     decision is made until it succeeds or is rejected. A rejected order isn't
//     sent again. An upstream whose stop was rejected stays drained and counts as
//     terminating as long as it is listed.
//   - Without the reclaim notices, or with a list of VMs older than two ListEvery,
//     no decision is made and no stop order is sent. Start orders that aren't queued
//     behind a stop order still are.
//   - A planned stop waits, without a limit, until all schedulers have confirmed
//     its drain.
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
	defaultPeriod           = time.Second
	defaultDecideEvery      = 5 * time.Second
	defaultListEvery        = 30 * time.Second // the list of a large domain is over 100 KB
	defaultDrainGrace       = 5 * time.Second  // schedulers stop sending within this time (invariant I10)
	defaultStartTimeout     = 10 * time.Minute // must exceed the time from start to listing, else too many are started
	defaultNoneAvailableTTL = time.Minute      // reserved upstreams are started instead in this time
)

type (
	// Load is the load of one upstream as seen by its schedulers.
	Load struct {
		Running int
		Queued  int
		// Started counts the requests that were sent to the upstream. It reveals
		// requests that began and ended between two reads of the load. 0 means
		// that it isn't counted.
		Started uint64
	}

	// View is the state of the failure domain that a decision is based on.
	View struct {
		Now           time.Time
		FailureDomain string
		Upstreams     []UpstreamView // sorted by name
		// ReclaimableUnavailable means that the platform recently had no
		// reclaimable capacity.
		ReclaimableUnavailable bool
	}

	// UpstreamView is an upstream that is listed or ordered.
	UpstreamView struct {
		provider.VM
		Load          // zero if it couldn't be read
		Draining bool // for a planned stop, which can still be revoked
		// Terminating means that the upstream is being reclaimed or stopped.
		Terminating bool
		// IdleFor is zero for an upstream that is starting or has work, or whose load
		// hasn't been read yet.
		IdleFor time.Duration
	}

	// Plan is the result of a decision: the numbers of upstreams to start and to
	// stop.
	Plan struct {
		StartReserved    int
		StartReclaimable int
		// Of each kind, the live upstreams with the least work are stopped, and
		// among these the ones that have been idle longest.
		StopReserved    int
		StopReclaimable int
	}

	// DrainNotice tells schedulers to stop sending new requests to an upstream, or
	// to resume. Schedulers ignore a notice whose version is lower than that of an
	// earlier notice for the same VM.
	DrainNotice struct {
		VM       provider.VM
		Draining bool
		Version  intent.SequenceNumber
	}

	// Options configures a Manager. Zero values mean the defaults.
	Options struct {
		FailureDomain string
		Store         store.Client
		Platform      provider.Client
		// Load returns the load of the upstreams by VM name. While it fails, no
		// upstream is stopped.
		Load func(ctx context.Context) (load map[string]Load, err error)
		// Drain sends a notice to all schedulers. It is retried until it succeeds.
		Drain func(ctx context.Context, notice DrainNotice) (err error)
		// Decide is called when no order is pending and the list and the notices are
		// known. Its stops are ignored if the load couldn't be read. The default is
		// NewThreshold with default options.
		Decide func(view View) Plan

		// Period is the time between two reads of the reclaim notices, and of the
		// load while upstreams are draining or orders are pending. The default is
		// 1 s.
		Period time.Duration
		// DecideEvery is the time between two decisions. The default is 5 s.
		DecideEvery time.Duration
		// ListEvery is the time between two reads of the list of VMs. The default
		// is 30 s.
		ListEvery time.Duration
		// DrainGrace is the time after a drain notice within which schedulers stop
		// sending requests to the upstream. The default is 5 s.
		DrainGrace time.Duration
		// StartTimeout is the time after which an ordered upstream that isn't
		// listed counts as lost, so that Decide may start another one. The default
		// is 10 min.
		StartTimeout time.Duration
		// NoneAvailableTTL is the time for which reclaimable capacity counts as
		// unavailable after a provider.ErrNoneAvailable. Reserved upstreams are
		// started instead. The default is 1 min.
		NoneAvailableTTL time.Duration

		Logger  *slog.Logger
		Metrics *metrics.Set
		Checker *invariant.Checker
	}

	// Manager starts and stops the upstreams of one failure domain.
	Manager struct{ options Options }
)

// New returns a Manager. It does nothing until Run is called.
func New(options Options) *Manager {
	for value, fallback := range map[*time.Duration]time.Duration{
		&options.Period: defaultPeriod, &options.DecideEvery: defaultDecideEvery, &options.ListEvery: defaultListEvery,
		&options.DrainGrace:   defaultDrainGrace,
		&options.StartTimeout: defaultStartTimeout, &options.NoneAvailableTTL: defaultNoneAvailableTTL,
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

// Run manages the failure domain until ctx ends or the lease is lost. Failures of
// the store and the platform are logged and retried. Run returns
// intent.ErrSuperseded when a lease holder with a higher epoch has taken over.
func (m *Manager) Run(ctx context.Context, lease intent.Lease) (err error) {
	r := newReconciler(m.options, lease)
	return intent.Loop(ctx, lease, m.options.Period, r.reconcile, func(err error) {
		m.options.Logger.Warn("capacity reconciliation failed", "Epoch", lease.Epoch(), "Err", err)
		r.count("failures", "tick")
	})
}

// Key returns the store key of a failure domain's orders.
func Key(failureDomain string) string { return "capacity/" + failureDomain }

// Counts returns the number of upstreams of each kind that are listed or ordered,
// without those that are draining or terminating.
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

func (r *reconciler) count(name, label string) {
	r.options.Metrics.GetOrCreateCounter(fmt.Sprintf("guavagauge_capacity_%s_total{kind=%q}", name, label)).Inc()
}
