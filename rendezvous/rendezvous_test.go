package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/guavagauge/guavagauge/rendezvous"
)

func ExamplePick() {
	owner, _ := rendezvous.Pick("upstream-7", []string{"node-a", "node-b", "node-c"})
	again, _ := rendezvous.Pick("upstream-7", []string{"node-c", "node-a", "node-b"})
	fmt.Println(owner == again)
	// Output: true
}

// Guards against a removed node that makes keys of the remaining nodes change
// their owner, and against keys that are spread unevenly.
func TestRemovalMovesOnlyTheRemovedNodesKeys(t *testing.T) {
	nodes := make([]string, 9)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("10.0.0.%d:7000", i+1)
	}
	rest := slices.Delete(slices.Clone(nodes), 4, 5)
	owned := map[string]int{}
	for i := range 3300 {
		key := fmt.Sprintf("upstream-%d", i)
		before, _ := rendezvous.Pick(key, nodes)
		after, _ := rendezvous.Pick(key, rest)
		owned[before]++
		if before != nodes[4] && before != after {
			t.Fatalf("%s moved from %s to %s although its owner stayed", key, before, after)
		}
		if top := rendezvous.Top(key, nodes, 2); before == nodes[4] && top[1] != after {
			t.Fatalf("%s went to %s, not to its second choice %s", key, after, top[1])
		}
	}
	for node, n := range owned {
		if n < 300 || n > 440 {
			t.Errorf("%s owns %d of 3300 keys, want about 367", node, n)
		}
	}
}
