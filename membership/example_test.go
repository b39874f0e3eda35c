package membership_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/membership"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/peer"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network := nettest.New()
	join := func(name, ip string) *membership.Group {
		return joinOver(ctx, network, nil, name, ip)
	}
	first, second := join("entry-1", "10.0.0.1"), join("entry-2", "10.0.0.2")
	changes := first.Subscribe(ctx)
	for len(first.View().Live()) < 2 {
		<-changes
	}
	for _, member := range first.View().Live() {
		fmt.Println(member.Name, member.Address, member.State)
	}
	second.Leave(ctx)
	// Output:
	// entry-1 10.0.0.1:7000 Alive
	// entry-2 10.0.0.2:7000 Alive
}

// Guards against messages that package peer can't encode, and against traffic on
// connections that differs much from what the in-memory tests count.
func TestGroupsOverPeerConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		network, set := nettest.New(), metrics.NewSet()
		network.SetDelay(func(netip.Addr, netip.Addr) time.Duration { return time.Millisecond })
		const n = 9
		var groups []*membership.Group
		for i := range n {
			groups = append(groups, joinOver(ctx, network, set, name(i), address(i).Addr().String()))
		}
		time.Sleep(time.Minute)
		bytes := func() (sum int) {
			for _, direction := range []string{"in", "out"} {
				sum += int(set.GetOrCreateCounter(fmt.Sprintf(
					`guavagauge_peer_bytes_total{class="control",side="client",direction=%q}`, direction)).Get())
			}
			return sum
		}
		before := bytes()
		time.Sleep(time.Minute)
		perNode := 2 * float64(bytes()-before) / 60 / n // sent and received
		t.Logf("%.0f bytes/s per node", perNode)
		if perNode < 400 || perNode > 1600 {
			t.Errorf("%.0f bytes/s per node, want 400 to 1600", perNode)
		}
		for _, group := range groups {
			if reachable, known := group.Reachable(); len(group.View().Live()) != n || reachable != n || known != n {
				t.Errorf("%s: %d live, reaches %d of %d", group.Self().Name, len(group.View().Live()), reachable, known)
			}
		}
	})
}

func joinOver(ctx context.Context, network *nettest.Network, set *metrics.Set, name, ip string) *membership.Group {
	at := netip.AddrPortFrom(netip.MustParseAddr(ip), 7000)
	listener, err := network.Host(ip).Listen(ctx, at)
	if err != nil {
		panic(err)
	}
	options := peer.Options{Metrics: set}
	group, err := membership.New(ctx, membership.Options{
		Name: name, Address: at, Peers: peer.NewPool(ctx, network.Host(ip), peer.Control, options),
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7000")},
	})
	if err != nil {
		panic(err)
	}
	if err := peer.NewServer(ctx, listener, options).Register(membership.Service, group.Receiver()); err != nil {
		panic(err)
	}
	return group
}
