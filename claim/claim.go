// Package claim runs work at most once per key, on top of a key-value store
// with compare-and-swap. A caller claims a key before it starts the work and
// stores the outcome afterwards; later claims of the key return that outcome
// instead of running the work again.
//
// # Usage
//
//	claims := claim.New(ctx, client, claim.Options{})
//	result, err := claims.Claim(ctx, claim.Request{Key: workspace + "/" + route + "/" + idempotencyKey})
//	if err != nil {
//		// the work must not run: claim.ErrNotApplied or claim.ErrUnknownOutcome
//	}
//	switch result := result.(type) {
//	case claim.Granted: // run it, then
//		err = result.Claim.Finish(ctx, record)
//	case claim.InProgress: // another caller is running it
//	case claim.Done: // it has run: result.Record
//	case claim.Unknown: // it may have run, and must not run again
//	}
//
// # Guarantees
//
// A key is granted to at most one caller until the claim is withdrawn or its
// retention ends, even if several processes write: each grant is a
// compare-and-swap on the document of the key's shard. When the response to a
// write is lost, the write is retried on the same version or its effect is read
// back, and no caller gets Granted until the outcome is known. Claims that one
// process makes in a shard share writes. If several processes write a shard,
// their writes conflict more often, but claims stay correct.
//
// A claim that is neither finished nor withdrawn turns Unknown after
// Options.InProgressTimeout and stays Unknown until it is removed, some time
// after the end of its retention.
//
// Each document has its own time, which advances by the monotonic clocks of its
// writers, so that a wrong wall clock can't make claims expire early. While no
// process has the document loaded, its time advances by at most twice
// InProgressTimeout, so outcomes may be retained longer than requested.
//
// InProgress and Unknown may be out of date by up to Options.MaxStaleness, or by
// more if the store returns stale reads. Granted and Done are final.
//
// # Failures of the store
//
// While the store is unavailable or a document can't be decoded, Claim returns
// ErrNotApplied, without a call to the store while an earlier batch of the shard
// is retried. Finish and Withdraw are retried until the context of Claims ends.
// While the outcome of a write is unknown, the claims in it wait for it, and a
// caller that stops waiting gets ErrUnknownOutcome.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

// Errors of Claim, Finish and Withdraw. After any error of Claim, the work must
// not run.
const (
	// ErrNotApplied means that the claim was not stored: the work has not run
	// under it, and the key can be claimed later.
	ErrNotApplied = errors.ConstError("claim not applied")
	// ErrUnknownOutcome means that the claim may have been stored. If it was, it
	// is withdrawn once the store responds, or turns Unknown if the context of
	// Claims ends first. From Finish and Withdraw it means that the write is
	// being retried, until that context ends.
	ErrUnknownOutcome = errors.ConstError("outcome of claim operation unknown")
	// ErrFull means that the document of the key's shard has no room left. Claim
	// returns it with ErrNotApplied. Finish returns it if InProgressTimeout has
	// passed and the record doesn't fit.
	ErrFull = errors.ConstError("claim shard full")
	// ErrTooLarge means that a record exceeds Options.MaxRecordBytes.
	ErrTooLarge = errors.ConstError("claim record too large")
	// ErrExpired means that a claim was finished after its retention had ended
	// or after it was withdrawn.
	ErrExpired = errors.ConstError("claim expired")
)

const (
	defaultShards            = 128
	defaultBatchDelay        = 5 * time.Millisecond
	defaultWriteInterval     = 250 * time.Millisecond // 128 shards make at most about 500 writes per second
	defaultRetention         = 24 * time.Hour         // with the rate of new keys, this decides how full the documents get
	defaultInProgressTimeout = 10 * time.Minute
	defaultMaxDocumentBytes  = 768 << 10 // leaves room below maxDocumentBytes for records of late Finish calls
	defaultMaxRecordBytes    = 1 << 10
	defaultMaxCachedBytes    = 64 << 20
	defaultCallTimeout       = 2 * time.Second
	defaultMaxStaleness      = time.Second
	keyHashBytes             = 16
	initialBackoff           = 50 * time.Millisecond
	maxBackoff               = 2 * time.Second // claims may fail for about that long after the store has recovered
)

type (
	// Options of Claims. Zero fields mean defaults. Prefix and Shards must be the
	// same in all processes and must never change: otherwise the claims of a key
	// are looked up in another document.
	Options struct {
		// Prefix of the keys of the shard documents, "claim/" by default.
		Prefix string
		// Shards is the number of documents, 128 by default.
		Shards int
		// BatchDelay is how long the first operation of a batch waits for others,
		// 5 ms by default.
		BatchDelay time.Duration
		// WriteInterval is the minimum time between two writes of a document, 250
		// ms by default. It bounds the rate of writes and adds to the latency of a
		// claim.
		WriteInterval time.Duration
		// Retention is how long an outcome is kept, 24 h by default.
		Retention time.Duration
		// InProgressTimeout is the time after which an unfinished claim turns
		// Unknown, 10 min by default. Work that takes longer can still be
		// finished, but no space is reserved for its record any more.
		InProgressTimeout time.Duration
		// MaxDocumentBytes is the size of a document up to which new claims are
		// accepted, 768 KiB by default and at most 1020 KiB.
		MaxDocumentBytes int
		// MaxRecordBytes bounds the record of an outcome, 1 KiB by default. This
		// space is reserved for each claim in progress.
		MaxRecordBytes int
		// MaxCachedBytes bounds the documents kept in memory, 64 MiB by default.
		MaxCachedBytes int
		// CallTimeout bounds each call to the store, 2 s by default.
		CallTimeout time.Duration
		// MaxStaleness is how old a cached document may be for the results
		// InProgress and Unknown, 1 s by default.
		MaxStaleness time.Duration
		// Wall returns the wall-clock time, time.Now by default.
		Wall func() time.Time
		// Logger discards log lines by default.
		Logger *slog.Logger
		// Metrics receives counters and may be nil.
		Metrics *metrics.Set
	}

	// Request is the key of the work to claim. A Retention other than zero
	// overrides Options.Retention.
	Request struct {
		Key       string
		Retention time.Duration
	}

	// Claims makes claims until the context passed to New ends. It is safe for
	// concurrent use.
	Claims struct {
		ctx         context.Context
		client      store.Client
		options     Options
		shards      []*shard
		cachedBytes atomic.Int64
	}

	// Claim is a granted claim. Its owner runs the work once and then calls
	// Finish, or calls Withdraw if the work did not run.
	Claim struct {
		shard *shard
		hash  keyHash
		token uint64
	}

	// Result is Granted, InProgress, Done or Unknown.
	Result interface{ isResult() }

	// Granted means that the caller may run the work, once.
	Granted struct{ Claim *Claim }

	// InProgress means that the claim was granted to an earlier caller, which
	// hasn't finished the work.
	InProgress struct{}

	// Done means that the work has run. Record is what was passed to Finish.
	Done struct{ Record []byte }

	// Unknown means that the work may have run, partly or completely.
	Unknown struct{}
)

func (Granted) isResult()    {}
func (InProgress) isResult() {}
func (Done) isResult()       {}
func (Unknown) isResult()    {}

// New returns Claims whose documents are stored through client. When ctx ends,
// waiting claims fail, and outcomes not yet stored are lost, so that their
// claims turn Unknown.
func New(ctx context.Context, client store.Client, options Options) *Claims {
	c := &Claims{ctx: ctx, client: client, options: options.withDefaults()}
	for i := range c.options.Shards {
		c.shards = append(c.shards, &shard{claims: c, key: fmt.Sprintf("%s%04d", c.options.Prefix, i)})
	}
	return c
}

// Shard returns the number of a key's shard, from 0 to Options.Shards-1. If all
// claims of a shard are made by one process, they share writes.
func (c *Claims) Shard(key string) int {
	return shardOf(hashKey(key), len(c.shards))
}

// Claim claims a key. Its caller may run the work only if the result is
// Granted, and must not run it after an error.
func (c *Claims) Claim(ctx context.Context, request Request) (result Result, err error) {
	defer errors.DeferredAnnotatef(&err, "claim %q", request.Key)
	if request.Retention == 0 {
		request.Retention = c.options.Retention
	}
	hash := hashKey(request.Key)
	shard := c.shards[shardOf(hash, len(c.shards))]
	result, err = shard.do(ctx, &operation{
		kind: makeClaim, hash: hash, token: rand.Uint64(), retention: request.Retention, done: make(chan struct{}),
	})
	c.count("claim", result, err)
	return result, err
}

// Finish stores the outcome of the work. If ctx ends first, it returns
// ErrUnknownOutcome and the write is retried in the background.
func (c *Claim) Finish(ctx context.Context, record []byte) (err error) {
	defer errors.DeferredAnnotatef(&err, "finish claim")
	options := c.shard.claims.options
	if len(record) > options.MaxRecordBytes {
		return errors.Annotatef(ErrTooLarge, "%d bytes, limit %d", len(record), options.MaxRecordBytes)
	}
	_, err = c.shard.do(ctx, &operation{
		kind: finishClaim, hash: c.hash, token: c.token, record: record, done: make(chan struct{}),
	})
	c.shard.claims.count("finish", nil, err)
	return err
}

// Withdraw removes a claim whose work has not run and will not run, so that the
// key can be claimed again.
func (c *Claim) Withdraw(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "withdraw claim")
	_, err = c.shard.do(ctx, &operation{
		kind: withdrawClaim, hash: c.hash, token: c.token, done: make(chan struct{}),
	})
	c.shard.claims.count("withdraw", nil, err)
	return err
}

func (c *Claims) count(call string, result Result, err error) {
	if c.options.Metrics == nil {
		return
	}
	outcome := "OK"
	switch result.(type) {
	case Granted:
		outcome = "Granted"
	case InProgress:
		outcome = "InProgress"
	case Done:
		outcome = "Done"
	case Unknown:
		outcome = "Unknown"
	}
	switch {
	case errors.Is(err, ErrFull):
		outcome = "Full"
	case errors.Is(err, ErrNotApplied):
		outcome = "NotMade"
	case err != nil:
		outcome = "Error"
	}
	c.options.Metrics.GetOrCreateCounter(fmt.Sprintf("guavagauge_claim_total{call=%q,outcome=%q}", call, outcome)).Inc()
}

func (o Options) withDefaults() Options {
	setDuration := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setInt := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setInt(&o.Shards, defaultShards)
	setInt(&o.MaxDocumentBytes, defaultMaxDocumentBytes)
	setInt(&o.MaxRecordBytes, defaultMaxRecordBytes)
	setInt(&o.MaxCachedBytes, defaultMaxCachedBytes)
	setDuration(&o.BatchDelay, defaultBatchDelay)
	setDuration(&o.WriteInterval, defaultWriteInterval)
	setDuration(&o.Retention, defaultRetention)
	setDuration(&o.InProgressTimeout, defaultInProgressTimeout)
	setDuration(&o.CallTimeout, defaultCallTimeout)
	setDuration(&o.MaxStaleness, defaultMaxStaleness)
	o.MaxDocumentBytes = min(o.MaxDocumentBytes, maxDocumentBytes)
	if o.Prefix == "" {
		o.Prefix = "claim/"
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// hashKey returns the truncated SHA-256 hash of a key. A collision would keep
// work from running, but never run it twice.
func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:keyHashBytes])
}

func shardOf(hash keyHash, shards int) int {
	return int(binary.BigEndian.Uint64([]byte(hash[:8])) % uint64(shards))
}
