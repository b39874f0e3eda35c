// Package peer carries calls between the nodes of the system: net/rpc over one
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
// Receivers follow the rules of net/rpc. Messages travel in CBOR, see Encode.
// Failures that a caller has to tell apart travel as typed fields of the reply,
// since net/rpc carries errors as strings only. Traffic is counted in bytes per
// class and direction.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/transport"
)

const (
	// Control is the class of messages that don't belong to a request.
	Control Class = 'C'
	// Data is the class of messages that carry requests and answers.
	Data Class = 'D'

	// ErrNotSent means that the peer can't have received the call.
	ErrNotSent = errors.ConstError("call not sent")

	dialTimeout     = time.Second
	classTimeout    = 5 * time.Second // for the first byte of an accepted connection
	idleLimit       = 5 * time.Minute // unused connections are closed after this
	idleCheckPeriod = time.Minute
	// silenceLimit ends a control connection on which nothing came since a call
	// that long ago. The calls of a long cut would all be answered at its end. It
	// is twice the time that membership gives its longest call.
	silenceLimit = 4 * time.Second
)

type (
	// Class separates control traffic from requests, so that a large answer
	// doesn't delay a probe and each can be measured.
	Class byte

	// Options of servers and pools. TLS is for mutual TLS and may be nil.
	Options struct {
		Metrics *metrics.Set
		TLS     *tls.Config
		// Local is the server of the pool's own process, and may be nil. Calls to
		// LocalAddress go to it directly.
		Local        *Server
		LocalAddress netip.AddrPort
	}

	// RPCClient makes calls to peers.
	RPCClient interface {
		Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error)
	}

	// Server accepts calls from peers until its context ends.
	Server struct {
		rpc     *rpc.Server
		options Options

		mu      sync.RWMutex
		methods map[string]localMethod
	}

	// Pool keeps one connection to each peer that is in use.
	Pool struct {
		ctx     context.Context
		network transport.Network
		class   Class
		options Options

		mu    sync.Mutex
		peers map[netip.AddrPort]*connection
	}

	// connection holds a peer's client. Whoever has taken the token may use the
	// other fields; a channel is used in place of a mutex, so that a call that
	// waits for another one's dial still ends with its context.
	connection struct {
		token    chan struct{}
		client   *rpc.Client
		watch    *watchedConn
		lastUsed time.Time
	}

	// watchedConn knows since when a call has waited with nothing coming back.
	watchedConn struct {
		net.Conn
		mu      sync.Mutex
		waiting time.Time // zero once something came
	}

	countingConn struct {
		net.Conn
		read, written *metrics.Counter
	}
)

// NewServer starts to accept connections. Register receivers right after.
func NewServer(ctx context.Context, listener net.Listener, options Options) *Server {
	s := &Server{rpc: rpc.NewServer(), options: options, methods: make(map[string]localMethod)}
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return
				}
				continue
			}
			go s.serve(ctx, conn)
		}
	}()
	return s
}

// Register makes the methods of receiver callable as name.Method.
func (s *Server) Register(name string, receiver any) (err error) {
	if err = s.rpc.RegisterName(name, receiver); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.methods, localMethods(name, receiver))
	return nil
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if s.options.TLS != nil {
		conn = tls.Server(conn, s.options.TLS)
	}
	class := make([]byte, 1)
	conn.SetReadDeadline(time.Now().Add(classTimeout))
	if _, err := conn.Read(class); err != nil {
		return
	}
	conn.SetReadDeadline(time.Time{})
	if c := Class(class[0]); c == Control || c == Data {
		s.rpc.ServeCodec(&serverCodec{newCodec(counted(conn, c, "server", s.options.Metrics))})
	}
}

// NewPool returns a Pool whose connections close when ctx ends.
func NewPool(ctx context.Context, network transport.Network, class Class, options Options) *Pool {
	p := &Pool{
		ctx: ctx, network: network, class: class, options: options,
		peers: make(map[netip.AddrPort]*connection),
	}
	go func() {
		ticker := time.NewTicker(idleCheckPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				p.closeIdle(0)
				return
			case <-ticker.C:
				p.closeIdle(idleLimit)
			}
		}
	}()
	return p
}

// Call makes one call and waits for its reply, the context's end or the loss of
// the connection. Unless the error is ErrNotSent the peer may have processed
// the call. The reply is only written to on success: an answer that arrives
// after the context's end would otherwise race with the caller's next use of it.
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error) {
	defer errors.DeferredAnnotatef(&err, "call %s at %s", method, address)
	if p.options.Local != nil && address == p.options.LocalAddress {
		return p.options.Local.callLocal(ctx, method, args, reply)
	}
	client, watch, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	watch.called()
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, fresh.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if p.class == Control && watch.silent() >= silenceLimit {
			watch.drop()
			p.discard(address, client)
		}
		return ctx.Err()
	}
	if call.Error != nil {
		if _, answered := call.Error.(rpc.ServerError); !answered {
			p.discard(address, client)
		}
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(fresh.Elem())
	}
	return call.Error
}

func (p *Pool) client(ctx context.Context, address netip.AddrPort) (client *rpc.Client, watch *watchedConn, err error) {
	if p.ctx.Err() != nil {
		return nil, nil, notSent(p.ctx.Err())
	}
	p.mu.Lock()
	conn := p.peers[address]
	if conn == nil {
		conn = &connection{token: make(chan struct{}, 1)}
		p.peers[address] = conn
	}
	p.mu.Unlock()

	select {
	case conn.token <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, notSent(ctx.Err())
	}
	defer conn.release()
	conn.lastUsed = time.Now()
	if conn.client == nil {
		conn.client, conn.watch, err = p.dial(ctx, address)
	}
	return conn.client, conn.watch, err
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (client *rpc.Client, watch *watchedConn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, nil, notSent(err)
	}
	watch = &watchedConn{Conn: conn}
	conn = watch
	if p.options.TLS != nil {
		conn = tls.Client(conn, p.options.TLS)
	}
	if _, err := conn.Write([]byte{byte(p.class)}); err != nil {
		conn.Close()
		return nil, nil, notSent(err)
	}
	return rpc.NewClientWithCodec(&clientCodec{newCodec(counted(conn, p.class, "client", p.options.Metrics))}), watch, nil
}

// discard forgets a broken connection, unless another call has replaced it.
func (p *Pool) discard(address netip.AddrPort, client *rpc.Client) {
	p.mu.Lock()
	conn := p.peers[address]
	p.mu.Unlock()
	if conn == nil {
		return
	}
	client.Close()
	select {
	case conn.token <- struct{}{}:
		defer conn.release()
		if conn.client == client {
			conn.client = nil
		}
	case <-p.ctx.Done():
	}
}

// Read notes that something came.
func (c *watchedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.waiting = time.Time{}
		c.mu.Unlock()
	}
	return n, err
}

func (c *watchedConn) called() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting.IsZero() {
		c.waiting = time.Now()
	}
}

// silent returns how long calls have waited with nothing coming.
func (c *watchedConn) silent() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting.IsZero() {
		return 0
	}
	return time.Since(c.waiting)
}

// drop makes Close give up what hasn't arrived, so that the peer doesn't answer
// calls that nobody waits for. It fails only on a connection that has ended.
func (c *watchedConn) drop() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

func (c *connection) release() { <-c.token }

// closeIdle closes the connections that were unused for at least idle.
func (p *Pool) closeIdle(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.peers {
		select {
		case conn.token <- struct{}{}:
		default:
			continue // being dialed
		}
		if time.Since(conn.lastUsed) >= idle {
			if conn.client != nil {
				conn.client.Close()
			}
			delete(p.peers, address)
		}
		conn.release()
	}
}

func notSent(err error) error {
	return errors.WithType(err, ErrNotSent)
}

func counted(conn net.Conn, class Class, side string, set *metrics.Set) net.Conn {
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

// Read counts what it reads.
func (c *countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.read.Add(n)
	return n, err
}

// Write counts what it writes.
func (c *countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.written.Add(n)
	return n, err
}
