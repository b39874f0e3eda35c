// Package upstream holds the types that describe requests to an upstream: the
// request itself, the response or failure, and the progress of an attempt. The
// clients in the packages engine and service produce failures, package scheduler
// sends them to other nodes, and package caller decides on retries.
//
// # Usage
//
// A client of an upstream returns an *upstream.Failure, whose Progress decides
// whether the request may be retried:
//
//	var failure *upstream.Failure
//	if errors.As(err, &failure) && failure.Progress.MayRetry(route.Repeat) {
//		// another attempt is safe
//	}
package upstream

import (
	"fmt"
	"net/http"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
)

// Stages of an attempt, in order. The request certainly did not run if the
// attempt got no further than NotWritten.
const (
	// NotDialed means that no connection to the upstream was established.
	NotDialed Progress = iota
	// NotWritten means that no byte of the request was written, or that the
	// upstream refused the request before running it.
	NotWritten
	// Written means that a part of the request may have been written and no
	// response was received.
	Written
	// Answered means that the upstream began to respond.
	Answered
)

// Values of HeaderWorkStatus: whether the refused request may have run.
const (
	NotRun     WorkStatus = "NotRun"
	MayHaveRun WorkStatus = "MayHaveRun"
)

// Reasons for refusals, retries and failed attempts. Each has its own counter.
// The values leave the process in responses to callers, messages between nodes and
// metrics, so they stay as they are, also where a constant has another name.
const (
	ReasonConnect      Reason = "Connect"      // the connection to the upstream could not be established
	ReasonBroken       Reason = "Broken"       // the connection broke
	ReasonBusy         Reason = "Busy"         // the upstream or its queue is full
	ReasonDown         Reason = "Down"         // the upstream crashed or refused a connection a moment ago
	ReasonDeadline     Reason = "Deadline"     // the request did not, or could not, complete by its deadline
	ReasonDraining     Reason = "Draining"     // the upstream accepts no new requests
	ReasonNotScheduler Reason = "NotSteward"   // the peer isn't the upstream's scheduler, or doesn't know the attempt
	ReasonPeer         Reason = "Peer"         // the peer node failed
	ReasonBadResponse  Reason = "BadAnswer"    // the upstream violated its protocol
	ReasonRejected     Reason = "Rejected"     // the upstream refused the request as invalid
	ReasonCanceled     Reason = "Canceled"     // the caller disconnected or canceled
	ReasonPoison       Reason = "Poison"       // the request crashed two upstreams and is quarantined
	ReasonWithdrawn    Reason = "Withdrawn"    // the API key was withdrawn before the request ran
	ReasonNoUpstream   Reason = "NoUpstream"   // no upstream matches the request
	ReasonRetryBudget  Reason = "RetryBudget"  // the retry budget is used up
	ReasonStoreDown    Reason = "StoreDown"    // the store is unavailable, so the idempotency key can't be claimed
	ReasonInProgress   Reason = "InProgress"   // a request with the same idempotency key is running
	ReasonUnknown      Reason = "Unknown"      // the outcome of the first run with this idempotency key is unknown
	ReasonKeyReused    Reason = "KeyReused"    // the idempotency key was used for a different request
	ReasonUnauthorized Reason = "Unauthorized" // the API key is missing or unknown
	ReasonIsolated     Reason = "Isolated"     // key withdrawals can't reach this node
	ReasonRate         Reason = "Rate"         // the workspace exceeds its rate limit
	ReasonConcurrency  Reason = "Concurrency"  // the workspace exceeds its concurrency limit
	ReasonBodyTooLarge Reason = "BodyTooLarge" // the body exceeds the limit
	ReasonBadRequest   Reason = "BadRequest"   // the request is malformed
	ReasonNotFound     Reason = "NotFound"     // no route or model matches
	ReasonStarting     Reason = "Starting"     // this node has no configuration yet
	ReasonStopping     Reason = "Stopping"     // this node is shutting down
)

type (
	// Progress is the furthest stage that an attempt reached.
	Progress uint8
	// WorkStatus says whether a refused request may have run.
	WorkStatus string
	// Reason names the cause of a refusal, retry or failure.
	Reason string

	// Generation is a request to generate text with a model.
	Generation struct {
		Workspace string `cbor:"1,keyasint,omitzero"` // Workspace.QualifiedName; sent to the engine as a header in place of the caller's API key
		Model     string `cbor:"2,keyasint,omitzero"`
		Prompt    string `cbor:"3,keyasint,omitzero"` // package caller flattens chat messages into it
		MaxTokens int    `cbor:"4,keyasint,omitzero"`
		// Offset is the number of tokens that the caller already has. The engine
		// resumes after them.
		Offset int `cbor:"5,keyasint,omitzero"`
		// GeneratedTokens are the texts of the first Offset tokens, for an engine
		// that has to prefill them.
		GeneratedTokens []string `cbor:"6,keyasint,omitzero"`
		Priority        int      `cbor:"7,keyasint,omitzero"`
		Seed            int64    `cbor:"8,keyasint,omitzero"`
		Prefix          []uint64 `cbor:"9,keyasint,omitzero"` // hashes of the prompt's leading blocks from policy.Prefix
	}

	// Usage counts the tokens of one attempt. PromptTokens includes CachedTokens,
	// those found in the prefix cache. CompletionTokens counts the tokens that the
	// attempt itself generated, not those below its Offset.
	Usage struct {
		PromptTokens     int `cbor:"1,keyasint,omitzero"`
		CachedTokens     int `cbor:"2,keyasint,omitzero"`
		CompletionTokens int `cbor:"3,keyasint,omitzero"`
	}

	// Token is one generated token with its offset in the completion.
	Token struct {
		Offset int
		Text   string
	}

	// Call is an HTTP request to a plain service.
	Call struct {
		Method string      `cbor:"1,keyasint,omitzero"`
		Target string      `cbor:"2,keyasint,omitzero"` // path and query
		Header http.Header `cbor:"3,keyasint,omitzero"`
		Body   []byte      `cbor:"4,keyasint,omitzero"`
	}

	// Response is a plain service's complete HTTP response.
	Response struct {
		Status int         `cbor:"1,keyasint,omitzero"`
		Header http.Header `cbor:"2,keyasint,omitzero"`
		Body   []byte      `cbor:"3,keyasint,omitzero"`
	}

	// Failure is a failed attempt. RetryAfter is 0 if no time is known.
	Failure struct {
		Reason   Reason   `cbor:"1,keyasint,omitzero"`
		Progress Progress `cbor:"2,keyasint,omitzero"`
		// Crashed means that the upstream presumably crashed while it ran the
		// request.
		Crashed    bool          `cbor:"3,keyasint,omitzero"`
		RetryAfter time.Duration `cbor:"4,keyasint,omitzero"`
		Detail     string        `cbor:"5,keyasint,omitzero"`
	}
)

// Error returns the failure's reason, progress and detail.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (progress %s): %s", f.Reason, f.Progress, f.Detail)
}

// WorkStatus reports whether a request that made this progress may have run.
func (p Progress) WorkStatus() WorkStatus {
	if p <= NotWritten {
		return NotRun
	}
	return MayHaveRun
}

// MayRetry reports whether a request of the given retry class may be attempted
// again after an attempt that made this progress: if the request did not run, or
// if running it more than once is harmless.
func (p Progress) MayRetry(class fleet.RetryClass) bool {
	return p.WorkStatus() == NotRun || class == fleet.Idempotent
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
