// Package recall decides when to call back a request, or the separate prefill of one,
// that was sent to an upstream and hasn't begun there, and to send it to another
// upstream. It uses neither the network nor a clock: times, loads and expectations are
// arguments. Package dispatch knows what is expected of upstreams; package entry asks
// for a decision while a request waits, ends its connection and sends it again.
//
// The decision compares the expected remaining time here with the expected time there,
// which includes starting over. Both come from the same model of the upstreams, whose
// error the decision corrects: the node reports how long work took (Observe), and
// expectations are multiplied by the recent ratio of the taken to the expected time of
// that kind of work in the service.
// Without enough recent reports, nothing is recalled.
//
// A recall is bounded so that it can't make an overload worse: a request is recalled
// at most once, recalls are a share of the node's requests, each of them takes a retry
// from the shared budget, and the gain must exceed the work that is lost.
//
// Failures affect the decisions as follows:
//   - A false load or speed causes at most one recall of a request, and no more than the
//     share of the requests.
//   - When all upstreams are late, the ratio rises with each completion and each recall,
//     and with it what is expected there.
//   - When the budget or the share is used up, requests stay where they are.
//
// # Usage
//
//	d := recall.New()
//	d.CountRequest("models")
//	// recall.FirstCheck after the request was sent, if it hasn't begun:
//	switch verdict := d.Decide("models", situation, now).(type) {
//	case recall.Recall:
//		// close the connection, and send the request to another upstream
//	case recall.Keep:
//		// ask again after verdict.Again, if it isn't 0
//	}
//	d.Observe("models", work, expected, took, now) // when work has begun
package recall

import (
	"sync"
	"time"
)

const (
	// FirstCheck is the time after which the first decision on a request is due. In the
	// logs of two fleets, 83 % and 93 % of the prefills had ended by then.
	FirstCheck = 150 * time.Millisecond
	// MaxChecks bounds the decisions on one attempt, and thus their processor time.
	MaxChecks = 8
	// minCheckInterval and maxCheckInterval bound the time until the next decision. A load
	// elsewhere can fall at any time, so that a request isn't left alone for longer.
	minCheckInterval = 25 * time.Millisecond
	maxCheckInterval = 500 * time.Millisecond

	// minGain is the least gain of a recall. It covers the round trip to another region
	// (60 ms), the new connection, and the age of the loads.
	minGain = 100 * time.Millisecond
	// uncertaintyPercent of the time that is expected there is required in addition: the
	// expectation is as uncertain there as it was here. In trials of the simulation in
	// recall_test.go at full load, 50 % cost 0.64 % of the sum of all waits, 100 % cost
	// 0.26 %. A higher percentage recalls fewer requests that would have gained.
	uncertaintyPercent = 150
	// holdPercent of the time that recalled work was expected to take; see Recall.Hold.
	holdPercent = 50
)

// Reasons for a recall.
const (
	// Late means that the request has waited for longer than was expected.
	Late Reason = "Late"
	// Deadline means that the request is expected to miss its deadline here.
	Deadline Reason = "Deadline"
	// FasterElsewhere means that the request isn't late, but another upstream has become faster.
	FasterElsewhere Reason = "FasterElsewhere"
)

// Causes for which a request stays.
const (
	// Forbidden means that the request may not be recalled.
	Forbidden Cause = "Forbidden"
	// Unobserved means that too little work has begun lately to trust expectations.
	Unobserved Cause = "Unobserved"
	// NoTime means that the request would miss its deadline elsewhere too.
	NoTime Cause = "NoTime"
	// NoGain means that no other upstream is expected to be faster by enough.
	NoGain Cause = "NoGain"
	// ShareUsed means that this node has recalled its share of requests.
	ShareUsed Cause = "Share"
	// BudgetUsed means that the retry budget is used up.
	BudgetUsed Cause = "Budget"
)

type (
	// Reason is why a request is recalled.
	Reason string

	// Cause is why a request stays.
	Cause string

	// Work is what was sent to the upstream: Prefill or Run.
	Work interface{ isWork() }

	// Prefill is a separate prefill, which isn't a run of the request.
	Prefill struct{}

	// Run is an attempt that may run the request.
	Run struct {
		Repeatable bool // the request may run again after a run that may have happened
		Begun      bool // the caller has a part of the response
	}

	// Situation is what a decision on a waiting request needs to know.
	Situation struct {
		Work Work
		// Attempts counts the attempts so far against MaxAttempts, the present one
		// included unless it is a Prefill.
		Attempts, MaxAttempts int
		Recalled              bool          // the request was recalled before
		Left                  time.Duration // until the deadline of the request
		Here                  Here
		There                 There
		// Spend takes a retry from the shared budget and reports whether there was one.
		// It is called last, only if all else is for a recall.
		Spend func(now time.Time) (ok bool)
	}

	// Here is what is known of the upstream that has the request.
	Here struct {
		// Expected is the time from sending to the beginning, as it was expected when
		// the request was sent. Own is the part of it for the request's own work.
		Expected, Own time.Duration
		Waited        time.Duration // since it was sent
		// Slowdown is how many times as long the upstream's work takes now as was
		// expected when the request was sent.
		Slowdown float64
		// Queued means that the upstream has reported since then that requests wait
		// there. Otherwise, the request's own work may have begun.
		Queued bool
	}

	// There is what is expected of the best other upstream.
	There struct {
		Found    bool
		Expected time.Duration // from sending to the beginning
		Network  time.Duration // cost of reaching it
	}

	// Verdict is a decision: Recall or Keep.
	Verdict interface{ isVerdict() }

	// Recall means that the request is called back. Here and There are the corrected
	// expectations that were compared. For the time of Hold, placements should count the
	// work as if it were still at the upstream: without it, an upstream that stands still
	// looks idle and gets more. Held for the whole of Here, upstreams that only were late
	// are avoided for too long.
	Recall struct {
		Reason      Reason
		Here, There time.Duration
		Hold        time.Duration
	}

	// Keep means that the request stays where it is. The next decision is due after
	// Again; 0 means that there is none.
	Keep struct {
		Cause Cause
		Again time.Duration
	}

	// Decider makes the decisions of one node. It is safe for concurrent use.
	Decider struct {
		mu       sync.Mutex
		services map[string]*service
	}

	// service is what a Decider knows of a service.
	service struct {
		prefills, runs calibration
		share          share
	}
)

func (Prefill) isWork()   {}
func (Run) isWork()       {}
func (Recall) isVerdict() {}
func (Keep) isVerdict()   {}

// New returns a Decider that has observed nothing.
func New() (d *Decider) { return &Decider{services: map[string]*service{}} }

// CountRequest counts a request, of which a share may be recalled.
func (d *Decider) CountRequest(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(name).share.countRequest()
}

// Observe records that work has begun, and how long that took.
func (d *Decider) Observe(name string, work Work, expected, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(name).calibration(work).observe(expected, took, now)
}

// Decide decides whether a request that waits is recalled.
func (d *Decider) Decide(name string, s Situation, now time.Time) (verdict Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !s.Permitted() {
		return Keep{Cause: Forbidden}
	}
	known := d.service(name)
	calibration := known.calibration(s.Work)
	factor, ok := calibration.factor(now)
	if !ok {
		return Keep{Cause: Unobserved, Again: maxCheckInterval}
	}
	if !s.There.Found {
		return Keep{Cause: NoGain, Again: maxCheckInterval}
	}
	here, there := s.Here.remaining(factor), s.There.remaining(factor)
	if s.Left < there+minGain {
		return Keep{Cause: NoTime, Again: s.nextCheck(maxCheckInterval)}
	}
	reason := s.reason(factor, here)
	if required := there + s.requiredGain(reason, factor, there); here < required {
		// It is gained once the request is late by that much; see Here.remaining.
		return Keep{Cause: NoGain, Again: s.nextCheck(required - (s.Here.Waited - scale(s.Here.Expected, factor)))}
	}
	switch {
	case !known.share.available():
		return Keep{Cause: ShareUsed, Again: s.nextCheck(maxCheckInterval)}
	case !s.Spend(now):
		return Keep{Cause: BudgetUsed}
	}
	known.share.take()
	// The work would have taken at least this long here.
	calibration.observe(s.Here.Expected, s.Here.Waited, now)
	return Recall{Reason: reason, Here: here, There: there, Hold: min(here*holdPercent/100, s.Left)}
}

// Permitted reports whether the request may be recalled at all. After the recall, it
// needs one attempt more, and a separate prefill, which counts as an attempt when it is
// repeated, also leaves one for the run.
func (s Situation) Permitted() (ok bool) {
	if s.Recalled {
		return false
	}
	switch w := s.Work.(type) {
	case Prefill:
		return s.Attempts+2 <= s.MaxAttempts
	case Run:
		return w.Repeatable && !w.Begun && s.Attempts+1 <= s.MaxAttempts
	default:
		return false
	}
}

// reason returns why the request would be recalled.
func (s *Situation) reason(factor float64, here time.Duration) (reason Reason) {
	switch {
	case here > s.Left:
		return Deadline
	case s.Here.Waited > scale(s.Here.Expected, factor):
		return Late
	default:
		return FasterElsewhere
	}
}

// requiredGain returns by how much sooner the request must be expected to begin there.
// The time of other requests that lost work costs counts like that of this request,
// except if the request would fail here.
func (s *Situation) requiredGain(reason Reason, factor float64, there time.Duration) (gain time.Duration) {
	if reason == Deadline {
		return minGain
	}
	return minGain + max(there*uncertaintyPercent/100, s.Here.lost(factor))
}

// nextCheck returns the time until the next decision, or 0 if it would come too late to
// gain anything.
func (s *Situation) nextCheck(wait time.Duration) (again time.Duration) {
	again = min(max(wait, minCheckInterval), maxCheckInterval)
	if again+minGain >= s.Left {
		return 0
	}
	return again
}

// remaining returns the expected time until the request begins here. One that is late
// is expected to take as much longer as it is late already: in the logs of two fleets,
// the mean of what was left was 1.4 to 2.9 times that, for prefills that had waited two to
// four times as long as was expected.
func (h Here) remaining(factor float64) (rest time.Duration) {
	expected := scale(h.Expected, factor)
	if rest = scale(expected-h.Waited, h.Slowdown); rest < 0 {
		rest = h.Waited - expected
	}
	if h.Queued { // its own work hasn't begun
		rest = max(rest, scale(h.Own, factor*h.Slowdown))
	}
	return rest
}

// lost returns the most work that the upstream may have done for the request.
func (h Here) lost(factor float64) (work time.Duration) {
	if h.Queued {
		return 0
	}
	return min(h.Waited, scale(h.Own, factor))
}

// remaining returns the expected time until the request begins there.
func (t There) remaining(factor float64) (rest time.Duration) {
	return scale(t.Expected, factor) + t.Network
}

// service returns what is known of a service. The caller holds mu.
func (d *Decider) service(name string) (s *service) {
	if s = d.services[name]; s == nil {
		s = &service{}
		d.services[name] = s
	}
	return s
}

// calibration returns that of a kind of work.
func (s *service) calibration(work Work) (c *calibration) {
	if _, isPrefill := work.(Prefill); isPrefill {
		return &s.prefills
	}
	return &s.runs
}

func scale(d time.Duration, factor float64) (scaled time.Duration) {
	return time.Duration(float64(d) * factor)
}
