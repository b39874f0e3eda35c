package usage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	witnesses       = 2
	holdTimeout     = time.Second
	flushTimeout    = 5 * time.Second
	retryPause      = 50 * time.Millisecond
	gatherTime      = 500 * time.Millisecond
	refreshPeriod   = time.Second // a new witness gets all figures within this
	maxCellsPerCall = 2000        // about 100 KB

	// ErrNotReplicated means that no peer has confirmed the figures yet. This
	// node still has them, and goes on trying.
	ErrNotReplicated = errors.ConstError("usage is held by this node only")
)

type (
	// LedgerOptions of a Ledger. Zero durations take defaults.
	LedgerOptions struct {
		Source        Source
		FailureDomain string
		Members       func() []Member // live nodes, with or without this one
		Peers         peer.RPCClient
		Logger        *slog.Logger
		Metrics       *metrics.Set
		Window        time.Duration // default 1 h
		AckTimeout    time.Duration // longest wait of Record; default 250 ms
		Grace         time.Duration // a window is final so long after its end; default 2 s
		Retention     time.Duration // copies of other nodes' figures; default 24 h
	}

	// Ledger counts this node's usage and holds copies of other nodes'.
	Ledger struct {
		ctx     context.Context
		options LedgerOptions

		mu      sync.Mutex
		cells   map[cellKey]Totals
		version uint64 // of cells; grows with each record
		acked   uint64 // highest version that a witness holds
		changed chan struct{}
		newest  int64 // window of the last record; later ones are never older
		final   bool
		links   [witnesses]*link
		copies  map[Source]*copied
	}

	// link sends this node's figures to one witness.
	link struct {
		kick   chan struct{}
		urgent chan struct{} // ends the wait for more figures

		// These belong to the link's goroutine, but for dirty, which is guarded
		// by the ledger's mu.
		witness Source
		dirty   map[cellKey]struct{}
	}

	// copied is what this node holds for another source.
	copied struct {
		cells   map[cellKey]Totals
		final   bool
		touched time.Time
	}
)

// NewLedger returns a Ledger whose goroutines end with ctx.
func NewLedger(ctx context.Context, options LedgerOptions) *Ledger {
	setDefault(&options.Window, time.Hour)
	setDefault(&options.AckTimeout, 250*time.Millisecond)
	setDefault(&options.Grace, 2*time.Second)
	setDefault(&options.Retention, 24*time.Hour)
	l := &Ledger{
		ctx: ctx, options: options, cells: make(map[cellKey]Totals), changed: make(chan struct{}),
		copies: make(map[Source]*copied),
	}
	for i := range l.links {
		l.links[i] = &link{kick: make(chan struct{}, 1), urgent: make(chan struct{}, 1), dirty: make(map[cellKey]struct{})}
	}
	for i, k := range l.links {
		go func() {
			ticker := time.NewTicker(refreshPeriod)
			defer ticker.Stop()
			for {
				select {
				case <-k.kick:
					if i > 0 {
						k.gather(ctx)
					}
				case <-ticker.C:
				case <-ctx.Done():
					return
				}
				for !l.flush(ctx, i) && ctx.Err() == nil {
					signal(l.links[len(l.links)-1].urgent)
					pause(ctx, retryPause)
				}
			}
		}()
	}
	return l
}

// Register makes the ledger callable by peers.
func (l *Ledger) Register(server *peer.Server) (err error) {
	return server.Register("Usage", &Receiver{ledger: l})
}

// Record adds to a workspace's usage, and waits until a witness holds it.
func (l *Ledger) Record(ctx context.Context, workspace string, used upstream.Usage, elapsed time.Duration) (err error) {
	return l.add(ctx, workspace, totalsOf(used, elapsed))
}

func (l *Ledger) add(ctx context.Context, workspace string, totals Totals) (err error) {
	l.mu.Lock()
	l.newest = max(l.newest, windowStart(time.Now(), l.options.Window))
	key := cellKey{l.newest, workspace}
	l.cells[key] = l.cells[key].Plus(totals)
	l.version++
	version := l.version
	for _, k := range l.links {
		k.dirty[key] = struct{}{}
	}
	l.mu.Unlock()
	for _, k := range l.links {
		k.wake()
	}
	if err = l.await(ctx, version); err != nil {
		l.count("guavagauge_usage_unheld_total")
	}
	return err
}

// Flush sends all figures to the witnesses and marks them as final, for a node
// that stops. It tries for a few seconds, unless no other node is alive.
func (l *Ledger) Flush(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	l.mu.Lock()
	l.final = true
	l.version++
	version := l.version
	l.mu.Unlock()
	for _, k := range l.links {
		k.wake()
	}
	for ctx.Err() == nil {
		if _, ok := l.witness(0); !ok {
			return l.unheld()
		}
		if err = l.await(ctx, version); err == nil {
			return nil
		}
	}
	return errors.Trace(ErrNotReplicated)
}

// unheld returns an error if there are figures that no other node can hold.
func (l *Ledger) unheld() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cells) > 0 {
		return errors.Trace(ErrNotReplicated)
	}
	return nil
}

// await returns when a witness holds a version of the figures.
func (l *Ledger) await(ctx context.Context, version uint64) (err error) {
	timeout := time.NewTimer(l.options.AckTimeout)
	defer timeout.Stop()
	for {
		l.mu.Lock()
		held, changed := l.acked >= version, l.changed
		l.mu.Unlock()
		if held {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return errors.Trace(ErrNotReplicated)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// flush sends the records that changed to the i-th witness, and reports whether
// the witness now holds everything there was when it began.
func (l *Ledger) flush(ctx context.Context, i int) (done bool) {
	k := l.links[i]
	witness, ok := l.witness(i)
	if !ok {
		return true // nobody is there: tried again after refreshPeriod
	}
	l.mu.Lock()
	if witness.Source != k.witness {
		k.witness = witness.Source
		for key := range l.cells {
			k.dirty[key] = struct{}{}
		}
	}
	version := l.version
	args := HoldArgs{Source: l.options.Source, Final: l.final}
	for key := range k.dirty {
		if len(args.Records) == maxCellsPerCall {
			break
		}
		args.Records = append(args.Records, Record{key.window, key.workspace, l.cells[key]})
		delete(k.dirty, key)
	}
	more := len(k.dirty) > 0
	args.Final = args.Final && !more
	l.mu.Unlock()
	if len(args.Records) == 0 && !args.Final {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var reply HoldReply
	if err := l.options.Peers.Call(callCtx, witness.Address, "Usage.Hold", args, &reply); err != nil {
		l.count("guavagauge_usage_hold_failed_total")
		l.again(k, args.Records)
		return false
	}
	if more {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.acked {
		l.acked = version
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return true
}

// again marks records whose copy may not have arrived.
func (l *Ledger) again(k *link, records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		k.dirty[cellKey{record.Window, record.Workspace}] = struct{}{}
	}
}

// cellsOf returns this node's records of a window and shard.
func (l *Ledger) cellsOf(window int64, shard, shards int) (records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return selectCells(l.cells, window, shard, shards)
}

// passed reports whether this node will add nothing more to a window. From then
// on it doesn't, even if its clock is set back.
func (l *Ledger) passed(window int64) (final bool) {
	end := time.Unix(window, 0).Add(l.options.Window)
	if time.Now().Before(end.Add(l.options.Grace)) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, end.Unix())
	return true
}

// expire drops copies that nobody has asked for in the retention time.
func (l *Ledger) expire(now time.Time) {
	for source, c := range l.copies {
		if now.Sub(c.touched) > l.options.Retention {
			delete(l.copies, source)
		}
	}
}

func (l *Ledger) count(name string) {
	if l.options.Metrics != nil {
		l.options.Metrics.GetOrCreateCounter(name).Inc()
	}
}

func (k *link) wake() { signal(k.kick) }

// gather waits for more figures to share a message. Only the first witness is
// waited for by answers; the second is to hold them within a second. It ends
// early when the first witness doesn't answer.
func (k *link) gather(ctx context.Context) {
	select {
	case <-time.After(gatherTime):
	case <-k.urgent:
	case <-ctx.Done():
	}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func selectCells(from map[cellKey]Totals, window int64, shard, shards int) (records []Record) {
	for key, totals := range from {
		if key.window == window && shardOf(key.workspace, shards) == shard {
			records = append(records, Record{key.window, key.workspace, totals})
		}
	}
	return records
}

// pause waits, or returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) (waited bool) {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
