// Package nettest implements an in-memory network for tests. Connections between
// IP addresses can be delayed, cut in one or both directions, and reset.
//
// # Usage
//
//	net := nettest.New()
//	a, b := net.Host("10.0.0.1"), net.Host("10.0.0.2") // each a transport.Network
//	net.Cut("10.0.0.1", "10.0.0.2")                    // a's bytes no longer reach b
//	net.Heal("10.0.0.1", "10.0.0.2")                   // the bytes held back arrive now
//	net.Silence("10.0.0.1", "10.0.0.2")                // their open connections lose all bytes
//	net.Crash("10.0.0.2")                              // as if b's process were killed
//
// It works inside a testing/synctest bubble, where delays take no real time.
//
// CheckRPCMessages checks that the messages of an RPC receiver survive encoding.
package nettest

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const firstEphemeralPort = 40000

type (
	// Network connects hosts. It is safe for concurrent use.
	Network struct {
		mu        sync.Mutex
		changed   chan struct{} // closed and replaced when a cut is made or healed
		listeners map[netip.AddrPort]*listener
		cuts      map[direction]bool
		crashed   map[netip.Addr]bool // until the host listens again
		delay     func(from, to netip.Addr) time.Duration
		links     map[netip.Addr]*link // hosts without one have no limit
		buffer    int                  // bytes; see SetBuffer
		conns     map[*conn]struct{}
		nextPort  uint16
	}

	// Host is the transport.Network of one IP address.
	Host struct {
		network *Network
		address netip.Addr
	}

	direction struct{ from, to netip.Addr }

	// link is the network link of a host. Its two directions are independent.
	link struct {
		bytesPerSecond float64
		sentUntil      time.Time // when the last byte written so far has left
		receivedUntil  time.Time // when the last byte sent to the host so far has arrived
	}

	listener struct {
		host    *Host
		address netip.AddrPort
		accept  chan net.Conn
		closed  chan struct{}
		once    sync.Once
	}
)

// New returns a network without delays or cuts.
func New() *Network {
	return &Network{
		changed:   make(chan struct{}),
		listeners: make(map[netip.AddrPort]*listener),
		cuts:      make(map[direction]bool),
		crashed:   make(map[netip.Addr]bool),
		delay:     func(netip.Addr, netip.Addr) time.Duration { return 0 },
		links:     make(map[netip.Addr]*link),
		buffer:    defaultBufferBytes,
		conns:     make(map[*conn]struct{}),
		nextPort:  firstEphemeralPort,
	}
}

// Host returns the host at an IP address.
func (n *Network) Host(address string) *Host {
	return &Host{network: n, address: netip.MustParseAddr(address)}
}

// SetDelay sets the function that returns the one-way delay from one address to
// another. It applies to bytes written and connections dialed from now on, but not
// to the end or a reset of a connection, which arrive without delay.
func (n *Network) SetDelay(delay func(from, to netip.Addr) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// SetRate limits each direction of a host's link to a number of bits a second.
// All connections of the host share it, in the order of their writes. It applies
// to bytes written from now on.
func (n *Network) SetRate(address string, bitsPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[netip.MustParseAddr(address)] = &link{bytesPerSecond: bitsPerSecond / 8}
}

// SetBuffer sets the number of unread bytes in one direction of a connection from
// which on writes block. A test with a slow link and net/rpc needs a buffer for
// whole messages: a blocked write holds a mutex of net/rpc, and while a goroutine
// waits for a mutex, fake time stands still.
func (n *Network) SetBuffer(size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.buffer = size
}

func (n *Network) bufferLimit() (size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.buffer
}

// Cut holds back all bytes from one address to another, and new connections
// between the two in either direction. Existing connections stay open. The end of a
// connection is held back as well, but a reset crosses the cut.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// Heal ends a Cut. The bytes that it held back arrive.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

// Silence makes the open connections between two addresses go silent for good: they
// stay open, and nothing that is sent on them arrives. New connections work.
func (n *Network) Silence(a, b string) {
	hostA, hostB := netip.MustParseAddr(a), netip.MustParseAddr(b)
	n.mu.Lock()
	var open []*conn
	for c := range n.conns {
		if local, remote := c.local.Addr(), c.remote.Addr(); local == hostA && remote == hostB || local == hostB && remote == hostA {
			open = append(open, c)
		}
	}
	n.mu.Unlock()
	for _, c := range open {
		c.in.silence()
		c.out.silence()
	}
}

// Crash resets all connections of an address and closes its listeners, as when
// its process is killed. Writes and dials by the address fail from before the
// first reset until it listens again.
func (n *Network) Crash(address string) {
	host := netip.MustParseAddr(address)
	n.mu.Lock()
	n.crashed[host] = true
	var broken []*conn
	for c := range n.conns {
		if c.local.Addr() == host || c.remote.Addr() == host {
			broken = append(broken, c)
		}
	}
	var closed []*listener
	for at, l := range n.listeners {
		if at.Addr() == host {
			closed = append(closed, l)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.reset()
	}
	for _, l := range closed {
		l.Close()
	}
}

func (n *Network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{netip.MustParseAddr(from), netip.MustParseAddr(to)}
	if cut {
		n.cuts[d] = true
	} else {
		delete(n.cuts, d)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// path reports whether bytes from one address to another are held back. changed
// closes when that may have changed.
func (n *Network) path(from, to netip.Addr) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[direction{from, to}], n.changed
}

// transmit returns when size bytes that are written now arrive, and occupies the
// links of both hosts until then.
func (n *Network) transmit(from, to netip.Addr, size int, now time.Time) (due time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	due = now
	if l := n.links[from]; l != nil {
		l.sentUntil = l.after(l.sentUntil, due, size)
		due = l.sentUntil
	}
	if l := n.links[to]; l != nil {
		l.receivedUntil = l.after(l.receivedUntil, now, size)
		due = laterTime(due, l.receivedUntil)
	}
	return due.Add(n.delay(from, to))
}

// after returns when size more bytes have passed a direction of the link that is
// busy until a time.
func (l *link) after(busyUntil, now time.Time, size int) (done time.Time) {
	return laterTime(busyUntil, now).Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (n *Network) isCrashed(host netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashed[host]
}

func (n *Network) delayOf(from, to netip.Addr) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay(from, to)
}

// Dial connects to the listener at address. It waits while either direction is
// cut.
func (h *Host) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	for {
		forwardCut, changed := h.network.path(h.address, address.Addr())
		reverseCut, _ := h.network.path(address.Addr(), h.address)
		if !forwardCut && !reverseCut {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if h.network.isCrashed(h.address) {
		return nil, errors.Errorf("dial %s: the dialing host has crashed", address)
	}
	roundTrip := h.network.delayOf(h.address, address.Addr()) + h.network.delayOf(address.Addr(), h.address)
	select {
	case <-time.After(roundTrip):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.network.mu.Lock()
	l := h.network.listeners[address]
	h.network.nextPort++
	local := netip.AddrPortFrom(h.address, h.network.nextPort)
	h.network.mu.Unlock()
	if l == nil {
		return nil, errors.Annotatef(syscall.ECONNREFUSED, "dial %s", address)
	}
	dialed, accepted := newConnPair(h.network, local, address)
	select {
	case l.accept <- accepted:
		if l.isClosed() { // Close may have emptied the queue before this connection was in it
			l.resetUnaccepted()
		}
		return dialed, nil
	case <-l.closed:
		dialed.reset()
		return nil, errors.Annotatef(syscall.ECONNREFUSED, "dial %s", address)
	case <-ctx.Done():
		dialed.reset()
		return nil, ctx.Err()
	}
}

// Listen returns a listener at address, whose IP address must be the host's. Port
// 0 selects a free port.
func (h *Host) Listen(_ context.Context, address netip.AddrPort) (result net.Listener, err error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if address.Port() == 0 {
		h.network.nextPort++
		address = netip.AddrPortFrom(h.address, h.network.nextPort)
	}
	if address.Addr() != h.address || h.network.listeners[address] != nil {
		return nil, errors.Errorf("listen %s: address in use or not of this host", address)
	}
	delete(h.network.crashed, h.address)
	l := &listener{host: h, address: address, accept: make(chan net.Conn, 128), closed: make(chan struct{})}
	h.network.listeners[address] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (conn net.Conn, err error) {
	select {
	case conn = <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It resets the connections that haven't been
// accepted.
func (l *listener) Close() (err error) {
	l.once.Do(func() {
		close(l.closed)
		l.host.network.mu.Lock()
		delete(l.host.network.listeners, l.address)
		l.host.network.mu.Unlock()
		l.resetUnaccepted()
	})
	return nil
}

func (l *listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// resetUnaccepted resets the connections in the accept queue of a closed listener,
// as an operating system does.
func (l *listener) resetUnaccepted() {
	for {
		select {
		case waiting := <-l.accept:
			if c, ok := waiting.(*conn); ok {
				c.reset()
			}
		default:
			return
		}
	}
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
