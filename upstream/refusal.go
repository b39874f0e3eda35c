package upstream

import (
	"net/http"
	"strconv"
	"time"
)

// RetryAfter reads the Retry-After header in its form of seconds.
func RetryAfter(header http.Header) (wait time.Duration) {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// ParseRefusal returns the failure that an upstream's refusal stands for, or
// nil for an answer that doesn't promise that the work didn't run.
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
