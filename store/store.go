// Package store is a client of the platform's key-value service, which offers
// compare-and-swap, leases and watches. It is the only storage that outlives a
// VM.
//
// # Usage
//
//	entry, err := client.Get(ctx, "config/head")
//	version, err := client.Put(ctx, store.PutRequest{
//		Key: "config/head", Value: next, IfVersion: entry.Version,
//	})
//	switch store.Classify(err) {
//	case store.Conflict:       // the key has changed: read it again
//	case store.UnknownOutcome: // the write may have been applied: read the key back
//	}
//
// The service limits the rate of calls, and every call counts. Callers should
// use few watches and avoid reads in the path of a request. A process wraps its
// client with Limit and shares it among the packages that store something, such
// as claim, lease and distribution.
//
// A call isn't retried by the client: while the service is unreachable, each one
// fails with ErrUnavailable or ErrUnknownOutcome, and leases may expire.
//
// A service may come back from an older copy of itself. Its revisions go back then and are
// given out again, and its era rises. A client that is an EraClient tells the era. A
// Position, the era and a revision, orders what was read before and after.
//
// HTTP is a client of the protocol in wire.go, which package storetest serves.
// Package platform has a Client for a platform's own protocol.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// AnyVersion as the expected version makes a write unconditional.
	AnyVersion uint64 = 1<<64 - 1
	// MaxValueBytes is the maximum size of a value. HTTP.Put refuses a larger one
	// with ErrTooLarge before it sends anything.
	MaxValueBytes = 1 << 20
)

// Errors of a call. Use errors.Is to compare them, or Classify to group them.
const (
	// ErrNotFound means that the key doesn't exist.
	ErrNotFound = errors.ConstError("key not found")
	// ErrConflict means that the key's version differs from the expected one.
	// The write was not applied.
	ErrConflict = errors.ConstError("version conflict")
	// ErrUnavailable means that the service could not be reached or didn't
	// accept the call. A write was not applied.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrUnknownOutcome means that there was no valid response. A write may have
	// been applied: read the key back to find out. A lease that Grant may have
	// created has no known ID and expires by itself.
	ErrUnknownOutcome = errors.ConstError("outcome unknown")
	// ErrLeaseExpired means that the lease has expired or was revoked.
	ErrLeaseExpired = errors.ConstError("lease expired")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.ConstError("value too large")
	// ErrRateLimited means that this process has exceeded its limit of calls per
	// second. The call was not sent.
	ErrRateLimited = errors.ConstError("store call rate limit exceeded")
	// ErrCompacted means that the service no longer has some of the changes that
	// a watch asked for. The watch also returns the service's current revision:
	// list the prefix, then watch after that revision.
	ErrCompacted = errors.ConstError("revision compacted")
)

// Classes of the outcome of a write.
const (
	// OK is the class of a nil error.
	OK Class = iota
	// NotApplied is the class of every error, other than ErrConflict, after
	// which the write is known not to have been applied.
	NotApplied
	// Conflict means that the key's version differs from the expected one. The
	// write was not applied.
	Conflict
	// UnknownOutcome means that the write may have been applied.
	UnknownOutcome
)

type (
	// Class groups the outcomes of a write by what is known about its effect.
	Class uint8

	// LeaseID identifies a lease granted by the service. Zero means no lease.
	LeaseID uint64

	// Entry is a key with its value and its Version, the store-wide revision of its
	// last write. Versions increase strictly over all keys. Era is that of the store when
	// the entry was read, if the client is an EraClient.
	Entry struct {
		Key     string
		Value   []byte
		Version uint64
		Lease   LeaseID
		Era     uint64
	}

	// PutRequest describes a write of one key, which is applied only if the key's
	// version is IfVersion. IfVersion 0 means that the key must not exist,
	// AnyVersion that its version doesn't matter. A key with a lease is deleted
	// when the lease expires or is revoked.
	PutRequest struct {
		Key       string
		Value     []byte
		IfVersion uint64
		Lease     LeaseID
	}

	// WatchRequest selects the changes of keys that begin with Prefix, with a
	// version above After. Wait is the longest time to wait for a change, for clients
	// of services that take one; 0 means the client's default.
	WatchRequest struct {
		Prefix string
		After  uint64
		Wait   time.Duration
	}

	// Event is one change returned by a watch. If Deleted, Entry.Value is nil and
	// Entry.Version is the revision of the deletion.
	Event struct {
		Entry   Entry
		Deleted bool
	}

	// Client makes calls to the key-value service. Implementations are safe for
	// concurrent use, and a call returns when its context ends.
	Client interface {
		// Get reads one key, or fails with ErrNotFound.
		Get(ctx context.Context, key string) (entry Entry, err error)
		// List reads all keys that begin with prefix, sorted by key.
		List(ctx context.Context, prefix string) (entries []Entry, err error)
		// Put writes one key and returns its new version.
		Put(ctx context.Context, request PutRequest) (version uint64, err error)
		// Delete deletes a key if its version is ifVersion, or in any case if that
		// is AnyVersion.
		Delete(ctx context.Context, key string, ifVersion uint64) (err error)
		// Grant creates a lease that expires when it isn't renewed for ttl.
		Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error)
		// KeepAlive renews a lease and returns its time to live.
		KeepAlive(ctx context.Context, id LeaseID) (ttl time.Duration, err error)
		// Revoke ends a lease and deletes its keys.
		Revoke(ctx context.Context, id LeaseID) (err error)
		// Watch returns the changes after request.After, oldest first, and the
		// revision from which to continue. It waits until there is at least one
		// change, or returns none when the service ends the wait. It counts as
		// one call against the rate limit. If the service no longer has all
		// changes after request.After, Watch fails with ErrCompacted and returns
		// the service's current revision.
		Watch(ctx context.Context, request WatchRequest) (events []Event, revision uint64, err error)
	}
)

// Classify returns the class of a write's error. Errors that this package doesn't
// define, such as that of an expired context, are of class UnknownOutcome.
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
