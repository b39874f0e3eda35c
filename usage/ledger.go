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
	replicaCount      = 2
	holdTimeout       = time.Second // of a call to a replica
	flushTimeout      = 5 * time.Second
	retryDelay        = 50 * time.Millisecond
	batchDelay        = 500 * time.Millisecond // applies to the second replica only
	resyncInterval    = time.Second            // a new replica gets all records within this time
	maxRecordsPerCall = 2000                   // about 100 KB

	// ErrNotReplicated means that no other node has confirmed a copy of the
	// usage yet. This node keeps the usage and continues to retry.
	ErrNotReplicated = errors.ConstError("usage not yet replicated to another node")
)

type (
	// LedgerOptions configures a Ledger. Zero durations mean the defaults.
	LedgerOptions struct {
		Source        Source
		FailureDomain string
		Members       func() []Member // live nodes; may include this one
		Peers         peer.RPCClient
		Logger        *slog.Logger
		Metrics       *metrics.Set
		Window        time.Duration // default 1 h
		AckTimeout    time.Duration // bounds how long Record, and so the end of a response, waits for a replica; default 250 ms
		Grace         time.Duration // from the end of a window until this node's records of it are final, which delays the reports; default 2 s
		Retention     time.Duration // of copies of other nodes' records; a window that closes later may lack the usage of crashed nodes; default 24 h
	}

	// Ledger counts this node's usage and holds copies of other nodes' records.
	Ledger struct {
		ctx     context.Context
		options LedgerOptions

		mu           sync.Mutex
		records      map[recordKey]Totals
		version      uint64        // of records; incremented with each change
		acked        uint64        // highest version that either replica has confirmed
		ackChanged   chan struct{} // closed and replaced when acked grows
		newestWindow int64         // window of new records; never decreases, even if the clock is set back
		final        bool
		replicators  [replicaCount]*replicator
		copies       map[Source]*sourceCopy
	}

	// replicator sends this node's records to one replica.
	replicator struct {
		updated  chan struct{} // signaled when there is something to send
		flushNow chan struct{} // ends awaitBatch early

		// replica is used only by the replicator's goroutine. dirty is guarded by
		// the ledger's mu.
		replica Source
		dirty   map[recordKey]struct{}
	}

	// sourceCopy is this node's copy of another source's records.
	sourceCopy struct {
		records   map[recordKey]Totals
		final     bool
		updatedAt time.Time
	}
)

// NewLedger returns a Ledger whose goroutines end with ctx.
func NewLedger(ctx context.Context, options LedgerOptions) *Ledger {
	setDefault(&options.Window, time.Hour)
	setDefault(&options.AckTimeout, 250*time.Millisecond)
	setDefault(&options.Grace, 2*time.Second)
	setDefault(&options.Retention, 24*time.Hour)
	l := &Ledger{
		ctx: ctx, options: options, records: make(map[recordKey]Totals), ackChanged: make(chan struct{}),
		copies: make(map[Source]*sourceCopy),
	}
	for i := range l.replicators {
		l.replicators[i] = &replicator{updated: make(chan struct{}, 1), flushNow: make(chan struct{}, 1), dirty: make(map[recordKey]struct{})}
	}
	for i, r := range l.replicators {
		go func() {
			ticker := time.NewTicker(resyncInterval)
			defer ticker.Stop()
			for {
				select {
				case <-r.updated:
					if i > 0 { // responses usually wait only for the first replica
						r.awaitBatch(ctx)
					}
				case <-ticker.C:
				case <-ctx.Done():
					return
				}
				for !l.flush(ctx, i) && ctx.Err() == nil {
					signal(l.replicators[len(l.replicators)-1].flushNow)
					sleep(ctx, retryDelay)
				}
			}
		}()
	}
	return l
}

// Register registers the ledger's RPC methods with server.
func (l *Ledger) Register(server *peer.Server) (err error) {
	return server.Register("Usage", &Receiver{ledger: l})
}

// Record adds a request to a workspace's usage and waits until a replica confirms
// it. It returns ErrNotReplicated after the AckTimeout.
func (l *Ledger) Record(ctx context.Context, workspace string, used upstream.Usage, elapsed time.Duration) (err error) {
	return l.add(ctx, workspace, totalsOf(used, elapsed))
}

func (l *Ledger) add(ctx context.Context, workspace string, totals Totals) (err error) {
	l.mu.Lock()
	l.newestWindow = max(l.newestWindow, windowStart(time.Now(), l.options.Window))
	key := recordKey{l.newestWindow, workspace}
	l.records[key] = l.records[key].Plus(totals)
	l.version++
	version := l.version
	for _, r := range l.replicators {
		r.dirty[key] = struct{}{}
	}
	l.mu.Unlock()
	for _, r := range l.replicators {
		r.wake()
	}
	if err = l.awaitReplica(ctx, version); err != nil {
		l.count("guavagauge_usage_unheld_total")
	}
	return err
}

// Flush sends all records to the replicas and marks them as final. A node calls
// it when it stops. Flush retries for a few seconds, but returns at once if no
// other node is alive.
func (l *Ledger) Flush(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	l.mu.Lock()
	l.final = true
	l.version++
	version := l.version
	l.mu.Unlock()
	for _, r := range l.replicators {
		r.wake()
	}
	for ctx.Err() == nil {
		if _, ok := l.replica(0); !ok {
			return l.notReplicated()
		}
		if err = l.awaitReplica(ctx, version); err == nil {
			return nil
		}
	}
	return errors.Trace(ErrNotReplicated)
}

// notReplicated returns an error if this node has records. It is called when no
// other node could hold a copy.
func (l *Ledger) notReplicated() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) > 0 {
		return errors.Trace(ErrNotReplicated)
	}
	return nil
}

// awaitReplica waits until a replica has confirmed a version of the records.
func (l *Ledger) awaitReplica(ctx context.Context, version uint64) (err error) {
	timeout := time.NewTimer(l.options.AckTimeout)
	defer timeout.Stop()
	for {
		l.mu.Lock()
		replicated, changed := l.acked >= version, l.ackChanged
		l.mu.Unlock()
		if replicated {
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

// flush sends the changed records to the i-th replica. It returns false if it
// has to be called again, because the call failed or more records are waiting.
func (l *Ledger) flush(ctx context.Context, i int) (done bool) {
	r := l.replicators[i]
	replica, ok := l.replica(i)
	if !ok {
		return true // no such node; flush is called again after resyncInterval
	}
	l.mu.Lock()
	if replica.Source != r.replica {
		r.replica = replica.Source
		for key := range l.records {
			r.dirty[key] = struct{}{}
		}
	}
	version := l.version
	args := HoldArgs{Source: l.options.Source, Final: l.final}
	for key := range r.dirty {
		if len(args.Records) == maxRecordsPerCall {
			break
		}
		args.Records = append(args.Records, Record{key.window, key.workspace, l.records[key]})
		delete(r.dirty, key)
	}
	more := len(r.dirty) > 0
	args.Final = args.Final && !more
	l.mu.Unlock()
	if len(args.Records) == 0 && !args.Final {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var reply HoldReply
	if err := l.options.Peers.Call(callCtx, replica.Address, "Usage.Hold", args, &reply); err != nil {
		l.count("guavagauge_usage_hold_failed_total")
		l.markDirty(r, args.Records)
		return false
	}
	if more {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.acked { // the replica has all records up to version, because none were left in dirty
		l.acked = version
		close(l.ackChanged)
		l.ackChanged = make(chan struct{})
	}
	return true
}

// markDirty marks records to be sent again after a failed call.
func (l *Ledger) markDirty(r *replicator, records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		r.dirty[recordKey{record.Window, record.Workspace}] = struct{}{}
	}
}

// ownRecords returns this node's records of a window and shard.
func (l *Ledger) ownRecords(window int64, shard, shards int) (records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return selectRecords(l.records, window, shard, shards)
}

// watermarkPassed reports whether this node's records of a window are final. Once
// it has returned true, the node adds nothing to the window, even if its clock is
// set back.
func (l *Ledger) watermarkPassed(window int64) (final bool) {
	end := time.Unix(window, 0).Add(l.options.Window)
	if time.Now().Before(end.Add(l.options.Grace)) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestWindow = max(l.newestWindow, end.Unix())
	return true
}

// expireCopies deletes the copies of sources that have sent nothing for the
// retention time.
func (l *Ledger) expireCopies(now time.Time) {
	for source, c := range l.copies {
		if now.Sub(c.updatedAt) > l.options.Retention {
			delete(l.copies, source)
		}
	}
}

func (l *Ledger) count(name string) {
	if l.options.Metrics != nil {
		l.options.Metrics.GetOrCreateCounter(name).Inc()
	}
}

func (r *replicator) wake() { signal(r.updated) }

// awaitBatch waits for more records to send in the same message. Responses to
// callers wait only for the first replica; the second one has to have the records
// within a second. The wait ends early when a flush is incomplete, since then the
// second replica may be the first to confirm.
func (r *replicator) awaitBatch(ctx context.Context) {
	select {
	case <-time.After(batchDelay):
	case <-r.flushNow:
	case <-ctx.Done():
	}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func selectRecords(all map[recordKey]Totals, window int64, shard, shards int) (records []Record) {
	for key, totals := range all {
		if key.window == window && shardOf(key.workspace, shards) == shard {
			records = append(records, Record{key.window, key.workspace, totals})
		}
	}
	return records
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) (waited bool) {
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
