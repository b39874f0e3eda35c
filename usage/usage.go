// Package usage meters requests per workspace and window and reports the totals
// for billing. Each node counts the usage of its own callers. Other nodes hold
// replicas, so that the crash of one node loses no usage. One reporter per shard
// of workspaces freezes the totals of a window in the store before it reports
// them.
//
// # Usage
//
//	ledger := usage.NewLedger(ctx, usage.LedgerOptions{Source: source, Members: members, Peers: pool})
//	ledger.Register(peerServer)
//	err := ledger.Record(ctx, "north/alpha", used, elapsed) // before the last byte of a response
//
//	reporter := usage.NewReporter(usage.ReporterOptions{Shard: 0, Shards: 4, Store: client, Platform: platform})
//	lease.Run(ctx, client, lease.Options{Key: reporter.LeaseKey()}, func(ctx context.Context, held *lease.Lease) error {
//		return reporter.Report(ctx, held)
//	})
//
// # Windows
//
// A request belongs to the window in which it ends, by the clock of its entry
// node. A node never returns to an earlier window, even if its clock is set
// back. A window closes, i.e. its totals are frozen, when the watermark of every
// live node has passed it and the replicas of all other nodes have been read, or
// when the allowed lateness is over. If a node was unreachable when a window
// closed, it carries the usage that the window lacks over into a later one, so
// that the totals reported for a window never change. Watermarks per source and a bound on lateness are used in
// the same way for event-time windows in stream processing (S. Kidder, "Video
// Access Log Processing with Apache Flink", 2018).
//
// # Failures
//
// A ledger keeps its node's records in memory and sends them until a replica
// confirms them. If the node crashes before that, they are lost. A node that is
// alive but doesn't answer delays a window by at most the allowed lateness.
// While the platform is unavailable or its responses are lost, a reporter sends
// the same totals again. If the store fails, Report returns the error. It can be
// called again, because it continues with the first window that isn't reported
// and doesn't change frozen totals.
package usage

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/rendezvous"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Source identifies one run of a node's process.
	Source struct {
		Node        string `cbor:"1,keyasint,omitzero"`
		Incarnation uint64 `cbor:"2,keyasint,omitzero"`
	}

	// Member is a live node.
	Member struct {
		Source
		Address       netip.AddrPort
		FailureDomain string
	}

	// Totals is the usage of a workspace. Milliseconds is the sum of the
	// durations of its requests.
	Totals struct {
		Requests         int64 `cbor:"1,keyasint,omitzero"`
		PromptTokens     int64 `cbor:"2,keyasint,omitzero"`
		CachedTokens     int64 `cbor:"3,keyasint,omitzero"`
		CompletionTokens int64 `cbor:"4,keyasint,omitzero"`
		Milliseconds     int64 `cbor:"5,keyasint,omitzero"`
	}

	// Record holds the totals of one source for a workspace and a window. They
	// only grow, so of two copies of a record the larger one is newer.
	Record struct {
		Window    int64  `cbor:"1,keyasint,omitzero"` // start, in Unix seconds
		Workspace string `cbor:"2,keyasint,omitzero"`
		Totals    Totals `cbor:"3,keyasint,omitzero"`
	}

	recordKey struct {
		window    int64
		workspace string
	}
)

// String returns the source's name in the store and in logs.
func (s Source) String() string { return fmt.Sprintf("%s/%d", s.Node, s.Incarnation) }

// Plus returns the sum of t and o.
func (t Totals) Plus(o Totals) Totals {
	return Totals{
		Requests: t.Requests + o.Requests, PromptTokens: t.PromptTokens + o.PromptTokens,
		CachedTokens: t.CachedTokens + o.CachedTokens, CompletionTokens: t.CompletionTokens + o.CompletionTokens,
		Milliseconds: t.Milliseconds + o.Milliseconds,
	}
}

// Minus returns t less o.
func (t Totals) Minus(o Totals) Totals {
	return t.Plus(Totals{-o.Requests, -o.PromptTokens, -o.CachedTokens, -o.CompletionTokens, -o.Milliseconds})
}

// newer returns the newer of two copies of a record's totals, which is the
// larger one in each field.
func (t Totals) newer(o Totals) Totals {
	return Totals{
		Requests: max(t.Requests, o.Requests), PromptTokens: max(t.PromptTokens, o.PromptTokens),
		CachedTokens: max(t.CachedTokens, o.CachedTokens), CompletionTokens: max(t.CompletionTokens, o.CompletionTokens),
		Milliseconds: max(t.Milliseconds, o.Milliseconds),
	}
}

func totalsOf(used upstream.Usage, elapsed time.Duration) Totals {
	return Totals{
		Requests: 1, PromptTokens: int64(used.PromptTokens), CachedTokens: int64(used.CachedTokens),
		CompletionTokens: int64(used.CompletionTokens), Milliseconds: elapsed.Milliseconds(),
	}
}

// shardOf returns the shard of a workspace. The reporter of the shard reports
// the workspace's usage.
func shardOf(workspace string, shards int) (shard int) {
	return int(rendezvous.Hash(workspace) % uint64(shards))
}

func windowStart(at time.Time, length time.Duration) (start int64) {
	return at.Truncate(length).Unix()
}
