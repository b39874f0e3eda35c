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
	"github.com/guavagauge/guavagauge/usage"
)

// ConfigPrefix begins the store keys of the configuration.
const ConfigPrefix = "config/"

// join takes part in the membership and keeps the directory up to date.
func (n *Node) join(server *peer.Server) (err error) {
	intervals := n.settings.Intervals
	options := membership.Options{
		Name: n.settings.Name, Address: n.addresses.peer, FailureDomain: n.settings.FailureDomain, Region: n.settings.Region,
		Payload: binary.BigEndian.AppendUint64(nil, n.self.Incarnation),
		Peers:   n.control, Seeds: n.settings.Seeds,
		Interval: intervals.Probe, DirectTimeout: intervals.ProbeTimeout, SuspectTimeout: intervals.Suspicion,
		Logger: n.logger,
	}
	if n.options.Platform != nil {
		options.Discover = n.listedNodes
	}
	if n.members, err = membership.New(n.ctx, options); err != nil {
		return err
	}
	changes := n.members.Subscribe(n.ctx)
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

// listedNodes returns the platform's list of entry VMs, which lags.
func (n *Node) listedNodes(ctx context.Context) (addresses []netip.AddrPort, err error) {
	vms, err := n.options.Platform.VMs(ctx)
	for _, vm := range vms {
		if vm.Kind == provider.Entry {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses, err
}

// follow puts each accepted configuration in force.
func (n *Node) follow(server *peer.Server) (err error) {
	n.repository, err = distribution.NewRepository(distribution.RepositoryOptions{Client: n.store, Prefix: ConfigPrefix})
	if err != nil {
		return err
	}
	n.follower, err = distribution.NewFollower(n.ctx, distribution.FollowerOptions{
		Self: n.distributionMember(), Members: n.distributionMembers, Peers: n.control, Repository: n.repository,
		Validate: func(document *distribution.Document) (err error) {
			config, err := fleet.FromEntries(document.Entries)
			if err == nil {
				n.accepted.Store(&accepted{document, config})
			}
			return err
		},
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

// apply puts a configuration in force on this node.
func (n *Node) apply(document *distribution.Document) {
	current := n.Snapshot().Revision()
	if document == nil || document.Revision == current {
		return
	}
	n.checker.Check(document.Revision > current, invariant.MonotonicConfiguration, "a lower revision was to be applied",
		"Current", current, "Got", document.Revision)
	config, err := n.configOf(document)
	if err != nil {
		n.logger.Error("configuration not applied", "Revision", document.Revision, "Error", err)
		return
	}
	snapshot := fleet.Compile(config, document.Revision)
	n.snapshot.Store(snapshot)
	n.Steward.Apply(snapshot)
	n.logger.Info("configuration in force", "Revision", document.Revision)
}

// configOf returns the configuration that was read when the document was
// accepted. Reading that of the target takes most of a change's processor time.
func (n *Node) configOf(document *distribution.Document) (config *fleet.Config, err error) {
	if last := n.accepted.Swap(nil); last != nil && last.document == document {
		return last.config, nil
	}
	return fleet.FromEntries(document.Entries)
}

// Isolated reports whether a withdrawal of a key may have been accepted without
// this node knowing. While the newest revision was confirmed lately, none can
// have been. Neither can one when most of the nodes are in touch and all readers
// among them find the store down.
func (n *Node) Isolated() bool {
	if time.Since(n.follower.ConfirmedAt()) <= n.settings.Intervals.KeyConfirmation {
		return false
	}
	heard, known := n.members.Reachable()
	readers, down := n.follower.ReaderHealth()
	return 2*heard <= known || readers == 0 || down < readers
}

// keepLedger counts usage and holds copies for other nodes.
func (n *Node) keepLedger(server *peer.Server) (err error) {
	n.ledger = usage.NewLedger(n.ctx, usage.LedgerOptions{
		Source: n.self, FailureDomain: n.settings.FailureDomain, Members: n.usageMembers, Peers: n.control,
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

// removed returns the nodes that died or are cut off, as far as they are still
// remembered. Replaced VMs have other names and stay among them for two hours.
func (n *Node) removed() (names []string) {
	for _, m := range n.members.View().Members {
		if m.State == membership.Dead {
			names = append(names, m.Name)
		}
	}
	return names
}
