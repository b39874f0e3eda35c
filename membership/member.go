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
	// Suspect members failed a probe and are removed unless they refute it.
	Suspect
	// Leaving members have announced their departure. They still answer, and
	// are to get no new work.
	Leaving
	// Dead members were removed, and are tried now and then.
	Dead
)

type (
	// State of a member.
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

	// View is what a node knew of the fleet at one time. It doesn't change.
	View struct {
		// Version rises with each change of this node's view.
		Version uint64
		// Members holds all known members sorted by name, this node and removed
		// members included.
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

// Live returns the members that may be given work, sorted by name: the alive
// ones and the suspects, which are still likely to be alive.
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

// unlock publishes the view if it has changed and releases mu.
func (g *Group) unlock() {
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
		default: // the last notice was not yet received
		}
	}
}

// apply takes in what another member says about one member. The caller holds mu
// and calls unlock.
func (g *Group) apply(update Member) {
	if update.Name == g.self.Name {
		g.refute(update)
		return
	}
	r := g.members[update.Name]
	if r == nil {
		// A removed member that nobody here knows is of no use, and taking it in
		// would bring forgotten members back for ever.
		if update.State == Dead || update.Name == "" || !update.Address.IsValid() {
			return
		}
		r = &record{Member: update}
		g.members[update.Name] = r
		i, _ := slices.BinarySearch(g.names, update.Name)
		g.names = slices.Insert(g.names, i, update.Name)
		r.State = 0
		g.reach.stale = true
		g.enter(r, update.State)
		return
	}
	if update.Incarnation < r.Incarnation ||
		(update.Incarnation == r.Incarnation && rank(update.State) <= rank(r.State)) {
		return
	}
	state := update.State
	if state == Dead && r.State == Alive {
		// Other members saw the suspicion and its end. Here it begins only now,
		// so that after a partition has healed, late news from the other side
		// doesn't remove members that are alive.
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
	g.enter(r, state)
}

// enter changes the state of a member and spreads it. The caller holds mu.
func (g *Group) enter(r *record, state State) {
	if r.suspect != nil {
		r.suspect.Stop()
		r.suspect = nil
	}
	if left := state == Dead && (r.State == Leaving || (r.State == Dead && r.left)); left != r.left {
		r.left, g.reach.stale = left, true
	}
	if r.State != state {
		g.options.Logger.Info("member changed", "Member", r.Name, "From", r.State.String(), "To", state.String(),
			"Incarnation", r.Incarnation)
	}
	if r.State == Dead {
		g.dead--
	}
	if state == Dead {
		g.dead++
	}
	r.State, r.since = state, time.Now()
	if state == Suspect {
		g.startSuspicion(r, 1)
	}
	g.changed = true
	g.enqueue(r.Member)
}

// refute answers what others say about this node. The caller holds mu.
func (g *Group) refute(update Member) {
	wrong := update.State == Suspect || update.State == Dead
	if update.Incarnation > g.self.Incarnation || (wrong && update.Incarnation == g.self.Incarnation) {
		g.raiseSelf(update.Incarnation)
	}
}

// raiseSelf gives this node an incarnation above the given one and spreads it.
// The caller holds mu.
func (g *Group) raiseSelf(above uint64) {
	g.self.Incarnation = above + 1
	g.changed = true
	g.enqueue(g.self)
}

// rank orders the states of one incarnation: the later of two wins. A leaving
// member isn't suspected, since it is removed at its first failed probe.
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

// live returns whether a member takes part in probing and spreading.
func (r *record) live() bool { return r.State != Dead }

// liveCount returns the number of other members that aren't removed. The
// caller holds mu.
func (g *Group) liveCount() int { return len(g.members) - g.dead }

// randomLive returns up to n random members that aren't removed, other than the
// named one. The caller holds mu.
func (g *Group) randomLive(n int, except string) (chosen []Member) {
	members := g.view.Load().Members // sorted, which keeps tests repeatable
	for _, i := range g.random.Perm(len(members)) {
		if len(chosen) == n {
			break
		}
		r := g.members[members[i].Name]
		if r != nil && r.live() && r.Name != except {
			chosen = append(chosen, r.Member)
		}
	}
	return chosen
}
