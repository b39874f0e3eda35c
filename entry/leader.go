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
	// leaderKey is the key of the leader's lease in the store.
	leaderKey = "guavagauge/duty"
	// leaderCheckInterval is the time between checks for a leader. The checks are
	// stale reads, which cost a tenth of a watch.
	leaderCheckInterval = time.Second
	// callTimeout bounds calls to the platform, and calls to the store that concern
	// leadership or usage.
	callTimeout = time.Second
	// leaseWriteTimeout bounds the time from the check of the lease until the
	// guarded call has been written to the network.
	leaseWriteTimeout = 300 * time.Millisecond
	// peerSettleTime is how long after the first message of another node a new node
	// waits for those of others before it may lead.
	peerSettleTime = 200 * time.Millisecond
	// tickInterval is the time between two rounds of the leader's work, and of
	// writing usage.
	tickInterval = 250 * time.Millisecond
)

type (
	// Cloud is the platform's API for usage reports, capacity orders and changes of
	// an engine's stage.
	Cloud interface {
		ReportUsage(ctx context.Context, holder platform.FencedHolder, usage platform.Usage) (err error)
		Scale(ctx context.Context, holder platform.FencedHolder, capacity platform.ScaleRequest) (err error)
		SetStage(ctx context.Context, holder platform.FencedHolder, upstream discovery.Upstream, stage discovery.Stage) (err error)
	}
)

// campaign starts to write this node's usage counts, and to acquire the leader's
// lease whenever it has no holder. The leader reports usage and orders capacity.
func (n *Node) campaign() {
	if n.cloud == nil {
		return
	}
	n.guard.Loop(n.ctx, "write usage", n.writeUsageLoop)
	n.guard.Loop(n.ctx, "lead", func() {
		n.awaitPeer()
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
				n.logger.Info("leader lease not acquired", "Error", err)
				n.sleep(leaderCheckInterval)
				continue
			}
			n.logger.Info("leader lease acquired", "Token", held.Epoch())
			if err = n.awaitTurn(held); err != nil {
				n.logger.Info("leadership not begun", "Token", held.Epoch(), "Error", err)
			} else {
				n.guard.Run("lead", func() { n.lead(held) }) // the lease is released after a panic too
			}
			n.logger.Info("leadership ended", "Token", held.Epoch(), "Cause", context.Cause(held.Context()))
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), callTimeout)
			if err = held.Release(releaseCtx); err != nil {
				n.logger.Warn("leader lease not released", "Error", err)
			}
			cancel()
		}
	})
}

// awaitNoLeader waits until this node may lead and there seems to be no leader.
// It returns false if the node stops first. Only store readers may lead.
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

// awaitPeer waits until this node has heard of another one of its failure domain,
// and peerSettleTime more for others, or until joinPeriod after its start. A node
// that knows no other takes itself for the store reader, which may lead.
func (n *Node) awaitPeer() {
	for n.ctx.Err() == nil && n.clock()-n.startedAt < joinPeriod {
		n.sleep(peerSettleTime)
		if len(n.peers.localAddresses(time.Now())) > 0 {
			n.sleep(peerSettleTime)
			return
		}
	}
}

// awaitTurn waits, where the platform doesn't check fencing tokens, until the calls
// of the previous leader have ended, and elsewhere only until no leader can be left from
// before the store came back from an older copy. It also waits until Bounds.Lease after this
// node's own last call of an earlier term: leaders that take turns within that time
// break the platform's rules. See docs/decisions/fencing.md.
func (n *Node) awaitTurn(held *lease.Lease) (err error) {
	// In the first lease of the first start, there was no leader before whose calls
	// could be under way.
	firstLeader := n.settings.FirstStart && n.clock()-n.startedAt < n.settings.Bounds.Lease
	switch {
	case firstLeader:
	case n.settings.Bounds.Fenced:
		err = held.AwaitEarlierEra(n.ctx)
	default:
		err = held.AwaitPredecessor(n.ctx)
	}
	if err != nil {
		return err
	}
	if last := time.Duration(n.lastDutyCall.Load()); last > 0 {
		select {
		case <-time.After(n.settings.Bounds.Lease - (n.clock() - last)):
		case <-held.Context().Done():
			return context.Cause(held.Context())
		}
	}
	return held.Check()
}

// lead reports usage and orders capacity until the lease ends, the node stops or
// the platform has seen a higher fencing token.
func (n *Node) lead(held *lease.Lease) {
	ctx := held.Context()
	// The previous leader may have missed the last three windows. Reports of older
	// ones would be too late with the default bounds, 10 s after windows of 5 s.
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
				if !errors.Is(err, errTotalsLost) {
					continue
				}
				n.count("usage_reports", "TotalsLost")
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

// fencedHolder returns the name and fencing token for the leader's calls to the
// platform. Each call is checked against the lease right before it is written.
func (n *Node) fencedHolder(held *lease.Lease) platform.FencedHolder {
	return platform.FencedHolder{Holder: n.settings.Name, Token: held.Epoch(), Check: func() (err error) {
		// The HTTP client calls this in a goroutine of its own.
		defer n.guard.Recover("lease check", func() { err = errors.New("check of the lease panicked") })
		if err = held.Check(); err == nil {
			n.lastDutyCall.Store(int64(n.clock()))
		}
		return err
	}}
}
