package recall_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/recall"
)

const ms = time.Millisecond

// start is an arbitrary time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// observed returns a decider that has seen work take factor times as long as was
// expected, and requests of which it may recall some.
func observed(factor int) (d *recall.Decider) {
	d = recall.New()
	for range 100 {
		d.CountRequest("models")
		for _, work := range []recall.Work{recall.Prefill{}, recall.Run{}} {
			d.Observe("models", work, 100*ms, time.Duration(factor)*100*ms, start)
		}
	}
	return d
}

// late is the situation of a request that is 300 ms late, and may be recalled.
func late() (s recall.Situation) {
	return recall.Situation{
		Work: recall.Run{Repeatable: true}, Attempts: 1, MaxAttempts: 2, Left: 2 * time.Second,
		Here:  recall.Here{Expected: 100 * ms, Own: 100 * ms, Waited: 400 * ms, Slowdown: 1},
		There: recall.There{Found: true, Expected: 100 * ms},
		Spend: func(time.Time) bool { return true },
	}
}

// Guards against a recall that gains nothing or breaks a promise, and against one that
// isn't made though it gains.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *recall.Situation)
		want   string
	}{
		"late":                        {func(*recall.Situation) {}, "Late"},
		"separate prefill":            {func(s *recall.Situation) { s.Work, s.Attempts = recall.Prefill{}, 0 }, "Late"},
		"no attempt for the run":      {func(s *recall.Situation) { s.Work = recall.Prefill{} }, "Forbidden"},
		"no attempt left":             {func(s *recall.Situation) { s.Attempts = 2 }, "Forbidden"},
		"not repeatable":              {func(s *recall.Situation) { s.Work = recall.Run{} }, "Forbidden"},
		"begun":                       {func(s *recall.Situation) { s.Work = recall.Run{Repeatable: true, Begun: true} }, "Forbidden"},
		"recalled before":             {func(s *recall.Situation) { s.Recalled = true }, "Forbidden"},
		"no other upstream":           {func(s *recall.Situation) { s.There = recall.There{} }, "NoGain"},
		"slow elsewhere":              {func(s *recall.Situation) { s.There.Expected = 200 * ms }, "NoGain"},
		"far away":                    {func(s *recall.Situation) { s.There.Network = 120 * ms }, "NoGain"},
		"much work lost":              {func(s *recall.Situation) { s.Here.Expected, s.Here.Own, s.Here.Waited = 0, 250*ms, 300*ms }, "NoGain"},
		"nothing lost, as it queues":  {func(s *recall.Situation) { s.Here.Queued, s.Here.Own = true, 250*ms }, "Late"},
		"others have room":            {func(s *recall.Situation) { s.Here.Expected = time.Second }, "Room"},
		"on time":                     {func(s *recall.Situation) { s.Here.Expected = 600 * ms }, "NoGain"},
		"on time, upstream is slower": {func(s *recall.Situation) { s.Here.Expected, s.Here.Slowdown = 600*ms, 2.5 }, "Room"},
		"misses its deadline here":    {func(s *recall.Situation) { s.Left, s.Here.Own = 290*ms, 500*ms }, "Deadline"},
		"misses it elsewhere too":     {func(s *recall.Situation) { s.Left = 190 * ms }, "NoTime"},
		"no budget":                   {func(s *recall.Situation) { s.Spend = func(time.Time) bool { return false } }, "Budget"},
	} {
		t.Run(name, func(t *testing.T) {
			s := late()
			c.change(&s)
			if got := outcome(observed(1).Decide("models", s, start)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func outcome(verdict recall.Verdict) (text string) {
	switch v := verdict.(type) {
	case recall.Recall:
		return string(v.Reason)
	case recall.Stay:
		return string(v.Cause)
	default:
		return "none"
	}
}

// Guards against decisions by a model whose error isn't known, or is known and ignored.
func TestModelErrorIsCorrected(t *testing.T) {
	for name, c := range map[string]struct {
		decider *recall.Decider
		at      time.Time
		want    string
	}{
		"right":         {observed(1), start, "Late"},
		"four times":    {observed(4), start, "NoGain"},
		"never seen":    {recall.New(), start, "Unobserved"},
		"seen long ago": {observed(1), start.Add(time.Minute), "Unobserved"},
	} {
		if got := outcome(c.decider.Decide("models", late(), c.at)); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

// Guards against a node that recalls more than its share of requests, and against a
// retry that is spent on a request that stays.
func TestShareOfRequests(t *testing.T) {
	d, recalls, spent := observed(1), 0, 0
	for range 1000 {
		d.CountRequest("models")
		s := late()
		s.Here.Waited, s.Spend = time.Second, func(time.Time) bool { spent++; return true }
		if _, ok := d.Decide("models", s, start).(recall.Recall); ok {
			recalls++
		}
		for range 10 { // keeps the ratio near 1
			d.Observe("models", recall.Run{}, 100*ms, 100*ms, start)
		}
	}
	if recalls < 50 || recalls > 52 || spent != recalls { // 5 % of 1,000, and two at first
		t.Errorf("%d recalls of 1,000 requests, %d retries spent, want 50 to 52 of both", recalls, spent)
	}
}

// Guards against the next decision too early to change anything, which costs processor
// time, or too late.
func TestNextLook(t *testing.T) {
	s := late()
	s.Here.Waited = 250 * ms // 150 ms late; 300 ms are required
	again := observed(1).Decide("models", s, start).(recall.Stay).Again
	if s.Here.Waited += again; again != 150*ms || outcome(observed(1).Decide("models", s, start)) != "Late" {
		t.Errorf("again after %s, want 150ms, and a recall then", again)
	}
}

type (
	// fleet simulates engines that prefill one prompt after another.
	fleet struct {
		engines []*engine
		decider *recall.Decider // nil: no recalls
		now     time.Duration
		late    int           // requests that didn't begin within deadline
		total   time.Duration // of all waits
		recalls int
	}

	engine struct {
		queue []*job
		held  []*job // recalled ones that placements still count; see Recall.Here
		speed func(now time.Duration) (factor float64)
	}

	job struct {
		own, left               time.Duration // prefill at the usual speed
		arrived, sent, expected time.Duration
		nextLook                time.Duration // 0: none
		recalled                bool
		heldUntil               time.Duration
	}
)

const (
	step     = 5 * ms
	deadline = 3 * time.Second
)

func (f *fleet) backlog(e *engine) (sum time.Duration) {
	for _, j := range e.queue {
		sum += j.left
	}
	for _, j := range e.held {
		if f.now < j.heldUntil {
			sum += j.own
		}
	}
	return sum
}

// best returns the engine with the least backlog, other than one.
func (f *fleet) best(other *engine) (best *engine) {
	for _, e := range f.engines {
		if e != other && (best == nil || f.backlog(e) < f.backlog(best)) {
			best = e
		}
	}
	return best
}

func (f *fleet) send(j *job, e *engine) {
	j.left, j.sent, j.expected, j.nextLook = j.own, f.now, f.backlog(e)+j.own, f.now+recall.FirstLook
	e.queue = append(e.queue, j)
}

func (f *fleet) work(e *engine) {
	left := time.Duration(float64(step) * e.speed(f.now))
	for len(e.queue) > 0 && left > 0 {
		j := e.queue[0]
		done := min(left, j.left)
		j.left, left = j.left-done, left-done
		if j.left == 0 {
			e.queue = e.queue[1:]
			f.total += f.now - j.arrived
			if f.now-j.arrived > deadline {
				f.late++
			}
			if f.decider != nil {
				f.decider.Observe("models", recall.Run{}, j.expected, f.now-j.sent, start.Add(f.now))
			}
		}
	}
}

func (f *fleet) look(e *engine) {
	for _, j := range slices.Clone(e.queue) {
		if f.decider == nil || j.nextLook == 0 || f.now < j.nextLook {
			continue
		}
		other := f.best(e)
		verdict := f.decider.Decide("models", recall.Situation{
			Work: recall.Run{Repeatable: true}, Attempts: 1, MaxAttempts: 2, Recalled: j.recalled, Left: j.arrived + deadline - f.now,
			Here:  recall.Here{Expected: j.expected, Own: j.own, Waited: f.now - j.sent, Slowdown: 1},
			There: recall.There{Found: true, Expected: f.backlog(other) + j.own},
			Spend: func(time.Time) bool { return true },
		}, start.Add(f.now))
		switch v := verdict.(type) {
		case recall.Recall:
			f.recalls++
			j.recalled = true
			e.held = append(e.held, &job{own: j.left, heldUntil: f.now + v.Here})
			e.queue = slices.DeleteFunc(e.queue, func(q *job) bool { return q == j })
			f.send(j, other)
		case recall.Stay:
			if j.nextLook = f.now + v.Again; v.Again == 0 {
				j.nextLook = 0
			}
		}
	}
}

// simulate serves requests at a load, as a share of what the engines can do at the
// usual speed, for a minute.
func simulate(seed uint64, load float64, decider *recall.Decider, speeds ...func(time.Duration) float64) (f *fleet, requests int) {
	const engines, meanWork = 8, 150 * ms
	f = &fleet{decider: decider}
	for i := range engines {
		f.engines = append(f.engines, &engine{speed: speeds[i%len(speeds)]})
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for ; f.now < time.Minute || f.backlog(f.best(nil)) > 0; f.now += step {
		for range engines {
			if f.now < time.Minute && random.Float64() < load*float64(step)/float64(meanWork) {
				requests++
				if decider != nil {
					decider.CountRequest("models")
				}
				f.send(&job{own: time.Duration(random.ExpFloat64() * float64(meanWork)), arrived: f.now}, f.best(nil))
			}
		}
		for _, e := range f.engines {
			f.work(e)
			f.look(e)
		}
	}
	return f, requests
}

// Guards against recalls that make a load worse that all upstreams bear alike, and
// against recalls that don't help where one upstream stands still.
func TestRecallsAcrossFleet(t *testing.T) {
	usual := func(time.Duration) float64 { return 1 }
	slow := func(time.Duration) float64 { return 0.5 }
	noise := func(phase time.Duration) func(time.Duration) float64 { // 2.5 times as slow for 0.6 of 2.4 s
		return func(now time.Duration) float64 {
			if (now+phase)%(2400*ms) < 600*ms {
				return 0.4
			}
			return 1
		}
	}
	stalls := func(now time.Duration) float64 { // for 3 s of 10
		if now%(10*time.Second) < 3*time.Second {
			return 0
		}
		return 1
	}
	for name, c := range map[string]struct {
		load   float64
		speeds []func(time.Duration) float64
		gains  bool // recalls halve the late requests; else, they cost at most 2 %
	}{
		"equal, half load":   {0.5, []func(time.Duration) float64{usual}, false},
		"equal, full load":   {1.0, []func(time.Duration) float64{usual}, false},
		"all slow, overload": {0.6, []func(time.Duration) float64{slow}, false},
		"all noisy at once":  {0.7, []func(time.Duration) float64{noise(0)}, false},
		"noisy one by one":   {0.6, []func(time.Duration) float64{noise(0), noise(600 * ms), noise(1200 * ms), noise(1800 * ms)}, false},
		"one stalls":         {0.5, []func(time.Duration) float64{stalls, usual, usual, usual, usual, usual, usual, usual}, true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				without, _ := simulate(seed, c.load, nil, c.speeds...)
				with, requests := simulate(seed, c.load, recall.New(), c.speeds...)
				t.Logf("%d requests, %d recalls, total %s, without %s; late %d, without %d",
					requests, with.recalls, with.total, without.total, with.late, without.late)
				if limit := requests/20 + 2; with.recalls > limit {
					t.Errorf("%d recalls, want at most %d", with.recalls, limit)
				}
				if c.gains && (with.total >= without.total || 2*with.late > without.late) || with.total > without.total*102/100 || with.late > without.late*102/100 {
					t.Errorf("total wait %s, %d late; without recalls %s, %d", with.total, with.late, without.total, without.late)
				}
			})
		}
	}
}

// BenchmarkDecide shows the time of a decision, of which a waiting request has a few.
func BenchmarkDecide(b *testing.B) {
	d, s := observed(1), late()
	s.Here.Waited = 200 * ms
	for b.Loop() {
		d.Decide("models", s, start)
	}
}
