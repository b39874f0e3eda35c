package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

// Guards against a configuration that goes back with a store that comes back from an older
// copy: against a withdrawn key that works again, at nodes that have withdrawn it and at one
// that starts then, and against a configuration that isn't taken because the operator
// writes it at a lower revision than before.
func TestConfigurationDoesntGoBackWithStore(t *testing.T) {
	const bound = 3 * time.Second // the default of Bounds.Configuration
	for name, rewrittenAfter := range map[string]time.Duration{"written again soon": time.Second, "written again late": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, "withdrawn", key)
				f.startThreeNodes()
				f.configure(3, "withdrawn", key)
				f.advance(2 * time.Second)
				old := f.store.Copy()
				for i := range 400 {
					f.store.Set("op/other", []byte(fmt.Sprint(i))) // revisions that are given out again
				}
				f.configure(5, key)
				f.advance(4 * time.Second)
				f.store.Restore(old)
				restored := time.Now()
				f.startNode("n4", "10.1.0.4")
				addresses := append(f.nodeAddresses(), "10.1.0.4")
				for step := 0; time.Since(restored) < rewrittenAfter+bound; step++ {
					if step == int(rewrittenAfter/(100*time.Millisecond)) {
						f.configure(5, key)
					}
					for _, address := range addresses {
						if r := f.request(address+":80", http.MethodGet, "/draws/1", "", keyHeader("withdrawn")); r.status == http.StatusOK {
							t.Errorf("node %s serves a withdrawn key %s after the store came back", address, time.Since(restored))
						}
					}
					f.advance(100 * time.Millisecond)
				}
				for _, address := range addresses {
					f.expect(f.request(address+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
				}
				f.configure(7, key, "added")
				f.advance(bound)
				for _, address := range addresses {
					f.expect(f.request(address+":80", http.MethodGet, "/draws/1", "", keyHeader("added")), http.StatusOK, "answer")
				}
			})
		})
	}
}

// Guards against nodes that stop to serve, or take the configuration for outdated, because
// the store came back from a copy that has the same one.
func TestUnchangedConfigurationOutlivesEra(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startThreeNodes()
		f.advance(3 * time.Second)
		for range 3 {
			f.store.Restore(f.store.Copy())
			for range 60 {
				for _, address := range f.nodeAddresses() {
					f.expect(f.request(address+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
				}
				f.advance(200 * time.Millisecond)
			}
		}
	})
}

// Guards against a node that believes an older copy of the store because it starts before it
// has heard of the others, and against one that waits for others that there are not.
func TestNodeStartsInLaterEra(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startThreeNodes()
		f.store.Restore(f.store.Copy())
		for _, name := range []string{"n1", "n2", "n3"} {
			go f.nodes[name].Stop(context.Background())
		}
		f.advance(4 * time.Second)
		f.startNode("n1", n1)
		f.advance(3 * time.Second)
		f.expect(f.request(n1+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
		if entries := f.store.Keys(platform.ConfigKey); len(entries) != 1 {
			t.Errorf("%d configurations in the store, want 1", len(entries))
		}
	})
}

// Guards against requests to upstreams that have left, because the store came back from a
// copy in which they are ready: at nodes that know it, and at one that starts then. An
// upstream that the copy lacks is used until it writes again, and changes in the new era
// are noticed although their revisions were given out before.
func TestUpstreamsDontGoBackWithStore(t *testing.T) {
	const drainTime = 3 * time.Second
	for name, leave := range map[string]func(f *testFleet, id, address string){
		"draining": func(f *testFleet, id, address string) {
			f.registerUpstreamStartedAt(id, "desk", "", address, "draining", f.start)
		},
		"removed": func(f *testFleet, id, _ string) { f.store.Delete(platform.UpstreamPrefix + id) },
		"draining, then removed": func(f *testFleet, id, address string) {
			f.registerUpstreamStartedAt(id, "desk", "", address, "draining", f.start)
			f.advance(time.Second)
			f.store.Delete(platform.UpstreamPrefix + id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startDesk("leaving", "10.2.0.7:80")
				f.startThreeNodes()
				f.advance(3 * time.Second)
				old := f.store.Copy()
				for i := range 400 {
					f.store.Set("op/other", []byte(fmt.Sprint(i))) // revisions that are given out again
				}
				leave(f, "leaving", "10.2.0.7:80")
				f.store.Delete(platform.UpstreamPrefix + "d1")
				f.store.Delete(platform.UpstreamPrefix + "d2")
				f.startDesk("new", "10.2.0.8:80")
				f.advance(drainTime)
				before := len(f.runs("leaving")) + len(f.runs("d1")) + len(f.runs("d2"))
				f.store.Restore(old)
				f.startNode("n4", "10.1.0.4")
				addresses := append(f.nodeAddresses(), "10.1.0.4")
				for step := range 40 {
					if step == 15 { // what the upstreams wrote is written again
						f.registerUpstreamStartedAt("new", "desk", "", "10.2.0.8:80", "ready", time.Now().Add(-1500*time.Millisecond-drainTime))
						for _, id := range []string{"leaving", "d1", "d2"} {
							f.store.Delete(platform.UpstreamPrefix + id)
						}
					}
					for _, address := range addresses {
						r := f.request(address+":80", http.MethodGet, "/draws/1", "", nil)
						if address != "10.1.0.4" && r.status != http.StatusOK {
							t.Errorf("step %d: node %s: %v, want the upstream that came since the copy", step, address, r)
						}
					}
					f.advance(100 * time.Millisecond)
				}
				if n := len(f.runs("leaving")) + len(f.runs("d1")) + len(f.runs("d2")); n > before {
					t.Errorf("%d requests reached upstreams that have left", n-before)
				}
				f.startDesk("later", "10.2.0.9:80")
				f.store.Delete(platform.UpstreamPrefix + "new")
				f.advance(drainTime)
				sent := len(f.runs("new"))
				for _, address := range addresses {
					f.expect(f.request(address+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer of later")
				}
				if n := len(f.runs("new")); n > sent {
					t.Errorf("%d requests reached an upstream that left in the new era", n-sent)
				}
			})
		})
	}
}

// Guards against a usage window that is reported twice with different counts, since the
// store has lost the totals of the first report, or what they were made of, and another node
// leads then. Windows after that are reported as before.
func TestUsageIsReportedOnceAcrossEras(t *testing.T) {
	for step := range 10 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.domains = map[string]string{"n2": "b", "n3": "c"}
				f.startThreeNodes()
				send := func(rounds int) {
					for range rounds {
						for _, address := range f.nodeAddresses() {
							f.request(address+":80", http.MethodPost, "/entries/1", "", nil)
						}
						f.advance(100 * time.Millisecond)
					}
				}
				send(100)
				f.advance(time.Duration(step) * 500 * time.Millisecond)
				for drill := range 3 {
					old := f.store.Copy()
					send(80) // reported in part
					cut := f.nodeAddresses()[drill]
					f.store.Refuse(cut, true)
					f.store.Restore(old)
					send(40)
					f.store.Refuse(cut, false)
					send(40)
				}
				windows, _ := f.cloud.Windows()
				f.advance(30 * time.Second)
				if after, _ := f.cloud.Windows(); after < windows+4 {
					t.Errorf("%d windows reported in 30 s, want at least 4", after-windows)
				}
				for _, violation := range f.cloud.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// Guards against quarantines that all nodes forget, since the store has lost them and all
// nodes start.
func TestQuarantinesAreStoredAgainInLaterEra(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startPoisonedDesks()
		old := f.store.Copy()
		runs := f.sendPoison()
		f.advance(time.Second)
		f.store.Restore(old)
		f.advance(3 * time.Second)
		for i, name := range []string{"n1", "n2", "n3"} {
			f.store.Refuse(f.nodeAddresses()[i], true) // nodes that stop write nothing more
			go f.nodes[name].Stop(context.Background())
		}
		f.advance(4 * time.Second)
		for _, address := range f.nodeAddresses() {
			f.store.Refuse(address, false)
		}
		f.startNode("n1", n1)
		f.startNode("n2", n2)
		f.startNode("n3", n3)
		f.advance(4 * time.Second)
		f.expectQuarantined(runs)
	})
}

// Guards against usage windows that a leader leaves out, and a long start, after all nodes
// were killed in an era that began long before.
func TestRestartInLaterEraMissesNoWindow(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.store.Restore(f.store.Copy())
		f.startThreeNodes()
		f.advance(30 * time.Second)
		for i, name := range []string{"n1", "n2", "n3"} {
			f.network.Crash(f.nodeAddresses()[i])
			f.store.Refuse(f.nodeAddresses()[i], true) // nothing is written at the end
			go f.nodes[name].Stop(context.Background())
		}
		f.advance(4 * time.Second)
		for i, name := range []string{"n1", "n2", "n3"} {
			f.store.Refuse(f.nodeAddresses()[i], false)
			f.startNode(name, f.nodeAddresses()[i])
		}
		f.advance(time.Second)
		f.expect(f.request(n1+":81", http.MethodGet, "/v1/readiness", "", nil), http.StatusOK, "")
		before, _ := f.cloud.Windows()
		f.advance(20 * time.Second)
		// Four windows end in that time, and one ended while there were no nodes.
		if after, _ := f.cloud.Windows(); after < before+4 {
			t.Errorf("%d windows reported in 20 s, want at least 4", after-before)
		}
	})
}
