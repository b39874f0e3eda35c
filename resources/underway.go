package resources

import "sync"

const (
	// placesPerSlot is the number of requests that an upstream holds for each of its
	// slots. Engines queue three for each one that runs.
	placesPerSlot = 4
	// bytesPerPlace is the size of a request that each place allows for. The longest
	// prompts, 93,000 tokens, take about 500 KB.
	bytesPerPlace = 512 << 10
	// minUnderWayBytes allows for two of the longest bodies at an upstream with few slots.
	minUnderWayBytes = 8 << 20
)

type (
	// UnderWay bounds the bytes of the requests that this process has under way to each
	// upstream. It is safe for concurrent use.
	UnderWay struct {
		mu    sync.Mutex
		bytes map[string]int64 // by upstream
	}
)

// NewUnderWay returns an UnderWay without requests.
func NewUnderWay() (u *UnderWay) { return &UnderWay{bytes: map[string]int64{}} }

// Begin counts a request of n bytes to an upstream that has registered a number of slots.
// If ok is false, the upstream may not have the memory for another one.
func (u *UnderWay) Begin(upstream string, slots, n int) (ok bool) {
	limit := max(int64(slots)*placesPerSlot*bytesPerPlace, minUnderWayBytes)
	u.mu.Lock()
	defer u.mu.Unlock()
	if held := u.bytes[upstream]; held > 0 && held+int64(n) > limit {
		return false
	}
	u.bytes[upstream] += int64(n)
	return true
}

// End counts a request less that Begin counted.
func (u *UnderWay) End(upstream string, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.bytes[upstream] -= int64(n); u.bytes[upstream] <= 0 {
		delete(u.bytes, upstream)
	}
}
