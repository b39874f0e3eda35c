package distribution_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/storetest"
)

// Guards against changes that take too long to reach all nodes, against traffic
// per node and store calls that grow with the number of nodes, and against a
// RolloutStatus for which one node calls all others.
func TestPropagationTimeAndCost(t *testing.T) {
	storeCalls := map[int]float64{}
	for _, size := range []struct{ n, domains int }{{9, 3}, {48, 4}, {192, 4}, {390, 4}} {
		if testing.Short() && size.n > 48 {
			continue
		}
		runFleet(t, size.n, size.domains, func(t *testing.T, f *testFleet) {
			f.mu.Lock()
			f.delay = 30 * time.Millisecond // as between regions
			f.mu.Unlock()
			f.server.SetDelay(20 * time.Millisecond)
			time.Sleep(5 * time.Second)
			const period = 8 * time.Second // with one change, which is a rate of 11,000 a day
			var propagation time.Duration
			calls, bytes, fromStore := f.count(func() {
				start := time.Now()
				propagation = f.await("change", 6*time.Second, hasRevision(f.applyNext()))
				time.Sleep(period - time.Since(start))
			})
			perSecond := func(count int) float64 { return float64(count) / period.Seconds() }
			// Each message counts for its sender and for its receiver.
			messages, perNode := 2*perSecond(calls)/float64(size.n), 2*perSecond(bytes)/float64(size.n)
			storeCalls[size.n] = perSecond(fromStore)
			var age time.Duration
			f.await("fresh", 0, func(_ int, p *process) bool {
				age = max(age, time.Since(p.ConfirmedAt()))
				return true
			})
			if age > 4*time.Second {
				t.Errorf("%d nodes: a node was last confirmed %v ago", size.n, age)
			}
			t.Logf("%d nodes: %.1f messages/s, %.0f bytes/s a node, %.1f store calls/s; change on all nodes after %v, confirmed at most %v ago",
				size.n, messages, perNode, storeCalls[size.n], propagation, age)
			if messages > 8 || perNode > 1800 {
				t.Errorf("%d nodes: %.1f messages/s, %.0f bytes/s a node", size.n, messages, perNode)
			}
			if fullDocuments := f.metrics.GetOrCreateCounter("guavagauge_distribution_whole_documents_total").Get(); fullDocuments != uint64(size.n) {
				t.Errorf("%d nodes: %d full documents, want one for each node's start", size.n, fullDocuments)
			}
			result, err := f.node(3).RolloutStatus(t.Context(), 2)
			if err != nil || len(result.Updated) != size.n {
				t.Errorf("of %d nodes, %d have revision 2, %v", size.n, len(result.Updated), err)
			}
			for from, surveys := range f.surveys {
				if surveys > 8 {
					t.Errorf("%s made %d Survey calls for one RolloutStatus", name(from), surveys)
				}
			}
		})
	}
	for n, calls := range storeCalls { // 2 readers in each of 3 or 4 domains, with 2 reads and one watch per second each
		if calls > storeCalls[9]*4/3+3 {
			t.Errorf("%.1f store calls/s at %d nodes, %.1f at 9", calls, n, storeCalls[9])
		}
	}
}

// Guards against changes that don't reach every node, against nodes that move to
// a lower revision, and against outdated documents that count as confirmed, when
// readers, the store or the network fail.
func TestFollowersUnderFaults(t *testing.T) {
	const n, domains, victim = 12, 3, 7
	involvesVictim := func(from, to int) bool { return from == victim || to == victim }
	readers := func(f *testFleet) (found []int) {
		for i := range n {
			if f.server.CallsOf(name(i), storetest.Watch) > 0 {
				found = append(found, i)
			}
		}
		return found
	}
	fullDocuments := func(f *testFleet) uint64 {
		return f.metrics.GetOrCreateCounter("guavagauge_distribution_whole_documents_total").Get()
	}
	for _, test := range []struct {
		name string
		do   func(t *testing.T, f *testFleet)
	}{
		{"all readers killed", func(t *testing.T, f *testFleet) {
			time.Sleep(2 * time.Second) // until the readers have started
			killed := readers(f)
			if len(killed) != 2*domains {
				t.Fatalf("%d readers, want two in each domain", len(killed))
			}
			for _, i := range killed {
				f.kill(i)
			}
			revision := f.applyNext()
			time.Sleep(removalDelay)
			f.mu.Lock()
			f.members = slices.DeleteFunc(slices.Clone(f.members), func(m distribution.Member) bool {
				return f.nodes[m.Address] == nil
			})
			f.mu.Unlock()
			f.await("new readers take over", 6*time.Second, hasRevision(revision))
			f.await("fresh", 4*time.Second, isFresh)
			time.Sleep(10 * time.Second)
			f.server.ResetCalls()
			time.Sleep(10 * time.Second)
			f.await("fresh all the time", 0, isFresh)
		}},
		{"failure domain cut off from the store", func(_ *testing.T, f *testFleet) {
			for i := 0; i < n; i += domains {
				f.server.Partition(name(i), storetest.Both)
			}
			for range 20 {
				f.await("change", 6*time.Second, hasRevision(f.applyNext()))
				time.Sleep(time.Second)
				f.await("fresh all the time", 0, isFresh)
			}
		}},
		{"store down", func(_ *testing.T, f *testFleet) {
			f.server.SetDown(true)
			f.await("reported down", 10*time.Second, func(_ int, p *process) bool {
				readers, down := p.ReaderHealth()
				return readers > domains && down == readers
			})
			f.await("no longer fresh", 5*time.Second, func(i int, p *process) bool { return !isFresh(i, p) })
			time.Sleep(time.Hour)
			f.server.SetDown(false)
			f.await("change", 6*time.Second, hasRevision(f.applyNext()))
			f.await("fresh", 6*time.Second, isFresh)
			f.await("no longer reported down", 10*time.Second, func(_ int, p *process) bool {
				_, down := p.ReaderHealth()
				return down == 0
			})
		}},
		{"nodes restart while the store returns an old revision", func(_ *testing.T, f *testFleet) {
			old := f.server.Revision()
			f.await("change", 6*time.Second, hasRevision(f.applyNext()))
			f.server.SetReadRevision(old)
			time.Sleep(10 * time.Second)
			for i := range n { // including the readers
				f.kill(i)
				f.start(i)
				f.await("restarted", 20*time.Second, hasRevision(2))
			}
			f.await("not confirmed by reads of an old revision", 0, func(i int, p *process) bool { return !isFresh(i, p) })
			f.server.SetReadRevision(0)
			f.await("fresh", 6*time.Second, isFresh)
		}},
		{"node cut off, a few revisions behind", func(t *testing.T, f *testFleet) {
			f.setBlocked(involvesVictim)
			f.server.Partition(name(victim), storetest.Both)
			time.Sleep(5 * time.Second)
			if p := f.node(victim); isFresh(victim, p) {
				t.Error("confirmed while cut off")
			}
			for range 3 {
				f.applyNext()
			}
			before := fullDocuments(f)
			f.setBlocked(nil)
			f.server.Heal(name(victim))
			f.await("catches up", 6*time.Second, hasRevision(4))
			if fullDocuments(f) != before {
				t.Error("the full document was sent for three changes")
			}
		}},
		{"node cut off, many revisions behind", func(_ *testing.T, f *testFleet) {
			f.setBlocked(involvesVictim)
			f.server.Partition(name(victim), storetest.Both)
			for range 40 {
				f.applyNext()
				time.Sleep(3 * time.Second)
			}
			f.setBlocked(nil)
			f.server.Heal(name(victim))
			f.await("catches up", 10*time.Second, hasRevision(41))
		}},
		{"messages lost in one direction, one node receives none", func(t *testing.T, f *testFleet) {
			f.setBlocked(func(from, to int) bool { return (from+to)%4 == 0 && from < to || to == victim })
			revision := f.applyNext()
			f.await("change", 10*time.Second, func(i int, p *process) bool { return i == victim || hasRevision(revision)(i, p) })
			result, err := f.node(0).RolloutStatus(t.Context(), revision)
			if err != nil || !slices.Contains(result.Unreachable, name(victim)) || len(result.Updated)+len(result.Unreachable) != n {
				t.Errorf("%+v, %v", result, err)
			}
		}},
		{"document rejected", func(t *testing.T, f *testFleet) {
			f.validate = func(d *distribution.Document) error {
				if d.Revision == 2 {
					return errors.New("bad")
				}
				return nil
			}
			f.applyNext()
			time.Sleep(6 * time.Second)
			f.await("old document kept and not confirmed", 0, func(i int, p *process) bool { return p.Document().Revision == 1 && !isFresh(i, p) })
			// Only the readers got revision 2, from the store: a node doesn't pass on
			// a document that it rejects.
			if result, err := f.node(0).RolloutStatus(t.Context(), 2); err != nil || len(result.Rejected) != 2*domains || len(result.Behind) != n {
				t.Errorf("%+v, %v", result, err)
			}
			f.await("next revision", 6*time.Second, hasRevision(f.applyNext()))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runFleet(t, n, domains, test.do)
		})
	}
}

// Guards against combinations of faults after which a node moves to a lower
// revision or never gets the newest one.
func TestRandomFaults(t *testing.T) {
	const n = 9
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 2))
			runFleet(t, n, 3, func(_ *testing.T, f *testFleet) {
				for range 80 {
					i, a, b := random.IntN(n), random.IntN(n), random.IntN(n)
					switch random.IntN(9) {
					case 0:
						// Restarts one node at a time. If all restarted at once, the
						// document could only be read from the store.
						f.kill(i)
						f.start(i)
					case 1:
						f.setBlocked(func(from, to int) bool { return from == a || to == b })
					case 2:
						f.setBlocked(nil)
					case 3:
						f.server.Partition(name(i), storetest.Direction(1+random.IntN(3)))
					case 4:
						f.server.Heal(name(i))
					case 5:
						f.server.DropResponses(storetest.Get, 3)
					case 6:
						f.server.SetDelay(time.Duration(random.IntN(1500)) * time.Millisecond)
					default:
						f.server.SetDelay(0)
						f.server.DropResponses(storetest.Get, 0)
						f.applyNext()
					}
					time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					f.await("check only", 0, func(int, *process) bool { return true })
				}
				f.setBlocked(nil)
				f.server.SetDelay(0)
				f.server.DropResponses(storetest.Get, 0)
				for i := range n {
					f.server.Heal(name(i))
				}
				f.await("newest revision", 10*time.Second, hasRevision(f.applyNext()))
				f.await("fresh", 6*time.Second, isFresh)
			})
		})
	}
}
