package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/store"
)

const (
	collectTimeout    = 5 * time.Second
	pollInterval      = 2 * time.Second // between attempts to close a window, doubled after each, and between attempts to send a report
	maxPollInterval   = time.Minute
	frozenWindowsKept = 48 // reported windows that stay in the store, for nodes that have yet to reconcile them
)

type (
	// ReporterOptions configures a Reporter. Zero durations mean the defaults.
	ReporterOptions struct {
		Shard    int
		Shards   int
		Members  func() []Member // live nodes, including this one
		Peers    peer.RPCClient
		Store    store.Client
		Platform provider.Client
		Logger   *slog.Logger
		Metrics  *metrics.Set
		Checker  *invariant.Checker
		Window   time.Duration // default 1 h; must be the same on all nodes
		// AllowedLateness is how long after the end of a window the reporter
		// waits for nodes that don't answer. The default is 2 h, because a
		// partition between regions can last an hour.
		AllowedLateness time.Duration
	}

	// Reporter closes and reports the windows of one shard of workspaces while it
	// holds the lease of the shard.
	Reporter struct{ options ReporterOptions }

	// Lease is the part of a lease that a reporter needs. Do calls send only
	// while the lease is held.
	Lease interface {
		Do(ctx context.Context, send func(ctx context.Context) error) (err error)
	}

	// FrozenWindow holds the final totals of a window. It is stored as JSON.
	FrozenWindow struct {
		Window  int64
		Figures map[string]Totals // by workspace
		// Complete lists the sources whose records are all included. Partial has
		// the included records of the other sources, which carry the rest of
		// their usage over into a later window.
		Complete []string
		Partial  map[string][]Record
	}

	// progress holds the start of the first window that isn't reported yet. It
	// is stored as JSON.
	progress struct{ Next int64 }

	// collection holds the records of a window that were collected from the nodes.
	collection struct {
		final    map[Source][]Record // of nodes that returned final records
		copies   map[Source]Copy     // of all other sources
		complete bool                // all live nodes answered, with final records
	}
)

// NewReporter returns a Reporter.
func NewReporter(options ReporterOptions) *Reporter {
	setDefault(&options.Window, time.Hour)
	setDefault(&options.AllowedLateness, 2*time.Hour)
	return &Reporter{options: options}
}

// LeaseKey returns the key of the lease under which the shard is reported.
func (r *Reporter) LeaseKey() string { return fmt.Sprintf("lease/usage/%d", r.options.Shard) }

// Report closes and reports one window after another until ctx ends, the lease is
// lost or a call fails. Only outages of the platform and lost responses are
// retried.
func (r *Reporter) Report(ctx context.Context, lease Lease) (err error) {
	defer errors.DeferredAnnotatef(&err, "report usage of shard %d", r.options.Shard)
	next, version, err := r.loadProgress(ctx)
	if err != nil {
		return err
	}
	for {
		frozen, err := r.freeze(ctx, next)
		if err != nil {
			return err
		}
		if err := r.sendReports(ctx, lease, frozen); err != nil {
			return err
		}
		next += int64(r.options.Window / time.Second)
		if version, err = r.saveProgress(ctx, next, version); err != nil {
			return err
		}
		r.deleteFrozen(ctx, next-frozenWindowsKept*int64(r.options.Window/time.Second))
	}
}

// freeze waits until a window can close and writes its totals to the store,
// unless another lease holder has already done so. It returns the stored totals.
func (r *Reporter) freeze(ctx context.Context, window int64) (frozen *FrozenWindow, err error) {
	key := frozenKey(r.options.Shard, window)
	end := time.Unix(window, 0).Add(r.options.Window)
	c := collection{final: make(map[Source][]Record)}
	for wait := time.Duration(0); ; wait = min(max(2*wait, pollInterval), maxPollInterval) {
		if frozen, err = readFrozen(ctx, r.options.Store, key); err == nil || !errors.Is(err, store.ErrNotFound) {
			return frozen, err
		}
		if !sleep(ctx, max(wait, time.Until(end))) {
			return nil, ctx.Err()
		}
		r.collect(ctx, window, &c)
		if !c.complete && time.Now().Before(end.Add(r.options.AllowedLateness)) {
			continue
		}
		value, err := json.Marshal(c.sum(window))
		if err != nil {
			return nil, err
		}
		_, err = r.options.Store.Put(ctx, store.PutRequest{Key: key, Value: value})
		if store.Classify(err) == store.NotApplied {
			return nil, err
		}
		// The write fails if the key exists. After any other outcome, the next
		// iteration reads the stored totals.
	}
}

// collect asks all live nodes for their own records, and then for their copies of
// sources whose final records weren't received, now or in an earlier attempt.
func (r *Reporter) collect(ctx context.Context, window int64, c *collection) {
	c.copies, c.complete = make(map[Source]Copy), true
	args := CollectArgs{Window: window, Shard: r.options.Shard, Shards: r.options.Shards}
	replicas := make(map[Source][]Member)
	for _, m := range r.options.Members() {
		reply, ok := r.collectFrom(ctx, m, args)
		if !ok || !reply.WatermarkPassed {
			c.complete = false
			continue
		}
		c.final[reply.Source] = reply.Records
		for _, source := range reply.AvailableCopies {
			replicas[source] = append(replicas[source], m)
		}
	}
	for source, members := range replicas {
		if _, ok := c.final[source]; ok {
			continue
		}
		args.RequestedCopies = []Source{source}
		for _, m := range members {
			reply, ok := r.collectFrom(ctx, m, args)
			if !ok {
				c.complete = false
				continue
			}
			for _, replicaCopy := range reply.Copies {
				c.copies[source] = mergeCopies(c.copies[source], replicaCopy)
			}
		}
	}
}

func (r *Reporter) collectFrom(ctx context.Context, m Member, args CollectArgs) (reply CollectReply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if err := r.options.Peers.Call(ctx, m.Address, "Usage.Collect", args, &reply); err != nil {
		r.options.Logger.Warn("usage not collected", "Member", m.Node, "Window", args.Window, "Error", err)
		return CollectReply{}, false
	}
	return reply, true
}

// sendReports sends the frozen totals to the platform. Retries after a lost
// response send the same totals.
func (r *Reporter) sendReports(ctx context.Context, lease Lease, frozen *FrozenWindow) (err error) {
	for workspace, totals := range frozen.Figures {
		report := provider.UsageReport{
			Workspace: workspace, Start: time.Unix(frozen.Window, 0).UTC(), Length: r.options.Window,
			Requests: totals.Requests, PromptTokens: totals.PromptTokens, CachedTokens: totals.CachedTokens,
			CompletionTokens: totals.CompletionTokens, Milliseconds: totals.Milliseconds,
		}
		for {
			err = lease.Do(ctx, func(ctx context.Context) error { return r.options.Platform.ReportUsage(ctx, report) })
			if err == nil {
				break
			}
			r.options.Checker.Check(!errors.Is(err, provider.ErrConflict), invariant.UsageOnce,
				"the platform has different totals for this usage window", "Workspace", workspace, "Window", frozen.Window)
			if !errors.Is(err, provider.ErrUnavailable) && !errors.Is(err, provider.ErrUnknownOutcome) {
				return err // the lease is lost, or a retry would fail as well
			}
			r.count("guavagauge_usage_reports_repeated_total")
			if !sleep(ctx, pollInterval) {
				return ctx.Err()
			}
		}
		r.count("guavagauge_usage_reports_total")
	}
	return nil
}

func (r *Reporter) loadProgress(ctx context.Context) (next int64, version uint64, err error) {
	entry, err := r.options.Store.Get(ctx, r.progressKey())
	if errors.Is(err, store.ErrNotFound) {
		// The progress is written before any window is closed, so that if the
		// first lease holder crashes, the next one doesn't skip its windows.
		next = r.firstWindow(ctx)
		version, err = r.saveProgress(ctx, next, 0)
		return next, version, err
	}
	if err != nil {
		return 0, 0, err
	}
	var p progress
	err = json.Unmarshal(entry.Value, &p)
	return p.Next, entry.Version, err
}

// firstWindow returns the oldest window that any node has records of. Nodes may
// have served requests for a while before the first reporter got its lease.
func (r *Reporter) firstWindow(ctx context.Context) (window int64) {
	window = windowStart(time.Now(), r.options.Window)
	for _, m := range r.options.Members() {
		args := CollectArgs{Shard: r.options.Shard, Shards: r.options.Shards} // no records, only Oldest
		if reply, ok := r.collectFrom(ctx, m, args); ok && reply.Oldest > 0 {
			window = min(window, reply.Oldest)
		}
	}
	return window
}

func (r *Reporter) saveProgress(ctx context.Context, next int64, version uint64) (saved uint64, err error) {
	value, err := json.Marshal(progress{Next: next})
	if err != nil {
		return 0, err
	}
	saved, err = r.options.Store.Put(ctx, store.PutRequest{Key: r.progressKey(), Value: value, IfVersion: version})
	return saved, errors.Annotate(err, "save reporter progress")
}

func (r *Reporter) deleteFrozen(ctx context.Context, window int64) {
	err := r.options.Store.Delete(ctx, frozenKey(r.options.Shard, window), store.AnyVersion)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		r.options.Logger.Warn("old usage window not deleted", "Window", window, "Error", err)
	}
}

func (r *Reporter) progressKey() string { return fmt.Sprintf("usage/progress/%d", r.options.Shard) }

func (r *Reporter) count(name string) {
	if r.options.Metrics != nil {
		r.options.Metrics.GetOrCreateCounter(name).Inc()
	}
}

// sum returns the totals of all collected records.
func (c *collection) sum(window int64) (frozen *FrozenWindow) {
	frozen = &FrozenWindow{Window: window, Figures: make(map[string]Totals), Partial: make(map[string][]Record)}
	add := func(records []Record) {
		for _, record := range records {
			frozen.Figures[record.Workspace] = frozen.Figures[record.Workspace].Plus(record.Totals)
		}
	}
	for source, records := range c.final {
		add(records)
		frozen.Complete = append(frozen.Complete, source.String())
	}
	for source, replicaCopy := range c.copies {
		add(replicaCopy.Records)
		if replicaCopy.Final {
			frozen.Complete = append(frozen.Complete, source.String())
		} else {
			frozen.Partial[source.String()] = replicaCopy.Records
		}
	}
	return frozen
}

// mergeCopies merges the copies that two replicas have of a source.
func mergeCopies(a, b Copy) (merged Copy) {
	latest := make(map[recordKey]Totals)
	for _, record := range append(a.Records, b.Records...) {
		key := recordKey{record.Window, record.Workspace}
		latest[key] = latest[key].newer(record.Totals)
	}
	merged = Copy{Source: b.Source, Final: a.Final || b.Final}
	for key, totals := range latest {
		merged.Records = append(merged.Records, Record{key.window, key.workspace, totals})
	}
	return merged
}

func readFrozen(ctx context.Context, client store.Client, key string) (frozen *FrozenWindow, err error) {
	entry, err := client.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	frozen = &FrozenWindow{}
	err = json.Unmarshal(entry.Value, frozen)
	return frozen, errors.Annotatef(err, "key %s", key)
}

func frozenKey(shard int, window int64) string {
	return fmt.Sprintf("usage/frozen/%d/%d", shard, window)
}
