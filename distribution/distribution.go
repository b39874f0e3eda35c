// Package distribution stores a versioned document in a key-value store and
// replicates each revision of it to all nodes of a fleet. A document is a set
// of named entries. Operators change it through a Repository; each node runs a
// Follower.
//
// In the store, a head key holds the current revision and is written by
// compare-and-swap. The entries are partitioned into chunks by the hash of
// their names, so a change to one entry writes one chunk, a small history
// record and the head. Only Repositories write these keys, and those of several
// processes may do so concurrently. On the nodes, two readers per failure
// domain watch the head. All other nodes pull the changed entries from their
// parent in a tree over the live members of their domain, and periodically from
// a random member (anti-entropy). The number of calls to the store therefore
// doesn't grow with the number of nodes.
//
// While the store is down, changes fail, and nodes keep the document that they
// have, but its ConfirmedAt no longer advances. A node that starts meanwhile
// gets the document from other members, but isn't Ready before a reader has
// reached the store. Nodes whose parent is down pull from random members until
// they have another parent.
//
// # Usage
//
//	repository, err := distribution.NewRepository(distribution.RepositoryOptions{Client: client, Prefix: "config/"})
//	revision, err := repository.Apply(ctx, base, entries, distribution.ChangeInfo{Author: "amani", Comment: "new key"})
//	var conflict *distribution.ConflictError
//	if errors.As(err, &conflict) {
//		// another change was applied first; the document is at conflict.Current
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
// A node never moves to a lower revision. ConfirmedAt returns when the node's
// document was last known to be the newest, for nodes that must not act on
// entries that may have been deleted since.
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
	// Service is the net/rpc service name under which a Follower's Receiver
	// must be registered.
	Service = "Distribution"

	// ErrNoRevision means that a revision doesn't exist or has been deleted.
	ErrNoRevision = errors.ConstError("no such revision")
)

type (
	// Document is one revision of the entries, by name. It must not be modified.
	Document struct {
		Revision uint64
		Entries  map[string][]byte

		checksum uint64 // XOR of the entries' checksums, which doesn't depend on their order
	}

	// Delta holds the changes that turn the document of any revision in
	// [From, To) into that of revision To. It contains the final values of the
	// entries, so it may include changes that the document already has.
	Delta struct {
		From, To uint64
		Set      map[string][]byte
		Deleted  []string
	}

	// ChangeInfo is the description of a change in the history.
	ChangeInfo struct {
		Author  string
		Comment string
	}

	// ConflictError means that a change is based on revision Base, but the
	// document is already at a newer revision, Current.
	ConflictError struct {
		Base, Current uint64
	}

	// Member is a live node of the fleet.
	Member struct {
		Name          string         `cbor:"1,keyasint,omitzero"`
		Address       netip.AddrPort `cbor:"2,keyasint,omitzero"`
		FailureDomain string         `cbor:"3,keyasint,omitzero"`
	}

	// RPCClient calls net/rpc methods of other nodes. peer.Pool implements it.
	RPCClient interface {
		Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error)
	}
)

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but the current revision is %d", e.Base, e.Current)
}

// Unwrap returns store.ErrConflict, so that errors.Is matches it.
func (e *ConflictError) Unwrap() error { return store.ErrConflict }

func newDocument(revision uint64, entries map[string][]byte) *Document {
	d := &Document{Revision: revision, Entries: entries}
	for name, value := range entries {
		d.checksum ^= entryChecksum(name, value)
	}
	return d
}

// apply returns a copy of the document with the delta applied.
func (d *Document) apply(delta Delta) *Document {
	next := &Document{
		Revision: delta.To, Entries: make(map[string][]byte, len(d.Entries)+len(delta.Set)), checksum: d.checksum,
	}
	for name, value := range d.Entries {
		next.Entries[name] = value
	}
	for name, value := range delta.Set {
		next.remove(name)
		next.Entries[name] = value
		next.checksum ^= entryChecksum(name, value)
	}
	for _, name := range delta.Deleted {
		next.remove(name)
	}
	return next
}

// remove deletes an entry. It must only be called before the document is
// shared.
func (d *Document) remove(name string) {
	if value, ok := d.Entries[name]; ok {
		d.checksum ^= entryChecksum(name, value)
		delete(d.Entries, name)
	}
}

func entryChecksum(name string, value []byte) uint64 {
	buffer := make([]byte, 0, 8+len(name)+len(value))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(len(name)))
	buffer = append(buffer, name...)
	return xxhash.Sum64(append(buffer, value...))
}
