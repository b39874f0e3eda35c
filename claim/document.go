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
	// recordOverheadBytes is above the encoded size of an entry without its
	// record.
	recordOverheadBytes = 64
	// maxFinishBytes bounds a document to which late outcomes are added.
	maxFinishBytes = store.MaxValueBytes - 4<<10
	// unusedFactor times InProgressTimeout is the most time that counts while
	// no process had a document loaded: enough for all its claims to turn
	// Unknown.
	unusedFactor = 2
)

const (
	claimed state = iota + 1
	finished
)

type (
	// identity is the binary hash of a key.
	identity string

	state uint8

	// entry is one remembered claim. Times are in the document's own time.
	entry struct {
		State    state
		Token    uint64        // tells the claims of different callers apart
		Since    time.Duration // when it got into its state
		Remember time.Duration
		Record   []byte
	}

	// columns is the stored form of a document. Package gob encodes slices of
	// numbers several times as fast as a map of structs.
	columns struct {
		Elapsed  time.Duration
		Wall     int64
		IDs      []byte // one after the other
		States   []byte
		Tokens   []uint64
		Since    []int64
		Remember []int64
		Lengths  []int  // of the records
		Records  []byte // one after the other
	}

	// document is the content of a shard. It isn't changed once it was stored.
	document struct {
		Entries map[identity]entry
		Elapsed time.Duration // the document's own time at its last write
		Wall    int64         // the highest wall time of a writer, in Unix milliseconds
		size    int           // estimate that reserves room for records to come
	}
)

func decode(value []byte) (d *document, err error) {
	defer errors.DeferredAnnotatef(&err, "claim document")
	var c columns
	if err = gob.NewDecoder(bytes.NewReader(value)).Decode(&c); err != nil {
		return nil, err
	}
	n := len(c.States)
	if len(c.IDs) != n*identityBytes || len(c.Tokens) != n || len(c.Since) != n || len(c.Remember) != n || len(c.Lengths) != n {
		return nil, errors.Errorf("columns of different lengths for %d claims", n)
	}
	d = &document{Entries: make(map[identity]entry, n), Elapsed: c.Elapsed, Wall: c.Wall}
	records := c.Records
	for i, length := range c.Lengths {
		if length < 0 || length > len(records) {
			return nil, errors.Errorf("record %d of %d bytes, %d left", i, length, len(records))
		}
		d.Entries[identity(c.IDs[i*identityBytes:(i+1)*identityBytes])] = entry{
			State: state(c.States[i]), Token: c.Tokens[i], Record: records[:length:length],
			Since: time.Duration(c.Since[i]), Remember: time.Duration(c.Remember[i]),
		}
		records = records[length:]
	}
	return d, nil
}

func (d *document) encode() (value []byte, err error) {
	n := len(d.Entries)
	c := columns{
		Elapsed: d.Elapsed, Wall: d.Wall,
		IDs: make([]byte, 0, n*identityBytes), States: make([]byte, 0, n), Tokens: make([]uint64, 0, n),
		Since: make([]int64, 0, n), Remember: make([]int64, 0, n), Lengths: make([]int, 0, n),
	}
	for id, e := range d.Entries {
		c.IDs = append(c.IDs, id...)
		c.States = append(c.States, byte(e.State))
		c.Tokens = append(c.Tokens, e.Token)
		c.Since = append(c.Since, int64(e.Since))
		c.Remember = append(c.Remember, int64(e.Remember))
		c.Lengths = append(c.Lengths, len(e.Record))
		c.Records = append(c.Records, e.Record...)
	}
	var buffer bytes.Buffer
	err = gob.NewEncoder(&buffer).Encode(c)
	return buffer.Bytes(), err
}

// next returns a copy at a later time, without what it may forget.
func (d *document) next(now time.Duration, wall time.Time, options Options) (next *document) {
	next = &document{Elapsed: max(d.Elapsed, now), Wall: max(d.Wall, wall.UnixMilli()), Entries: maps.Clone(d.Entries)}
	for id, e := range next.Entries {
		if now-e.Since > e.Remember && (e.State == finished || now-e.Since > e.Remember+options.InProgressTimeout) {
			delete(next.Entries, id)
			continue
		}
		next.size += e.size(now, options)
	}
	return next
}

// unused returns the time to add for a document that was read from the store:
// the wall time since its last write, within limits, because a wall clock may
// be wrong.
func (d *document) unused(wall time.Time, limit time.Duration) time.Duration {
	return min(max(0, wall.Sub(time.UnixMilli(d.Wall))), limit)
}

// claim grants the key, or returns what is known about it.
func (d *document) claim(op *operation, now time.Duration, options Options) (result Result, changed bool, err error) {
	e, known := d.Entries[op.id]
	switch {
	case known && e.State == finished:
		return Done{Record: e.Record}, false, nil
	case known && e.Token == op.token:
		return Granted{}, false, nil
	case known && now-e.Since > options.InProgressTimeout:
		return Unknown{}, false, nil
	case known:
		return InProgress{}, false, nil
	}
	e = entry{State: claimed, Token: op.token, Since: now, Remember: op.remember}
	if d.size+e.size(now, options) > options.MaxDocumentBytes {
		return nil, false, errors.WithType(errors.Annotatef(ErrFull, "%d claims", len(d.Entries)), ErrNotApplied)
	}
	d.Entries[op.id] = e
	d.size += e.size(now, options)
	return Granted{}, true, nil
}

// finish stores the outcome of a claim, even one that had turned Unknown.
func (d *document) finish(op *operation, now time.Duration, options Options) (changed bool, err error) {
	e, known := d.Entries[op.id]
	switch {
	case !known || e.Token != op.token:
		return false, ErrExpired
	case e.State == finished:
		return false, nil
	}
	size := d.size - e.size(now, options)
	e.State, e.Since, e.Record = finished, now, op.record
	if size += e.size(now, options); size > maxFinishBytes {
		return false, ErrFull // only after the claim was abandoned and its room used up
	}
	d.size = size
	d.Entries[op.id] = e
	return true, nil
}

// withdraw removes a claim that isn't finished.
func (d *document) withdraw(op *operation, now time.Duration, options Options) (changed bool) {
	e, known := d.Entries[op.id]
	if !known || e.Token != op.token || e.State == finished {
		return false
	}
	d.size -= e.size(now, options)
	delete(d.Entries, op.id)
	return true
}

// size reserves room for the record of a claim in progress.
func (e entry) size(now time.Duration, options Options) int {
	if e.State == claimed && now-e.Since <= options.InProgressTimeout {
		return recordOverheadBytes + options.MaxRecordBytes
	}
	return recordOverheadBytes + len(e.Record)
}
