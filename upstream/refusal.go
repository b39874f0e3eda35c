package upstream

import (
	"net/http"
	"strconv"
	"time"
)

// RetryAfter returns the value of a Retry-After header given in seconds, or 0 if
// the header is missing, negative or in date form.
func RetryAfter(header http.Header) (wait time.Duration) {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// ParseRefusal returns the failure described by an upstream's refusal, or nil if
// the response doesn't state that the request did not run, so that it may have
// run. If the refusal gives no reason or another than ReasonBusy, ReasonDraining
// and ReasonRejected, the reason is ReasonBusy for status 429 and from 500, and
// ReasonRejected otherwise.
func ParseRefusal(status int, header http.Header, detail string) *Failure {
	if WorkStatus(header.Get(HeaderWorkStatus)) != NotRun {
		return nil
	}
	reason := Reason(header.Get(HeaderReason))
	switch reason {
	case ReasonBusy, ReasonDraining, ReasonRejected:
	default:
		if reason = ReasonRejected; status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
			reason = ReasonBusy
		}
	}
	return &Failure{Reason: reason, Progress: NotWritten, RetryAfter: RetryAfter(header), Detail: detail}
}
