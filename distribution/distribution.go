// Package distribution keeps a versioned document in a key-value store and
// brings each revision of it to all nodes of a fleet. A document is a set of
// named entries.
//
// In the store, a head key holds the revision and is written by
// compare-and-swap. The entries lie in chunks by the hash of their name, so a
// change rewrites one chunk, a small record for the history and the head. On
// the nodes, two readers per failure domain watch the head; all other nodes get
// the changed entries from their parent in a tree over the live members of
// their domain, and compare revisions with a random member now and then. The
// calls to the store therefore don't grow with the fleet.
//
// # Usage
//
//	repository, err := distribution.NewRepository(distribution.RepositoryOptions{Client: client, Prefix: "config/"})
//	revision, err := repository.Apply(ctx, base, entries, distribution.ChangeInfo{Author: "amani", Comment: "new key"})
//	var conflict *distribution.ConflictError
//	if errors.As(err, &conflict) {
//		// someone else's revision conflict.Current came first
//	}
//
//	follower, err := distribution.NewFollower(ctx, distribution.FollowerOptions{
//		Self: self, Members: liveMembers, Peers: pool, Repository: repository,
//		Validate: validate,
//	})
//	server.Register(distribution.Service, follower.Receiver())
//	<-follower.Ready()
//	document := follower.Document() // takes no lock
//
// A node never moves to a lower revision. ConfirmedAt tells how long ago the
// document in force was known to be the newest, which a node needs when it must
// not act on withdrawn entries.
package distribution

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

const (
	// Service is the name under which a Follower's Receiver has to be
	// registered.
	Service = "Distribution"

	// ErrNoRevision means that a revision doesn't exist, or no longer does.
	ErrNoRevision = errors.ConstError("no such revision")
)

type (
	// Document is one revision of the entries. It must not be modified.
	Document struct {
		Revision uint64
		Entries  map[string][]byte

		sum uint64 // of all entries, in any order
	}

	// Delta leads from any revision in [From, To) to revision To.
	Delta struct {
		From, To uint64
		Set      map[string][]byte
		Deleted  []string
	}

	// ChangeInfo describes a new revision.
	ChangeInfo struct {
		Author  string
		Comment string
	}

	// ConflictError means that the document has moved on since the revision
	// that a change was based on.
	ConflictError struct {
		Base, Current uint64
	}

	// Member is a live node of the fleet.
	Member struct {
		Name          string         `cbor:"1,keyasint,omitzero"`
		Address       netip.AddrPort `cbor:"2,keyasint,omitzero"`
		FailureDomain string         `cbor:"3,keyasint,omitzero"` // failure domain
	}

	// RPCClient makes calls to other nodes. peer.Pool is one.
	RPCClient interface {
		Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error)
	}
)

// Error states both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but revision %d is in force", e.Base, e.Current)
}

// Unwrap makes a ConflictError a store.ErrConflict.
func (e *ConflictError) Unwrap() error { return store.ErrConflict }

func newDocument(revision uint64, entries map[string][]byte) *Document {
	d := &Document{Revision: revision, Entries: entries}
	for name, value := range entries {
		d.sum ^= entrySum(name, value)
	}
	return d
}

// with returns the document that the delta leads to.
func (d *Document) with(delta Delta) *Document {
	next := &Document{
		Revision: delta.To, Entries: make(map[string][]byte, len(d.Entries)+len(delta.Set)), sum: d.sum,
	}
	for name, value := range d.Entries {
		next.Entries[name] = value
	}
	for name, value := range delta.Set {
		next.remove(name)
		next.Entries[name] = value
		next.sum ^= entrySum(name, value)
	}
	for _, name := range delta.Deleted {
		next.remove(name)
	}
	return next
}

// remove must be called on a document that isn't published yet.
func (d *Document) remove(name string) {
	if value, ok := d.Entries[name]; ok {
		d.sum ^= entrySum(name, value)
		delete(d.Entries, name)
	}
}

func entrySum(name string, value []byte) uint64 {
	buffer := make([]byte, 0, 8+len(name)+len(value))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(len(name)))
	buffer = append(buffer, name...)
	return xxhash.Sum64(append(buffer, value...))
}
