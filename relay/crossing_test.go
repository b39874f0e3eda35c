package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/relay"
)

type (
	// crossing is a pool and an upstream that answers the first request on each
	// connection and reads no further from it.
	crossing struct {
		t       *testing.T
		ctx     context.Context
		network *nettest.Network
		dialer  *nettest.HookedNetwork // of the pool
		pool    *relay.Pool

		mu       sync.Mutex
		accepted []net.Conn
		ran      []string // IDs of the requests that the upstream read
	}
)

// withCrossing runs a test in fake time.
func withCrossing(t *testing.T, test func(c *crossing)) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		c := &crossing{t: t, ctx: ctx, network: network, dialer: &nettest.HookedNetwork{Network: network.Host("10.0.0.9")}}
		c.pool = relay.New(relay.Options{Network: c.dialer})
		defer c.pool.Forget("u")
		defer c.listen(upstreamAddress)()
		test(c)
		<-time.After(time.Second) // until writes in the background have ended
	})
}

// listen starts the upstream at an address and returns the function that stops it.
func (c *crossing) listen(at string) (stop func()) {
	address := netip.MustParseAddrPort(at)
	listener, err := c.network.Host(address.Addr().String()).Listen(c.ctx, address)
	if err != nil {
		c.t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.accepted = append(c.accepted, conn)
			c.mu.Unlock()
			go func() {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if _, err = io.Copy(io.Discard, request.Body); err != nil {
					return
				}
				id := request.Header.Get("Request-Id")
				c.mu.Lock()
				c.ran = append(c.ran, id)
				c.mu.Unlock()
				io.WriteString(conn, okResponse(id, at))
			}()
		}
	}()
	return func() {
		listener.Close()
		for _, conn := range c.accepted {
			conn.Close()
		}
	}
}

// first returns the upstream's end of the first connection.
func (c *crossing) first() (conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted[0]
}

// send sends a request that may not run twice and returns its response.
func (c *crossing) send(ctx context.Context, id, body string, target relay.Target, check func() error) (response *relay.Response, err error) {
	if !target.Address.IsValid() {
		target.Address = netip.MustParseAddrPort(upstreamAddress)
	}
	target.ID = "u"
	return c.pool.Send(ctx, target, &relay.Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte(body), ID: id, Check: check,
	})
}

// mustSend sends a request, reads its response and closes it.
func (c *crossing) mustSend(id string) {
	c.t.Helper()
	response, err := c.send(c.ctx, id, "", relay.Target{}, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	response.Discard()
	response.Close()
}

// Guards against a request that fails, or is sent twice, or is called not run, when
// its kept connection is closed while it is being written.
func TestKeptConnectionIsClosedWhileRequestIsWritten(t *testing.T) {
	const answered, notRun, mayHaveRun = "answered", "not run", "may have run"
	for name, test := range map[string]struct {
		cross func(c *crossing, cancel func(), conn net.Conn, b []byte) (n int, err error)
		want  string
		conns int
	}{
		"upstream closes before the write": {func(c *crossing, _ func(), conn net.Conn, b []byte) (n int, err error) {
			c.first().Close()
			return conn.Write(b)
		}, answered, 2},
		"upstream closes after a part of it": {func(c *crossing, _ func(), conn net.Conn, b []byte) (n int, err error) {
			n, _ = conn.Write(b[:len(b)/2])
			c.first().Close()
			_, err = conn.Write(b[n:])
			return n, err
		}, mayHaveRun, 1},
		"upstream closes after the write": {func(c *crossing, _ func(), conn net.Conn, b []byte) (n int, err error) {
			defer c.first().Close()
			return conn.Write(b)
		}, mayHaveRun, 1},
		"request ends before the write": {func(_ *crossing, cancel func(), conn net.Conn, b []byte) (n int, err error) {
			cancel()
			<-time.After(time.Millisecond) // the pool closes the connection
			return conn.Write(b)
		}, notRun, 1},
		"request ends after the write": {func(_ *crossing, cancel func(), conn net.Conn, b []byte) (n int, err error) {
			defer cancel()
			return conn.Write(b)
		}, mayHaveRun, 1},
		"connections are swept and forgotten before the write": {func(c *crossing, _ func(), conn net.Conn, b []byte) (n int, err error) {
			c.pool.Sweep(time.Now().Add(time.Hour))
			c.pool.Forget("u")
			go serveOnce(c.first())
			return conn.Write(b)
		}, answered, 1},
	} {
		for size, body := range map[string]string{"": "", ", long body": strings.Repeat("x", 64<<10)} {
			t.Run(name+size, func(t *testing.T) {
				withCrossing(t, func(c *crossing) {
					c.mustSend("q1")
					ctx, cancel := context.WithCancel(c.ctx)
					defer cancel()
					c.dialer.ReplaceNextWrite(func(conn net.Conn, b []byte) (n int, err error) { return test.cross(c, cancel, conn, b) })
					response, err := c.send(ctx, "q2", body, relay.Target{}, nil)
					got := answered
					var failure *relay.Failure
					switch {
					case err == nil:
						response.Discard()
						response.Close()
					case errors.As(err, &failure) && failure.MayHaveRun:
						got = mayHaveRun
					default:
						got = notRun
					}
					synctest.Wait()
					if got != test.want || len(c.accepted) != test.conns {
						c.t.Errorf("%s on %d connections (%v), want %s on %d", got, len(c.accepted), err, test.want, test.conns)
					}
					if got == notRun && len(c.ran) != 1 || len(c.ran) > 2 {
						c.t.Errorf("requests %v were read", c.ran)
					}
				})
			})
		}
	}
}

// serveOnce reads one request from a connection and answers it.
func serveOnce(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	io.Copy(io.Discard, request.Body)
	io.WriteString(conn, okResponse(request.Header.Get("Request-Id"), ""))
}

// Guards against a request counted as run that ended before its first byte was written.
func TestRequestThatEndsBeforeItIsWritten(t *testing.T) {
	withCrossing(t, func(c *crossing) {
		ctx, cancel := context.WithCancel(c.ctx)
		_, err := c.send(ctx, "q1", "", relay.Target{}, func() error { cancel(); return nil })
		var failure *relay.Failure
		if !errors.As(err, &failure) || failure.MayHaveRun || !errors.Is(err, context.Canceled) {
			c.t.Errorf("error %v, want %v of a request that hasn't run", err, context.Canceled)
		}
		c.mustSend("q2")
		if len(c.accepted) != 1 || len(c.ran) != 1 {
			c.t.Errorf("requests %v on %d connections, want q2 on 1", c.ran, len(c.accepted))
		}
	})
}

// Guards against a connection that is kept for, or counted with, an upstream that was
// forgotten and registered again while a request was on it.
func TestConnectionOfForgottenUpstream(t *testing.T) {
	for name, complete := range map[string]bool{"answer was read": true, "answer was not read": false} {
		t.Run(name, func(t *testing.T) {
			withCrossing(t, func(c *crossing) {
				one := relay.Target{MaxConnections: 1}
				old, err := c.send(c.ctx, "q1", "", one, nil)
				if err != nil {
					c.t.Fatal(err)
				}
				c.pool.Forget("u")
				current, err := c.send(c.ctx, "q2", "", one, nil)
				if err != nil {
					c.t.Fatal(err)
				}
				if complete {
					old.Discard()
				}
				old.Close()
				if _, err = c.send(c.ctx, "q3", "", one, nil); !errors.Is(err, relay.ErrNoConnection) {
					c.t.Errorf("second request in flight: %v, want %v", err, relay.ErrNoConnection)
				}
				current.Close()
				c.mustSend("q4")
				if len(c.accepted) != 3 {
					c.t.Errorf("%d connections, want 3", len(c.accepted))
				}
			})
		})
	}
}

// Guards against a request on a connection to the address that its upstream had before.
func TestUpstreamWithNewAddress(t *testing.T) {
	withCrossing(t, func(c *crossing) {
		const newAddress = "10.0.0.2:80"
		defer c.listen(newAddress)()
		c.mustSend("q1")
		response, err := c.send(c.ctx, "q2", "", relay.Target{Address: netip.MustParseAddrPort(newAddress)}, nil)
		if err != nil {
			c.t.Fatal(err)
		}
		defer response.Close()
		if body, err := io.ReadAll(response); err != nil || string(body) != newAddress {
			c.t.Errorf("answer from %s, %v, want %s", body, err, newAddress)
		}
	})
}

// Guards against a kept connection whose time is counted from when a slow caller has
// read the answer: the upstream counts from when it has sent it.
func TestKeepAliveCountsFromEndOfAnswer(t *testing.T) {
	withCrossing(t, func(c *crossing) {
		response, err := c.send(c.ctx, "q1", "", relay.Target{}, nil)
		if err != nil {
			c.t.Fatal(err)
		}
		response.Discard()
		<-time.After(4 * time.Second) // the caller reads slowly; the upstream closes after 5 s
		response.Close()
		<-time.After(time.Second)
		c.dialer.ReplaceNextWrite(func(conn net.Conn, b []byte) (n int, err error) {
			defer c.first().Close()
			return conn.Write(b)
		})
		c.mustSend("q2")
	})
}

// Guards against a connection that is kept on and on by requests that aren't sent.
func TestUnusedConnectionExpires(t *testing.T) {
	withCrossing(t, func(c *crossing) {
		for range 4 {
			if _, err := c.send(c.ctx, "q1", "", relay.Target{}, func() error { return errors.New("withdrawn") }); err == nil {
				c.t.Error("request was sent")
			}
			<-time.After(200 * time.Millisecond)
		}
		synctest.Wait()
		if len(c.accepted) != 2 {
			c.t.Errorf("%d connections in 800 ms, want 2", len(c.accepted))
		}
	})
}
