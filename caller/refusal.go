package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/guavagauge/guavagauge/upstream"
)

const (
	// HeaderRequestID identifies the request in logs.
	HeaderRequestID = "X-Request-Id"
	// HeaderKeyStatus is Unknown on a refusal that says NotRun of itself, while
	// an earlier request with the same idempotency key may have run.
	HeaderKeyStatus = "Idempotency-Key-Status"
)

type (
	// Refusal is why a request gets no answer from an upstream.
	Refusal struct {
		Status     int
		Reason     upstream.Reason
		WorkStatus upstream.WorkStatus
		Message    string // for the caller
		Detail     string // for the log, with addresses that are no caller's business
		KeyUnknown bool   // whether an earlier request with its idempotency key ran isn't known
		Parameter  string // the body's field at fault, if any
		RetryAfter time.Duration
	}

	// errorBody is the error shape of the OpenAI-style API.
	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Message    string  `json:"message"`
		Type       string  `json:"type"`
		Param      *string `json:"param"`
		Code       string  `json:"code"`
		WorkStatus string  `json:"work_status"`
	}
)

// statuses gives the HTTP status of each reason.
var statuses = map[upstream.Reason]int{
	upstream.ReasonUnauthorized: http.StatusUnauthorized,
	upstream.ReasonWithdrawn:    http.StatusUnauthorized,
	upstream.ReasonNotFound:     http.StatusNotFound,
	upstream.ReasonBadRequest:   http.StatusBadRequest,
	upstream.ReasonRejected:     http.StatusBadRequest,
	upstream.ReasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	upstream.ReasonRate:         http.StatusTooManyRequests,
	upstream.ReasonConcurrency:  http.StatusTooManyRequests,
	upstream.ReasonBusy:         http.StatusTooManyRequests,
	upstream.ReasonInProgress:   http.StatusConflict,
	upstream.ReasonUnknown:      http.StatusConflict,
	upstream.ReasonPoison:       http.StatusUnprocessableEntity,
	upstream.ReasonKeyReused:    http.StatusUnprocessableEntity,
	upstream.ReasonDeadline:     http.StatusGatewayTimeout,
	upstream.ReasonBadAnswer:    http.StatusBadGateway,
	upstream.ReasonBroken:       http.StatusBadGateway,
	upstream.ReasonCanceled:     499, // the caller left; seen in logs only
}

// retryable reasons pass by themselves, so a caller may wait and try again.
var retryAfter = map[upstream.Reason]time.Duration{
	upstream.ReasonBusy:        time.Second,
	upstream.ReasonRate:        time.Second,
	upstream.ReasonConcurrency: time.Second,
	upstream.ReasonStarting:    time.Second,
	upstream.ReasonStoreDown:   2 * time.Second,
	upstream.ReasonInProgress:  time.Second,
	upstream.ReasonRetryBudget: time.Second,
	upstream.ReasonIsolated:    5 * time.Second,
	upstream.ReasonStopping:    time.Second,
	upstream.ReasonDraining:    time.Second,
	upstream.ReasonNoUpstream:  5 * time.Second,
	upstream.ReasonDown:        time.Second,
	upstream.ReasonConnect:     time.Second,
	upstream.ReasonPeer:        time.Second,
}

// messages tell callers why an attempt failed.
var messages = map[upstream.Reason]string{
	upstream.ReasonConnect:    "the upstream can't be reached",
	upstream.ReasonBroken:     "the upstream broke off",
	upstream.ReasonBusy:       "all upstreams are busy",
	upstream.ReasonDown:       "the upstream is down",
	upstream.ReasonDeadline:   "the deadline has passed",
	upstream.ReasonDraining:   "the upstream is being drained",
	upstream.ReasonNotSteward: "the upstream is changing hands",
	upstream.ReasonPeer:       "a node on the way failed",
	upstream.ReasonBadAnswer:  "the upstream's answer was faulty",
	upstream.ReasonCanceled:   "the request was canceled",
	upstream.ReasonNoUpstream: "no upstream takes this work at the moment",
	upstream.ReasonStopping:   "a node on the way is shutting down",
	upstream.ReasonWithdrawn:  "the key was withdrawn while the request waited",
}

// notRun is a refusal of work that certainly didn't run.
func notRun(reason upstream.Reason, message string) *Refusal {
	return refusal(reason, upstream.NotRun, message)
}

func refusal(reason upstream.Reason, ran upstream.WorkStatus, message string) *Refusal {
	status, ok := statuses[reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return &Refusal{Status: status, Reason: reason, WorkStatus: ran, Message: message, RetryAfter: retryAfter[reason]}
}

// badField is a refusal of a body whose field can't be accepted.
func badField(parameter, message string) *Refusal {
	r := notRun(upstream.ReasonBadRequest, message)
	r.Parameter = parameter
	return r
}

// body returns the refusal in the API's error shape.
func (r *Refusal) body() []byte {
	detail := errorDetail{
		Message: r.Message, Type: "server_error", Code: string(r.Reason), WorkStatus: string(r.WorkStatus),
	}
	switch {
	case r.Status == http.StatusUnauthorized:
		detail.Type = "authentication_error"
	case r.Status == http.StatusTooManyRequests:
		detail.Type = "rate_limit_error"
	case r.Status < http.StatusInternalServerError:
		detail.Type = "invalid_request_error"
	}
	if r.Parameter != "" {
		detail.Param = &r.Parameter
	}
	body, _ := json.Marshal(errorBody{detail}) // plain strings only: can't fail
	return body
}

// write sends the refusal as a whole answer.
func (r *Refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(upstream.HeaderWorkStatus, string(r.WorkStatus))
	header.Set(upstream.HeaderReason, string(r.Reason))
	if r.KeyUnknown {
		header.Set(HeaderKeyStatus, "Unknown")
	}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	w.Write(append(r.body(), '\n')) // the caller may have left
}
