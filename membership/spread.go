package membership

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	maxUpdates        = 32  // per message
	maxUpdateBytes    = 640 // per message, estimated; a single larger update is still sent
	stateUpdateBytes  = 24  // of one update to Suspect or Dead, estimated
	memberUpdateBytes = 60  // of any other update without its payload, estimated
	// gossipInterval is the time between the additional messages that are sent
	// while updates are queued, so that a change reaches 390 nodes well before a
	// suspicion ends.
	gossipInterval = 200 * time.Millisecond
	// retransmitFactor times the decimal logarithm of the fleet's size is how
	// many times a node sends an update at least. With lower values, gossip misses some
	// members, which get the update by a state exchange only.
	retransmitFactor = 4
	// minUpdateIntervals is the number of probe intervals during which probes and
	// replies carry an update even if it was sent often enough. In each interval a
	// member probes another one and is probed by one, so a member that gossip missed
	// gets the update with its own probes. Without it, the members that knew spent
	// their sends on each other, and the last one waited for a state exchange.
	minUpdateIntervals = 3
)

type (
	// Message is both a probe and the reply to it.
	Message struct {
		From        string `cbor:"1,keyasint,omitzero"`
		Incarnation uint64 `cbor:"2,keyasint,omitzero"`
		To          string `cbor:"3,keyasint,omitzero"`
		// RecipientEntry is the sender's entry for the receiver, if the receiver
		// has to correct it.
		RecipientEntry *Member  `cbor:"4,keyasint,omitzero"`
		Updates        []Member `cbor:"5,keyasint,omitzero"`
		// SampleHash identifies the sample of members to which ContactAges
		// belongs.
		SampleHash uint32 `cbor:"6,keyasint,omitzero"`
		// SampleIDs holds a hash of each sampled name. It is only set in a reply
		// to a request with another SampleHash.
		SampleIDs   []uint32 `cbor:"7,keyasint,omitzero"`
		ContactAges []byte   `cbor:"8,keyasint,omitzero"`
	}

	// queuedUpdate is an update that this node still sends.
	queuedUpdate struct {
		update    Member
		queuedAt  time.Time
		sendCount int
	}
)

// enqueue queues an update for the next messages. The caller holds mu.
func (g *Group) enqueue(update Member) {
	if update.State == Suspect || update.State == Dead {
		// Nodes that know the member have the other fields; nodes that don't
		// know it ignore the update.
		update = Member{Name: update.Name, Incarnation: update.Incarnation, State: update.State}
	}
	g.queue[update.Name] = &queuedUpdate{update: update, queuedAt: time.Now()}
	if !g.gossiping {
		g.gossiping = true
		go g.gossip()
	}
}

// gossip sends queued updates in messages of their own, in addition to the
// probes, until each was sent often enough.
func (g *Group) gossip() {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-g.ctx.Done():
			return
		}
		g.mu.Lock()
		if !g.needsGossip() {
			g.gossiping = false
			g.mu.Unlock()
			return
		}
		targets := g.randomActive(1, "")
		g.mu.Unlock()
		for _, target := range targets {
			go func() {
				ctx, cancel := context.WithTimeout(g.ctx, g.options.DirectTimeout)
				defer cancel()
				g.sendProbe(ctx, target, nil) // only the regular probes act on failures
			}()
		}
	}
}

// needsGossip reports whether an update wasn't sent often enough yet. The caller
// holds mu.
func (g *Group) needsGossip() bool {
	maxSends := g.maxSends()
	for _, q := range g.queue {
		if q.sendCount < maxSends {
			return true
		}
	}
	return false
}

// maxSends returns how many times this node sends an update, apart from the
// repetitions during minUpdateIntervals. The caller holds mu.
func (g *Group) maxSends() int {
	return int(math.Ceil(retransmitFactor * math.Log10(float64(g.activeCount()+2))))
}

// newProbe returns a probe for the named member, with queued updates. If
// recipientEntry is nil and the member is suspected or removed, the probe carries
// this node's entry for it.
func (g *Group) newProbe(to string, recipientEntry *Member) *Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &Message{From: g.self.Name, Incarnation: g.self.Incarnation, To: to, RecipientEntry: recipientEntry, Updates: g.nextUpdates()}
	if r := g.members[to]; recipientEntry == nil && r != nil && (r.State == Suspect || r.State == Dead) {
		m.RecipientEntry = &Member{Name: to, Incarnation: r.Incarnation, State: r.State}
	}
	m.SampleHash, m.ContactAges = g.contactAges()
	return m
}

// nextUpdates returns the queued updates that were sent the fewest times, within
// the limits of a message, and counts them as sent. The caller holds mu.
func (g *Group) nextUpdates() (updates []Member) {
	if len(g.queue) == 0 {
		return nil
	}
	compare := func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), strings.Compare(a.update.Name, b.update.Name))
	}
	maxSends, minAge := g.maxSends(), minUpdateIntervals*g.options.Interval
	candidates := make([]*queuedUpdate, 0, maxUpdates+1) // sorted by compare
	for name, q := range g.queue {
		if q.sendCount >= maxSends && time.Since(q.queuedAt) >= minAge {
			delete(g.queue, name)
			continue
		}
		if len(candidates) == maxUpdates && compare(q, candidates[maxUpdates-1]) >= 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(candidates, q, compare)
		candidates = slices.Insert(candidates, i, q)
		candidates = candidates[:min(len(candidates), maxUpdates)]
	}
	bytes := 0
	for _, q := range candidates {
		if bytes += stateUpdateBytes; q.update.Address.IsValid() {
			bytes += memberUpdateBytes - stateUpdateBytes + len(q.update.Payload)
		}
		if bytes > maxUpdateBytes && len(updates) > 0 {
			break
		}
		updates = append(updates, q.update)
		q.sendCount++
	}
	return updates
}

// handleProbeReply applies the reply to a probe that was sent at the given time.
func (g *Group) handleProbeReply(reply *Message, from Member, sent time.Time) {
	g.mu.Lock()
	defer g.publishAndUnlock()
	g.mergeContactAges(reply, sent, true)
	for _, update := range reply.Updates {
		g.apply(update)
	}
	if reply.RecipientEntry == nil || reply.RecipientEntry.Name != g.self.Name {
		return
	}
	switch reply.RecipientEntry.State {
	case Suspect, Dead:
		g.refute(*reply.RecipientEntry)
	case Alive, Leaving: // the peer has an older incarnation of this node
		g.enqueue(g.self)
	default: // the peer doesn't know this node
		go g.exchange(from.Address, true)
	}
}

// handleProbe applies a probe's updates and returns the reply.
func (g *Group) handleProbe(request *Message) (reply *Message) {
	g.mu.Lock()
	defer g.publishAndUnlock()
	g.mergeContactAges(request, time.Now(), false)
	for _, update := range request.Updates {
		g.apply(update)
	}
	if request.RecipientEntry != nil && request.RecipientEntry.Name == g.self.Name {
		g.refute(*request.RecipientEntry)
	}
	reply = &Message{
		From: g.self.Name, Incarnation: g.self.Incarnation, RecipientEntry: g.recipientEntry(request.From, request.Incarnation),
		Updates: g.nextUpdates(),
	}
	reply.SampleHash, reply.ContactAges = g.contactAges()
	if request.SampleHash != reply.SampleHash {
		reply.SampleIDs = g.contacts.sampleIDs
	}
	return reply
}

// recipientEntry returns this node's entry for the named member if the member has
// to correct it, and nil otherwise. The State of the entry is zero if this node
// doesn't know the member. The caller holds mu.
func (g *Group) recipientEntry(name string, incarnation uint64) *Member {
	r := g.members[name]
	switch {
	case r == nil:
		return &Member{Name: name}
	case r.State == Suspect || r.State == Dead || r.Incarnation < incarnation:
		return &Member{Name: name, Incarnation: r.Incarnation, State: r.State}
	default:
		return nil
	}
}

// isKnownAddress reports whether an address belongs to this node or to an active
// member. The caller holds mu.
func (g *Group) isKnownAddress(address netip.AddrPort) bool {
	if address == g.self.Address {
		return true
	}
	for _, r := range g.members {
		if r.Address == address && r.active() {
			return true
		}
	}
	return false
}
