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
	// lateLimit is how late a timer may fire before this process is taken to
	// have been paused, in which case a missing answer proves nothing.
	lateLimit = time.Second
	// blindFactor lengthens a suspicion when no helper answered either, since
	// this node may be the one that is cut off.
	blindFactor = 3
	// maxChecks bounds the members to probe out of turn. The regular round finds
	// the rest.
	maxChecks = 32
)

// probeNext probes one member. It returns at once, so that a slow answer
// doesn't delay the next interval's probe.
func (g *Group) probeNext() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if target, about, ok := g.nextTarget(); ok {
		go g.probe(target, about)
	}
}

// nextTarget returns the member to probe and what to tell it about itself. The
// caller holds mu.
func (g *Group) nextTarget() (target Member, about *Member, ok bool) {
	if len(g.checks) > 0 {
		name := g.checks[0]
		g.checks = g.checks[1:]
		if r := g.members[name]; r != nil && r.live() {
			return r.Member, &Member{Name: name, Incarnation: r.Incarnation, State: Dead}, true
		}
	}
	ring := []string{g.self.Name}
	for name, r := range g.members {
		if r.live() {
			ring = append(ring, name)
		}
	}
	if len(ring) > 1 {
		slices.Sort(ring)
		self, _ := slices.BinarySearch(ring, g.self.Name)
		// All nodes step around the same ring at the same pace, so that in each
		// interval every member is probed by about one other. With an order of
		// its own for each node, a member was now and then probed by nobody for
		// seconds. Clocks that disagree cost evenness only.
		step := g.step(time.Now().UnixNano()/int64(g.options.Interval), len(ring))
		return g.members[ring[(self+step)%len(ring)]].Member, nil, true
	}
	return Member{}, nil, false
}

// step returns how far around a ring of n members all nodes step in an interval.
// Over n-1 intervals each distance comes once, in an order that looks random:
// distances that rise by one made news spread to half of the members only in ten
// intervals, when they were near 1, n/2 or n. The caller holds mu.
func (g *Group) step(interval int64, n int) (distance int) {
	if len(g.steps) != n-1 {
		g.steps = make([]int, n-1)
		for i := range g.steps {
			g.steps[i] = i + 1
		}
		hash := func(distance int) uint64 {
			return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(distance)))
		}
		slices.SortFunc(g.steps, func(a, b int) int { return cmp.Compare(hash(a), hash(b)) })
	}
	return g.steps[interval%int64(n-1)]
}

func (g *Group) probe(target Member, about *Member) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(g.ctx, g.options.DirectTimeout+g.options.IndirectTimeout)
	defer cancel()
	direct := make(chan error, 1)
	go func() { direct <- g.talk(ctx, target, about) }()
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
	case time.Since(start) > g.options.DirectTimeout+g.options.IndirectTimeout+lateLimit:
		g.options.Logger.Warn("probe result ignored after a pause of this process", "Member", target.Name)
	case helpers > 0 && answered == 0:
		g.fail(target, blindFactor)
	default:
		g.fail(target, 1)
	}
}

// talk sends a direct probe and takes in its answer.
func (g *Group) talk(ctx context.Context, target Member, about *Member) (err error) {
	args := g.message(target.Name, about)
	var reply Message
	sent := time.Now()
	if err := g.options.Peers.Call(ctx, target.Address, Service+".Probe", args, &reply); err != nil {
		return err
	}
	if reply.From != target.Name {
		return errors.Errorf("%s answers at the address of %s", reply.From, target.Name)
	}
	g.absorbReply(&reply, target, sent)
	return nil
}

// probeIndirectly asks helpers to probe the target until one has reached it or
// the context ends. The direct probe's late answer counts as well.
func (g *Group) probeIndirectly(ctx context.Context, target Member, direct <-chan error) (reached bool, helpers, answered int) {
	g.mu.Lock()
	chosen := g.randomLive(g.options.IndirectProbes, target.Name)
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

// fail begins the removal of a member that nobody reached, unless it has shown
// a higher incarnation since.
func (g *Group) fail(target Member, factor float64) {
	g.mu.Lock()
	defer g.unlock()
	r := g.members[target.Name]
	if r == nil || r.Incarnation != target.Incarnation {
		return
	}
	switch r.State {
	case Leaving:
		g.enter(r, Dead)
	case Alive:
		g.enter(r, Suspect)
		if factor > 1 {
			g.startSuspicion(r, factor)
		}
	case Suspect, Dead:
	}
}

// startSuspicion removes the member after a while. The caller holds mu.
func (g *Group) startSuspicion(r *record, factor float64) {
	if r.suspect != nil {
		r.suspect.Stop()
	}
	scale := max(1, math.Log10(float64(g.liveCount()+1))) * factor
	timeout := time.Duration(float64(g.options.SuspectTimeout) * scale)
	deadline, since := time.Now().Add(timeout), r.since
	r.suspect = time.AfterFunc(timeout, func() {
		g.mu.Lock()
		defer g.unlock()
		switch {
		case g.ctx.Err() != nil || r.State != Suspect || r.since != since:
		case time.Since(deadline) > lateLimit: // the refutation may wait to be read
			g.startSuspicion(r, factor)
		default:
			g.enter(r, Dead)
		}
	})
}
