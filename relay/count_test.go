package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/relay"
)

// Guards against descriptors that stay counted after their connection has ended, or are
// given back twice, and against a refused connection that counts as a fault of the upstream.
func TestEachConnectionIsCountedOnce(t *testing.T) {
	for name, end := range map[string]func(pool *relay.Pool){
		"swept":     func(pool *relay.Pool) { pool.Sweep(time.Now().Add(time.Hour)) },
		"forgotten": func(pool *relay.Pool) { pool.Forget("u") },
		"closed by the upstream": func(pool *relay.Pool) {
			send(pool, "q2", "") // fails
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, open, full := nettest.New(), 0, false
				serveScript(t, network, okResponse("q1", "a"))
				pool := relay.New(relay.Options{
					Network: network.Host("10.0.0.9"), Closed: func() { open-- },
					Opening: func() (ok bool) {
						if !full {
							open++
						}
						return !full
					},
				})
				if _, err := send(pool, "q1", ""); err != nil || open != 1 {
					t.Fatalf("%d connections after a response, error %v", open, err)
				}
				end(pool)
				if open != 0 {
					t.Errorf("%d connections counted at the end", open)
				}
				full = true
				var failure *relay.Failure
				if _, err := send(pool, "q3", ""); !errors.As(err, &failure) || failure.MayHaveRun || !errors.Is(err, relay.ErrNoConnection) || open != 0 {
					t.Errorf("error %v with %d connections, want ErrNoConnection", err, open)
				}
			})
		})
	}
}

// Guards against refusing a request, since no descriptor is left, while connections to
// other upstreams are idle, and against closing one that is in use.
func TestIdleConnectionMakesRoomForAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, open := nettest.New(), 0
		serveScript(t, network, okResponse("q1", "a"), okResponse("q2", "b"))
		pool := relay.New(relay.Options{
			Network: network.Host("10.0.0.9"), Closed: func() { open-- },
			Opening: func() (ok bool) {
				if ok = open == 0; ok {
					open++
				}
				return ok
			},
		})
		defer pool.Forget("u")
		defer pool.Forget("other")
		if _, err := send(pool, "q1", ""); err != nil {
			t.Fatal(err)
		}
		sendToOther := func(id string) (response *relay.Response, err error) {
			target := relay.Target{ID: "other", Address: netip.MustParseAddrPort(upstreamAddress)}
			return pool.Send(context.Background(), target, &relay.Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{"Request-Id": {id}}, ID: id})
		}
		response, err := sendToOther("q2")
		if err != nil || open != 1 {
			t.Fatalf("error %v, %d connections open, want one", err, open)
		}
		if _, err = sendToOther("q3"); !errors.Is(err, relay.ErrNoConnection) || open != 1 {
			t.Errorf("error %v with %d connections, want ErrNoConnection", err, open)
		}
		if content, err := io.ReadAll(response); string(content) != "b" {
			t.Errorf("body %q, error %v", content, err)
		}
		response.Close()
	})
}
