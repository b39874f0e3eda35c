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

// The stages of an operation. Only the caller makes it abandoned.
const (
	queued stage = iota
	sent         // in a document that is being written
	answered
	abandoned
)

const errOldRead = errors.ConstError("the store returned an old document")

type (
	operationKind uint8

	stage uint8

	// operation is one change that waits for a write of its shard.
	operation struct {
		kind     operationKind
		id       identity
		token    uint64
		remember time.Duration
		record   []byte
		answered chan struct{} // closed when the operation is answered

		mu     sync.Mutex
		stage  stage
		result Result
		err    error
	}

	// shard collects operations on one document. A goroutine commits them while
	// there are any. doc and the fields below it belong to that goroutine, or to
	// the holder of mu while there is none.
	shard struct {
		claims *Claims
		key    string

		mu      sync.Mutex
		queue   []*operation
		running bool
		failing error // set while the goroutine waits to try the store again

		doc       *document // as stored at version; nil when not loaded
		version   uint64
		atLeast   uint64        // reads below this version are old
		loaded    time.Time     // when doc was read, by the monotonic clock
		checked   time.Time     // when doc was known to be current
		base      time.Duration // the document's own time at loaded
		lastWrite time.Time
	}
)

// do queues an operation and waits for its answer.
func (s *shard) do(ctx context.Context, op *operation) (result Result, err error) {
	if err := ctx.Err(); err != nil && op.kind == makeClaim {
		return nil, errors.WithType(err, ErrNotApplied)
	}
	if err := s.enqueue(op); err != nil {
		return nil, err
	}
	select {
	case <-op.answered:
		return op.result, op.err
	case <-ctx.Done():
		return op.abandon(ctx.Err())
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
	case s.failing != nil && op.kind == makeClaim:
		return errors.WithType(s.failing, ErrNotApplied)
	}
	s.queue = append(s.queue, op)
	if !s.running {
		s.running = true
		go func() {
			for s.commitNext() {
			}
		}()
	}
	return nil
}

// commitNext writes what is queued and returns false when nothing is.
func (s *shard) commitNext() (more bool) {
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
	s.failing = nil
	if len(s.queue) == 0 {
		s.running = false
		s.claims.trim()
	}
	return s.running
}

// trim drops documents of idle shards, in random order, while too much is
// cached. It is called with the lock of a shard held, whose document stays.
func (c *Claims) trim() {
	if c.cached.Load() <= int64(c.options.MaxCachedBytes) {
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
		if c.cached.Load() <= int64(c.options.MaxCachedBytes) {
			return
		}
	}
}

// commit answers a batch. Once a write has an unknown outcome it goes on until
// that is decided: the same condition is tried again, so that either the new
// write succeeds and the old one can't any more, or a newer document is read
// that shows whether the old one did.
func (s *shard) commit(batch []*operation) {
	unknown := false
	for retry := retryFirst; ; retry = min(2*retry, retryLimit) {
		err := s.claims.ctx.Err()
		if err != nil {
			s.giveUp(batch, err)
			return
		}
		var wrote bool
		wrote, err = s.attempt(batch, unknown)
		switch {
		case err == nil:
			return
		case store.Classify(err) == store.Conflict:
			s.atLeast = s.version + 1
			s.setDocument(nil, 0)
			continue
		case wrote && store.Classify(err) == store.UnknownOutcome:
			unknown = true
		}
		s.claims.options.Logger.Warn("claims not written", "Shard", s.key, "Operations", len(batch), "Unknown", unknown, "Err", err)
		if !unknown {
			batch = s.refuse(batch, err)
		}
		s.refuseQueued(err)
		if len(batch) == 0 {
			return
		}
		s.sleep(retry/2 + rand.N(retry))
	}
}

// attempt applies the batch to the document and writes that once, if it changed
// or an earlier write must be ruled out. It reports whether it came to the
// write.
func (s *shard) attempt(batch []*operation, mustWrite bool) (wrote bool, err error) {
	if err = s.load(); err != nil {
		return false, err
	}
	options := s.claims.options
	now := s.now()
	next := s.doc.next(now, options.Wall(), options)
	changed, needsFresh := false, false
	type answer struct {
		result Result
		err    error
	}
	answers := make([]answer, len(batch))
	for i, op := range batch {
		var a answer
		var applied bool
		a.result, applied, a.err = op.apply(next, now, options)
		answers[i], changed = a, changed || applied
		switch a.result.(type) {
		case InProgress, Unknown:
			needsFresh = true
		}
		needsFresh = needsFresh || errors.Is(a.err, ErrExpired) || errors.Is(a.err, ErrFull)
	}
	if needsFresh && time.Since(s.checked) > options.MaxStaleness {
		s.setDocument(nil, 0)
		return s.attempt(batch, mustWrite)
	}
	if changed || mustWrite {
		if err = s.put(next); err != nil {
			return true, err
		}
	}
	for i, op := range batch {
		s.answer(op, answers[i].result, answers[i].err)
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
	doc := &document{Entries: make(map[identity]entry)}
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
	if found.Version < s.atLeast {
		return errOldRead
	}
	base := doc.Elapsed
	if found.Version != 0 {
		base += doc.unused(s.claims.options.Wall(), unusedFactor*s.claims.options.InProgressTimeout)
	}
	s.base = max(base, s.now()) // both are at most the time that has passed
	s.loaded, s.checked = time.Now(), time.Now()
	doc.size = len(found.Value)
	s.setDocument(doc, found.Version)
	return nil
}

// now is the document's own time: that of its last write, and what this process
// has seen pass since.
func (s *shard) now() time.Duration {
	if s.loaded.IsZero() {
		return 0
	}
	return s.base + time.Since(s.loaded)
}

func (s *shard) put(next *document) (err error) {
	value, err := next.encode()
	if err != nil {
		return errors.WithType(err, store.ErrUnavailable)
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
	s.checked = time.Now()
	s.atLeast = version
	s.setDocument(next, version)
	return nil
}

func (s *shard) setDocument(doc *document, version uint64) {
	if s.doc != nil {
		s.claims.cached.Add(-int64(s.doc.size))
	}
	if doc != nil {
		s.claims.cached.Add(int64(doc.size))
	}
	s.doc, s.version = doc, version
}

// answer ends an operation. A claim granted to a caller that has stopped
// waiting is withdrawn.
func (s *shard) answer(op *operation, result Result, err error) {
	if _, ok := result.(Granted); ok {
		result = Granted{Claim: &Claim{shard: s, id: op.id, token: op.token}}
	}
	if op.answer(result, err) {
		return
	}
	if _, ok := result.(Granted); ok {
		s.enqueue(&operation{kind: withdrawClaim, id: op.id, token: op.token, answered: make(chan struct{})})
	}
}

// refuse answers the claims of a batch that isn't in force and returns the
// other operations, which are tried again.
func (s *shard) refuse(batch []*operation, err error) (rest []*operation) {
	for _, op := range batch {
		if op.kind == makeClaim {
			op.answer(nil, errors.WithType(err, ErrNotApplied))
		} else {
			rest = append(rest, op)
		}
	}
	return rest
}

// refuseQueued answers the claims that wait behind a failing store, and lets
// new ones fail at once until the next attempt has ended.
func (s *shard) refuseQueued(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err
	s.queue = s.refuse(s.queue, err)
}

// giveUp answers everything when the context of Claims has ended.
func (s *shard) giveUp(batch []*operation, err error) {
	for _, op := range batch {
		op.mu.Lock()
		wasSent := op.stage == sent || op.kind != makeClaim
		op.mu.Unlock()
		if wasSent {
			op.answer(nil, errors.WithType(err, ErrUnknownOutcome))
		} else {
			op.answer(nil, errors.WithType(err, ErrNotApplied))
		}
	}
}

func (s *shard) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.claims.ctx.Done():
	}
}

// apply changes the document. From then on the caller can't be told that the
// claim isn't in force, until the write has failed. A claim whose caller has
// gone is removed, in case an earlier attempt wrote it.
func (o *operation) apply(d *document, now time.Duration, options Options) (result Result, changed bool, err error) {
	o.mu.Lock()
	kind, gone := o.kind, o.stage == abandoned
	if o.stage == queued {
		o.stage = sent
	}
	o.mu.Unlock()
	switch {
	case kind == finishClaim:
		changed, err = d.finish(o, now, options)
		return nil, changed, err
	case kind == withdrawClaim || gone:
		return nil, d.withdraw(o, now, options), nil
	default:
		return d.claim(o, now, options)
	}
}

// answer returns false when nobody waits any more.
func (o *operation) answer(result Result, err error) (delivered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage == abandoned {
		return false
	}
	o.stage, o.result, o.err = answered, result, err
	close(o.answered)
	return true
}

// abandon ends the wait of the caller, unless the answer came first.
func (o *operation) abandon(cause error) (result Result, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.stage
	if was == answered {
		return o.result, o.err
	}
	o.stage = abandoned
	if was == queued && o.kind == makeClaim {
		return nil, errors.WithType(cause, ErrNotApplied)
	}
	return nil, errors.WithType(cause, ErrUnknownOutcome)
}
