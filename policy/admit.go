package policy

import "time"

// Verdicts of admission.
const (
	// Admitted work is expected to end in time.
	Admitted Verdict = iota
	// TooLate work would miss its objective or deadline behind the waiting
	// work. It may be tried again later.
	TooLate
	// NeverInTime work takes too long on this upstream even without waiting.
	// Another one may be faster.
	NeverInTime
)

type (
	// Verdict is the outcome of admission.
	Verdict uint8

	// AdmitRequest describes work that asks to wait for an upstream.
	AdmitRequest struct {
		// Ahead is the cost that would be served first, as Queue.Ahead tells.
		Ahead int64
		// Rate is the cost that the upstream serves per second.
		Rate float64
		// FirstToken is the work's own time to its first token on this upstream
		// without waiting, and Total to its last.
		FirstToken time.Duration
		Total      time.Duration
		// BestFirstToken is the time to the first token on the fastest idle
		// upstream. Work that can't meet its objective even there is served
		// late rather than never.
		BestFirstToken time.Duration
		// Objective is the longest useful time to the first token, counted from
		// the request's arrival, and Waited the time since; 0 means no objective.
		Objective time.Duration
		Waited    time.Duration
		// NextStageWait is the expected wait for the stage after the first
		// token, and NextStageLimit the longest that keeps the pace; 0 means
		// none.
		NextStageWait  time.Duration
		NextStageLimit time.Duration
		// Deadline is the remaining time to the last token, negative when it is
		// past; 0 means none.
		Deadline time.Duration
	}

	// Admission says whether work is accepted. RetryAfter is set when it is
	// TooLate.
	Admission struct {
		Verdict    Verdict
		RetryAfter time.Duration
		// Wait is the expected time until the work starts.
		Wait time.Duration
	}
)

// Admit refuses work that would be late. RetryAfter is the time after which
// the same work is admitted, provided that the waiting work drains at the given
// rate and no other work takes its place.
func Admit(request AdmitRequest) (admission Admission) {
	slack, bounded := request.slack()
	switch {
	case request.Ahead <= 0:
	case request.Rate <= 0:
		admission.Wait = seconds(24 * 3600)
	default:
		admission.Wait = seconds(float64(request.Ahead) / request.Rate)
	}
	switch {
	case request.NextStageLimit > 0 && request.NextStageWait > request.NextStageLimit:
		admission.Verdict = TooLate
		admission.RetryAfter = request.roundUp(max(request.NextStageWait-request.NextStageLimit, admission.Wait-slack))
	case !bounded:
	case slack < 0:
		admission.Verdict = NeverInTime
	case admission.Wait > slack:
		admission.Verdict = TooLate
		admission.RetryAfter = request.roundUp(admission.Wait - slack)
	}
	return admission
}

// OK reports whether the work is admitted.
func (a Admission) OK() bool { return a.Verdict == Admitted }

// slack is how long the work may wait. Work that can't meet its objective on
// any upstream waits no longer than the objective.
func (r *AdmitRequest) slack() (slack time.Duration, bounded bool) {
	if r.Objective > 0 {
		slack, bounded = r.Objective-r.Waited, true
		if r.BestFirstToken <= r.Objective {
			slack -= r.FirstToken
		}
	}
	if r.Deadline != 0 {
		if left := r.Deadline - max(r.Total, r.FirstToken); !bounded || left < slack {
			slack, bounded = left, true
		}
	}
	return slack, bounded
}

// roundUp adds the time of one unit of cost and rounds to milliseconds. Costs
// are whole units, so that the load shrinks up to one unit later than the rate
// says.
func (r *AdmitRequest) roundUp(d time.Duration) time.Duration {
	if r.Rate > 0 {
		d += seconds(1 / r.Rate)
	}
	return (d + 2*time.Millisecond).Truncate(time.Millisecond)
}

// String returns the name used in logs.
func (v Verdict) String() string {
	switch v {
	case Admitted:
		return "Admitted"
	case TooLate:
		return "TooLate"
	default:
		return "NeverInTime"
	}
}
