package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/platform"
)

const (
	leaderKey = "guavagauge/duty"
	// vacancyEvery is the time between looks whether the duty has a holder. These
	// are stale reads, at a tenth of the price of a watch.
	leaderCheckInterval = time.Second
	// dutyCall bounds a call to the platform or the store for a duty.
	callTimeout = time.Second
	// dutyWrite bounds the time from the check of the authority until a call is
	// written.
	leaseWriteTimeout = 300 * time.Millisecond
	tickInterval      = 250 * time.Millisecond
)

type (
	// Cloud is the part of the platform that takes reports and orders.
	Cloud interface {
		ReportUsage(ctx context.Context, holder platform.FencedHolder, usage platform.Usage) (err error)
		Scale(ctx context.Context, holder platform.FencedHolder, capacity platform.ScaleRequest) (err error)
		SetStage(ctx context.Context, holder platform.FencedHolder, upstream discovery.Upstream, stage discovery.Stage) (err error)
	}
)

// holdDuties takes the duty whenever nobody has it, and writes this node's
// counts.
func (n *Node) campaign() {
	if n.cloud == nil {
		return
	}
	go func() { n.writeUsageLoop() }()
	go func() {
		for n.ctx.Err() == nil {
			if !n.awaitNoLeader() {
				return
			}
			options := lease.Options{
				Key: leaderKey, Holder: n.settings.Name, TTL: n.settings.Bounds.Lease, CallTimeout: callTimeout,
				WriteTimeout: leaseWriteTimeout, MaxOperationTime: callTimeout, InitialBackoff: usageRetryDelay, MaxBackoff: leaderCheckInterval,
				NoWait: true,
				Logger: n.logger, Metrics: n.Metrics,
			}
			held, err := lease.Acquire(n.ctx, n.store, options)
			if err != nil {
				n.logger.Info("duty not taken", "Error", err)
				n.sleep(leaderCheckInterval)
				continue
			}
			n.logger.Info("duty taken", "Token", held.Epoch())
			n.lead(held)
			n.logger.Info("duty ended", "Token", held.Epoch(), "Cause", context.Cause(held.Context()))
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), callTimeout)
			if err = held.Release(releaseCtx); err != nil {
				n.logger.Warn("duty not released", "Error", err)
			}
			cancel()
		}
	}()
}

// awaitVacancy returns true when the duty seems to have no holder.
func (n *Node) awaitNoLeader() (ok bool) {
	for n.ctx.Err() == nil {
		if n.stopping.Load() || !n.Ready() || !n.isStoreReader() {
			n.sleep(leaderCheckInterval)
			continue
		}
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		entries, _, err := n.store.Range(ctx, leaderKey, true)
		cancel()
		if err == nil && len(entries) == 0 {
			return true
		}
		n.sleep(leaderCheckInterval)
	}
	return false
}

// performDuties reports usage and orders capacity until the authority ends.
func (n *Node) lead(held *lease.Lease) {
	ctx := held.Context()
	// An earlier holder may have missed the windows before; older ones are too late.
	oldestWindow := n.usage.windowAt(n.medianNow()) - 3
	reported := map[int64]bool{}
	controller := newCapacityController(n)
	for ctx.Err() == nil && !n.stopping.Load() {
		now := n.medianNow()
		for window := n.usage.windowAt(now) - keptWindows; window < n.usage.windowAt(now); window++ {
			end := n.usage.windowEnd(window)
			if reported[window] || window < oldestWindow || now.Before(end.Add(usageReportDelay)) || now.After(end.Add(n.settings.Bounds.UsageLateness)) {
				continue
			}
			if err := n.reportUsage(held, window); err != nil {
				n.logger.Warn("usage not reported", "Window", window, "Error", err)
				if errors.Is(err, platform.ErrFenced) {
					return
				}
				continue
			}
			reported[window] = true
		}
		controller.reconcile(held)
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
		}
	}
}

func (n *Node) fencedHolder(held *lease.Lease) platform.FencedHolder {
	return platform.FencedHolder{Holder: n.settings.Name, Token: held.Epoch()}
}
