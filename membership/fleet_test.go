package membership_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/membership"
	"github.com/guavagauge/guavagauge/peer"
)

type (
	// fleet is a set of groups that call each other in memory. It counts the
	// messages.
	fleet struct {
		ctx   context.Context
		mu    sync.Mutex
		nodes map[netip.Addr]*process
		cut   func(from, to netip.Addr) bool // reports whether messages are lost; nil if none are
		delay map[netip.Addr]time.Duration
		// counting is only set while needed, since it encodes every message,
		// which would dominate the run time of a large fleet.
		counting     bool
		calls, bytes int
	}

	process struct {
		group    *membership.Group
		receiver *membership.Receiver
		stop     context.CancelFunc
	}

	// rpcClient is the membership.RPCClient of one node.
	rpcClient struct {
		fleet *fleet
		from  netip.Addr
	}
)

// runFleet runs test in a synctest bubble with n nodes that have joined through
// three seeds.
func runFleet(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // delayed messages arrive after their callers have ended
			synctest.Wait()
		}()
		f := &fleet{ctx: ctx, nodes: map[netip.Addr]*process{}, delay: map[netip.Addr]time.Duration{}}
		for i := range n {
			f.start(t, i)
		}
		t.Logf("all %d joined after %v", n, f.await(t, "all join", 60*time.Second, func(i int) bool { return f.live(i) == n }))
		test(t, f)
	})
}

func (f *fleet) start(t *testing.T, i int) {
	ctx, cancel := context.WithCancel(f.ctx)
	group, err := membership.New(ctx, membership.Options{
		Name: name(i), Address: address(i), Region: fmt.Sprint(i % 2), Peers: &rpcClient{f, address(i).Addr()},
		Seeds: []netip.AddrPort{address(0), address(1), address(2)}, Seed: uint64(i + 1),
	})
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[address(i).Addr()] = &process{group, group.Receiver(), cancel}
}

func (f *fleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[address(i).Addr()].stop()
	delete(f.nodes, address(i).Addr())
}

func (f *fleet) setCut(cut func(from, to netip.Addr) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *fleet) group(i int) *membership.Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.nodes[address(i).Addr()]; p != nil {
		return p.group
	}
	return nil
}

func (f *fleet) live(i int) int { return len(f.group(i).View().Live()) }

func (f *fleet) state(i, of int) membership.State {
	member, _ := f.group(i).View().Get(name(of))
	return member.State
}

// await waits until the condition holds for every running node, and returns how
// long that took. It fails the test after limit.
func (f *fleet) await(t *testing.T, description string, limit time.Duration, condition func(i int) bool) time.Duration {
	t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		failed := -1
		f.mu.Lock()
		addresses := make([]netip.Addr, 0, len(f.nodes))
		for a := range f.nodes {
			addresses = append(addresses, a)
		}
		f.mu.Unlock()
		for _, a := range addresses {
			if i := index(a); !condition(i) {
				failed = i
				break
			}
		}
		if failed < 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			t.Fatalf("%s: condition not met after %v at %s", description, limit, name(failed))
		}
	}
}

// count returns the number of messages, and of their bytes, during the given time.
func (f *fleet) count(duration time.Duration) (calls, bytes int) {
	f.mu.Lock()
	f.counting, f.calls, f.bytes = true, 0, 0
	f.mu.Unlock()
	time.Sleep(duration)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counting = false
	return f.calls, f.bytes
}

// Call implements membership.RPCClient.
func (c *rpcClient) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) (err error) {
	f := c.fleet
	if !c.deliver(ctx, c.from, to.Addr(), method, args) {
		return ctx.Err()
	}
	f.mu.Lock()
	p := f.nodes[to.Addr()]
	f.mu.Unlock()
	if p == nil {
		return errors.New("connection refused")
	}
	switch method {
	case "Membership.Probe":
		err = p.receiver.Probe(args.(*membership.Message), reply.(*membership.Message))
	case "Membership.Relay":
		err = p.receiver.Relay(args.(*membership.RelayArgs), reply.(*membership.RelayReply))
	case "Membership.Exchange":
		err = p.receiver.Exchange(args.(*membership.ExchangeArgs), reply.(*membership.ExchangeReply))
	default:
		return errors.NotFoundf("method %s", method)
	}
	if err == nil && !c.deliver(ctx, to.Addr(), c.from, method, reply) {
		return ctx.Err()
	}
	return err
}

// deliver counts one message and waits for its arrival. It reports whether the
// message arrived while its sender still waited.
func (c *rpcClient) deliver(ctx context.Context, from, to netip.Addr, method string, body any) bool {
	f := c.fleet
	f.mu.Lock()
	if f.counting {
		f.calls++
		n, err := peer.MessageBytes(method, body)
		if err != nil {
			panic(err)
		}
		f.bytes += n
	}
	cut := f.cut != nil && f.cut(from, to)
	delay := f.delay[from] + f.delay[to]
	f.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
		return false
	case delay > 0:
		time.Sleep(delay)
	}
	return ctx.Err() == nil
}

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
}

func index(a netip.Addr) int {
	b := a.As4()
	return int(b[2])*250 + int(b[3]) - 1
}
