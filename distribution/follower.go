package distribution

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

// Defaults of FollowerOptions. Shorter intervals keep confirmations more recent,
// at the cost of messages (PullInterval, CompareInterval) or store calls
// (ConfirmInterval, and one watch for each of the Readers). Confirmations travel
// with pulls: each level of the tree below the readers adds up to about one
// PullInterval to their age. With 2 readers and a fan-out of 8, a failure domain
// of up to 146 nodes has at most two such levels.
const (
	defaultReaders         = 2
	defaultFanOut          = 8
	defaultPullInterval    = time.Second
	defaultCompareInterval = 3 * time.Second
	defaultConfirmInterval = 500 * time.Millisecond
	defaultKeepDeltas      = 256
	defaultJoinWait        = 3 * time.Second
)

const (
	maxDeltaBytes = 4 << 20 // total size of the deltas that a node retains for others
	// reportWindow is the age after which a reader's report is ignored. A report
	// takes up to 6 s to reach all nodes of the other failure domains.
	reportWindow = 8 * time.Second
	startupPeers = 3 // number of members asked for their revision at the start
)

type (
	// FollowerOptions configure a Follower. Self, Members, Peers and Repository
	// are required; every other field has a default.
	FollowerOptions struct {
		Self Member
		// Members returns the live nodes, including this one. It is called often
		// and must be cheap.
		Members    func() []Member
		Peers      RPCClient
		Repository *Repository
		// Validate checks a document before it takes effect on this node. It is
		// called with increasing revisions, one call at a time. A document for
		// which it returns nil becomes the current one. A document for which it
		// returns an error is skipped, and the node's ConfirmedAt doesn't advance
		// until a newer document is accepted. A nil Validate accepts every
		// document.
		Validate func(document *Document) error
		// Applied returns the revision that is in force on this node. It is what
		// Receiver.Survey reports. With a nil Applied, a document is in force as soon
		// as it is accepted.
		Applied func() uint64

		// Readers is the number of nodes per failure domain that watch the store.
		Readers int
		// FanOut is the maximum number of children of a node in the tree.
		FanOut int
		// PullInterval is the time between two pulls from the parent.
		PullInterval time.Duration
		// CompareInterval is the time between two pulls from a random member.
		CompareInterval time.Duration
		// ConfirmInterval is the time between two reads of the head by a reader.
		ConfirmInterval time.Duration
		// KeepDeltas is the number of deltas retained for nodes that are behind.
		// A node that is further behind gets the full document. More deltas take
		// more memory, up to maxDeltaBytes.
		KeepDeltas int
		// JoinWait is how long a starting node tries to get the document from
		// other members before it reads the store, which may return an older
		// revision than this node had before a restart. A node that finds no
		// member with a document waits for the whole time.
		JoinWait time.Duration

		Logger  *slog.Logger
		Metrics *metrics.Set
	}

	// Follower keeps a node's copy of the document up to date.
	Follower struct {
		options   FollowerOptions
		ctx       context.Context
		started   time.Time
		document  atomic.Pointer[Document]
		ready     chan struct{}
		pullSlots chan struct{} // limits the concurrent pulls that pullIfNewer starts
		// The locks are taken in the order fetchLock, advanceMu, mu.
		fetchLock chan struct{} // a mutex, held while changes are read from the store; waiting for it ends with a context
		advanceMu sync.Mutex    // held while a document is validated and replaced

		fullDocuments, staleReads, rejectedDocuments *metrics.Counter

		mu               sync.Mutex
		deltas           []Delta // oldest first, without gaps, ending at the document's revision
		deltaBytes       int
		confirmedAt      time.Time
		reports          map[string]storeReport // by reader name
		rejectedRevision uint64
		subscribers      map[chan struct{}]struct{}
		parentOK         bool               // whether a pull from the parent has succeeded since the last tick
		stopReader       context.CancelFunc // nil while this node isn't a reader
	}

	// storeReport is a reader's last report on whether it can reach the store.
	storeReport struct {
		at time.Time
		ok bool
	}
)

// NewFollower starts a Follower, which runs until ctx ends.
func NewFollower(ctx context.Context, options FollowerOptions) (follower *Follower, err error) {
	if options, err = options.withDefaults(); err != nil {
		return nil, errors.Annotate(err, "follower")
	}
	f := &Follower{
		options: options, ctx: ctx, started: time.Now(),
		ready:             make(chan struct{}),
		pullSlots:         make(chan struct{}, 4),
		fetchLock:         make(chan struct{}, 1),
		fullDocuments:     options.Metrics.GetOrCreateCounter("guavagauge_distribution_whole_documents_total"),
		staleReads:        options.Metrics.GetOrCreateCounter("guavagauge_distribution_old_store_answers_total"),
		rejectedDocuments: options.Metrics.GetOrCreateCounter("guavagauge_distribution_rejected_documents_total"),
		reports:           make(map[string]storeReport),
		subscribers:       make(map[chan struct{}]struct{}),
	}
	f.document.Store(newDocument(0, nil))
	go func() {
		f.pullFromNewestPeer()
		go f.runPeriodically(f.options.CompareInterval, func() { f.pullRandom() })
		f.runPeriodically(f.options.PullInterval, f.tick)
	}()
	return f, nil
}

// Document returns the node's current document. It takes no lock. Until Ready is
// closed, the document may be older than one that this node had before a
// restart.
func (f *Follower) Document() *Document { return f.document.Load() }

// Ready returns a channel that is closed once the current document is confirmed
// to have been the newest at some time after the start. From then on the
// document is at least as new as any that this node had before a restart, unless
// the store returned an old revision and no member that was asked at the start
// had a newer one.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// ConfirmedAt returns the last time at which the store is known not to have held
// a newer document than the current one, as read by this node or by a reader. It
// is zero until Ready is closed.
func (f *Follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// ReaderHealth returns the number of readers, of any failure domain, from which
// this node has a recent report, and how many of them could not reach the store.
func (f *Follower) ReaderHealth() (readers, down int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.reports {
		if time.Since(r.at) <= reportWindow {
			readers++
			if !r.ok {
				down++
			}
		}
	}
	return readers, down
}

// Subscribe returns a channel that receives a value after each change of the
// current document, until ctx ends. Changes in quick succession may be combined
// into one value.
func (f *Follower) Subscribe(ctx context.Context) <-chan struct{} {
	changes := make(chan struct{}, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers[changes] = struct{}{}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, changes)
	})
	return changes
}

// advance validates a document and makes it the current one if it is newer. The
// deltas turn an earlier document into it, or are empty if there are none. It
// returns false if this document or a newer one was rejected. The children are
// notified of a rejected document as well; their pulls then return nothing new.
// The caller holds advanceMu.
func (f *Follower) advance(next *Document, deltas []Delta) (ok bool) {
	current := f.document.Load()
	f.mu.Lock()
	rejected := f.rejectedRevision
	f.mu.Unlock()
	if next.Revision <= current.Revision || next.Revision <= rejected {
		return next.Revision <= current.Revision
	}
	defer f.notifyChildren(next.Revision)
	if f.options.Validate != nil {
		if err := f.options.Validate(next); err != nil {
			f.rejectedDocuments.Inc()
			f.options.Logger.Error("document rejected", "Revision", next.Revision, "Error", err)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.rejectedRevision = next.Revision
			return false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.document.Store(next)
	f.retainDeltas(current.Revision, deltas)
	for changes := range f.subscribers {
		select {
		case changes <- struct{}{}:
		default: // the subscriber has not received the previous value yet
		}
	}
	return true
}

// retainDeltas appends the deltas that lead beyond the given revision to those
// retained for nodes that are behind, and drops the oldest ones beyond the
// limits. A delta may begin before that revision and so overlap the previous one.
// If there are no deltas, it drops the retained ones, since they don't lead to
// the current document. The caller holds mu.
func (f *Follower) retainDeltas(from uint64, deltas []Delta) {
	if len(deltas) == 0 {
		f.deltas, f.deltaBytes = nil, 0
		return
	}
	for _, delta := range deltas {
		if delta.To <= from {
			continue // a pull delivered this change while the store was read
		}
		f.deltas = append(f.deltas, delta)
		f.deltaBytes += delta.size()
	}
	for len(f.deltas) > f.options.KeepDeltas || (f.deltaBytes > maxDeltaBytes && len(f.deltas) > 0) {
		f.deltaBytes -= f.deltas[0].size()
		f.deltas = f.deltas[1:]
	}
}

// deltaSince merges the retained deltas after a revision into one. It returns
// false if they don't reach back that far. The caller holds mu.
func (f *Follower) deltaSince(revision uint64) (merged Delta, ok bool) {
	document := f.document.Load()
	merged = Delta{From: revision, To: document.Revision, Set: make(map[string][]byte)}
	first := len(f.deltas)
	for first > 0 && f.deltas[first-1].To > revision {
		first--
	}
	if first == len(f.deltas) || f.deltas[first].From > revision {
		return merged, false
	}
	deleted := make(map[string]bool)
	for _, delta := range f.deltas[first:] {
		for name, value := range delta.Set {
			merged.Set[name] = value
			delete(deleted, name)
		}
		for _, name := range delta.Deleted {
			delete(merged.Set, name)
			deleted[name] = true
		}
	}
	for name := range deleted {
		merged.Deleted = append(merged.Deleted, name)
	}
	return merged, true
}

func (d *Delta) size() (bytes int) {
	for name, value := range d.Set {
		bytes += len(name) + len(value)
	}
	for _, name := range d.Deleted {
		bytes += len(name)
	}
	return bytes
}

// confirm records that the given revision was the newest in the store at the
// given time. This also confirms a document of a newer revision.
func (f *Follower) confirm(revision uint64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Ignores confirmations from before the start: this node may have had a newer
	// document before a restart.
	if f.document.Load().Revision < revision || at.Before(f.started) || !at.After(f.confirmedAt) {
		return
	}
	if f.confirmedAt.IsZero() {
		close(f.ready)
	}
	f.confirmedAt = at
}

// recordReport records whether a reader could reach the store at the given time,
// and deletes expired reports.
func (f *Follower) recordReport(reader string, at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.reports[reader].at) {
		f.reports[reader] = storeReport{at, ok}
	}
	for name, r := range f.reports {
		if time.Since(r.at) > reportWindow {
			delete(f.reports, name)
		}
	}
}

// runPeriodically calls work until the Follower's context ends, at the given
// interval with a jitter of ±10 %. The first call comes after a random part of
// the interval.
func (f *Follower) runPeriodically(interval time.Duration, work func()) {
	timer := time.NewTimer(rand.N(interval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(interval*9/10 + rand.N(interval/5))
			work()
		case <-f.ctx.Done():
			return
		}
	}
}

// sleep waits for the duration. It returns false when ctx ends first.
func (f *Follower) sleep(ctx context.Context, duration time.Duration) (ok bool) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Follower) addressOf(name string) (address netip.AddrPort, ok bool) {
	for _, m := range f.options.Members() {
		if m.Name == name {
			return m.Address, true
		}
	}
	return address, false
}

func (o FollowerOptions) withDefaults() (FollowerOptions, error) {
	if o.Self.Name == "" || !o.Self.Address.IsValid() || o.Members == nil || o.Peers == nil || o.Repository == nil {
		return o, errors.New("options Self, Members, Peers and Repository are required")
	}
	for _, duration := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.PullInterval, defaultPullInterval},
		{&o.CompareInterval, defaultCompareInterval},
		{&o.ConfirmInterval, defaultConfirmInterval},
		{&o.JoinWait, defaultJoinWait},
	} {
		if *duration.field <= 0 {
			*duration.field = duration.value
		}
	}
	for _, count := range []struct {
		field *int
		value int
	}{{&o.Readers, defaultReaders}, {&o.FanOut, defaultFanOut}, {&o.KeepDeltas, defaultKeepDeltas}} {
		if *count.field <= 0 {
			*count.field = count.value
		}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o, nil
}
