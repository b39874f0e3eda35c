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
	maxUpdates     = 32  // per message
	maxUpdateBytes = 640 // per message, estimated; a single larger update still goes
	stateBytes     = 24  // of one update to Suspect or Dead, estimated
	memberBytes    = 60  // of any other update without its payload, estimated
	// gossipInterval spaces the extra messages that carry updates while there
	// are any, so that a change reaches 390 nodes well before a suspicion ends.
	gossipInterval = 200 * time.Millisecond
	// sendFactor times the logarithm of the fleet's size is how often a node
	// passes on an update. Lower values leave some members to the exchanges.
	sendFactor = 4
)

type (
	// Message is a probe and its answer.
	Message struct {
		From        string `cbor:"1,keyasint,omitzero"`
		Incarnation uint64 `cbor:"2,keyasint,omitzero"`
		To          string `cbor:"3,keyasint,omitzero"`
		// RecipientEntry is what the sender holds about the receiver, if the
		// receiver has to do something about it.
		RecipientEntry *Member  `cbor:"4,keyasint,omitzero"`
		Updates        []Member `cbor:"5,keyasint,omitzero"`
		// SampleHash identifies the members that ContactAges is about.
		SampleHash uint32 `cbor:"6,keyasint,omitzero"`
		// SampleIDs is set when the receiver's SampleHash differs.
		SampleIDs   []uint32 `cbor:"7,keyasint,omitzero"`
		ContactAges []byte   `cbor:"8,keyasint,omitzero"`
	}

	// queued is an update that this node still passes on.
	queued struct {
		update Member
		sent   int
	}
)

// enqueue spreads an update with the next messages. The caller holds mu.
func (g *Group) enqueue(update Member) {
	if update.State == Suspect || update.State == Dead {
		// Who knows the member has the rest, who doesn't ignores the update.
		update = Member{Name: update.Name, Incarnation: update.Incarnation, State: update.State}
	}
	g.queue[update.Name] = &queued{update: update}
	if !g.gossiping {
		g.gossiping = true
		go g.gossip()
	}
}

// gossip passes on updates without waiting for the next probe.
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
		if len(g.queue) == 0 {
			g.gossiping = false
			g.mu.Unlock()
			return
		}
		targets := g.randomLive(1, "")
		g.mu.Unlock()
		for _, target := range targets {
			go func() {
				ctx, cancel := context.WithTimeout(g.ctx, g.options.DirectTimeout)
				defer cancel()
				g.talk(ctx, target, nil) // failures are the probes' concern
			}()
		}
	}
}

// message returns a probe for a member, with updates.
func (g *Group) message(to string, about *Member) *Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &Message{From: g.self.Name, Incarnation: g.self.Incarnation, To: to, RecipientEntry: about, Updates: g.takeUpdates()}
	if r := g.members[to]; about == nil && r != nil && (r.State == Suspect || r.State == Dead) {
		m.RecipientEntry = &Member{Name: to, Incarnation: r.Incarnation, State: r.State}
	}
	m.SampleHash, m.ContactAges = g.ages()
	return m
}

// takeUpdates returns the least sent updates within the bounds of a message.
// The caller holds mu.
func (g *Group) takeUpdates() (updates []Member) {
	if len(g.queue) == 0 {
		return nil
	}
	order := func(a, b *queued) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), strings.Compare(a.update.Name, b.update.Name))
	}
	waiting := make([]*queued, 0, maxUpdates+1) // the least sent ones, in order
	for _, q := range g.queue {
		if len(waiting) == maxUpdates && order(q, waiting[maxUpdates-1]) >= 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(waiting, q, order)
		waiting = slices.Insert(waiting, i, q)
		waiting = waiting[:min(len(waiting), maxUpdates)]
	}
	limit := int(math.Ceil(sendFactor * math.Log10(float64(g.liveCount()+2))))
	bytes := 0
	for _, q := range waiting {
		if bytes += stateBytes; q.update.Address.IsValid() {
			bytes += memberBytes - stateBytes + len(q.update.Payload)
		}
		if bytes > maxUpdateBytes && len(updates) > 0 {
			break
		}
		updates = append(updates, q.update)
		if q.sent++; q.sent >= limit {
			delete(g.queue, q.update.Name)
		}
	}
	return updates
}

// absorbReply takes in the answer to a probe that was sent at the given time.
func (g *Group) absorbReply(reply *Message, from Member, sent time.Time) {
	g.mu.Lock()
	defer g.unlock()
	g.heard(reply, sent, true)
	for _, update := range reply.Updates {
		g.apply(update)
	}
	if reply.RecipientEntry == nil || reply.RecipientEntry.Name != g.self.Name {
		return
	}
	switch reply.RecipientEntry.State {
	case Suspect, Dead:
		g.refute(*reply.RecipientEntry)
	case Alive, Leaving: // an older incarnation
		g.enqueue(g.self)
	default: // the peer doesn't know this node
		go g.exchange(from.Address, true)
	}
}

// answer takes in a probe and returns the reply.
func (g *Group) answer(request *Message) (reply *Message) {
	g.mu.Lock()
	defer g.unlock()
	g.heard(request, time.Now(), false)
	for _, update := range request.Updates {
		g.apply(update)
	}
	if request.RecipientEntry != nil && request.RecipientEntry.Name == g.self.Name {
		g.refute(*request.RecipientEntry)
	}
	reply = &Message{
		From: g.self.Name, Incarnation: g.self.Incarnation, RecipientEntry: g.about(request.From, request.Incarnation),
		Updates: g.takeUpdates(),
	}
	reply.SampleHash, reply.ContactAges = g.ages()
	if request.SampleHash != reply.SampleHash {
		reply.SampleIDs = g.reach.ids
	}
	return reply
}

// about returns what a member has to learn of this node's picture of it, nil if
// that is right. The caller holds mu.
func (g *Group) about(name string, incarnation uint64) *Member {
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

// knows returns whether an address belongs to this node or a live member. The
// caller holds mu.
func (g *Group) knows(address netip.AddrPort) bool {
	if address == g.self.Address {
		return true
	}
	for _, r := range g.members {
		if r.Address == address && r.live() {
			return true
		}
	}
	return false
}
