package entry_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/entry"
	"github.com/guavagauge/guavagauge/settings"
)

// Guards against an unexpected error in any goroutine of a node that ends the
// process, or ends a background loop for good. The clock is called in all of them,
// so one that panics now and then reaches each.
func TestPanicsEndOnlyTheirWork(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startDesk("d1", "10.2.0.1:80")
		f.configure(1, key)
		var panics atomic.Bool // one call in seven panics
		start := func(name, address string) (n *entry.Node) {
			at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(address), port) }
			s, _ := settings.ParseEntry("entry.toml", nil)
			s.Name, s.FailureDomain, s.Regions = name, "a", map[string]string{"a": "r"}
			s.Listen = settings.EntryListen{Caller: at(80), Ready: at(81), Peer: at(82)}
			s.Store.Address, s.Cloud.Address = netip.MustParseAddrPort(storeAddress+":80"), netip.MustParseAddrPort(cloudAddress+":80")
			n, err := entry.New(context.Background(), entry.Options{
				Settings: s, Logger: slog.New(slog.DiscardHandler), Network: f.network.Host(address), Packets: f.packets.Listen,
				Clock: func() time.Duration {
					// By chance, since a regular period can miss one goroutine for ever.
					if panics.Load() && rand.IntN(7) == 0 {
						panic("unexpected")
					}
					return time.Since(f.start)
				},
			})
			if err != nil {
				f.t.Fatal(err)
			}
			f.cleanups = append(f.cleanups, func() { n.Stop(context.Background()) })
			return n
		}
		nodes := []*entry.Node{start("n1", "10.1.0.1"), start("n2", "10.1.0.2")}
		f.advance(3 * time.Second)
		panics.Store(true)
		missing := []string{"request", "Entry.Follow", "follow configuration", "follow upstreams", "follow store reader", "send datagrams"}
		for round := 0; round < 200 || len(missing) > 0 && round < 5000; round++ {
			f.request("10.1.0.1", http.MethodGet, "/draws/1", "", nil)
			f.request("10.1.0.2", http.MethodGet, "/draws/1", "", nil)
			f.advance(100 * time.Millisecond)
			var text strings.Builder
			for _, n := range nodes {
				n.Metrics.WritePrometheus(&text)
			}
			missing = slices.DeleteFunc(missing, func(where string) bool {
				return strings.Contains(text.String(), `guavagauge_panics_total{where="`+where+`"}`)
			})
		}
		panics.Store(false)
		f.advance(10 * time.Second)
		if len(missing) > 0 {
			t.Errorf("no panic was counted in %q, want the test to reach all", missing)
		}
		// Each background loop still works: the configuration, the upstreams.
		f.configure(2, "key-two")
		f.startDesk("d2", "10.2.0.2:80")
		f.store.Delete("servers/d1")
		f.advance(5 * time.Second)
		for _, node := range []string{"10.1.0.1", "10.1.0.2"} {
			f.expect(f.request(node, http.MethodGet, "/draws/2", "", keyHeader("key-two")), http.StatusOK, "answer of d2")
			f.expect(f.request(node, http.MethodGet, "/draws/3", "", nil), http.StatusUnauthorized, "Key")
		}
	})
}
