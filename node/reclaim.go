package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/rendezvous"
	"github.com/guavagauge/guavagauge/scheduler"
)

const (
	// noticePollPeriod is short because an upstream may end only a few seconds
	// after the notice of its reclaim.
	noticePollPeriod = 500 * time.Millisecond
	noticeTimeout    = 2 * time.Second // for the poll and the forwarding together
)

// watchReclaims polls the platform for reclaim notices and forwards them to the
// schedulers of the upstreams. Only two nodes of each failure domain poll, so
// that the number of calls doesn't grow with the fleet. Both forward every
// notice, since a repeated one is harmless.
func (n *Node) watchReclaims() {
	ticker := time.NewTicker(noticePollPeriod)
	defer ticker.Stop()
	forwarded := make(map[netip.AddrPort]bool)
	for {
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
		if n.pollsNotices() {
			n.forwardNotices(forwarded)
		}
	}
}

// pollsNotices reports whether this node polls for its failure domain. No lease is
// needed, since more than one node may poll.
func (n *Node) pollsNotices() bool {
	var names []string
	for _, m := range n.Members() {
		if m.FailureDomain == n.settings.FailureDomain {
			names = append(names, m.Name)
		}
	}
	return slices.Contains(rendezvous.Top("reclaim", names, candidatesPerRole), n.settings.Name)
}

// forwardNotices fetches the reclaim notices of the failure domain and forwards
// those that haven't been delivered yet. The addresses in forwarded are the
// upstreams whose notices have been; it drops those that the platform no longer
// lists. A failed poll or delivery is repeated at the next poll.
func (n *Node) forwardNotices(forwarded map[netip.AddrPort]bool) {
	ctx, cancel := context.WithTimeout(n.ctx, noticeTimeout)
	defer cancel()
	vms, err := n.options.Platform.Notices(ctx, n.settings.FailureDomain)
	if err != nil {
		n.logger.Debug("call to platform for reclaim notices failed", "Error", err)
		return
	}
	withNotice := make(map[netip.AddrPort]bool)
	for _, vm := range vms {
		withNotice[vm.Address] = true
	}
	for address := range forwarded {
		if !withNotice[address] {
			delete(forwarded, address)
		}
	}
	for _, spec := range n.Snapshot().Upstreams() {
		if withNotice[spec.Address] && !forwarded[spec.Address] {
			forwarded[spec.Address] = n.notifySchedulers(ctx, spec)
		}
	}
}

// notifySchedulers sends a reclaim notice to an upstream's scheduler and its
// fallback. It reports whether all calls succeeded, which is also true if no node
// is alive.
func (n *Node) notifySchedulers(ctx context.Context, spec *fleet.Upstream) (delivered bool) {
	delivered = true
	for _, address := range n.Directory.Schedulers(spec) {
		var reply scheduler.ReclaimReply
		if err := n.controlPool.Call(ctx, address, "Steward.Reclaim", scheduler.ReclaimArgs{Upstream: spec.QualifiedName()}, &reply); err != nil {
			n.logger.Warn("reclaim notice not delivered to scheduler", "Upstream", spec.QualifiedName(), "Node", address, "Error", err)
			delivered = false
		}
	}
	n.logger.Info("upstream is about to be reclaimed", "Upstream", spec.QualifiedName())
	return delivered
}
