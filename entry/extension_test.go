package entry

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/settings"
)

// Guards against datagrams that nodes of an earlier version can't decode, though nothing
// calls for an extension.
func TestEmptyExtensionChangesDatagram(t *testing.T) {
	encoded, err := cbor.Marshal(message{Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	extended, err := extension{}.appendTo(encoded)
	if err != nil || len(extended) != len(encoded) {
		t.Fatalf("empty extension: %d bytes, error %v, want %d bytes", len(extended), err, len(encoded))
	}
	var m message
	if err := cbor.Unmarshal(extended, &m); err != nil || m.Node != "n1" {
		t.Fatalf("message: %+v, error %v", m, err)
	}
}

// Guards against speeds of upstreams that don't reach the nodes of all domains, that come
// back to the domain they are from, and that are sent though no upstream says how fast
// it is.
func TestSpeedsReachOtherNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	upstream := discovery.Upstream{ID: "u", Service: "desk", FailureDomain: "a", Slots: 4}
	newNode := func(name, domain string) (p *peers) {
		n := &Node{
			settings: &settings.EntrySettings{Name: name, FailureDomain: domain}, Metrics: metrics.NewSet(),
			clock: func() time.Duration { return 0 },
		}
		n.quotas = newQuotas(n)
		n.dispatcher = dispatch.New(dispatch.Options{FailureDomain: domain, Regions: map[string]string{"a": "r", "b": "s"}, Node: name})
		n.dispatcher.Sync([]discovery.Upstream{upstream}, []routing.Service{{Name: "desk"}})
		return &peers{node: n}
	}
	deliver := func(from, to *peers, x extension, aggregate bool) (bytes int) {
		t.Helper()
		encoded, err := x.appendTo(nil)
		if err == nil {
			err = to.applyExtension(&message{Node: from.node.settings.Name, FailureDomain: from.node.settings.FailureDomain, Aggregate: aggregate}, encoded, now)
		}
		if err != nil {
			t.Fatal(err)
		}
		return len(encoded)
	}
	n1, reader, otherReader, n4 := newNode("n1", "a"), newNode("n2", "a"), newNode("n3", "b"), newNode("n4", "b")
	answer := func(slowdown int) {
		choice, _ := n1.node.dispatcher.PlacePlain("desk", nil, now)
		job := n1.node.dispatcher.Begin(choice, now)
		job.ObserveLoad(platform.Load{Known: true, Slots: 4, SlowdownPercent: slowdown}, now)
		job.End(now.Add(20*time.Millisecond), dispatch.Served)
	}
	answer(0)
	if bytes := deliver(n1, reader, n1.localExtension(now), false); bytes != 0 {
		t.Errorf("%d bytes sent without a figure", bytes)
	}
	answer(250)
	deliver(n1, reader, n1.localExtension(now), false)
	deliver(reader, otherReader, reader.remoteExtension(now), true)
	deliver(otherReader, n4, otherReader.localExtension(now), false)
	for _, p := range []*peers{n1, reader, otherReader, n4} {
		if _, ok := p.node.dispatcher.Speed("u", now); !ok {
			t.Errorf("%s doesn't know the speed", p.node.settings.Name)
		}
	}
	if x := n4.remoteExtension(now); !x.Own.isEmpty() {
		t.Errorf("sent back to the domain it is from: %+v", x.Own)
	}
}
