package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// three starts three nodes beside the upstreams of ready.
func (w *world) three() {
	w.startNode("n2", n2)
	w.startNode("n3", n3)
	w.ready()
	w.pass(2 * time.Second)
}

func (w *world) addresses() (addresses []string) { return []string{n1, n2, n3} }

// A configuration is in force on every node within its bound, also on one that
// the store turns away and after the history was dropped.
func TestConfigurationEverywhere(t *testing.T) {
	for name, trouble := range map[string]func(w *world){
		"calm":                   func(*world) {},
		"store refuses reader":   func(w *world) { w.store.Refuse(n1, true) },
		"store refuses follower": func(w *world) { w.store.Refuse(n2, true) },
		"store refuses two":      func(w *world) { w.store.Refuse(n1, true); w.store.Refuse(n3, true) },
		"history dropped":        func(w *world) { w.store.Compact() },
		"datagrams lost":         func(w *world) { w.packets.SetPartitioned(n1, true); w.packets.SetPartitioned(n2, true) },
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.three()
				trouble(w)
				w.pass(4 * time.Second)
				w.configure(2, key, "key-two")
				w.pass(3 * time.Second)
				for _, address := range w.addresses() {
					r := w.ask(address+":80", http.MethodGet, "/draws/1", "", withKey("key-two"))
					if r.status != http.StatusOK {
						t.Errorf("node %s: %v, want the new key to work", address, r)
					}
				}
			})
		})
	}
}

// A withdrawn key stops working within its bound on every node, also on one
// that hears of nothing. Open routes go on.
func TestWithdrawnKey(t *testing.T) {
	inWorld(t, func(w *world) {
		w.three()
		w.store.Refuse(n3, true)
		w.packets.SetPartitioned(n3, true)
		w.network.Cut(n3, n1)
		w.network.Cut(n3, n2)
		w.configure(2, "another")
		for passed := time.Duration(0); passed < 8*time.Second; passed += 500 * time.Millisecond {
			for _, address := range w.addresses() {
				r := w.ask(address+":80", http.MethodGet, "/draws/1", "", nil)
				if passed >= 5*time.Second && r.status == http.StatusOK {
					t.Errorf("node %s serves a withdrawn key after %s", address, passed)
				}
				if passed >= 5*time.Second && address == n3 && r.status != http.StatusServiceUnavailable {
					t.Errorf("the node that is cut off answers %v, want 503", r)
				}
				if r := w.ask(address+":80", http.MethodGet, "/open/1", "", nil); r.status != http.StatusOK {
					t.Errorf("node %s, open route after %s: %v", address, passed, r)
				}
			}
			w.pass(500 * time.Millisecond)
		}
	})
}

// While the store turns one node away, the others tell it that its configuration
// is the newest, and it serves on.
func TestServesOnByPeers(t *testing.T) {
	inWorld(t, func(w *world) {
		w.three()
		w.store.Refuse(n1, true)
		w.pass(20 * time.Second)
		for _, address := range w.addresses() {
			w.want(w.ask(address+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
		}
	})
}

// A configuration never goes back, whatever arrives later.
func TestConfigurationRises(t *testing.T) {
	inWorld(t, func(w *world) {
		w.three()
		for version := 2; version < 8; version++ {
			w.configure(version, key, fmt.Sprintf("key-%d", version))
			w.store.Refuse(n1, version%2 == 0)
			w.pass(3 * time.Second)
			for _, address := range w.addresses() {
				for known := 2; known <= version; known++ {
					r := w.ask(address+":80", http.MethodGet, "/draws/1", "", withKey(fmt.Sprintf("key-%d", known)))
					if want := known == version; (r.status == http.StatusOK) != want {
						t.Errorf("version %d at node %s: key-%d gets %v, want accepted %t", version, address, known, r, want)
					}
				}
			}
		}
	})
}

// The calls that nodes make to the store at rest grow with the failure domains,
// not with the nodes.
func TestStoreCallsAtRest(t *testing.T) {
	const (
		rest = 60 * time.Second
		// A reader compares every 1.2 s, watches every 3.25 s, registers and looks
		// after the duty.
		readerLimit = 250
		// Another node renews its entry and lists the others every 6 s.
		otherLimit = 40
	)
	inWorld(t, func(w *world) {
		w.three()
		w.pass(10 * time.Second)
		before := map[string]int{}
		for _, address := range w.addresses() {
			before[address] = w.store.Calls(address)
		}
		w.pass(rest)
		for _, address := range w.addresses() {
			limit := otherLimit
			if address == n1 {
				limit = readerLimit
			}
			if calls := w.store.Calls(address) - before[address]; calls > limit {
				t.Errorf("node %s made %d calls in %s, want at most %d", address, calls, rest, limit)
			}
		}
	})
}

// A leaving upstream gets no new work within three seconds, whether it says so
// or only vanishes, also from a node that the store turns away.
func TestLeavingUpstream(t *testing.T) {
	draining := func(w *world) { w.register("d1", "desk", "", "10.2.0.1:80", "draining") }
	gone := func(w *world) { w.store.Delete("servers/d1") }
	refused := func(w *world) {
		w.store.Refuse(n1, true) // until now the reader
		w.pass(time.Second)
	}
	// A reader that stopped followed a node that still followed it, and neither
	// read the store.
	stopping := func(w *world) {
		w.upstreams["g1"].Gap, w.upstreams["g2"].Gap = time.Second, time.Second
		go w.nodes["n1"].Stop(context.Background())
		w.pass(2 * time.Second)
		go w.ask(n1+":80", http.MethodPost, "/rulings/1", "prompt", prompt(200)) // keeps it for 2.5 s
	}
	for name, c := range map[string]struct{ trouble, leave func(w *world) }{
		"draining, reader refused":  {refused, draining},
		"gone, reader refused":      {refused, gone},
		"draining, reader stopping": {stopping, draining},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.three()
				c.trouble(w)
				c.leave(w)
				w.pass(3 * time.Second)
				before := len(w.runs("d1"))
				for range 10 {
					for _, address := range w.addresses()[1:] {
						w.want(w.ask(address+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer of d2")
					}
				}
				if after := len(w.runs("d1")); after != before {
					t.Errorf("%d requests reached the upstream that left", after-before)
				}
			})
		})
	}
}

// An entry that another writer spoilt names no upstream, and the others hold.
func TestMalformedEntries(t *testing.T) {
	inWorld(t, func(w *world) {
		w.ready()
		for i, text := range []string{"", "{", "[]", `{"service":5}`, `{"service":"desk","address":"x","zone":"a","state":"ready"}`, "\xff\xfe"} {
			w.store.Set(fmt.Sprintf("servers/bad%d", i), []byte(text))
		}
		w.store.Set("servers/d1", []byte(`{"service":"desk","address":"10.2.0.1:80","zone":"a","state":"asleep"}`))
		w.pass(time.Second)
		for range 4 {
			w.want(w.ask(n1+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer of d2")
		}
	})
}
