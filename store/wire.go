package store

import (
	"time"

	"github.com/juju/errors"
)

// PathPrefix begins the path of each call over HTTP. The name of the call, such
// as "Get", follows. All calls are POST requests with a WireRequest as JSON.
const PathPrefix = "/v1/"

// ClientHeader carries the name of the client.
const ClientHeader = "Store-Client"

type (
	// WireRequest is the body of a call. Each call uses the fields it needs.
	WireRequest struct {
		Key       string        `json:",omitempty"`
		Prefix    string        `json:",omitempty"`
		Value     []byte        `json:",omitempty"`
		IfVersion uint64        `json:",omitempty"`
		After     uint64        `json:",omitempty"`
		Lease     LeaseID       `json:",omitempty"`
		TTL       time.Duration `json:"TTLNanoseconds,omitempty"`
	}

	// WireReply is the body of an answer. Error is empty or an ErrorName.
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
	{"Budget", ErrRateLimited},
	{"Unavailable", ErrUnavailable},
	{"UnknownOutcome", ErrUnknownOutcome},
}

// ErrorName returns the name of a failure in answers and counters: "OK" for nil
// and "UnknownOutcome" for errors that this package doesn't know.
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

// errorByName is the inverse of ErrorName, and nil for other names.
func errorByName(name string) (named error) {
	for _, candidate := range namedErrors {
		if candidate.name == name {
			return candidate.err
		}
	}
	return nil
}
