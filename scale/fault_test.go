package scale_test

import (
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/scale"
)

const (
	recoveryLimit = time.Minute // until every node has all others in its directory again
	// steadyWatches is the number of concurrent watches: those of two
	// configuration readers in each of four failure domains, and of two candidates
	// for each of four usage shards.
	steadyWatches = 4*2 + 4*2
)

// partitionDuration is the time for which region 1 is isolated.
var partitionDuration = time.Hour

// Guards against store calls and control traffic that exceed their bounds when
// all nodes of a failure domain stop and later start at the same time, and
// against watches by all of the started nodes, which would each compete for the
// leases.
func TestScaleDomainLoss(t *testing.T) {
	fleetSizes := []int{48}
	if *full {
		fleetSizes = []int{9, 48, 192}
	}
	for _, n := range fleetSizes {
		withFleet(t, n, scale.Small, func(f *scale.Cluster) { checkDomainLoss(t, f) })
	}
}

// Guards against store calls that exceed their bounds while a region is isolated
// for an hour or once it is reachable again, and against a change made in the
// meantime that takes longer than the bound to reach the region's nodes after
// the partition.
func TestScalePartition(t *testing.T) {
	withFleet(t, 9, scale.Small, func(f *scale.Cluster) { checkPartition(t, f, partitionDuration) })
}

// Guards against control traffic above the bound in the seconds after a
// partition between regions has healed.
func TestScalePartitionHealControlBytes(t *testing.T) {
	withFleet(t, 9, scale.Small, func(f *scale.Cluster) {
		f.Partition()
		time.Sleep(partitionDuration)
		f.Heal()
		c := f.Observe(10*time.Second, nil)
		checkControlBytes(t, f, "partition healed", c)
	})
}

// TestScalePartitionLarge runs the checks of TestScalePartition at larger sizes
// and prints the rows of docs/CAPACITY.md.
func TestScalePartitionLarge(t *testing.T) {
	if !*full {
		t.Skip("takes minutes; run with -full")
	}
	for _, size := range []struct {
		nodes    int
		duration time.Duration
	}{{48, time.Hour}, {192, 3 * time.Minute}} { // 390 nodes take more than 11 GB
		withFleet(t, size.nodes, scale.Small, func(f *scale.Cluster) {
			time.Sleep(30 * time.Second)
			checkPartition(t, f, size.duration)
		})
	}
}

// checkDomainLoss kills all nodes of a failure domain at once, starts them again
// at once, and checks the fleet's cost after either step.
func checkDomainLoss(t *testing.T, f *scale.Cluster) {
	killed := f.KillDomain(1)
	lost := f.Observe(20*time.Second, nil)
	checkStoreCalls(t, f, "failure domain lost", lost)
	checkControlBytes(t, f, "failure domain lost", lost)
	if _, err := f.AwaitReady(recoveryLimit); err != nil {
		t.Error(err)
	}
	restarted := f.Observe(20*time.Second, func(second int) {
		if second > 0 {
			return
		}
		for i := range f.Size() {
			if f.Node(i) == nil {
				if err := f.StartNode(i); err != nil {
					t.Error(err)
				}
				killed--
			}
		}
	})
	checkStoreCalls(t, f, "failure domain restarted", restarted)
	checkControlBytes(t, f, "failure domain restarted", restarted)
	if restarted.Watches > 2*steadyWatches {
		t.Errorf("%d nodes: %d watches began while the failure domain restarted, want at most %d", f.Size(), restarted.Watches, 2*steadyWatches)
	}
	if _, err := f.AwaitReady(recoveryLimit); err != nil || killed != 0 {
		t.Error(err, killed)
	}
	if *full {
		printRow(f, "failure domain lost", lost)
		printRow(f, "failure domain restarted", restarted)
	}
}

// checkPartition isolates a region for the duration, makes a change just before
// the partition heals and observes the recovery.
func checkPartition(t *testing.T, f *scale.Cluster, duration time.Duration) {
	f.Partition()
	first := f.Observe(20*time.Second, nil)
	checkStoreCalls(t, f, "partition begins", first)
	rest := f.Observe(duration-20*time.Second, nil)
	checkStoreCalls(t, f, "regions partitioned", rest)
	checkControlBytes(t, f, "regions partitioned", rest)
	if err := f.ApplyRevision(); err != nil {
		t.Error(err)
	}
	f.Heal()
	healed := time.Now()
	afterHeal := f.Observe(20*time.Second, func(second int) {
		if second > 0 {
			return
		}
		took, err := f.AwaitInForce(inForceLimit)
		t.Logf("%d nodes: the change made during the partition was in force on all nodes %s after it healed", f.Size(), took)
		if err != nil {
			t.Error(err)
		}
	})
	checkStoreCalls(t, f, "partition healed", afterHeal)
	if _, err := f.AwaitReady(recoveryLimit); err != nil {
		t.Error(err)
	}
	t.Logf("%d nodes: at most %s after the partition healed, all nodes were ready and had each other in their directories", f.Size(), time.Since(healed))
	if *full {
		printRow(f, "partition begins", first)
		printRow(f, "regions partitioned for "+duration.String(), rest)
		printRow(f, "partition healed", afterHeal)
	}
}
