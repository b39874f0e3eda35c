package nettest

import (
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// defaultBufferBytes is the number of unread bytes in one direction from which on
	// writes block, so that a slow reader blocks the writer as with socket buffers. A
	// write that starts below it is buffered whole: a write that blocks in the middle
	// would hold a mutex of net/rpc, and fake time stands still while a goroutine
	// waits for it.
	defaultBufferBytes = 256 << 10
	// segmentBytes is the size of the parts in which a write crosses the network.
	segmentBytes = 16 << 10
)

type (
	// conn is one end of a connection. It reads from in and writes to out, which
	// is in at the other end.
	conn struct {
		network            *Network
		local, remote      netip.AddrPort
		in, out            *stream
		discardUndelivered atomic.Bool // on Close
		resetReported      atomic.Bool // a Read or a Write has returned syscall.ECONNRESET
	}

	// stream holds the bytes sent in one direction that haven't been read.
	stream struct {
		network  *Network
		from, to netip.Addr

		mu            sync.Mutex
		changed       chan struct{} // closed and replaced on each change
		chunks        []chunk
		bufferedBytes int
		silent        bool  // bytes and the end of the connection no longer arrive
		readErr       error // returned to the reader after the last chunk
		writeErr      error
		readDeadline  time.Time
		writeDeadline time.Time
	}

	chunk struct {
		due  time.Time // when the data arrives
		data []byte
	}
)

func newConnPair(network *Network, dialer, listener netip.AddrPort) (dialed, accepted *conn) {
	toListener := &stream{network: network, from: dialer.Addr(), to: listener.Addr(), changed: make(chan struct{})}
	toDialer := &stream{network: network, from: listener.Addr(), to: dialer.Addr(), changed: make(chan struct{})}
	dialed = &conn{network: network, local: dialer, remote: listener, in: toDialer, out: toListener}
	accepted = &conn{network: network, local: listener, remote: dialer, in: toListener, out: toDialer}
	network.mu.Lock()
	defer network.mu.Unlock()
	network.conns[dialed] = struct{}{}
	network.conns[accepted] = struct{}{}
	return dialed, accepted
}

// Read implements net.Conn. It waits for bytes whose delay has passed and that no
// cut holds back. As on Linux, one Read or Write alone reports that the other end has
// reset the connection. Each Read after it returns io.EOF, each Write syscall.EPIPE.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.in.read(b)
	if err == syscall.ECONNRESET && c.resetReported.Swap(true) {
		err = io.EOF
	}
	return n, err
}

// Write implements net.Conn. It blocks while the buffer holds more unread bytes
// than the network allows.
func (c *conn) Write(b []byte) (n int, err error) {
	n, err = c.out.write(b)
	if err == syscall.EPIPE && c.in.wasReset() && !c.resetReported.Swap(true) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Close ends the connection. The other end reads the bytes already sent, then
// EOF, unless SetLinger was called with 0.
func (c *conn) Close() (err error) {
	if c.discardUndelivered.Load() {
		c.out.abort(syscall.ECONNRESET)
	}
	c.out.closeWith(io.EOF, net.ErrClosed)
	c.in.abort(net.ErrClosed)
	c.unregister()
	return nil
}

// SetLinger with 0 makes Close discard undelivered bytes and reset the connection,
// as it does on a TCP connection.
func (c *conn) SetLinger(seconds int) (err error) {
	c.discardUndelivered.Store(seconds == 0)
	return nil
}

// reset ends the connection at once in both directions.
func (c *conn) reset() {
	c.out.abort(syscall.ECONNRESET)
	c.in.abort(syscall.ECONNRESET)
	c.unregister()
}

func (c *conn) unregister() {
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

// SetReadDeadline sets the time at which waiting reads fail.
func (c *conn) SetReadDeadline(t time.Time) (err error) {
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

// SetWriteDeadline sets the time at which waiting writes fail.
func (c *conn) SetWriteDeadline(t time.Time) (err error) {
	c.out.update(func() { c.out.writeDeadline = t })
	return nil
}

// silence makes the stream lose all bytes that haven't been read, and what is sent on
// it from now on.
func (s *stream) silence() {
	s.update(func() { s.silent, s.chunks, s.bufferedBytes = true, nil, 0 })
}

// update changes the stream and wakes the reads and writes that wait on it.
func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// closeWith makes further writes fail with writeErr, and reads with readErr after
// the bytes already sent.
func (s *stream) closeWith(readErr, writeErr error) {
	s.update(func() {
		if s.readErr == nil && !s.silent {
			s.readErr = readErr
		}
		if s.writeErr == nil {
			s.writeErr = writeErr
		}
	})
}

// abort discards the unread bytes and makes further reads fail with err. Only the
// reader's own end can abort a silent stream.
func (s *stream) abort(err error) {
	s.update(func() {
		if s.silent && err != net.ErrClosed {
			return
		}
		s.chunks, s.bufferedBytes = nil, 0
		if s.readErr == nil || s.readErr == io.EOF {
			s.readErr = err
		}
		if s.writeErr == nil {
			s.writeErr = syscall.EPIPE
		}
	})
}

func (s *stream) wasReset() (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readErr == syscall.ECONNRESET
}

func (s *stream) read(b []byte) (n int, err error) {
	for {
		cut, pathChanged := s.network.path(s.from, s.to)
		s.mu.Lock()
		now := time.Now()
		due := time.Time{}
		switch {
		case expired(s.readDeadline, now):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(s.chunks) == 0 && s.readErr != nil && (s.readErr != io.EOF || !cut): // a cut holds back EOF only
			err = s.readErr
			s.mu.Unlock()
			return 0, err
		case len(s.chunks) > 0 && !cut:
			if due = s.chunks[0].due; !due.After(now) {
				n = s.readChunk(b)
				s.mu.Unlock()
				return n, nil
			}
		}
		streamChanged := s.changed
		due = earlierDeadline(due, s.readDeadline)
		s.mu.Unlock()
		wait(streamChanged, pathChanged, due, now)
	}
}

// readChunk moves bytes of the first chunk to b. The caller holds mu.
func (s *stream) readChunk(b []byte) (n int) {
	n = copy(b, s.chunks[0].data)
	if s.chunks[0].data = s.chunks[0].data[n:]; len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.bufferedBytes -= n
	close(s.changed)
	s.changed = make(chan struct{})
	return n
}

func (s *stream) write(b []byte) (n int, err error) {
	if s.network.isCrashed(s.from) {
		return 0, syscall.ECONNRESET
	}
	for {
		s.mu.Lock()
		now := time.Now()
		switch {
		case s.writeErr != nil:
			err = s.writeErr
			s.mu.Unlock()
			return 0, err
		case expired(s.writeDeadline, now):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case s.silent:
			s.mu.Unlock()
			return len(b), nil
		case s.bufferedBytes < s.network.bufferLimit():
			for segment := range slices.Chunk(b, segmentBytes) {
				due := s.network.transmit(s.from, s.to, len(segment), now)
				s.chunks = append(s.chunks, chunk{due: due, data: append([]byte(nil), segment...)})
			}
			s.bufferedBytes += len(b)
			close(s.changed)
			s.changed = make(chan struct{})
			s.mu.Unlock()
			return len(b), nil
		}
		streamChanged, due := s.changed, s.writeDeadline
		s.mu.Unlock()
		wait(streamChanged, nil, due, now)
	}
}

// wait returns when a channel closes or at due, unless that is zero.
func wait(streamChanged, pathChanged <-chan struct{}, due, now time.Time) {
	var timer <-chan time.Time
	if !due.IsZero() {
		timer = time.After(due.Sub(now))
	}
	select {
	case <-streamChanged:
	case <-pathChanged:
	case <-timer:
	}
}

func expired(deadline, now time.Time) bool {
	return !deadline.IsZero() && !deadline.After(now)
}

func earlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
