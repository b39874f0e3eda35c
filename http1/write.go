package http1

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// unsentBytes is how much of an answer the kernel holds beyond what the client has room
// for. At 200 Mbit/s it lasts for 10 ms.
const unsentBytes = 256 << 10

// stallPeriods is the number of periods into which Options.WriteStall is divided. A write
// is given up at the end of one, at most one period late.
const stallPeriods = 3

// Write implements net.Conn. net/http may take the part of a line that was read before a
// timeout for a malformed one, and answer it as well.
//
// With Options.WriteStall, a write fails once the client has taken nothing for that time.
// A client that reads slowly is served: what it has taken shows in the socket's send
// queue long before there is room for more in it.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	if c.server.options.WriteStall == 0 {
		return c.Conn.Write(p)
	}
	// The first deadline is one to two steps away. That the client has taken something by
	// then isn't known. Nothing must have been taken in stallPeriods of two steps each.
	step := c.server.options.WriteStall / (2 * stallPeriods)
	queued := -1 // bytes that the client hadn't taken at the last deadline
	stalled := 0 // periods in succession in which it has taken nothing
	for {
		if now := time.Now(); c.writeDeadline.Sub(now) < step {
			c.writeDeadline = now.Add(2 * step)
			if err = c.Conn.SetWriteDeadline(c.writeDeadline); err != nil {
				return n, err
			}
		}
		written, err := c.Conn.Write(p[n:])
		n += written
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		before := queued
		if queued = sendQueue(c.Conn); written > 0 || before < 0 || queued < before {
			stalled = 0
			continue
		}
		if stalled++; stalled == stallPeriods {
			c.server.options.Count("unread")
			return n, err
		}
	}
}

// SetWriteDeadline implements net.Conn. net/http removes the deadline after each answer,
// at which the one of Write may stay.
func (c *conn) SetWriteDeadline(t time.Time) (err error) {
	if c.server.options.WriteStall > 0 && t.IsZero() {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// sendQueue returns the number of bytes that were written to a connection and that the
// other end hasn't taken. It is 0 for a connection that isn't a socket.
func sendQueue(c net.Conn) (n int) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return n
}

// limitUnsent bounds what the kernel holds for a client that doesn't read.
func limitUnsent(c net.Conn) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := source.SyscallConn(); err == nil {
		// A failure leaves the kernel's own bound.
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
		})
	}
}
