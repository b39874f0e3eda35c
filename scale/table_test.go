package scale_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/scale"
)

const tableHeader = "| nodes | phase | s | control bytes/s a node | worst | messages/s a node by service | bytes/s a node by service | " +
	"store reads/s | worst | writes/s | worst | watches/s | store bytes/s | worst |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// printRow prints the cost of a phase as a row of the table. The bytes of a node
// are those sent and received; the messages are those sent, responses included.
func printRow(f *scale.Cluster, phase string, c scale.Cost) {
	perSecond := func(n int) string { return fmt.Sprintf("%.1f", float64(n)/float64(c.Seconds)) }
	var messages, bytes []string
	for _, service := range slices.Sorted(maps.Keys(c.Peers)) {
		t := c.Peers[service]
		nodeSeconds := float64(c.Seconds) * float64(f.Size())
		messages = append(messages, fmt.Sprintf("%s %.1f", service, float64(t.Messages)/nodeSeconds))
		bytes = append(bytes, fmt.Sprintf("%s %.0f", service, 2*float64(t.Bytes)/nodeSeconds))
	}
	fmt.Printf("| %d | %s | %d | %.0f | %d | %s | %s | %s | %d | %s | %d | %s | %s | %d |\n", f.Size(), phase, c.Seconds, controlBytesPerNode(f, c),
		2*c.Peak.ControlBytes/f.Size(), strings.Join(messages, ", "), strings.Join(bytes, ", "), perSecond(c.Reads), c.Peak.Reads,
		perSecond(c.Writes), c.Peak.Writes, perSecond(c.Watches), perSecond(c.StoreBytes), c.Peak.StoreBytes)
}

// TestScaleTable prints the table of docs/CAPACITY.md. It checks nothing that
// the other tests don't check.
func TestScaleTable(t *testing.T) {
	if !*full {
		t.Skip("takes minutes; run with -full")
	}
	fmt.Println(tableHeader)
	fleetSizes := startSizes
	if *nodes > 0 {
		fleetSizes = []int{*nodes}
	}
	for _, n := range fleetSizes {
		withFleet(t, n, scale.Small, func(f *scale.Cluster) { printPhases(t, f) })
	}
}

// printPhases prints a row for each phase of a fleet.
func printPhases(t *testing.T, f *scale.Cluster) {
	printRow(f, "first 20 s after all joined", f.Observe(20*time.Second, nil))
	time.Sleep(*settle)
	printRow(f, "quiet", f.Observe(*phase, nil))
	slowest := time.Duration(0)
	printRow(f, "one change every 8 s", f.Observe(*phase, func(second int) {
		if second%8 == 0 {
			slowest = max(slowest, applyChange(t, f))
		}
	}))
	printRow(f, "burst of 20 changes", f.Observe(10*time.Second, func(second int) {
		if second == 0 {
			for range 20 {
				if err := f.ApplyRevision(); err != nil {
					t.Error(err)
				}
			}
			last, err := f.AwaitInForce(inForceLimit)
			if err != nil {
				t.Error(err)
			}
			slowest = max(slowest, last)
		}
	}))
	fmt.Printf("| %d | slowest change in force after %s |\n", f.Size(), slowest)
	printRow(f, "one restart every 5 s", f.Observe(*phase, func(second int) {
		if second%5 == 0 {
			i := (second*7 + 1) % f.Size()
			f.Kill(i)
			if err := f.StartNode(i); err != nil {
				t.Error(err)
			}
		}
	}))
}
