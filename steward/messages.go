package steward

import (
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Address is where a steward's node is called.
	Address = netip.AddrPort

	// Ident names one attempt at one request. Replies repeat it, so that an
	// answer to another attempt is never taken for the right one.
	Ident struct {
		RequestID string
		Attempt   int
	}

	// Origin says for whom a request runs and by which rule.
	Origin struct {
		Workspace string // empty on open routes
		Weight    int
		Key       fleet.ID // the key that let the request in; zero on open routes
		Revision  uint64   // configuration revision that the entry node decided by
		Priority  int
	}

	// Load is an upstream's load as its steward knows it. Costs are those of
	// policy.Prices.
	Load struct {
		Slots       int
		Running     int
		RunningCost int64
		Waiting     int
		WaitingCost int64
		Draining    bool
	}

	// OpenArgs starts a generation. Remaining is the time left until the
	// request's deadline, which needs no common clock.
	OpenArgs struct {
		Ident
		Origin
		Upstream   string
		Puller     uint64 // whose pulls carry the tokens
		Remaining  time.Duration
		Suspect    bool // it ran on an upstream that crashed
		Generation upstream.Generation
	}

	// OpenReply accepts a generation into the upstream's queue, or refuses it.
	OpenReply struct {
		Ident
		Load    Load
		Failure *upstream.Failure
	}

	// NextManyArgs asks for the tokens that an entry node's streams have ready.
	// Of two pulls, the one with the lower sequence gets nothing. A pull with
	// Resend lists all streams and makes their tokens from the confirmed offset
	// on be sent again, after a reply may have been lost.
	NextManyArgs struct {
		Puller   uint64 // names the entry node's process
		Sequence uint64
		Resend   bool
		Confirms []Confirmation
		Wait     time.Duration
	}

	// Confirmation says that the tokens before Offset have been passed on. A
	// stream that isn't confirmed for idleLimit is canceled.
	Confirmation struct {
		Ident
		Offset int
	}

	// NextManyReply holds what the streams have ready. When Epoch changes, the
	// steward has forgotten what it sent, and the entry node asks to resend.
	NextManyReply struct {
		Epoch   uint64
		Streams []NextReply
	}

	// ConfirmArgs confirms tokens without asking for more.
	ConfirmArgs struct {
		Puller   uint64
		Confirms []Confirmation
	}

	// ConfirmReply counts the streams that are known and hold the tokens from
	// the confirmed offset on.
	ConfirmReply struct{ Known int }

	// NextReply holds one stream's tokens from Offset on. After Done or a Failure
	// there are no more.
	NextReply struct {
		Ident
		Offset  int
		Tokens  []string
		Done    bool
		Usage   upstream.Usage
		Failure *upstream.Failure
	}

	// CancelArgs ends an attempt whose caller has left.
	CancelArgs struct{ Ident }

	// CancelReply says whether the attempt was still known.
	CancelReply struct{ Known bool }

	// CallArgs makes one call to a plain service.
	CallArgs struct {
		Ident
		Origin
		Upstream  string
		Remaining time.Duration
		Suspect   bool
		Call      upstream.Call
	}

	// CallReply is the service's whole answer, or the failure.
	CallReply struct {
		Ident
		Load    Load
		Answer  upstream.Answer
		Failure *upstream.Failure
	}

	// CrashArgs asks for, or adds to, the upstreams that a request crashed.
	// Upstream is empty in a query.
	CrashArgs struct {
		Fingerprint string
		Upstream    string
	}

	// ReclaimArgs says that an upstream ends within seconds.
	ReclaimArgs struct{ Upstream string }

	// ReclaimReply counts the requests that were running there.
	ReclaimReply struct{ Running int }

	// CrashReply counts the distinct upstreams that the request crashed.
	CrashReply struct{ Upstreams int }
)
