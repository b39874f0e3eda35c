// Package claim makes work run at most once, on top of a key-value service with
// compare-and-swap. Work is claimed under a key before it starts; its outcome
// is remembered, and a repeated claim gets that instead of running again.
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
//	case claim.InProgress: // another call runs it
//	case claim.Done: // it ran: result.Record
//	case claim.Unknown: // it may have run, and never runs again
//	}
//
// # Guarantees
//
// A key is granted at most once while it is remembered, whoever writes: each
// grant is a compare-and-swap on the document of the key's shard. A write whose
// answer was lost is repeated under the same condition or read back, and until
// that is decided nobody is told that the claim was granted. When one process
// writes a shard, its claims share writes; others only cost conflicts.
//
// A claim whose holder neither finishes nor withdraws it turns Unknown after
// Options.InProgressTimeout, and stays so until it is forgotten.
//
// Documents count time on their own, by the monotonic clocks of their writers,
// so that a wall clock that is wrong can't make them forget early. Time in
// which no process had the document loaded counts up to twice InProgressTimeout
// only, so records may be remembered longer than asked.
//
// InProgress and Unknown may be as old as Options.MaxStaleness, or as what the
// store returns; the other results are final.
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

// Failures. Work must not run after either.
const (
	// ErrNotApplied means that the claim isn't in force: the work has not run
	// under it, and the key can be claimed later.
	ErrNotApplied = errors.ConstError("claim not made")
	// ErrUnknownOutcome means that the claim may be in force. If it is, it is
	// withdrawn as soon as the store answers, or turns Unknown if this process
	// ends first. From Finish and Withdraw it means that the write is still
	// being tried.
	ErrUnknownOutcome = errors.ConstError("claim not known")
	// ErrFull comes with ErrNotApplied when the key's shard has no room left.
	ErrFull = errors.ConstError("claim shard full")
	// ErrTooLarge means that a record exceeds Options.MaxRecordBytes.
	ErrTooLarge = errors.ConstError("record too large")
	// ErrExpired means that a claim was finished after it had been forgotten.
	ErrExpired = errors.ConstError("claim forgotten")
)

const (
	defaultShards           = 128
	defaultBatchDelay       = 5 * time.Millisecond
	defaultWriteInterval    = 250 * time.Millisecond // 128 shards stay near 500 writes per second at worst
	defaultRemember         = 24 * time.Hour
	defaultAbandonAfter     = 10 * time.Minute
	defaultMaxDocumentBytes = 768 << 10 // leaves room below the service's limit for late records
	defaultMaxRecordBytes   = 1 << 10
	defaultMaxCachedBytes   = 64 << 20
	defaultCallTimeout      = 2 * time.Second
	defaultFreshFor         = time.Second
	identityBytes           = 16
	retryFirst              = 50 * time.Millisecond
	retryLimit              = 2 * time.Second // claims are refused that long after the store is back
)

type (
	// Options of Claims. Zero fields take the defaults. Prefix and Shards must be
	// the same for all processes and never change.
	Options struct {
		// Prefix of the keys of the shard documents, "claim/" by default.
		Prefix string
		// Shards is the number of documents, 128 by default.
		Shards int
		// BatchDelay is how long a first claim waits for others, 5 ms by default.
		BatchDelay time.Duration
		// WriteInterval is the least time between two writes of a document, 250 ms
		// by default. It bounds the rate of writes and how long a claim waits.
		WriteInterval time.Duration
		// Retention is how long an outcome is remembered, 24 h by default.
		Retention time.Duration
		// InProgressTimeout is when an unfinished claim turns Unknown, 10 min
		// by default.
		InProgressTimeout time.Duration
		// MaxDocumentBytes bounds a document, 768 KiB by default and at most 1020
		// KiB.
		MaxDocumentBytes int
		// MaxRecordBytes bounds the record of an outcome, 1 KiB by default. That
		// much is reserved for each claim in progress.
		MaxRecordBytes int
		// MaxCachedBytes bounds the documents kept in memory, 64 MiB by default.
		MaxCachedBytes int
		// CallTimeout bounds each call to the store, 2 s by default.
		CallTimeout time.Duration
		// MaxStaleness is how old a cached document may be for the answers
		// InProgress and Unknown, 1 s by default.
		MaxStaleness time.Duration
		// Wall tells the time of day, time.Now by default.
		Wall func() time.Time
		// Logger discards by default.
		Logger *slog.Logger
		// Metrics receives counters and may be nil.
		Metrics *metrics.Set
	}

	// Request names the work to claim. Retention overrides Options.Retention.
	Request struct {
		Key       string
		Retention time.Duration
	}

	// Claims makes claims until its context ends. It is safe for concurrent use.
	Claims struct {
		ctx     context.Context
		client  store.Client
		options Options
		shards  []*shard
		cached  atomic.Int64
	}

	// Claim is the right, and the duty, to run the work once.
	Claim struct {
		shard *shard
		id    identity
		token uint64
	}

	// Result is Granted, InProgress, Done or Unknown.
	Result interface{ isResult() }

	// Granted means that the caller may run the work.
	Granted struct{ Claim *Claim }

	// InProgress means that an earlier caller was granted the work and hasn't
	// finished it.
	InProgress struct{}

	// Done means that the work ran and left a record.
	Done struct{ Record []byte }

	// Unknown means that the work may have run, in part or completely.
	Unknown struct{}
)

func (Granted) isResult()    {}
func (InProgress) isResult() {}
func (Done) isResult()       {}
func (Unknown) isResult()    {}

// New returns Claims on the documents of client. When ctx ends, waiting claims
// fail and outcomes not yet stored are lost, so that their claims turn Unknown.
func New(ctx context.Context, client store.Client, options Options) *Claims {
	c := &Claims{ctx: ctx, client: client, options: options.withDefaults()}
	for i := range c.options.Shards {
		c.shards = append(c.shards, &shard{claims: c, key: fmt.Sprintf("%s%04d", c.options.Prefix, i)})
	}
	return c
}

// Shard returns the number of a key's shard, below Options.Shards. Routing the
// claims of a shard to one process lets them share writes.
func (c *Claims) Shard(key string) int {
	return shardOf(identityOf(key), len(c.shards))
}

// Claim asks for the work of a key. An error means that the work must not run.
func (c *Claims) Claim(ctx context.Context, request Request) (result Result, err error) {
	defer errors.DeferredAnnotatef(&err, "claim %q", request.Key)
	if request.Retention == 0 {
		request.Retention = c.options.Retention
	}
	id := identityOf(request.Key)
	shard := c.shards[shardOf(id, len(c.shards))]
	result, err = shard.do(ctx, &operation{
		kind: makeClaim, id: id, token: rand.Uint64(), remember: request.Retention, answered: make(chan struct{}),
	})
	c.count("claim", result, err)
	return result, err
}

// Finish stores the outcome of the work. When ctx ends first the error is
// ErrUnknownOutcome and the write goes on being tried.
func (c *Claim) Finish(ctx context.Context, record []byte) (err error) {
	defer errors.DeferredAnnotatef(&err, "finish claim")
	options := c.shard.claims.options
	if len(record) > options.MaxRecordBytes {
		return errors.Annotatef(ErrTooLarge, "%d bytes, limit %d", len(record), options.MaxRecordBytes)
	}
	_, err = c.shard.do(ctx, &operation{
		kind: finishClaim, id: c.id, token: c.token, record: record, answered: make(chan struct{}),
	})
	c.shard.claims.count("finish", nil, err)
	return err
}

// Withdraw gives up a claim whose work certainly did not run and won't, so that
// the key can be claimed again.
func (c *Claim) Withdraw(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "withdraw claim")
	_, err = c.shard.do(ctx, &operation{
		kind: withdrawClaim, id: c.id, token: c.token, answered: make(chan struct{}),
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
	setDuration(&o.Retention, defaultRemember)
	setDuration(&o.InProgressTimeout, defaultAbandonAfter)
	setDuration(&o.CallTimeout, defaultCallTimeout)
	setDuration(&o.MaxStaleness, defaultFreshFor)
	o.MaxDocumentBytes = min(o.MaxDocumentBytes, maxFinishBytes)
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

// identityOf shortens a key. A collision would refuse work, not run it twice.
func identityOf(key string) identity {
	sum := sha256.Sum256([]byte(key))
	return identity(sum[:identityBytes])
}

func shardOf(id identity, shards int) int {
	return int(binary.BigEndian.Uint64([]byte(id[:8])) % uint64(shards))
}
