package node_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/node"
	"github.com/guavagauge/guavagauge/selector"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/storetest"
	"github.com/guavagauge/guavagauge/transport"
)

// maxHeapMB is the part of a node's 256 MB that its configuration may take.
const maxHeapMB = 100

// BenchmarkHeap measures the live heap of a node with an empty configuration and
// with one of the target size. It fails if the configuration takes more memory
// than a node's VM has for it.
func BenchmarkHeap(b *testing.B) {
	for _, size := range []struct {
		name   string
		config func() *fleet.Config
	}{{"Empty", func() *fleet.Config { return &fleet.Config{Owners: []fleet.Owner{{Name: "o0"}}} }}, {"Target", targetConfig}} {
		b.Run(size.name, func(b *testing.B) {
			for range b.N {
				server := storetest.New(storetest.Options{})
				repository, err := distribution.NewRepository(distribution.RepositoryOptions{
					Client: server.Client("operator"), Prefix: node.ConfigPrefix,
				})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := repository.Apply(b.Context(), 0, fleet.Entries(size.config()), testChange()); err != nil {
					b.Fatal(err)
				}
				before := liveHeap()
				loopback := netip.MustParseAddrPort("127.0.0.1:0")
				nodeSettings := &settings.Settings{
					Name: "n", FailureDomain: "domain-0", Region: "region-0",
					Listen:    settings.Listen{Caller: loopback, Peer: loopback, Operator: loopback},
					Intervals: settings.Intervals{ListenerWithdraw: time.Millisecond},
				}
				nodeSettings.FillDefaults()
				n, err := node.New(b.Context(), node.Options{
					Settings: nodeSettings, Network: transport.TCP{}, Store: server.Client("n"),
					Logger: slog.New(slog.DiscardHandler),
				})
				if err != nil {
					b.Fatal(err)
				}
				for n.Snapshot().Revision() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				fillDecisionCaches(n.Snapshot())
				heap := float64(liveHeap()-before) / (1 << 20)
				b.ReportMetric(heap, "heap-MB")
				if heap > maxHeapMB {
					b.Errorf("heap of %.1f MB, want at most %d", heap, maxHeapMB)
				}
				n.Stop(b.Context())
				runtime.KeepAlive(n)
			}
		})
	}
}

// fillDecisionCaches asks for the decision on each pair of workspace and model
// once, so that the snapshot caches all of them. The keys are those of
// targetConfig; an empty configuration has none.
func fillDecisionCaches(snapshot *fleet.Snapshot) {
	for i := range 4200 {
		if workspace, _, ok := snapshot.Authenticate(fmt.Sprint(i)); ok {
			for _, model := range snapshot.Models(workspace) {
				snapshot.Decide(fleet.Query{Workspace: workspace, Target: model})
			}
		}
	}
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first run only queues finalizers and leaves their objects
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// targetConfig returns a configuration of the target size: 4,200 workspaces with
// a key each, 3,300 upstreams, 29 models and 100 rules.
func targetConfig() (c *fleet.Config) {
	c = &fleet.Config{Owners: []fleet.Owner{{Name: "o0"}, {Name: "o1"}}}
	meta := func(i int, labels selector.Labels) fleet.Meta {
		return fleet.Meta{Owner: fmt.Sprint("o", i%2), Name: fmt.Sprint("object-", i), Labels: labels}
	}
	for i := range 3300 {
		c.Upstreams = append(c.Upstreams, fleet.Upstream{
			Meta:          meta(i, selector.Labels{"pool": fmt.Sprint("p", i%7), "size": fmt.Sprint("s", i%3)}),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000),
			FailureDomain: fmt.Sprint("domain-", i%4), Region: fmt.Sprint("region-", i%2), Slots: 8,
		})
	}
	models, _ := selector.Parse("size in (s0, s1)")
	for i := range 4200 {
		c.Workspaces = append(c.Workspaces, fleet.Workspace{
			Meta: meta(i, selector.Labels{"tier": fmt.Sprint("t", i%5)}), RequestsPerSecond: 10, Models: models,
		})
		c.Keys = append(c.Keys, fleet.Key{Meta: meta(i, nil), Workspace: fmt.Sprint("object-", i), SHA256: fleet.HashKey(fmt.Sprint(i))})
	}
	for i := range 29 {
		c.Models = append(c.Models, fleet.Model{Meta: meta(i, selector.Labels{"size": fmt.Sprint("s", i%3)})})
	}
	for i := range 100 {
		r := fleet.Rule{Meta: meta(i, nil), Order: i, Priority: i % 10}
		r.Workspaces, _ = selector.Parse(fmt.Sprintf("tier = t%d", i%6))
		r.Targets, _ = selector.Parse(fmt.Sprintf("size notin (s%d, s%d)", i%3, i%2))
		r.Upstreams, _ = selector.Parse(fmt.Sprintf("pool in (p%d, p%d), region = region-%d", i%7, i%5, i%2))
		c.Rules = append(c.Rules, r)
	}
	return c
}
