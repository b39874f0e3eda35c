package relay_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/relay"
)

type (
	// cannedNetwork opens connections that answer each write with the same response.
	cannedNetwork struct {
		*nettest.Host
		response string
	}

	cannedConn struct {
		net.Conn
		response string
		unread   bytes.Buffer
	}
)

// Dial implements transport.Network.
func (n cannedNetwork) Dial(context.Context, netip.AddrPort) (conn net.Conn, err error) {
	return &cannedConn{response: n.response}, nil
}

// Write implements net.Conn.
func (c *cannedConn) Write(b []byte) (n int, err error) {
	c.unread.WriteString(c.response)
	return len(b), nil
}

// Read implements net.Conn.
func (c *cannedConn) Read(b []byte) (n int, err error) { return c.unread.Read(b) }

// Close implements net.Conn.
func (c *cannedConn) Close() (err error) { return nil }

// BenchmarkSend measures the processor time of a request and its response without the
// network, so that what is spent on the head of the response shows.
func BenchmarkSend(b *testing.B) {
	head := okResponse("q1", strings.Repeat("x", 200))
	for name, response := range map[string]string{
		"head=short": head,
		"head=long":  strings.Replace(head, "\r\n", "\r\n"+strings.Repeat("X-Some-Field: a value of a few words\r\n", 30), 1),
	} {
		b.Run(name, func(b *testing.B) {
			pool := relay.New(relay.Options{Network: cannedNetwork{response: response}})
			defer pool.Sweep(time.Now().Add(time.Hour))
			target := relay.Target{ID: "u", Address: netip.MustParseAddrPort(upstreamAddress)}
			request := &relay.Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{"Request-Id": {"q1"}}, ID: "q1"}
			for b.Loop() {
				got, err := pool.Send(b.Context(), target, request)
				if err != nil {
					b.Fatal(err)
				}
				if _, err = io.Copy(io.Discard, got); err != nil {
					b.Fatal(err)
				}
				got.Close()
			}
		})
	}
}
