package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/guavagauge/guavagauge/store"
)

const (
	defaultChunks        = 64
	defaultKeepRevisions = 256
	defaultKeepRecords   = 10000
	// maxChunkBytes limits the size of a chunk's JSON encoding and stays below
	// store.MaxValueBytes. JSON holds the values in base64, so an entry can't be
	// larger than about 675 KiB.
	maxChunkBytes = 900 << 10
	// maxRecordBytes limits the size of the entries in a record. Followers read
	// the chunks of a larger change instead.
	maxRecordBytes   = 128 << 10
	maxParallelReads = 8
	// maxStoreDeltas is the number of revisions that a reader may be behind and
	// still read their records. Reading the chunks takes about as many calls as
	// reading more records, or fewer if chunks are cached. Records are read one
	// after another, because each holds the next one's token; of the chunks,
	// maxParallelReads are read at a time. But after reading the chunks, the reader
	// has no deltas for other nodes, which then pull the full document.
	maxStoreDeltas = 32
	// milestoneInterval is the distance between milestones, the revisions
	// divisible by it. Each record links to the last milestone before it, so that
	// an old record is found in few reads.
	milestoneInterval = 64
	// defaultWritesPerSecond, with a burst of three quarters of it, allows at most
	// 40+30 writes of one process in a second. This is below the system's share of
	// the store: a quarter of 300 writes per second, 75, of which leases and usage
	// need a few.
	defaultWritesPerSecond = 40
)

type (
	// RepositoryOptions configure a Repository. Client and Prefix are required;
	// every other field has a default.
	RepositoryOptions struct {
		Client store.Client
		// Prefix is the prefix of all keys of the document.
		Prefix string
		// Chunks is the number of chunks of a new document, 64 by default. It
		// doubles when a chunk would become too large. With more chunks, a change
		// writes less, but reading the whole document takes more calls, and each
		// record and the head list more chunk versions.
		Chunks int
		// KeepRevisions is the minimum number of newest revisions that Read can
		// return and Rollback can restore, 256 by default. For each, the store holds
		// the chunks that later revisions have replaced.
		KeepRevisions int
		// KeepRecords is the minimum number of newest revisions that History can
		// return, 10,000 by default and at least KeepRevisions. Each takes one key
		// in the store.
		KeepRecords int
		// WritesPerSecond limits the rate of writes to the store, 40 by default.
		WritesPerSecond int
	}

	// Repository reads and changes the document in the store. It is safe for
	// concurrent use.
	Repository struct {
		options      RepositoryOptions
		writeLimiter *rate.Limiter

		mu         sync.Mutex
		chunkCache map[string]map[string][]byte // the chunks of the document loaded last, by key
	}

	// Record is the history entry of one revision: the names of the entries that
	// it changed and deleted, by whom and when.
	Record struct {
		Revision uint64
		Time     time.Time
		Author   string
		Comment  string
		Changed  []string
		Deleted  []string
		// Set holds the changed entries. It is nil if Truncated, which means that
		// they are too large for a record.
		Set       map[string][]byte
		Truncated bool

		Token     string   // random; identifies the change that made this revision
		Previous  string   // token of the previous revision
		Milestone string   // token of the last revision before this one that is divisible by 64
		Chunks    []string // version of each chunk
		Replaced  []string // keys of the chunk versions that this revision replaced
	}

	// head is the value of the head key: the current revision and where its
	// record and chunks are stored.
	head struct {
		Revision  uint64
		Token     string
		Milestone string // as in the record of this revision
		Chunks    []string
		// Collected and CollectedRecords are the revisions up to which garbage
		// collection has deleted replaced chunks and records. They are multiples
		// of milestoneInterval.
		Collected        uint64
		CollectedRecords uint64
	}
)

// NewRepository returns the Repository of the document under options.Prefix. It
// makes no call to the store.
func NewRepository(options RepositoryOptions) (repository *Repository, err error) {
	if options.Client == nil || options.Prefix == "" {
		return nil, errors.New("repository options Client and Prefix are required")
	}
	if options.Chunks <= 0 {
		options.Chunks = defaultChunks
	}
	if options.KeepRevisions <= 0 {
		options.KeepRevisions = defaultKeepRevisions
	}
	if options.KeepRecords <= 0 {
		options.KeepRecords = defaultKeepRecords
	}
	if options.WritesPerSecond <= 0 {
		options.WritesPerSecond = defaultWritesPerSecond
	}
	options.KeepRecords = max(options.KeepRecords, options.KeepRevisions)
	return &Repository{
		options:      options,
		writeLimiter: rate.NewLimiter(rate.Limit(options.WritesPerSecond), (3*options.WritesPerSecond+3)/4),
		chunkCache:   make(map[string]map[string][]byte),
	}, nil
}

// Latest reads the newest revision. A document that was never written has
// revision 0 and no entries.
func (r *Repository) Latest(ctx context.Context) (document *Document, err error) {
	defer errors.DeferredAnnotatef(&err, "read %s", r.options.Prefix)
	h, _, err := r.head(ctx)
	if err != nil {
		return nil, err
	}
	return r.load(ctx, h.Revision, h.Chunks)
}

// Read reads a revision. It fails with ErrNoRevision if the revision doesn't
// exist or has been deleted because it is too old.
func (r *Repository) Read(ctx context.Context, revision uint64) (document *Document, err error) {
	defer errors.DeferredAnnotatef(&err, "read revision %d of %s", revision, r.options.Prefix)
	h, _, err := r.head(ctx)
	if err != nil {
		return nil, err
	}
	record, err := r.recordAt(ctx, h, revision)
	if err != nil {
		return nil, err
	}
	document, err = r.load(ctx, revision, record.Chunks)
	if errors.Is(err, store.ErrNotFound) {
		return nil, errors.WithType(err, ErrNoRevision)
	}
	return document, err
}

// History returns up to limit records, newest first, from the given revision
// down. Revision 0 means the newest.
func (r *Repository) History(ctx context.Context, revision uint64, limit int) (records []Record, err error) {
	defer errors.DeferredAnnotatef(&err, "read the history of %s", r.options.Prefix)
	h, _, err := r.head(ctx)
	if err != nil || h.Revision == 0 {
		return nil, err
	}
	if revision == 0 {
		revision = h.Revision
	}
	record, err := r.recordAt(ctx, h, revision)
	for err == nil && len(records) < limit {
		records = append(records, record)
		if record.Revision == 1 {
			break
		}
		record, err = r.record(ctx, record.Revision-1, record.Previous)
	}
	if errors.Is(err, ErrNoRevision) && len(records) > 0 {
		err = nil // older records have been deleted
	}
	return records, err
}

func (r *Repository) headKey() string { return r.options.Prefix + "head" }

func (r *Repository) recordKey(revision uint64, token string) string {
	return fmt.Sprintf("%srecord/%020d-%s", r.options.Prefix, revision, token)
}

func (r *Repository) chunkKey(chunk int, version string) string {
	return fmt.Sprintf("%schunk/%05d/%s", r.options.Prefix, chunk, version)
}

// head reads the head and the version of its key, which is 0 if the document was
// never written.
func (r *Repository) head(ctx context.Context) (h head, version uint64, err error) {
	entry, err := r.options.Client.Get(ctx, r.headKey())
	if errors.Is(err, store.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	err = json.Unmarshal(entry.Value, &h)
	return h, entry.Version, errors.Annotate(err, r.headKey())
}

func (r *Repository) record(ctx context.Context, revision uint64, token string) (record Record, err error) {
	key := r.recordKey(revision, token)
	entry, err := r.options.Client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return record, errors.WithType(err, ErrNoRevision)
	}
	if err != nil {
		return record, err
	}
	err = json.Unmarshal(entry.Value, &record)
	return record, errors.Annotate(err, key)
}

// recordAt finds the record of a revision by following the records' links from
// the head.
func (r *Repository) recordAt(ctx context.Context, h head, revision uint64) (record Record, err error) {
	if revision == 0 || revision > h.Revision {
		return record, errors.Annotatef(ErrNoRevision, "the newest revision is %d", h.Revision)
	}
	record, err = r.record(ctx, h.Revision, h.Token)
	for err == nil && record.Revision > revision {
		next, token := record.Revision-1, record.Previous
		if last := lastMilestone(record.Revision); last >= revision {
			next, token = last, record.Milestone
		}
		record, err = r.record(ctx, next, token)
	}
	return record, err
}

// lastMilestone returns the last milestone before the given revision, or 0.
func lastMilestone(revision uint64) uint64 {
	return (revision - 1) / milestoneInterval * milestoneInterval
}

// load reads all chunks of a revision. It caches them, so that the next call
// reads only those that have changed.
func (r *Repository) load(ctx context.Context, revision uint64, versions []string) (document *Document, err error) {
	loaded := make([]map[string][]byte, len(versions))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, version := range versions {
		key := r.chunkKey(i, version)
		r.mu.Lock()
		loaded[i] = r.chunkCache[key]
		r.mu.Unlock()
		if loaded[i] != nil || version == "" {
			continue
		}
		group.Go(func() error {
			entry, err := r.options.Client.Get(groupCtx, key)
			if err != nil {
				return errors.Annotate(err, key)
			}
			return errors.Annotate(json.Unmarshal(entry.Value, &loaded[i]), key)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	entries := make(map[string][]byte)
	cached := make(map[string]map[string][]byte, len(versions))
	for i, chunk := range loaded {
		maps.Copy(entries, chunk)
		cached[r.chunkKey(i, versions[i])] = chunk
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunkCache = cached
	return newDocument(revision, entries), nil
}

// changesSince returns the document of the head's revision, along with the deltas
// that turn the given document into it. If the given document is too far behind
// or a record is truncated, it loads the full document and returns no deltas.
func (r *Repository) changesSince(ctx context.Context, h head, document *Document) (next *Document, deltas []Delta, err error) {
	if document.Revision == 0 || h.Revision-document.Revision > maxStoreDeltas {
		next, err = r.load(ctx, h.Revision, h.Chunks)
		return next, nil, err
	}
	token := h.Token
	for revision := h.Revision; revision > document.Revision; revision-- {
		record, err := r.record(ctx, revision, token)
		if err != nil {
			return nil, nil, err
		}
		if record.Truncated {
			next, err = r.load(ctx, h.Revision, h.Chunks)
			return next, nil, err
		}
		deltas = append(deltas, Delta{From: revision - 1, To: revision, Set: record.Set, Deleted: record.Deleted})
		token = record.Previous
	}
	slices.Reverse(deltas)
	next = document
	for _, delta := range deltas {
		next = next.apply(delta)
	}
	return next, deltas, nil
}
