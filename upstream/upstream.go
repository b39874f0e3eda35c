// Package upstream holds the types that describe work on an upstream: the
// request, what comes back, and how far an attempt got.
//
// # Usage
//
// A client of an upstream returns an *upstream.Failure whose Progress decides
// what may follow:
//
//	var failure *upstream.Failure
//	if errors.As(err, &failure) && failure.Progress.MayRepeat(route.Repeat) {
//		// another attempt is safe
//	}
package upstream

import (
	"fmt"
	"net/http"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
)

// How far an attempt got. Only up to NotWritten is it certain that the work
// didn't run.
const (
	// NotDialed means that no connection to the upstream was made.
	NotDialed Progress = iota
	// NotWritten means that no byte of the request was written, or that the
	// upstream refused the request before running it.
	NotWritten
	// Written means that some of the request was written and no answer came.
	Written
	// Answered means that the upstream began to answer.
	Answered
)

// Whether a refused request ran, as a refusal says in HeaderWorkStatus.
const (
	NotRun     WorkStatus = "NotRun"
	MayHaveRun WorkStatus = "MayHaveRun"
)

// Reasons for refusals, retries and failed attempts. Each has a counter.
const (
	ReasonConnect      Reason = "Connect"      // no connection to the upstream
	ReasonBroken       Reason = "Broken"       // the connection broke
	ReasonBusy         Reason = "Busy"         // the upstream or its queue is full
	ReasonDown         Reason = "Down"         // its scheduler knows it to be down
	ReasonDeadline     Reason = "Deadline"     // it would not, or did not, end in time
	ReasonDraining     Reason = "Draining"     // the upstream takes no new work
	ReasonNotSteward   Reason = "NotSteward"   // the peer isn't responsible for the upstream
	ReasonPeer         Reason = "Peer"         // the peer node failed
	ReasonBadAnswer    Reason = "BadAnswer"    // the upstream broke its protocol
	ReasonRejected     Reason = "Rejected"     // the upstream refused the request as invalid
	ReasonCanceled     Reason = "Canceled"     // the caller left
	ReasonPoison       Reason = "Poison"       // the request crashed two upstreams
	ReasonWithdrawn    Reason = "Withdrawn"    // the key was withdrawn while it waited
	ReasonNoUpstream   Reason = "NoUpstream"   // no upstream matches
	ReasonRetryBudget  Reason = "RetryBudget"  // no retries left
	ReasonStoreDown    Reason = "StoreDown"    // a claim could not be made
	ReasonInProgress   Reason = "InProgress"   // the idempotency key is in use
	ReasonUnknown      Reason = "Unknown"      // the first run's outcome is unknown
	ReasonKeyReused    Reason = "KeyReused"    // the idempotency key belongs to another request
	ReasonUnauthorized Reason = "Unauthorized" // no or unknown key
	ReasonIsolated     Reason = "Isolated"     // withdrawals can't reach this node
	ReasonRate         Reason = "Rate"         // the workspace's rate limit
	ReasonConcurrency  Reason = "Concurrency"  // the workspace's concurrency limit
	ReasonBodyTooLarge Reason = "BodyTooLarge" // the body exceeds the limit
	ReasonBadRequest   Reason = "BadRequest"   // the request can't be read
	ReasonNotFound     Reason = "NotFound"     // no route or model
	ReasonStarting     Reason = "Starting"     // this node knows no configuration yet
	ReasonStopping     Reason = "Stopping"     // this node shuts down
)

type (
	// Progress is how far an attempt got.
	Progress uint8
	// WorkStatus says whether refused work ran.
	WorkStatus string
	// Reason names the cause of a refusal, retry or failure.
	Reason string

	// Generation is a model request as it travels to an engine.
	Generation struct {
		Workspace string `cbor:"1,keyasint,omitzero"` // Workspace.QualifiedName, passed on as a header instead of the caller's key
		Model     string `cbor:"2,keyasint,omitzero"`
		Prompt    string `cbor:"3,keyasint,omitzero"` // chat messages are flattened by the caller package
		MaxTokens int    `cbor:"4,keyasint,omitzero"`
		// Offset is the number of tokens that the caller already has. An engine
		// resumes behind them.
		Offset int `cbor:"5,keyasint,omitzero"`
		// GeneratedTokens are those tokens, for an engine that has to prefill
		// them.
		GeneratedTokens []string `cbor:"6,keyasint,omitzero"`
		Priority        int      `cbor:"7,keyasint,omitzero"`
		Seed            int64    `cbor:"8,keyasint,omitzero"`
		Prefix          []uint64 `cbor:"9,keyasint,omitzero"` // hashes of the prompt's leading pieces
	}

	// Usage counts the tokens of one attempt. CompletionTokens are those that
	// the attempt generated, without the ones below its Offset.
	Usage struct {
		PromptTokens     int `cbor:"1,keyasint,omitzero"`
		CachedTokens     int `cbor:"2,keyasint,omitzero"`
		CompletionTokens int `cbor:"3,keyasint,omitzero"`
	}

	// Token is one piece of generated text at its offset in the answer.
	Token struct {
		Offset int
		Text   string
	}

	// Call is a request to a plain service.
	Call struct {
		Method string      `cbor:"1,keyasint,omitzero"`
		Target string      `cbor:"2,keyasint,omitzero"` // path and query
		Header http.Header `cbor:"3,keyasint,omitzero"`
		Body   []byte      `cbor:"4,keyasint,omitzero"`
	}

	// Answer is a plain service's whole answer.
	Answer struct {
		Status int         `cbor:"1,keyasint,omitzero"`
		Header http.Header `cbor:"2,keyasint,omitzero"`
		Body   []byte      `cbor:"3,keyasint,omitzero"`
	}

	// Failure is a failed attempt.
	Failure struct {
		Reason   Reason   `cbor:"1,keyasint,omitzero"`
		Progress Progress `cbor:"2,keyasint,omitzero"`
		// Crashed means that the upstream broke off while it ran the request.
		Crashed    bool          `cbor:"3,keyasint,omitzero"`
		RetryAfter time.Duration `cbor:"4,keyasint,omitzero"`
		Detail     string        `cbor:"5,keyasint,omitzero"`
	}
)

// Error describes the failure for a log line.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (progress %s): %s", f.Reason, f.Progress, f.Detail)
}

// WorkStatus returns what may truthfully be said of the work after the attempt.
func (p Progress) WorkStatus() WorkStatus {
	if p <= NotWritten {
		return NotRun
	}
	return MayHaveRun
}

// MayRepeat reports whether work of this kind may be attempted again.
func (p Progress) MayRepeat(repeat fleet.RetryClass) bool {
	return p.WorkStatus() == NotRun || repeat == fleet.Idempotent
}

// String returns the name used in logs.
func (p Progress) String() string {
	switch p {
	case NotDialed:
		return "NotDialed"
	case NotWritten:
		return "NotWritten"
	case Written:
		return "Written"
	default:
		return "Answered"
	}
}
