// Package http1 serves HTTP/1.1 and ends connections only between requests.
//
// net/http counts a connection as idle until it has parsed the head of the next
// request, and Shutdown closes idle connections from another goroutine. A request
// that is being read at that moment is dropped, or runs without an answer. Here only
// the goroutine that reads from a connection ends it: Drain gives the connection a
// read deadline, and a read that returns a byte of a request comes first. So a
// connection from which a byte of a request was read since the last answer is closed
// after an answer to it, unless the context of Close or of New ends before. A request
// that was sent behind an answer with "Connection: close" isn't processed.
//
// # Usage
//
//	server := http1.New(ctx, listener, http1.Options{Handler: handler})
//	...
//	server.Drain(stopCtx) // from here on, answers should have "Connection: close"
//	cancelHandlers()
//	server.Close(answerCtx)
//
// With Options.Account, a connection is also ended to make room for others, by the same
// goroutine: between requests, in a head, or in a body that the handler is still reading.
// BodyAborted tells the handler of the latter. With Options.Limits, the limits may change
// while the server runs.
//
// A handler can tell whether this process closed its connection or the client did:
//
//	if r.Context().Err() != nil && http1.ClosedLocally(r.Context()) { ... }
package http1

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/resources"
)

const (
	serving  stage = iota
	leaving        // the listener is closed, and heads have to be complete in drainHeadTime
	draining       // idle connections end
	ending         // all reads end
)

const (
	// drainIdleTime is how long a connection must have been idle before Drain ends
	// it. A client that has just connected or got an answer is likely to send a
	// request.
	drainIdleTime = time.Second
	// drainHeadTime is how long Drain waits for the rest of a request's head, so that a
	// client that doesn't finish one doesn't use up the time of the others.
	drainHeadTime = 2 * time.Second
	// pollInterval is the time between checks whether connections have ended.
	pollInterval = 10 * time.Millisecond
)

type (
	// Options configures a Server. Handler is required. No timeout: 0.
	Options struct {
		Handler        http.Handler
		HeaderTimeout  time.Duration // for reading the head of a request
		IdleTimeout    time.Duration // of connections between requests
		MaxHeaderBytes int
		// Limits returns the limits that hold at present. It is called when a head begins
		// and when a connection becomes idle. The limits above then apply as well, where
		// they aren't 0. It may be nil.
		Limits func() Limits
		// Account owns the memory and the descriptors of the connections. It may be nil.
		Account *resources.Account
		// WriteStall is how long an answer of which the client takes nothing is kept: for
		// this time at least, and for at most a third more. 0: without limit.
		WriteStall time.Duration
		// RequestContext is the parent of the contexts of requests; that of New by
		// default.
		RequestContext context.Context
		Logger         *slog.Logger
		// Count is called with the name of each event: "accepted", "idle" for a
		// connection that Drain or Close ended between requests, "incomplete" for one
		// that ended by a timeout or by Close in the head of a request, and "cut" for
		// one that Close ended during a request. With Limits and Account, "expired" is
		// for one that ended by Limits.IdleTimeout, "too large" for a head above
		// Limits.HeaderBytes, "evicted" for a connection that was ended to make room,
		// "rejected" for one that was refused, and "unread" for one whose answer the client
		// didn't read. It may be nil.
		Count func(event string)
	}

	// Limits bound the heads of requests and the time between requests. 0: no limit.
	Limits struct {
		// HeaderBytes is for the header lines. The request line may be as long.
		HeaderBytes   int
		HeaderTimeout time.Duration // from the first byte of a head to its end
		IdleTimeout   time.Duration
	}

	// Server serves the connections of one listener.
	Server struct {
		options  Options
		listener net.Listener
		http     *http.Server
		served   chan struct{} // closed when no more connections are accepted
		// lastRefusedAt is when a new connection was last refused after it had waited for
		// room. Only the goroutine that accepts connections uses it.
		lastRefusedAt time.Time

		mu    sync.Mutex
		conns map[*conn]struct{}
		stage stage
	}

	// stage is how far a server has stopped.
	stage int

	connKey struct{} // of the *conn in a request's context
)

// New starts to serve the connections of listener until Close is called or ctx ends.
func New(ctx context.Context, listener net.Listener, options Options) *Server {
	if options.Count == nil {
		options.Count = func(string) {}
	}
	if options.RequestContext == nil {
		options.RequestContext = ctx
	}
	s := &Server{options: options, listener: listener, served: make(chan struct{}), conns: map[*conn]struct{}{}}
	handler := options.Handler
	if options.Account != nil {
		handler = http.HandlerFunc(s.serve)
	}
	s.http = &http.Server{
		Handler: handler, ReadHeaderTimeout: options.HeaderTimeout, IdleTimeout: options.IdleTimeout,
		MaxHeaderBytes: options.MaxHeaderBytes, ConnState: s.connStateChanged,
		BaseContext: func(net.Listener) context.Context { return options.RequestContext },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    slog.NewLogLogger(options.Logger.Handler(), slog.LevelDebug),
	}
	context.AfterFunc(ctx, func() { s.http.Close() })
	go func() {
		defer close(s.served)
		if err := s.http.Serve(trackingListener{listener, s}); !errors.Is(err, http.ErrServerClosed) && s.currentStage() == serving && ctx.Err() == nil {
			options.Logger.Error("listener failed", "Address", listener.Addr(), "Error", err)
		}
	}()
	return s
}

// ClosedLocally reports whether this process has closed the connection of a request
// whose context is given.
func ClosedLocally(ctx context.Context) (closed bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.closed.Load()
}

// BodyAborted reports whether the server ended the body of a request, whose context is given,
// to make room for others. The handler should then answer with status 408.
func BodyAborted(ctx context.Context) (bodyAborted bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.bodyAborted.Load()
}

// Member returns the member of the server's account that has the connection of a request,
// whose context is given, or nil.
func Member(ctx context.Context) (m *resources.Member) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.member
	}
	return nil
}

// ResetOnClose makes the close of the connection of a request, whose context is given,
// reset it. Bytes that haven't been delivered are discarded.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0) // fails only on a closed connection
	}
}

// Drain closes the listener, waits until no request is read or handled, and then ends
// connections that stay idle. It returns when none is left or ctx ends. The handler has
// to send "Connection: close", or clients may go on using their connections.
func (s *Server) Drain(ctx context.Context) {
	s.stopAccepting(ctx)
	s.await(ctx, func() (done bool) { return s.busy() == 0 })
	if ctx.Err() != nil {
		return
	}
	s.advance(draining)
	s.await(ctx, func() (done bool) { return len(s.open()) == 0 })
}

// Close ends all reads: idle connections end, and a handler that reads a body gets an
// error, which it has to answer. Close waits until the answers are written or ctx ends,
// and closes the connections that are left.
func (s *Server) Close(ctx context.Context) {
	s.stopAccepting(ctx)
	s.advance(ending)
	s.await(ctx, func() (done bool) { return len(s.open()) == 0 })
	for range s.busy() {
		s.options.Count("cut")
	}
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.options.Logger.Warn("server not closed", "Error", err)
	}
}

// stopAccepting closes the listener and waits until the connections that were accepted
// before are tracked.
func (s *Server) stopAccepting(ctx context.Context) {
	if s.currentStage() != serving {
		return
	}
	s.advance(leaving)
	if err := s.listener.Close(); err != nil {
		s.options.Logger.Warn("listener not closed", "Error", err)
	}
	select {
	case <-s.served:
	case <-ctx.Done():
	}
}

// advance brings the server and its connections to a stage.
func (s *Server) advance(to stage) {
	s.mu.Lock()
	s.stage = to
	s.mu.Unlock()
	for _, c := range s.open() {
		c.advance(to)
	}
}

// await returns when a condition is met or ctx ends.
func (s *Server) await(ctx context.Context, met func() bool) {
	for !met() && ctx.Err() == nil {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// busy returns the number of connections on which a request is read or handled.
func (s *Server) busy() (n int) {
	for _, c := range s.open() {
		if c.busy() {
			n++
		}
	}
	return n
}

func (s *Server) open() (conns []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) currentStage() (current stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage
}

// connStateChanged is called by the goroutine that reads from the connection, and with
// StateNew by the one that accepts it.
func (s *Server) connStateChanged(accepted net.Conn, state http.ConnState) {
	c := accepted.(*conn)
	switch state {
	case http.StateActive:
		c.setPhase(handling)
	case http.StateIdle:
		c.setPhase(idle)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}
