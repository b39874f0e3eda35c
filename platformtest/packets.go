package platformtest

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxQueuedPackets is the number of unread datagrams of a listener. Further ones
// are dropped.
const maxQueuedPackets = 256

type (
	// PacketNetwork is an in-memory network for datagrams. It is safe for
	// concurrent use.
	PacketNetwork struct {
		mu          sync.Mutex
		listeners   map[netip.AddrPort]*packetConn
		partitioned map[netip.Addr]bool
	}

	packetConn struct {
		network *PacketNetwork
		address netip.AddrPort
		queue   chan packet
		done    chan struct{}
		once    sync.Once
	}

	packet struct {
		from netip.AddrPort
		data []byte
	}
)

// NewPacketNetwork returns a network without listeners or partitions.
func NewPacketNetwork() *PacketNetwork {
	return &PacketNetwork{listeners: map[netip.AddrPort]*packetConn{}, partitioned: map[netip.Addr]bool{}}
}

// SetPartitioned makes the network drop all datagrams to and from an IP address,
// or deliver them again.
func (p *PacketNetwork) SetPartitioned(address string, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned[netip.MustParseAddr(address)] = partitioned
}

// Listen returns a connection that receives the datagrams sent to an address. It
// replaces an earlier one at that address.
func (p *PacketNetwork) Listen(address netip.AddrPort) (conn net.PacketConn, err error) {
	c := &packetConn{network: p, address: address, queue: make(chan packet, maxQueuedPackets), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[address] = c
	return c, nil
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(b []byte) (n int, from net.Addr, err error) {
	select {
	case received := <-c.queue:
		return copy(b, received.data), net.UDPAddrFromAddrPort(received.from), nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn. It reports dropped datagrams as sent, as UDP
// does.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (n int, err error) {
	address := to.(*net.UDPAddr).AddrPort()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	target := c.network.listeners[address]
	if target == nil || c.network.partitioned[address.Addr()] || c.network.partitioned[c.address.Addr()] {
		return len(b), nil
	}
	select {
	case target.queue <- packet{from: c.address, data: append([]byte(nil), b...)}:
	default:
	}
	return len(b), nil
}

// Close implements net.PacketConn.
func (c *packetConn) Close() (err error) {
	c.once.Do(func() { close(c.done) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.address) }

// SetDeadline implements net.PacketConn. It has no effect.
func (c *packetConn) SetDeadline(time.Time) (err error) { return nil }

// SetReadDeadline implements net.PacketConn. It has no effect.
func (c *packetConn) SetReadDeadline(time.Time) (err error) { return nil }

// SetWriteDeadline implements net.PacketConn. It has no effect.
func (c *packetConn) SetWriteDeadline(time.Time) (err error) { return nil }
