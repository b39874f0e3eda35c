package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/rendezvous"
	"github.com/guavagauge/guavagauge/usage"
)

const (
	// candidatesPerRole bounds the nodes that wait for a lease, so that the
	// waiting watches don't grow with the fleet.
	candidatesPerRole = 2
	usageShards       = 4
	settlePeriod      = time.Minute // between looks for usage that a window missed
)

// holdRoles starts the roles that one node at a time holds.
func (n *Node) holdRoles() {
	if n.options.Platform != nil {
		for shard := range usageShards {
			reporter := usage.NewReporter(usage.ReporterOptions{
				Shard: shard, Shards: usageShards, Members: n.usageMembers, Peers: n.control, Store: n.store,
				Platform: n.options.Platform, Logger: n.logger, Metrics: n.Metrics, Checker: n.checker,
				Window: n.settings.Intervals.UsageWindow, AllowedLateness: n.settings.Intervals.UsageLateness,
			})
			go func() {
				n.holdRole(reporter.LeaseKey(), func(ctx context.Context, held *lease.Lease) error { return reporter.Report(ctx, held) })
			}()
		}
		go func() { n.settleUsage() }()
		go func() { n.watchReclaims() }()
	}
}

// holdRole works under a lease whenever this node is a candidate for it and no
// other holds it.
func (n *Node) holdRole(key string, work func(ctx context.Context, held *lease.Lease) error) {
	// A node that knows no other member yet would be a candidate for all roles,
	// so that a returning failure domain would burden the store.
	select {
	case <-n.follower.Ready():
	case <-n.ctx.Done():
		return
	}
	changes := n.members.Subscribe(n.ctx)
	for n.ctx.Err() == nil {
		if !n.isCandidate(key) {
			select {
			case <-changes:
			case <-n.ctx.Done():
			}
			continue
		}
		ctx, cancel := context.WithCancel(n.ctx)
		done := make(chan error, 1)
		go func() {
			done <- lease.Run(ctx, n.store, lease.Options{
				Key: key, Holder: n.settings.Name, TTL: n.settings.Intervals.Lease, Logger: n.logger, Metrics: n.Metrics,
			}, work)
		}()
		for n.isCandidate(key) && ctx.Err() == nil {
			select {
			case <-changes:
			case <-n.ctx.Done():
				cancel()
			}
		}
		cancel()
		<-done
	}
}

// isCandidate reports whether this node is among the first few for a role. Any
// number of candidates is safe: the lease decides.
func (n *Node) isCandidate(key string) bool {
	var names []string
	for _, m := range n.Members() {
		names = append(names, m.Name)
	}
	return slices.Contains(rendezvous.Top(key, names, candidatesPerRole), n.settings.Name)
}

// settleUsage carries figures that a closed window missed into a later one.
func (n *Node) settleUsage() {
	for {
		select {
		case <-time.After(settlePeriod/2 + rand.N(settlePeriod)):
		case <-n.ctx.Done():
			return
		}
		carried, err := n.ledger.Reconcile(n.ctx, n.store, usageShards)
		if carried > 0 {
			n.logger.Warn("usage carried into a later window", "Workspaces", carried)
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			n.logger.Warn("usage not settled", "Error", err)
		}
	}
}
