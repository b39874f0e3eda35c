package engine

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Roles of an engine. A Mixed engine serves both prefill and decode.
const (
	Prefill Role = "Prefill"
	Decode  Role = "Decode"
	Mixed   Role = "Mixed"
)

// Kinds of orders.
const (
	// OrderFence changes nothing but the highest epoch that the engine has seen,
	// so that an engine that checks epochs refuses orders of earlier lease holders
	// from then on.
	OrderFence OrderKind = "Fence"
	// OrderDrain makes the engine refuse new requests.
	OrderDrain OrderKind = "Drain"
	// OrderResume makes a drained engine accept requests again.
	OrderResume OrderKind = "Resume"
	// OrderRole changes the engine's role. The engine is out of service for some
	// seconds and aborts running requests, so drain it first.
	OrderRole OrderKind = "Role"
	// OrderLoad loads a model, model version or adapter. The engine stays in
	// service.
	OrderLoad OrderKind = "Load"
	// OrderUnload unloads a model.
	OrderUnload OrderKind = "Unload"
)

// Errors of an order that the engine refused. A refused order has no effect.
const (
	// ErrStaleEpoch means that the engine has seen a higher epoch.
	ErrStaleEpoch = errors.ConstError("engine order has a stale epoch")
	// ErrRestarted means that the engine restarted after it reported the state on
	// which the order is based.
	ErrRestarted = errors.ConstError("engine order is for an earlier incarnation")
	// ErrOvertaken means that the engine has accepted a later order of the same
	// epoch.
	ErrOvertaken = errors.ConstError("engine order was overtaken by a later order")
	// ErrChanging means that the engine is still carrying out another order.
	ErrChanging = errors.ConstError("engine is carrying out another order")
)

type (
	// Role is the phase of generation that an engine serves.
	Role string
	// OrderKind says what an order changes.
	OrderKind string

	// Order is a change to an engine. Repeating an order with the same ID has no
	// further effect.
	//
	// Epoch and Sequence are the fencing token. An engine that checks epochs
	// refuses an order if its epoch is lower than the highest one seen, or if its
	// sequence number is lower than one accepted in the same epoch: such an order
	// was delayed by the network. It also refuses orders for another incarnation,
	// since it forgets the token when it restarts. OrderFence has no sequence
	// number.
	Order struct {
		ID          string
		Epoch       uint64
		Sequence    uint64
		Incarnation uint64
		Kind        OrderKind
		Role        Role   `json:",omitempty"`
		Model       string `json:",omitempty"`
	}

	// State is the current state of an engine.
	State struct {
		Incarnation uint64 // changes at each restart
		Role        Role
		Models      []string `json:",omitempty"` // sorted
		Draining    bool
		// Changing is the order being carried out, and ChangingID its ID.
		Changing   OrderKind `json:",omitempty"`
		ChangingID string    `json:",omitempty"`
		Epoch      uint64    // highest seen; 0 if the engine ignores epochs
		Running    int
		Queued     int
	}

	// Report is the load of an engine, measured Age ago.
	Report struct {
		Age                 time.Duration
		Incarnation         uint64
		Role                Role
		Models              []string `json:",omitempty"`
		Draining            bool
		Slots               int
		Running             int
		Queued              int
		QueuedPrefillTokens int // of queued requests and of requests in prefill
		QueuedDecodeTokens  int // that are still to be generated
		Pieces              int // capacity of the KV cache, in pieces of a prompt
		UsedPieces          int // in use by running requests
	}

	// CacheEvent lists the pieces that were added to and removed from a model's
	// prefix cache, by their hashes as in upstream.Generation.Prefix.
	CacheEvent struct {
		Sequence uint64
		Model    string
		Stored   []uint64 `json:",omitempty"`
		Removed  []uint64 `json:",omitempty"`
	}

	// CacheEvents are the cache events after a sequence number. Events arrive with
	// a delay; a gap in the sequence numbers means that events were lost.
	CacheEvents struct {
		Incarnation uint64
		Events      []CacheEvent `json:",omitempty"`
	}

	// KV is the exported KV cache of the leading pieces of a prompt.
	KV struct {
		Model   string
		Pieces  []uint64
		Payload []byte
	}

	// ControlClient reads the state of an engine and changes it. Failed calls
	// return ErrStaleEpoch, ErrRestarted, ErrOvertaken, ErrChanging or an
	// *upstream.Failure. An order that ends with a Failure may have been accepted
	// if the failure's Progress is Written or Answered. It is safe for concurrent
	// use.
	ControlClient interface {
		// Report returns the engine's latest load report, which may be out of
		// date.
		Report(ctx context.Context) (report Report, err error)
		// State returns the engine's current state.
		State(ctx context.Context) (state State, err error)
		// Order sends an order. It returns when the engine has accepted the order;
		// State.Changing is empty once the order has been carried out.
		Order(ctx context.Context, order Order) (err error)
		// ExportKV returns the KV cache of the longest cached part of a prefix.
		ExportKV(ctx context.Context, model string, prefix []uint64) (kv KV, err error)
		// ImportKV adds exported pieces to the engine's cache.
		ImportKV(ctx context.Context, kv KV) (err error)
		// CacheEvents returns the cache events after a sequence number.
		CacheEvents(ctx context.Context, after uint64) (events CacheEvents, err error)
	}

	// ExportRequest is the body of a request to PathExport.
	ExportRequest struct {
		Model  string
		Prefix []uint64
	}
)
