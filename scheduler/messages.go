package scheduler

import (
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Address is the network address of the node that runs a scheduler.
	Address = netip.AddrPort

	// AttemptID identifies one attempt of one request. Replies repeat it, so that
	// a reply to another attempt is never mistaken for the right one.
	AttemptID struct {
		RequestID string `cbor:"1,keyasint,omitzero"`
		Attempt   int    `cbor:"2,keyasint,omitzero"`
	}

	// Principal identifies the workspace and API key that a request runs for,
	// with its weight and priority in the fair queue.
	Principal struct {
		Workspace string   `cbor:"3,keyasint,omitzero"` // empty on open routes
		Weight    int      `cbor:"4,keyasint,omitzero"`
		Key       fleet.ID `cbor:"5,keyasint,omitzero"` // the API key that authenticated the request; zero on open routes
		Revision  uint64   `cbor:"6,keyasint,omitzero"` // configuration revision with which the entry node authenticated the request
		Priority  int      `cbor:"7,keyasint,omitzero"`
	}

	// Load is the load of an upstream, as counted by its scheduler. Costs are in
	// the unit of policy.TokenCosts.
	Load struct {
		Slots       int   `cbor:"1,keyasint,omitzero"`
		Running     int   `cbor:"2,keyasint,omitzero"`
		RunningCost int64 `cbor:"3,keyasint,omitzero"`
		Waiting     int   `cbor:"4,keyasint,omitzero"`
		WaitingCost int64 `cbor:"5,keyasint,omitzero"`
		Draining    bool  `cbor:"6,keyasint,omitzero"`
	}

	// OpenArgs starts a generation. Remaining is the time left until the
	// request's deadline; it is relative, so the nodes' clocks need not agree.
	OpenArgs struct {
		AttemptID
		Principal
		Upstream      string              `cbor:"11,keyasint,omitzero"`
		PullerID      uint64              `cbor:"12,keyasint,omitzero"` // the entry node process whose pulls fetch the tokens
		Remaining     time.Duration       `cbor:"13,keyasint,omitzero"`
		PoisonSuspect bool                `cbor:"14,keyasint,omitzero"` // an earlier attempt ran on an upstream that crashed
		Generation    upstream.Generation `cbor:"15,keyasint,omitzero"`
	}

	// OpenReply says whether a generation was queued. Failure is nil if it was.
	OpenReply struct {
		AttemptID
		Load    Load              `cbor:"11,keyasint,omitzero"`
		Failure *upstream.Failure `cbor:"12,keyasint,omitzero"`
	}

	// NextManyArgs pulls the tokens that are ready in an entry node's streams. A
	// pull with a lower sequence number than an earlier one gets nothing. If a
	// reply may have been lost, the entry node sets Resend and lists all of its
	// streams in Confirms; their tokens are then sent again from the confirmed
	// offsets on.
	NextManyArgs struct {
		PullerID uint64         `cbor:"1,keyasint,omitzero"` // identifies the entry node's process
		Sequence uint64         `cbor:"2,keyasint,omitzero"`
		Resend   bool           `cbor:"3,keyasint,omitzero"`
		Confirms []Confirmation `cbor:"4,keyasint,omitzero"`
		Wait     time.Duration  `cbor:"5,keyasint,omitzero"`
	}

	// Confirmation acknowledges the tokens before Offset. A stream that isn't
	// confirmed for idleTimeout is canceled.
	Confirmation struct {
		AttemptID
		Offset int `cbor:"11,keyasint,omitzero"`
	}

	// NextManyReply holds the tokens that were ready. When SessionID changes, the
	// scheduler has lost track of what it sent, and the entry node has to pull
	// with Resend.
	NextManyReply struct {
		SessionID uint64        `cbor:"1,keyasint,omitzero"`
		Streams   []StreamChunk `cbor:"2,keyasint,omitzero"`
	}

	// ConfirmArgs confirms tokens without pulling more.
	ConfirmArgs struct {
		PullerID uint64         `cbor:"1,keyasint,omitzero"`
		Confirms []Confirmation `cbor:"2,keyasint,omitzero"`
	}

	// ConfirmReply counts the confirmed streams that can continue: those that are
	// known and still have the tokens from the confirmed offset on.
	ConfirmReply struct {
		Known int `cbor:"1,keyasint,omitzero"`
	}

	// StreamChunk holds one stream's tokens from Offset on. A chunk with Done or a
	// Failure is the last one of its stream.
	StreamChunk struct {
		AttemptID
		Offset  int               `cbor:"11,keyasint,omitzero"`
		Tokens  []string          `cbor:"12,keyasint,omitzero"`
		Done    bool              `cbor:"13,keyasint,omitzero"`
		Usage   upstream.Usage    `cbor:"14,keyasint,omitzero"`
		Failure *upstream.Failure `cbor:"15,keyasint,omitzero"`
	}

	// CancelArgs cancels an attempt whose result is no longer needed, for example
	// because the caller has disconnected or the reply to Open was lost.
	CancelArgs struct{ AttemptID }

	// CancelReply says whether the scheduler still knew the attempt.
	CancelReply struct {
		Known bool `cbor:"1,keyasint,omitzero"`
	}

	// CallArgs makes one call to a plain service.
	CallArgs struct {
		AttemptID
		Principal
		Upstream      string        `cbor:"11,keyasint,omitzero"`
		Remaining     time.Duration `cbor:"12,keyasint,omitzero"`
		PoisonSuspect bool          `cbor:"13,keyasint,omitzero"`
		Call          upstream.Call `cbor:"14,keyasint,omitzero"`
	}

	// CallReply holds the service's complete response, or the failure.
	CallReply struct {
		AttemptID
		Load     Load              `cbor:"11,keyasint,omitzero"`
		Response upstream.Response `cbor:"12,keyasint,omitzero"`
		Failure  *upstream.Failure `cbor:"13,keyasint,omitzero"`
	}

	// CrashArgs reports that a request crashed Upstream. With an empty Upstream it
	// only queries the count.
	CrashArgs struct {
		Fingerprint string `cbor:"1,keyasint,omitzero"`
		Upstream    string `cbor:"2,keyasint,omitzero"`
	}

	// ReclaimArgs announces that the platform reclaims an upstream within
	// seconds.
	ReclaimArgs struct {
		Upstream string `cbor:"1,keyasint,omitzero"`
	}

	// ReclaimReply counts the requests that were running on the upstream.
	ReclaimReply struct {
		Running int `cbor:"1,keyasint,omitzero"`
	}

	// CrashReply holds the number of distinct upstreams that the request crashed.
	CrashReply struct {
		Upstreams int `cbor:"1,keyasint,omitzero"`
	}
)
