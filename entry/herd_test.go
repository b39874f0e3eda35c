package entry_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against all nodes that read the store again when it comes back from an older
// copy: nodes of one failure domain share what their store reader reads, and each writes
// its own entry once.
func TestReturnOfStoreCausesNoHerd(t *testing.T) {
	const (
		nodes  = 42 // in three failure domains
		period = 12 * time.Second
		// A node registers again with two calls. Three readers and the leader share the rest.
		limitPerNode = 4
	)
	runWithFleet(t, func(f *testFleet) {
		f.domains = map[string]string{}
		f.configure(1, key)
		f.startDesk("d1", "10.2.0.1:80")
		for i := range nodes {
			name := fmt.Sprintf("n%02d", i)
			f.domains[name] = []string{"a", "b", "c"}[i%3]
			f.startNode(name, fmt.Sprintf("10.1.1.%d", i+1))
		}
		f.advance(10 * time.Second)
		calls := func() (atFullPrice int) {
			before := f.store.CallsByKind()
			f.advance(period)
			for kind, n := range f.store.CallsByKind() {
				if kind != "kv-range stale" && kind != "kv-keep" {
					atFullPrice += n - before[kind]
				}
			}
			return atFullPrice
		}
		calm, old := calls(), f.store.Copy()
		f.configure(3, key)
		f.advance(2 * time.Second)
		f.store.Restore(old)
		time.AfterFunc(3*time.Second, func() { f.configure(3, key) })
		restored := calls()
		t.Logf("%d calls at the full price in %s after the return, %d before", restored, period, calm)
		if restored > calm+nodes*limitPerNode {
			t.Errorf("%d calls at the full price by %d nodes, want at most %d a node more than the %d before", restored, nodes, limitPerNode, calm)
		}
	})
}
