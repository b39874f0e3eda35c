// Package transport opens and accepts connections through the Network interface.
// TCP implements it for production, package nettest for tests.
//
// # Usage
//
//	listener, err := transport.TCP{}.Listen(ctx, address)
//	conn, err := transport.TCP{}.Dial(ctx, address)
//
// HTTPClient returns an HTTP client that connects through a Network. HTTPConn is for
// clients that read responses themselves: it lets none through whose head is malformed.
//
//	conn := transport.NewHTTPConn(raw)
//	reader := bufio.NewReader(conn)
//	err := conn.BeginResponse(nil) // before each response, with what reader has buffered
//	response, err := http.ReadResponse(reader, request)
package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

const (
	dialTimeout         = 2 * time.Second
	keepAlivePeriod     = 15 * time.Second // between probes that detect a peer that vanished without closing
	idleConnTimeout     = 90 * time.Second // after which an unused HTTP connection is closed
	maxIdleConnsPerHost = 256              // covers the concurrent requests to one upstream
)

type (
	// Network opens and accepts stream connections by IP address and port.
	Network interface {
		Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error)
		Listen(ctx context.Context, address netip.AddrPort) (listener net.Listener, err error)
	}

	// TCP is the Network of the operating system.
	TCP struct{}
)

// Dial connects to address. It fails when the context ends or after two seconds.
func (TCP) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// Listen returns a listener at address. Port 0 selects any free port.
func (TCP) Listen(ctx context.Context, address netip.AddrPort) (listener net.Listener, err error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
}

// HTTPClient returns an HTTP client that connects through network. The host in a
// URL has to be an IP address with a port. The client follows no redirects and
// uses no proxy, so that a request only reaches the address in its URL. It speaks
// HTTP/1.1 and neither requests nor decodes compressed bodies. It has no timeout
// besides that of Dial: the context of a request has to end the wait for a server
// that doesn't answer. Malformed responses fail, see HTTPTransport.
func HTTPClient(network Network) *http.Client { return HTTPSClient(network, nil) }

// HTTPSClient returns a client like that of HTTPClient, which also connects to URLs
// with the scheme https unless config is nil.
func HTTPSClient(network Network, config *tls.Config) *http.Client {
	dial := func(ctx context.Context, _, address string) (conn net.Conn, err error) {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Annotatef(err, "address %q", address)
		}
		return network.Dial(ctx, parsed)
	}
	base := &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	}
	if config != nil {
		base.DialTLSContext = func(ctx context.Context, network, address string) (conn net.Conn, err error) {
			if conn, err = dial(ctx, network, address); err != nil {
				return nil, err
			}
			return handshake(ctx, conn, config, address)
		}
	}
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     NewHTTPTransport(base),
	}
}

// handshake begins TLS on a connection to an address, and closes it on an error.
func handshake(ctx context.Context, conn net.Conn, config *tls.Config, address string) (secured net.Conn, err error) {
	defer func() {
		if err != nil {
			conn.Close()
		}
	}()
	config = config.Clone()
	if config.ServerName == "" {
		if config.ServerName, _, err = net.SplitHostPort(address); err != nil {
			return nil, err
		}
	}
	client := tls.Client(conn, config)
	return client, client.HandshakeContext(ctx)
}

// ListenAddress returns the address at which a Network's listener accepts
// connections.
func ListenAddress(listener net.Listener) netip.AddrPort {
	address, _ := netip.ParseAddrPort(listener.Addr().String())
	return address
}
