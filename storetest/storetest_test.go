package storetest_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/storetest"
)

// Guards against a stand-in that is kinder than the service: conditions that
// don't hold, leases that outlive their time, watches that miss a change.
func TestService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conform(t, storetest.New(storetest.Options{}), "a")
	})
}

func conform(t *testing.T, server *storetest.Server, name string) {
	conformClient(t, server, server.Client(name))
}

func conformClient(t *testing.T, server *storetest.Server, client store.Client) {
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

// Guards against faults that report more, or less, than a client could know.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		inject        func(server *storetest.Server)
		putErr        error
		applied       bool
		getErr        error
		otherIsCutOff bool
	}{
		"none":         {func(*storetest.Server) {}, nil, true, nil, false},
		"down":         {func(s *storetest.Server) { s.SetDown(true) }, store.ErrUnavailable, false, store.ErrUnavailable, true},
		"slow":         {func(s *storetest.Server) { s.SetDelay(4 * time.Second) }, store.ErrUnknownOutcome, true, store.ErrUnavailable, true},
		"answer lost":  {func(s *storetest.Server) { s.LoseAnswers(storetest.Put, 1) }, store.ErrUnknownOutcome, true, nil, false},
		"requests cut": {func(s *storetest.Server) { s.Cut("a", storetest.Requests) }, store.ErrUnknownOutcome, false, store.ErrUnavailable, false},
		"answers cut":  {func(s *storetest.Server) { s.Cut("a", storetest.Answers) }, store.ErrUnknownOutcome, true, store.ErrUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := storetest.New(storetest.Options{})
				timeout := func() context.Context {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					t.Cleanup(cancel)
					return ctx
				}
				server.Client("x").Put(t.Context(), store.PutRequest{Key: "k", Value: []byte("old")})
				test.inject(server)
				a, b := server.Client("a"), server.Client("b")
				if _, err := a.Put(timeout(), store.PutRequest{Key: "k", Value: []byte("new"), IfVersion: 1}); !errors.Is(err, test.putErr) {
					t.Errorf("put: %v, want %v", err, test.putErr)
				}
				if _, err := a.Get(timeout(), "k"); !errors.Is(err, test.getErr) {
					t.Errorf("get: %v, want %v", err, test.getErr)
				}
				if _, err := b.Get(timeout(), "k"); (err != nil) != test.otherIsCutOff {
					t.Errorf("another client's get: %v", err)
				}
				server.SetDown(false)
				server.SetDelay(0)
				time.Sleep(time.Minute)
				entry, err := b.Get(t.Context(), "k")
				if err != nil || (string(entry.Value) == "new") != test.applied {
					t.Errorf("after the fault: %q, %v, want applied %t", entry.Value, err, test.applied)
				}
			})
		})
	}
}

// Guards against old reads that leak new values, and against conditions of
// writes that are held against the old state.
func TestOldReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := storetest.New(storetest.Options{})
		client := server.Client("a")
		old, _ := client.Put(t.Context(), store.PutRequest{Key: "k", Value: []byte("old")})
		client.Put(t.Context(), store.PutRequest{Key: "k", Value: []byte("new"), IfVersion: old})
		server.SetReadRevision(old)
		if entry, err := client.Get(t.Context(), "k"); err != nil || string(entry.Value) != "old" {
			t.Errorf("%q, %v", entry.Value, err)
		}
		if _, err := client.Put(t.Context(), store.PutRequest{Key: "k", IfVersion: old}); !errors.Is(err, store.ErrConflict) {
			t.Errorf("write on an old read: %v", err)
		}
	})
}
