package usage

import (
	"time"

	"github.com/guavagauge/guavagauge/rendezvous"
)

type (
	// HoldArgs asks a replica to store copies of records. The call is idempotent.
	HoldArgs struct {
		Source  Source   `cbor:"1,keyasint,omitzero"`
		Records []Record `cbor:"2,keyasint,omitzero"`
		Final   bool     `cbor:"3,keyasint,omitzero"` // the source has stopped and won't send more
	}

	// HoldReply confirms that the copies are stored.
	HoldReply struct{}

	// CollectArgs asks for the records of a window and shard: those of the node
	// itself and its copies of the sources in RequestedCopies.
	CollectArgs struct {
		Window          int64    `cbor:"1,keyasint,omitzero"`
		Shard           int      `cbor:"2,keyasint,omitzero"`
		Shards          int      `cbor:"3,keyasint,omitzero"`
		RequestedCopies []Source `cbor:"4,keyasint,omitzero"`
	}

	// CollectReply holds the records of a node. They may still grow unless
	// WatermarkPassed is set.
	CollectReply struct {
		Source          Source   `cbor:"1,keyasint,omitzero"`
		WatermarkPassed bool     `cbor:"2,keyasint,omitzero"`
		Records         []Record `cbor:"3,keyasint,omitzero"`
		Oldest          int64    `cbor:"4,keyasint,omitzero"` // oldest window of the node's own records and its copies; 0 if none
		AvailableCopies []Source `cbor:"5,keyasint,omitzero"` // sources of which the node has copies for the window
		Copies          []Copy   `cbor:"6,keyasint,omitzero"`
	}

	// Copy is a replica's copy of a source's records. It may lack the latest
	// ones unless it is Final.
	Copy struct {
		Source  Source   `cbor:"1,keyasint,omitzero"`
		Records []Record `cbor:"2,keyasint,omitzero"`
		Final   bool     `cbor:"3,keyasint,omitzero"`
	}

	// Receiver implements the net/rpc methods that peers call.
	Receiver struct{ ledger *Ledger }
)

// Hold stores copies of a peer's records.
func (r *Receiver) Hold(args HoldArgs, _ *HoldReply) (err error) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c := l.copies[args.Source]
	if c == nil {
		l.expireCopies(now)
		c = &sourceCopy{records: make(map[recordKey]Totals)}
		l.copies[args.Source] = c
	}
	c.updatedAt = now
	c.final = c.final || args.Final
	cutoff := now.Add(-l.options.Retention).Unix()
	for _, record := range args.Records {
		key := recordKey{record.Window, record.Workspace}
		c.records[key] = c.records[key].newer(record.Totals)
	}
	for key := range c.records {
		if key.window < cutoff {
			delete(c.records, key)
		}
	}
	return nil
}

// Collect returns records of a window and shard to a reporter.
func (r *Receiver) Collect(args CollectArgs, reply *CollectReply) (err error) {
	l := r.ledger
	reply.Source = l.options.Source
	reply.WatermarkPassed = l.watermarkPassed(args.Window)
	reply.Records = l.ownRecords(args.Window, args.Shard, args.Shards)
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Oldest = oldestWindow(0, l.records)
	for _, c := range l.copies {
		reply.Oldest = oldestWindow(reply.Oldest, c.records)
	}
	for source, c := range l.copies {
		if len(selectRecords(c.records, args.Window, args.Shard, args.Shards)) > 0 {
			reply.AvailableCopies = append(reply.AvailableCopies, source)
		}
	}
	for _, source := range args.RequestedCopies {
		if c := l.copies[source]; c != nil {
			reply.Copies = append(reply.Copies, Copy{
				Source: source, Records: selectRecords(c.records, args.Window, args.Shard, args.Shards), Final: c.final,
			})
		}
	}
	return nil
}

// replica returns the node that holds the i-th copy of this node's records. If
// possible, the second copy is in another failure domain than the first, so that
// one copy survives the loss of a whole domain.
func (l *Ledger) replica(i int) (replica Member, ok bool) {
	byName := make(map[string]Member)
	var names []string
	for _, m := range l.options.Members() {
		if m.Node != l.options.Source.Node {
			byName[m.Node] = m
			names = append(names, m.Node)
		}
	}
	order := rendezvous.Top(l.options.Source.Node, names, len(names))
	if i >= len(order) {
		return replica, false
	}
	first := byName[order[0]]
	if i == 0 {
		return first, true
	}
	for _, name := range order[1:] {
		if byName[name].FailureDomain != first.FailureDomain {
			return byName[name], true
		}
	}
	return byName[order[1]], true
}

// oldestWindow returns the oldest of window and the windows of the records. A
// window of 0 means none.
func oldestWindow(window int64, records map[recordKey]Totals) int64 {
	for key := range records {
		if window == 0 || key.window < window {
			window = key.window
		}
	}
	return window
}
