package nettest

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/guavagauge/guavagauge/transport"
)

type (
	// HookedNetwork is a Network on whose dialed connections a test can replace a write.
	HookedNetwork struct {
		transport.Network

		mu   sync.Mutex
		next Write
	}

	// Write writes to a connection in place of its method Write.
	Write func(conn net.Conn, b []byte) (n int, err error)

	hookedConn struct {
		net.Conn
		network *HookedNetwork
	}
)

// ReplaceNextWrite makes write replace the next write on any connection.
func (h *HookedNetwork) ReplaceNextWrite(write Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next = write
}

// Dial implements transport.Network.
func (h *HookedNetwork) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	if conn, err = h.Network.Dial(ctx, address); err != nil {
		return nil, err
	}
	return &hookedConn{conn, h}, nil
}

// Write implements net.Conn.
func (c *hookedConn) Write(b []byte) (n int, err error) {
	c.network.mu.Lock()
	write := c.network.next
	c.network.next = nil
	c.network.mu.Unlock()
	if write != nil {
		return write(c.Conn, b)
	}
	return c.Conn.Write(b)
}
