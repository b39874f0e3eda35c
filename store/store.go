// Package store is the client side of the platform's key-value service: a
// small service with compare-and-swap, leases and watches, and the only place
// where anything outlives a VM.
//
// # Usage
//
//	entry, err := client.Get(ctx, "config/head")
//	version, err := client.Put(ctx, store.PutRequest{
//		Key: "config/head", Value: next, IfVersion: entry.Version,
//	})
//	switch store.Classify(err) {
//	case store.Conflict:       // someone else wrote: read again
//	case store.UnknownOutcome: // the write may be in force: read it back
//	}
//
// Every call counts against the service's rates, so callers hold few watches
// and keep reads off the path of a request.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// AnyVersion makes a write unconditional.
	AnyVersion uint64 = 1<<64 - 1
	// MaxValueBytes is the largest value that the service takes.
	MaxValueBytes = 1 << 20
)

// Failures of a call. They are compared with errors.Is, or sorted by Classify.
const (
	// ErrNotFound means that the key doesn't exist.
	ErrNotFound = errors.ConstError("key not found")
	// ErrConflict means that the key's version differs from the expected one.
	// The write was not applied.
	ErrConflict = errors.ConstError("version conflict")
	// ErrUnavailable means that the service didn't take the call. A write was
	// not applied.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrUnknownOutcome means that the answer was lost. A write may have been
	// applied: read it back before deciding anything.
	ErrUnknownOutcome = errors.ConstError("outcome unknown")
	// ErrLeaseExpired means that the lease doesn't exist any more.
	ErrLeaseExpired = errors.ConstError("lease expired")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.ConstError("value too large")
	// ErrRateLimited means that this process has used up its own calls per
	// second. The call was not sent.
	ErrRateLimited = errors.ConstError("store call budget exhausted")
	// ErrCompacted means that the service has dropped changes that a watch
	// asked for. The watch also returns the service's current revision: list
	// the prefix, then watch after that revision.
	ErrCompacted = errors.ConstError("revision compacted")
)

// The classes of failure that call for different reactions.
const (
	// OK is the class of a nil error.
	OK Class = iota
	// NotApplied covers every failure after which a write is known not to be in
	// force, other than Conflict.
	NotApplied
	// Conflict means that another write came first.
	Conflict
	// UnknownOutcome means that the write may be in force.
	UnknownOutcome
)

type (
	// Class sorts the outcome of a write by what the caller may conclude.
	Class uint8

	// LeaseID names a lease granted by the service. Zero means no lease.
	LeaseID uint64

	// Entry is a key with its value and the store-wide revision of its last
	// write. Versions increase strictly over all keys.
	Entry struct {
		Key     string
		Value   []byte
		Version uint64
		Lease   LeaseID
	}

	// PutRequest writes one key. IfVersion 0 means that the key must not exist,
	// AnyVersion that its version doesn't matter. A key with a lease vanishes
	// when the lease expires or is revoked.
	PutRequest struct {
		Key       string
		Value     []byte
		IfVersion uint64
		Lease     LeaseID
	}

	// WatchRequest waits for changes below Prefix with a version above After.
	WatchRequest struct {
		Prefix string
		After  uint64
	}

	// Event is one change seen by a watch. Entry.Value is nil when Deleted.
	Event struct {
		Entry   Entry
		Deleted bool
	}

	// Client talks to the key-value service. Implementations are safe for
	// concurrent use, and every call ends with its context.
	Client interface {
		// Get reads one key, or fails with ErrNotFound.
		Get(ctx context.Context, key string) (entry Entry, err error)
		// List reads all keys that begin with prefix, sorted by key.
		List(ctx context.Context, prefix string) (entries []Entry, err error)
		// Put writes one key and returns its new version.
		Put(ctx context.Context, request PutRequest) (version uint64, err error)
		// Delete removes a key under the same condition as Put.
		Delete(ctx context.Context, key string, ifVersion uint64) (err error)
		// Grant creates a lease that lives for ttl after its last renewal.
		Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error)
		// KeepAlive renews a lease and returns its time to live.
		KeepAlive(ctx context.Context, id LeaseID) (ttl time.Duration, err error)
		// Revoke ends a lease and deletes its keys.
		Revoke(ctx context.Context, id LeaseID) (err error)
		// Watch returns the changes after request.After, oldest first, and the
		// revision to continue from. It waits until there is at least one, or
		// returns none when the service ends the wait. It counts as one call. When
		// changes after request.After are gone it fails with ErrCompacted and
		// returns the service's current revision.
		Watch(ctx context.Context, request WatchRequest) (events []Event, revision uint64, err error)
	}
)

// Classify sorts the error of a write. Errors that this package doesn't know,
// such as an expired context, count as UnknownOutcome.
func Classify(err error) Class {
	switch {
	case err == nil:
		return OK
	case errors.Is(err, ErrConflict):
		return Conflict
	case errors.Is(err, ErrNotFound), errors.Is(err, ErrUnavailable), errors.Is(err, ErrLeaseExpired),
		errors.Is(err, ErrTooLarge), errors.Is(err, ErrRateLimited), errors.Is(err, ErrCompacted):
		return NotApplied
	default:
		return UnknownOutcome
	}
}
