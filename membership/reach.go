package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSample is the largest number of members whose contact ages a message
	// carries. In a fleet of up to this size Reachable is exact. In a larger one,
	// it extrapolates from the members with the lowest name hashes, with a
	// standard error below 7% of the fleet.
	maxSample = 64
	ageUnit   = 20 * time.Millisecond
	noContact = 255
	// maxSinceReply is how long ago the last answered call of this node may have
	// been sent for it to accept the contact ages in a request. A request may have
	// waited in a socket buffer while this process was paused or cut off; a reply
	// can't be older than its call.
	maxSinceReply = time.Second
)

// contactSample holds when a sample of the members last had contact with this
// node, directly or through other members. Both kinds of contact arrive as contact
// ages: in its own messages, a member has age 0.
type contactSample struct {
	stale            bool     // the sample has to be chosen anew
	sample           []string // member names
	sampleIDs        []uint32
	sampleHash       uint32
	lastContact      []time.Time // by index in sample
	lastAnsweredCall time.Time   // when the last answered call was sent
}

// Reachable returns the number of known members, and how many of them had contact
// with this node, directly or through other members, within the last ReachWindow.
// Both numbers include this node. known includes removed members for
// DeadRetention, but not those that left. With more than 64 known members,
// reachable is an estimate. It is 1 if no call of this node sent within ReachWindow
// was answered, whatever requests arrive.
func (g *Group) Reachable() (reachable, known int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooseSample()
	known = 1
	for _, r := range g.members {
		if !r.left {
			known++
		}
	}
	now := time.Now()
	if now.Sub(g.contacts.lastAnsweredCall) > g.options.ReachWindow {
		return 1, known
	}
	for i, name := range g.contacts.sample {
		if name == g.self.Name || now.Sub(g.contacts.lastContact[i]) <= g.options.ReachWindow {
			reachable++
		}
	}
	return max(1, reachable*known/len(g.contacts.sample)), known
}

// chooseSample chooses the members of the sample anew if the known members have
// changed. Nodes that know the same members choose the same sample. The caller
// holds mu.
func (g *Group) chooseSample() {
	if !g.contacts.stale && g.contacts.sample != nil {
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
	all = all[:min(len(all), maxSample)]
	previous := g.contacts
	lastContact := make(map[string]time.Time, len(previous.sample))
	for i, name := range previous.sample {
		lastContact[name] = previous.lastContact[i]
	}
	g.contacts = contactSample{lastAnsweredCall: previous.lastAnsweredCall}
	for _, h := range all {
		g.contacts.sample = append(g.contacts.sample, h.name)
		g.contacts.sampleIDs = append(g.contacts.sampleIDs, uint32(h.hash))
		g.contacts.sampleHash = g.contacts.sampleHash*31 + uint32(h.hash>>32)
		g.contacts.lastContact = append(g.contacts.lastContact, lastContact[h.name])
	}
}

// contactAges returns the hash of the sample and how long ago the last contact
// with each member of it was, in units of ageUnit. The caller holds mu.
func (g *Group) contactAges() (sampleHash uint32, ages []byte) {
	g.chooseSample()
	now := time.Now()
	ages = make([]byte, len(g.contacts.sample))
	for i, name := range g.contacts.sample {
		if name != g.self.Name {
			// Rounded up, so that an age never shrinks when it is passed on.
			ages[i] = byte(min(noContact, (now.Sub(g.contacts.lastContact[i])+ageUnit-1)/ageUnit))
		}
	}
	return g.contacts.sampleHash, ages
}

// mergeContactAges merges the contact ages of a message into the sample. The ages
// are relative to asOf, which is when the call was sent if the message is a reply,
// and when the message arrived if it is a request. A request over another sample
// than this node's is ignored; a reply over another one carries SampleIDs, by which
// the members in both samples are found. The caller holds mu.
func (g *Group) mergeContactAges(message *Message, asOf time.Time, isReply bool) {
	g.chooseSample()
	if isReply {
		if asOf.After(g.contacts.lastAnsweredCall) {
			g.contacts.lastAnsweredCall = asOf
		}
	} else if time.Since(g.contacts.lastAnsweredCall) > maxSinceReply {
		return
	}
	if len(message.SampleIDs) == 0 && message.SampleHash != g.contacts.sampleHash {
		return
	}
	for i, age := range message.ContactAges {
		if age == noContact || i >= maxSample {
			continue
		}
		index := i
		if len(message.SampleIDs) > i {
			index = slices.Index(g.contacts.sampleIDs, message.SampleIDs[i])
		}
		if index >= 0 && index < len(g.contacts.sample) {
			if at := asOf.Add(-time.Duration(age) * ageUnit); at.After(g.contacts.lastContact[index]) {
				g.contacts.lastContact[index] = at
			}
		}
	}
}
