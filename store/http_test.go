package store_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/storetest"
)

const clientIP, serverIP = "10.0.0.1", "10.0.0.2"

var serverAddress = netip.MustParseAddrPort(serverIP + ":7100")

// serve runs the stand-in on a network until the end of a synctest test.
func serve(t *testing.T, network *nettest.Network) (server *storetest.Server, stop func()) {
	listener, err := network.Host(serverIP).Listen(t.Context(), serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	server = storetest.New(storetest.Options{})
	web := &http.Server{Handler: server.Handler()}
	go web.Serve(listener)
	return server, func() { web.Close() }
}

// Guards against an HTTP client that concludes more from a failure than it can
// know: a lost write that counts as not applied would run work twice.
func TestHTTPFailures(t *testing.T) {
	for name, test := range map[string]struct {
		inject         func(server *storetest.Server, network *nettest.Network)
		putErr, getErr error
		applied        bool
	}{
		"none":        {func(*storetest.Server, *nettest.Network) {}, nil, nil, true},
		"down":        {func(s *storetest.Server, _ *nettest.Network) { s.SetDown(true) }, store.ErrUnavailable, store.ErrUnavailable, false},
		"answer lost": {func(s *storetest.Server, _ *nettest.Network) { s.DropResponses(storetest.Put, 1) }, store.ErrUnknownOutcome, nil, true},
		"requests held back on an open connection": {func(_ *storetest.Server, n *nettest.Network) { n.Cut(clientIP, serverIP) }, store.ErrUnknownOutcome, store.ErrUnavailable, false},
		"answers held back on an open connection":  {func(_ *storetest.Server, n *nettest.Network) { n.Cut(serverIP, clientIP) }, store.ErrUnknownOutcome, store.ErrUnavailable, true},
		"dial refused": {func(_ *storetest.Server, n *nettest.Network) {
			n.Crash(serverIP)
			synctest.Wait() // the client drops its broken connection
		}, store.ErrUnavailable, store.ErrUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := nettest.New()
				server, stop := serve(t, network)
				defer func() {
					network.Heal(clientIP, serverIP) // a dial that waits outlives its call
					network.Heal(serverIP, clientIP)
					network.Crash(serverIP)
					stop()
					synctest.Wait()
				}()
				client := store.NewHTTP(network.Host(clientIP), serverAddress, "a")
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				if _, err := client.Put(ctx, store.PutRequest{Key: "k", Value: []byte("old")}); err != nil {
					t.Fatal(err)
				}
				test.inject(server, network)
				limited := store.Limit(client, store.LimitOptions{Timeout: time.Second})
				if _, err := limited.Put(ctx, store.PutRequest{Key: "k", Value: []byte("new"), IfVersion: 1}); !errors.Is(err, test.putErr) {
					t.Errorf("put: %v, want %v", err, test.putErr)
				}
				if _, err := limited.Get(ctx, "k"); !errors.Is(err, test.getErr) {
					t.Errorf("get: %v, want %v", err, test.getErr)
				}
				if applied := server.Revision() == 2; applied != test.applied {
					t.Errorf("applied %t, want %t", applied, test.applied)
				}
			})
		})
	}
}

// Guards against a process that uses up the service's rates, and against one
// that loses its leases because its other calls used up the budget.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := storetest.New(storetest.Options{})
		set := metrics.NewSet()
		client := store.Limit(server.Client("a"), store.LimitOptions{PerSecond: 5, Burst: 5, Metrics: set})
		id, err := client.Grant(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		for range 100 {
			client.Get(t.Context(), "k")
		}
		if _, err := client.Get(t.Context(), "k"); !errors.Is(err, store.ErrRateLimited) {
			t.Errorf("over the budget: %v", err)
		}
		if _, err := client.KeepAlive(t.Context(), id); err != nil {
			t.Errorf("keep alive over the budget: %v", err)
		}
		time.Sleep(10 * time.Second)
		for range 100 {
			client.Get(t.Context(), "k")
		}
		if n := server.Calls(storetest.Get); n != 4+5 {
			t.Errorf("%d gets arrived, want 9: the burst less the grant, and the burst again", n)
		}
		var text strings.Builder
		set.WritePrometheus(&text)
		for _, want := range []string{
			`guavagauge_store_calls_total{kind="Get",outcome="NotFound"} 9`,
			fmt.Sprintf(`guavagauge_store_calls_total{kind="Get",outcome="Budget"} %d`, 201-9),
			`guavagauge_store_calls_total{kind="KeepAlive",outcome="OK"} 1`,
		} {
			if !strings.Contains(text.String(), want) {
				t.Errorf("no %s in\n%s", want, text.String())
			}
		}
	})
}
