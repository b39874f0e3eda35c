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
	retryDelay = 100 * time.Millisecond // mean delay before a retry
	// cleanupTimeout is the timeout of one deleteKeys call, which may continue
	// after its caller's context has ended.
	cleanupTimeout = 2 * time.Second
)

// plan holds the writes of a change.
type plan struct {
	head   head
	record Record
	keys   []string // of the chunks and the record
	values [][]byte
}

// Apply replaces the document's entries and returns the new revision. base is
// the revision that the entries were derived from. If base is no longer the
// newest revision, Apply fails with a ConflictError. If base is newer than the
// revision in the store, Apply assumes a stale read and fails with
// store.ErrUnavailable. After store.ErrUnknownOutcome the change may have been
// applied: ctx ended before Apply could find out. If the entries are the same as
// those of base, Apply writes nothing and returns base.
//
// Once there are more revisions than are kept, about every 64th call takes
// longer, because it also deletes old chunks or records.
func (r *Repository) Apply(ctx context.Context, base uint64, entries map[string][]byte, change ChangeInfo) (revision uint64, err error) {
	defer errors.DeferredAnnotatef(&err, "apply change to revision %d of %s", base, r.options.Prefix)
	h, version, err := r.head(ctx)
	if err != nil {
		return 0, err
	}
	switch {
	case h.Revision > base:
		return 0, &ConflictError{Base: base, Current: h.Revision}
	case h.Revision < base:
		return 0, errors.Annotatef(store.ErrUnavailable, "the store returned revision %d, which is older", h.Revision)
	}
	old, err := r.load(ctx, h.Revision, h.Chunks)
	if err != nil {
		return 0, err
	}
	p, err := r.plan(h, old, entries, change)
	if err != nil || p == nil {
		return base, err
	}
	r.collectGarbage(ctx, h, p)
	for i, key := range p.keys {
		if err := r.putUnique(ctx, key, p.values[i]); err != nil {
			r.deleteKeys(ctx, p.keys)
			return 0, err
		}
	}
	if err = r.writeLimiter.Wait(ctx); err != nil {
		err = errors.Annotatef(store.ErrUnavailable, "wait to write the head: %v", err)
	} else {
		err = r.commit(ctx, version, p)
	}
	if err != nil {
		if !errors.Is(err, store.ErrUnknownOutcome) {
			r.deleteKeys(ctx, p.keys)
		}
		return 0, err
	}
	return p.head.Revision, nil
}

// Rollback makes a new revision with the entries of the older revision to. It
// fails like Apply, and with ErrNoRevision if the older revision has been
// deleted.
func (r *Repository) Rollback(ctx context.Context, base, to uint64, author string) (revision uint64, err error) {
	document, err := r.Read(ctx, to)
	if err != nil {
		return 0, err
	}
	return r.Apply(ctx, base, document.Entries, ChangeInfo{Author: author, Comment: fmt.Sprintf("rollback to revision %d", to)})
}

// plan returns the writes of a change, or nil if the entries are unchanged.
func (r *Repository) plan(h head, old *Document, entries map[string][]byte, change ChangeInfo) (p *plan, err error) {
	record := Record{
		Revision: h.Revision + 1, Time: time.Now().UTC(), Author: change.Author, Comment: change.Comment,
		Set: make(map[string][]byte), Token: fmt.Sprintf("%016x", rand.Uint64()), Previous: h.Token, Milestone: h.Milestone,
	}
	if h.Revision > 0 && h.Revision%milestoneInterval == 0 {
		record.Milestone = h.Token
	}
	size := 0
	for name, value := range entries {
		if oldValue, ok := old.Entries[name]; !ok || !bytes.Equal(oldValue, value) {
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

// planChunks adds the chunks that hold changed entries to the plan. If a chunk
// would exceed maxChunkBytes, it doubles the number of chunks and rewrites all
// of them.
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
				continue // an empty chunk has no key
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
		for i, oldVersion := range h.Chunks {
			if oldVersion != "" && (i >= count || record.Chunks[i] != oldVersion) {
				record.Replaced = append(record.Replaced, r.chunkKey(i, oldVersion))
			}
		}
		return nil
	}
}

func chunkOf(name string, count int) int { return int(xxhash.Sum64String(name) % uint64(count)) }

// commit writes the head by compare-and-swap and determines whether the write
// took effect.
func (r *Repository) commit(ctx context.Context, version uint64, p *plan) (err error) {
	value, err := json.Marshal(p.head)
	if err != nil {
		return err
	}
	for outcomeUnknown := false; ; {
		_, err := r.options.Client.Put(ctx, store.PutRequest{Key: r.headKey(), Value: value, IfVersion: version})
		switch store.Classify(err) {
		case store.OK:
			return nil
		case store.Conflict:
			// The head was written by another change or by an earlier attempt of
			// this one. No further attempt can take effect.
			return r.readBack(ctx, version, p, outcomeUnknown)
		case store.NotApplied:
			if !outcomeUnknown {
				return err
			}
			// An earlier attempt may have taken effect.
		case store.UnknownOutcome:
			// Retrying the same compare-and-swap is safe: at most one attempt
			// takes effect, even if the first one arrives last.
			outcomeUnknown = true
		}
		if !waitToRetry(ctx) {
			return errors.WithType(err, store.ErrUnknownOutcome)
		}
	}
}

// readBack determines whether the plan's change was applied, after a write of the
// head has failed because the head no longer has the given version. If no
// attempt had an unknown outcome, the change wasn't applied, and readBack only
// reads the current revision for the ConflictError.
func (r *Repository) readBack(ctx context.Context, version uint64, p *plan, outcomeUnknown bool) (err error) {
	for {
		h, seen, err := r.head(ctx)
		switch {
		case err != nil || seen <= version: // a failed or stale read
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
		case waitToRetry(ctx):
		case outcomeUnknown:
			return errors.WithType(errors.Annotate(ctx.Err(), "read back the head"), store.ErrUnknownOutcome)
		default:
			return errors.Annotatef(store.ErrConflict, "another change was applied first; cannot read its revision: %v", ctx.Err())
		}
	}
}

// putUnique writes a key that no other change writes, so that it can retry the
// write after an unknown outcome.
func (r *Repository) putUnique(ctx context.Context, key string, value []byte) (err error) {
	for {
		if err = r.writeLimiter.Wait(ctx); err != nil {
			return errors.Annotatef(store.ErrUnavailable, "%s: %v", key, err)
		}
		_, err = r.options.Client.Put(ctx, store.PutRequest{Key: key, Value: value, IfVersion: store.AnyVersion})
		if store.Classify(err) != store.UnknownOutcome {
			return errors.Annotate(err, key)
		}
		if !waitToRetry(ctx) {
			// The head doesn't refer to the key yet, so the change was certainly
			// not applied. The error contains err as text only, so that it
			// doesn't match store.ErrUnknownOutcome.
			return errors.Annotatef(store.ErrUnavailable, "%s: %v", key, err)
		}
	}
}

// collectGarbage deletes chunks and records that are older than KeepRevisions and
// KeepRecords, and stores in the plan's head up to which revision it did. It
// deletes in batches of milestoneInterval revisions, because each record links
// only to older ones. A batch is repeated with a later change if it failed or if
// the plan's head wasn't written.
func (r *Repository) collectGarbage(ctx context.Context, h head, p *plan) {
	if r.collectGarbageBatch(ctx, h, h.Collected, r.options.KeepRevisions, func(record Record) []string { return record.Replaced }) {
		p.head.Collected += milestoneInterval
	}
	if r.collectGarbageBatch(ctx, h, h.CollectedRecords, r.options.KeepRecords, func(record Record) []string {
		return []string{r.recordKey(record.Revision, record.Token)}
	}) {
		p.head.CollectedRecords += milestoneInterval
	}
}

// collectGarbageBatch deletes the keys of the next milestoneInterval revisions
// after collected. It returns false if they are not old enough yet or a call
// failed. It finds the records from the newest to the oldest and deletes the
// oldest first, so that after a failure the next attempt still finds all that are
// left. A record that doesn't exist was deleted by an earlier attempt, and so were
// the older ones.
func (r *Repository) collectGarbageBatch(ctx context.Context, h head, collected uint64, keep int, keys func(Record) []string) (ok bool) {
	last := collected + milestoneInterval
	if last+uint64(keep) > h.Revision {
		return false
	}
	var batch [][]string // the keys of each revision, the newest first
	record, err := r.recordAt(ctx, h, last)
	for err == nil {
		batch = append(batch, keys(record))
		if record.Revision-1 == collected {
			break
		}
		record, err = r.record(ctx, record.Revision-1, record.Previous)
	}
	if err != nil && !errors.Is(err, ErrNoRevision) {
		return false
	}
	for _, old := range slices.Backward(batch) {
		if !r.deleteKeys(ctx, old) {
			return false
		}
	}
	return true
}

// deleteKeys deletes keys that the document no longer needs. It returns false if
// a call failed.
func (r *Repository) deleteKeys(ctx context.Context, keys []string) (ok bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	ok = true
	for _, key := range keys {
		if r.writeLimiter.Wait(ctx) != nil {
			return false // garbage collection tries again with a later change
		}
		err := r.options.Client.Delete(ctx, key, store.AnyVersion)
		ok = ok && (err == nil || errors.Is(err, store.ErrNotFound))
	}
	return ok
}

// waitToRetry waits before a retry. It returns false when ctx ends first.
func waitToRetry(ctx context.Context) bool {
	select {
	case <-time.After(retryDelay/2 + rand.N(retryDelay)):
		return true
	case <-ctx.Done():
		return false
	}
}
