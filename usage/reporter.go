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
	collectTimeout = 5 * time.Second
	pollPeriod     = 2 * time.Second // between tries to close a window, at first
	pollLimit      = time.Minute     // and while nodes don't answer
	keepFrozen     = 48              // windows that stay in the store after their report
)

type (
	// ReporterOptions of a Reporter. Zero durations take defaults.
	ReporterOptions struct {
		Shard    int
		Shards   int
		Members  func() []Member // live nodes, this one among them
		Peers    peer.RPCClient
		Store    store.Client
		Platform provider.Client
		Logger   *slog.Logger
		Metrics  *metrics.Set
		Checker  *invariant.Checker
		Window   time.Duration // default 1 h; the same on all nodes
		// AllowedLateness is how long after its end a window waits for nodes
		// that don't answer. Default 2 h, since regions part for an hour.
		AllowedLateness time.Duration
	}

	// Reporter closes and reports the windows of one shard of workspaces, while
	// it holds the shard's lease.
	Reporter struct{ options ReporterOptions }

	// Lease is the part of a lease that a reporter needs. Do refuses to send
	// without it.
	Lease interface {
		Do(ctx context.Context, send func(ctx context.Context) error) (err error)
	}

	// FrozenWindow is a window's final figures, as the store keeps them.
	FrozenWindow struct {
		Window  int64
		Figures map[string]Totals // by workspace
		// Complete lists the sources whose figures are all in. Partial has what
		// was taken of the others, which carry the rest into a later window.
		Complete []string
		Partial  map[string][]Record
	}

	// progress is the start of the first window that isn't reported yet.
	progress struct{ Next int64 }

	// collection is what the nodes have of a window.
	collection struct {
		final  map[Source][]Record // of live nodes whose figures are final
		copies map[Source]Copy     // of all other sources
		all    bool                // each live node has answered with final figures
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

// Report reports windows until ctx ends or the authority is lost.
func (r *Reporter) Report(ctx context.Context, authority Lease) (err error) {
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
		if err := r.send(ctx, authority, frozen); err != nil {
			return err
		}
		next += int64(r.options.Window / time.Second)
		if version, err = r.saveProgress(ctx, next, version); err != nil {
			return err
		}
		r.discard(ctx, next-keepFrozen*int64(r.options.Window/time.Second))
	}
}

// freeze waits until a window may close and writes its figures, unless a former
// holder has. What is in the store counts.
func (r *Reporter) freeze(ctx context.Context, window int64) (frozen *FrozenWindow, err error) {
	key := frozenKey(r.options.Shard, window)
	end := time.Unix(window, 0).Add(r.options.Window)
	c := collection{final: make(map[Source][]Record)}
	for wait := time.Duration(0); ; wait = min(max(2*wait, pollPeriod), pollLimit) {
		if frozen, err = readFrozen(ctx, r.options.Store, key); err == nil || !errors.Is(err, store.ErrNotFound) {
			return frozen, err
		}
		if !pause(ctx, max(wait, time.Until(end))) {
			return nil, ctx.Err()
		}
		r.collect(ctx, window, &c)
		if !c.all && time.Now().Before(end.Add(r.options.AllowedLateness)) {
			continue
		}
		value, err := json.Marshal(c.freeze(window))
		if err != nil {
			return nil, err
		}
		_, err = r.options.Store.Put(ctx, store.PutRequest{Key: key, Value: value})
		if store.Classify(err) == store.NotApplied {
			return nil, err
		}
		// After any other outcome the next turn reads what is in force.
	}
}

// collect asks all live nodes for their own figures, and then for their copies
// of the sources that didn't answer. Figures that are final aren't asked for
// again.
func (r *Reporter) collect(ctx context.Context, window int64, c *collection) {
	c.copies, c.all = make(map[Source]Copy), true
	args := CollectArgs{Window: window, Shard: r.options.Shard, Shards: r.options.Shards}
	holders := make(map[Source][]Member)
	for _, m := range r.options.Members() {
		reply, ok := r.ask(ctx, m, args)
		if !ok || !reply.WatermarkPassed {
			c.all = false
			continue
		}
		c.final[reply.Source] = reply.Records
		for _, source := range reply.AvailableCopies {
			holders[source] = append(holders[source], m)
		}
	}
	for source, from := range holders {
		if _, ok := c.final[source]; ok {
			continue
		}
		args.RequestedCopies = []Source{source}
		for _, m := range from {
			reply, ok := r.ask(ctx, m, args)
			if !ok {
				c.all = false
				continue
			}
			for _, held := range reply.Copies {
				c.copies[source] = merge(c.copies[source], held)
			}
		}
	}
}

func (r *Reporter) ask(ctx context.Context, m Member, args CollectArgs) (reply CollectReply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if err := r.options.Peers.Call(ctx, m.Address, "Usage.Collect", args, &reply); err != nil {
		r.options.Logger.Warn("usage not collected", "Member", m.Node, "Window", args.Window, "Error", err)
		return CollectReply{}, false
	}
	return reply, true
}

// send reports the frozen figures. Repeats after a lost answer send the same.
func (r *Reporter) send(ctx context.Context, authority Lease, frozen *FrozenWindow) (err error) {
	for workspace, totals := range frozen.Figures {
		report := provider.UsageReport{
			Workspace: workspace, Start: time.Unix(frozen.Window, 0).UTC(), Length: r.options.Window,
			Requests: totals.Requests, PromptTokens: totals.PromptTokens, CachedTokens: totals.CachedTokens,
			CompletionTokens: totals.CompletionTokens, Milliseconds: totals.Milliseconds,
		}
		for {
			err = authority.Do(ctx, func(ctx context.Context) error { return r.options.Platform.ReportUsage(ctx, report) })
			if err == nil {
				break
			}
			r.options.Checker.Check(!errors.Is(err, provider.ErrConflict), invariant.UsageOnce,
				"the platform has other figures for a window", "Workspace", workspace, "Window", frozen.Window)
			if !errors.Is(err, provider.ErrUnavailable) && !errors.Is(err, provider.ErrUnknownOutcome) {
				return err // the authority is lost, or a repeat can't help
			}
			r.count("guavagauge_usage_reports_repeated_total")
			if !pause(ctx, pollPeriod) {
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
		// Written before anything else, so that the windows of a first holder
		// that is killed aren't skipped by the next.
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

// firstWindow is the oldest that any node has figures of. Nodes may have served
// for a while before a first reporter could take its lease.
func (r *Reporter) firstWindow(ctx context.Context) (window int64) {
	window = windowStart(time.Now(), r.options.Window)
	for _, m := range r.options.Members() {
		args := CollectArgs{Shard: r.options.Shard, Shards: r.options.Shards}
		if reply, ok := r.ask(ctx, m, args); ok && reply.Oldest > 0 {
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
	return saved, errors.Annotate(err, "save progress")
}

func (r *Reporter) discard(ctx context.Context, window int64) {
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

// freeze adds up the figures.
func (c *collection) freeze(window int64) (frozen *FrozenWindow) {
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
	for source, held := range c.copies {
		add(held.Records)
		if held.Final {
			frozen.Complete = append(frozen.Complete, source.String())
		} else {
			frozen.Partial[source.String()] = held.Records
		}
	}
	return frozen
}

// merge joins two witnesses' copies of a source.
func merge(a, b Copy) (merged Copy) {
	cells := make(map[cellKey]Totals)
	for _, record := range append(a.Records, b.Records...) {
		key := cellKey{record.Window, record.Workspace}
		cells[key] = cells[key].newer(record.Totals)
	}
	merged = Copy{Source: b.Source, Final: a.Final || b.Final}
	for key, totals := range cells {
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
