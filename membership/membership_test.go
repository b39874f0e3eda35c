package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/membership"
)

// Guards against slow failure detection, and against traffic per node that grows
// with the fleet. A message is a request or a reply; each is counted both at its
// sender and at its receiver.
func TestDetectionAndCost(t *testing.T) {
	for _, size := range []struct {
		n         int
		detection time.Duration
	}{{9, 3 * time.Second}, {48, 5 * time.Second}, {192, 6 * time.Second}, {390, 6 * time.Second}} {
		if testing.Short() && size.n > 48 {
			continue
		}
		t.Run(fmt.Sprint(size.n), func(t *testing.T) {
			t.Parallel()
			runFleet(t, size.n, func(t *testing.T, f *fleet) {
				time.Sleep(5 * time.Second)
				const window = 4 * time.Second
				calls, sent := f.count(window)
				perNode := func(count int) float64 { return 2 * float64(count) / float64(size.n) / window.Seconds() }
				messages, bytes := perNode(calls), perNode(sent)
				for i := range size.n {
					if reachable, known := f.group(i).Reachable(); known != size.n || reachable < known*9/10 {
						t.Errorf("%s reaches %d of %d", name(i), reachable, known)
					}
				}
				f.kill(5)
				suspected := f.await(t, "suspicion", size.detection, func(i int) bool { return f.state(i, 5) != membership.Alive })
				removed := suspected + f.await(t, "removal", size.detection, func(i int) bool { return f.state(i, 5) == membership.Dead })
				t.Logf("%.1f messages/s, %.0f bytes/s per node; suspected everywhere after %v, removed after %v",
					messages, bytes, suspected, removed)
				if messages > 12 || bytes > 1600 {
					t.Errorf("%.1f messages/s, %.0f bytes/s per node, want at most 12 and 1600", messages, bytes)
				}
				if removed > size.detection {
					t.Errorf("removed after %v, want at most %v", removed, size.detection)
				}
			})
		})
	}
}

// Guards against slow removal when a whole failure domain fails, since a message
// holds only a few of the many updates, and against survivors that then count
// themselves as isolated.
func TestFailureDomainIsRemovedInTime(t *testing.T) {
	t.Parallel()
	const n = 100
	runFleet(t, n, func(t *testing.T, f *fleet) {
		for i := 0; i < n; i += 4 {
			f.kill(i)
		}
		t.Log("removed after", f.await(t, "removal", 8*time.Second, func(i int) bool { return f.live(i) == n*3/4 }))
		f.await(t, "majority", 0, func(i int) bool { reachable, known := f.group(i).Reachable(); return known == n && 2*reachable > known })
	})
}

// Guards against removing a member that still answers other members, keeping one
// that answers none, and not adding one again after it recovers; and against an
// isolated node that counts itself as part of the majority.
func TestMemberStateUnderFaults(t *testing.T) {
	const n, victim = 12, 7
	seesLive := func(f *fleet, live int) func(i int) bool { return func(i int) bool { return f.live(i) == live } }
	removedByOthers := func(f *fleet) func(i int) bool {
		return func(i int) bool { return i == victim || f.state(i, victim) == membership.Dead }
	}
	toOrFromVictim := func(from, to netip.Addr) bool { return index(from) == victim || index(to) == victim }
	hasMajority := func(f *fleet, i int, majority bool) func(int) bool {
		return func(int) bool {
			reachable, known := f.group(i).Reachable()
			return 2*reachable > known == majority && known == n
		}
	}
	for _, test := range []struct {
		name string
		run  func(t *testing.T, f *fleet)
	}{
		{"isolated or paused, then reconnected", func(t *testing.T, f *fleet) {
			before := f.group(victim).Self().Incarnation
			f.setCut(toOrFromVictim)
			f.await(t, "victim detects its isolation", 5*time.Second, hasMajority(f, victim, false))
			f.await(t, "removal", 5*time.Second, removedByOthers(f))
			f.await(t, "others still reach each other", time.Second, func(i int) bool { return i == victim || hasMajority(f, i, true)(i) })
			time.Sleep(time.Minute)
			f.setCut(nil)
			f.await(t, "return", 30*time.Second, seesLive(f, n))
			if after := f.group(victim).Self().Incarnation; after <= before {
				t.Errorf("incarnation %d after removal, want more than %d", after, before)
			}
		}},
		{"incoming messages lost", func(t *testing.T, f *fleet) {
			f.setCut(func(_, to netip.Addr) bool { return index(to) == victim })
			f.await(t, "victim detects its isolation", 5*time.Second, hasMajority(f, victim, false))
			f.await(t, "removal", 5*time.Second, removedByOthers(f))
		}},
		{"outgoing messages lost", func(t *testing.T, f *fleet) {
			f.setCut(func(from, _ netip.Addr) bool { return index(from) == victim })
			f.await(t, "victim detects its isolation", 5*time.Second, hasMajority(f, victim, false))
			f.await(t, "removal", 5*time.Second, removedByOthers(f))
		}},
		{"two members cut from each other only", func(t *testing.T, f *fleet) {
			f.setCut(func(from, to netip.Addr) bool { return index(from)+index(to) == 3 && index(from)*index(to) == 2 })
			for range 300 {
				time.Sleep(100 * time.Millisecond)
				if f.state(0, 1) != membership.Alive || f.state(1, 2) != membership.Alive {
					t.Fatal("member suspected although indirect probes reach it")
				}
			}
		}},
		{"slow", func(t *testing.T, f *fleet) {
			f.mu.Lock()
			f.delay[address(victim).Addr()] = 120 * time.Millisecond // 240 ms per call, just within DirectTimeout
			f.mu.Unlock()
			for range 300 {
				time.Sleep(100 * time.Millisecond)
				if f.state(0, victim) != membership.Alive {
					t.Fatal("member suspected although it answers in time")
				}
			}
		}},
		{"restarted with the same address", func(t *testing.T, f *fleet) {
			before := f.group(victim).Self().Incarnation
			f.kill(victim)
			time.Sleep(500 * time.Millisecond)
			f.start(t, victim)
			f.await(t, "new incarnation", 20*time.Second, func(i int) bool {
				m, _ := f.group(i).View().Get(name(victim))
				return f.live(i) == n && m.Incarnation > before
			})
		}},
		{"leaves", func(t *testing.T, f *fleet) {
			if err := f.group(victim).Leave(t.Context()); err != nil {
				t.Fatal(err)
			}
			f.await(t, "listed as leaving", time.Second, func(i int) bool { return f.state(i, victim) == membership.Leaving })
			f.kill(victim)
			f.await(t, "removed without suspicion and no longer counted", 6*time.Second, func(i int) bool {
				_, known := f.group(i).Reachable()
				return f.state(i, victim) == membership.Dead && known == n-1
			})
		}},
		{"regions partitioned for 20 minutes", func(t *testing.T, f *fleet) {
			f.setCut(func(from, to netip.Addr) bool { return index(from)%2 != index(to)%2 })
			f.await(t, "parted", 20*time.Second, seesLive(f, n/2))
			time.Sleep(20 * time.Minute)
			for i := range n {
				if reachable, known := f.group(i).Reachable(); reachable != n/2 || known != n {
					t.Errorf("%s reaches %d of %d", name(i), reachable, known)
				}
			}
			f.setCut(nil)
			f.await(t, "rejoined", 40*time.Second, seesLive(f, n))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runFleet(t, n, test.run)
		})
	}
}

// Guards against member lists that don't converge after random combinations of
// faults, and against incarnations or view versions that decrease.
func TestMembersConvergeAfterRandomFaults(t *testing.T) {
	const n = 10
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			runFleet(t, n, func(t *testing.T, f *fleet) {
				highest := map[string]uint64{}
				versions := map[*membership.Group]uint64{}
				for range 60 {
					i := random.IntN(n)
					switch a, b := random.IntN(n), random.IntN(n); random.IntN(5) {
					case 0:
						if f.group(i) != nil {
							f.kill(i)
						}
					case 1:
						if f.group(i) == nil {
							f.start(t, i)
						}
					case 2:
						f.setCut(func(from, to netip.Addr) bool { return index(from) == a || index(to) == b })
					case 3:
						f.setCut(func(from, to netip.Addr) bool { return index(from) < a != (index(to) < a) })
					case 4:
						f.setCut(nil)
					}
					time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
					for i := range n {
						if g := f.group(i); g != nil {
							if v := g.View().Version; v < versions[g] {
								t.Errorf("view version %d after %d", v, versions[g])
							}
							versions[g] = g.View().Version
							if self := g.Self(); self.Incarnation < highest[self.Name] {
								t.Errorf("%s: incarnation %d after %d", self.Name, self.Incarnation, highest[self.Name])
							} else {
								highest[self.Name] = self.Incarnation
							}
						}
					}
				}
				f.setCut(nil)
				for i := range n {
					if f.group(i) == nil {
						f.start(t, i)
					}
				}
				f.await(t, "convergence", 2*time.Minute, func(i int) bool { return f.live(i) == n })
			})
		})
	}
}
