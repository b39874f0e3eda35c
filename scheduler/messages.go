package scheduler

import (
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Address is where a scheduler's node is called.
	Address = netip.AddrPort

	// AttemptID names one attempt at one request. Replies repeat it, so that an
	// answer to another attempt is never taken for the right one.
	AttemptID struct {
		RequestID string `cbor:"1,keyasint,omitzero"`
		Attempt   int    `cbor:"2,keyasint,omitzero"`
	}

	// Principal says for whom a request runs and by which rule.
	Principal struct {
		Workspace string   `cbor:"3,keyasint,omitzero"` // empty on open routes
		Weight    int      `cbor:"4,keyasint,omitzero"`
		Key       fleet.ID `cbor:"5,keyasint,omitzero"` // the key that let the request in; zero on open routes
		Revision  uint64   `cbor:"6,keyasint,omitzero"` // configuration revision that the entry node decided by
		Priority  int      `cbor:"7,keyasint,omitzero"`
	}

	// Load is an upstream's load as its scheduler knows it. Costs are those of
	// policy.TokenCosts.
	Load struct {
		Slots       int   `cbor:"1,keyasint,omitzero"`
		Running     int   `cbor:"2,keyasint,omitzero"`
		RunningCost int64 `cbor:"3,keyasint,omitzero"`
		Waiting     int   `cbor:"4,keyasint,omitzero"`
		WaitingCost int64 `cbor:"5,keyasint,omitzero"`
		Draining    bool  `cbor:"6,keyasint,omitzero"`
	}

	// OpenArgs starts a generation. Remaining is the time left until the
	// request's deadline, which needs no common clock.
	OpenArgs struct {
		AttemptID
		Principal
		Upstream      string              `cbor:"11,keyasint,omitzero"`
		PullerID      uint64              `cbor:"12,keyasint,omitzero"` // whose pulls carry the tokens
		Remaining     time.Duration       `cbor:"13,keyasint,omitzero"`
		PoisonSuspect bool                `cbor:"14,keyasint,omitzero"` // it ran on an upstream that crashed
		Generation    upstream.Generation `cbor:"15,keyasint,omitzero"`
	}

	// OpenReply accepts a generation into the upstream's queue, or refuses it.
	OpenReply struct {
		AttemptID
		Load    Load              `cbor:"11,keyasint,omitzero"`
		Failure *upstream.Failure `cbor:"12,keyasint,omitzero"`
	}

	// NextManyArgs asks for the tokens that an entry node's streams have ready.
	// Of two pulls, the one with the lower sequence gets nothing. A pull with
	// Resend lists all streams and makes their tokens from the confirmed offset
	// on be sent again, after a reply may have been lost.
	NextManyArgs struct {
		PullerID uint64         `cbor:"1,keyasint,omitzero"` // names the entry node's process
		Sequence uint64         `cbor:"2,keyasint,omitzero"`
		Resend   bool           `cbor:"3,keyasint,omitzero"`
		Confirms []Confirmation `cbor:"4,keyasint,omitzero"`
		Wait     time.Duration  `cbor:"5,keyasint,omitzero"`
	}

	// Confirmation says that the tokens before Offset have been passed on. A
	// stream that isn't confirmed for idleLimit is canceled.
	Confirmation struct {
		AttemptID
		Offset int `cbor:"11,keyasint,omitzero"`
	}

	// NextManyReply holds what the streams have ready. When SessionID changes,
	// the scheduler has forgotten what it sent, and the entry node asks to
	// resend.
	NextManyReply struct {
		SessionID uint64        `cbor:"1,keyasint,omitzero"`
		Streams   []StreamChunk `cbor:"2,keyasint,omitzero"`
	}

	// ConfirmArgs confirms tokens without asking for more.
	ConfirmArgs struct {
		PullerID uint64         `cbor:"1,keyasint,omitzero"`
		Confirms []Confirmation `cbor:"2,keyasint,omitzero"`
	}

	// ConfirmReply counts the streams that are known and hold the tokens from
	// the confirmed offset on.
	ConfirmReply struct {
		Known int `cbor:"1,keyasint,omitzero"`
	}

	// StreamChunk holds one stream's tokens from Offset on. After Done or a
	// Failure there are no more.
	StreamChunk struct {
		AttemptID
		Offset  int               `cbor:"11,keyasint,omitzero"`
		Tokens  []string          `cbor:"12,keyasint,omitzero"`
		Done    bool              `cbor:"13,keyasint,omitzero"`
		Usage   upstream.Usage    `cbor:"14,keyasint,omitzero"`
		Failure *upstream.Failure `cbor:"15,keyasint,omitzero"`
	}

	// CancelArgs ends an attempt whose caller has left.
	CancelArgs struct{ AttemptID }

	// CancelReply says whether the attempt was still known.
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

	// CallReply is the service's whole answer, or the failure.
	CallReply struct {
		AttemptID
		Load    Load              `cbor:"11,keyasint,omitzero"`
		Answer  upstream.Answer   `cbor:"12,keyasint,omitzero"`
		Failure *upstream.Failure `cbor:"13,keyasint,omitzero"`
	}

	// CrashArgs asks for, or adds to, the upstreams that a request crashed.
	// Upstream is empty in a query.
	CrashArgs struct {
		Fingerprint string `cbor:"1,keyasint,omitzero"`
		Upstream    string `cbor:"2,keyasint,omitzero"`
	}

	// ReclaimArgs says that an upstream ends within seconds.
	ReclaimArgs struct {
		Upstream string `cbor:"1,keyasint,omitzero"`
	}

	// ReclaimReply counts the requests that were running there.
	ReclaimReply struct {
		Running int `cbor:"1,keyasint,omitzero"`
	}

	// CrashReply counts the distinct upstreams that the request crashed.
	CrashReply struct {
		Upstreams int `cbor:"1,keyasint,omitzero"`
	}
)
