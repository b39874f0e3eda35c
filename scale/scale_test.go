package scale_test

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/scale"
)

// The bounds of sections 1.4, 1.5 and 4 of docs/design.md. Of the store's rates,
// the system may use a quarter.
const (
	controlBytesLimit = 5000            // per second and node, sent and received
	storeReadsLimit   = 2000 / 4        // per second
	storeWritesLimit  = 300 / 4         // per second; the design's "several hundred" is taken as 300
	inForceLimit      = 6 * time.Second // from writing a change until it is in force on all nodes
	changesPerDay     = 11_000
	joinLimit         = 2 * time.Minute
)

var (
	// 390 nodes take up to 14 GB once all of them are connected to each other.
	// They are therefore run only for a short time, with -nodes.
	sizes      = []int{9, 48}
	startSizes = []int{9, 48, 192}

	full   = flag.Bool("full", false, "run all sizes for longer and print the table of docs/CAPACITY.md")
	nodes  = flag.Int("nodes", 0, "size of the fleet in the table; 0 means 9, 48 and 192")
	phase  = flag.Duration("phase", time.Minute, "fake time of each phase of the table")
	settle = flag.Duration("settle", 4*time.Minute, "fake time before the table's quiet phase, in which the nodes connect to each other")
)

// withFleet runs test with a fleet whose nodes are ready and know each other. For
// a *testing.T it does so in a testing/synctest bubble.
func withFleet(t testing.TB, nodes int, config scale.Sizes, test func(f *scale.Cluster)) {
	run := func(t testing.TB) {
		ctx, cancel := context.WithCancel(context.Background())
		f, err := scale.Start(ctx, scale.Options{Nodes: nodes, Config: config.Config()})
		if err != nil {
			t.Fatal(err)
		}
		if _, err = f.AwaitReady(joinLimit); err != nil {
			t.Error(err)
		} else {
			test(f)
		}
		cancel()
		time.Sleep(time.Minute) // until net/http's servers and store calls have ended
	}
	if t, ok := t.(*testing.T); ok {
		synctest.Test(t, func(t *testing.T) { run(t) })
		return
	}
	run(t)
}

// controlBytesPerNode returns the control bytes that a node sends and receives per
// second. A Cost counts each byte once, for its sender.
func controlBytesPerNode(f *scale.Cluster, c scale.Cost) float64 {
	return 2 * float64(c.Control().Bytes) / float64(c.Seconds) / float64(f.Size())
}

// checkControlBytes fails the test if the mean control traffic exceeds its bound.
func checkControlBytes(t *testing.T, f *scale.Cluster, phase string, c scale.Cost) {
	t.Helper()
	if got := controlBytesPerNode(f, c); got > controlBytesLimit {
		t.Errorf("%d nodes, %s: %.0f control bytes/s a node, want at most %d", f.Size(), phase, got, controlBytesLimit)
	}
}

// checkStoreCalls fails the test if the store calls of the worst second exceed
// their bounds.
func checkStoreCalls(t *testing.T, f *scale.Cluster, phase string, c scale.Cost) {
	t.Helper()
	t.Logf("%d nodes, %s: %.0f control bytes/s a node; store %.2f reads/s, %.2f writes/s, %d bytes; worst second %d reads, %d writes, %d control bytes a node",
		f.Size(), phase, controlBytesPerNode(f, c), float64(c.Reads)/float64(c.Seconds), float64(c.Writes)/float64(c.Seconds), c.StoreBytes,
		c.Peak.Reads, c.Peak.Writes, 2*c.Peak.ControlBytes/f.Size())
	if c.Peak.Reads > storeReadsLimit || c.Peak.Writes > storeWritesLimit {
		t.Errorf("%d nodes, %s: %d store reads and %d writes in the worst second, want at most %d and %d",
			f.Size(), phase, c.Peak.Reads, c.Peak.Writes, storeReadsLimit, storeWritesLimit)
	}
}

// Guards against control traffic above the bound in an idle fleet and under
// changes, against store calls that grow in proportion to the number of nodes, and
// against changes that are in force too late.
func TestScaleSteadyStateBounds(t *testing.T) {
	var calls []float64
	for _, n := range sizes {
		withFleet(t, n, scale.Small, func(f *scale.Cluster) {
			time.Sleep(15 * time.Second) // until most nodes have connected to each other
			idle := f.Observe(10*time.Second, nil)
			checkStoreCalls(t, f, "quiet", idle)
			checkControlBytes(t, f, "quiet", idle)
			changes := f.Observe(16*time.Second, func(second int) {
				if second%8 == 0 { // 10,800 a day, or fewer if a change takes longer than a second
					applyChange(t, f)
				}
			})
			checkStoreCalls(t, f, "changes", changes)
			checkControlBytes(t, f, "changes", changes)
			calls = append(calls, float64(idle.Reads+idle.Writes))
		})
	}
	for i := 1; i < len(calls); i++ {
		if calls[i]/calls[i-1] >= float64(sizes[i])/float64(sizes[i-1]) {
			t.Errorf("store calls %v grow in proportion to the fleet sizes %v or faster", calls, sizes)
		}
	}
}

// Guards against control traffic above the bound in the seconds after a
// simultaneous start of all nodes.
func TestScaleStartControlBytes(t *testing.T) {
	for _, n := range startSizes {
		withFleet(t, n, scale.Small, func(f *scale.Cluster) {
			c := f.Observe(10*time.Second, nil)
			checkStoreCalls(t, f, "first seconds", c)
			checkControlBytes(t, f, "first seconds", c)
		})
	}
}

// Guards against a burst of changes that exceeds the bounds of store calls or is
// in force too late.
func TestScaleBurstOfChanges(t *testing.T) {
	withFleet(t, 9, scale.Small, func(f *scale.Cluster) {
		c := f.Observe(10*time.Second, func(second int) {
			if second > 0 {
				return
			}
			for range 20 {
				if err := f.ApplyRevision(); err != nil {
					t.Error(err)
				}
			}
			if _, err := f.AwaitInForce(inForceLimit); err != nil {
				t.Error(err)
			}
		})
		checkStoreCalls(t, f, "burst of 20 changes", c)
	})
}

// Guards against changes that are in force too late, and control traffic above
// the bound, with a configuration of the target's size.
func TestScaleTargetConfigurationBounds(t *testing.T) {
	withFleet(t, 3, scale.Target, func(f *scale.Cluster) {
		time.Sleep(5 * time.Second)
		c := f.Observe(8*time.Second, func(second int) {
			if second == 0 {
				applyChange(t, f)
			}
		})
		checkStoreCalls(t, f, "target configuration, changes", c)
		checkControlBytes(t, f, "target configuration, changes", c)
	})
}

// applyChange applies a change and waits until it is in force on all nodes.
func applyChange(t testing.TB, f *scale.Cluster) (took time.Duration) {
	t.Helper()
	if err := f.ApplyRevision(); err != nil {
		t.Error(err) // Observe calls this from another goroutine, where Fatal may not be used
		return 0
	}
	took, err := f.AwaitInForce(inForceLimit)
	if err != nil {
		t.Error(err)
	}
	return took
}
