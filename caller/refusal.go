package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/guavagauge/guavagauge/upstream"
)

// HeaderRequestID identifies the request in logs.
const HeaderRequestID = "X-Request-Id"

type (
	// Refusal is why a request gets no answer from an upstream.
	Refusal struct {
		Status     int
		Reason     upstream.Reason
		Ran        upstream.Ran
		Message    string
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

// notRun is a refusal of work that certainly didn't run.
func notRun(reason upstream.Reason, message string) *Refusal {
	return refusal(reason, upstream.NotRun, message)
}

func refusal(reason upstream.Reason, ran upstream.Ran, message string) *Refusal {
	status, ok := statuses[reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return &Refusal{Status: status, Reason: reason, Ran: ran, Message: message, RetryAfter: retryAfter[reason]}
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
		Message: r.Message, Type: "server_error", Code: string(r.Reason), WorkStatus: string(r.Ran),
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
	header.Set(upstream.HeaderWorkStatus, string(r.Ran))
	header.Set(upstream.HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	w.Write(append(r.body(), '\n')) // the caller may have left
}
