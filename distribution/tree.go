package distribution

import (
	"math/rand/v2"
	"slices"

	"github.com/guavagauge/guavagauge/rendezvous"
)

// treePosition is this node's position in the tree of its failure domain. The
// readers are the roots. All nodes derive the same tree from the same list of
// members. While their lists differ, a change may not reach every node through
// the tree; the pulls from random members make up for that.
type treePosition struct {
	reader   bool
	parent   Member // not set for a reader
	children []Member
}

func (f *Follower) treePosition() (p treePosition) {
	// This node takes part even if the list of members doesn't include it yet.
	byName := map[string]Member{f.options.Self.Name: f.options.Self}
	names := []string{f.options.Self.Name}
	for _, m := range f.options.Members() {
		if _, ok := byName[m.Name]; !ok && m.FailureDomain == f.options.Self.FailureDomain {
			byName[m.Name] = m
			names = append(names, m.Name)
		}
	}
	order := rendezvous.Top("distribution/"+f.options.Self.FailureDomain, names, len(names))
	i := slices.Index(order, f.options.Self.Name)
	roots, fanOut := f.options.Readers, f.options.FanOut
	if p.reader = i < roots; !p.reader {
		p.parent = byName[order[(i-roots)/fanOut]]
	}
	first := roots + i*fanOut
	for _, name := range order[min(first, len(order)):min(first+fanOut, len(order))] {
		p.children = append(p.children, byName[name])
	}
	return p
}

// randomMembers returns up to n random live members of any failure domain, other
// than this node.
func (f *Follower) randomMembers(n int) (chosen []Member) {
	members := f.options.Members()
	for _, i := range rand.Perm(len(members)) {
		if len(chosen) == n {
			break
		}
		if members[i].Name != f.options.Self.Name {
			chosen = append(chosen, members[i])
		}
	}
	return chosen
}
