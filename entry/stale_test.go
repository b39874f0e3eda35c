package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
)

// drainTime is the time after which no node may send a request to an upstream that
// has left, of the strictest site.
const drainTime = 3 * time.Second

// startDesks starts three nodes and three plain upstreams, d0 to d2.
func (f *testFleet) startDesks() {
	f.startNode("n2", n2)
	f.startNode("n3", n3)
	f.configure(1, key)
	for i := range 3 {
		f.startUpstream(fmt.Sprintf("d%d", i), "desk", "", fmt.Sprintf("10.2.0.%d:80", i+1), &platformtest.Upstream{})
	}
	f.startNodeAndWait("n1", n1)
}

// expectNoRunsAt sends requests to nodes and checks that none reaches an upstream.
func (f *testFleet) expectNoRunsAt(id string, addresses ...string) {
	f.t.Helper()
	before := len(f.runs(id))
	for range 8 {
		for _, address := range addresses {
			f.expect(f.request(address+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
		}
	}
	if late := len(f.runs(id)) - before; late > 0 {
		f.t.Errorf("%d requests reached %s later than %s after it had left", late, id, drainTime)
	}
}

// leave makes an upstream leave now: it reports that it drains, or its entry is
// removed without a report.
func (f *testFleet) leave(id, address string, reported bool) {
	if reported {
		f.registerUpstream(id, "desk", "", address, "draining")
	} else {
		f.store.Delete("servers/" + id)
	}
}

// Guards against upstreams that get requests after they have left, because a node
// waits for news of them on a connection that has gone silent, to the store or to the
// store reader. The silence comes at different moments of a watch.
func TestSilentConnectionsDontHideLeavingUpstreams(t *testing.T) {
	toStore := func(f *testFleet) {
		for _, address := range f.nodeAddresses() {
			f.network.Silence(address, storeAddress)
		}
	}
	toNodes := func(f *testFleet) {
		f.network.Silence(n1, n2)
		f.network.Silence(n1, n3)
		f.network.Silence(n2, n3)
	}
	for name, silence := range map[string]func(f *testFleet){
		"to the store":  toStore,
		"between nodes": toNodes,
		"all":           func(f *testFleet) { toStore(f); toNodes(f) },
	} {
		for _, reported := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reported %t", name, reported), func(t *testing.T) {
				runWithFleet(t, func(f *testFleet) {
					f.startDesks()
					for i := range 16 {
						f.advance(2*time.Second + time.Duration(i)*210*time.Millisecond)
						silence(f)
						f.advance(time.Duration(i%4) * 40 * time.Millisecond)
						f.leave("d0", "10.2.0.1:80", reported)
						f.advance(drainTime)
						f.expectNoRunsAt("d0", f.nodeAddresses()...)
						f.registerUpstream("d0", "desk", "", "10.2.0.1:80", "ready")
					}
				})
			})
		}
	}
}

// Guards against nodes that are misled by another one's outage. The store reader is cut
// off from the store, which is sound; when it is back, it finds the entry of an upstream
// removed and mustn't pass on a grace period to nodes that had taken the upstream out.
func TestCutReaderDoesntReviveRemovedUpstream(t *testing.T) {
	const rounds = 8
	for cut := 1600 * time.Millisecond; cut <= 4*time.Second; cut += 400 * time.Millisecond {
		t.Run(cut.String(), func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startDesks()
				for i := range rounds {
					f.advance(5*time.Second + time.Duration(i)*430*time.Millisecond)
					f.network.Silence(n1, storeAddress)
					f.network.Cut(n1, storeAddress)
					f.network.Cut(storeAddress, n1)
					f.advance(100 * time.Millisecond)
					f.leave("d0", "10.2.0.1:80", false)
					removedAt := time.Now()
					f.advance(cut - 100*time.Millisecond)
					f.network.Heal(n1, storeAddress)
					f.network.Heal(storeAddress, n1)
					if wait := drainTime - time.Since(removedAt); wait > 0 {
						f.advance(wait)
					}
					for range 12 {
						f.expectNoRunsAt("d0", n2, n3)
						f.advance(250 * time.Millisecond)
					}
					f.registerUpstream("d0", "desk", "", "10.2.0.1:80", "ready")
				}
			})
		})
	}
}

// Guards against the changes of a watch whose answer is held up on its way, which undo
// later ones that the node has learnt from another one meanwhile.
func TestLateWatchDoesntUndoLaterChanges(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startDesks()
		for i := range 12 {
			f.advance(3*time.Second + time.Duration(i)*110*time.Millisecond)
			f.network.Cut(storeAddress, n1) // calls of n1 arrive, and their answers don't
			f.advance(100 * time.Millisecond)
			f.registerUpstream("d0", "desk", "", "10.2.0.1:80", "ready") // the watch of n1 is answered
			f.advance(50 * time.Millisecond)
			f.leave("d0", "10.2.0.1:80", false)
			removedAt := time.Now()
			f.advance(1300 * time.Millisecond)
			f.network.Heal(storeAddress, n1)
			f.advance(drainTime - time.Since(removedAt))
			f.expectNoRunsAt("d0", f.nodeAddresses()...)
			f.registerUpstream("d0", "desk", "", "10.2.0.1:80", "ready")
		}
	})
}

// Guards against the removal of upstreams whose entries expire in an outage of the
// store, as all of them would at once. They register again after it.
func TestUpstreamsOutliveStoreOutage(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startDesks()
		f.advance(3 * time.Second)
		for _, address := range f.nodeAddresses() {
			f.store.Refuse(address, true)
		}
		f.advance(5 * time.Second)
		for i := range 3 {
			f.store.Delete(fmt.Sprintf("servers/d%d", i))
		}
		for _, address := range f.nodeAddresses() {
			f.store.Refuse(address, false)
		}
		for range 6 {
			f.advance(250 * time.Millisecond)
			for _, address := range f.nodeAddresses() {
				f.expect(f.request(address+":80", http.MethodGet, "/open/1", "", noKey), http.StatusOK, "answer")
			}
		}
	})
}
