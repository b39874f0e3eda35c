// Package connlimit bounds the connections of a listener, so that clients which open
// many neither use up the memory and the descriptors of the process nor keep others
// out.
//
// # Usage
//
//	listener = connlimit.New(listener, connlimit.Options{Name: "metrics listener", Connections: 32, Logger: logger, Count: count})
//	server := connlimit.NewServer(listener, handler, connlimit.Timeouts{Write: 10 * time.Second})
//	err := server.Serve(listener)
//
// At the limit, a new connection replaces the oldest one that hasn't sent a complete
// request. If there is none, it replaces the one that has been idle for longest. It
// is closed at once if all others have a request in progress. Only connections
// without a request in progress are closed, so that a request that runs is answered.
package connlimit

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// The reasons for which a connection is closed.
const (
	Replaced  Reason = "Replaced"  // by a new connection, at the limit
	Refused   Reason = "Refused"   // new, and all others have a request in progress
	Timeout   Reason = "Timeout"   // the rest of a request or the next one didn't arrive in time
	Malformed Reason = "Malformed" // a head can't be parsed, or exceeds the limit
)

const (
	// logInterval is the least time between two log lines of a listener for one
	// reason.
	logInterval = 10 * time.Second
	// headerTimeout, idleTimeout and headerBytes are the limits of NewServer. Those who
	// use its listeners (load balancers, scrapers, operators) send small heads at once.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 4 << 10
)

type (
	// Reason is why a connection was closed.
	Reason string

	// Options configures a Listener. All fields but Count and Timeouts are required.
	Options struct {
		Name        string // in log lines
		Connections int    // at most
		Logger      *slog.Logger
		// Count is called for each connection that is closed for a reason.
		Count func(reason Reason)
		// Timeouts means that read deadlines and heads are counted too, as Timeout and
		// Malformed. Without it, the server behind the listener counts them itself, for
		// instance by Conn.Report.
		Timeouts bool
	}

	// Timeouts holds the time limits of NewServer. 0 means no limit.
	Timeouts struct {
		Write time.Duration // from the end of a head until the answer is written
	}

	// Listener is a net.Listener whose connections are of type *Conn.
	Listener struct {
		net.Listener
		options Options

		mu    sync.Mutex
		conns map[string]*Conn // by remote address
		// unserved and idle hold the connections without a request in progress, oldest
		// first. Those in unserved haven't sent a complete request yet.
		unserved, idle list.List
		closed         map[Reason]int
		logs           map[Reason]*rate.Sometimes
	}

	// Conn is a connection that was accepted by a Listener.
	Conn struct {
		net.Conn
		listener     *Listener
		remote       string       // address
		received     atomic.Bool  // bytes since the last request
		failed       atomic.Bool  // a read failed
		readDeadline atomic.Int64 // in Unix seconds; 0: none

		// listener.mu guards these:
		element  *list.Element // in list; nil while a request is in progress or after removal
		list     *list.List
		requests int  // in progress
		removed  bool // from the listener
		replaced bool // closed in favor of a new connection
	}
)

// New returns a Listener that accepts the connections of listener.
func New(listener net.Listener, options Options) *Listener {
	if options.Count == nil {
		options.Count = func(Reason) {}
	}
	return &Listener{
		Listener: listener, options: options, conns: map[string]*Conn{}, closed: map[Reason]int{}, logs: map[Reason]*rate.Sometimes{},
	}
}

// NewServer returns a server for the connections of a listener, with limits for the
// time and the size of heads and for idle connections.
func NewServer(listener *Listener, handler http.Handler, timeouts Timeouts) *http.Server {
	return &http.Server{
		Handler: listener.Handler(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		WriteTimeout: timeouts.Write, ErrorLog: slog.NewLogLogger(listener.options.Logger.Handler(), slog.LevelDebug),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (accepted net.Conn, err error) {
	for {
		if accepted, err = l.Listener.Accept(); err != nil {
			return nil, err
		}
		c, replaced := l.add(accepted)
		if replaced != nil {
			replaced.Conn.Close() // its own goroutine sees the error
			l.report(Replaced)
		}
		if c != nil {
			return c, nil
		}
		accepted.Close()
		l.report(Refused)
	}
}

// add adds a connection and returns the one that it replaces, if any. At the limit,
// c is nil if no connection can be replaced.
func (l *Listener) add(accepted net.Conn) (c, replaced *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.options.Connections {
		oldest := l.unserved.Front()
		if oldest == nil {
			oldest = l.idle.Front()
		}
		if oldest == nil {
			return nil, nil
		}
		replaced = oldest.Value.(*Conn)
		replaced.replaced = true
		l.remove(replaced)
	}
	c = &Conn{Conn: accepted, listener: l, remote: accepted.RemoteAddr().String()}
	l.conns[c.remote] = c
	c.enter(&l.unserved)
	return c, replaced
}

// remove forgets a connection. The caller holds mu.
func (l *Listener) remove(c *Conn) {
	if l.conns[c.remote] == c {
		delete(l.conns, c.remote)
	}
	c.removed = true
	c.leave()
}

// Handler returns a handler that calls handler for the requests on connections of the
// listener, which are in progress meanwhile.
func (l *Listener) Handler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		c := l.conns[r.RemoteAddr]
		l.mu.Unlock()
		if c == nil || !c.Begin() { // replaced while the head was parsed
			panic(http.ErrAbortHandler)
		}
		defer c.End()
		handler.ServeHTTP(w, r)
	})
}

// report counts a closed connection and logs it, at most once in logInterval for each
// reason.
func (l *Listener) report(reason Reason) {
	l.options.Count(reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed[reason]++
	if l.logs[reason] == nil {
		l.logs[reason] = &rate.Sometimes{Interval: logInterval}
	}
	l.logs[reason].Do(func() {
		l.options.Logger.Warn("connections closed by the listener", "Listener", l.options.Name, "Reason", reason,
			"Total", l.closed[reason], "Open", len(l.conns), "Limit", l.options.Connections)
	})
}

// Report counts and logs that the server closes the connection for a reason.
func (c *Conn) Report(reason Reason) { c.listener.report(reason) }

// Begin notes that a complete request was received. It returns false if the
// connection has been replaced, so that the request mustn't run.
func (c *Conn) Begin() (ok bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.replaced {
		return false
	}
	c.requests++
	c.received.Store(false)
	c.leave()
	return true
}

// End notes that a request has been answered.
func (c *Conn) End() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.received.Store(false)
	if c.requests--; c.requests == 0 && !c.removed {
		c.enter(&c.listener.idle)
	}
}

// enter adds the connection to a list. The caller holds mu.
func (c *Conn) enter(to *list.List) { c.list, c.element = to, to.PushBack(c) }

// leave removes the connection from its list. The caller holds mu.
func (c *Conn) leave() {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	if err != nil {
		c.failed.Store(true)
		// net/http ends its own reads with a deadline in 1970.
		if c.listener.options.Timeouts && errors.Is(err, os.ErrDeadlineExceeded) && c.readDeadline.Load() > 1 && c.waits() {
			c.listener.report(Timeout)
		}
	}
	return n, err
}

// waits reports whether the connection is open and has no request in progress.
func (c *Conn) waits() (ok bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.requests == 0 && !c.removed
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) (err error) {
	if t.IsZero() {
		c.readDeadline.Store(0)
	} else {
		c.readDeadline.Store(t.Unix())
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) (err error) {
	if err = c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite lets net/http end an answer to a request that it doesn't read whole.
func (c *Conn) CloseWrite() (err error) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets whether Close discards the bytes that haven't been delivered.
func (c *Conn) SetLinger(seconds int) (err error) {
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingerer.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() (err error) {
	malformed := c.received.Load() && !c.failed.Load() && c.waits()
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	if malformed && c.listener.options.Timeouts {
		c.listener.report(Malformed)
	}
	return c.Conn.Close()
}
