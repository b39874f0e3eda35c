package quota_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/quota"
)

// Guards against a dead node that counts as heard from in other domains for twice as
// long as in its own, since it is still in their aggregates.
func TestDeadNodeIsNotHeardFromAgain(t *testing.T) {
	q := map[string]quota.Quota{"w": {Rate: 100, Burst: 10}}
	start := func(name string) (a *quota.Accounts) {
		a = quota.New(quota.Options{Node: name, Start: time.UnixMilli(1), Window: 8 * time.Second})
		a.Configure(q, 0)
		a.SetListed(3, 0)
		return a
	}
	dead, reader, remote := start("dead"), start("reader"), start("remote")
	reader.Apply("dead", dead.Report(0), true, 0)
	remote.Apply("reader", reader.Aggregate(0), false, 0)
	now := 1450 * time.Millisecond
	late := reader.Aggregate(now)
	now += 200 * time.Millisecond
	remote.Apply("reader", late, false, now)
	if heard := remote.Heard().Nodes; heard != 2 {
		t.Errorf("heard from %d nodes, want this one and the reader", heard)
	}
}

// Guards against grants that aren't reported within reportDelay because the node sends
// datagrams less often than it repeats changes, as in a domain of 100 nodes.
func TestReportHasAllSinceTheLast(t *testing.T) {
	a := quota.New(quota.Options{Node: "n0", Window: 8 * time.Second})
	a.Configure(map[string]quota.Quota{"w": {Rate: 100, Burst: 10}}, 0)
	a.SetListed(1, 0)
	now := time.Second
	a.Report(now)
	now += time.Millisecond
	a.Admit("w", quota.Usage{}, now)
	now += 620 * time.Millisecond
	r := a.Report(now)
	if len(r.Nodes) != 1 || r.Nodes[0].Totals[0] != 1 {
		t.Errorf("%+v, want a total of 1", r)
	}
}

// Guards against memory and messages that grow with each workspace that ever had a quota.
func TestTotalsOfRemovedQuotasAreDropped(t *testing.T) {
	reader, other := quota.New(quota.Options{Node: "reader", Start: time.UnixMilli(1)}), quota.New(quota.Options{Node: "other", Start: time.UnixMilli(1)})
	now := time.Duration(0)
	total := func(reports quota.Reports) (n int) {
		for _, r := range reports.Nodes {
			n += len(r.Totals)
		}
		return n
	}
	for i := range 100 {
		for _, a := range []*quota.Accounts{reader, other} {
			a.Configure(map[string]quota.Quota{"kept": {Rate: 100, Burst: 10}, fmt.Sprint(i): {Rate: 100, Burst: 10}}, now)
			a.SetListed(2, now)
		}
		now += time.Minute
		for _, workspace := range []string{"kept", strconv.Itoa(i)} {
			for range 2 { // the first is refused by the first configuration, or granted
				other.Admit(workspace, quota.Usage{}, now)
				reader.Admit(workspace, quota.Usage{}, now)
			}
		}
		reader.Apply("other", other.Report(now), true, now)
	}
	if n := total(reader.Aggregate(now)); n < 4 || n > 50 {
		t.Errorf("%d totals of two nodes, want those of the last minutes", n)
	}
	now += time.Hour
	reader.Apply("other", other.Report(now), true, now)
	if n := total(reader.Aggregate(now)); n != 4 {
		t.Errorf("%d totals, want those in force", n)
	}
}
