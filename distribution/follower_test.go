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

// Guards against slow changes, against traffic and store calls that grow with
// the fleet, and against one process that asks all others.
func TestSpreadAndCost(t *testing.T) {
	storeCalls := map[int]float64{}
	for _, size := range []struct{ n, domains int }{{9, 3}, {48, 4}, {192, 4}, {390, 4}} {
		if testing.Short() && size.n > 48 {
			continue
		}
		run(t, size.n, size.domains, func(t *testing.T, f *fleet) {
			f.mu.Lock()
			f.delay = 30 * time.Millisecond // between regions
			f.mu.Unlock()
			f.server.SetDelay(20 * time.Millisecond)
			time.Sleep(5 * time.Second)
			const quiet = 8 * time.Second // one change, as in 11,000 a day
			var spread time.Duration
			calls, bytes, fromStore := f.count(func() {
				start := time.Now()
				spread = f.await("change", 6*time.Second, has(f.apply()))
				time.Sleep(quiet - time.Since(start))
			})
			perSecond := func(count int) float64 { return float64(count) / quiet.Seconds() }
			// Each message is counted at its sender and at its receiver.
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
			t.Logf("%d nodes: %.1f messages/s, %.0f bytes/s a node, %.1f store calls/s; change everywhere after %v, confirmed at most %v ago",
				size.n, messages, perNode, storeCalls[size.n], spread, age)
			if messages > 8 || perNode > 1800 {
				t.Errorf("%d nodes: %.1f messages/s, %.0f bytes/s a node", size.n, messages, perNode)
			}
			if whole := f.set.GetOrCreateCounter("guavagauge_distribution_whole_documents_total").Get(); whole != uint64(size.n) {
				t.Errorf("%d nodes: %d whole documents, want one for each node's start", size.n, whole)
			}
			result, err := f.node(3).RolloutStatus(t.Context(), 2)
			if err != nil || len(result.Updated) != size.n {
				t.Errorf("%d nodes: revision 2 is in force on %d, %v", size.n, len(result.Updated), err)
			}
			for from, surveys := range f.surveys {
				if surveys > 8 {
					t.Errorf("%s made %d calls for InForce", name(from), surveys)
				}
			}
		})
	}
	for n, calls := range storeCalls { // 2 readers in each of 3 or 4 domains, 2 reads and one watch a second
		if calls > storeCalls[9]*4/3+3 {
			t.Errorf("%.1f store calls/s at %d nodes, %.1f at 9", calls, n, storeCalls[9])
		}
	}
}

// Guards against changes that don't arrive, against nodes that go back, and
// against stale documents that pass for fresh ones.
func TestFaults(t *testing.T) {
	const n, domains, victim = 12, 3, 7
	touches := func(from, to int) bool { return from == victim || to == victim }
	readers := func(f *fleet) (found []int) {
		for i := range n {
			if f.server.CallsOf(name(i), storetest.Watch) > 0 {
				found = append(found, i)
			}
		}
		return found
	}
	whole := func(f *fleet) uint64 {
		return f.set.GetOrCreateCounter("guavagauge_distribution_whole_documents_total").Get()
	}
	for _, test := range []struct {
		name string
		do   func(t *testing.T, f *fleet)
	}{
		{"all readers killed, one restarted", func(t *testing.T, f *fleet) {
			time.Sleep(2 * time.Second) // all have taken on their role
			killed := readers(f)
			if len(killed) != 2*domains {
				t.Fatalf("%d readers, want two in each domain", len(killed))
			}
			for _, i := range killed {
				f.kill(i)
			}
			revision := f.apply()
			time.Sleep(removalLag)
			f.mu.Lock()
			f.members = slices.DeleteFunc(slices.Clone(f.members), func(m distribution.Member) bool {
				return f.nodes[m.Address] == nil
			})
			f.mu.Unlock()
			f.await("new readers take over", 6*time.Second, has(revision))
			f.await("fresh", 4*time.Second, fresh)
			time.Sleep(10 * time.Second)
			f.server.ResetCalls()
			time.Sleep(10 * time.Second)
			f.await("fresh all the time", 0, fresh)
		}},
		{"a domain without the store", func(_ *testing.T, f *fleet) {
			for i := 0; i < n; i += domains {
				f.server.Partition(name(i), storetest.Both)
			}
			for range 20 {
				f.await("change", 6*time.Second, has(f.apply()))
				time.Sleep(time.Second)
				f.await("fresh all the time", 0, fresh)
			}
		}},
		{"store down", func(_ *testing.T, f *fleet) {
			f.server.SetDown(true)
			f.await("reported down", 10*time.Second, func(_ int, p *process) bool {
				readers, down := p.ReaderHealth()
				return readers > domains && down == readers
			})
			f.await("no longer fresh", 5*time.Second, func(i int, p *process) bool { return !fresh(i, p) })
			time.Sleep(time.Hour)
			f.server.SetDown(false)
			f.await("change", 6*time.Second, has(f.apply()))
			f.await("fresh", 6*time.Second, fresh)
			f.await("no longer reported down", 10*time.Second, func(_ int, p *process) bool {
				_, down := p.ReaderHealth()
				return down == 0
			})
		}},
		{"node restarts while the store answers old", func(_ *testing.T, f *fleet) {
			old := f.server.Revision()
			f.await("change", 6*time.Second, has(f.apply()))
			f.server.SetReadRevision(old)
			time.Sleep(10 * time.Second)
			for i := range n { // readers among them
				f.kill(i)
				f.start(i)
				f.await("restarted", 20*time.Second, has(2))
			}
			f.await("not confirmed by old answers", 0, func(i int, p *process) bool { return !fresh(i, p) })
			f.server.SetReadRevision(0)
			f.await("fresh", 6*time.Second, fresh)
		}},
		{"node cut off, a few revisions behind", func(t *testing.T, f *fleet) {
			f.setCut(touches)
			f.server.Partition(name(victim), storetest.Both)
			time.Sleep(5 * time.Second)
			if p := f.node(victim); fresh(victim, p) {
				t.Error("confirmed while cut off")
			}
			for range 3 {
				f.apply()
			}
			before := whole(f)
			f.setCut(nil)
			f.server.Heal(name(victim))
			f.await("catches up", 6*time.Second, has(4))
			if whole(f) != before {
				t.Error("the whole document was sent for three changes")
			}
		}},
		{"node cut off, many revisions behind", func(_ *testing.T, f *fleet) {
			f.setCut(touches)
			f.server.Partition(name(victim), storetest.Both)
			for range 40 {
				f.apply()
				time.Sleep(3 * time.Second)
			}
			f.setCut(nil)
			f.server.Heal(name(victim))
			f.await("catches up", 10*time.Second, has(41))
		}},
		{"members cut from each other one-way and paused", func(t *testing.T, f *fleet) {
			f.setCut(func(from, to int) bool { return (from+to)%4 == 0 && from < to || to == victim })
			revision := f.apply()
			f.await("change", 10*time.Second, func(i int, p *process) bool { return i == victim || has(revision)(i, p) })
			result, err := f.node(0).RolloutStatus(t.Context(), revision)
			if err != nil || !slices.Contains(result.Unreachable, name(victim)) || len(result.Updated)+len(result.Unreachable) != n {
				t.Errorf("%+v, %v", result, err)
			}
		}},
		{"document rejected", func(t *testing.T, f *fleet) {
			f.accept = func(d *distribution.Document) error {
				if d.Revision == 2 {
					return errors.New("bad")
				}
				return nil
			}
			f.apply()
			time.Sleep(6 * time.Second)
			f.await("kept and not confirmed", 0, func(i int, p *process) bool { return p.Document().Revision == 1 && !fresh(i, p) })
			// Only the readers have seen it: nobody passes on what it rejects.
			if result, err := f.node(0).RolloutStatus(t.Context(), 2); err != nil || len(result.Rejected) != 2*domains || len(result.Behind) != n {
				t.Errorf("%+v, %v", result, err)
			}
			f.await("next revision", 6*time.Second, has(f.apply()))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			run(t, n, domains, test.do)
		})
	}
}

// Guards against a combination of faults after which a node has a lower
// revision, or never gets the newest one.
func TestRandomFaults(t *testing.T) {
	const n = 9
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 2))
			run(t, n, 3, func(_ *testing.T, f *fleet) {
				for range 80 {
					i, a, b := random.IntN(n), random.IntN(n), random.IntN(n)
					switch random.IntN(9) {
					case 0:
						// One restart at a time: a document that all nodes forget
						// can only come back from the store.
						f.kill(i)
						f.start(i)
					case 1:
						f.setCut(func(from, to int) bool { return from == a || to == b })
					case 2:
						f.setCut(nil)
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
						f.apply()
					}
					time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					f.await("check only", 0, func(int, *process) bool { return true })
				}
				f.setCut(nil)
				f.server.SetDelay(0)
				f.server.DropResponses(storetest.Get, 0)
				for i := range n {
					f.server.Heal(name(i))
				}
				f.await("newest revision", 10*time.Second, has(f.apply()))
				f.await("fresh", 6*time.Second, fresh)
			})
		})
	}
}
