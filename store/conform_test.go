package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/storetest"
)

// Guards against an HTTP client that behaves differently from the in-memory one,
// and against a stand-in that differs from the service: it applies a write whose
// condition doesn't hold, keeps a lease past its TTL, or omits a change from a
// watch.
func TestClientConformance(t *testing.T) {
	for name, connect := range map[string]func(server *storetest.Server, network *nettest.Network) store.Client{
		"in memory": func(server *storetest.Server, _ *nettest.Network) store.Client { return server.Client("a") },
		"over HTTP": func(_ *storetest.Server, network *nettest.Network) store.Client {
			return store.NewHTTP(network.Host(clientIP), serverAddress, "a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := nettest.New()
				server, stop := serve(t, network)
				defer func() { network.Crash(serverIP); stop(); synctest.Wait() }()
				testClient(t, server, connect(server, network))
			})
		})
	}
}

func testClient(t *testing.T, server *storetest.Server, client store.Client) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	put := func(key string, ifVersion uint64, lease store.LeaseID, want error) (version uint64) {
		t.Helper()
		version, err := client.Put(ctx, store.PutRequest{Key: key, Value: []byte("v"), IfVersion: ifVersion, Lease: lease})
		if !errors.Is(err, want) {
			t.Errorf("put %s: %v, want %v", key, err, want)
		}
		return version
	}
	first := put("k/a", 0, 0, nil)
	put("k/a", 0, 0, store.ErrConflict)
	put("k/a", first+7, 0, store.ErrConflict)
	second := put("k/a", first, 0, nil)
	if second <= first {
		t.Errorf("version %d after %d", second, first)
	}
	if _, err := client.Put(ctx, store.PutRequest{Key: "big", Value: make([]byte, store.MaxValueBytes+1)}); !errors.Is(err, store.ErrTooLarge) {
		t.Errorf("large value: %v", err)
	}
	if _, err := client.Get(ctx, "none"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("missing key: %v", err)
	}
	id, err := client.Grant(ctx, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	leased := put("k/b", 0, id, nil)
	time.Sleep(8 * time.Second)
	if ttl, err := client.KeepAlive(ctx, id); err != nil || ttl != 10*time.Second {
		t.Errorf("keep alive: %s, %v", ttl, err)
	}
	time.Sleep(8 * time.Second)
	entries, err := client.List(ctx, "k/")
	if err != nil || len(entries) != 2 || entries[1].Key != "k/b" || entries[1].Version != leased || entries[1].Lease != id {
		t.Errorf("list: %+v, %v", entries, err)
	}
	events, revision, err := client.Watch(ctx, store.WatchRequest{Prefix: "k/", After: leased})
	if err != nil || len(events) != 1 || !events[0].Deleted || events[0].Entry.Key != "k/b" || revision < events[0].Entry.Version {
		t.Errorf("watch for the expiry: %+v, %d, %v", events, revision, err)
	}
	put("k/c", 0, id, store.ErrLeaseExpired)
	if _, err := client.KeepAlive(ctx, id); !errors.Is(err, store.ErrLeaseExpired) {
		t.Errorf("keep alive after expiry: %v", err)
	}
	if err := client.Delete(ctx, "k/a", first); !errors.Is(err, store.ErrConflict) {
		t.Errorf("delete at an old version: %v", err)
	}
	if err := client.Delete(ctx, "k/a", second); err != nil {
		t.Error(err)
	}
	server.Compact()
	if _, now, err := client.Watch(ctx, store.WatchRequest{Prefix: "k/", After: second}); !errors.Is(err, store.ErrCompacted) || now != server.Revision() {
		t.Errorf("watch from a compacted revision: %d, %v", now, err)
	}
}
