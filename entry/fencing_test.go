package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

// Guards against calls of two leaders that interleave, or that come with a lower
// fencing token after a higher one, where the platform doesn't check tokens: while
// the leadership moves often since the store refuses the leader, while responses of
// the store are lost, and while the calls of the leader that lost its lease are still
// under way.
func TestLeadersDontInterleaveWithoutFencing(t *testing.T) {
	const (
		lease       = 3 * time.Second
		slowTransit = 1100 * time.Millisecond
	)
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				random := rand.New(rand.NewPCG(seed, 1))
				f.cloud.Unfenced, f.cloud.Lease = true, lease
				cloud := netip.MustParseAddr(cloudAddress)
				var slowNode atomic.Value // its calls to the platform are under way for slowTransit
				slowNode.Store("")
				f.network.SetDelay(func(from, to netip.Addr) time.Duration {
					if to == cloud && from.String() == slowNode.Load() {
						return slowTransit
					}
					return time.Millisecond
				})
				f.startThreeNodes()
				f.scaleDesk(2)
				f.advance(5 * time.Second)
				for range 80 {
					address := f.nodeAddresses()[random.IntN(3)]
					f.store.Refuse(address, true)
					slowNode.Store(address)
					if random.IntN(3) == 0 {
						f.store.DropResponses(1 + random.IntN(3))
					}
					f.advance(time.Duration(2000+random.IntN(4000)) * time.Millisecond)
					f.store.Refuse(address, false)
					slowNode.Store("")
					f.advance(time.Duration(random.IntN(1500)) * time.Millisecond)
				}
				f.advance(10 * time.Second)
				if orders := len(f.cloud.Orders()); orders < 20 {
					t.Errorf("%d orders, want enough of them for the test to show something", orders)
				}
				for _, violation := range f.cloud.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// Guards against leaders that act at the same time, with tokens that were used before or
// that fall, and against a long pause without a leader, when the store comes back from an
// older copy: beside a leader that is cut off from it, and with leases and revisions that
// are given out again.
func TestLeadersAcrossErasOfTheStore(t *testing.T) {
	const (
		lease   = 3 * time.Second
		longest = 2*lease + 3*time.Second // without an order: the old key's lease, then a term, and polls
	)
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				random := rand.New(rand.NewPCG(seed, 3))
				f.cloud.Unfenced, f.cloud.Lease = true, lease
				var lastCall atomic.Int64
				f.cloud.OnCall = func(string, string) { lastCall.Store(int64(time.Since(f.start))) }
				f.startThreeNodes()
				f.scaleDesk(2)
				f.advance(10 * time.Second)
				for drill := range 12 {
					old := f.store.Copy()
					cut := f.nodeAddresses()[random.IntN(3)]
					f.store.Refuse(cut, drill%3 == 1) // others lead in the lost time
					f.advance(time.Duration(500+random.IntN(9500)) * time.Millisecond)
					f.store.Refuse(cut, drill%3 == 2) // a leader doesn't notice the new era
					f.store.Restore(old)
					f.scaleDesk(2)
					begin := time.Since(f.start)
					f.advance(longest)
					f.store.Refuse(cut, false)
					if last := time.Duration(lastCall.Load()); last < begin {
						t.Errorf("drill %d: no call of a leader for %s after the store came back", drill, longest)
					}
					f.advance(time.Duration(random.IntN(3000)) * time.Millisecond)
				}
				for _, violation := range f.cloud.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// scaleDesk writes a configuration under which the leader orders capacity again and again,
// since no upstream comes.
func (f *testFleet) scaleDesk(version int) {
	scaled := strings.Replace(fmt.Sprintf(configText, version, `"`+key+`"`), `{"name":"desk",`,
		`{"name":"desk","scaling":{"min":1,"max":2,"boot_s":0.1,"spot_price":0.2,"zone_prices":{"a":1,"b":1,"c":1}},`, 1)
	f.store.Set(platform.ConfigKey, []byte(scaled))
}
