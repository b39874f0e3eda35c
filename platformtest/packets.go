package platformtest

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// packetQueue is the number of datagrams that wait at a listener; more are lost.
const packetQueue = 256

type (
	// PacketNetwork carries datagrams between addresses in one process.
	PacketNetwork struct {
		mu        sync.Mutex
		listeners map[netip.AddrPort]*packetConn
		cut       map[netip.Addr]bool
	}

	packetConn struct {
		packets *PacketNetwork
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

// NewPacketNetwork returns a network of datagrams.
func NewPacketNetwork() *PacketNetwork {
	return &PacketNetwork{listeners: map[netip.AddrPort]*packetConn{}, cut: map[netip.Addr]bool{}}
}

// SetPartitioned loses all datagrams to and from an address, or heals that.
func (p *PacketNetwork) SetPartitioned(address string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[netip.MustParseAddr(address)] = cut
}

// Listen receives datagrams at an address.
func (p *PacketNetwork) Listen(address netip.AddrPort) (conn net.PacketConn, err error) {
	c := &packetConn{packets: p, address: address, queue: make(chan packet, packetQueue), done: make(chan struct{})}
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

// WriteTo implements net.PacketConn.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (n int, err error) {
	address := to.(*net.UDPAddr).AddrPort()
	c.packets.mu.Lock()
	defer c.packets.mu.Unlock()
	target := c.packets.listeners[address]
	if target == nil || c.packets.cut[address.Addr()] || c.packets.cut[c.address.Addr()] {
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

// SetDeadline implements net.PacketConn. Deadlines aren't used.
func (c *packetConn) SetDeadline(time.Time) (err error) { return nil }

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(time.Time) (err error) { return nil }

// SetWriteDeadline implements net.PacketConn.
func (c *packetConn) SetWriteDeadline(time.Time) (err error) { return nil }
