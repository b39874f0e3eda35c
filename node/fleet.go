package node

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/membership"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/usage"
)

// ConfigPrefix is the prefix of all store keys of the configuration.
const ConfigPrefix = "config/"

// repositoryStore is the store client of the configuration's repository, which
// deletes keys only to collect garbage. These calls are in the background.
type repositoryStore struct {
	store.Client
	background store.Client
}

// Delete implements store.Client.
func (s repositoryStore) Delete(ctx context.Context, key string, ifVersion uint64) (err error) {
	return s.background.Delete(ctx, key, ifVersion)
}

// joinMembership joins the membership group and updates the directory whenever
// the members change. The payload that it announces is the node's incarnation,
// which usageMembers decodes.
func (n *Node) joinMembership(server *peer.Server) (err error) {
	intervals := n.settings.Intervals
	options := membership.Options{
		Name: n.settings.Name, Address: n.addresses.peer, FailureDomain: n.settings.FailureDomain, Region: n.settings.Region,
		Payload: binary.BigEndian.AppendUint64(nil, n.self.Incarnation),
		Peers:   n.controlPool, Seeds: n.settings.Seeds,
		Interval: intervals.Probe, DirectTimeout: intervals.ProbeTimeout, SuspectTimeout: intervals.Suspicion,
		Logger: n.logger,
	}
	if n.options.Platform != nil {
		options.Discover = n.discoverNodes
	}
	if n.members, err = membership.New(n.ctx, options); err != nil {
		return err
	}
	changes := n.members.Subscribe(n.ctx) // before the first update, so that no change is missed
	n.Directory.Update(n.members.View().Live())
	go func() {
		for {
			select {
			case <-changes:
				n.Directory.Update(n.members.View().Live())
			case <-n.ctx.Done():
				return
			}
		}
	}()
	return server.Register(membership.Service, n.members.Receiver())
}

// discoverNodes returns the addresses of the entry VMs on the platform's VM
// list, at which the membership looks for other nodes. The list may be outdated.
func (n *Node) discoverNodes(ctx context.Context) (addresses []netip.AddrPort, err error) {
	vms, err := n.options.Platform.VMs(ctx)
	for _, vm := range vms {
		if vm.Kind == provider.Entry {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses, err
}

// startFollower starts the distribution follower and applies each configuration
// that it accepts. Validate keeps the decoded configuration for decodedConfig.
func (n *Node) startFollower(server *peer.Server) (err error) {
	n.repository, err = distribution.NewRepository(distribution.RepositoryOptions{
		Client: repositoryStore{n.store, n.backgroundStore}, Prefix: ConfigPrefix,
	})
	if err != nil {
		return err
	}
	n.follower, err = distribution.NewFollower(n.ctx, distribution.FollowerOptions{
		Self: n.distributionMember(), Members: n.distributionMembers, Peers: n.controlPool, Repository: n.repository,
		Validate: func(document *distribution.Document) (err error) {
			config, err := fleet.FromEntries(document.Entries)
			if err == nil {
				n.accepted.Store(&acceptedConfig{document, config})
			}
			return err
		},
		Applied:         func() uint64 { return n.Snapshot().Revision() },
		CompareInterval: n.settings.Intervals.RevisionCompare, Logger: n.logger, Metrics: n.Metrics,
	})
	if err != nil {
		return err
	}
	changes := n.follower.Subscribe(n.ctx)
	n.apply(n.follower.Document())
	go func() {
		for {
			select {
			case <-changes:
				n.apply(n.follower.Document())
			case <-n.ctx.Done():
				return
			}
		}
	}()
	return server.Register(distribution.Service, n.follower.Receiver())
}

// apply puts a configuration in force on this node, unless it already is. An
// older revision than the one in force breaks an invariant, but is applied unless
// Settings.FatalInvariants is set.
func (n *Node) apply(document *distribution.Document) {
	current := n.Snapshot().Revision()
	if document == nil || document.Revision == current {
		return
	}
	n.checker.Check(document.Revision > current, invariant.MonotonicConfiguration, "configuration revision would decrease",
		"Current", current, "Got", document.Revision)
	config, err := n.decodedConfig(document)
	if err != nil {
		n.logger.Error("configuration not applied", "Revision", document.Revision, "Error", err)
		return
	}
	snapshot := fleet.Compile(config, document.Revision)
	n.snapshot.Store(snapshot)
	n.Scheduler.Apply(snapshot)
	n.logger.Info("configuration applied", "Revision", document.Revision)
}

// decodedConfig returns the configuration in a document. It reuses the one that
// was decoded to validate the document, since decoding a configuration of the
// target size takes most of the processor time of a change. If another document
// has been validated since, it decodes again.
func (n *Node) decodedConfig(document *distribution.Document) (config *fleet.Config, err error) {
	if accepted := n.accepted.Swap(nil); accepted != nil && accepted.document == document {
		return accepted.config, nil
	}
	return fleet.FromEntries(document.Entries)
}

// Isolated reports whether the withdrawal of a key may have been accepted without
// reaching this node. That is ruled out if the revision in force was confirmed
// as the newest within KeyConfirmation, or if this node reaches more than half of
// the known nodes and all readers (the nodes that read the store for the others)
// with a recent report, at least one, say that the store is down. The known nodes
// are this one and all members that haven't left, including recently removed ones.
// While a node is isolated, it isn't ready and refuses requests with a key.
func (n *Node) Isolated() bool {
	if time.Since(n.follower.ConfirmedAt()) <= n.settings.Intervals.KeyConfirmation {
		return false
	}
	reachable, known := n.members.Reachable()
	readers, down := n.follower.ReaderHealth()
	return 2*reachable <= known || readers == 0 || down < readers
}

// startUsageLedger starts the ledger that counts this node's usage and holds
// copies of other nodes' figures.
func (n *Node) startUsageLedger(server *peer.Server) (err error) {
	n.ledger = usage.NewLedger(n.ctx, usage.LedgerOptions{
		Source: n.self, FailureDomain: n.settings.FailureDomain, Members: n.usageMembers, Peers: n.controlPool,
		Logger: n.logger, Metrics: n.Metrics, Window: n.settings.Intervals.UsageWindow,
	})
	return errors.Trace(n.ledger.Register(server))
}

func (n *Node) distributionMember() distribution.Member {
	return distribution.Member{Name: n.settings.Name, Address: n.addresses.peer, FailureDomain: n.settings.FailureDomain}
}

func (n *Node) distributionMembers() (members []distribution.Member) {
	for _, m := range n.Members() {
		members = append(members, distribution.Member{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain})
	}
	return members
}

// usageMembers returns the live nodes for the usage ledger. A member without a
// valid payload gets incarnation 0.
func (n *Node) usageMembers() (members []usage.Member) {
	for _, m := range n.Members() {
		member := usage.Member{Source: usage.Source{Node: m.Name}, Address: m.Address, FailureDomain: m.FailureDomain}
		if len(m.Payload) == 8 {
			member.Incarnation = binary.BigEndian.Uint64(m.Payload)
		}
		members = append(members, member)
	}
	return members
}

// removedNodes returns the members that were removed as dead or unreachable.
// A replaced VM gets a new name, so the old one is listed until the membership
// forgets it, after its default DeadRetention of two hours.
func (n *Node) removedNodes() (names []string) {
	for _, m := range n.members.View().Members {
		if m.State == membership.Dead {
			names = append(names, m.Name)
		}
	}
	return names
}
