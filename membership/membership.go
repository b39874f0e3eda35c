// Package membership maintains the list of the live nodes of a fleet with a
// SWIM-style protocol. Each node probes one member per interval, in round-robin
// order, so that the message rate of a node doesn't grow with the fleet. A member
// that answers neither a direct probe nor an indirect one through other members
// is suspected; it is removed unless it refutes the suspicion with a higher
// incarnation in time. Updates are piggybacked on probes, and anti-entropy (an
// exchange of state digests with a random member) delivers updates that gossip
// missed.
//
// If this node itself may be at fault, it removes members more slowly: a suspicion
// lasts three times as long if none of the members asked for an indirect probe
// answered, and after a pause of the process a failed probe is ignored and an ended
// suspicion starts again. Reachable shows whether the node may be cut off. Removed members are contacted again until
// Options.DeadRetention has passed, so that a fleet merges after a partition.
//
// # Usage
//
//	group, err := membership.New(ctx, membership.Options{
//		Name: "entry-1", Address: address, FailureDomain: "iringa-a", Region: "iringa",
//		Peers: pool, Seeds: seeds,
//	})
//	server.Register(membership.Service, group.Receiver())
//
//	for _, member := range group.View().Live() {
//		use(member.Address)
//	}
//	changes := group.Subscribe(ctx) // receives after each change of the view
//
//	reachable, known := group.Reachable()
//	if 2*reachable <= known {
//		// this node may be cut off from the majority
//	}
//	group.Leave(ctx) // before the process ends
//
// The package sends its messages through any RPCClient, such as peer.Pool. Names
// must be unique among running processes. Messages carry ages instead of
// timestamps, so the nodes' clocks need not be synchronized.
package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// Service is the name under which Receiver has to be registered.
	Service = "Membership"
	// MaxPayloadBytes limits the payload of a member, since every update of the
	// member carries it.
	MaxPayloadBytes = 256
)

// Defaults of Options. With them a killed node is removed within 3 s in a fleet
// of 9 nodes, and within 6 s in one of 390.
const (
	defaultInterval          = 400 * time.Millisecond
	defaultDirectTimeout     = 250 * time.Millisecond // four round trips between regions
	defaultIndirectTimeout   = 350 * time.Millisecond
	defaultIndirectProbes    = 3
	defaultSuspectTimeout    = 800 * time.Millisecond
	defaultExchangeInterval  = 15 * time.Second
	defaultReconnectInterval = 10 * time.Second
	defaultDiscoveryInterval = 30 * time.Second
	defaultDeadRetention     = 2 * time.Hour // longer than a partition between regions lasts
	// 10 intervals, within which contact ages reach every member of a fleet of up
	// to 390 nodes, see TestProbeDistancesSpreadContactAges.
	defaultReachWindow = 4 * time.Second
)

type (
	// RPCClient makes calls to other members. peer.Pool is one.
	RPCClient interface {
		Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error)
	}

	// Options configures a Group. Name, Address and Peers are required; the
	// other fields are optional.
	Options struct {
		Name          string
		Address       netip.AddrPort
		FailureDomain string
		Region        string
		Payload       []byte
		Peers         RPCClient

		// Seeds are the addresses of the first members to contact. They may
		// include this node's own address.
		Seeds []netip.AddrPort
		// Discover returns addresses at which members may run, such as the
		// platform's list of VMs. The list may be outdated. Discover may be nil.
		Discover func(ctx context.Context) (addresses []netip.AddrPort, err error)

		// Interval is the time between two probes by one node.
		Interval time.Duration
		// DirectTimeout is the timeout of a direct probe.
		DirectTimeout time.Duration
		// IndirectTimeout is the timeout of the indirect probes that follow a
		// failed direct one.
		IndirectTimeout time.Duration
		// IndirectProbes is the number of members asked for an indirect probe.
		IndirectProbes int
		// SuspectTimeout is the time from suspicion to removal in a fleet of up
		// to 10 members. It grows with the logarithm of the fleet's size.
		SuspectTimeout time.Duration
		// ExchangeInterval is the mean time between two state exchanges.
		ExchangeInterval time.Duration
		// ReconnectInterval is the mean time between two attempts to reach
		// removed members.
		ReconnectInterval time.Duration
		// DiscoveryInterval is the mean time between two calls of Discover.
		DiscoveryInterval time.Duration
		// DeadRetention is how long removed members stay in the member list.
		// Until then reconnection is attempted, and Reachable counts them as
		// known. Members that left are deleted after a minute.
		DeadRetention time.Duration
		// ReachWindow is how recent the last contact with a member has to be for
		// Reachable to count it as reachable.
		ReachWindow time.Duration

		Logger *slog.Logger
		// Seed makes the random choices of a test repeatable. 0 means a random
		// seed.
		Seed uint64
	}

	// Group is this node's membership of the fleet: it maintains the node's view
	// of the members. It is safe for concurrent use.
	Group struct {
		options Options
		ctx     context.Context
		view    atomic.Pointer[View]

		mu             sync.Mutex // guards the fields below
		random         *rand.Rand
		self           Member
		members        map[string]*record // without self
		names          []string           // of all members and self, sorted
		dead           int                // number of removed members
		priorityProbes []string           // members to probe before the next round-robin target
		queue          map[string]*queuedUpdate
		subscribers    map[chan struct{}]struct{}
		changed        bool // the view has to be rebuilt
		contacts       contactSample
		gossiping      bool  // the gossip goroutine is running
		reconnectNow   bool  // the last reconnection succeeded; the next tick attempts another
		probeDistances []int // shuffled distances for the current ring size, see probeDistance
	}

	// record is this node's state of another member.
	record struct {
		Member
		stateSince     time.Time
		left           bool        // removed after it announced its departure
		suspicionTimer *time.Timer // removes the member when it fires
	}
)

// New starts to join the fleet and maintains the returned group until ctx ends. It
// doesn't wait for a member to answer: attempts to reach a seed or a discovered
// address repeat about every second, and the view holds only this node until one
// succeeds or another node makes contact. Call Leave before ending ctx for a planned departure.
func New(ctx context.Context, options Options) (group *Group, err error) {
	defer errors.DeferredAnnotatef(&err, "membership of %q", options.Name)
	if options, err = options.withDefaults(); err != nil {
		return nil, err
	}
	g := &Group{
		options: options,
		ctx:     ctx,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		self: Member{
			Name: options.Name, Address: options.Address, FailureDomain: options.FailureDomain, Region: options.Region,
			// A restarted node doesn't know its previous incarnation. The clock
			// normally gives a higher one; if it doesn't, the node raises it
			// when it receives an update about itself.
			Incarnation: uint64(time.Now().UnixMilli()),
			State:       Alive, Payload: options.Payload,
		},
		members:     make(map[string]*record),
		names:       []string{options.Name},
		queue:       make(map[string]*queuedUpdate),
		subscribers: make(map[chan struct{}]struct{}),
	}
	g.mu.Lock()
	g.enqueue(g.self)
	g.changed = true
	g.publishAndUnlock()
	go g.every(options.Interval, 0, g.probeNext)
	go g.every(options.ExchangeInterval, options.ExchangeInterval/2, g.exchangeNext)
	go g.every(reconnectTick, reconnectTick/2, g.reconnectNext)
	go g.join()
	return g, nil
}

// View returns the current view of the fleet. It takes no lock.
func (g *Group) View() *View { return g.view.Load() }

// Self returns this node's own entry.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Subscribe returns a channel that receives a value after the view has changed,
// until ctx ends. Changes in quick succession may be merged into one value.
func (g *Group) Subscribe(ctx context.Context) <-chan struct{} {
	changes := make(chan struct{}, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers[changes] = struct{}{}
	context.AfterFunc(ctx, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.subscribers, changes)
	})
	return changes
}

// SetPayload replaces this node's payload and gossips the change.
func (g *Group) SetPayload(payload []byte) (err error) {
	if len(payload) > MaxPayloadBytes {
		return errors.Errorf("payload of %d bytes exceeds the limit of %d", len(payload), MaxPayloadBytes)
	}
	g.mu.Lock()
	defer g.publishAndUnlock()
	g.self.Payload = payload
	g.bumpIncarnation(g.self.Incarnation)
	return nil
}

// Leave announces the departure of this node and waits until the update has been
// sent to enough members to spread, or until ctx ends. The node still answers
// probes afterwards, and other nodes list it as Leaving until it stops.
func (g *Group) Leave(ctx context.Context) (err error) {
	g.mu.Lock()
	g.self.State = Leaving
	g.bumpIncarnation(g.self.Incarnation)
	g.publishAndUnlock()
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		g.mu.Lock()
		q := g.queue[g.self.Name]
		sent := q == nil || q.sendCount >= g.maxSends()
		alone := g.activeCount() == 0
		g.mu.Unlock()
		if sent || alone {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "leave")
		case <-g.ctx.Done():
			return errors.Annotate(g.ctx.Err(), "leave")
		}
	}
}

// every runs work at intervals of interval ± jitter, starting at a random point
// of the first interval, until the group's context ends.
func (g *Group) every(interval, jitter time.Duration, work func()) {
	timer := time.NewTimer(g.randomUpTo(interval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(interval - jitter + g.randomUpTo(2*jitter))
			work()
		case <-g.ctx.Done():
			return
		}
	}
}

func (g *Group) randomUpTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.random.Int64N(int64(limit)))
}

func (o Options) withDefaults() (Options, error) {
	switch {
	case o.Name == "":
		return o, errors.New("name is required")
	case !o.Address.IsValid():
		return o, errors.New("address is required")
	case o.Peers == nil:
		return o, errors.New("RPC client (Peers) is required")
	case len(o.Payload) > MaxPayloadBytes:
		return o, errors.Errorf("payload of %d bytes exceeds the limit of %d", len(o.Payload), MaxPayloadBytes)
	}
	for _, duration := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.Interval, defaultInterval},
		{&o.DirectTimeout, defaultDirectTimeout},
		{&o.IndirectTimeout, defaultIndirectTimeout},
		{&o.SuspectTimeout, defaultSuspectTimeout},
		{&o.ExchangeInterval, defaultExchangeInterval},
		{&o.ReconnectInterval, defaultReconnectInterval},
		{&o.DiscoveryInterval, defaultDiscoveryInterval},
		{&o.DeadRetention, defaultDeadRetention},
		{&o.ReachWindow, defaultReachWindow},
	} {
		if *duration.field <= 0 {
			*duration.field = duration.value
		}
	}
	if o.IndirectProbes <= 0 {
		o.IndirectProbes = defaultIndirectProbes
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o, nil
}
