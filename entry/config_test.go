package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// three starts three nodes beside the upstreams of ready.
func (f *testFleet) startThreeNodes() {
	f.startNode("n2", n2)
	f.startNode("n3", n3)
	f.startFleet()
	f.advance(2 * time.Second)
}

func (f *testFleet) nodeAddresses() (nodeAddresses []string) { return []string{n1, n2, n3} }

// A configuration is in force on every node within its bound, also on one that
// the store turns away and after the history was dropped.
func TestConfigurationReachesEveryNode(t *testing.T) {
	for name, fault := range map[string]func(f *testFleet){
		"calm":                   func(*testFleet) {},
		"store refuses reader":   func(f *testFleet) { f.store.Refuse(n1, true) },
		"store refuses follower": func(f *testFleet) { f.store.Refuse(n2, true) },
		"store refuses two":      func(f *testFleet) { f.store.Refuse(n1, true); f.store.Refuse(n3, true) },
		"history dropped":        func(f *testFleet) { f.store.Compact() },
		"datagrams lost":         func(f *testFleet) { f.packets.SetPartitioned(n1, true); f.packets.SetPartitioned(n2, true) },
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startThreeNodes()
				fault(f)
				f.advance(4 * time.Second)
				f.configure(2, key, "key-two")
				f.advance(3 * time.Second)
				for _, address := range f.nodeAddresses() {
					r := f.request(address+":80", http.MethodGet, "/draws/1", "", keyHeader("key-two"))
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
func TestRevokedKeyIsRejected(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startThreeNodes()
		f.store.Refuse(n3, true)
		f.packets.SetPartitioned(n3, true)
		f.network.Cut(n3, n1)
		f.network.Cut(n3, n2)
		f.configure(2, "another")
		for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += 500 * time.Millisecond {
			for _, address := range f.nodeAddresses() {
				r := f.request(address+":80", http.MethodGet, "/draws/1", "", nil)
				if elapsed >= 5*time.Second && r.status == http.StatusOK {
					t.Errorf("node %s serves a withdrawn key after %s", address, elapsed)
				}
				if elapsed >= 5*time.Second && address == n3 && r.status != http.StatusServiceUnavailable {
					t.Errorf("the node that is cut off answers %v, want 503", r)
				}
				if r := f.request(address+":80", http.MethodGet, "/open/1", "", nil); r.status != http.StatusOK {
					t.Errorf("node %s, open route after %s: %v", address, elapsed, r)
				}
			}
			f.advance(500 * time.Millisecond)
		}
	})
}

// While the store turns one node away, the others tell it that its configuration
// is the newest, and it serves on.
func TestPeersConfirmConfiguration(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startThreeNodes()
		f.store.Refuse(n1, true)
		f.advance(20 * time.Second)
		for _, address := range f.nodeAddresses() {
			f.expect(f.request(address+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
		}
	})
}

// A configuration never goes back, whatever arrives later.
func TestConfigurationNeverReverts(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startThreeNodes()
		for version := 2; version < 8; version++ {
			f.configure(version, key, fmt.Sprintf("key-%d", version))
			f.store.Refuse(n1, version%2 == 0)
			f.advance(3 * time.Second)
			for _, address := range f.nodeAddresses() {
				for known := 2; known <= version; known++ {
					r := f.request(address+":80", http.MethodGet, "/draws/1", "", keyHeader(fmt.Sprintf("key-%d", known)))
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
		idleTime = 60 * time.Second
		// A reader compares every 1.2 s, watches every 3.25 s, registers and looks
		// after the duty.
		readerLimit = 250
		// Another node renews its entry and lists the others every 6 s.
		otherLimit = 40
	)
	runWithFleet(t, func(f *testFleet) {
		f.startThreeNodes()
		f.advance(10 * time.Second)
		before := map[string]int{}
		for _, address := range f.nodeAddresses() {
			before[address] = f.store.Calls(address)
		}
		f.advance(idleTime)
		for _, address := range f.nodeAddresses() {
			limit := otherLimit
			if address == n1 {
				limit = readerLimit
			}
			if calls := f.store.Calls(address) - before[address]; calls > limit {
				t.Errorf("node %s made %d calls in %s, want at most %d", address, calls, idleTime, limit)
			}
		}
	})
}

// A leaving upstream gets no new work within three seconds, whether it says so
// or only vanishes, also from a node that the store turns away.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	draining := func(f *testFleet) { f.registerUpstream("d1", "desk", "", "10.2.0.1:80", "draining") }
	gone := func(f *testFleet) { f.store.Delete("servers/d1") }
	refused := func(f *testFleet) {
		f.store.Refuse(n1, true) // until now the reader
		f.advance(time.Second)
	}
	// A reader that stopped followed a node that still followed it, and neither
	// read the store.
	stopping := func(f *testFleet) {
		f.upstreams["g1"].Gap, f.upstreams["g2"].Gap = time.Second, time.Second
		go f.nodes["n1"].Stop(context.Background())
		f.advance(2 * time.Second)
		go f.request(n1+":80", http.MethodPost, "/rulings/1", "prompt", promptHeaders(200)) // keeps it for 2.5 s
	}
	for name, c := range map[string]struct{ fault, leave func(f *testFleet) }{
		"draining, reader refused":  {refused, draining},
		"gone, reader refused":      {refused, gone},
		"draining, reader stopping": {stopping, draining},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startThreeNodes()
				c.fault(f)
				c.leave(f)
				f.advance(3 * time.Second)
				before := len(f.runs("d1"))
				for range 10 {
					for _, address := range f.nodeAddresses()[1:] {
						f.expect(f.request(address+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer of d2")
					}
				}
				if after := len(f.runs("d1")); after != before {
					t.Errorf("%d requests reached the upstream that left", after-before)
				}
			})
		})
	}
}

// An entry that another writer spoilt names no upstream, and the others hold.
func TestMalformedUpstreamEntries(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startFleet()
		for i, text := range []string{"", "{", "[]", `{"service":5}`, `{"service":"desk","address":"x","zone":"a","state":"ready"}`, "\xff\xfe"} {
			f.store.Set(fmt.Sprintf("servers/bad%d", i), []byte(text))
		}
		f.store.Set("servers/d1", []byte(`{"service":"desk","address":"10.2.0.1:80","zone":"a","state":"asleep"}`))
		f.advance(time.Second)
		for range 4 {
			f.expect(f.request(n1+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer of d2")
		}
	})
}
