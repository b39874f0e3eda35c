package distribution

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

const (
	retryPause     = 100 * time.Millisecond
	cleanupTimeout = 2 * time.Second
)

// plan is what a change writes.
type plan struct {
	head   head
	record Record
	keys   []string // of the chunks and the record
	values [][]byte
}

// Apply writes a new revision with the given entries, based on the revision that
// they were derived from. It fails with a ConflictError when another change
// came first. With store.ErrUnknownOutcome the change may be in force: that
// could not be read back before ctx ended. Entries without a difference make no
// new revision.
func (r *Repository) Apply(ctx context.Context, base uint64, entries map[string][]byte, change ChangeInfo) (revision uint64, err error) {
	defer errors.DeferredAnnotatef(&err, "change revision %d of %s", base, r.options.Prefix)
	h, version, err := r.head(ctx)
	if err != nil {
		return 0, err
	}
	switch {
	case h.Revision > base:
		return 0, &ConflictError{Base: base, Current: h.Revision}
	case h.Revision < base:
		return 0, errors.Annotatef(store.ErrUnavailable, "the store answers with revision %d, which is older", h.Revision)
	}
	old, err := r.load(ctx, h.Revision, h.Chunks)
	if err != nil {
		return 0, err
	}
	p, err := r.plan(h, old, entries, change)
	if err != nil || p == nil {
		return base, err
	}
	r.collect(ctx, h, p)
	for i, key := range p.keys {
		if err := r.putUnique(ctx, key, p.values[i]); err != nil {
			r.remove(ctx, p.keys)
			return 0, err
		}
	}
	if err = r.writes.Wait(ctx); err != nil {
		err = errors.Annotatef(store.ErrUnavailable, "write the head: %v", err)
	} else {
		err = r.commit(ctx, version, p)
	}
	if err != nil {
		if !errors.Is(err, store.ErrUnknownOutcome) {
			r.remove(ctx, p.keys)
		}
		return 0, err
	}
	return p.head.Revision, nil
}

// Rollback writes a new revision with the entries of an older one.
func (r *Repository) Rollback(ctx context.Context, base, to uint64, author string) (revision uint64, err error) {
	document, err := r.Read(ctx, to)
	if err != nil {
		return 0, err
	}
	return r.Apply(ctx, base, document.Entries, ChangeInfo{Author: author, Comment: fmt.Sprintf("rollback to revision %d", to)})
}

// plan returns the writes of a change, nil if nothing differs.
func (r *Repository) plan(h head, old *Document, entries map[string][]byte, change ChangeInfo) (p *plan, err error) {
	record := Record{
		Revision: h.Revision + 1, Time: time.Now().UTC(), Author: change.Author, Comment: change.Comment,
		Set: make(map[string][]byte), Token: fmt.Sprintf("%016x", rand.Uint64()), Previous: h.Token, Milestone: h.Milestone,
	}
	if h.Revision > 0 && h.Revision%milestone == 0 {
		record.Milestone = h.Token
	}
	size := 0
	for name, value := range entries {
		if was, ok := old.Entries[name]; !ok || !bytes.Equal(was, value) {
			record.Changed = append(record.Changed, name)
			record.Set[name] = value
			size += len(name) + len(value)
		}
	}
	for name := range old.Entries {
		if _, ok := entries[name]; !ok {
			record.Deleted = append(record.Deleted, name)
		}
	}
	if len(record.Changed)+len(record.Deleted) == 0 {
		return nil, nil
	}
	slices.Sort(record.Changed)
	slices.Sort(record.Deleted)
	p = &plan{}
	if err := r.planChunks(p, h, entries, &record); err != nil {
		return nil, err
	}
	if size > maxRecordBytes {
		record.Set, record.Truncated = nil, true
	}
	value, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	p.keys = append(p.keys, r.recordKey(record.Revision, record.Token))
	p.values = append(p.values, value)
	p.record = record
	p.head = head{
		Revision: record.Revision, Token: record.Token, Milestone: record.Milestone, Chunks: record.Chunks,
		Collected: h.Collected, CollectedRecords: h.CollectedRecords,
	}
	return p, nil
}

// planChunks adds the touched chunks to the plan. When one would exceed the
// limit, the number of chunks doubles and all are written.
func (r *Repository) planChunks(p *plan, h head, entries map[string][]byte, record *Record) (err error) {
	version := fmt.Sprintf("%020d-%s", record.Revision, record.Token)
	count := len(h.Chunks)
	if count == 0 {
		count = r.options.Chunks
	}
	for ; ; count *= 2 {
		p.keys, p.values = nil, nil
		record.Chunks, record.Replaced = make([]string, count), nil
		touched := make([]bool, count)
		if count == len(h.Chunks) {
			copy(record.Chunks, h.Chunks)
			for _, name := range slices.Concat(record.Changed, record.Deleted) {
				touched[chunkOf(name, count)] = true
			}
		} else {
			for i := range touched {
				touched[i] = true
			}
		}
		chunks := make([]map[string][]byte, count)
		for name, value := range entries {
			i := chunkOf(name, count)
			if chunks[i] == nil {
				chunks[i] = make(map[string][]byte)
			}
			chunks[i][name] = value
		}
		fits := true
		for i := range touched {
			if !touched[i] {
				continue
			}
			record.Chunks[i] = ""
			if len(chunks[i]) == 0 {
				continue // an empty chunk needs no key
			}
			value, err := json.Marshal(chunks[i])
			if err != nil {
				return err
			}
			if len(value) > maxChunkBytes {
				if len(chunks[i]) == 1 {
					name := slices.Collect(maps.Keys(chunks[i]))[0]
					return errors.Annotatef(store.ErrTooLarge, "entry %q of %d bytes", name, len(chunks[i][name]))
				}
				fits = false
				break
			}
			record.Chunks[i] = version
			p.keys = append(p.keys, r.chunkKey(i, version))
			p.values = append(p.values, value)
		}
		if !fits {
			continue
		}
		for i, was := range h.Chunks {
			if was != "" && (i >= count || record.Chunks[i] != was) {
				record.Replaced = append(record.Replaced, r.chunkKey(i, was))
			}
		}
		return nil
	}
}

func chunkOf(name string, count int) int { return int(xxhash.Sum64String(name) % uint64(count)) }

// commit writes the head, and finds out whether that took effect.
func (r *Repository) commit(ctx context.Context, version uint64, p *plan) (err error) {
	value, err := json.Marshal(p.head)
	if err != nil {
		return err
	}
	for unknown := false; ; {
		_, err := r.options.Client.Put(ctx, store.PutRequest{Key: r.headKey(), Value: value, IfVersion: version})
		switch store.Classify(err) {
		case store.OK:
			return nil
		case store.Conflict:
			// Either another change or our own earlier attempt came first. No
			// attempt of ours can take effect any more.
			return r.readBack(ctx, version, p, unknown)
		case store.NotApplied:
			if !unknown {
				return err
			}
		case store.UnknownOutcome:
			// The same write is repeated: at most one attempt takes effect,
			// even if the first one arrives last.
			unknown = true
		}
		if !pause(ctx) {
			return errors.WithType(err, store.ErrUnknownOutcome)
		}
	}
}

// readBack tells whether the plan's revision is in force, after the head has
// moved on from the given version. Without an attempt of unknown outcome it
// isn't, and only the revision to report is read.
func (r *Repository) readBack(ctx context.Context, version uint64, p *plan, unknown bool) (err error) {
	for {
		h, seen, err := r.head(ctx)
		switch {
		case err != nil || seen <= version: // an answer from before the conflict
		case h.Token == p.head.Token:
			return nil
		case h.Revision <= p.head.Revision:
			return &ConflictError{Base: p.head.Revision - 1, Current: h.Revision}
		default:
			var record Record
			if record, err = r.recordAt(ctx, h, p.head.Revision); err == nil {
				if record.Token == p.head.Token {
					return nil
				}
				return &ConflictError{Base: p.head.Revision - 1, Current: h.Revision}
			}
		}
		switch {
		case pause(ctx):
		case unknown:
			return errors.WithType(errors.Annotate(ctx.Err(), "read back"), store.ErrUnknownOutcome)
		default:
			return errors.Annotatef(store.ErrConflict, "another change came first; reading it: %v", ctx.Err())
		}
	}
}

// putUnique writes a key that no other change uses, so that repeating it is safe.
func (r *Repository) putUnique(ctx context.Context, key string, value []byte) (err error) {
	for {
		if err = r.writes.Wait(ctx); err != nil {
			return errors.Annotatef(store.ErrUnavailable, "%s: %v", key, err)
		}
		_, err = r.options.Client.Put(ctx, store.PutRequest{Key: key, Value: value, IfVersion: store.AnyVersion})
		if store.Classify(err) != store.UnknownOutcome {
			return errors.Annotate(err, key)
		}
		if !pause(ctx) {
			// Nothing refers to the key yet, so the change as a whole is certain
			// not to be in force. The cause must not say otherwise.
			return errors.Annotatef(store.ErrUnavailable, "%s: %v", key, err)
		}
	}
}

// collect deletes the chunks and records that have become too old, and notes in
// the plan how far it came. It handles 64 revisions at a time, since the records
// are linked downwards. Failures are made up for by later changes.
func (r *Repository) collect(ctx context.Context, h head, p *plan) {
	if r.collectBatch(ctx, h, h.Collected, r.options.KeepRevisions, func(record Record) []string { return record.Replaced }) {
		p.head.Collected += milestone
	}
	if r.collectBatch(ctx, h, h.CollectedRecords, r.options.KeepRecords, func(record Record) []string {
		return []string{r.recordKey(record.Revision, record.Token)}
	}) {
		p.head.CollectedRecords += milestone
	}
}

func (r *Repository) collectBatch(ctx context.Context, h head, done uint64, keep int, keys func(Record) []string) (ok bool) {
	last := done + milestone
	if last+uint64(keep) > h.Revision {
		return false
	}
	record, err := r.recordAt(ctx, h, last)
	for err == nil {
		previous, token := record.Revision-1, record.Previous
		if !r.remove(ctx, keys(record)) {
			return false
		}
		if previous == done {
			return true
		}
		record, err = r.record(ctx, previous, token)
	}
	return errors.Is(err, ErrNoRevision) // an earlier attempt deleted the rest
}

// remove deletes keys that nothing refers to any more.
func (r *Repository) remove(ctx context.Context, keys []string) (ok bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	ok = true
	for _, key := range keys {
		if r.writes.Wait(ctx) != nil {
			return false // a later change makes up for it
		}
		err := r.options.Client.Delete(ctx, key, store.AnyVersion)
		ok = ok && (err == nil || errors.Is(err, store.ErrNotFound))
	}
	return ok
}

// pause waits before a retry. It returns false when ctx ends first.
func pause(ctx context.Context) bool {
	select {
	case <-time.After(retryPause/2 + rand.N(retryPause)):
		return true
	case <-ctx.Done():
		return false
	}
}
