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
	// HeaderRequestID is the header with the ID that the request has in logs.
	HeaderRequestID = "X-Request-Id"
	// HeaderKeyStatus is a header of refusals. Its value Unknown means that an
	// earlier request with the same idempotency key may have run, even if the
	// refused request didn't.
	HeaderKeyStatus = "Idempotency-Key-Status"
)

type (
	// Refusal is the error response to a request, or the error event that ends
	// its stream.
	Refusal struct {
		Status     int
		Reason     upstream.Reason
		WorkStatus upstream.WorkStatus
		Message    string // for the caller
		Detail     string // for the log; may contain internal addresses
		KeyUnknown bool   // an earlier request with the same idempotency key may have run
		Parameter  string // invalid field of the body, if any
		RetryAfter time.Duration
	}

	// errorBody is the body of error responses in the OpenAI-style API.
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

// statuses maps reasons to HTTP statuses. Others have 503 Service Unavailable.
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
	upstream.ReasonBadResponse:  http.StatusBadGateway,
	upstream.ReasonBroken:       http.StatusBadGateway,
	upstream.ReasonCanceled:     499, // the caller disconnected; only seen in logs
}

// retryAfter is the minimum Retry-After time of reasons that are temporary. A
// longer wait comes from the rate limit or the failed attempt.
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

// messages explain the reasons of failed attempts to callers. For reasons without
// a message, refusalFor uses the detail of the failure.
var messages = map[upstream.Reason]string{
	upstream.ReasonConnect:      "the upstream can't be reached",
	upstream.ReasonBroken:       "the connection to the upstream broke",
	upstream.ReasonBusy:         "all upstreams are busy",
	upstream.ReasonDown:         "the upstream is down",
	upstream.ReasonDeadline:     "the deadline has passed",
	upstream.ReasonDraining:     "the upstream is being drained",
	upstream.ReasonNotScheduler: "the upstream is changing to another scheduler",
	upstream.ReasonPeer:         "a node that handled the request failed",
	upstream.ReasonBadResponse:  "the upstream's response was invalid",
	upstream.ReasonCanceled:     "the request was canceled",
	upstream.ReasonNoUpstream:   "no upstream takes this work at the moment",
	upstream.ReasonStopping:     "a node that handled the request is shutting down",
	upstream.ReasonWithdrawn:    "the key was withdrawn while the request waited",
}

// notRun returns a refusal of work that certainly didn't run.
func notRun(reason upstream.Reason, message string) *Refusal {
	return refusal(reason, upstream.NotRun, message)
}

// refusal returns a refusal with the HTTP status and the Retry-After time of
// the reason.
func refusal(reason upstream.Reason, workStatus upstream.WorkStatus, message string) *Refusal {
	status, ok := statuses[reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return &Refusal{Status: status, Reason: reason, WorkStatus: workStatus, Message: message, RetryAfter: retryAfter[reason]}
}

// badField returns a refusal of a body with an invalid field. The parameter is
// empty if the field isn't known.
func badField(parameter, message string) *Refusal {
	r := notRun(upstream.ReasonBadRequest, message)
	r.Parameter = parameter
	return r
}

// body returns the refusal as an errorBody in JSON.
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
	body, _ := json.Marshal(errorBody{detail}) // strings only, so this can't fail
	return body
}

// write writes the refusal as a complete response.
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
	w.Write(append(r.body(), '\n')) // the caller may have disconnected
}
