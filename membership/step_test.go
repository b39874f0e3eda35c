package membership

import "testing"

// Guards against distances by which news reaches some members only after
// ReachWindow: TestDetectionAndCost/192 failed now and then, when its look fell
// into seconds in which all nodes stepped about half of the ring.
func TestStepsSpreadNews(t *testing.T) {
	const intervals = int(defaultReachWindow / defaultInterval)
	for _, n := range []int{2, 3, 9, 48, 192, 390} {
		g := &Group{}
		for start := range int64(n - 1) {
			// news holds the distances, around the ring, of the members that have
			// heard of a contact with the one at 0. A probe carries it both ways.
			news := make([]bool, n)
			news[0] = true
			for i := range int64(intervals) {
				step := g.step(start+i, n)
				next := append([]bool(nil), news...)
				for at, heard := range news {
					if heard {
						next[(at+step)%n], next[(at+n-step)%n] = true, true
					}
				}
				news = next
			}
			for at, heard := range news {
				if !heard {
					t.Errorf("%d members, interval %d: the member at distance %d doesn't hear within %d intervals", n, start, at, intervals)
					break
				}
			}
		}
		seen := make(map[int]bool)
		for i := range int64(n - 1) {
			seen[g.step(i, n)] = true
		}
		if len(seen) != n-1 || seen[0] {
			t.Errorf("%d members: %d distances in a round, want each of %d once", n, len(seen), n-1)
		}
	}
}
