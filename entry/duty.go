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
	dutyKey = "guavagauge/duty"
	// vacancyEvery is the time between looks whether the duty has a holder. These
	// are stale reads, at a tenth of the price of a watch.
	vacancyEvery = time.Second
	// dutyCall bounds a call to the platform or the store for a duty.
	dutyCall = time.Second
	// dutyWrite bounds the time from the check of the authority until a call is
	// written.
	dutyWrite = 300 * time.Millisecond
	dutyTick  = 250 * time.Millisecond
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
func (n *Node) holdDuties() {
	if n.cloud == nil {
		return
	}
	go func() { n.writeUsage() }()
	go func() {
		for n.ctx.Err() == nil {
			if !n.awaitVacancy() {
				return
			}
			options := lease.Options{
				Key: dutyKey, Holder: n.settings.Name, TTL: n.settings.Bounds.Lease, CallTimeout: dutyCall,
				WriteTimeout: dutyWrite, MaxOperationTime: dutyCall, InitialBackoff: usageRetry, MaxBackoff: vacancyEvery,
				NoWait: true,
				Logger: n.logger, Metrics: n.Metrics,
			}
			held, err := lease.Acquire(n.ctx, n.store, options)
			if err != nil {
				n.logger.Info("duty not taken", "Error", err)
				n.pause(vacancyEvery)
				continue
			}
			n.logger.Info("duty taken", "Token", held.Epoch())
			n.performDuties(held)
			n.logger.Info("duty ended", "Token", held.Epoch(), "Cause", context.Cause(held.Context()))
			release, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), dutyCall)
			if err = held.Release(release); err != nil {
				n.logger.Warn("duty not released", "Error", err)
			}
			cancel()
		}
	}()
}

// awaitVacancy returns true when the duty seems to have no holder.
func (n *Node) awaitVacancy() (ok bool) {
	for n.ctx.Err() == nil {
		if n.stopping.Load() || !n.Ready() || !n.isReader() {
			n.pause(vacancyEvery)
			continue
		}
		ctx, cancel := context.WithTimeout(n.ctx, dutyCall)
		entries, _, err := n.store.Range(ctx, dutyKey, true)
		cancel()
		if err == nil && len(entries) == 0 {
			return true
		}
		n.pause(vacancyEvery)
	}
	return false
}

// performDuties reports usage and orders capacity until the authority ends.
func (n *Node) performDuties(held *lease.Lease) {
	ctx := held.Context()
	// An earlier holder may have missed the windows before; older ones are too late.
	oldest := n.usage.window(n.trueNow()) - 3
	reported := map[int64]bool{}
	orders := newOrders(n)
	for ctx.Err() == nil && !n.stopping.Load() {
		now := n.trueNow()
		for window := n.usage.window(now) - windowsKept; window < n.usage.window(now); window++ {
			end := n.usage.end(window)
			if reported[window] || window < oldest || now.Before(end.Add(usageCollect)) || now.After(end.Add(n.settings.Bounds.UsageLateness)) {
				continue
			}
			if err := n.report(held, window); err != nil {
				n.logger.Warn("usage not reported", "Window", window, "Error", err)
				if errors.Is(err, platform.ErrFenced) {
					return
				}
				continue
			}
			reported[window] = true
		}
		orders.give(held)
		select {
		case <-time.After(dutyTick):
		case <-ctx.Done():
		}
	}
}

func (n *Node) authority(held *lease.Lease) platform.FencedHolder {
	return platform.FencedHolder{Holder: n.settings.Name, Token: held.Epoch()}
}
