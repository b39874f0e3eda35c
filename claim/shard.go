package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

const (
	makeClaim operationKind = iota + 1
	finishClaim
	withdrawClaim
)

// The stages of an operation.
const (
	queued    stage = iota
	writing         // applied to a document that is being written
	completed       // the result is set
	canceled        // its caller has stopped waiting
)

const errStaleRead = errors.ConstError("store returned a stale claim document")

type (
	operationKind uint8

	stage uint8

	// operation is a change to the document of a shard.
	operation struct {
		kind      operationKind
		hash      keyHash
		token     uint64
		retention time.Duration
		record    []byte
		done      chan struct{} // closed when the operation is completed

		mu     sync.Mutex
		stage  stage
		result Result
		err    error
	}

	// shard batches the operations on one document. A goroutine commits them
	// while any are queued. doc and the fields below it are accessed only by that
	// goroutine or, while it isn't running, with mu held.
	shard struct {
		claims *Claims
		key    string

		mu       sync.Mutex
		queue    []*operation
		running  bool
		storeErr error // last error of the store, while the goroutine retries a batch

		doc           *document // as stored at version; nil if not loaded
		version       uint64
		minVersion    uint64        // a read that returns a lower version is stale
		loadedAt      time.Time     // when doc was read; only the monotonic time is used
		confirmedAt   time.Time     // when doc was last known to be current
		elapsedAtLoad time.Duration // the document's own time at loadedAt
		lastWrite     time.Time
	}
)

// do queues an operation and waits until it is completed or ctx ends. A Finish or
// Withdraw whose ctx has ended is still queued and committed in the background.
func (s *shard) do(ctx context.Context, op *operation) (result Result, err error) {
	if err := ctx.Err(); err != nil && op.kind == makeClaim {
		return nil, errors.WithType(err, ErrNotApplied)
	}
	if err := s.enqueue(op); err != nil {
		return nil, err
	}
	select {
	case <-op.done:
		return op.result, op.err
	case <-ctx.Done():
		return op.cancel(ctx.Err())
	}
}

func (s *shard) enqueue(op *operation) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.claims.ctx.Err() != nil && op.kind == makeClaim:
		return errors.WithType(s.claims.ctx.Err(), ErrNotApplied)
	case s.claims.ctx.Err() != nil:
		return errors.WithType(s.claims.ctx.Err(), ErrUnknownOutcome)
	case s.storeErr != nil && op.kind == makeClaim:
		return errors.WithType(s.storeErr, ErrNotApplied)
	}
	s.queue = append(s.queue, op)
	if !s.running {
		s.running = true
		go func() {
			for s.commitQueued() {
			}
		}()
	}
	return nil
}

// commitQueued commits the queued operations and reports whether more have been
// queued meanwhile.
func (s *shard) commitQueued() (more bool) {
	options := s.claims.options
	s.sleep(max(options.BatchDelay, options.WriteInterval-time.Since(s.lastWrite)))
	s.mu.Lock()
	batch := s.queue
	s.queue = nil
	if len(batch) == 0 {
		s.running = false
		s.mu.Unlock()
		return false
	}
	s.mu.Unlock()
	s.commit(batch)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeErr = nil
	if len(s.queue) == 0 {
		s.running = false
		s.claims.evictIdle()
	}
	return s.running
}

// evictIdle drops the documents of idle shards from memory, in random order,
// until they take at most MaxCachedBytes. The caller holds the mu of one shard,
// whose document is not dropped.
func (c *Claims) evictIdle() {
	if c.cachedBytes.Load() <= int64(c.options.MaxCachedBytes) {
		return
	}
	for _, i := range rand.Perm(len(c.shards)) {
		s := c.shards[i]
		if !s.mu.TryLock() {
			continue
		}
		if !s.running {
			s.setDocument(nil, 0)
		}
		s.mu.Unlock()
		if c.cachedBytes.Load() <= int64(c.options.MaxCachedBytes) {
			return
		}
	}
}

// commit completes the operations of a batch. After a write with an unknown
// outcome, it retries on the same version until the outcome is known: either the
// new write succeeds, so that the earlier one can't be applied any more, or a
// newer document is read, which shows whether the earlier one was applied. After
// a conflict it reads the document again and retries without a wait.
func (s *shard) commit(batch []*operation) {
	unknown := false
	backoff := initialBackoff
	for {
		err := s.claims.ctx.Err()
		if err != nil {
			s.failAll(batch, err)
			return
		}
		var putSent bool
		putSent, err = s.tryCommit(batch, unknown)
		switch {
		case err == nil:
			return
		case store.Classify(err) == store.Conflict:
			s.minVersion = s.version + 1
			s.setDocument(nil, 0)
			// unknown stays set: the earlier write may be the one that is now read.
			continue
		case putSent && store.Classify(err) == store.UnknownOutcome:
			unknown = true
		}
		s.claims.options.Logger.Warn("claim operations not committed", "Shard", s.key, "Operations", len(batch), "Unknown", unknown, "Err", err)
		if !unknown {
			batch = s.failClaims(batch, err)
		}
		s.failQueuedClaims(err)
		if len(batch) == 0 {
			return
		}
		s.sleep(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// tryCommit applies a batch to the document and writes the document once, if an
// operation changed it or if mustWrite is set to rule out an earlier write. With
// an error, putSent reports whether the write was sent.
func (s *shard) tryCommit(batch []*operation, mustWrite bool) (putSent bool, err error) {
	if err = s.load(); err != nil {
		return false, err
	}
	options := s.claims.options
	now := s.now()
	next := s.doc.advance(now, options.Wall(), options)
	changed, needsRecentRead := false, false
	type outcome struct {
		result Result
		err    error
	}
	outcomes := make([]outcome, len(batch))
	for i, op := range batch {
		var out outcome
		var opChanged bool
		out.result, opChanged, out.err = op.apply(next, now, options)
		outcomes[i], changed = out, changed || opChanged
		switch out.result.(type) {
		case InProgress, Unknown:
			needsRecentRead = true
		}
		needsRecentRead = needsRecentRead || errors.Is(out.err, ErrExpired) || errors.Is(out.err, ErrFull)
	}
	if needsRecentRead && time.Since(s.confirmedAt) > options.MaxStaleness {
		s.setDocument(nil, 0)
		return s.tryCommit(batch, mustWrite)
	}
	if changed || mustWrite {
		if err = s.put(next); err != nil {
			return true, err
		}
	}
	for i, op := range batch {
		s.complete(op, outcomes[i].result, outcomes[i].err)
	}
	return changed, nil
}

func (s *shard) load() (err error) {
	if s.doc != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.claims.ctx, s.claims.options.CallTimeout)
	defer cancel()
	found, err := s.claims.client.Get(ctx, s.key)
	doc := &document{Entries: make(map[keyHash]entry)}
	switch {
	case errors.Is(err, store.ErrNotFound):
		found.Version = 0
	case err != nil:
		return err
	default:
		if doc, err = decode(found.Value); err != nil {
			return err
		}
	}
	if found.Version < s.minVersion {
		return errStaleRead
	}
	elapsed := doc.Elapsed
	if found.Version != 0 {
		elapsed += doc.idleTime(s.claims.options.Wall(), idleFactor*s.claims.options.InProgressTimeout)
	}
	s.elapsedAtLoad = max(elapsed, s.now()) // neither exceeds the time that has passed, unless the wall clock is wrong
	s.loadedAt, s.confirmedAt = time.Now(), time.Now()
	doc.size = len(found.Value)
	s.setDocument(doc, found.Version)
	return nil
}

// now returns the document's own time: its time at loadedAt plus the monotonic
// time since.
func (s *shard) now() time.Duration {
	if s.loadedAt.IsZero() {
		return 0
	}
	return s.elapsedAtLoad + time.Since(s.loadedAt)
}

func (s *shard) put(next *document) (err error) {
	value, err := next.encode()
	if err != nil {
		return errors.WithType(err, store.ErrUnavailable) // nothing was sent, so the class of the error is NotApplied
	}
	if len(value) > store.MaxValueBytes {
		return errors.WithType(store.ErrTooLarge, ErrFull)
	}
	ctx, cancel := context.WithTimeout(s.claims.ctx, s.claims.options.CallTimeout)
	defer cancel()
	version, err := s.claims.client.Put(ctx, store.PutRequest{Key: s.key, Value: value, IfVersion: s.version})
	s.lastWrite = time.Now()
	if err != nil {
		return err
	}
	s.confirmedAt = time.Now()
	s.minVersion = version
	s.setDocument(next, version)
	return nil
}

func (s *shard) setDocument(doc *document, version uint64) {
	if s.doc != nil {
		s.claims.cachedBytes.Add(-int64(s.doc.size))
	}
	if doc != nil {
		s.claims.cachedBytes.Add(int64(doc.size))
	}
	s.doc, s.version = doc, version
}

// complete completes an operation. If it granted a claim to a caller that has
// stopped waiting, it queues the withdrawal of the claim.
func (s *shard) complete(op *operation, result Result, err error) {
	if _, ok := result.(Granted); ok {
		result = Granted{Claim: &Claim{shard: s, hash: op.hash, token: op.token}}
	}
	if op.complete(result, err) {
		return
	}
	if _, ok := result.(Granted); ok {
		s.enqueue(&operation{kind: withdrawClaim, hash: op.hash, token: op.token, done: make(chan struct{})})
	}
}

// failClaims completes the claims of a batch with ErrNotApplied and returns the
// other operations, which are retried. No write of the batch may have an unknown
// outcome.
func (s *shard) failClaims(batch []*operation, err error) (rest []*operation) {
	for _, op := range batch {
		if op.kind == makeClaim {
			op.complete(nil, errors.WithType(err, ErrNotApplied))
		} else {
			rest = append(rest, op)
		}
	}
	return rest
}

// failQueuedClaims completes the queued claims with ErrNotApplied after an error
// of the store. New claims fail immediately until the current batch is done.
func (s *shard) failQueuedClaims(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeErr = err
	s.queue = s.failClaims(s.queue, err)
}

// failAll completes a batch with errors after the context of Claims has ended.
func (s *shard) failAll(batch []*operation, err error) {
	for _, op := range batch {
		op.mu.Lock()
		mayBeApplied := op.stage == writing || op.kind != makeClaim
		op.mu.Unlock()
		if mayBeApplied {
			op.complete(nil, errors.WithType(err, ErrUnknownOutcome))
		} else {
			op.complete(nil, errors.WithType(err, ErrNotApplied))
		}
	}
}

func (s *shard) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.claims.ctx.Done():
	}
}

// apply applies the operation to a document. After that, a caller that stops
// waiting gets ErrUnknownOutcome, because the document may be written. A canceled
// claim is removed, because an earlier attempt may have written it.
func (o *operation) apply(d *document, now time.Duration, options Options) (result Result, changed bool, err error) {
	o.mu.Lock()
	kind, isCanceled := o.kind, o.stage == canceled
	if o.stage == queued {
		o.stage = writing
	}
	o.mu.Unlock()
	switch {
	case kind == finishClaim:
		changed, err = d.finish(o, now, options)
		return nil, changed, err
	case kind == withdrawClaim || isCanceled:
		return nil, d.withdraw(o, now, options), nil
	default:
		return d.claim(o, now, options)
	}
}

// complete sets the result of the operation and reports whether its caller was
// still waiting for it.
func (o *operation) complete(result Result, err error) (delivered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage == canceled {
		return false
	}
	o.stage, o.result, o.err = completed, result, err
	close(o.done)
	return true
}

// cancel ends the caller's wait with cause, unless the operation is already
// completed.
func (o *operation) cancel(cause error) (result Result, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	previous := o.stage
	if previous == completed {
		return o.result, o.err
	}
	o.stage = canceled
	if previous == queued && o.kind == makeClaim {
		return nil, errors.WithType(cause, ErrNotApplied)
	}
	return nil, errors.WithType(cause, ErrUnknownOutcome)
}
