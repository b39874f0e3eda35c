package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// The states of a member.
const (
	// Alive members answer probes.
	Alive State = iota + 1
	// Suspect members failed a probe and are removed unless they refute the
	// suspicion in time.
	Suspect
	// Leaving members have announced their departure. They still answer probes,
	// but should get no new work.
	Leaving
	// Dead members were removed. Reconnection to them is attempted until
	// Options.DeadRetention has passed, except for members that left.
	Dead
)

type (
	// State is the state of a member.
	State uint8

	// Member is one node of the fleet. Its payload must not be modified.
	Member struct {
		Name          string         `cbor:"1,keyasint,omitzero"`
		Address       netip.AddrPort `cbor:"2,keyasint,omitzero"`
		FailureDomain string         `cbor:"3,keyasint,omitzero"`
		Region        string         `cbor:"4,keyasint,omitzero"`
		Incarnation   uint64         `cbor:"5,keyasint,omitzero"`
		State         State          `cbor:"6,keyasint,omitzero"`
		Payload       []byte         `cbor:"7,keyasint,omitzero"`
	}

	// View is an immutable snapshot of a node's member list.
	View struct {
		// Version increases with each change of this node's view.
		Version uint64
		// Members holds all known members sorted by name, including this node
		// and removed members.
		Members []Member

		live []Member
	}
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "Alive"
	case Suspect:
		return "Suspect"
	case Leaving:
		return "Leaving"
	case Dead:
		return "Dead"
	default:
		return "Unknown"
	}
}

// Live returns the members that may be given work, sorted by name: those that
// are Alive or Suspect, since a suspect is still likely to be alive.
func (v *View) Live() []Member { return v.live }

// Get returns the member with the given name.
func (v *View) Get(name string) (member Member, ok bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// publishAndUnlock publishes a new view if the members have changed, notifies
// the subscribers, and releases mu.
func (g *Group) publishAndUnlock() {
	defer g.mu.Unlock()
	if !g.changed {
		return
	}
	g.changed = false
	next := &View{Members: make([]Member, 0, len(g.names))}
	if last := g.view.Load(); last != nil {
		next.Version = last.Version + 1
	}
	next.live = make([]Member, 0, len(g.names)-g.dead)
	for _, name := range g.names {
		m := &g.self
		if r := g.members[name]; r != nil {
			m = &r.Member
		}
		next.Members = append(next.Members, *m)
		if m.State == Alive || m.State == Suspect {
			next.live = append(next.live, *m)
		}
	}
	g.view.Store(next)
	for changes := range g.subscribers {
		select {
		case changes <- struct{}{}:
		default: // the previous notification is still pending
		}
	}
}

// apply applies an update about one member that another node sent. The caller
// holds mu and calls publishAndUnlock.
func (g *Group) apply(update Member) {
	if update.Name == g.self.Name {
		g.refute(update)
		return
	}
	r := g.members[update.Name]
	if r == nil {
		// Adding an unknown member as removed is useless, and would let nodes
		// send deleted members to each other forever.
		if update.State == Dead || update.Name == "" || !update.Address.IsValid() {
			return
		}
		r = &record{Member: update}
		g.members[update.Name] = r
		i, _ := slices.BinarySearch(g.names, update.Name)
		g.names = slices.Insert(g.names, i, update.Name)
		r.State = 0 // setState logs and counts the change to update.State
		g.contacts.stale = true
		g.setState(r, update.State)
		return
	}
	if update.Incarnation < r.Incarnation ||
		(update.Incarnation == r.Incarnation && rank(update.State) <= rank(r.State)) {
		return
	}
	state := update.State
	if state == Dead && r.State == Alive {
		// This node missed the suspicion, so it starts one now. Otherwise
		// outdated updates from the other side of a healed partition would
		// remove members that are alive.
		state = Suspect
	}
	if state == Suspect && r.State == Suspect {
		r.Incarnation = update.Incarnation // the suspicion's timer continues
		g.enqueue(r.Member)
		return
	}
	if update.State == Alive || update.State == Leaving {
		r.Member = Member{
			Name: r.Name, Address: update.Address, FailureDomain: update.FailureDomain, Region: update.Region,
			Payload: update.Payload, State: r.State,
		}
	}
	r.Incarnation = update.Incarnation
	g.setState(r, state)
}

// setState changes the state of a member and queues the update for gossip. The
// caller holds mu.
func (g *Group) setState(r *record, state State) {
	if r.suspicionTimer != nil {
		r.suspicionTimer.Stop()
		r.suspicionTimer = nil
	}
	if left := state == Dead && (r.State == Leaving || (r.State == Dead && r.left)); left != r.left {
		r.left, g.contacts.stale = left, true
	}
	if r.State != state {
		g.options.Logger.Info("member state changed", "Member", r.Name, "From", r.State.String(), "To", state.String(),
			"Incarnation", r.Incarnation)
	}
	if r.State == Dead {
		g.dead--
	}
	if state == Dead {
		g.dead++
	}
	r.State, r.stateSince = state, time.Now()
	if state == Suspect {
		g.startSuspicion(r, 1)
	}
	g.changed = true
	g.enqueue(r.Member)
}

// refute raises this node's incarnation above that of an update about this node,
// if the update has a higher one, or reports it as Suspect or Dead with its
// current one. The caller holds mu.
func (g *Group) refute(update Member) {
	wrong := update.State == Suspect || update.State == Dead
	if update.Incarnation > g.self.Incarnation || (wrong && update.Incarnation == g.self.Incarnation) {
		g.bumpIncarnation(update.Incarnation)
	}
}

// bumpIncarnation gives this node an incarnation above the given one and queues
// its entry for gossip. The caller holds mu.
func (g *Group) bumpIncarnation(above uint64) {
	g.self.Incarnation = above + 1
	g.changed = true
	g.enqueue(g.self)
}

// rank returns the precedence of a state among updates of the same incarnation.
// Leaving ranks above Suspect, since a leaving member is removed at its first
// failed probe without a suspicion.
func rank(state State) int {
	switch state {
	case Alive:
		return 0
	case Suspect:
		return 1
	case Leaving:
		return 2
	default:
		return 3
	}
}

// active reports whether a member is probed and receives gossip.
func (r *record) active() bool { return r.State != Dead }

// activeCount returns the number of other members that aren't removed. The
// caller holds mu.
func (g *Group) activeCount() int { return len(g.members) - g.dead }

// randomActive returns up to n random members that aren't removed, other than
// the named one. The caller holds mu.
func (g *Group) randomActive(n int, except string) (chosen []Member) {
	members := g.view.Load().Members // sorted, so that Options.Seed makes the choice repeatable
	for _, i := range g.random.Perm(len(members)) {
		if len(chosen) == n {
			break
		}
		r := g.members[members[i].Name]
		if r != nil && r.active() && r.Name != except {
			chosen = append(chosen, r.Member)
		}
	}
	return chosen
}
