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

const header = "| nodes | phase | s | control bytes/s a node | worst | messages/s a node by service | bytes/s a node by service | " +
	"store reads/s | worst | writes/s | worst | watches/s | store bytes/s | worst |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// row prints what a phase cost. Bytes of a node are those sent and received;
// messages are those sent, answers included.
func row(f *scale.Cluster, phase string, c scale.Cost) {
	second := func(n int) string { return fmt.Sprintf("%.1f", float64(n)/float64(c.Seconds)) }
	var messages, bytes []string
	for _, service := range slices.Sorted(maps.Keys(c.Peers)) {
		t := c.Peers[service]
		of := float64(c.Seconds) * float64(f.Size())
		messages = append(messages, fmt.Sprintf("%s %.1f", service, float64(t.Messages)/of))
		bytes = append(bytes, fmt.Sprintf("%s %.0f", service, 2*float64(t.Bytes)/of))
	}
	fmt.Printf("| %d | %s | %d | %.0f | %d | %s | %s | %s | %d | %s | %d | %s | %s | %d |\n", f.Size(), phase, c.Seconds, perNode(f, c),
		2*c.Peak.ControlBytes/f.Size(), strings.Join(messages, ", "), strings.Join(bytes, ", "), second(c.Reads), c.Peak.Reads,
		second(c.Writes), c.Peak.Writes, second(c.Watches), second(c.StoreBytes), c.Peak.StoreBytes)
}

// TestScaleTable prints the table of docs/CAPACITY.md. It checks nothing that
// the other tests don't, and runs with -full only.
func TestScaleTable(t *testing.T) {
	if !*full {
		t.Skip("takes minutes; run with -full")
	}
	fmt.Println(header)
	list := startSizes
	if *nodes > 0 {
		list = []int{*nodes}
	}
	for _, n := range list {
		inFleet(t, n, scale.Small, func(f *scale.Cluster) { phases(t, f) })
	}
}

func phases(t *testing.T, f *scale.Cluster) {
	row(f, "first 20 s after all joined", f.Observe(20*time.Second, nil))
	time.Sleep(*settle)
	row(f, "quiet", f.Observe(*phase, nil))
	took := time.Duration(0)
	row(f, "one change in 8 s", f.Observe(*phase, func(second int) {
		if second%8 == 0 {
			took = max(took, change(t, f))
		}
	}))
	row(f, "burst of 20 changes", f.Observe(10*time.Second, func(second int) {
		if second == 0 {
			for range 20 {
				if err := f.ApplyRevision(); err != nil {
					t.Error(err)
				}
			}
			last, err := f.AwaitInForce(inForce)
			if err != nil {
				t.Error(err)
			}
			took = max(took, last)
		}
	}))
	fmt.Printf("| %d | slowest change in force after %s |\n", f.Size(), took)
	row(f, "one restart in 5 s", f.Observe(*phase, func(second int) {
		if second%5 == 0 {
			i := (second*7 + 1) % f.Size()
			f.Kill(i)
			if err := f.StartNode(i); err != nil {
				t.Error(err)
			}
		}
	}))
}
