package usage

import (
	"time"

	"github.com/guavagauge/guavagauge/rendezvous"
)

type (
	// HoldArgs asks a witness to hold copies of records. Repeats are harmless.
	HoldArgs struct {
		Source  Source   `cbor:"1,keyasint,omitzero"`
		Records []Record `cbor:"2,keyasint,omitzero"`
		Final   bool     `cbor:"3,keyasint,omitzero"` // the source has stopped, and there will be no more
	}

	// HoldReply confirms the copies.
	HoldReply struct{}

	// CollectArgs asks for a window's records of a shard: the node's own, and
	// its copies for the sources in RequestedCopies.
	CollectArgs struct {
		Window          int64    `cbor:"1,keyasint,omitzero"`
		Shard           int      `cbor:"2,keyasint,omitzero"`
		Shards          int      `cbor:"3,keyasint,omitzero"`
		RequestedCopies []Source `cbor:"4,keyasint,omitzero"`
	}

	// CollectReply holds what the node has. Without WatermarkPassed its own
	// records may still grow.
	CollectReply struct {
		Source          Source   `cbor:"1,keyasint,omitzero"`
		WatermarkPassed bool     `cbor:"2,keyasint,omitzero"`
		Records         []Record `cbor:"3,keyasint,omitzero"`
		Oldest          int64    `cbor:"4,keyasint,omitzero"` // window of the oldest records, own or copied; 0 if none
		AvailableCopies []Source `cbor:"5,keyasint,omitzero"` // other sources of which it has copies for the window
		Copies          []Copy   `cbor:"6,keyasint,omitzero"`
	}

	// Copy is a witness's copy of a source's records. It may lack the last
	// ones, unless it is final.
	Copy struct {
		Source  Source   `cbor:"1,keyasint,omitzero"`
		Records []Record `cbor:"2,keyasint,omitzero"`
		Final   bool     `cbor:"3,keyasint,omitzero"`
	}

	// Receiver has the methods that peers call, in the form of net/rpc.
	Receiver struct{ ledger *Ledger }
)

// Hold takes copies of a peer's records.
func (r *Receiver) Hold(args HoldArgs, _ *HoldReply) (err error) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c := l.copies[args.Source]
	if c == nil {
		l.expire(now)
		c = &copied{cells: make(map[cellKey]Totals)}
		l.copies[args.Source] = c
	}
	c.touched = now
	c.final = c.final || args.Final
	oldest := now.Add(-l.options.Retention).Unix()
	for _, record := range args.Records {
		key := cellKey{record.Window, record.Workspace}
		c.cells[key] = c.cells[key].newer(record.Totals)
	}
	for key := range c.cells {
		if key.window < oldest {
			delete(c.cells, key)
		}
	}
	return nil
}

// Collect returns a window's records to a reporter.
func (r *Receiver) Collect(args CollectArgs, reply *CollectReply) (err error) {
	l := r.ledger
	reply.Source = l.options.Source
	reply.WatermarkPassed = l.passed(args.Window)
	reply.Records = l.cellsOf(args.Window, args.Shard, args.Shards)
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Oldest = oldest(0, l.cells)
	for _, c := range l.copies {
		reply.Oldest = oldest(reply.Oldest, c.cells)
	}
	for source, c := range l.copies {
		if len(selectCells(c.cells, args.Window, args.Shard, args.Shards)) > 0 {
			reply.AvailableCopies = append(reply.AvailableCopies, source)
		}
	}
	for _, source := range args.RequestedCopies {
		if c := l.copies[source]; c != nil {
			reply.Copies = append(reply.Copies, Copy{
				Source: source, Records: selectCells(c.cells, args.Window, args.Shard, args.Shards), Final: c.final,
			})
		}
	}
	return nil
}

// witness returns the node that holds the i-th copy. The second is in another
// failure domain than the first where there is one, so that the loss of a whole
// domain leaves a copy.
func (l *Ledger) witness(i int) (witness Member, ok bool) {
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
		return witness, false
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

// oldest returns the older of a window and those of the records; 0 means none.
func oldest(window int64, cells map[cellKey]Totals) int64 {
	for key := range cells {
		if window == 0 || key.window < window {
			window = key.window
		}
	}
	return window
}
