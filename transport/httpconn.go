package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

type (
	// HTTPConn is a client's connection to an HTTP/1.1 server. Its reads fail with
	// ErrMalformedResponse at the byte at which the head of a response stops being
	// valid, so that no reader of the connection gets such a head whole. They return
	// io.EOF only if the server has ended the connection in an orderly way.
	//
	// One goroutine at a time may read from it, and another one write.
	HTTPConn struct {
		net.Conn

		mu        sync.Mutex
		head      responseHead
		inHead    bool
		malformed error
		reading   bool // a Read waits for bytes
		closed    bool
		changed   chan struct{} // closed when a Read begins or the connection is closed; nil if nobody waits

		writing  chan struct{} // holds a value during a write
		writeErr error         // of the first write that failed; owned by the holder of writing
	}

	// HTTPTransport is an http.Transport whose connections are of type *HTTPConn.
	HTTPTransport struct{ *http.Transport }

	// trailerChecker reads the body of a response and checks the trailer at its end.
	trailerChecker struct {
		io.ReadCloser
		response *http.Response
	}
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// NewHTTPConn returns a connection on which a response is expected.
func NewHTTPConn(conn net.Conn) *HTTPConn {
	return &HTTPConn{Conn: conn, inHead: true, writing: make(chan struct{}, 1)}
}

// BeginResponse notes that a response is expected next. It begins with buffered, the
// bytes that were read already and not used.
func (c *HTTPConn) BeginResponse(buffered []byte) (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.inHead = responseHead{}, true
	_, err = c.check(buffered)
	return err
}

// beginCall is BeginResponse for a reader that doesn't tell what it has buffered, but
// reads from a connection without a call only while it has nothing buffered, and closes
// it otherwise. Both http.Transport does. beginCall waits for one of them, since a
// faulty server may have sent bytes behind the response before.
func (c *HTTPConn) beginCall(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed && ctx.Err() == nil {
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		c.mu.Lock()
	}
	c.head, c.inHead = responseHead{}, true
}

// wake ends the waits of beginCall. The caller holds mu.
func (c *HTTPConn) wake() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Close implements net.Conn.
func (c *HTTPConn) Close() (err error) {
	c.mu.Lock()
	c.closed = true
	c.wake()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Malformed returns the error of a malformed head, or nil.
func (c *HTTPConn) Malformed() (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

// check returns how many of the bytes may be passed on. The caller holds mu.
func (c *HTTPConn) check(received []byte) (n int, err error) {
	for c.malformed == nil && c.inHead && n < len(received) {
		var scanned int
		scanned, c.malformed = c.head.scan(received[n:])
		n += scanned
		if c.head.part == headEnd {
			// The response to the same request comes after an interim response.
			c.inHead = c.head.status < http.StatusOK
			c.head = responseHead{}
		}
	}
	if c.malformed != nil {
		return n, c.malformed
	}
	return len(received), nil
}

// Read implements net.Conn.
func (c *HTTPConn) Read(b []byte) (n int, err error) {
	if err = c.beginRead(); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(b)
	c.mu.Lock()
	c.reading = false
	checked, malformed := c.check(b[:n])
	c.mu.Unlock()
	if malformed != nil {
		return checked, malformed
	}
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// beginRead returns the error of a malformed head, after which nothing is read.
func (c *HTTPConn) beginRead() (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.malformed == nil {
		c.reading = true
		c.wake()
	}
	return c.malformed
}

// checkEnd returns io.EOF, or the error of a write if that is why a read met the end of
// the connection: the system reports a reset or a timeout once, to a read or a write.
// syscall.EPIPE isn't such an error. It means that the server had ended the connection
// in an orderly way before it was reset.
func (c *HTTPConn) checkEnd() (err error) {
	select {
	case c.writing <- struct{}{}:
	default:
		// A write that waits ends now. One that has met an error returns that.
		if err = c.Conn.SetWriteDeadline(longAgo); err != nil {
			return err
		}
		c.writing <- struct{}{}
	}
	defer func() { <-c.writing }()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return c.writeErr
}

// Write implements net.Conn.
func (c *HTTPConn) Write(b []byte) (n int, err error) {
	c.writing <- struct{}{}
	n, err = c.Conn.Write(b)
	c.endWrite(err)
	return n, err
}

// WriteBuffers writes several buffers, if possible at once.
func (c *HTTPConn) WriteBuffers(buffers net.Buffers) (n int64, err error) {
	c.writing <- struct{}{}
	n, err = buffers.WriteTo(c.Conn)
	c.endWrite(err)
	return n, err
}

func (c *HTTPConn) endWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
	<-c.writing
}

// NewHTTPTransport returns a transport with the options of base. It replaces the dial
// functions of base by some that return an *HTTPConn. HTTPS needs base.DialTLSContext.
func NewHTTPTransport(base *http.Transport) *HTTPTransport {
	wrap := func(dial func(ctx context.Context, network, address string) (conn net.Conn, err error)) func(ctx context.Context, network, address string) (net.Conn, error) {
		return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
			if conn, err = dial(ctx, network, address); err != nil {
				return nil, err
			}
			return NewHTTPConn(conn), nil
		}
	}
	base.DialContext = wrap(base.DialContext)
	if base.DialTLSContext != nil {
		base.DialTLSContext = wrap(base.DialTLSContext)
	}
	return &HTTPTransport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *HTTPTransport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	var conn *HTTPConn // of the last attempt
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*HTTPConn)
		conn.beginCall(request.Context())
	}})
	response, err = t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if conn != nil && conn.Malformed() != nil {
			err = conn.Malformed() // net/http may have an error of its own for what came before
		}
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailerChecker{response.Body, response}
	}
	return response, nil
}

// Read implements io.Reader.
func (c *trailerChecker) Read(b []byte) (n int, err error) {
	n, err = c.ReadCloser.Read(b)
	if errors.Is(err, io.EOF) {
		if malformed := CheckTrailer(c.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}
