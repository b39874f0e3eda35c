package claim

import (
	"bytes"
	"encoding/gob"
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

const (
	// entryOverheadBytes is an upper bound of the encoded size of an entry
	// without its record.
	entryOverheadBytes = 64
	// maxDocumentBytes bounds a document with the records of claims that were
	// finished after InProgressTimeout, when no space is reserved for them.
	maxDocumentBytes = store.MaxValueBytes - 4<<10
	// idleFactor times InProgressTimeout is the most by which a document's time
	// advances while no process has it loaded: enough for all its claims to
	// turn Unknown.
	idleFactor = 2
)

const (
	claimed state = iota + 1
	finished
)

type (
	// keyHash is the truncated SHA-256 hash of a key, in binary.
	keyHash string

	state uint8

	// entry is the claim of one key. Times are in the document's own time.
	entry struct {
		State     state
		Token     uint64        // distinguishes the claims of different callers
		Since     time.Duration // when it entered its state
		Retention time.Duration
		Record    []byte
	}

	// columns is the stored form of a document, with one slice per field of its
	// entries. Package gob encodes slices of numbers several times as fast as a
	// map of structs.
	columns struct {
		Elapsed  time.Duration
		Wall     int64
		IDs      []byte // key hashes, concatenated
		States   []byte
		Tokens   []uint64
		Since    []int64
		Remember []int64
		Lengths  []int  // of the records, in bytes
		Records  []byte // concatenated
	}

	// document holds the claims of a shard. It isn't modified once it is stored.
	document struct {
		Entries map[keyHash]entry
		Elapsed time.Duration // the document's own time at its last write
		Wall    int64         // the highest wall-clock time of any writer, in Unix milliseconds
		size    int           // estimated encoded size, with space reserved for the records of claims in progress; the actual size after load
	}
)

func decode(value []byte) (d *document, err error) {
	defer errors.DeferredAnnotatef(&err, "decode claim document")
	var c columns
	if err = gob.NewDecoder(bytes.NewReader(value)).Decode(&c); err != nil {
		return nil, err
	}
	n := len(c.States)
	if len(c.IDs) != n*keyHashBytes || len(c.Tokens) != n || len(c.Since) != n || len(c.Remember) != n || len(c.Lengths) != n {
		return nil, errors.Errorf("column lengths don't match %d claims", n)
	}
	d = &document{Entries: make(map[keyHash]entry, n), Elapsed: c.Elapsed, Wall: c.Wall}
	records := c.Records
	for i, length := range c.Lengths {
		if length < 0 || length > len(records) {
			return nil, errors.Errorf("record %d has length %d, but %d bytes remain", i, length, len(records))
		}
		d.Entries[keyHash(c.IDs[i*keyHashBytes:(i+1)*keyHashBytes])] = entry{
			State: state(c.States[i]), Token: c.Tokens[i], Record: records[:length:length],
			Since: time.Duration(c.Since[i]), Retention: time.Duration(c.Remember[i]),
		}
		records = records[length:]
	}
	return d, nil
}

func (d *document) encode() (value []byte, err error) {
	n := len(d.Entries)
	c := columns{
		Elapsed: d.Elapsed, Wall: d.Wall,
		IDs: make([]byte, 0, n*keyHashBytes), States: make([]byte, 0, n), Tokens: make([]uint64, 0, n),
		Since: make([]int64, 0, n), Remember: make([]int64, 0, n), Lengths: make([]int, 0, n),
	}
	for hash, e := range d.Entries {
		c.IDs = append(c.IDs, hash...)
		c.States = append(c.States, byte(e.State))
		c.Tokens = append(c.Tokens, e.Token)
		c.Since = append(c.Since, int64(e.Since))
		c.Remember = append(c.Remember, int64(e.Retention))
		c.Lengths = append(c.Lengths, len(e.Record))
		c.Records = append(c.Records, e.Record...)
	}
	var buffer bytes.Buffer
	err = gob.NewEncoder(&buffer).Encode(c)
	return buffer.Bytes(), err
}

// advance returns a copy of the document with its own time set to now, without the
// entries whose retention has ended. Unfinished claims are kept for
// InProgressTimeout longer.
func (d *document) advance(now time.Duration, wall time.Time, options Options) (next *document) {
	next = &document{Elapsed: max(d.Elapsed, now), Wall: max(d.Wall, wall.UnixMilli()), Entries: maps.Clone(d.Entries)}
	for hash, e := range next.Entries {
		if now-e.Since > e.Retention && (e.State == finished || now-e.Since > e.Retention+options.InProgressTimeout) {
			delete(next.Entries, hash)
			continue
		}
		next.size += e.size(now, options)
	}
	return next
}

// idleTime returns the time to add to a document that was read from the store:
// the wall-clock time since its last write, but at most limit, because a wall
// clock may be wrong.
func (d *document) idleTime(wall time.Time, limit time.Duration) time.Duration {
	return min(max(0, wall.Sub(time.UnixMilli(d.Wall))), limit)
}

// claim adds an entry for the key of op, or returns the result of the entry that
// exists.
func (d *document) claim(op *operation, now time.Duration, options Options) (result Result, changed bool, err error) {
	e, found := d.Entries[op.hash]
	switch {
	case found && e.State == finished:
		return Done{Record: e.Record}, false, nil
	case found && e.Token == op.token:
		return Granted{}, false, nil
	case found && now-e.Since > options.InProgressTimeout:
		return Unknown{}, false, nil
	case found:
		return InProgress{}, false, nil
	}
	e = entry{State: claimed, Token: op.token, Since: now, Retention: op.retention}
	if d.size+e.size(now, options) > options.MaxDocumentBytes {
		return nil, false, errors.WithType(errors.Annotatef(ErrFull, "document with %d claims", len(d.Entries)), ErrNotApplied)
	}
	d.Entries[op.hash] = e
	d.size += e.size(now, options)
	return Granted{}, true, nil
}

// finish sets the record of a claim, even if the claim has turned Unknown.
func (d *document) finish(op *operation, now time.Duration, options Options) (changed bool, err error) {
	e, found := d.Entries[op.hash]
	switch {
	case !found || e.Token != op.token:
		return false, ErrExpired
	case e.State == finished:
		return false, nil
	}
	size := d.size - e.size(now, options)
	e.State, e.Since, e.Record = finished, now, op.record
	if size += e.size(now, options); size > maxDocumentBytes {
		return false, ErrFull // only after InProgressTimeout, if other claims have used the space reserved for the record
	}
	d.size = size
	d.Entries[op.hash] = e
	return true, nil
}

// withdraw removes an unfinished claim and reports whether it found one.
func (d *document) withdraw(op *operation, now time.Duration, options Options) (changed bool) {
	e, found := d.Entries[op.hash]
	if !found || e.Token != op.token || e.State == finished {
		return false
	}
	d.size -= e.size(now, options)
	delete(d.Entries, op.hash)
	return true
}

// size returns the estimated encoded size of an entry. For a claim in progress
// that includes a record of the maximum size.
func (e entry) size(now time.Duration, options Options) int {
	if e.State == claimed && now-e.Since <= options.InProgressTimeout {
		return entryOverheadBytes + options.MaxRecordBytes
	}
	return entryOverheadBytes + len(e.Record)
}
