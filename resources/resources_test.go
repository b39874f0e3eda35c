package resources_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/resources"
)

const (
	mebibyte    = 1 << 20
	descriptors = 427 // of which callers may have 102
	callers     = 102
)

var start = time.Unix(1_000_000, 0)

func newAccount(memoryMB int) (a *resources.Account, set *metrics.Set) {
	set = metrics.NewSet()
	return resources.New(resources.Options{
		MemoryBytes: int64(memoryMB) * mebibyte, Descriptors: descriptors, Logger: slog.New(slog.DiscardHandler), Metrics: set,
	}), set
}

// crowd is a number of members of one account.
type crowd struct {
	t       *testing.T
	account *resources.Account
	members []*resources.Member
	left    []int // indexes of the members that were evicted, in that order
}

func (c *crowd) open(state resources.State, now time.Time) (ok bool) {
	i := len(c.members)
	m, ok := c.account.Open(now, func() { c.left = append(c.left, i) })
	if ok {
		c.members = append(c.members, m)
		m.Enter(state, now)
	}
	return ok
}

// Guards against closing a connection that costs its client more than another one would,
// and against closing one whose request may have been passed on.
func TestMembersLeaveInOrder(t *testing.T) {
	a, _ := newAccount(144)
	c := &crowd{t: t, account: a}
	states := []resources.State{resources.Idle, resources.Body, resources.Busy, resources.Head, resources.Silent, resources.Idle, resources.Head}
	for i, state := range states {
		c.open(state, start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(time.Minute)
	for len(c.members) < callers {
		c.open(resources.Busy, now)
	}
	if want := []int{3, 4, 6, 1, 0, 5}; !slices.Equal(c.left, want) {
		t.Errorf("members %v left, want %v", c.left, want)
	}
	if c.open(resources.Busy, now) {
		t.Errorf("a connection beyond %d was accepted", callers)
	}
}

// Guards against closing connections whose first request is on its way, and bodies that
// still make progress.
func TestFreshAndProgressingMembersStay(t *testing.T) {
	a, _ := newAccount(144)
	c := &crowd{t: t, account: a}
	c.open(resources.Body, start)
	for len(c.members) < callers {
		c.open(resources.Silent, start)
	}
	c.members[0].Enter(resources.Body, start.Add(1900*time.Millisecond))
	if len(c.left) > 0 {
		t.Errorf("members %v left at once", c.left)
	}
	c.open(resources.Silent, start.Add(2*time.Second))
	if len(c.left) == 0 || slices.Contains(c.left, 0) {
		t.Errorf("members %v left after 2 s, want some, without the body that progresses", c.left)
	}
}

// Guards against a connection that is closed although its request was read after all.
func TestMemberThatBecomesBusyCountsAsStaying(t *testing.T) {
	a, _ := newAccount(144)
	c := &crowd{t: t, account: a}
	for len(c.left) == 0 {
		c.open(resources.Idle, start)
	}
	asked := c.left[0]
	c.members[asked].Enter(resources.Busy, start)
	c.open(resources.Busy, start)
	if n := len(c.left); n != 3 || slices.Contains(c.left[1:], asked) {
		t.Errorf("members %v left, want one more for the one that stayed and one for the new one", c.left)
	}
}

// Guards against a sum that exceeds its bound, members that are evicted twice, and bytes that
// stay counted, in random histories.
func TestSumStaysWithinBound(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			a, set := newAccount(32)
			const bound = 8 * mebibyte // bodies may occupy a quarter
			open := map[*resources.Member]int{}
			bodies := map[*resources.Member]int{}
			now := start
			for range 5000 {
				now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
				busyBytes := a.Held(resources.Requests) + a.Held(resources.Upstreams)
				if sum := a.Held(resources.Connections) + a.Held(resources.Heads) + a.Held(resources.Bodies) + a.Held(resources.Answers); sum > bound {
					t.Fatalf("%d bytes held beside %d of busy requests, want at most %d", sum, busyBytes, bound)
				}
				if random.IntN(3) == 0 {
					var m *resources.Member
					m, ok := a.Open(now, func() { open[m]++ })
					if ok {
						open[m] = 0
					}
					continue
				}
				for m, asked := range open {
					switch random.IntN(8) {
					case 0, 1:
						m.HoldHead(random.IntN(60_000), random.IntN(2000), now)
					case 2, 3:
						if n := 1 << random.IntN(20); a.Hold(resources.Bodies, m, n, n, 0, now) {
							bodies[m] += n
						}
					case 4, 5:
						m.Enter(resources.State(random.IntN(5)), now)
						open[m] = 0
					default:
						if asked > 1 {
							t.Fatal("a member was evicted twice")
						}
						a.Release(resources.Bodies, m, bodies[m])
						m.Close()
						m.Enter(resources.Idle, now) // as the goroutine of a closed connection may do
						delete(open, m)
						delete(bodies, m)
					}
					break
				}
			}
			for m := range open {
				a.Release(resources.Bodies, m, bodies[m])
				m.Close()
			}
			for kind := resources.Connections; kind <= resources.Upstreams; kind++ {
				if held := a.Held(kind); held != 0 {
					t.Errorf("%d bytes of %v stay counted", held, kind)
				}
			}
			var text strings.Builder
			if set.WritePrometheus(&text); !strings.Contains(text.String(), "resources_closed_total") {
				t.Error("nothing was closed for room")
			}
		})
	}
}

// Guards against large bodies and unread answers that leave no memory for small bodies.
func TestLargeBuffersLeaveRoomForSmallOnes(t *testing.T) {
	for _, kind := range []resources.Kind{resources.Bodies, resources.Answers} {
		a, _ := newAccount(144)
		for _, size := range []int{mebibyte, 64 << 10} {
			for ok := true; ok; {
				ok = a.Hold(kind, nil, size, size, 0, start)
			}
		}
		if !a.Hold(resources.Bodies, nil, 1<<10, 1<<10, 0, start) {
			t.Errorf("no room for a body of 1 KB beside large %v", kind)
		}
		if kind == resources.Answers && !a.Hold(resources.Bodies, nil, mebibyte, mebibyte, 0, start) {
			t.Error("no room for a body of 1 MB beside answers that aren't read")
		}
	}
}

// Guards against upstreams that run out of memory by the requests of one node, and
// against requests that are refused although the upstream has places for them.
func TestBytesUnderWayAreBounded(t *testing.T) {
	u := resources.NewUnderWay()
	count := 0
	for u.Begin("u", 12, 500_000) {
		count++
	}
	if count < 48 || count > 60 {
		t.Errorf("%d requests of 500 KB are under way to 12 slots, want 48 to 60", count)
	}
	for range count {
		u.End("u", 500_000)
	}
	if !u.Begin("u", 12, 30*mebibyte) {
		t.Error("a request that fits isn't sent after all others have ended")
	}
}
