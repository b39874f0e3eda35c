package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBeacons is the number of members whose last contact is spread. Up to
	// this size Reachable is exact; beyond it, the members with the lowest name
	// hashes stand for all, with a standard error below 7% of the fleet.
	maxBeacons = 64
	ageUnit    = 20 * time.Millisecond
	unheard    = 255
	// requestTrust is how recently this node must have had an answer for it to
	// believe the ages in others' requests. A request may have waited in a
	// socket while this process was paused or cut off; a reply can't be older
	// than the call.
	requestTrust = time.Second
)

// reach tracks how long ago members were in touch, directly or through others.
type reach struct {
	stale    bool // the beacons have to be chosen anew
	beacons  []string
	ids      []uint32
	sum      uint32
	times    []time.Time // of the last contact, by beacon
	answered time.Time   // when the last answered call was sent
}

// Reachable returns how many of the members that this node last knew it was in
// touch with, directly or through others, within the last ReachWindow. Both
// numbers include this node; known includes removed members for DeadRetention,
// but not those that left. Beyond 64 members heard is an estimate.
func (g *Group) Reachable() (heard, known int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooseBeacons()
	known = 1
	for _, r := range g.members {
		if !r.left {
			known++
		}
	}
	now := time.Now()
	if now.Sub(g.reach.answered) > g.options.ReachWindow {
		return 1, known
	}
	for i, name := range g.reach.beacons {
		if name == g.self.Name || now.Sub(g.reach.times[i]) <= g.options.ReachWindow {
			heard++
		}
	}
	return max(1, heard*known/len(g.reach.beacons)), known
}

// chooseBeacons picks the same members on all nodes that know the same members.
// The caller holds mu.
func (g *Group) chooseBeacons() {
	if !g.reach.stale && g.reach.beacons != nil {
		return
	}
	type hashed struct {
		name string
		hash uint64
	}
	all := []hashed{{g.self.Name, xxhash.Sum64String(g.self.Name)}}
	for name, r := range g.members {
		if !r.left {
			all = append(all, hashed{name, xxhash.Sum64String(name)})
		}
	}
	slices.SortFunc(all, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	all = all[:min(len(all), maxBeacons)]
	last := g.reach
	times := make(map[string]time.Time, len(last.beacons))
	for i, name := range last.beacons {
		times[name] = last.times[i]
	}
	g.reach = reach{answered: last.answered}
	for _, h := range all {
		g.reach.beacons = append(g.reach.beacons, h.name)
		g.reach.ids = append(g.reach.ids, uint32(h.hash))
		g.reach.sum = g.reach.sum*31 + uint32(h.hash>>32)
		g.reach.times = append(g.reach.times, times[h.name])
	}
}

// ages returns how long ago each beacon was in touch, in units of ageUnit. The
// caller holds mu.
func (g *Group) ages() (sum uint32, ages []byte) {
	g.chooseBeacons()
	now := time.Now()
	ages = make([]byte, len(g.reach.beacons))
	for i, name := range g.reach.beacons {
		if name != g.self.Name {
			// Rounded up, so that news doesn't grow younger on its way.
			ages[i] = byte(min(unheard, (now.Sub(g.reach.times[i])+ageUnit-1)/ageUnit))
		}
	}
	return g.reach.sum, ages
}

// heard takes in the ages of a message that can't have been sent before the
// given time. The caller holds mu.
func (g *Group) heard(message *Message, sent time.Time, isReply bool) {
	g.chooseBeacons()
	if isReply {
		if sent.After(g.reach.answered) {
			g.reach.answered = sent
		}
	} else if time.Since(g.reach.answered) > requestTrust {
		return
	}
	if len(message.SampleIDs) == 0 && message.SampleHash != g.reach.sum {
		return
	}
	for i, age := range message.ContactAges {
		if age == unheard || i >= maxBeacons {
			continue
		}
		index := i
		if len(message.SampleIDs) > i {
			index = slices.Index(g.reach.ids, message.SampleIDs[i])
		}
		if index >= 0 && index < len(g.reach.beacons) {
			if at := sent.Add(-time.Duration(age) * ageUnit); at.After(g.reach.times[index]) {
				g.reach.times[index] = at
			}
		}
	}
}
