package quota_test

import (
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
