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
	// noticePeriod is short, since an upstream may go a few seconds after the
	// notice of its reclaim.
	noticePeriod  = 500 * time.Millisecond
	noticeTimeout = 2 * time.Second
)

// watchReclaims passes the platform's reclaim notices on to the schedulers of
// the upstreams. Two nodes of each failure domain ask the platform, so the
// calls don't grow with the fleet, and a repeated notice is harmless.
func (n *Node) watchReclaims() {
	ticker := time.NewTicker(noticePeriod)
	defer ticker.Stop()
	passed := make(map[netip.AddrPort]bool)
	for {
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
		if n.asksForNotices() {
			n.passNotices(passed)
		}
	}
}

func (n *Node) asksForNotices() bool {
	var names []string
	for _, m := range n.Members() {
		if m.FailureDomain == n.settings.FailureDomain {
			names = append(names, m.Name)
		}
	}
	return slices.Contains(rendezvous.Top("reclaim", names, candidatesPerRole), n.settings.Name)
}

// passNotices tells the schedulers of upstreams that are about to go and
// weren't in the last answer.
func (n *Node) passNotices(passed map[netip.AddrPort]bool) {
	ctx, cancel := context.WithTimeout(n.ctx, noticeTimeout)
	defer cancel()
	leaving, err := n.options.Platform.Notices(ctx, n.settings.FailureDomain)
	if err != nil {
		n.logger.Debug("reclaim notices not read", "Error", err)
		return
	}
	noticed := make(map[netip.AddrPort]bool)
	for _, vm := range leaving {
		noticed[vm.Address] = true
	}
	for address := range passed {
		if !noticed[address] {
			delete(passed, address)
		}
	}
	for _, spec := range n.Snapshot().Upstreams() {
		if noticed[spec.Address] && !passed[spec.Address] {
			passed[spec.Address] = n.reclaim(ctx, spec)
		}
	}
}

// reclaim tells an upstream's scheduler, and the node that is next in line.
func (n *Node) reclaim(ctx context.Context, spec *fleet.Upstream) (told bool) {
	told = true
	for _, address := range n.Directory.Schedulers(spec) {
		var reply scheduler.ReclaimReply
		if err := n.control.Call(ctx, address, "Steward.Reclaim", scheduler.ReclaimArgs{Upstream: spec.QualifiedName()}, &reply); err != nil {
			n.logger.Warn("reclaim notice not passed on", "Upstream", spec.QualifiedName(), "Node", address, "Error", err)
			told = false
		}
	}
	n.logger.Info("upstream is reclaimed", "Upstream", spec.QualifiedName())
	return told
}
