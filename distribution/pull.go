package distribution

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

const (
	pullTimeout = 2 * time.Second
	// fullPullTimeout is the timeout of a node's pulls until it has a document, and
	// of the pull after a checksum mismatch. A node that is too far behind for
	// deltas gets the full document as well, but within pullTimeout.
	fullPullTimeout = 15 * time.Second
	notifyTimeout   = time.Second
)

type (
	// Receiver is the net/rpc receiver whose methods other nodes call.
	Receiver struct{ follower *Follower }

	// PullArgs are the arguments of Pull. From is the caller's name, Revision
	// that of its document.
	PullArgs struct {
		From         string `cbor:"1,keyasint,omitzero"`
		Revision     uint64 `cbor:"2,keyasint,omitzero"`
		Full         bool   `cbor:"3,keyasint,omitzero"` // return the full document, after a checksum mismatch
		RevisionOnly bool   `cbor:"4,keyasint,omitzero"` // return no entries
	}

	// PullReply holds the changes up to the replying node's revision, or all
	// entries if Full, and the checksum of its whole document. The ages are as of
	// the reply. The caller subtracts them from the time at which it sent the
	// call, so that it never takes a confirmation or a report for newer than it
	// is.
	PullReply struct {
		Revision  uint64            `cbor:"1,keyasint,omitzero"`
		Checksum  uint64            `cbor:"2,keyasint,omitzero"`
		Full      bool              `cbor:"3,keyasint,omitzero"`
		Set       map[string][]byte `cbor:"4,keyasint,omitzero"`
		Deleted   []string          `cbor:"5,keyasint,omitzero"`
		Confirmed bool              `cbor:"6,keyasint,omitzero"`
		Age       time.Duration     `cbor:"7,keyasint,omitzero"` // since the document was confirmed
		Reports   []StoreReport     `cbor:"8,keyasint,omitzero"`
	}

	// StoreReport is a reader's report on whether it could reach the store at a
	// time that is Age ago.
	StoreReport struct {
		Reader string        `cbor:"1,keyasint,omitzero"`
		Age    time.Duration `cbor:"2,keyasint,omitzero"`
		OK     bool          `cbor:"3,keyasint,omitzero"`
	}

	// NotifyArgs are the arguments of Notify. From is the caller's name,
	// Revision the new revision.
	NotifyArgs struct {
		From     string `cbor:"1,keyasint,omitzero"`
		Revision uint64 `cbor:"2,keyasint,omitzero"`
	}

	// NotifyReply is the empty reply of Notify.
	NotifyReply struct {
		Unused bool `cbor:"1,keyasint,omitzero"`
	}
)

// Receiver returns the net/rpc receiver to register under the name Service.
func (f *Follower) Receiver() *Receiver { return &Receiver{follower: f} }

// Pull returns the changes since the caller's revision. If the caller has a newer
// revision, this node pulls from it.
func (r *Receiver) Pull(args *PullArgs, reply *PullReply) (err error) {
	f := r.follower
	f.pullIfNewer(args.From, args.Revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	document := f.document.Load()
	reply.Revision, reply.Checksum = document.Revision, document.checksum
	if !args.RevisionOnly && (args.Full || args.Revision < document.Revision) {
		delta, ok := f.deltaSince(args.Revision)
		if reply.Full = !ok || args.Full; reply.Full {
			reply.Set = document.Entries
		} else {
			reply.Set, reply.Deleted = delta.Set, delta.Deleted
		}
	}
	if reply.Confirmed = !f.confirmedAt.IsZero(); reply.Confirmed {
		reply.Age = time.Since(f.confirmedAt)
	}
	for name, report := range f.reports {
		if age := time.Since(report.at); age <= reportWindow {
			reply.Reports = append(reply.Reports, StoreReport{Reader: name, Age: age, OK: report.ok})
		}
	}
	return f.ctx.Err()
}

// Notify handles the announcement of a new revision: it starts a pull from the
// caller and returns.
func (r *Receiver) Notify(args *NotifyArgs, _ *NotifyReply) (err error) {
	r.follower.pullIfNewer(args.From, args.Revision)
	return r.follower.ctx.Err()
}

// pullIfNewer starts a pull from the named node if its revision is newer than
// this node's. It does nothing if the node isn't in the list of members yet.
func (f *Follower) pullIfNewer(from string, revision uint64) {
	if revision <= f.document.Load().Revision {
		return
	}
	address, ok := f.addressOf(from)
	if !ok {
		return
	}
	select {
	case f.pullSlots <- struct{}{}:
		go func() {
			defer func() { <-f.pullSlots }()
			if f.document.Load().Revision < revision {
				f.pull(address, false)
			}
		}()
	default: // too many pulls are in progress; a periodic pull gets the change
	}
}

// tick starts or stops this node's work as a reader, according to its position
// in the tree, and pulls from its parent or, as a reader, from another reader. If
// the previous pull from the parent failed or is still in progress, it also pulls
// from a random member.
func (f *Follower) tick() {
	p := f.treePosition()
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
	for _, m := range f.randomMembers(1) {
		go f.pull(m.Address, false)
	}
}

// pullFromReader pulls from a random other reader, of any failure domain, from
// which this node has a report. Changes and confirmations thus pass between
// domains without depending on pulls from random members. A reader that can't
// reach the store pulls from one that can, because all nodes of its domain get
// their confirmations through it.
func (f *Follower) pullFromReader() {
	f.mu.Lock()
	var connected, candidates []string
	for name, r := range f.reports {
		if name == f.options.Self.Name {
			continue
		}
		candidates = append(candidates, name)
		if r.ok {
			connected = append(connected, name)
		}
	}
	own := f.reports[f.options.Self.Name]
	f.mu.Unlock()
	if !own.ok && len(connected) > 0 {
		candidates = connected
	}
	if len(candidates) == 0 {
		return
	}
	if address, ok := f.addressOf(candidates[rand.IntN(len(candidates))]); ok {
		go f.pull(address, false)
	}
}

// pullFromNewestPeer asks some members for their revision and pulls from the one
// with the newest. It runs before this node reads the store, because the store
// may return an older revision than this node had before a restart.
func (f *Follower) pullFromNewestPeer() {
	const pause = 100 * time.Millisecond
	for start := time.Now(); time.Since(start) < f.options.JoinWait; {
		others := f.randomMembers(startupPeers)
		revisions := make(chan [2]uint64, len(others)) // index and revision
		for i, m := range others {
			go func() {
				ctx, cancel := context.WithTimeout(f.ctx, pullTimeout)
				defer cancel()
				var reply PullReply
				args := &PullArgs{From: f.options.Self.Name, RevisionOnly: true}
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

// pull gets the changes since this node's revision from another node and applies
// them, along with the other node's confirmation and reports. If the checksum
// doesn't match, it pulls the full document instead.
func (f *Follower) pull(address netip.AddrPort, full bool) (ok bool) {
	current := f.document.Load()
	timeout := pullTimeout
	if current.Revision == 0 || full {
		timeout = fullPullTimeout
	}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	var reply PullReply
	sent := time.Now()
	args := &PullArgs{From: f.options.Self.Name, Revision: current.Revision, Full: full}
	if err := f.options.Peers.Call(ctx, address, Service+".Pull", args, &reply); err != nil {
		return false
	}
	if err := f.applyReply(&reply, current.Revision); err != nil {
		f.options.Logger.Warn("pulled document does not match the peer's checksum", "Peer", address, "Error", err)
		return !full && f.pull(address, true)
	}
	if reply.Confirmed {
		f.confirm(reply.Revision, sent.Add(-reply.Age))
	}
	for _, r := range reply.Reports {
		f.recordReport(r.Reader, sent.Add(-r.Age), r.OK)
	}
	return true
}

// applyReply applies the changes in a reply to a pull since revision from. It
// fails if the resulting document doesn't match the reply's checksum.
func (f *Follower) applyReply(reply *PullReply, from uint64) (err error) {
	f.advanceMu.Lock()
	defer f.advanceMu.Unlock()
	current := f.document.Load() // may be newer than from, to which the delta applies as well
	if reply.Revision <= current.Revision {
		return nil
	}
	if reply.Full {
		next := newDocument(reply.Revision, reply.Set)
		if next.checksum != reply.Checksum {
			return errors.Errorf("checksum mismatch in the full document of revision %d", reply.Revision)
		}
		f.fullDocuments.Inc()
		f.advance(next, nil)
		return nil
	}
	delta := Delta{From: from, To: reply.Revision, Set: reply.Set, Deleted: reply.Deleted}
	next := current.apply(delta)
	if next.checksum != reply.Checksum {
		return errors.Errorf("checksum mismatch after the changes from revision %d to %d", from, reply.Revision)
	}
	f.advance(next, []Delta{delta})
	return nil
}

// notifyChildren announces a revision to this node's children in the tree.
func (f *Follower) notifyChildren(revision uint64) {
	args := &NotifyArgs{From: f.options.Self.Name, Revision: revision}
	for _, child := range f.treePosition().children {
		go func() {
			ctx, cancel := context.WithTimeout(f.ctx, notifyTimeout)
			defer cancel()
			var reply NotifyReply
			f.options.Peers.Call(ctx, child.Address, Service+".Notify", args, &reply) // if it fails, the child's next pull gets the change
		}()
	}
}
