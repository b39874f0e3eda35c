// Package intent stores what the holder of a lease is about to do in a document
// of the key-value store. If the holder fails, its successor finishes that or
// repeats it with the same identifiers, instead of starting something else.
//
// # Usage
//
//	document := intent.New(client, "planner/limpopo-a", lease, intent.Options{Invariant: invariant.NoConflictingOrders})
//	var durable Plan
//	if read, err := document.Load(ctx, &durable); err != nil { // the first Load takes the document over
//		return err
//	} else if read {
//		plan = durable
//	}
//	plan.Pending = append(plan.Pending, order)
//	if err := document.Save(ctx, plan); err != nil {
//		return err // don't send the order: load again
//	}
//	// send the order
//
// A document contains the epoch of its last writer. Taking it over changes its
// version, so every later write of a former holder fails with a version
// conflict.
//
// If the store fails or its response is lost, Load or Save returns the error.
// The next Load then reads the document again, which shows whether the last write
// was applied. If the read was stale or the write is applied only afterwards, the
// next Save fails with a version conflict.
package intent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/store"
)

const (
	// ErrSuperseded means that a holder with a higher epoch wrote the document.
	ErrSuperseded = errors.ConstError("superseded by a higher epoch")
	// ErrStaleRead means that the store returned an older version of the document
	// than before.
	ErrStaleRead = errors.ConstError("store returned an older version than before")

	defaultTimeout = 2 * time.Second // of each call to the store, which the holder waits for
)

type (
	// Lease is an exclusive right with a fencing token, such as *lease.Lease.
	Lease interface {
		// Context returns a context that ends when the lease ends.
		Context() context.Context
		// Epoch returns the fencing token. It is higher than the epoch of every
		// earlier holder.
		Epoch() uint64
		// Check returns nil if the lease is held now.
		Check() (err error)
		// Do calls send if Check returns nil, with a context that ends with the
		// lease or after the maximum duration of an operation.
		Do(ctx context.Context, send func(ctx context.Context) error) (err error)
		// AwaitPredecessor waits until operations of the previous holder have
		// ended.
		AwaitPredecessor(ctx context.Context) (err error)
	}

	// SequenceNumber orders the calls of successive lease holders about the same
	// object. Receivers keep the highest number that they have seen and ignore
	// calls with lower ones, because calls of former holders and calls that have
	// timed out can arrive late.
	SequenceNumber struct{ Epoch, Sequence uint64 }

	// Options of a Document. Zero values mean defaults.
	Options struct {
		// Timeout bounds each call to the store. The default is 2 s.
		Timeout time.Duration
		// Checker reports Invariant as broken if the document was written under a
		// higher epoch while the lease is still held. A nil Checker panics then.
		Checker   *invariant.Checker
		Invariant invariant.Name
	}

	// Document is a value stored under one key. It is not safe for concurrent
	// use.
	Document struct {
		client  store.Client
		key     string
		lease   Lease
		options Options

		version   uint64
		takenOver bool
		current   bool // the value last loaded or saved is known to be the stored one; false after a failed Save
	}

	envelope struct {
		Epoch uint64
		Value json.RawMessage
	}
)

// Before reports whether n is lower than other.
func (n SequenceNumber) Before(other SequenceNumber) bool {
	return n.Epoch < other.Epoch || n.Epoch == other.Epoch && n.Sequence < other.Sequence
}

// New returns the document under key. It doesn't access the store.
func New(client store.Client, key string, lease Lease, options Options) *Document {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	return &Document{client: client, key: key, lease: lease, options: options}
}

// Load reads the stored value into value, which must point to a zero value,
// because a missing document or field leaves it as it is. If the value last
// loaded or saved is known to be the stored one, Load does nothing and read is
// false. The first successful call also takes the document over by writing it
// under the epoch of the lease.
func (d *Document) Load(ctx context.Context, value any) (read bool, err error) {
	defer errors.DeferredAnnotatef(&err, "intent %q", d.key)
	if d.current {
		return false, nil
	}
	if err := d.load(ctx, value); err != nil {
		return false, err
	}
	if !d.takenOver {
		// This write succeeds only if the value read is the newest.
		if err := d.save(ctx, value); err != nil {
			return false, err
		}
	}
	d.takenOver, d.current = true, true
	return true, nil
}

// Save stores value if no other process has written the document since the last
// Load or Save. After an error, the caller must call Load before it decides
// anything.
func (d *Document) Save(ctx context.Context, value any) (err error) {
	defer errors.DeferredAnnotatef(&err, "intent %q", d.key)
	if !d.current {
		return errors.New("value can't be saved before the document is loaded")
	}
	return d.save(ctx, value)
}

func (d *Document) load(ctx context.Context, value any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	entry, err := d.client.Get(ctx, d.key)
	if errors.Is(err, store.ErrNotFound) {
		entry, err = store.Entry{Value: []byte("{}")}, nil
	}
	if err != nil {
		return err
	}
	if entry.Version < d.version {
		return ErrStaleRead
	}
	var content envelope
	if err := json.Unmarshal(entry.Value, &content); err != nil {
		return err
	}
	if content.Epoch > d.lease.Epoch() {
		leaseErr := d.lease.Check()
		d.options.Checker.Check(leaseErr != nil, d.options.Invariant, "document written under a higher epoch while the lease is held",
			"Key", d.key, "Epoch", d.lease.Epoch(), "Found", content.Epoch)
		return ErrSuperseded
	}
	d.version = entry.Version
	if len(content.Value) == 0 { // the document doesn't exist yet
		return nil
	}
	return json.Unmarshal(content.Value, value)
}

func (d *Document) save(ctx context.Context, value any) (err error) {
	d.current = false
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if encoded, err = json.Marshal(envelope{Epoch: d.lease.Epoch(), Value: encoded}); err != nil {
		return err
	}
	return d.lease.Do(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
		defer cancel()
		version, err := d.client.Put(ctx, store.PutRequest{Key: d.key, Value: encoded, IfVersion: d.version})
		if err != nil {
			return err
		}
		d.version, d.current = version, true
		return nil
	})
}
