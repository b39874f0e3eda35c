package nettest

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxBuffered bounds the bytes under way in one direction, like a socket's
// buffers, so that a writer feels a slow reader.
const maxBuffered = 256 << 10

type (
	// conn is one end of a connection. Its incoming bytes are in in, its
	// outgoing ones in the other end's in.
	conn struct {
		network       *Network
		local, remote netip.AddrPort
		in, out       *stream
		drop          atomic.Bool // when closed
	}

	// stream holds the bytes under way in one direction.
	stream struct {
		network  *Network
		from, to netip.Addr

		mu            sync.Mutex
		wake          chan struct{} // closed and replaced on each change
		chunks        []chunk
		buffered      int
		err           error // given to the reader when chunks are used up
		writeErr      error
		readDeadline  time.Time
		writeDeadline time.Time
	}

	chunk struct {
		due  time.Time
		data []byte
	}
)

func newConnPair(network *Network, dialer, listener netip.AddrPort) (near, far *conn) {
	there := &stream{network: network, from: dialer.Addr(), to: listener.Addr(), wake: make(chan struct{})}
	back := &stream{network: network, from: listener.Addr(), to: dialer.Addr(), wake: make(chan struct{})}
	near = &conn{network: network, local: dialer, remote: listener, in: back, out: there}
	far = &conn{network: network, local: listener, remote: dialer, in: there, out: back}
	network.mu.Lock()
	defer network.mu.Unlock()
	network.conns[near] = struct{}{}
	network.conns[far] = struct{}{}
	return near, far
}

// Read returns bytes that have arrived.
func (c *conn) Read(b []byte) (n int, err error) { return c.in.read(b) }

// Write sends bytes. It blocks while too many are under way.
func (c *conn) Write(b []byte) (n int, err error) { return c.out.write(b) }

// Close ends the connection. The other end reads what was sent, then EOF.
func (c *conn) Close() (err error) {
	if c.drop.Load() {
		c.out.abort(syscall.ECONNRESET)
	}
	c.out.fail(io.EOF, net.ErrClosed)
	c.in.abort(net.ErrClosed)
	c.forget()
	return nil
}

// SetLinger with 0 makes Close drop what hasn't arrived, as on a TCP connection.
func (c *conn) SetLinger(seconds int) (err error) {
	c.drop.Store(seconds == 0)
	return nil
}

// reset ends the connection at once in both directions.
func (c *conn) reset() {
	c.out.abort(syscall.ECONNRESET)
	c.in.abort(syscall.ECONNRESET)
	c.forget()
}

func (c *conn) forget() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// LocalAddr returns this end's address.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the other end's address.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) (err error) {
	c.in.update(func() { c.in.readDeadline = t })
	c.out.update(func() { c.out.writeDeadline = t })
	return nil
}

// SetReadDeadline ends waiting reads at t.
func (c *conn) SetReadDeadline(t time.Time) (err error) {
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

// SetWriteDeadline ends waiting writes at t.
func (c *conn) SetWriteDeadline(t time.Time) (err error) {
	c.out.update(func() { c.out.writeDeadline = t })
	return nil
}

func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.wake)
	s.wake = make(chan struct{})
}

// fail lets the reader finish what was sent and refuses further writes.
func (s *stream) fail(readErr, writeErr error) {
	s.update(func() {
		if s.err == nil {
			s.err = readErr
		}
		if s.writeErr == nil {
			s.writeErr = writeErr
		}
	})
}

// abort drops what is under way.
func (s *stream) abort(err error) {
	s.update(func() {
		s.chunks, s.buffered = nil, 0
		if s.err == nil || s.err == io.EOF {
			s.err = err
		}
		if s.writeErr == nil {
			s.writeErr = syscall.EPIPE
		}
	})
}

func (s *stream) read(b []byte) (n int, err error) {
	for {
		cut, healed := s.network.path(s.from, s.to)
		s.mu.Lock()
		now := time.Now()
		due := time.Time{}
		switch {
		case passed(s.readDeadline, now):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(s.chunks) == 0 && s.err != nil && (s.err != io.EOF || !cut):
			err = s.err
			s.mu.Unlock()
			return 0, err
		case len(s.chunks) > 0 && !cut:
			if due = s.chunks[0].due; !due.After(now) {
				n = s.take(b)
				s.mu.Unlock()
				return n, nil
			}
		}
		wake := s.wake
		due = earlier(due, s.readDeadline)
		s.mu.Unlock()
		wait(wake, healed, due, now)
	}
}

// take moves the first chunk's bytes to b. The caller holds mu.
func (s *stream) take(b []byte) (n int) {
	n = copy(b, s.chunks[0].data)
	if s.chunks[0].data = s.chunks[0].data[n:]; len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.buffered -= n
	close(s.wake)
	s.wake = make(chan struct{})
	return n
}

func (s *stream) write(b []byte) (n int, err error) {
	if s.network.isDead(s.from) {
		return 0, syscall.ECONNRESET
	}
	delay := s.network.delayOf(s.from, s.to)
	for {
		s.mu.Lock()
		now := time.Now()
		switch {
		case s.writeErr != nil:
			err = s.writeErr
			s.mu.Unlock()
			return 0, err
		case passed(s.writeDeadline, now):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case s.buffered < maxBuffered:
			s.chunks = append(s.chunks, chunk{due: now.Add(delay), data: append([]byte(nil), b...)})
			s.buffered += len(b)
			close(s.wake)
			s.wake = make(chan struct{})
			s.mu.Unlock()
			return len(b), nil
		}
		wake, due := s.wake, s.writeDeadline
		s.mu.Unlock()
		wait(wake, nil, due, now)
	}
}

// wait returns when a channel closes or, unless it is zero, when due comes.
func wait(wake, healed <-chan struct{}, due, now time.Time) {
	var timer <-chan time.Time
	if !due.IsZero() {
		timer = time.After(due.Sub(now))
	}
	select {
	case <-wake:
	case <-healed:
	case <-timer:
	}
}

func passed(deadline, now time.Time) bool {
	return !deadline.IsZero() && !deadline.After(now)
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
