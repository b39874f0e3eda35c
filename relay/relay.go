// Package relay sends requests to upstreams over kept HTTP/1.1 connections and
// says of each failure whether the request may have run.
//
// An upstream may answer late, twice, early, without a length or not at all.
// Answers are matched by the request's ID, and a connection is used again only
// after a complete answer with nothing behind it.
//
// # Usage
//
//	pool := relay.New(relay.Options{Network: platform.Network{}})
//	answer, err := pool.Send(ctx, target, &relay.Request{Method: "GET", URI: "/x", Host: host, Header: header, ID: id})
//	var failure *relay.Failure
//	if errors.As(err, &failure) && !failure.MayHaveRun {
//		// another upstream may get the request
//	}
//	defer answer.Close()
//	_, err = io.Copy(w, answer)
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
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	// defaultIdle is how long a connection is kept whose upstream doesn't say. It
	// then closes after less than a second.
	defaultIdle = 300 * time.Millisecond
	// idleMargin covers the way of a request that crosses the upstream's close.
	idleMargin = 250 * time.Millisecond
	// inlineBodyBytes fit into the socket's buffer, so that writing them doesn't
	// wait for an upstream that answers early.
	inlineBodyBytes = 8 << 10
	// maxStrayAnswers bounds the answers to other requests that are passed over.
	maxStrayAnswers = 4
	readBufferBytes = 4 << 10

	errStray     = errors.ConstError("answer to another request")
	errTruncated = errors.ConstError("answer ended early")
	// ErrNoConnection means that the upstream's connections are all in use.
	ErrNoConnection = errors.ConstError("no connection left")
)

type (
	// Options of a Pool.
	Options struct {
		Network transport.Network
		// Count receives the names of events: "dial", "reuse", "stale", "stray".
		Count func(event string)
	}

	// Pool keeps the connections to all upstreams.
	Pool struct {
		options Options

		mu    sync.Mutex
		hosts map[string]*host // by upstream ID
	}

	// Target is the upstream that a request is sent to.
	Target struct {
		ID             string
		Address        netip.AddrPort
		MaxConnections int // of this process; 0: no limit
	}

	// Request is sent as it is, with the length of its body.
	Request struct {
		Method string
		URI    string
		Host   string
		Header http.Header
		Body   []byte
		ID     string
	}

	// Response is an upstream's answer. It is read like a file: io.EOF means
	// that it is complete.
	Response struct {
		Status int
		Header http.Header
		Reply  platform.ResponseHeaders
		// Length is -1 if the upstream gave none.
		Length int64

		body     io.ReadCloser
		conn     *conn
		stop     func() bool
		complete bool
		unframed bool
	}

	// Failure is the error of a request without an answer.
	Failure struct {
		MayHaveRun bool
		Err        error
	}

	host struct {
		idle []*conn
		open int
	}

	conn struct {
		net.Conn
		pool    *Pool
		id      string // of the upstream
		reader  *bufio.Reader
		expires time.Time
		written chan error // receives the outcome of writing a long body
	}
)

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%v (may have run: %t)", f.Err, f.MayHaveRun)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// New returns a pool without connections.
func New(options Options) *Pool {
	if options.Count == nil {
		options.Count = func(string) {}
	}
	return &Pool{options: options, hosts: map[string]*host{}}
}

// Send sends a request and returns the head of its answer. The connection ends
// with ctx, which tells the upstream to stop work.
func (p *Pool) Send(ctx context.Context, target Target, request *Request) (answer *Response, err error) {
	c, err := p.connection(ctx, target)
	if err != nil {
		return nil, &Failure{MayHaveRun: false, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	defer func() {
		if err != nil {
			stop()
			p.discard(c)
			if cause := ctx.Err(); cause != nil {
				err = errors.Annotate(cause, err.Error())
			}
			err = &Failure{MayHaveRun: true, Err: err}
		}
	}()
	if err = c.write(request); err != nil {
		return nil, err
	}
	response, reply, err := c.readHead(request)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Reply: reply, Length: response.ContentLength,
		body: response.Body, conn: c, stop: stop,
		unframed: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
	}, nil
}

// Forget closes the idle connections to an upstream that is gone.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	h := p.hosts[id]
	delete(p.hosts, id)
	p.mu.Unlock()
	if h != nil {
		for _, c := range h.idle {
			c.Conn.Close()
		}
	}
}

// Sweep closes the connections that were idle too long.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
				h.open--
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Conn.Close()
	}
}

// connection returns an idle connection that seems sound, or a new one.
func (p *Pool) connection(ctx context.Context, target Target) (c *conn, err error) {
	for {
		c, err = p.takeIdle(target)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.reader.Buffered() == 0 && quiet(c.Conn) {
			p.options.Count("reuse")
			return c, nil
		}
		p.options.Count("stale")
		p.discard(c)
	}
	p.options.Count("dial")
	raw, err := p.options.Network.Dial(ctx, target.Address)
	if err != nil {
		p.release(target.ID)
		return nil, err
	}
	return &conn{Conn: raw, pool: p, id: target.ID, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

// takeIdle returns the connection that was used last, or nil after counting one
// that is about to be opened.
func (p *Pool) takeIdle(target Target) (c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[target.ID]
	if h == nil {
		h = &host{}
		p.hosts[target.ID] = h
	}
	if n := len(h.idle); n > 0 {
		c = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, nil
	}
	if target.MaxConnections > 0 && h.open >= target.MaxConnections {
		return nil, ErrNoConnection
	}
	h.open++
	return nil, nil
}

func (p *Pool) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		h.open--
	}
}

func (p *Pool) discard(c *conn) {
	c.Conn.Close()
	p.release(c.id)
}

func (p *Pool) keep(c *conn, idle time.Duration) {
	c.expires = time.Now().Add(idle)
	p.mu.Lock()
	h := p.hosts[c.id]
	if h != nil {
		h.idle = append(h.idle, c)
	}
	p.mu.Unlock()
	if h == nil {
		c.Conn.Close()
	}
}

// write sends the request. A long body is written on the side, since an upstream
// may answer before it has read all of it.
func (c *conn) write(request *Request) (err error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.URI, request.Host)
	if err = request.Header.Write(&head); err != nil {
		return err
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(request.Body))
	}
	head.WriteString("\r\n")
	c.written = nil
	if len(request.Body) <= inlineBodyBytes {
		head.Write(request.Body)
		_, err = c.Conn.Write(head.Bytes())
		return err
	}
	written := make(chan error, 1)
	c.written = written
	go func() {
		buffers := net.Buffers{head.Bytes(), request.Body}
		_, err := buffers.WriteTo(c.Conn)
		written <- err
	}()
	return nil
}

// readHead reads the head of the answer to a request, past interim answers and
// those to earlier requests.
func (c *conn) readHead(request *Request) (response *http.Response, reply platform.ResponseHeaders, err error) {
	asked := &http.Request{Method: request.Method}
	for range maxStrayAnswers {
		if response, err = http.ReadResponse(c.reader, asked); err != nil {
			return nil, reply, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply = platform.ParseResponseHeaders(response)
		if reply.ID == request.ID || reply.ID == "" && reply.NotRun {
			return response, reply, nil
		}
		c.pool.options.Count("stray")
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break
		}
		if _, err = io.Copy(io.Discard, response.Body); err != nil {
			return nil, reply, err
		}
	}
	return nil, reply, errStray
}

// Read reads the answer's body.
func (a *Response) Read(p []byte) (n int, err error) {
	n, err = a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
		return n, io.EOF
	}
	if err != nil {
		err = errors.WithType(err, errTruncated)
	}
	return n, err
}

// Complete reports whether the whole answer was read.
func (a *Response) Complete() bool { return a.complete }

// Close ends the answer. If it was read to its end the connection is kept, else
// it is closed, at which the upstream stops work.
func (a *Response) Close() {
	canceled := !a.stop()
	reusable := a.complete && !a.unframed && !a.Reply.Close && !canceled && a.conn.reader.Buffered() == 0
	if reusable && a.conn.written != nil {
		select {
		case err := <-a.conn.written:
			reusable = err == nil
		default: // the upstream answered before it read the whole request
			reusable = false
		}
	}
	if !reusable {
		a.conn.pool.discard(a.conn)
		return
	}
	idle := defaultIdle
	if a.Reply.KeepAlive > 0 {
		idle = max(a.Reply.KeepAlive-idleMargin, defaultIdle)
	}
	a.conn.pool.keep(a.conn, idle)
}
