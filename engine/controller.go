package engine

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// The roles of an engine. Mixed engines serve both phases.
const (
	Prefill Role = "Prefill"
	Decode  Role = "Decode"
	Mixed   Role = "Mixed"
)

// The kinds of order.
const (
	// OrderFence only makes a checking engine remember the epoch, so that orders
	// of former holders have no effect from then on.
	OrderFence OrderKind = "Fence"
	// OrderDrain makes the engine refuse new requests.
	OrderDrain OrderKind = "Drain"
	// OrderResume ends OrderDrain.
	OrderResume OrderKind = "Resume"
	// OrderRole changes the role. It takes the engine out of service for seconds
	// and cuts off what runs, so the engine is drained first.
	OrderRole OrderKind = "Role"
	// OrderLoad loads a model, version or adapter. The engine stays in service.
	OrderLoad OrderKind = "Load"
	// OrderUnload removes a model.
	OrderUnload OrderKind = "Unload"
)

// Refusals of an order, after which it has no effect.
const (
	// ErrStaleEpoch means that the engine knows a higher epoch.
	ErrStaleEpoch = errors.ConstError("order with an old epoch")
	// ErrRestarted means that the engine restarted after the state on which the
	// order is based was read.
	ErrRestarted = errors.ConstError("order for an earlier incarnation")
	// ErrOvertaken means that the engine accepted a later order of the same epoch.
	ErrOvertaken = errors.ConstError("order overtaken by a later one")
	// ErrChanging means that another change is under way.
	ErrChanging = errors.ConstError("engine is changing")
)

type (
	// Role is the phase of requests that an engine is set up for.
	Role string
	// OrderKind says what an order changes.
	OrderKind string

	// Order changes an engine. The same ID again has no further effect. Epoch and
	// Sequence are the fencing token: a checking engine refuses an order with a
	// lower epoch than it has seen, and one with a lower sequence number than it
	// accepted in the same epoch, which the network held back. It also refuses
	// orders for another incarnation, since it forgets the token when it
	// restarts. OrderFence has no sequence number.
	Order struct {
		ID          string
		Epoch       uint64
		Sequence    uint64
		Incarnation uint64
		Kind        OrderKind
		Role        Role   `json:",omitempty"`
		Model       string `json:",omitempty"`
	}

	// State is what an engine is at the moment.
	State struct {
		Incarnation uint64 // changes with each restart
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

	// Report is the load of an engine as it was Age ago.
	Report struct {
		Age                 time.Duration
		Incarnation         uint64
		Role                Role
		Models              []string `json:",omitempty"`
		Draining            bool
		Slots               int
		Running             int
		Queued              int
		QueuedPrefillTokens int // of queued requests and of those still in prefill
		QueuedDecodeTokens  int // not yet generated
		Pieces              int
		UsedPieces          int // held by running requests
	}

	// CacheEvent says which pieces of a model's prefix cache came and went.
	CacheEvent struct {
		Sequence uint64
		Model    string
		Stored   []uint64 `json:",omitempty"`
		Removed  []uint64 `json:",omitempty"`
	}

	// CacheEvents are the events after a sequence number. They come late, and
	// sequence numbers that are left out belong to lost events.
	CacheEvents struct {
		Incarnation uint64
		Events      []CacheEvent `json:",omitempty"`
	}

	// KV is the KV cache of the leading pieces of a prompt.
	KV struct {
		Model   string
		Pieces  []uint64
		Payload []byte
	}

	// ControlClient is the part of an engine that isn't the request path.
	// Failed calls return one of the errors above or an *upstream.Failure.
	ControlClient interface {
		// Report returns the engine's lagging load report.
		Report(ctx context.Context) (report Report, err error)
		// State returns what the engine is now.
		State(ctx context.Context) (state State, err error)
		// Order gives an order. It returns when the engine has accepted it; State
		// says when it is carried out.
		Order(ctx context.Context, order Order) (err error)
		// ExportKV reads the cached part of a prefix.
		ExportKV(ctx context.Context, model string, prefix []uint64) (kv KV, err error)
		// ImportKV adds exported pieces to the cache.
		ImportKV(ctx context.Context, kv KV) (err error)
		// CacheEvents returns the events after a sequence number.
		CacheEvents(ctx context.Context, after uint64) (events CacheEvents, err error)
	}

	// ExportRequest is the body of a request to PathExport.
	ExportRequest struct {
		Model  string
		Prefix []uint64
	}
)
