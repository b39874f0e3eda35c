// Package membership keeps the list of the live nodes of a fleet. Each node
// probes one member per interval, in round-robin order, so the
// messages of a node don't grow with the fleet. A member that answers neither
// a direct probe nor an indirect one through other members is suspected; it is
// removed unless it refutes the suspicion with a higher incarnation in time.
// Changes travel on the probes. A digest of the whole state, exchanged with one
// random member now and then, repairs what was missed.
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
//	heard, known := group.Reachable()
//	if 2*heard <= known {
//		// this node may be cut off from the majority
//	}
//	group.Leave(ctx) // before the process ends
//
// The package carries its messages over any RPCClient, such as peer.Pool.
// Another process's name must not be reused while it runs. Times are measured
// between a call and its reply only, so the nodes' clocks need not agree.
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
	// MaxPayloadBytes bounds the payload of a member, since it travels with
	// every update.
	MaxPayloadBytes = 256
)

// Defaults of Options. At 9 nodes they remove a killed node within 3 s, at 390
// within 6 s; see the package's tests for the measured traffic.
const (
	defaultInterval         = 400 * time.Millisecond
	defaultDirectTimeout    = 250 * time.Millisecond // four round trips between regions
	defaultIndirectTimeout  = 350 * time.Millisecond
	defaultHelpers          = 3
	defaultSuspectTimeout   = 800 * time.Millisecond
	defaultExchangeInterval = 15 * time.Second
	defaultReviveInterval   = 10 * time.Second
	defaultListInterval     = 30 * time.Second
	defaultDeadRetention    = 2 * time.Hour // longer than a partition between regions lasts
	defaultReachWindow      = 4 * time.Second
)

type (
	// RPCClient makes calls to other members. peer.Pool is one.
	RPCClient interface {
		Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error)
	}

	// Options of a Group. Name, Address and Peers are required; every other
	// field has a default.
	Options struct {
		Name          string
		Address       netip.AddrPort
		FailureDomain string
		Region        string
		Payload       []byte
		Peers         RPCClient

		// Seeds are addresses of members to join through. This node's own
		// address may be among them.
		Seeds []netip.AddrPort
		// Discover returns the platform's list of addresses. It may lag and is
		// only a hint of where members might be. It may be nil.
		Discover func(ctx context.Context) (addresses []netip.AddrPort, err error)

		// Interval is the time between two probes by one node.
		Interval time.Duration
		// DirectTimeout bounds a direct probe.
		DirectTimeout time.Duration
		// IndirectTimeout bounds the indirect probes that follow a failed one.
		IndirectTimeout time.Duration
		// IndirectProbes is the number of members asked for an indirect probe.
		IndirectProbes int
		// SuspectTimeout is the time from suspicion to removal at up to 10
		// members. It grows with the logarithm of their number.
		SuspectTimeout time.Duration
		// ExchangeInterval is the mean time between two state exchanges.
		ExchangeInterval time.Duration
		// ReconnectInterval is the mean time between two attempts to reach a
		// removed member.
		ReconnectInterval time.Duration
		// DiscoveryInterval is the mean time between two calls of Discover.
		DiscoveryInterval time.Duration
		// DeadRetention is how long removed members are remembered, tried, and
		// counted as known by Reachable.
		DeadRetention time.Duration
		// ReachWindow is how recent a contact has to be to count as heard.
		ReachWindow time.Duration

		Logger *slog.Logger
		// Seed makes the random choices of a test repeatable. 0 takes a random
		// one.
		Seed uint64
	}

	// Group is this node's part in the fleet's membership.
	Group struct {
		options Options
		ctx     context.Context
		view    atomic.Pointer[View]

		mu          sync.Mutex
		random      *rand.Rand
		self        Member
		members     map[string]*record // without self
		names       []string           // of all members and self, sorted
		dead        int                // number of removed members
		checks      []string           // members to probe out of turn
		queue       map[string]*queued
		subscribers map[chan struct{}]struct{}
		changed     bool // the view has to be rebuilt
		reach       reach
		gossiping   bool
		reviveSoon  bool
		steps       []int // the distances of probes, for the number of live members
	}

	// record is what this node holds about another member.
	record struct {
		Member
		since   time.Time   // of the current state
		left    bool        // it announced its departure
		suspect *time.Timer // ends the suspicion
	}
)

// New starts to take part in the fleet. Its work ends with ctx; call Leave
// first when the departure is planned.
func New(ctx context.Context, options Options) (group *Group, err error) {
	defer errors.DeferredAnnotatef(&err, "membership of %q", options.Name)
	if options, err = options.filled(); err != nil {
		return nil, err
	}
	g := &Group{
		options: options,
		ctx:     ctx,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		self: Member{
			Name: options.Name, Address: options.Address, FailureDomain: options.FailureDomain, Region: options.Region,
			// A restarted node has no memory of its incarnation. The clock gives
			// a higher one than the last process had; where it doesn't, the node
			// refutes what it hears about itself.
			Incarnation: uint64(time.Now().UnixMilli()),
			State:       Alive, Payload: options.Payload,
		},
		members:     make(map[string]*record),
		names:       []string{options.Name},
		queue:       make(map[string]*queued),
		subscribers: make(map[chan struct{}]struct{}),
	}
	g.mu.Lock()
	g.enqueue(g.self)
	g.changed = true
	g.unlock()
	go g.every(options.Interval, 0, g.probeNext)
	go g.every(options.ExchangeInterval, options.ExchangeInterval/2, g.exchangeNext)
	go g.every(reviveTick, reviveTick/2, g.reviveNext)
	go g.join()
	return g, nil
}

// View returns the current members. It takes no lock.
func (g *Group) View() *View { return g.view.Load() }

// Self returns this node's own entry.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Subscribe returns a channel that receives after the view has changed, until
// ctx ends. Changes in quick succession may be received as one.
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

// SetPayload replaces this node's payload and spreads it.
func (g *Group) SetPayload(payload []byte) (err error) {
	if len(payload) > MaxPayloadBytes {
		return errors.Errorf("payload of %d bytes exceeds %d", len(payload), MaxPayloadBytes)
	}
	g.mu.Lock()
	defer g.unlock()
	g.self.Payload = payload
	g.raiseSelf(g.self.Incarnation)
	return nil
}

// Leave announces the planned end of this node and waits until the news has
// been handed to enough members to spread, or until ctx ends. The node still
// answers afterwards, and other nodes list it as Leaving until it stops.
func (g *Group) Leave(ctx context.Context) (err error) {
	g.mu.Lock()
	g.self.State = Leaving
	g.raiseSelf(g.self.Incarnation)
	g.unlock()
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		g.mu.Lock()
		_, waiting := g.queue[g.self.Name]
		alone := g.liveCount() == 0
		g.mu.Unlock()
		if !waiting || alone {
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

// every runs work at intervals that differ by up to jitter to either side,
// from a random point of the first interval on.
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

func (o Options) filled() (Options, error) {
	switch {
	case o.Name == "":
		return o, errors.New("no name")
	case !o.Address.IsValid():
		return o, errors.New("no address")
	case o.Peers == nil:
		return o, errors.New("no caller")
	case len(o.Payload) > MaxPayloadBytes:
		return o, errors.Errorf("payload of %d bytes exceeds %d", len(o.Payload), MaxPayloadBytes)
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
		{&o.ReconnectInterval, defaultReviveInterval},
		{&o.DiscoveryInterval, defaultListInterval},
		{&o.DeadRetention, defaultDeadRetention},
		{&o.ReachWindow, defaultReachWindow},
	} {
		if *duration.field <= 0 {
			*duration.field = duration.value
		}
	}
	if o.IndirectProbes <= 0 {
		o.IndirectProbes = defaultHelpers
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o, nil
}
