// Package rendezvous picks owners by highest-random-weight hashing. When a
// node joins or leaves, only the keys that it owns change their owner.
//
// # Usage
//
//	owner, ok := rendezvous.Pick(key, nodeIDs)
//	first3 := rendezvous.Top(key, nodeIDs, 3)
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Mixing constants of the splitmix64 finalizer.
const (
	mix1 = 0xbf58476d1ce4e5b9
	mix2 = 0x94d049bb133111eb
)

// Weight is the score of a node for a key. Higher wins.
func Weight(keyHash, nodeHash uint64) uint64 {
	x := keyHash ^ (nodeHash + 0x9e3779b97f4a7c15 + keyHash<<6 + keyHash>>2)
	x = (x ^ x>>30) * mix1
	x = (x ^ x>>27) * mix2
	return x ^ x>>31
}

// Hash returns the hash of a key or a node id as Weight takes it.
func Hash(s string) uint64 {
	return xxhash.Sum64String(s)
}

// Pick returns the node with the highest weight for key, and false when there
// are no nodes. The order of nodes doesn't matter.
func Pick(key string, nodes []string) (node string, ok bool) {
	keyHash := Hash(key)
	var best uint64
	for _, candidate := range nodes {
		weight := Weight(keyHash, Hash(candidate))
		if !ok || weight > best || (weight == best && candidate < node) {
			node, best, ok = candidate, weight, true
		}
	}
	return node, ok
}

// Top returns up to n nodes by falling weight for key.
func Top(key string, nodes []string, n int) (top []string) {
	type scored struct {
		node   string
		weight uint64
	}
	keyHash := Hash(key)
	all := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, scored{node, Weight(keyHash, Hash(node))})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	for _, s := range all[:min(n, len(all))] {
		top = append(top, s.node)
	}
	return top
}
