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
	digestBuckets   = 32
	exchangeTimeout = 2 * time.Second
	reviveTick      = time.Second
	joinRetry       = time.Second
	leftRetention   = time.Minute // outlasts updates about the member that still travel
)

type (
	// ExchangeArgs asks for the members that the caller lacks.
	ExchangeArgs struct {
		Self           Member  `cbor:"1,keyasint,omitzero"`
		RecipientEntry *Member `cbor:"2,keyasint,omitzero"` // what the caller holds about the receiver
		// Digest holds one hash over the members of each bucket. It is empty
		// when the caller wants no members.
		Digest  []uint32 `cbor:"3,keyasint,omitzero"`
		Entries []Member `cbor:"4,keyasint,omitzero"`
	}

	// ExchangeReply holds the receiver's members in the buckets that differ.
	ExchangeReply struct {
		Self           Member   `cbor:"1,keyasint,omitzero"`
		RecipientEntry *Member  `cbor:"2,keyasint,omitzero"` // what the receiver holds about the caller
		Differ         []int    `cbor:"3,keyasint,omitzero"`
		Entries        []Member `cbor:"4,keyasint,omitzero"`
	}
)

// exchangeNext compares states with one random member.
func (g *Group) exchangeNext() {
	g.mu.Lock()
	targets := g.randomLive(1, "")
	g.mu.Unlock()
	for _, target := range targets {
		g.exchange(target.Address, true)
	}
}

// exchange compares states with the member at an address and merges both, or
// only introduces the two to each other when digest is false.
func (g *Group) exchange(address netip.AddrPort, digest bool) (ok bool) {
	ctx, cancel := context.WithTimeout(g.ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	args := &ExchangeArgs{Self: g.self}
	for _, r := range g.members {
		if r.Address == address && (r.State == Dead || r.State == Suspect) {
			args.RecipientEntry = &Member{Name: r.Name, Incarnation: r.Incarnation, State: r.State}
		}
	}
	if digest {
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
	next := &ExchangeArgs{Self: g.self, Entries: g.newer(reply.Differ, reply.Entries)}
	introduced := args.RecipientEntry != nil || reply.RecipientEntry != nil
	g.unlock()
	if len(next.Entries) > 0 || introduced {
		reply = ExchangeReply{}
		g.options.Peers.Call(ctx, address, Service+".Exchange", next, &reply)
	}
	return true
}

// answerExchange is the receiver's side of exchange.
func (g *Group) answerExchange(args *ExchangeArgs) (reply *ExchangeReply) {
	g.mu.Lock()
	defer g.unlock()
	if args.RecipientEntry != nil && args.RecipientEntry.Name == g.self.Name {
		g.refute(*args.RecipientEntry)
	}
	if args.Self.Name != g.self.Name {
		g.apply(args.Self)
	}
	g.merge(args.Entries)
	reply = &ExchangeReply{Self: g.self, RecipientEntry: g.about(args.Self.Name, args.Self.Incarnation)}
	if len(args.Digest) != digestBuckets {
		return reply
	}
	for i, hash := range g.digest() {
		if hash != args.Digest[i] {
			reply.Differ = append(reply.Differ, i)
		}
	}
	reply.Entries = g.inBuckets(reply.Differ)
	return reply
}

// merge takes in another member's state. The caller holds mu.
func (g *Group) merge(entries []Member) {
	for _, entry := range entries {
		r := g.members[entry.Name]
		switch {
		case entry.State == Suspect:
			// The suspicion has its own way to everybody, and may be over.
			entry.State = Alive
			g.apply(entry)
		case entry.State == Dead && r != nil && r.live() && r.State != Leaving && entry.Incarnation >= r.Incarnation:
			// One side is wrong. A probe finds out, and tells the member to
			// refute its removal if it is alive.
			if len(g.checks) < maxChecks && !slices.Contains(g.checks, r.Name) {
				g.checks = append(g.checks, r.Name)
			}
		case r == nil && entry.Name != g.self.Name:
			g.apply(entry)
			delete(g.queue, entry.Name) // only new here: the member spreads itself
		default:
			g.apply(entry)
		}
	}
}

// newer returns this node's members in the given buckets that the given entries
// lack or hold with a lower incarnation. The caller holds mu.
func (g *Group) newer(buckets []int, entries []Member) (newer []Member) {
	known := make(map[string]Member, len(entries))
	for _, entry := range entries {
		known[entry.Name] = entry
	}
	for _, m := range g.inBuckets(buckets) {
		entry, ok := known[m.Name]
		if !ok || entry.Incarnation < m.Incarnation || (entry.Incarnation == m.Incarnation && rank(entry.State) < rank(m.State)) {
			newer = append(newer, m)
		}
	}
	return newer
}

// inBuckets returns all members in the given buckets. The caller holds mu.
func (g *Group) inBuckets(buckets []int) (members []Member) {
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

// digest hashes the members that aren't removed. Removed ones are left out,
// since nodes forget them at different times. The caller holds mu.
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
		if r.live() {
			add(&r.Member)
		}
	}
	return hashes
}

func bucket(name string) int { return int(xxhash.Sum64String(name) % digestBuckets) }

// reviveNext tries a removed member now and then, so that the parts of a fleet
// find each other again after a partition. A success is followed by further
// tries at once, since it shows that the partition has healed.
func (g *Group) reviveNext() {
	g.mu.Lock()
	if g.dead == 0 {
		g.mu.Unlock()
		return
	}
	var dead []Member
	for name, r := range g.members {
		switch age := time.Since(r.since); {
		case r.live():
		case age > g.options.DeadRetention || (r.left && age > leftRetention):
			delete(g.members, name)
			i, _ := slices.BinarySearch(g.names, name)
			g.names = slices.Delete(g.names, i, i+1)
			g.dead--
			g.changed, g.reach.stale = true, true
		case !r.left:
			dead = append(dead, r.Member)
		}
	}
	try := len(dead) > 0 && (g.reviveSoon || g.random.Float64() < float64(reviveTick)/float64(g.options.ReconnectInterval))
	var target Member
	if try {
		target = dead[g.random.IntN(len(dead))]
	}
	g.unlock()
	if !try {
		return
	}
	ok := g.exchange(target.Address, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reviveSoon = ok
}

// join looks for members at the seeds and at the platform's addresses. It goes
// on afterwards, at a slower pace, so that fleets that started apart meet.
func (g *Group) join() {
	for pause := joinRetry; g.ctx.Err() == nil; {
		g.mu.Lock()
		alone := g.liveCount() == 0
		g.mu.Unlock()
		joined := g.tryStrangers()
		switch {
		case alone && !joined:
			pause = joinRetry
		case alone:
			g.settle()
			pause = g.options.DiscoveryInterval
		default:
			pause = g.options.DiscoveryInterval
		}
		if !g.sleep(pause/2 + g.randomUpTo(pause)) {
			return
		}
	}
}

// settle follows up on a first contact: while many nodes start at once, the
// first exchange shows only a part of them.
func (g *Group) settle() {
	for pause := joinRetry; pause < g.options.ExchangeInterval; pause *= 2 {
		if !g.sleep(pause/2 + g.randomUpTo(pause)) {
			return
		}
		g.exchangeNext()
	}
}

// tryStrangers contacts one of the seeds and listed addresses that belong to no
// live member.
func (g *Group) tryStrangers() (ok bool) {
	candidates := slices.Clone(g.options.Seeds)
	if g.options.Discover != nil {
		ctx, cancel := context.WithTimeout(g.ctx, exchangeTimeout)
		listed, err := g.options.Discover(ctx)
		cancel()
		if err != nil {
			g.options.Logger.Warn("cannot list addresses", "Error", err)
		}
		candidates = append(candidates, listed...)
	}
	g.mu.Lock()
	candidates = slices.DeleteFunc(candidates, g.knows)
	var target netip.AddrPort
	if len(candidates) > 0 {
		target = candidates[g.random.IntN(len(candidates))]
	}
	g.mu.Unlock()
	return target.IsValid() && g.exchange(target, true)
}

// sleep returns false when the group's context ends first.
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
