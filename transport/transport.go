// Package transport is how a process opens and accepts connections: TCP in
// production, package nettest in tests.
//
// # Usage
//
//	listener, err := transport.TCP{}.Listen(ctx, address)
//	conn, err := transport.TCP{}.Dial(ctx, address)
//
// HTTP clients of other systems are built on a Network with HTTPClient.
package transport

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

const (
	dialTimeout     = 2 * time.Second
	keepAlivePeriod = 15 * time.Second
	idleTimeout     = 90 * time.Second
	idlePerHost     = 256 // enough for the requests that run on one upstream at a time
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

// Dial connects to address within the context and two seconds.
func (TCP) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// Listen accepts connections at address. Port 0 takes any free port.
func (TCP) Listen(ctx context.Context, address netip.AddrPort) (listener net.Listener, err error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
}

// HTTPClient returns a client for a system at numeric addresses. It follows no
// redirects and uses no proxy, so that a request goes where it was sent.
func HTTPClient(network Network) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (conn net.Conn, err error) {
				parsed, err := netip.ParseAddrPort(address)
				if err != nil {
					return nil, errors.Annotatef(err, "address %q", address)
				}
				return network.Dial(ctx, parsed)
			},
			DisableCompression:  true,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: idlePerHost,
		},
	}
}

// ListenAddress returns the address that a listener of a Network accepts at.
func ListenAddress(listener net.Listener) netip.AddrPort {
	address, _ := netip.ParseAddrPort(listener.Addr().String())
	return address
}
