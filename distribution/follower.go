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

// Defaults of FollowerOptions.
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
	maxDeltaBytes = 4 << 20 // of the deltas that a node keeps for others
	// reportWindow is the age from which reports of readers don't count. They
	// take up to 6 s to reach all nodes of the other domains.
	reportWindow = 8 * time.Second
	firstPeers   = 3 // asked for their revision at the start
)

type (
	// FollowerOptions connect a Follower. Self, Members, Peers and Repository
	// are required; every other field has a default.
	FollowerOptions struct {
		Self Member
		// Members returns the live nodes, this one included. It is called often
		// and has to be cheap.
		Members    func() []Member
		Peers      RPCClient
		Repository *Repository
		// Validate validates a document before it takes effect on this node. A
		// document that it rejects is skipped, and the node's ConfirmedAt
		// stands still until it accepts a newer one.
		Validate func(document *Document) error

		// Readers is the number of nodes per failure domain that watch the store.
		Readers int
		// FanOut is the number of children of a node in the tree.
		FanOut int
		// PullInterval is the time between two calls to the parent.
		PullInterval time.Duration
		// CompareInterval is the time between two calls to a random member.
		CompareInterval time.Duration
		// ConfirmInterval is the time between two reads of the head by a reader.
		ConfirmInterval time.Duration
		// KeepDeltas is the number of changes kept for nodes that are behind.
		KeepDeltas int
		// JoinWait is how long a starting node waits for other members before
		// it relies on the store alone.
		JoinWait time.Duration

		Logger  *slog.Logger
		Metrics *metrics.Set
	}

	// Follower holds the newest document that this node has seen.
	Follower struct {
		options   FollowerOptions
		ctx       context.Context
		started   time.Time
		document  atomic.Pointer[Document]
		ready     chan struct{}
		pulls     chan struct{} // bounds the pulls that notices set off
		fetching  chan struct{} // full while changes are read from the store
		advancing sync.Mutex    // held while a document is checked and replaced

		whole, stale, rejects *metrics.Counter

		mu          sync.Mutex
		deltas      []Delta // oldest first, without gaps, up to the document's revision
		deltaBytes  int
		confirmed   time.Time
		reports     map[string]report
		rejected    uint64
		subscribers map[chan struct{}]struct{}
		parentOK    bool
		readerStop  context.CancelFunc // nil while this node isn't a reader
	}

	// report is what a reader last said about the store.
	report struct {
		at time.Time
		ok bool
	}
)

// NewFollower starts to follow the document until ctx ends.
func NewFollower(ctx context.Context, options FollowerOptions) (follower *Follower, err error) {
	if options, err = options.filled(); err != nil {
		return nil, errors.Annotate(err, "follower")
	}
	f := &Follower{
		options: options, ctx: ctx, started: time.Now(),
		ready:       make(chan struct{}),
		pulls:       make(chan struct{}, 4),
		fetching:    make(chan struct{}, 1),
		whole:       options.Metrics.GetOrCreateCounter("guavagauge_distribution_whole_documents_total"),
		stale:       options.Metrics.GetOrCreateCounter("guavagauge_distribution_old_store_answers_total"),
		rejects:     options.Metrics.GetOrCreateCounter("guavagauge_distribution_rejected_documents_total"),
		reports:     make(map[string]report),
		subscribers: make(map[chan struct{}]struct{}),
	}
	f.document.Store(newDocument(0, nil))
	go func() {
		f.askPeers()
		go f.every(f.options.CompareInterval, func() { f.pullRandom() })
		f.every(f.options.PullInterval, f.tick)
	}()
	return f, nil
}

// Document returns the document in force. It takes no lock. Before Ready it may
// be older than one that this node had before a restart.
func (f *Follower) Document() *Document { return f.document.Load() }

// Ready is closed once the document in force was confirmed for the first time,
// as of a moment after the start. From then on the document is at least as new
// as any that this node had before a restart.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// ConfirmedAt returns a time at which the document in force was the newest in
// the store, as read by this node or by a reader. It is zero before Ready.
func (f *Follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// ReaderHealth returns how many readers were heard of in the last seconds, and
// how many of them could not reach the store.
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

// Subscribe returns a channel that receives after a new document has taken
// effect, until ctx ends. Changes in quick succession may be received as one.
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

// advance puts a document in force if it is newer than the current one. The
// deltas lead to it from an earlier document, or are empty. The caller holds
// advancing.
func (f *Follower) advance(next *Document, deltas []Delta) (ok bool) {
	current := f.document.Load()
	f.mu.Lock()
	rejected := f.rejected
	f.mu.Unlock()
	if next.Revision <= current.Revision || next.Revision <= rejected {
		return next.Revision <= current.Revision
	}
	defer f.notifyChildren(next.Revision)
	if f.options.Validate != nil {
		if err := f.options.Validate(next); err != nil {
			f.rejects.Inc()
			f.options.Logger.Error("document rejected", "Revision", next.Revision, "Error", err)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.rejected = next.Revision
			return false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.document.Store(next)
	f.keep(current.Revision, deltas)
	for changes := range f.subscribers {
		select {
		case changes <- struct{}{}:
		default: // the last notice was not yet received
		}
	}
	return true
}

// keep adds the deltas that lead on from a revision, for nodes that are behind.
// The caller holds mu.
func (f *Follower) keep(from uint64, deltas []Delta) {
	if len(deltas) == 0 {
		f.deltas, f.deltaBytes = nil, 0
		return
	}
	for _, delta := range deltas {
		if delta.To <= from {
			continue // read before a peer's answer was faster
		}
		f.deltas = append(f.deltas, delta)
		f.deltaBytes += delta.size()
	}
	for len(f.deltas) > f.options.KeepDeltas || (f.deltaBytes > maxDeltaBytes && len(f.deltas) > 0) {
		f.deltaBytes -= f.deltas[0].size()
		f.deltas = f.deltas[1:]
	}
}

// deltaSince merges the changes since a revision. The caller holds mu.
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

// confirm notes that the given revision was the newest at a time.
func (f *Follower) confirm(revision uint64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A confirmation from before the start says nothing about what this node had
	// before a restart.
	if f.document.Load().Revision < revision || at.Before(f.started) || !at.After(f.confirmed) {
		return
	}
	if f.confirmed.IsZero() {
		close(f.ready)
	}
	f.confirmed = at
}

// note takes in what a reader said about the store.
func (f *Follower) note(reader string, at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.reports[reader].at) {
		f.reports[reader] = report{at, ok}
	}
	for name, r := range f.reports {
		if time.Since(r.at) > reportWindow {
			delete(f.reports, name)
		}
	}
}

// every runs work at intervals that differ by a tenth, from a random point of
// the first interval on.
func (f *Follower) every(interval time.Duration, work func()) {
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

func (o FollowerOptions) filled() (FollowerOptions, error) {
	if o.Self.Name == "" || !o.Self.Address.IsValid() || o.Members == nil || o.Peers == nil || o.Repository == nil {
		return o, errors.New("Self, Members, Caller and Repository are required")
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
