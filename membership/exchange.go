package membership

import (
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	digestBuckets     = 32
	exchangeTimeout   = 2 * time.Second
	reconnectTick     = time.Second
	joinRetryInterval = time.Second
	leftRetention     = time.Minute // longer than gossip about the departure lasts
)

type (
	// ExchangeArgs is the request of a state exchange. Entries is only set in the
	// second request of an exchange, and holds the members of which the caller has
	// a newer state.
	ExchangeArgs struct {
		Self           Member  `cbor:"1,keyasint,omitzero"`
		RecipientEntry *Member `cbor:"2,keyasint,omitzero"` // the caller's entry for the receiver, if Suspect or Dead
		// Digest holds one hash per bucket over the members in it. It is empty
		// if the caller requests no members.
		Digest  []uint32 `cbor:"3,keyasint,omitzero"`
		Entries []Member `cbor:"4,keyasint,omitzero"`
	}

	// ExchangeReply is the reply of a state exchange. Differ lists the buckets
	// whose hashes differ, Entries the receiver's members in them.
	ExchangeReply struct {
		Self           Member   `cbor:"1,keyasint,omitzero"`
		RecipientEntry *Member  `cbor:"2,keyasint,omitzero"` // the receiver's entry for the caller, if it is outdated
		Differ         []int    `cbor:"3,keyasint,omitzero"`
		Entries        []Member `cbor:"4,keyasint,omitzero"`
	}
)

// exchangeNext runs a state exchange with one random member.
func (g *Group) exchangeNext() {
	g.mu.Lock()
	targets := g.randomActive(1, "")
	g.mu.Unlock()
	for _, target := range targets {
		g.exchange(target.Address, true)
	}
}

// exchange synchronizes the member lists of this node and the node at address.
// Without withDigest the two only exchange their entries for themselves and for
// each other. It reports whether another node answered.
func (g *Group) exchange(address netip.AddrPort, withDigest bool) (ok bool) {
	ctx, cancel := context.WithTimeout(g.ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	args := &ExchangeArgs{Self: g.self}
	for _, r := range g.members {
		if r.Address == address && (r.State == Dead || r.State == Suspect) {
			args.RecipientEntry = &Member{Name: r.Name, Incarnation: r.Incarnation, State: r.State}
		}
	}
	if withDigest {
		args.Digest = g.digest()
	}
	g.mu.Unlock()
	var reply ExchangeReply
	if err := g.options.Peers.Call(ctx, address, Service+".Exchange", args, &reply); err != nil {
		return false
	}
	if reply.Self.Name == g.options.Name {
		return false // this node's own address was among the seeds
	}

	g.mu.Lock()
	if reply.RecipientEntry != nil && reply.RecipientEntry.Name == g.self.Name {
		g.refute(*reply.RecipientEntry)
	}
	g.merge(append(reply.Entries, reply.Self))
	next := &ExchangeArgs{Self: g.self, Entries: g.newerMembers(reply.Differ, reply.Entries)}
	// If the peer returned a stale entry for this node, the second call is made even
	// without Entries, to send Self with the incarnation that refute raised.
	staleEntry := args.RecipientEntry != nil || reply.RecipientEntry != nil
	g.publishAndUnlock()
	if len(next.Entries) > 0 || staleEntry {
		reply = ExchangeReply{}
		g.options.Peers.Call(ctx, address, Service+".Exchange", next, &reply)
	}
	return true
}

// handleExchange merges the request of a state exchange and returns the reply.
func (g *Group) handleExchange(args *ExchangeArgs) (reply *ExchangeReply) {
	g.mu.Lock()
	defer g.publishAndUnlock()
	if args.RecipientEntry != nil && args.RecipientEntry.Name == g.self.Name {
		g.refute(*args.RecipientEntry)
	}
	if args.Self.Name != g.self.Name {
		g.apply(args.Self)
	}
	g.merge(args.Entries)
	reply = &ExchangeReply{Self: g.self, RecipientEntry: g.recipientEntry(args.Self.Name, args.Self.Incarnation)}
	if len(args.Digest) != digestBuckets {
		return reply
	}
	for i, hash := range g.digest() {
		if hash != args.Digest[i] {
			reply.Differ = append(reply.Differ, i)
		}
	}
	reply.Entries = g.membersInBuckets(reply.Differ)
	return reply
}

// merge applies the entries received in a state exchange. The caller holds mu.
func (g *Group) merge(entries []Member) {
	for _, entry := range entries {
		r := g.members[entry.Name]
		switch {
		case entry.State == Suspect:
			// Suspicions spread by gossip; this one may have been refuted since.
			entry.State = Alive
			g.apply(entry)
		case entry.State == Dead && r != nil && r.active() && r.State != Leaving && entry.Incarnation >= r.Incarnation:
			// The two nodes disagree on whether the member is alive. A probe
			// finds out, and makes a live member refute its removal.
			if len(g.priorityProbes) < maxPriorityProbes && !slices.Contains(g.priorityProbes, r.Name) {
				g.priorityProbes = append(g.priorityProbes, r.Name)
			}
		case r == nil && entry.Name != g.self.Name:
			g.apply(entry)
			delete(g.queue, entry.Name) // not gossiped from here: the member announces itself
		default:
			g.apply(entry)
		}
	}
}

// newerMembers returns this node's members in the given buckets that the given
// entries lack, or list with a lower incarnation or with a lower-ranked state of
// the same incarnation. The caller holds mu.
func (g *Group) newerMembers(buckets []int, entries []Member) (newer []Member) {
	known := make(map[string]Member, len(entries))
	for _, entry := range entries {
		known[entry.Name] = entry
	}
	for _, m := range g.membersInBuckets(buckets) {
		entry, ok := known[m.Name]
		if !ok || entry.Incarnation < m.Incarnation || (entry.Incarnation == m.Incarnation && rank(entry.State) < rank(m.State)) {
			newer = append(newer, m)
		}
	}
	return newer
}

// membersInBuckets returns all members in the given buckets, this node included.
// The caller holds mu.
func (g *Group) membersInBuckets(buckets []int) (members []Member) {
	if len(buckets) == 0 {
		return nil
	}
	var wanted [digestBuckets]bool
	for _, i := range buckets {
		wanted[i%digestBuckets] = true
	}
	members = make([]Member, 0, len(g.members)+1)
	for _, r := range g.members {
		if wanted[bucket(r.Name)] {
			members = append(members, r.Member)
		}
	}
	if wanted[bucket(g.self.Name)] {
		members = append(members, g.self)
	}
	return members
}

// digest returns one hash per bucket over the members in it. Removed members are
// left out, since nodes delete them at different times. The caller holds mu.
func (g *Group) digest() (hashes []uint32) {
	hashes = make([]uint32, digestBuckets)
	add := func(m *Member) {
		buffer := append(make([]byte, 0, 64), m.Name...)
		buffer = binary.BigEndian.AppendUint64(buffer, m.Incarnation)
		if m.State == Leaving {
			buffer = append(buffer, 1)
		}
		hashes[bucket(m.Name)] ^= uint32(xxhash.Sum64(buffer))
	}
	add(&g.self)
	for _, r := range g.members {
		if r.active() {
			add(&r.Member)
		}
	}
	return hashes
}

func bucket(name string) int { return int(xxhash.Sum64String(name) % digestBuckets) }

// reconnectNext deletes removed members whose retention has ended, and contacts
// a random removed member every ReconnectInterval on average, so that the parts
// of a fleet reconnect after a partition. A success shows that the partition has
// healed, so the next attempt follows at the next tick.
func (g *Group) reconnectNext() {
	g.mu.Lock()
	if g.dead == 0 {
		g.mu.Unlock()
		return
	}
	var dead []Member
	for name, r := range g.members {
		switch age := time.Since(r.stateSince); {
		case r.active():
		case age > g.options.DeadRetention || (r.left && age > leftRetention):
			delete(g.members, name)
			i, _ := slices.BinarySearch(g.names, name)
			g.names = slices.Delete(g.names, i, i+1)
			g.dead--
			g.changed, g.contacts.stale = true, true
		case !r.left:
			dead = append(dead, r.Member)
		}
	}
	attempt := len(dead) > 0 && (g.reconnectNow || g.random.Float64() < float64(reconnectTick)/float64(g.options.ReconnectInterval))
	var target Member
	if attempt {
		target = dead[g.random.IntN(len(dead))]
	}
	g.publishAndUnlock()
	if !attempt {
		return
	}
	ok := g.exchange(target.Address, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reconnectNow = ok
}

// join contacts the seeds and the discovered addresses until a member answers.
// It continues at DiscoveryInterval afterwards, so that fleets that started
// separately merge.
func (g *Group) join() {
	for pause := joinRetryInterval; g.ctx.Err() == nil; {
		g.mu.Lock()
		alone := g.activeCount() == 0
		g.mu.Unlock()
		joined := g.contactUnknownAddress()
		switch {
		case alone && !joined:
			pause = joinRetryInterval
		case alone:
			g.exchangeAfterJoin()
			pause = g.options.DiscoveryInterval
		default:
			pause = g.options.DiscoveryInterval
		}
		if !g.sleep(pause/2 + g.randomUpTo(pause)) {
			return
		}
	}
}

// exchangeAfterJoin runs more state exchanges after the first contact: while many
// nodes start at once, the first exchange returns only some of them.
func (g *Group) exchangeAfterJoin() {
	for pause := joinRetryInterval; pause < g.options.ExchangeInterval; pause *= 2 {
		if !g.sleep(pause/2 + g.randomUpTo(pause)) {
			return
		}
		g.exchangeNext()
	}
}

// contactUnknownAddress runs a state exchange with one random address among the
// seeds and the discovered addresses that belongs to no active member. It reports
// whether a node answered there.
func (g *Group) contactUnknownAddress() (ok bool) {
	candidates := slices.Clone(g.options.Seeds)
	if g.options.Discover != nil {
		ctx, cancel := context.WithTimeout(g.ctx, exchangeTimeout)
		listed, err := g.options.Discover(ctx)
		cancel()
		if err != nil {
			g.options.Logger.Warn("address discovery failed", "Error", err)
		}
		candidates = append(candidates, listed...)
	}
	g.mu.Lock()
	candidates = slices.DeleteFunc(candidates, g.isKnownAddress)
	var target netip.AddrPort
	if len(candidates) > 0 {
		target = candidates[g.random.IntN(len(candidates))]
	}
	g.mu.Unlock()
	return target.IsValid() && g.exchange(target, true)
}

// sleep reports whether the duration passed before the group's context ended.
func (g *Group) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.ctx.Done():
		return false
	}
}
