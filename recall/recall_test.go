package recall_test

import (
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

// late is the situation of a request that is 400 ms late, and may be recalled.
func late() (s recall.Situation) {
	return recall.Situation{
		Work: recall.Run{Repeatable: true}, Attempts: 1, MaxAttempts: 2, Left: 2 * time.Second,
		Here:  recall.Here{Expected: 100 * ms, Own: 100 * ms, Waited: 500 * ms, Slowdown: 1},
		There: recall.There{Found: true, Expected: 100 * ms},
		Spend: func(time.Time) bool { return true },
	}
}

// outcome returns the reason of a recall, or the cause for which the request stays.
func outcome(verdict recall.Verdict) (text string) {
	if v, ok := verdict.(recall.Recall); ok {
		return string(v.Reason)
	}
	return string(verdict.(recall.Keep).Cause)
}

// Guards against a recall that gains nothing or breaks a promise, one by a model whose
// error isn't known or is ignored, and one that isn't made though it gains.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		decider *recall.Decider
		change  func(s *recall.Situation)
		want    string
	}{
		"late":                        {observed(1), func(*recall.Situation) {}, "Late"},
		"separate prefill":            {observed(1), func(s *recall.Situation) { s.Work, s.Attempts = recall.Prefill{}, 0 }, "Late"},
		"no attempt for the run":      {observed(1), func(s *recall.Situation) { s.Work = recall.Prefill{} }, "Forbidden"},
		"no attempt left":             {observed(1), func(s *recall.Situation) { s.Attempts = 2 }, "Forbidden"},
		"not repeatable":              {observed(1), func(s *recall.Situation) { s.Work = recall.Run{} }, "Forbidden"},
		"begun":                       {observed(1), func(s *recall.Situation) { s.Work = recall.Run{Repeatable: true, Begun: true} }, "Forbidden"},
		"recalled before":             {observed(1), func(s *recall.Situation) { s.Recalled = true }, "Forbidden"},
		"no other upstream":           {observed(1), func(s *recall.Situation) { s.There = recall.There{} }, "NoGain"},
		"slow elsewhere":              {observed(1), func(s *recall.Situation) { s.There.Expected = 200 * ms }, "NoGain"},
		"far away":                    {observed(1), func(s *recall.Situation) { s.There.Network = 120 * ms }, "NoGain"},
		"much work lost":              {observed(1), func(s *recall.Situation) { s.Here.Expected, s.Here.Own = 0, 350*ms }, "NoGain"},
		"nothing lost, as it queues":  {observed(1), func(s *recall.Situation) { s.Here.Queued, s.Here.Own = true, 350*ms }, "Late"},
		"others have room":            {observed(1), func(s *recall.Situation) { s.Here.Expected = time.Second }, "FasterElsewhere"},
		"on time":                     {observed(1), func(s *recall.Situation) { s.Here.Expected = 700 * ms }, "NoGain"},
		"on time, upstream is slower": {observed(1), func(s *recall.Situation) { s.Here.Expected, s.Here.Slowdown = 700*ms, 2.5 }, "FasterElsewhere"},
		"misses its deadline here":    {observed(1), func(s *recall.Situation) { s.Left, s.Here.Own = 390*ms, 500*ms }, "Deadline"},
		"misses it elsewhere too":     {observed(1), func(s *recall.Situation) { s.Left = 190 * ms }, "NoTime"},
		"no budget":                   {observed(1), func(s *recall.Situation) { s.Spend = func(time.Time) bool { return false } }, "Budget"},
		"all take four times as long": {observed(4), func(*recall.Situation) {}, "NoGain"},
		"nothing observed":            {recall.New(), func(*recall.Situation) {}, "Unobserved"},
	} {
		s := late()
		c.change(&s)
		if got := outcome(c.decider.Decide("models", s, start)); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
	if got := outcome(observed(1).Decide("models", late(), start.Add(time.Minute))); got != "Unobserved" {
		t.Errorf("a minute after the last observation: got %s", got)
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
			d.Observe("models", s.Work, 100*ms, 100*ms, start)
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
	s.Here.Waited = 250 * ms // 150 ms late; 350 ms are required
	again := observed(1).Decide("models", s, start).(recall.Keep).Again
	if s.Here.Waited += again; again != 200*ms || outcome(observed(1).Decide("models", s, start)) != "Late" {
		t.Errorf("again after %s, want 200ms, and a recall then", again)
	}
}

type (
	// fleet simulates engines that prefill one prompt after another, and nodes that know
	// their loads late.
	fleet struct {
		engines                 []*engine
		decider                 *recall.Decider // nil: no recalls
		now                     time.Duration
		requests, late, recalls int           // late ones end after deadline
		total                   time.Duration // of all waits
	}

	engine struct {
		queue, held []*job // held ones are counted until they end
		speed       func(now time.Duration) (factor float64)
		known       time.Duration // backlog as the nodes know it
	}

	job struct {
		own, left, arrived, sent, expected, nextCheck, heldUntil time.Duration
		recalled                                                 bool
	}
)

const (
	step     = 5 * ms
	loadAge  = 25 * ms // the longest age of the loads
	deadline = 3 * time.Second
)

// best returns the engine with the least known backlog, other than one.
func (f *fleet) best(other *engine) (best *engine) {
	for _, e := range f.engines {
		if e != other && (best == nil || e.known < best.known) {
			best = e
		}
	}
	return best
}

func (f *fleet) send(j *job, e *engine) {
	j.left, j.sent, j.expected, j.nextCheck = j.own, f.now, e.known+j.own, f.now+recall.FirstCheck
	e.queue = append(e.queue, j)
}

// work lets an engine work for a step.
func (f *fleet) work(e *engine) {
	left := time.Duration(float64(step) * e.speed(f.now))
	for len(e.queue) > 0 && left > 0 {
		j := e.queue[0]
		done := min(left, j.left)
		if j.left, left = j.left-done, left-done; j.left > 0 {
			return
		}
		e.queue = e.queue[1:]
		if f.total += f.now - j.arrived; f.now-j.arrived > deadline {
			f.late++
		}
		f.decider.Observe("models", recall.Run{}, j.expected, f.now-j.sent, start.Add(f.now))
	}
}

// check decides on a waiting job.
func (f *fleet) check(j *job, e *engine, recalls bool) {
	other := f.best(e)
	verdict := f.decider.Decide("models", recall.Situation{
		Work: recall.Run{Repeatable: true}, Attempts: 1, MaxAttempts: 2, Recalled: j.recalled || !recalls, Left: j.arrived + deadline - f.now,
		Here:  recall.Here{Expected: j.expected, Own: j.own, Waited: f.now - j.sent, Slowdown: 1},
		There: recall.There{Found: true, Expected: other.known + j.own},
		Spend: func(time.Time) bool { return true },
	}, start.Add(f.now))
	switch v := verdict.(type) {
	case recall.Recall:
		f.recalls++
		e.held = append(e.held, &job{left: j.left, heldUntil: f.now + v.Hold})
		e.queue = slices.DeleteFunc(e.queue, func(q *job) bool { return q == j })
		j.recalled = true
		f.send(j, other)
	case recall.Keep:
		if j.nextCheck = f.now + v.Again; v.Again == 0 {
			j.nextCheck = time.Hour
		}
	}
}

// simulate serves requests for a minute at a load, as a share of what the engines can do
// at the usual speed.
func simulate(seed uint64, load float64, recalls bool, speeds ...func(time.Duration) float64) (f *fleet) {
	const engines, meanWork = 8, 150 * ms
	f = &fleet{decider: recall.New()}
	for i := range engines {
		f.engines = append(f.engines, &engine{speed: speeds[i%len(speeds)]})
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for busy := true; busy; f.now += step {
		busy = f.now < time.Minute
		for _, e := range f.engines {
			if f.now%loadAge == 0 {
				e.held = slices.DeleteFunc(e.held, func(j *job) bool { return j.heldUntil <= f.now })
				e.known = 0
				for _, j := range slices.Concat(e.queue, e.held) {
					e.known += j.left
				}
			}
			if f.now < time.Minute && random.Float64() < load*float64(step)/float64(meanWork) {
				f.requests++
				f.decider.CountRequest("models")
				f.send(&job{own: time.Duration(random.ExpFloat64() * float64(meanWork)), arrived: f.now}, f.best(nil))
			}
			f.work(e)
			for _, j := range slices.Clone(e.queue) {
				if f.now >= j.nextCheck {
					f.check(j, e, recalls)
				}
			}
			busy = busy || len(e.queue) > 0
		}
	}
	return f
}

// Guards against recalls that make a load worse that all upstreams bear alike, and
// against recalls that don't help where one upstream stands still.
func TestRecallsAcrossFleet(t *testing.T) {
	usual := func(time.Duration) float64 { return 1 }
	slowFor := func(slow, period, phase time.Duration, speed float64) func(time.Duration) float64 {
		return func(now time.Duration) float64 {
			if (now+phase)%period < slow {
				return speed
			}
			return 1
		}
	}
	noise := func(phase time.Duration) func(time.Duration) float64 { return slowFor(600*ms, 2400*ms, phase, 0.4) }
	for name, c := range map[string]struct {
		load   float64
		speeds []func(time.Duration) float64
		gains  bool // recalls halve the late requests; else, they cost at most 1 %
	}{
		"equal, half load":   {0.5, []func(time.Duration) float64{usual}, false},
		"equal, full load":   {1.0, []func(time.Duration) float64{usual}, false},
		"all slow, overload": {0.6, []func(time.Duration) float64{slowFor(1, 1, 0, 0.5)}, false},
		"all noisy at once":  {0.7, []func(time.Duration) float64{noise(0)}, false},
		"noisy one by one":   {0.6, []func(time.Duration) float64{noise(0), noise(600 * ms), noise(1200 * ms), noise(1800 * ms)}, false},
		"one stands still":   {0.5, append(slices.Repeat([]func(time.Duration) float64{usual}, 7), slowFor(3*time.Second, 10*time.Second, 0, 0)), true},
	} {
		t.Run(name, func(t *testing.T) {
			var with, without fleet // sums
			for seed := range uint64(8) {
				for _, sum := range []*fleet{&with, &without} {
					f := simulate(seed, c.load, sum == &with, c.speeds...)
					sum.requests, sum.recalls, sum.late, sum.total = sum.requests+f.requests, sum.recalls+f.recalls, sum.late+f.late, sum.total+f.total
					if limit := f.requests/20 + 2; f.recalls > limit {
						t.Errorf("seed %d: %d recalls, want at most %d", seed, f.recalls, limit)
					}
				}
			}
			change := 100 * (float64(with.total)/float64(without.total) - 1)
			t.Logf("%d requests, %d recalls, sum of waits %+.2f %%, late %d, without %d", with.requests, with.recalls, change, with.late, without.late)
			if c.gains && (change > -2 || 2*with.late > without.late) || change > 1 || with.late > without.late*101/100+1 {
				t.Error("recalls make it worse, or don't help")
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	d, s := observed(1), late()
	s.Here.Waited = 200 * ms
	for b.Loop() {
		d.Decide("models", s, start)
	}
}
