// Package rendezvous assigns keys to nodes by rendezvous hashing (highest random
// weight). When a node joins or leaves, only the keys that it owns change their
// owner. Nodes with different lists may disagree on the owner of a key, and so would
// nodes of versions with different hash functions.
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

// Multipliers of the splitmix64 finalizer.
const (
	splitmixFactor1 = 0xbf58476d1ce4e5b9
	splitmixFactor2 = 0x94d049bb133111eb
)

// Weight returns the weight of a node for a key, given the Hash of each. The node
// with the highest weight owns the key. A caller that ranks the same nodes for many
// keys can store their hashes, which Pick and Top compute on each call. The hashes
// are combined as by Boost's hash_combine and mixed by the splitmix64 finalizer.
func Weight(keyHash, nodeHash uint64) uint64 {
	x := keyHash ^ (nodeHash + 0x9e3779b97f4a7c15 + keyHash<<6 + keyHash>>2)
	x = (x ^ x>>30) * splitmixFactor1
	x = (x ^ x>>27) * splitmixFactor2
	return x ^ x>>31
}

// Hash returns the hash of a key or of a node ID, for use with Weight.
func Hash(s string) uint64 {
	return xxhash.Sum64String(s)
}

// Pick returns the node with the highest weight for key. ok is false if there are
// no nodes. The order of nodes doesn't matter.
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

// Top returns the n nodes with the highest weights for key, highest first, or all
// of them if there are fewer. n must not be negative.
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
