package distribution

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

const (
	pullTimeout   = 2 * time.Second
	wholeTimeout  = 15 * time.Second // a node without a document waits for all of it
	notifyTimeout = time.Second
)

type (
	// Receiver holds the methods that other nodes call.
	Receiver struct{ follower *Follower }

	// PullArgs ask for the changes since a revision.
	PullArgs struct {
		From     string `cbor:"1,keyasint,omitzero"`
		Revision uint64 `cbor:"2,keyasint,omitzero"`
		Whole    bool   `cbor:"3,keyasint,omitzero"` // the deltas did not fit
		Peek     bool   `cbor:"4,keyasint,omitzero"` // the answer's revision is enough
	}

	// PullReply leads to the receiver's revision. Its ages count from the
	// moment of the reply, so that the caller, who knows when it asked, can't
	// take old news for fresh.
	PullReply struct {
		Revision  uint64            `cbor:"1,keyasint,omitzero"`
		Sum       uint64            `cbor:"2,keyasint,omitzero"`
		Whole     bool              `cbor:"3,keyasint,omitzero"`
		Set       map[string][]byte `cbor:"4,keyasint,omitzero"`
		Deleted   []string          `cbor:"5,keyasint,omitzero"`
		Confirmed bool              `cbor:"6,keyasint,omitzero"`
		Age       time.Duration     `cbor:"7,keyasint,omitzero"` // since the confirmation
		Reports   []Report          `cbor:"8,keyasint,omitzero"`
	}

	// Report is what a reader said about the store.
	Report struct {
		Reader string        `cbor:"1,keyasint,omitzero"`
		Age    time.Duration `cbor:"2,keyasint,omitzero"`
		OK     bool          `cbor:"3,keyasint,omitzero"`
	}

	// NotifyArgs announce a new revision.
	NotifyArgs struct {
		From     string `cbor:"1,keyasint,omitzero"`
		Revision uint64 `cbor:"2,keyasint,omitzero"`
	}

	// Empty is an empty reply.
	Empty struct {
		Unused bool `cbor:"1,keyasint,omitzero"`
	}
)

// Receiver returns the receiver to register under the name Service.
func (f *Follower) Receiver() *Receiver { return &Receiver{follower: f} }

// Pull answers with the changes since the caller's revision.
func (r *Receiver) Pull(args *PullArgs, reply *PullReply) (err error) {
	f := r.follower
	f.hear(args.From, args.Revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	document := f.document.Load()
	reply.Revision, reply.Sum = document.Revision, document.sum
	if !args.Peek && (args.Whole || args.Revision < document.Revision) {
		delta, ok := f.deltaSince(args.Revision)
		if reply.Whole = !ok || args.Whole; reply.Whole {
			reply.Set = document.Entries
		} else {
			reply.Set, reply.Deleted = delta.Set, delta.Deleted
		}
	}
	if reply.Confirmed = !f.confirmed.IsZero(); reply.Confirmed {
		reply.Age = time.Since(f.confirmed)
	}
	for name, heard := range f.reports {
		if age := time.Since(heard.at); age <= reportWindow {
			reply.Reports = append(reply.Reports, Report{Reader: name, Age: age, OK: heard.ok})
		}
	}
	return f.ctx.Err()
}

// Notify takes in the announcement of a revision.
func (r *Receiver) Notify(args *NotifyArgs, _ *Empty) (err error) {
	r.follower.hear(args.From, args.Revision)
	return r.follower.ctx.Err()
}

// hear pulls from a node that has a newer revision.
func (f *Follower) hear(from string, revision uint64) {
	if revision <= f.document.Load().Revision {
		return
	}
	address, ok := f.addressOf(from)
	if !ok {
		return
	}
	select {
	case f.pulls <- struct{}{}:
		go func() {
			defer func() { <-f.pulls }()
			if f.document.Load().Revision < revision {
				f.pull(address, false)
			}
		}()
	default: // the periodic pulls make up for it
	}
}

// tick takes on this node's role and pulls from its parent. If the parent didn't
// answer the last time, a random member is asked as well.
func (f *Follower) tick() {
	p := f.place()
	f.updateRole(p.reader)
	if p.reader {
		f.pullFromReader()
		return
	}
	f.mu.Lock()
	parentOK := f.parentOK
	f.parentOK = false
	f.mu.Unlock()
	go func() {
		if f.pull(p.parent.Address, false) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.parentOK = true
		}
	}()
	if !parentOK {
		f.pullRandom()
	}
}

func (f *Follower) pullRandom() {
	for _, m := range f.others(1) {
		go f.pull(m.Address, false)
	}
}

// pullFromReader pulls from another reader, so that what one domain's readers
// know doesn't depend on random members. A reader that has lost its own path to
// the store prefers one that hasn't, since the freshness of its whole domain
// comes from there.
func (f *Follower) pullFromReader() {
	f.mu.Lock()
	var able, all []string
	for name, r := range f.reports {
		if name == f.options.Self.Name {
			continue
		}
		all = append(all, name)
		if r.ok {
			able = append(able, name)
		}
	}
	own := f.reports[f.options.Self.Name]
	f.mu.Unlock()
	if !own.ok && len(able) > 0 {
		all = able
	}
	if len(all) == 0 {
		return
	}
	if address, ok := f.addressOf(all[rand.IntN(len(all))]); ok {
		go f.pull(address, false)
	}
}

// askPeers looks for the newest revision among some members before the store is
// asked, since the store may answer with an older one than this node had before
// its restart.
func (f *Follower) askPeers() {
	const pause = 100 * time.Millisecond
	for start := time.Now(); time.Since(start) < f.options.JoinWait; {
		others := f.others(firstPeers)
		revisions := make(chan [2]uint64, len(others)) // index and revision
		for i, m := range others {
			go func() {
				ctx, cancel := context.WithTimeout(f.ctx, pullTimeout)
				defer cancel()
				var reply PullReply
				args := &PullArgs{From: f.options.Self.Name, Peek: true}
				if f.options.Peers.Call(ctx, m.Address, Service+".Pull", args, &reply) != nil {
					reply.Revision = 0
				}
				revisions <- [2]uint64{uint64(i), reply.Revision}
			}()
		}
		var best [2]uint64
		for range others {
			if r := <-revisions; r[1] > best[1] {
				best = r
			}
		}
		if best[1] > 0 && f.pull(others[best[0]].Address, false) {
			return
		}
		if !f.sleep(f.ctx, pause) {
			return
		}
	}
}

// pull takes in the changes and the freshness that another node has.
func (f *Follower) pull(address netip.AddrPort, whole bool) (ok bool) {
	current := f.document.Load()
	timeout := pullTimeout
	if current.Revision == 0 || whole {
		timeout = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	var reply PullReply
	sent := time.Now()
	args := &PullArgs{From: f.options.Self.Name, Revision: current.Revision, Whole: whole}
	if err := f.options.Peers.Call(ctx, address, Service+".Pull", args, &reply); err != nil {
		return false
	}
	if err := f.take(&reply, current.Revision); err != nil {
		f.options.Logger.Warn("deltas do not lead to the peer's document", "Peer", address, "Error", err)
		return !whole && f.pull(address, true)
	}
	if reply.Confirmed {
		f.confirm(reply.Revision, sent.Add(-reply.Age))
	}
	for _, r := range reply.Reports {
		f.note(r.Reader, sent.Add(-r.Age), r.OK)
	}
	return true
}

// take puts the document in force that a reply leads to from a revision.
func (f *Follower) take(reply *PullReply, from uint64) (err error) {
	f.advancing.Lock()
	defer f.advancing.Unlock()
	current := f.document.Load() // may have moved on, which the delta allows for
	if reply.Revision <= current.Revision {
		return nil
	}
	if reply.Whole {
		next := newDocument(reply.Revision, reply.Set)
		if next.sum != reply.Sum {
			return errors.Errorf("revision %d has a wrong sum", reply.Revision)
		}
		f.whole.Inc()
		f.advance(next, nil)
		return nil
	}
	delta := Delta{From: from, To: reply.Revision, Set: reply.Set, Deleted: reply.Deleted}
	next := current.with(delta)
	if next.sum != reply.Sum {
		return errors.Errorf("changes from revision %d to %d have a wrong sum", from, reply.Revision)
	}
	f.advance(next, []Delta{delta})
	return nil
}

// notifyChildren announces a revision in the tree.
func (f *Follower) notifyChildren(revision uint64) {
	args := &NotifyArgs{From: f.options.Self.Name, Revision: revision}
	for _, child := range f.place().children {
		go func() {
			ctx, cancel := context.WithTimeout(f.ctx, notifyTimeout)
			defer cancel()
			var reply Empty
			f.options.Peers.Call(ctx, child.Address, Service+".Notify", args, &reply) // a pull makes up for it
		}()
	}
}
