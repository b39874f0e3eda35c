package membership

import "testing"

// Guards against a sequence of probe distances with which contact ages reach some
// members only after ReachWindow. With distances that increased by one,
// TestDetectionAndCost/192 failed if it called Reachable in the seconds in which
// the distance was about half of the ring.
func TestProbeDistancesSpreadContactAges(t *testing.T) {
	const intervals = int(defaultReachWindow / defaultInterval)
	for _, n := range []int{2, 3, 9, 48, 192, 390} {
		g := &Group{}
		for start := range int64(n - 1) {
			// informed tells, by distance around the ring, which members know of
			// a contact with the member at 0. A probe carries contact ages in
			// both directions.
			informed := make([]bool, n)
			informed[0] = true
			for i := range int64(intervals) {
				distance := g.probeDistance(start+i, n)
				next := append([]bool(nil), informed...)
				for at, reached := range informed {
					if reached {
						next[(at+distance)%n], next[(at+n-distance)%n] = true, true
					}
				}
				informed = next
			}
			for at, reached := range informed {
				if !reached {
					t.Errorf("%d members, interval %d: the contact age doesn't reach the member at distance %d within %d intervals", n, start, at, intervals)
					break
				}
			}
		}
		seen := make(map[int]bool)
		for i := range int64(n - 1) {
			seen[g.probeDistance(i, n)] = true
		}
		if len(seen) != n-1 || seen[0] {
			t.Errorf("%d members: %d distances in a round, want each of %d once", n, len(seen), n-1)
		}
	}
}
