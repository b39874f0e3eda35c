// Package relay sends requests to upstreams over persistent HTTP/1.1 connections
// and reports for each failure whether the request may have run.
//
// An upstream may respond late, twice, before it has read the request, without a
// length or not at all. A response is matched to its request by the request ID,
// and a connection is reused only after a complete response with no bytes after
// it. A response that isn't valid HTTP/1.1 fails the request, which may have run.
//
// The package doesn't retry requests and sets no timeout: the context of Send
// bounds a request until the caller closes the response. The owner of a Pool,
// package entry, calls Sweep regularly, without which expired connections stay
// open until their upstream is used next, and Forget for upstreams that are gone.
//
// # Usage
//
//	pool := relay.New(relay.Options{Network: platform.Network{}})
//	response, err := pool.Send(ctx, target, &relay.Request{Method: "GET", URI: "/x", Host: host, Header: header, ID: id})
//	var failure *relay.Failure
//	if errors.As(err, &failure) && !failure.MayHaveRun {
//		// the request can safely be sent to another upstream
//	}
//	defer response.Close()
//	_, err = io.Copy(w, response)
package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// sends no timeout in Keep-Alive. Such an upstream closes its idle
	// connections after less than a second.
	defaultIdleTimeout = 300 * time.Millisecond
	// keepAliveMargin is subtracted from the upstream's Keep-Alive timeout, so
	// that a request in transit doesn't arrive after the upstream has closed the
	// connection.
	keepAliveMargin = 250 * time.Millisecond
	// inlineBodyBytes is the largest body that is written synchronously. It fits
	// into the socket's buffer, so that the write doesn't block on an upstream
	// that responds before it reads the body.
	inlineBodyBytes = 8 << 10
	readBufferBytes = 4 << 10

	errStrayResponse = errors.ConstError("response belongs to another request")
	errHeadTooLong   = errors.ConstError("head of the response is too long")
	errTruncated     = errors.ConstError("response body is truncated")
	// ErrNoConnection means that all connections that Target.MaxConnections or
	// Options.Opening allow are in use.
	ErrNoConnection = errors.ConstError("all connections to the upstream are in use")
)

type (
	// Options configures a Pool.
	Options struct {
		Network transport.Network
		// Count is called with the name of each event: "dial" for a new
		// connection, "reuse" for a reused one, "stale" for an idle connection
		// that can't be reused, "evict" for one that is closed to make room for a
		// connection to another upstream, "stray" for a response to another request,
		// and "malformed" for a response whose head or trailer isn't valid. It may be
		// nil.
		Count func(event string)
		// Opening is called before a connection is opened. If it returns false there is no
		// descriptor for it. It is called again after an idle connection was closed, and
		// if there is none, Send fails with ErrNoConnection. Closed is called once for
		// each connection for which it returned true, at its end. Both may be nil.
		Opening func() (ok bool)
		Closed  func()
	}

	// Pool holds the connections to all upstreams. It is safe for concurrent use.
	Pool struct {
		options Options

		mu    sync.Mutex
		conns map[string]*upstreamConns // by upstream ID
	}

	// Target is the upstream to which a request is sent.
	Target struct {
		ID             string
		Address        netip.AddrPort
		MaxConnections int // from this process; 0 means no limit
	}

	// Request is an HTTP request. Pool.Send adds no headers but Host and
	// Content-Length. ID is the request ID that the response has to repeat. Only the
	// first response on a connection may omit it, if it is a refusal that says
	// NotRun: on a connection that was used before, a refusal without an ID may be
	// that of an earlier request, sent once more.
	Request struct {
		Method string
		URI    string
		Host   string
		Header http.Header
		Body   []byte
		ID     string
		// Check, if set, is called when there is a connection, before the first byte
		// is written. Opening a connection can take a second. If Check returns an
		// error, the request isn't sent.
		Check func() (err error)
	}

	// Response is an upstream's response and the reader of its body. Read returns
	// io.EOF only after the complete body, except that a body without a length
	// or chunks, once it has begun, ends with io.EOF wherever the upstream closes
	// the connection in an orderly way.
	Response struct {
		Status int
		Header http.Header
		Reply  platform.ResponseHeaders
		// Length is the length of the body, or -1 if the upstream sent no
		// Content-Length.
		Length int64

		head           *http.Response
		conn           *conn
		stopCancel     func() bool // detaches the connection from ctx; false if ctx has already closed it
		closed         bool
		begun          bool // Read returned a byte
		complete       bool // Read returned io.EOF
		closeDelimited bool // the body ends where the upstream closes the connection
	}

	// Failure is the error of a request that got no response.
	Failure struct {
		MayHaveRun bool // false only if no byte of the request was written to a connection
		Err        error
	}

	// upstreamConns holds the connections to one upstream at one address. After
	// Forget, or at another address, the upstream has a new one, and the connections
	// that are in use then still belong to the old one.
	upstreamConns struct {
		address   netip.AddrPort
		idle      []*conn // the most recently used last
		open      int     // connections that are idle, in use or being opened
		forgotten bool
	}

	conn struct {
		*transport.HTTPConn
		pool     *Pool
		upstream *upstreamConns
		limiter  *headLimiter // read by reader
		reader   *bufio.Reader
		used     bool         // a request was sent on it before the current one
		sent     atomic.Int64 // bytes of the current request that were written
		expires  time.Time    // when the connection, if idle, is no longer reused
		written  chan error   // receives the result of writing a long body; nil for short ones
	}
)

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%v (may have run: %t)", f.Err, f.MayHaveRun)
}

// Unwrap returns f.Err.
func (f *Failure) Unwrap() error { return f.Err }

// New returns a pool without connections.
func New(options Options) *Pool {
	if options.Count == nil {
		options.Count = func(string) {}
	}
	if options.Opening == nil {
		options.Opening = func() (ok bool) { return true }
	}
	if options.Closed == nil {
		options.Closed = func() {}
	}
	return &Pool{options: options, conns: map[string]*upstreamConns{}}
}

// Send sends a request and returns its response, whose body is still unread. The
// caller must close the response. When ctx ends before that, the connection is
// closed, at which the upstream cancels the request. The error is a *Failure. A
// request counts as one that may have run from its first byte that was written. If
// a reused connection turns out to be closed before that, the request is sent on
// another one.
func (p *Pool) Send(ctx context.Context, target Target, request *Request) (response *Response, err error) {
	for {
		c, err := p.acquire(ctx, target)
		if err != nil {
			return nil, &Failure{MayHaveRun: false, Err: err}
		}
		if request.Check != nil {
			err = request.Check()
		}
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			p.keep(c) // its expiry stays, since the upstream has seen nothing on it
			return nil, &Failure{MayHaveRun: false, Err: err}
		}
		response, err = p.sendOn(ctx, c, request)
		if err == nil {
			return response, nil
		}
		mayHaveRun := c.sent.Load() > 0
		if mayHaveRun || !c.used || ctx.Err() != nil {
			return nil, &Failure{MayHaveRun: mayHaveRun, Err: err}
		}
		p.options.Count("stale")
	}
}

// sendOn sends a request on a connection, which it closes on an error.
func (p *Pool) sendOn(ctx context.Context, c *conn, request *Request) (response *Response, err error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		if err != nil {
			stop()
			p.discard(c)
			if c.written != nil {
				<-c.written // c.sent is final after that
			}
			if cause := ctx.Err(); cause != nil {
				err = errors.Annotate(cause, err.Error())
			}
		}
	}()
	if err = c.send(request); err != nil {
		return nil, err
	}
	head, reply, err := c.readHead(request)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: head.StatusCode, Header: head.Header, Reply: reply, Length: head.ContentLength,
		head: head, conn: c, stopCancel: stop,
		closeDelimited: closeDelimited(head),
	}, nil
}

// Forget closes the idle connections to an upstream that no longer exists.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	idle := p.forget(id)
	p.mu.Unlock()
	for _, c := range idle {
		p.end(c)
	}
}

// forget removes an upstream and returns its idle connections, which the caller
// closes. The caller holds mu.
func (p *Pool) forget(id string) (idle []*conn) {
	conns := p.conns[id]
	if conns == nil {
		return nil
	}
	delete(p.conns, id)
	conns.forgotten = true
	idle, conns.idle = conns.idle, nil
	return idle
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for _, conns := range p.conns {
		fresh := conns.idle[:0]
		for _, c := range conns.idle {
			if now.Before(c.expires) {
				fresh = append(fresh, c)
			} else {
				expired = append(expired, c)
				conns.open--
			}
		}
		conns.idle = fresh
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.end(c)
	}
}

// acquire returns an idle connection that is still usable, or else a new one.
func (p *Pool) acquire(ctx context.Context, target Target) (c *conn, err error) {
	var upstream *upstreamConns
	for {
		var outdated []*conn
		c, upstream, outdated, err = p.takeIdle(target)
		for _, old := range outdated {
			p.end(old)
		}
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.reader.Buffered() == 0 && connAlive(c.Conn) {
			p.options.Count("reuse")
			return c, nil
		}
		p.options.Count("stale")
		p.discard(c)
	}
	for !p.options.Opening() {
		if !p.closeOldestIdle() {
			p.release(upstream)
			return nil, ErrNoConnection
		}
	}
	p.options.Count("dial")
	raw, err := p.options.Network.Dial(ctx, target.Address)
	if err != nil {
		p.release(upstream)
		p.options.Closed()
		return nil, err
	}
	checked := transport.NewHTTPConn(raw)
	limiter := &headLimiter{conn: checked}
	return &conn{
		HTTPConn: checked, pool: p, upstream: upstream, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes),
		expires: time.Now().Add(defaultIdleTimeout),
	}, nil
}

// takeIdle removes and returns the idle connection that was used most recently.
// If there is none, it returns nil without an error and counts the connection
// that the caller then opens, or returns ErrNoConnection. The caller closes the
// outdated connections: those to an address that the upstream had before.
func (p *Pool) takeIdle(target Target) (c *conn, upstream *upstreamConns, outdated []*conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	upstream = p.conns[target.ID]
	if upstream == nil || upstream.address != target.Address {
		outdated = p.forget(target.ID)
		upstream = &upstreamConns{address: target.Address}
		p.conns[target.ID] = upstream
	}
	if n := len(upstream.idle); n > 0 {
		c = upstream.idle[n-1]
		upstream.idle = upstream.idle[:n-1]
		return c, upstream, outdated, nil
	}
	if target.MaxConnections > 0 && upstream.open >= target.MaxConnections {
		return nil, nil, outdated, ErrNoConnection
	}
	upstream.open++
	return nil, upstream, outdated, nil
}

// closeOldestIdle closes the idle connection of any upstream that expires first, and
// reports whether there was one.
func (p *Pool) closeOldestIdle() (ok bool) {
	var oldest *conn
	p.mu.Lock()
	for _, conns := range p.conns {
		for _, c := range conns.idle {
			if oldest == nil || c.expires.Before(oldest.expires) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		conns := oldest.upstream
		conns.idle = slices.DeleteFunc(conns.idle, func(c *conn) (found bool) { return c == oldest })
		conns.open--
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	p.options.Count("evict")
	p.end(oldest)
	return true
}

// release uncounts a connection that was closed or couldn't be opened.
func (p *Pool) release(upstream *upstreamConns) {
	p.mu.Lock()
	defer p.mu.Unlock()
	upstream.open--
}

// end closes a connection.
func (p *Pool) end(c *conn) {
	c.Close()
	p.options.Closed()
}

// discard closes a connection that isn't reused.
func (p *Pool) discard(c *conn) {
	p.end(c)
	p.release(c.upstream)
}

// putIdle keeps a connection for reuse until the given time has passed since the
// last bytes of the response were read. The upstream's own time has begun by then,
// while the response may be closed much later, after its caller has read the body.
func (p *Pool) putIdle(c *conn, idle time.Duration) {
	c.expires = c.limiter.lastRead.Add(idle)
	p.keep(c)
}

// keep keeps a connection for reuse until it expires. It closes the connection if
// the upstream was forgotten since it was opened.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	forgotten := c.upstream.forgotten
	if !forgotten {
		c.upstream.idle = append(c.upstream.idle, c)
	}
	p.mu.Unlock()
	if forgotten {
		p.discard(c)
	}
}

// send writes the request. A long body is written in the background, since an
// upstream may respond before it has read the whole body.
func (c *conn) send(request *Request) (err error) {
	c.written = nil
	c.sent.Store(0)
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.URI, request.Host)
	if err = request.Header.Write(&head); err != nil {
		return err
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(request.Body))
	}
	head.WriteString("\r\n")
	if len(request.Body) <= inlineBodyBytes {
		head.Write(request.Body)
		n, err := c.Write(head.Bytes())
		c.sent.Store(int64(n))
		return err
	}
	written := make(chan error, 1)
	c.written = written
	go func() {
		n, err := c.WriteBuffers(net.Buffers{head.Bytes(), request.Body})
		c.sent.Store(n)
		written <- err
	}()
	return nil
}

// Discard reads the rest of a body that isn't needed, so that the connection can
// be reused. The connection of a body that is broken or too long is closed by Close.
func (r *Response) Discard() { _ = discard(r) }

// Read reads the response's body. An error other than io.EOF means that the body
// is incomplete.
func (r *Response) Read(p []byte) (n int, err error) {
	n, err = r.head.Body.Read(p)
	r.begun = r.begun || n > 0
	if errors.Is(err, io.EOF) {
		if malformed := transport.CheckTrailer(r.head.Trailer); malformed != nil {
			r.conn.pool.options.Count("malformed")
			err = malformed
		}
	}
	switch {
	case errors.Is(err, io.EOF) && r.closeDelimited && !r.begun:
		// Without a length, the end of an upstream that stopped after the head looks
		// like this, too.
		err = io.ErrUnexpectedEOF
	case errors.Is(err, io.EOF):
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		err = errors.WithType(err, errTruncated)
	}
	return n, err
}

// Complete reports whether the whole body was read.
func (r *Response) Complete() bool { return r.complete }

// Close releases the response's connection. The connection is kept for reuse if
// the body was read up to io.EOF and the upstream allows it; otherwise it is
// closed, at which the upstream cancels a request that is still running.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	canceled := !r.stopCancel()
	reusable := r.complete && !r.closeDelimited && !r.Reply.Close && !canceled && r.conn.reader.Buffered() == 0
	if reusable && r.conn.written != nil {
		select {
		case err := <-r.conn.written:
			reusable = err == nil
		default: // the body is still being written: the upstream responded early
			reusable = false
		}
	}
	if !reusable {
		r.conn.pool.discard(r.conn)
		return
	}
	idle := defaultIdleTimeout
	if r.Reply.KeepAlive > 0 {
		idle = max(r.Reply.KeepAlive-keepAliveMargin, defaultIdleTimeout)
	}
	r.conn.used = true
	r.conn.pool.putIdle(r.conn, idle)
}
