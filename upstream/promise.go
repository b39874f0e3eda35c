package upstream

import "net/http"

// PromisesNotRun reports whether callers take an HTTP status as the promise that their
// request has not run and never will. They send such a request again, even one that may
// run only once.
func PromisesNotRun(status int) (ok bool) {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Allows reports whether an HTTP status is true of a request with this work status.
func (s WorkStatus) Allows(status int) (ok bool) { return s == NotRun || !PromisesNotRun(status) }
