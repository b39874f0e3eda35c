package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/peer"
)

// countedNetwork counts the connections that are opened.
type countedNetwork struct {
	nettest.HookedNetwork
	dials atomic.Int64
}

// Dial implements transport.Network.
func (c *countedNetwork) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	c.dials.Add(1)
	return c.HookedNetwork.Dial(ctx, address)
}

// Guards against a call that fails though it was never sent, or is sent twice, when
// the peer closes the kept connection.
func TestKeptConnectionIsClosedDuringCall(t *testing.T) {
	const caller, callee = "10.0.0.1", "10.0.0.2"
	for name, test := range map[string]struct {
		before func(restart func())
		cross  func(network *nettest.Network, restart func(), conn net.Conn, b []byte) (n int, err error)
		served bool
	}{
		"before the call": {before: func(restart func()) { restart(); synctest.Wait() }, served: true},
		"before the write": {cross: func(_ *nettest.Network, restart func(), conn net.Conn, b []byte) (n int, err error) {
			restart()
			return conn.Write(b)
		}, served: true},
		"after a part": {cross: func(_ *nettest.Network, restart func(), conn net.Conn, b []byte) (n int, err error) {
			n, _ = conn.Write(b[:len(b)/2])
			restart()
			_, err = conn.Write(b[n:])
			return n, err
		}, served: true},
		"after the write": {cross: func(network *nettest.Network, restart func(), conn net.Conn, b []byte) (n int, err error) {
			network.Cut(callee, caller) // no reply comes first
			defer network.Heal(callee, caller)
			defer restart()
			return conn.Write(b)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer func() { cancel(); synctest.Wait() }()
				network := nettest.New()
				address := netip.MustParseAddrPort(callee + ":7000")
				receiver := &echo{}
				restart := func() {
					network.Crash(callee)
					listener, err := network.Host(callee).Listen(ctx, address)
					if err != nil {
						t.Fatal(err)
					}
					if err := peer.NewServer(ctx, listener, peer.Options{}).Register("Echo", receiver); err != nil {
						t.Fatal(err)
					}
				}
				restart()
				hooked := &countedNetwork{HookedNetwork: nettest.HookedNetwork{Network: network.Host(caller)}}
				pool := peer.NewPool(ctx, hooked, peer.Data, peer.Options{})
				var reply string
				if err := pool.Call(ctx, address, "Echo.Say", "a", &reply); err != nil {
					t.Fatal(err)
				}
				if test.before != nil {
					test.before(restart)
				} else {
					hooked.ReplaceNextWrite(func(conn net.Conn, b []byte) (n int, err error) { return test.cross(network, restart, conn, b) })
				}
				err := pool.Call(ctx, address, "Echo.Say", "b", &reply)
				synctest.Wait()
				calls, dials := receiver.calls.Load(), hooked.dials.Load()
				if test.served && (err != nil || reply != "b" || calls != 2 || dials != 2) ||
					!test.served && (err == nil || errors.Is(err, peer.ErrNotSent) || calls > 2 || dials != 1) {
					t.Errorf("reply %q, error %v, %d calls on %d connections; served: %t", reply, err, calls, dials, test.served)
				}
			})
		})
	}
}

// Slow answers after more than the time for which an unused connection is kept.
func (e *echo) Slow(text string, reply *string) error {
	<-time.After(10 * time.Minute)
	return e.Say(text, reply)
}

// Guards against a connection that is closed as idle while a call waits on it.
func TestLongCallKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); <-time.After(time.Hour) }()
		network := nettest.New()
		address := netip.MustParseAddrPort("10.0.0.2:7000")
		listener, err := network.Host("10.0.0.2").Listen(ctx, address)
		if err != nil {
			t.Fatal(err)
		}
		if err := peer.NewServer(ctx, listener, peer.Options{}).Register("Echo", &echo{}); err != nil {
			t.Fatal(err)
		}
		hooked := &countedNetwork{HookedNetwork: nettest.HookedNetwork{Network: network.Host("10.0.0.1")}}
		pool := peer.NewPool(ctx, hooked, peer.Data, peer.Options{})
		var reply string
		for range 2 {
			if err := pool.Call(ctx, address, "Echo.Slow", "a", &reply); err != nil {
				t.Error(err)
			}
		}
		<-time.After(7 * time.Minute)
		if err := pool.Call(ctx, address, "Echo.Say", "a", &reply); err != nil || hooked.dials.Load() != 2 {
			t.Errorf("%v; %d connections, want a second one after a pause", err, hooked.dials.Load())
		}
	})
}

// Guards against a call that fails though it was never sent, when another call closes
// their silent connection.
func TestCallOnConnectionThatAnotherCallCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer func() { cancel(); synctest.Wait() }()
		network := nettest.New()
		address := netip.MustParseAddrPort("10.0.0.2:7000")
		listener, err := network.Host("10.0.0.2").Listen(ctx, address)
		if err != nil {
			t.Fatal(err)
		}
		receiver := &echo{}
		if err := peer.NewServer(ctx, listener, peer.Options{}).Register("Echo", receiver); err != nil {
			t.Fatal(err)
		}
		hooked := &countedNetwork{HookedNetwork: nettest.HookedNetwork{Network: network.Host("10.0.0.1")}}
		pool := peer.NewPool(ctx, hooked, peer.Control, peer.Options{})
		var reply string
		if err := pool.Call(ctx, address, "Echo.Say", "a", &reply); err != nil {
			t.Fatal(err)
		}
		network.Silence("10.0.0.1", "10.0.0.2")
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			short, end := context.WithTimeout(ctx, 5*time.Second) // over the silence limit
			defer end()
			var lost string
			if err := pool.Call(short, address, "Echo.Say", "lost", &lost); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("call on a silent connection: %v", err)
			}
		}()
		synctest.Wait()
		hooked.ReplaceNextWrite(func(conn net.Conn, b []byte) (n int, err error) {
			<-closed
			return conn.Write(b)
		})
		if err := pool.Call(ctx, address, "Echo.Say", "b", &reply); err != nil || reply != "b" || receiver.calls.Load() != 2 {
			t.Errorf("reply %q, error %v, %d calls ran, want b after 2", reply, err, receiver.calls.Load())
		}
	})
}
