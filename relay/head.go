package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	// maxStrayResponses is how many interim responses and responses to other
	// requests are read in search of the response to a request, which then fails.
	maxStrayResponses = 4
	// maxHeadBytes bounds the head of a response. A faulty upstream may send bytes
	// without end.
	maxHeadBytes = 64 << 10
	// maxDiscardBytes bounds how much of an unwanted body is read so that its
	// connection can be reused.
	maxDiscardBytes = 64 << 10
)

// headLimiter reads from a connection, up to a limit while a head is read.
type headLimiter struct {
	conn      *transport.HTTPConn
	limited   bool
	remaining int       // bytes, if limited
	lastRead  time.Time // when bytes were read last
}

// readHead reads the head of the response to a request. It skips interim
// responses and responses to other requests, but fails with errStrayResponse
// after a response to another request that only the end of the connection ends.
func (c *conn) readHead(request *Request) (response *http.Response, reply platform.ResponseHeaders, err error) {
	methodOnly := &http.Request{Method: request.Method}
	strayed := false // a response to another request came first
	for range maxStrayResponses {
		if response, err = c.readResponse(methodOnly); err != nil {
			return nil, reply, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply = platform.ParseResponseHeaders(response)
		if reply.ID == request.ID || reply.ID == "" && reply.NotRun && !c.used && !strayed {
			return response, reply, nil
		}
		strayed = true
		c.pool.options.Count("stray")
		if closeDelimited(response) {
			break
		}
		if err = discard(response.Body); err != nil {
			return nil, reply, err
		}
	}
	return nil, reply, errStrayResponse
}

// readResponse reads the next head on the connection.
func (c *conn) readResponse(request *http.Request) (response *http.Response, err error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err == nil {
		err = c.BeginResponse(buffered)
	}
	if err == nil {
		c.limiter.limited, c.limiter.remaining = true, maxHeadBytes
		response, err = http.ReadResponse(c.reader, request)
		c.limiter.limited = false
	}
	if malformed := c.Malformed(); malformed != nil {
		c.pool.options.Count("malformed")
		return nil, malformed // net/http may have an error of its own for what came before
	}
	return response, err
}

// closeDelimited reports whether the body of a response ends where the upstream
// closes the connection.
func closeDelimited(response *http.Response) (ok bool) {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (n int, err error) {
	if l.limited {
		if l.remaining == 0 {
			return 0, errHeadTooLong
		}
		b = b[:min(len(b), l.remaining)]
	}
	n, err = l.conn.Read(b)
	if n > 0 {
		l.lastRead = time.Now()
	}
	if l.limited {
		l.remaining -= n
	}
	return n, err
}

// discard reads a body to its end, and fails if it is longer than
// maxDiscardBytes.
func discard(body io.Reader) (err error) {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	if err == nil && n > maxDiscardBytes {
		return errStrayResponse
	}
	return err
}
