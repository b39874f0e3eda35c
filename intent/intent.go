// Package intent keeps what the holder of an authority is about to do in one
// document of the key-value service, so that a successor finishes it or repeats
// it under the same name instead of starting something else.
//
// # Usage
//
//	document := intent.New(client, "planner/limpopo-a", lease, intent.Options{Invariant: invariant.NoConflictingOrders})
//	var durable Plan
//	if read, err := document.Load(ctx, &durable); err != nil { // takes it over at first
//		return err
//	} else if read {
//		plan = durable
//	}
//	plan.Pending = append(plan.Pending, order)
//	if err := document.Save(ctx, plan); err != nil {
//		return err // nothing was decided: load again
//	}
//	// send the order
//
// A document carries the epoch of its last writer. Taking it over changes its
// version, so every later write of a former holder conflicts.
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
	// ErrStaleRead means that the service returned an older version than
	// before.
	ErrStaleRead = errors.ConstError("old version read")

	defaultTimeout = 2 * time.Second
)

type (
	// Lease is an exclusive right with a fencing token, such as *lease.Lease.
	Lease interface {
		// Context ends when the authority does.
		Context() context.Context
		// Epoch is higher than that of every earlier holder.
		Epoch() uint64
		// Check returns nil when the authority holds now.
		Check() (err error)
		// Do calls send if Check passes, with a context that ends with the
		// authority or after the longest operation.
		Do(ctx context.Context, send func(ctx context.Context) error) (err error)
		// AwaitPredecessor waits until operations of the previous holder have
		// ended.
		AwaitPredecessor(ctx context.Context) (err error)
	}

	// SequenceNumber orders what holders tell others about one thing. Who is
	// told keeps the highest version, since calls of former holders, and calls
	// that a holder gave up on, can arrive late.
	SequenceNumber struct{ Epoch, Sequence uint64 }

	// Options of a Document. Zero values mean defaults.
	Options struct {
		// Timeout bounds each call to the service. The default is 2 s.
		Timeout time.Duration
		// Checker is told when a higher epoch appears while the authority holds.
		Checker   *invariant.Checker
		Invariant invariant.Name
	}

	// Document is a value under one key. It is not safe for concurrent use.
	Document struct {
		client    store.Client
		key       string
		authority Lease
		options   Options

		version uint64
		taken   bool
		current bool // the value last read or saved is the durable one
	}

	envelope struct {
		Epoch uint64
		Value json.RawMessage
	}
)

// Before reports whether v is overtaken by other.
func (v SequenceNumber) Before(other SequenceNumber) bool {
	return v.Epoch < other.Epoch || v.Epoch == other.Epoch && v.Sequence < other.Sequence
}

// New returns the document under key. It makes no call yet.
func New(client store.Client, key string, authority Lease, options Options) *Document {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	return &Document{client: client, key: key, authority: authority, options: options}
}

// Load reads the durable value into value, which points to a zero value, unless
// the last one saved is known to be durable. The first call takes the document
// over.
func (d *Document) Load(ctx context.Context, value any) (read bool, err error) {
	defer errors.DeferredAnnotatef(&err, "intent %q", d.key)
	if d.current {
		return false, nil
	}
	if err := d.load(ctx, value); err != nil {
		return false, err
	}
	if !d.taken {
		// This write proves that the value read is the newest.
		if err := d.save(ctx, value); err != nil {
			return false, err
		}
	}
	d.taken, d.current = true, true
	return true, nil
}

// Save makes value durable if nobody else wrote the document. After a failure
// the caller syncs again before it decides anything.
func (d *Document) Save(ctx context.Context, value any) (err error) {
	defer errors.DeferredAnnotatef(&err, "intent %q", d.key)
	if !d.current {
		return errors.New("save before sync")
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
	if content.Epoch > d.authority.Epoch() {
		held := d.authority.Check()
		d.options.Checker.Check(held != nil, d.options.Invariant, "a higher epoch wrote while the authority holds",
			"Key", d.key, "Epoch", d.authority.Epoch(), "Found", content.Epoch)
		return ErrSuperseded
	}
	d.version = entry.Version
	if len(content.Value) == 0 {
		return nil
	}
	return json.Unmarshal(content.Value, value)
}

func (d *Document) save(ctx context.Context, value any) (err error) {
	d.current = false
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if text, err = json.Marshal(envelope{Epoch: d.authority.Epoch(), Value: text}); err != nil {
		return err
	}
	return d.authority.Do(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
		defer cancel()
		version, err := d.client.Put(ctx, store.PutRequest{Key: d.key, Value: text, IfVersion: d.version})
		if err != nil {
			return err
		}
		d.version, d.current = version, true
		return nil
	})
}
