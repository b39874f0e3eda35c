// Package usage bills work per workspace and window. Each node counts what its
// callers used; peers hold copies, so that the loss of a node loses no figures;
// and one reporter per shard of workspaces freezes a window's figures in the
// store before it reports them.
//
// # Usage
//
//	ledger := usage.NewLedger(ctx, usage.LedgerOptions{Source: source, Members: members, Peers: pool})
//	ledger.Register(peerServer)
//	err := ledger.Record(ctx, "north/alpha", used, elapsed) // before an answer's last byte
//
//	reporter := usage.NewReporter(usage.ReporterOptions{Shard: 0, Shards: 4, Store: client, Platform: platform})
//	lease.Run(ctx, client, lease.Options{Key: reporter.LeaseKey()}, func(ctx context.Context, held *lease.Lease) error {
//		return reporter.Report(ctx, held)
//	})
//
// # Windows
//
// Work belongs to the window in which it ends, by the clock of its entry node,
// and a node's windows never go back. A window closes when each live node says
// that its own figures for it are final and the copies of nodes that have gone
// were read, or at the latest after a stated lateness. Figures that a closed
// window missed, because their node was cut off, are carried into a later
// window by that node, so that no window is ever reported with other figures.
// The closing by a watermark over the sources, and the bound on lateness, are
// those of event-time windows in stream processing (S. Kidder, "Video Access
// Log Processing with Apache Flink", 2018).
package usage

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/rendezvous"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Source is one run of one node's process.
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

	// Totals is what a workspace used.
	Totals struct {
		Requests         int64 `cbor:"1,keyasint,omitzero"`
		PromptTokens     int64 `cbor:"2,keyasint,omitzero"`
		CachedTokens     int64 `cbor:"3,keyasint,omitzero"`
		CompletionTokens int64 `cbor:"4,keyasint,omitzero"`
		Milliseconds     int64 `cbor:"5,keyasint,omitzero"`
	}

	// Record is a source's total for one workspace in one window, so far.
	// Totals only grow, so of two copies of a record the larger is the newer.
	Record struct {
		Window    int64  `cbor:"1,keyasint,omitzero"` // start, in seconds since 1970
		Workspace string `cbor:"2,keyasint,omitzero"`
		Totals    Totals `cbor:"3,keyasint,omitzero"`
	}

	cellKey struct {
		window    int64
		workspace string
	}
)

// String returns the source's name in the store and in logs.
func (s Source) String() string { return fmt.Sprintf("%s/%d", s.Node, s.Incarnation) }

// Plus returns the sum of both.
func (t Totals) Plus(o Totals) Totals {
	return Totals{
		Requests: t.Requests + o.Requests, PromptTokens: t.PromptTokens + o.PromptTokens,
		CachedTokens: t.CachedTokens + o.CachedTokens, CompletionTokens: t.CompletionTokens + o.CompletionTokens,
		Milliseconds: t.Milliseconds + o.Milliseconds,
	}
}

// Minus returns what t has more than o.
func (t Totals) Minus(o Totals) Totals {
	return t.Plus(Totals{-o.Requests, -o.PromptTokens, -o.CachedTokens, -o.CompletionTokens, -o.Milliseconds})
}

// newer returns the later of two copies of a record's totals.
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

// shardOf returns the shard that a workspace's windows are reported by.
func shardOf(workspace string, shards int) (shard int) {
	return int(rendezvous.Hash(workspace) % uint64(shards))
}

func windowStart(at time.Time, length time.Duration) (start int64) {
	return at.Truncate(length).Unix()
}
