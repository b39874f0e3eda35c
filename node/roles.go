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
	// candidatesPerRole is the number of nodes that compete for the lease of a
	// role. It is fixed so that the watches on leases don't grow with the fleet.
	candidatesPerRole = 2
	// usageShards is the number of shards that the workspaces are divided into
	// for usage reports, each with its own lease, so that several nodes can
	// share the work. Each shard adds a lease and its watches. It must be the
	// same on all nodes, or else a workspace could have two reporters.
	usageShards     = 4
	reconcilePeriod = time.Minute // mean time between two reconciliations of usage
)

// startPlatformTasks starts the background tasks that need the platform: usage
// reporting, which runs under one lease per shard, usage reconciliation, and the
// forwarding of reclaim notices.
func (n *Node) startPlatformTasks() {
	if n.options.Platform != nil {
		for shard := range usageShards {
			reporter := usage.NewReporter(usage.ReporterOptions{
				Shard: shard, Shards: usageShards, Members: n.usageMembers, Peers: n.controlPool, Store: n.backgroundStore,
				Platform: n.options.Platform, Logger: n.logger, Metrics: n.Metrics, Checker: n.checker,
				Window: n.settings.Intervals.UsageWindow, AllowedLateness: n.settings.Intervals.UsageLateness,
			})
			go func() {
				n.runLeasedRole(reporter.LeaseKey(), func(ctx context.Context, held *lease.Lease) error { return reporter.Report(ctx, held) })
			}()
		}
		go func() { n.reconcileUsage() }()
		go func() { n.watchReclaims() }()
	}
}

// runLeasedRole competes for the lease under key whenever this node is a
// candidate, and runs work while it holds the lease. No request waits for the
// roles, so the calls for the lease are in the background too.
func (n *Node) runLeasedRole(key string, work func(ctx context.Context, held *lease.Lease) error) {
	// A node that doesn't know any other member yet would be a candidate for
	// every role. Without this wait, a whole failure domain that restarts would
	// overload the store with lease requests. The follower asks other members
	// for the configuration before it reads the store, and is ready afterwards.
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
			done <- lease.Run(ctx, n.backgroundStore, lease.Options{
				Key: key, Holder: n.settings.Name, TTL: n.settings.Intervals.Lease, Logger: n.logger, Metrics: n.Metrics,
			}, work)
		}()
		for n.isCandidate(key) && ctx.Err() == nil { // lease.Run doesn't return before ctx ends
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

// isCandidate reports whether this node may compete for the lease of a role.
// Nodes whose views of the membership differ may choose other candidates, which
// is safe because the lease has one holder at a time.
func (n *Node) isCandidate(key string) bool {
	var names []string
	for _, m := range n.Members() {
		names = append(names, m.Name)
	}
	return slices.Contains(rendezvous.Top(key, names, candidatesPerRole), n.settings.Name)
}

// reconcileUsage periodically compares this node's usage with the closed usage
// windows, and adds figures that arrived too late for their window to a later
// one.
func (n *Node) reconcileUsage() {
	for {
		select {
		case <-time.After(reconcilePeriod/2 + rand.N(reconcilePeriod)):
		case <-n.ctx.Done():
			return
		}
		carried, err := n.ledger.Reconcile(n.ctx, n.backgroundStore, usageShards)
		if carried > 0 {
			n.logger.Warn("late usage added to a later window", "Workspaces", carried)
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			n.logger.Warn("usage reconciliation failed", "Error", err)
		}
	}
}
