// Package peer makes RPC calls between the nodes of the system: net/rpc over one
// connection per peer and class of traffic.
//
// # Usage
//
//	server := peer.NewServer(ctx, listener, peer.Options{Metrics: set})
//	server.Register("Steward", receiver)
//
//	pool := peer.NewPool(ctx, network, peer.Control, peer.Options{Metrics: set})
//	err := pool.Call(ctx, address, "Steward.Cancel", args, &reply)
//	if errors.Is(err, peer.ErrNotSent) {
//		// the peer can't have seen the call
//	}
//
// Receivers follow the rules of net/rpc. Messages are encoded as CBOR, see
// Encode. net/rpc sends errors as strings only, so failures that a caller has to
// distinguish are typed fields of the reply. Traffic is counted in bytes per
// class, side (client or server) and direction, before encryption.
//
// A call to a peer that can't be reached fails with ErrNotSent. If the connection is
// lost, the calls that were sent on it fail; others are sent on a new one. While a peer is silent, calls
// end with their contexts; a control connection is closed after Options.SilenceLimit, a
// data connection stays open.
//
// A server bounds its connections, the memory for incoming messages, and the time for
// the rest of a message, for a peer to read a reply, and between calls.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"net/rpc"
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/connlimit"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	// Control is the class of messages that don't belong to a caller's request.
	Control Class = 'C'
	// Data is the class of messages that carry callers' requests and responses.
	Data Class = 'D'

	// ErrNotSent means that the peer can't have received the call.
	ErrNotSent = errors.ConstError("call not sent")

	dialTimeout      = time.Second
	firstByteTimeout = 5 * time.Second // for the first byte of an accepted connection
	idleTimeout      = 5 * time.Minute // since the last call ended; the connection is then closed
	idleCheckPeriod  = time.Minute
	// defaultSilenceLimit is twice the longest call timeout of package membership.
	defaultSilenceLimit = 4 * time.Second

	// The limits of accepted connections. A pool opens one connection to each peer and
	// class, and closes it within idleTimeout and idleCheckPeriod of the last call.
	defaultConnections   = 4096
	defaultBufferedBytes = 512 << 20
	serverIdleTimeout    = 10 * time.Minute // without a call; more than idleTimeout + idleCheckPeriod
	messageStallTimeout  = 30 * time.Second // without another byte of a message
	replyTimeout         = 5 * time.Minute  // for a peer to read a reply
)

type (
	// Class separates control traffic from requests, so that a large response
	// doesn't delay a probe and the traffic of each class is counted by itself. It
	// is the first byte that a client sends on a connection.
	Class byte

	// Options configures servers and pools. All fields are optional. TLS is the
	// configuration of mutual TLS; without it connections aren't encrypted.
	Options struct {
		Metrics *metrics.Set
		TLS     *tls.Config
		// SilenceLimit is how long a control connection may receive nothing after a
		// call: a call that times out after that closes it, so that the next one opens
		// another. Otherwise the peer would also receive and answer all calls of a long
		// network partition at once when it heals. The default is 4 s.
		SilenceLimit time.Duration
		// Local is the server in the pool's own process. Calls to LocalAddress
		// invoke its methods without a connection.
		Local        *Server
		LocalAddress netip.AddrPort

		// The fields below are for servers.

		Connections   int // open at the same time; see package connlimit. The default is 4,096.
		MessageBytes  int // of one incoming message; the default is 256 MiB
		BufferedBytes int // of incoming messages beyond the first 16 KiB of each; the default is 512 MiB
		Logger        *slog.Logger
		Closed        func(reason connlimit.Reason) // called for each connection that a limit closed
	}

	// RPCClient makes calls to peers. Pool implements it.
	RPCClient interface {
		Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error)
	}

	// Server accepts calls from peers until its context ends.
	Server struct {
		rpc     *rpc.Server
		options Options
		buffers *messageBuffers

		mu      sync.RWMutex
		methods map[string]localMethod
	}

	// Pool makes calls over one connection to each peer, which it opens on
	// demand and closes when idle. It is safe for concurrent use.
	Pool struct {
		ctx     context.Context
		network transport.Network
		class   Class
		options Options

		mu    sync.Mutex
		peers map[netip.AddrPort]*peerConnection
	}

	// peerConnection holds a peer's client. lock guards client and rawConn and is
	// held while the channel is full. It isn't a mutex, so that a call that waits
	// while another one dials can return when its context ends.
	peerConnection struct {
		lock    chan struct{}
		client  *rpc.Client
		rawConn *silenceConn
		// Pool.mu guards these:
		calls    int       // in flight, or waiting for lock
		lastUsed time.Time // when the last call ended
	}

	// silenceConn records since when calls have waited without any incoming
	// bytes.
	silenceConn struct {
		net.Conn
		mu           sync.Mutex
		waitingSince time.Time // zero if no call was sent since the last read
	}

	// progressConn fails a read that takes longer than limit, or up to a tenth less, since
	// it doesn't set a deadline anew for each read. Only the goroutine that reads may
	// change limit, and beginWrite must be called by one goroutine at a time.
	progressConn struct {
		net.Conn
		limit         time.Duration
		readDeadline  time.Time
		writeDeadline time.Time
	}

	countingConn struct {
		net.Conn
		read, written *metrics.Counter
	}
)

// NewServer returns a Server that accepts connections until ctx ends. Calls fail
// until Register has been called for their receiver.
func NewServer(ctx context.Context, listener net.Listener, options Options) *Server {
	setDefault(&options.Connections, defaultConnections)
	setDefault(&options.MessageBytes, maxMessageBytes)
	setDefault(&options.BufferedBytes, defaultBufferedBytes)
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{
		rpc: rpc.NewServer(), options: options, methods: make(map[string]localMethod),
		buffers: &messageBuffers{messageLimit: options.MessageBytes, limit: int64(options.BufferedBytes)},
	}
	limited := connlimit.New(listener, connlimit.Options{
		Name: "peer listener", Connections: options.Connections, Logger: options.Logger, Count: options.Closed,
	})
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		for {
			conn, err := limited.Accept()
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return
				}
				continue
			}
			go s.serve(ctx, conn.(*connlimit.Conn))
		}
	}()
	return s
}

// Register makes the methods of receiver callable under the names name.Method.
func (s *Server) Register(name string, receiver any) (err error) {
	if err = s.rpc.RegisterName(name, receiver); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.methods, localMethods(name, receiver))
	return nil
}

func (s *Server) serve(ctx context.Context, accepted *connlimit.Conn) {
	stop := context.AfterFunc(ctx, func() { accepted.Close() })
	defer stop()
	defer accepted.Close()
	var conn net.Conn = accepted
	if s.options.TLS != nil {
		conn = tls.Server(conn, s.options.TLS)
	}
	class := make([]byte, 1)
	conn.SetReadDeadline(time.Now().Add(firstByteTimeout))
	if _, err := conn.Read(class); err != nil {
		reportClose(accepted, err)
		return
	}
	if c := Class(class[0]); c == Control || c == Data {
		progress := &progressConn{Conn: withCounters(conn, c, "server", s.options.Metrics)}
		s.rpc.ServeCodec(newServerCodec(progress, accepted, s.buffers))
	} else {
		accepted.Report(connlimit.Malformed)
	}
}

// reportClose reports why a server closes a connection after an error, unless the
// connection was lost or the peer closed it.
func reportClose(tracker callTracker, err error) {
	var lost net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		tracker.Report(connlimit.Timeout)
	case !errors.As(err, &lost) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed):
		tracker.Report(connlimit.Malformed)
	}
}

// Read implements net.Conn.
func (c *progressConn) Read(b []byte) (n int, err error) {
	if left := time.Until(c.readDeadline); left > c.limit || left < c.limit-c.limit/10 {
		c.readDeadline = time.Now().Add(c.limit)
		if err = c.SetReadDeadline(c.readDeadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

// beginWrite sets the time until which a reply must be written.
func (c *progressConn) beginWrite() (err error) {
	if time.Until(c.writeDeadline) >= replyTimeout-replyTimeout/10 {
		return nil
	}
	c.writeDeadline = time.Now().Add(replyTimeout)
	return c.SetWriteDeadline(c.writeDeadline)
}

func setDefault(value *int, byDefault int) {
	if *value == 0 {
		*value = byDefault
	}
}

// NewPool returns a Pool whose connections close when ctx ends.
func NewPool(ctx context.Context, network transport.Network, class Class, options Options) *Pool {
	if options.SilenceLimit == 0 {
		options.SilenceLimit = defaultSilenceLimit
	}
	p := &Pool{
		ctx: ctx, network: network, class: class, options: options,
		peers: make(map[netip.AddrPort]*peerConnection),
	}
	go func() {
		ticker := time.NewTicker(idleCheckPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				p.closeAll()
				return
			case <-ticker.C:
				p.closeIdle()
			}
		}
	}()
	return p
}

// Call makes one call and waits until the reply arrives, the context ends or the
// connection is lost. Unless the error is ErrNotSent, the peer may have processed
// the call. reply is only written on success, since a reply that arrives after
// the context has ended would otherwise race with the caller's next use of it.
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error) {
	defer errors.DeferredAnnotatef(&err, "call %s at %s", method, address)
	if p.options.Local != nil && address == p.options.LocalAddress {
		return p.options.Local.callLocal(ctx, method, args, reply)
	}
	peer := p.beginCall(address)
	defer p.endCall(peer)
	for {
		client, rawConn, dialed, err := p.client(ctx, peer, address)
		if err != nil {
			return err
		}
		rawConn.callStarted()
		freshReply := reflect.New(reflect.TypeOf(reply).Elem())
		outgoing := &trackedArgs{args: args}
		call := client.Go(method, outgoing, freshReply.Interface(), make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
		case <-ctx.Done():
			if p.class == Control && rawConn.silence() >= p.options.SilenceLimit {
				rawConn.discardUnsent()
				p.removeClient(address, client)
			}
			if !outgoing.sent {
				return notSent(ctx.Err())
			}
			return ctx.Err()
		}
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(freshReply.Elem())
			return nil
		}
		if _, answered := call.Error.(rpc.ServerError); answered {
			return call.Error
		}
		p.removeClient(address, client)
		switch {
		case outgoing.sent:
			return call.Error
		case dialed || ctx.Err() != nil:
			return notSent(call.Error)
		}
		// A kept connection was lost, or closed for another call, before this call was on it.
	}
}

// beginCall returns the connection to a peer, which closeIdle leaves open until
// endCall.
func (p *Pool) beginCall(address netip.AddrPort) (peer *peerConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer = p.peers[address]
	if peer == nil {
		peer = &peerConnection{lock: make(chan struct{}, 1)}
		p.peers[address] = peer
	}
	peer.calls++
	return peer
}

func (p *Pool) endCall(peer *peerConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer.calls--
	peer.lastUsed = time.Now()
}

// client returns the client for a peer, which it dials if there is none.
func (p *Pool) client(ctx context.Context, peer *peerConnection, address netip.AddrPort) (client *rpc.Client, rawConn *silenceConn, dialed bool, err error) {
	if p.ctx.Err() != nil {
		return nil, nil, false, notSent(p.ctx.Err())
	}
	select {
	case peer.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, false, notSent(ctx.Err())
	}
	defer peer.unlock()
	if peer.client == nil {
		dialed = true
		peer.client, peer.rawConn, err = p.dial(ctx, address)
	}
	return peer.client, peer.rawConn, dialed, err
}

// dial connects to a peer and sends the class. The timeout and ctx cover the
// connection only: with TLS, the first write also does the handshake, which has no
// deadline.
func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (client *rpc.Client, rawConn *silenceConn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, nil, notSent(err)
	}
	rawConn = &silenceConn{Conn: conn}
	conn = rawConn
	if p.options.TLS != nil {
		conn = tls.Client(conn, p.options.TLS)
	}
	if _, err := conn.Write([]byte{byte(p.class)}); err != nil {
		conn.Close()
		return nil, nil, notSent(err)
	}
	return rpc.NewClientWithCodec(&clientCodec{newCodec(withCounters(conn, p.class, "client", p.options.Metrics))}), rawConn, nil
}

// removeClient closes a client whose connection failed and removes it from the
// pool, unless another call has replaced it already.
func (p *Pool) removeClient(address netip.AddrPort, client *rpc.Client) {
	p.mu.Lock()
	peer := p.peers[address]
	p.mu.Unlock()
	if peer == nil {
		return
	}
	client.Close()
	select {
	case peer.lock <- struct{}{}:
		defer peer.unlock()
		if peer.client == client {
			peer.client = nil
		}
	case <-p.ctx.Done():
	}
}

// Read implements net.Conn. Any bytes read end the silence.
func (c *silenceConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.waitingSince = time.Time{}
		c.mu.Unlock()
	}
	return n, err
}

// callStarted records that a call waits for a reply from now on.
func (c *silenceConn) callStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitingSince.IsZero() {
		c.waitingSince = time.Now()
	}
}

// silence returns how long calls have waited without any incoming bytes.
func (c *silenceConn) silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitingSince.IsZero() {
		return 0
	}
	return time.Since(c.waitingSince)
}

// discardUnsent makes Close discard the bytes that the peer hasn't received, so
// that it doesn't answer calls whose callers no longer wait. SetLinger fails only
// on a closed connection, so its error is ignored.
func (c *silenceConn) discardUnsent() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

func (c *peerConnection) unlock() { <-c.lock }

// closeIdle closes the connections without calls whose last call ended at least
// idleTimeout ago.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		if peer.calls == 0 && time.Since(peer.lastUsed) >= idleTimeout {
			p.close(address, peer)
		}
	}
}

// closeAll closes all connections, also those with calls in flight.
func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		p.close(address, peer)
	}
}

// close closes the connection to a peer, unless it is being dialed or removed. The
// caller holds mu.
func (p *Pool) close(address netip.AddrPort, peer *peerConnection) {
	select {
	case peer.lock <- struct{}{}:
		defer peer.unlock()
	default:
		return
	}
	if peer.client != nil {
		peer.client.Close()
	}
	delete(p.peers, address)
}

// notSent returns err with the type ErrNotSent.
func notSent(err error) error {
	return errors.WithType(err, ErrNotSent)
}

// withCounters returns conn with its bytes counted in set, if that isn't nil.
func withCounters(conn net.Conn, class Class, side string, set *metrics.Set) net.Conn {
	if set == nil {
		return conn
	}
	name := "control"
	if class == Data {
		name = "data"
	}
	counter := func(direction string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(
			"guavagauge_peer_bytes_total{class=%q,side=%q,direction=%q}", name, side, direction))
	}
	return &countingConn{Conn: conn, read: counter("in"), written: counter("out")}
}

// Read implements net.Conn and counts the bytes.
func (c *countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.read.Add(n)
	return n, err
}

// Write implements net.Conn and counts the bytes.
func (c *countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.written.Add(n)
	return n, err
}
