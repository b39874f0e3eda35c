package membership

import (
	"cmp"
	"context"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	// pauseThreshold is how late a timer has to fire for this process to count as
	// paused. After a pause, a missing reply doesn't show that a member failed.
	pauseThreshold = time.Second
	// isolatedSuspicionFactor lengthens a suspicion if none of the members asked
	// for an indirect probe answered, since this node itself may be isolated.
	isolatedSuspicionFactor = 3
	// maxPriorityProbes limits the queue of members to probe before the next
	// round-robin target. The round-robin probes cover the other members.
	maxPriorityProbes = 32
)

// probeNext starts the probe of one member. It doesn't wait for the reply, so
// that a slow one doesn't delay the next interval's probe.
func (g *Group) probeNext() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if target, recipientEntry, ok := g.nextTarget(); ok {
		go g.probe(target, recipientEntry)
	}
}

// nextTarget returns the member to probe and the entry about it to send along,
// if any. The caller holds mu.
func (g *Group) nextTarget() (target Member, recipientEntry *Member, ok bool) {
	if len(g.priorityProbes) > 0 {
		name := g.priorityProbes[0]
		g.priorityProbes = g.priorityProbes[1:]
		if r := g.members[name]; r != nil && r.active() {
			// Another node considers the member Dead, see merge. Reporting that to
			// the member makes it refute the removal.
			return r.Member, &Member{Name: name, Incarnation: r.Incarnation, State: Dead}, true
		}
	}
	ring := []string{g.self.Name}
	for name, r := range g.members {
		if r.active() {
			ring = append(ring, name)
		}
	}
	if len(ring) > 1 {
		slices.Sort(ring)
		selfIndex, _ := slices.BinarySearch(ring, g.self.Name)
		// In each interval all nodes use the same distance around the same ring,
		// so that every member is probed by about one other. When each node used
		// an order of its own, a member was sometimes probed by nobody for
		// seconds. Clock skew only makes the probes less even.
		distance := g.probeDistance(time.Now().UnixNano()/int64(g.options.Interval), len(ring))
		return g.members[ring[(selfIndex+distance)%len(ring)]].Member, nil, true
	}
	return Member{}, nil, false
}

// probeDistance returns the distance, around the ring of n members, from each
// node to its probe target in the given interval. Each distance occurs once in
// n-1 intervals, in pseudo-random order. With distances that increase by one,
// updates reached only half of the members within ten intervals while the
// distance was near 1, n/2 or n. The caller holds mu.
func (g *Group) probeDistance(interval int64, n int) (distance int) {
	if len(g.probeDistances) != n-1 {
		g.probeDistances = make([]int, n-1)
		for i := range g.probeDistances {
			g.probeDistances[i] = i + 1
		}
		hash := func(distance int) uint64 {
			return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(distance)))
		}
		slices.SortFunc(g.probeDistances, func(a, b int) int { return cmp.Compare(hash(a), hash(b)) })
	}
	return g.probeDistances[interval%int64(n-1)]
}

// probe probes the target directly, then through other members, and handles the
// failure of both.
func (g *Group) probe(target Member, recipientEntry *Member) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(g.ctx, g.options.DirectTimeout+g.options.IndirectTimeout)
	defer cancel()
	direct := make(chan error, 1)
	go func() { direct <- g.sendProbe(ctx, target, recipientEntry) }()
	timer := time.NewTimer(g.options.DirectTimeout)
	defer timer.Stop()
	var err error
	select {
	case err = <-direct:
		direct = nil
	case <-timer.C:
		err = errors.Timeout
	}
	if err == nil {
		return
	}
	reached, helpers, answered := g.probeIndirectly(ctx, target, direct)
	switch {
	case reached, g.ctx.Err() != nil:
	case time.Since(start) > g.options.DirectTimeout+g.options.IndirectTimeout+pauseThreshold:
		g.options.Logger.Warn("probe result ignored after a pause of this process", "Member", target.Name)
	case helpers > 0 && answered == 0:
		g.handleProbeFailure(target, isolatedSuspicionFactor)
	default:
		g.handleProbeFailure(target, 1)
	}
}

// sendProbe sends a direct probe and handles its reply.
func (g *Group) sendProbe(ctx context.Context, target Member, recipientEntry *Member) (err error) {
	args := g.newProbe(target.Name, recipientEntry)
	var reply Message
	sent := time.Now()
	if err := g.options.Peers.Call(ctx, target.Address, Service+".Probe", args, &reply); err != nil {
		return err
	}
	if reply.From != target.Name {
		return errors.Errorf("member %s answered a probe meant for %s", reply.From, target.Name)
	}
	g.handleProbeReply(&reply, target, sent)
	return nil
}

// probeIndirectly asks random members, the helpers, to probe the target and waits
// until one has reached it, all have failed, or the context ends. A late reply to
// the direct probe counts as reached, too. helpers is the number of members
// asked, answered the number of those that replied.
func (g *Group) probeIndirectly(ctx context.Context, target Member, direct <-chan error) (reached bool, helpers, answered int) {
	g.mu.Lock()
	chosen := g.randomActive(g.options.IndirectProbes, target.Name)
	g.mu.Unlock()
	type result struct{ reached, answered bool }
	results := make(chan result, len(chosen))
	for _, helper := range chosen {
		go func() {
			var reply RelayReply
			err := g.options.Peers.Call(ctx, helper.Address, Service+".Relay",
				&RelayArgs{Name: target.Name, Address: target.Address, Timeout: g.options.DirectTimeout}, &reply)
			results <- result{err == nil && reply.Reached, err == nil}
		}()
	}
	for range chosen {
		select {
		case err := <-direct:
			if err == nil {
				return true, len(chosen), answered
			}
			direct = nil
		case r := <-results:
			if r.reached {
				return true, len(chosen), answered
			}
			if r.answered {
				answered++
			}
		case <-ctx.Done():
			return false, len(chosen), answered
		}
	}
	if direct != nil {
		select {
		case err := <-direct:
			return err == nil, len(chosen), answered
		case <-ctx.Done():
		}
	}
	return false, len(chosen), answered
}

// handleProbeFailure suspects the target, or removes it if it is leaving, unless
// its incarnation has changed since the probe was sent. factor lengthens the
// suspicion.
func (g *Group) handleProbeFailure(target Member, factor float64) {
	g.mu.Lock()
	defer g.publishAndUnlock()
	r := g.members[target.Name]
	if r == nil || r.Incarnation != target.Incarnation {
		return
	}
	switch r.State {
	case Leaving:
		g.setState(r, Dead)
	case Alive:
		g.setState(r, Suspect)
		if factor > 1 {
			g.startSuspicion(r, factor)
		}
	case Suspect, Dead:
	}
}

// startSuspicion starts the timer that removes a suspected member. The caller
// holds mu.
func (g *Group) startSuspicion(r *record, factor float64) {
	if r.suspicionTimer != nil {
		r.suspicionTimer.Stop()
	}
	scale := max(1, math.Log10(float64(g.activeCount()+1))) * factor
	timeout := time.Duration(float64(g.options.SuspectTimeout) * scale)
	deadline, since := time.Now().Add(timeout), r.stateSince
	r.suspicionTimer = time.AfterFunc(timeout, func() {
		g.mu.Lock()
		defer g.publishAndUnlock()
		switch {
		case g.ctx.Err() != nil || r.State != Suspect || r.stateSince != since:
		case time.Since(deadline) > pauseThreshold: // a received refutation may still be unread
			g.startSuspicion(r, factor)
		default:
			g.setState(r, Dead)
		}
	})
}
