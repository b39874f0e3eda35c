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

// Guards against an aggregate that has old totals in place of new ones, since there are
// more totals than fit into a message.
func TestNewTotalsComeFirst(t *testing.T) {
	const nodes, workspaces = 28, 84
	quotas := map[string]quota.Quota{}
	for i := range workspaces {
		quotas[strconv.Itoa(i)] = quota.Quota{Rate: 100, Burst: 100}
	}
	start := func(name string) (a *quota.Accounts) {
		a = quota.New(quota.Options{Node: name, Start: time.UnixMilli(1), Window: 8 * time.Second})
		a.Configure(quotas, 0)
		a.SetListed(nodes+1, 0)
		return a
	}
	reader, now := start("reader"), 10*time.Second
	var others []*quota.Accounts
	report := func() {
		for i, a := range others {
			reader.Apply(strconv.Itoa(i), a.Report(now), true, now)
		}
	}
	for i := range nodes {
		others = append(others, start(strconv.Itoa(i)))
		for workspace := range quotas {
			others[i].Admit(workspace, quota.Usage{}, now)
		}
	}
	for range 10 { // then these totals aren't new any more
		report()
		now += 250 * time.Millisecond
	}
	for _, a := range others {
		a.Admit("7", quota.Usage{}, now)
	}
	report()
	aggregate, news, full := reader.Aggregate(now), 0, 0
	for _, r := range aggregate.Nodes {
		if r.Full {
			full++
		}
		for index, units := range r.Totals {
			if aggregate.Accounts[index].Workspace == "7" && units == 2 {
				news++
			}
		}
	}
	if news != nodes || full < 2 {
		t.Errorf("%d of %d new totals, and %d full reports", news, nodes, full)
	}
}

// Guards against refusals within a quota at nodes that don't have the configuration yet
// which removes it: the others stopped reporting, and counted as unreachable.
func TestReportsGoOnAfterLastQuota(t *testing.T) {
	a, b := quota.New(quota.Options{Node: "a", Start: time.UnixMilli(1)}), quota.New(quota.Options{Node: "b", Start: time.UnixMilli(1)})
	for _, accounts := range []*quota.Accounts{a, b} {
		accounts.Configure(map[string]quota.Quota{"w": {Rate: 100, Burst: 10}}, 0)
		accounts.SetListed(2, 0)
	}
	b.Configure(nil, 0)
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		reports := b.Report(now)
		a.Apply("b", reports, true, now)
		if heard := a.Heard().Nodes; now <= 3*time.Second && heard != 2 {
			t.Fatalf("%d nodes heard from after %s", heard, now)
		}
		if now > 5*time.Second && len(reports.Nodes) > 0 {
			t.Fatalf("still reporting after %s", now)
		}
	}
}
