package entry_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// startThreeNodes starts the upstreams of startFleet and three nodes.
func (f *testFleet) startThreeNodes() {
	f.startNode("n2", n2)
	f.startNode("n3", n3)
	f.startFleet()
	f.advance(2 * time.Second)
}

func (f *testFleet) nodeAddresses() (nodeAddresses []string) { return []string{n1, n2, n3} }

// A new configuration is in force on every node in time, even on a node whose
// store calls are refused, and after the store has compacted its history.
func TestConfigurationReachesEveryNode(t *testing.T) {
	for name, fault := range map[string]func(f *testFleet){
		"calm":                   func(*testFleet) {},
		"store refuses reader":   func(f *testFleet) { f.store.Refuse(n1, true) },
		"store refuses follower": func(f *testFleet) { f.store.Refuse(n2, true) },
		"store refuses two":      func(f *testFleet) { f.store.Refuse(n1, true); f.store.Refuse(n3, true) },
		"history compacted":      func(f *testFleet) { f.store.Compact() },
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

// A withdrawn key is rejected in time by every node, including one that is cut off
// from the store and from its peers. That node answers 503, also on an anonymous route,
// where an upstream would be told the workspace that had the key. Without a key,
// anonymous routes continue to work.
func TestWithdrawnKeyIsRejected(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startThreeNodes()
		f.store.Refuse(n3, true)
		f.packets.SetPartitioned(n3, true)
		f.network.Cut(n3, n1)
		f.network.Cut(n3, n2)
		f.configure(2, "another")
		before := 0
		for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += 500 * time.Millisecond {
			for _, address := range f.nodeAddresses() {
				r := f.request(address+":80", http.MethodGet, "/draws/1", "", nil)
				open := f.request(address+":80", http.MethodGet, "/open/2", "", nil)
				if elapsed >= 5*time.Second && r.status == http.StatusOK {
					t.Errorf("node %s accepts a withdrawn key after %s", address, elapsed)
				}
				if elapsed >= 5*time.Second && address == n3 && (r.status != http.StatusServiceUnavailable || open.status != http.StatusServiceUnavailable) {
					t.Errorf("the isolated node responds with %v, on an anonymous route with %v, want 503", r, open)
				}
				if elapsed >= 5*time.Second && address != n3 && open.status != http.StatusOK {
					t.Errorf("node %s, anonymous route with a withdrawn key after %s: %v", address, elapsed, open)
				}
				if r := f.request(address+":80", http.MethodGet, "/open/1", "", noKey); r.status != http.StatusOK {
					t.Errorf("node %s, anonymous route after %s: %v", address, elapsed, r)
				}
			}
			if elapsed == 5*time.Second {
				before = f.openRunsFor("alpha")
			}
			f.advance(500 * time.Millisecond)
		}
		if n := f.openRunsFor("alpha") - before; n > 0 {
			t.Errorf("%d requests on an anonymous route ran for the workspace that had the key, later than 5 s after its withdrawal", n)
		}
	})
}

// openRunsFor returns the number of requests with the path /open/2 that ran for a workspace.
func (f *testFleet) openRunsFor(workspace string) (n int) {
	for id := range f.upstreams {
		for _, run := range f.runs(id) {
			if run.Path == "/open/2" && run.Tenant == workspace {
				n++
			}
		}
	}
	return n
}

// A node whose store calls are refused continues to serve, because its peers
// confirm that its configuration is the newest.
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

// Guards against transfers of the configuration that are cut off by a timeout
// and begin again from the first byte, so that a node with a slow link never
// applies a large configuration.
func TestLargeConfigurationReachesNodesWithSlowLinks(t *testing.T) {
	const (
		slowLink       = 10e6 // bits a second
		changes        = 4
		bound          = 3 * time.Second // the default of Bounds.Configuration
		requestTimeout = time.Second
	)
	for name, c := range map[string]struct {
		slow   []string
		routes int
	}{
		"followers":          {[]string{n2, n3}, 2850},
		"all nodes":          {[]string{n1, n2, n3}, 2850},
		"followers, longest": {[]string{n2, n3}, 4800}, // nearly as long as the store's largest value
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startThreeNodes()
				f.network.SetBuffer(math.MaxInt)
				for _, address := range c.slow {
					f.network.SetRate(address, slowLink)
				}
				for version := 2; version < 2+changes; version++ {
					newKey := fmt.Sprintf("key-%d", version)
					f.configureRoutes(version, c.routes, key, newKey)
					f.advance(bound)
					for _, address := range f.nodeAddresses() {
						ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
						r := f.requestContext(ctx, address+":80", http.MethodGet, "/draws/1", "", keyHeader(newKey))
						cancel()
						if r.status != http.StatusOK {
							t.Errorf("version %d isn't in force at node %s after %s: %v", version, address, bound, r)
						}
					}
				}
			})
		})
	}
}

// A node never returns to an older configuration, whichever of the store and the
// peers it gets its updates from.
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

// The store calls of an idle fleet grow with the number of failure domains, not
// with the number of nodes: only one node per domain polls the store.
func TestStoreCallsAtRest(t *testing.T) {
	const (
		idleTime = 60 * time.Second
		// The store reader compares the configuration every 1.2 s, watches upstreams
		// every second, renews its entry and lists the nodes every 6 s. It is also the
		// leader, which renews its lease and stores the totals of each usage window.
		readerLimit = 250
		// Another node renews its entry and lists the nodes every 6 s.
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

// Guards against nodes that all read the store, and all compete for the leader's
// lease, until they know each other. The start of a fleet costs a few calls a node,
// of which stale reads and renewals are cheap.
func TestStoreCallsAtStart(t *testing.T) {
	const (
		nodes = 40
		// A node grants its lease, writes its entry, and reads the configuration and
		// the upstreams once or twice. The reader and the leader have a share more.
		limitPerNode = 6
		storeDelay   = 30 * time.Millisecond // one way
	)
	runWithFleet(t, func(f *testFleet) {
		f.network.SetDelay(func(_, _ netip.Addr) time.Duration { return storeDelay })
		f.configure(1, key)
		f.startDesk("d1", "10.2.0.1:80")
		for i := range nodes {
			f.startNode(fmt.Sprintf("n%02d", i), fmt.Sprintf("10.1.1.%d", i+1))
			f.advance(7 * time.Millisecond)
		}
		f.advance(2 * time.Second)
		for i := range nodes {
			f.expect(f.request(fmt.Sprintf("10.1.1.%d:81", i+1), http.MethodGet, "/v1/readiness", "", nil), http.StatusOK, "")
		}
		f.advance(8 * time.Second)
		full := 0
		for kind, calls := range f.store.CallsByKind() {
			if kind != "kv-range stale" && kind != "kv-keep" {
				full += calls
			}
		}
		if full > nodes*limitPerNode {
			t.Errorf("%d calls at the full price by %d nodes, want at most %d a node: %v", full, nodes, limitPerNode, f.store.CallsByKind())
		}
	})
}

// Three seconds after an upstream starts draining or its entry disappears, no
// node sends it requests, even if the store reader fails or stops meanwhile.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	draining := func(f *testFleet) { f.registerUpstream("d1", "desk", "", "10.2.0.1:80", "draining") }
	gone := func(f *testFleet) { f.store.Delete("servers/d1") }
	refused := func(f *testFleet) {
		f.store.Refuse(n1, true) // the store reader until then
		f.advance(time.Second)
	}
	// Guards against two nodes that follow each other, so that neither reads the
	// store: a store reader that is stopping, and a node that still follows it.
	stopping := func(f *testFleet) {
		f.upstreams["g1"].Gap, f.upstreams["g2"].Gap = time.Second, time.Second
		go f.nodes["n1"].Stop(context.Background())
		f.advance(2 * time.Second)
		go f.request(n1+":80", http.MethodPost, "/rulings/1", "prompt", promptHeaders(200)) // runs until its deadline after 2.5 s, and n1 waits for it
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
					t.Errorf("%d requests reached the leaving upstream", after-before)
				}
			})
		})
	}
}

// Malformed upstream entries are ignored, and the other upstreams stay in use.
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

// Guards against a time limit for the whole list of upstreams, which a node with a
// slow link exceeds in every attempt.
func TestLargeUpstreamListReachesNodeWithSlowLink(t *testing.T) {
	const (
		slowLink  = 4e6 // bits a second
		upstreams = 3300
		bound     = 10 * time.Second // twice what the list takes on the link
	)
	runWithFleet(t, func(f *testFleet) {
		f.network.SetBuffer(math.MaxInt)
		f.network.SetRate(n1, slowLink)
		f.startFleet()
		for i := range upstreams {
			f.registerUpstream(fmt.Sprintf("x%d", i), "desk", "", fmt.Sprintf("10.4.%d.%d:80", i/250, i%250+1), "draining")
		}
		f.startNode("n2", n2)
		f.network.SetRate(n2, slowLink)
		f.network.Cut(n1, n2) // n2 must read the store itself
		f.packets.SetPartitioned(n2, true)
		f.advance(bound)
		f.expect(f.request(n2+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
	})
}
