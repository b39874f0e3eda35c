package store

import (
	"time"

	"github.com/juju/errors"
)

// PathPrefix is the path prefix of calls over HTTP, which the name of the call
// follows, such as "Get". All calls are POST requests whose body is a
// WireRequest as JSON.
const PathPrefix = "/v1/"

// ClientHeader is the request header that holds the name of the client.
const ClientHeader = "Store-Client"

type (
	// WireRequest is the body of a request. Each call uses only some fields.
	WireRequest struct {
		Key       string        `json:",omitempty"`
		Prefix    string        `json:",omitempty"`
		Value     []byte        `json:",omitempty"`
		IfVersion uint64        `json:",omitempty"`
		After     uint64        `json:",omitempty"`
		Lease     LeaseID       `json:",omitempty"`
		TTL       time.Duration `json:"TTLNanoseconds,omitempty"`
	}

	// WireReply is the body of a response. Error is empty or an error's name as
	// returned by ErrorName.
	WireReply struct {
		Error    string        `json:",omitempty"`
		Entries  []Entry       `json:",omitempty"`
		Events   []Event       `json:",omitempty"`
		Version  uint64        `json:",omitempty"`
		Revision uint64        `json:",omitempty"`
		Lease    LeaseID       `json:",omitempty"`
		TTL      time.Duration `json:"TTLNanoseconds,omitempty"`
	}

	namedError struct {
		name string
		err  errors.ConstError
	}
)

var namedErrors = []namedError{
	{"NotFound", ErrNotFound},
	{"Conflict", ErrConflict},
	{"LeaseExpired", ErrLeaseExpired},
	{"TooLarge", ErrTooLarge},
	{"Compacted", ErrCompacted},
	{"Budget", ErrRateLimited}, // only in metrics, since such a call isn't sent
	{"Unavailable", ErrUnavailable},
	{"UnknownOutcome", ErrUnknownOutcome},
}

// ErrorName returns the name of an error in responses and metrics: "OK" for nil
// and "UnknownOutcome" for errors that this package doesn't define.
func ErrorName(err error) string {
	if err == nil {
		return "OK"
	}
	for _, named := range namedErrors {
		if errors.Is(err, named.err) {
			return named.name
		}
	}
	return "UnknownOutcome"
}

// errorByName returns the error with the given name, or nil for an unknown name.
func errorByName(name string) (named error) {
	for _, candidate := range namedErrors {
		if candidate.name == name {
			return candidate.err
		}
	}
	return nil
}
