package policy

import "time"

// Verdicts of admission.
const (
	// Admitted means that the work is expected to finish in time.
	Admitted Verdict = iota
	// TooLate means that the work would miss its objective or deadline because
	// of the work ahead of it. This upstream may admit it after RetryAfter.
	TooLate
	// NeverInTime means that the work takes too long on this upstream even
	// without waiting, or that its time has passed. Another upstream may be
	// faster.
	NeverInTime
)

type (
	// Verdict is the outcome of admission.
	Verdict uint8

	// AdmitRequest describes work to be added to the queue of an upstream.
	AdmitRequest struct {
		// Ahead is the cost of the work that would be served first, as returned
		// by Queue.Ahead.
		Ahead int64
		// Rate is the cost that the upstream serves per second. If it is 0 or less,
		// any work ahead counts as a wait of 24 hours.
		Rate float64
		// FirstToken and Total are the times to the first and to the last token
		// on this upstream without waiting.
		FirstToken time.Duration
		Total      time.Duration
		// BestFirstToken is the time to the first token on the fastest of all
		// upstreams when it is idle. Work that can't meet its objective even there is
		// served late rather than never. With 0, all work counts as able to meet it.
		BestFirstToken time.Duration
		// Objective is the target for the time from the arrival of the request to
		// its first token; 0 means none. Waited is the time since arrival.
		Objective time.Duration
		Waited    time.Duration
		// NextStageWait is the expected wait for the stage after the first
		// token, and NextStageLimit the longest wait with which the work still
		// meets its objective for the time per output token; a limit of 0 means
		// none.
		NextStageWait  time.Duration
		NextStageLimit time.Duration
		// Deadline is the time left until the last token is due, negative if it
		// has passed; 0 means no deadline.
		Deadline time.Duration
	}

	// Admission is the result of Admit.
	Admission struct {
		Verdict    Verdict
		RetryAfter time.Duration // set if Verdict is TooLate
		// Wait is the expected time until the work starts.
		Wait time.Duration
	}
)

// Admit decides whether work is accepted and refuses work that would be late.
// RetryAfter is the time after which the same work would no longer be refused
// as TooLate, if the queue drains at the given rate and no work is added to it.
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
		admission.RetryAfter = request.retryAfter(max(request.NextStageWait-request.NextStageLimit, admission.Wait-slack))
	case !bounded:
	case slack < 0:
		admission.Verdict = NeverInTime
	case admission.Wait > slack:
		admission.Verdict = TooLate
		admission.RetryAfter = request.retryAfter(admission.Wait - slack)
	}
	return admission
}

// OK reports whether the work is admitted.
func (a Admission) OK() bool { return a.Verdict == Admitted }

// slack returns how long the work may wait, and whether there is any bound.
// Work that can't meet its objective on any upstream may wait until the time of
// the objective has passed.
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

// retryAfter adds the time of one unit of cost to the excess wait, and rounds it
// to a whole number of milliseconds that exceeds the sum by more than 1 ms and at
// most 2 ms. Costs are whole units, so the load may shrink up to one unit later
// than the rate implies.
func (r *AdmitRequest) retryAfter(excess time.Duration) time.Duration {
	if r.Rate > 0 {
		excess += seconds(1 / r.Rate)
	}
	return (excess + 2*time.Millisecond).Truncate(time.Millisecond)
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
