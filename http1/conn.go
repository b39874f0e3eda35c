package http1

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/resources"
)

const (
	idle        phase = iota // no byte of a request was read since the last answer
	readingHead              // the head of a request was read in part
	handling                 // from the end of the head to the end of the answer
	lingering                // answered; net/http waits until the client has read it all
)

const (
	// lineEnds are the bytes of empty lines, which may follow a request.
	lineEnds = "\r\n"
	// lastReadTime is how long a connection is read once more before it ends as idle,
	// for bytes that have arrived but were not read yet.
	lastReadTime = 20 * time.Millisecond
	// refusalTime bounds the time for writing incompleteResponse.
	refusalTime = 100 * time.Millisecond
	// refusalReadTime and refusalReadBytes bound what is read after a refusal. A client
	// that still sends would get a reset instead of the answer otherwise.
	refusalReadTime  = 500 * time.Millisecond
	refusalReadBytes = 256 << 10
	// acceptWait is how long a new connection waits for room before it is closed.
	acceptWait = 300 * time.Millisecond
	// progressBytes are the bytes of a body that count as progress.
	progressBytes = 1 << 10
	// maxEmptyBytes are the bytes of empty lines that may come before a request. More of
	// them are a part of its head.
	maxEmptyBytes = 64
	// minLineBytes is the size of the shortest header line.
	minLineBytes = 3

	// incompleteResponse answers a request whose head isn't complete in time. The
	// status promises that the request hasn't run.
	incompleteResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	tooLargeResponse   = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// retryAfter is short, since another node probably has room.
	retryAfter = "0.300"
	// noRoomResponse promises that the request hasn't run either. Another node may have room.
	noRoomResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

type (
	// phase is what a connection is used for at present.
	phase int

	trackingListener struct {
		net.Listener
		server *Server
	}

	// conn is a connection that is read by one goroutine at a time.
	conn struct {
		net.Conn
		server      *Server
		closed      atomic.Bool       // Close was called
		refused     atomic.Bool       // a head was answered without the handler
		bodyAborted atomic.Bool       // a body was ended to make room
		member      *resources.Member // nil without an account
		// writeDeadline is that of Conn. Only the goroutine that writes uses it.
		writeDeadline time.Time

		mu          sync.Mutex
		phase       phase
		stage       stage
		idleSince   time.Time
		headSince   time.Time // when the first byte of the head was read, or the server began to leave
		deadline    time.Time // for reads, as set by net/http; zero: none
		applied     time.Time // the deadline of Conn
		bufferBytes int       // size of the server's read buffer; 0 before the first read
		tail        [4]byte   // the bytes that were read last
		waiting     bool      // for the first byte of a request, with no byte of one buffered
		lastRead    bool      // the read that comes before the end of an idle connection
		limits      Limits    // of the head that is read, or of the time until one begins
		head        head
		emptyBytes  int  // of empty lines since the last answer
		readingBody bool // the handler hasn't read to the end of the body yet
		bodyState   bool // the member is in the state of a body that isn't complete
		bodyBytes   int  // of the body that were read since the member's last progress
		evicting    bool // to make room
		answered    bool // at least one request

		// bufferedLines are the line ends that were read since the server's buffer was empty.
		bufferedLines int
	}
)

// Accept implements net.Listener.
func (l trackingListener) Accept() (accepted net.Conn, err error) {
	s := l.server
	var c *conn
	for c == nil {
		if accepted, err = l.Listener.Accept(); err != nil {
			return nil, err
		}
		if c = s.newConn(accepted); c == nil {
			s.options.Count("rejected")
			accepted.Close()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stage = s.stage
	s.conns[c] = struct{}{}
	s.options.Count("accepted")
	return c, nil
}

// newConn returns nil if there is no room for a connection. Only one connection in
// acceptWait waits for room in vain: those behind it, which can't be accepted meanwhile,
// would wait for the sum.
func (s *Server) newConn(accepted net.Conn) (c *conn) {
	begin := time.Now()
	c = &conn{Conn: accepted, server: s, idleSince: begin, limits: s.limits()}
	if s.options.Account == nil {
		return c
	}
	mayWait := begin.Sub(s.lastRefusedAt) >= acceptWait
	for now := begin; ; now = time.Now() {
		var ok bool
		if c.member, ok = s.options.Account.Open(now, c.evict); ok {
			limitUnsent(accepted)
			return c
		}
		if !mayWait || now.Sub(begin) >= acceptWait || s.currentStage() != serving {
			s.options.Account.Refused(now)
			if mayWait {
				s.lastRefusedAt = now
			}
			return nil
		}
		<-time.After(pollInterval)
	}
}

// limits returns the limits that hold at present.
func (s *Server) limits() (limits Limits) {
	if s.options.Limits != nil {
		limits = s.options.Limits()
	}
	return limits
}

// Close implements net.Conn.
func (c *conn) Close() (err error) {
	if !c.closed.Swap(true) && c.member != nil {
		c.member.Close()
	}
	return c.Conn.Close()
}

// Read implements net.Conn. A read that ends because of Drain or Close fails with
// os.ErrDeadlineExceeded.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	c.beginRead(len(p))
	for {
		n, err = c.Conn.Read(p)
		if c.endRead(p[:n], err) {
			break
		}
	}
	if n > 0 && !c.checkHead(p) {
		return 0, net.ErrClosed
	}
	return n, err
}

// checkHead refuses a head that exceeds the limits or for which there is no room. buffer
// is used to read what the client still sends.
func (c *conn) checkHead(buffer []byte) (ok bool) {
	if c.phase != readingHead || c.head.bytes == 0 {
		return true
	}
	response := noRoomResponse
	switch limit := c.limits.HeaderBytes; {
	case limit > 0 && (c.head.firstLine > limit || c.head.bytes-c.head.firstLine > limit):
		response = tooLargeResponse
		c.server.options.Count("too large")
	case c.member == nil || c.member.HoldHead(c.head.bytes, c.head.lines, time.Now()):
		return true
	default:
		c.server.options.Count("rejected")
	}
	c.refuse(response)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.skipRest(buffer)
	}
	return false
}

// skipRest reads what a client sends after a refusal.
func (c *conn) skipRest(buffer []byte) {
	if c.Conn.SetReadDeadline(time.Now().Add(refusalReadTime)) != nil {
		return
	}
	for skipped := 0; skipped < refusalReadBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		skipped += n
	}
}

// CloseWrite lets net/http end an answer to a request whose body it doesn't read.
func (c *conn) CloseWrite() (err error) {
	c.setPhase(lingering)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// beginRead notes whether a read waits for a new request. The first read has room for
// the server's whole buffer. A read with less room comes after bytes that the server has
// buffered, such as the beginning of a request that was sent before the last answer.
func (c *conn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferBytes == 0 {
		c.bufferBytes = size
	}
	if size >= c.bufferBytes { // the server's buffer is empty
		c.bufferedLines = 0
	}
	if buffered := c.bufferBytes - size; c.phase == idle && !c.onlyLineEnds(buffered) {
		c.beginHead()
		c.head = head{
			bytes: buffered, firstLine: buffered, lines: min(buffered/minLineBytes, c.bufferedLines), begun: true,
			inLine: !bytes.HasSuffix(c.tail[:], []byte("\n")) && !bytes.HasSuffix(c.tail[:], []byte("\n\r")),
		}
		c.enterHead()
	}
	c.waiting = c.phase == idle
	if c.readingBody && c.member != nil && (!c.bodyState || c.bodyBytes >= progressBytes) {
		c.bodyState, c.bodyBytes = true, 0
		c.member.Enter(resources.Body, time.Now())
	}
	c.applyDeadline()
}

// endRead reports whether the result of a read is returned to the server. Otherwise the
// deadline has moved, and the connection is to be read again.
func (c *conn) endRead(read []byte, err error) (final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(read) > 0 {
		kept := min(len(read), len(c.tail))
		copy(c.tail[:], c.tail[kept:])
		copy(c.tail[len(c.tail)-kept:], read[len(read)-kept:])
		c.emptyBytes += len(read)
		c.bufferedLines += bytes.Count(read, []byte("\n"))
		begins := c.phase == idle && (c.emptyBytes > maxEmptyBytes || len(bytes.Trim(read, lineEnds)) > 0)
		if begins {
			c.beginHead()
		}
		switch {
		case c.phase == readingHead && c.server.options.Limits != nil:
			c.head.scan(read)
		case c.readingBody:
			c.bodyBytes += len(read)
		}
		if begins {
			c.enterHead()
		}
	}
	if len(read) > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		c.waiting, c.lastRead = false, false
		return true
	}
	now := time.Now()
	passed := func(t time.Time) bool { return !t.IsZero() && !now.Before(t) }
	if c.waiting && passed(c.idleEnd()) { // unless the limit has risen meanwhile
		c.limits.IdleTimeout = max(c.limits.IdleTimeout, c.server.limits().IdleTimeout)
	}
	switch {
	case c.waiting && (c.evicting || c.stage == ending || c.stage == draining && passed(c.drainedAt()) || passed(c.idleEnd())):
		if !c.lastRead {
			c.lastRead = true
			c.applyDeadline()
			return false
		}
		c.server.options.Count(c.idleEvent())
	case c.phase == readingHead && (c.evicting || c.stage == ending || passed(c.deadline) || passed(c.headLimit()) || c.stage != serving && passed(c.headEnd())):
		if c.evicting {
			c.server.options.Count("evicted")
		}
		c.server.options.Count("incomplete")
		c.refuse(incompleteResponse)
	case c.evicting && c.readingBody:
		if !c.bodyAborted.Swap(true) {
			c.server.options.Count("evicted")
		}
	case c.stage != ending && !passed(c.deadline):
		before := c.applied
		c.lastRead = false
		c.applyDeadline()
		return c.applied.Equal(before) // without a new deadline, reading again would fail at once
	}
	return true
}

// onlyLineEnds reports whether the last n bytes that were read are empty lines.
func (c *conn) onlyLineEnds(n int) (ok bool) {
	return n <= len(c.tail) && len(bytes.Trim(c.tail[len(c.tail)-n:], lineEnds)) == 0
}

// idleEvent returns the event of a connection that ends between requests.
func (c *conn) idleEvent() (event string) {
	switch {
	case c.stage != serving:
		return "idle"
	case c.evicting:
		return "evicted"
	}
	return "expired"
}

// beginHead notes that a byte of a request was read. The caller holds mu.
func (c *conn) beginHead() {
	c.phase, c.headSince, c.head = readingHead, time.Now(), head{}
	if c.answered { // the request came before the end of a connection that was idle
		c.evicting = false
	}
	c.limits = c.server.limits()
}

// enterHead notes that a head is incomplete. One that was read at once is never in this
// state, which saves its request some time. The caller holds mu.
func (c *conn) enterHead() {
	if c.member != nil && !c.head.done {
		c.member.Enter(resources.Head, c.headSince)
	}
}

// refuse answers a request whose head isn't passed on to the handler.
func (c *conn) refuse(response string) {
	c.refused.Store(true)
	err := c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	if err == nil {
		_, err = c.Conn.Write([]byte(response))
	}
	if err != nil {
		c.server.options.Logger.Debug("request not answered", "Error", err)
	}
}

// evict ends the connection as soon as the goroutine that reads it sees this, unless its
// request is handled by then.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle || c.phase == readingHead && !c.head.done || c.phase == handling && c.readingBody {
		c.evicting = true
		c.applyDeadline()
	}
}

// beginBody notes that the handler reads a body. Until its end, it may be given up.
func (c *conn) beginBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody, c.bodyState, c.bodyBytes = true, false, 0
}

// endBody notes that a body was read to its end. The caller holds mu.
func (c *conn) endBody() {
	c.readingBody, c.evicting = false, false
	if c.bodyState {
		c.bodyState = false
		c.member.Enter(resources.Busy, time.Now())
	}
}

// checkBuffered checks the head of a request that was read whole before its turn came, as
// checkHead does with others. status is 0 if it is within the limits and fits.
func (c *conn) checkBuffered(r *http.Request) (status int) {
	c.mu.Lock()
	checked, limit := c.head.bytes > 0, c.limits.HeaderBytes
	c.mu.Unlock()
	if checked {
		return 0
	}
	size, lines := 0, 0
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	switch {
	case limit > 0 && size > limit:
		c.server.options.Count("too large")
		return http.StatusRequestHeaderFieldsTooLarge
	case !c.member.HoldHead(size+len(r.RequestURI), lines, time.Now()):
		c.server.options.Count("rejected")
		return http.StatusServiceUnavailable
	}
	return 0
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling && c.readingBody && t.IsZero() {
		// net/http begins to watch the connection, which it does at the end of the body.
		c.endBody()
	}
	c.deadline = t
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) (err error) {
	if err = c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// applyDeadline sets the time at which a read ends. The caller holds mu.
func (c *conn) applyDeadline() (err error) {
	deadline := c.deadline
	earlier := func(t time.Time) {
		if deadline.IsZero() || t.Before(deadline) {
			deadline = t
		}
	}
	switch {
	case c.lastRead:
		earlier(time.Now().Add(lastReadTime))
	case c.stage == ending || c.evicting:
		deadline = longAgo
	case c.stage == draining && c.waiting:
		earlier(c.drainedAt())
	case c.stage != serving && c.phase == readingHead:
		earlier(c.headEnd())
	}
	if end := c.idleEnd(); c.waiting && !c.lastRead && !end.IsZero() {
		earlier(end)
	}
	if end := c.headLimit(); c.phase == readingHead && !end.IsZero() {
		earlier(end)
	}
	if deadline.Equal(c.applied) {
		return nil
	}
	c.applied = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// drainedAt returns the time from which on Drain ends the connection if it is idle. The
// caller holds mu.
func (c *conn) drainedAt() (t time.Time) { return c.idleSince.Add(drainIdleTime) }

// headEnd returns the time from which on Drain ends the connection if the head of the
// request isn't complete. The caller holds mu.
func (c *conn) headEnd() (t time.Time) { return c.headSince.Add(drainHeadTime) }

// idleEnd returns the time at which the connection ends if it is idle; zero: never.
func (c *conn) idleEnd() (t time.Time) {
	if c.limits.IdleTimeout <= 0 {
		return time.Time{}
	}
	return c.idleSince.Add(c.limits.IdleTimeout)
}

// headLimit returns the time at which an incomplete head is refused; zero: never.
func (c *conn) headLimit() (t time.Time) {
	if c.limits.HeaderTimeout <= 0 {
		return time.Time{}
	}
	return c.headSince.Add(c.limits.HeaderTimeout)
}

// setPhase is called by the goroutine that reads from the connection.
func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	if p == idle {
		c.idleSince = time.Now()
		c.head, c.emptyBytes, c.limits = head{}, 0, c.server.limits()
	}
	if c.member == nil {
		return
	}
	switch p {
	case idle:
		c.readingBody, c.bodyState, c.answered = false, false, true
		c.member.Enter(resources.Idle, c.idleSince)
	case handling:
		c.member.Enter(resources.Busy, c.headSince)
		if c.evicting {
			c.evicting = false
			c.applyDeadline()
		}
	case readingHead, lingering:
	}
}

// busy reports whether a request is read or handled.
func (c *conn) busy() (busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == readingHead || c.phase == handling
}

// advance brings the connection to a stage of its server.
func (c *conn) advance(to stage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if to == leaving {
		c.headSince = time.Now()
	}
	c.stage = to
	c.applyDeadline()
}
