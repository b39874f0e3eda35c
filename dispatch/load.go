package dispatch

import "time"

const (
	// peerLoadLife is how long the load that another node told counts.
	peerLoadLife = 1500 * time.Millisecond
	// readTold is how long other nodes are told that a prompt was read, in case
	// datagrams are lost. Other failure domains hear four times a second.
	readTold = 300 * time.Millisecond
)

type (
	// Load is what one node, or all of a failure domain, has sent to an upstream.
	Load struct {
		_        struct{} `cbor:",toarray"`
		Upstream string
		// PendingPrefillMs is the time that reading the prompts takes that
		// aren't read, and BusyMs the time since the first of them was sent.
		PendingPrefillMs, BusyMs int64
		Running                  int
		// PrefilledAgoMs is the time since a prompt was last read to its end,
		// if Prefilled.
		Prefilled      bool
		PrefilledAgoMs int64
		// UnsharedTokens counts all tokens that the upstream has read, since it
		// is known, of parts that aren't told as cache inserts.
		UnsharedTokens int64
	}

	peerLoad struct {
		unread    time.Duration
		busySince time.Time
		running   int
		at        time.Time
	}
)

// backlog is the time until all prompts that were sent to an engine are read. It
// reads one after the other: what it has done since the last one ended counts
// once, whichever node sent it.
func (u *upstream) backlog(now time.Time) (wait time.Duration) {
	wait = u.unread
	begun := now
	if wait > 0 {
		begun = u.busySince
	}
	for _, peer := range u.peers {
		if now.Sub(peer.at) < peerLoadLife && peer.unread > 0 {
			wait += peer.unread
			begun = earlier(begun, peer.busySince)
		}
	}
	if u.lastRead.After(begun) {
		begun = u.lastRead
	}
	// An engine that takes longer than expected isn't taken to be done.
	return max(0, wait-min(now.Sub(begun), wait/2))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Loads returns the load that this node has put on each upstream, to be told
// to other nodes.
func (d *Dispatcher) Loads(now time.Time) (loads []Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		read := now.Sub(u.ownRead)
		if len(u.jobs) == 0 && read > readTold {
			continue
		}
		l := Load{Upstream: u.ID, PendingPrefillMs: u.unread.Milliseconds(), Running: len(u.jobs), UnsharedTokens: u.ownTokens}
		if read < readTold {
			l.Prefilled, l.PrefilledAgoMs = true, read.Milliseconds()
		}
		if u.unread > 0 {
			l.BusyMs = now.Sub(u.busySince).Milliseconds()
		}
		loads = append(loads, l)
	}
	return loads
}

// Plus returns the load of both, on the same upstream, without UnsharedTokens.
func (l Load) Plus(o Load) (sum Load) {
	sum = Load{
		Upstream: l.Upstream, PendingPrefillMs: l.PendingPrefillMs + o.PendingPrefillMs, BusyMs: max(l.BusyMs, o.BusyMs), Running: l.Running + o.Running,
		Prefilled: l.Prefilled || o.Prefilled, PrefilledAgoMs: l.PrefilledAgoMs,
	}
	if o.Prefilled && (!l.Prefilled || o.PrefilledAgoMs < l.PrefilledAgoMs) {
		sum.PrefilledAgoMs = o.PrefilledAgoMs
	}
	return sum
}

// SetPeerLoads takes what another node of the failure domain has sent to
// upstreams. Upstreams that it doesn't list have nothing from it.
func (d *Dispatcher) SetPeerLoads(node string, loads []Load, now time.Time) {
	d.take(node, node, loads, now, func(u *upstream, read int64) { u.domainTokens += read })
}

// SetDomainLoads takes what the nodes of another failure domain have sent to
// upstreams, as one of them, the teller, has added it up.
func (d *Dispatcher) SetDomainLoads(domain, teller string, loads []Load, now time.Time) {
	d.take(domain, teller, loads, now, func(*upstream, int64) {})
}

// DomainUnsharedTokens returns the UnsharedTokens of a load of the failure
// domain's nodes, as far as this one has heard. The sum of their last loads
// isn't it, since nodes leave out upstreams that have nothing from them.
func (d *Dispatcher) DomainUnsharedTokens(id string) (tokens int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.upstreams[id]; u != nil {
		tokens = u.ownTokens + u.domainTokens
	}
	return tokens
}

// take notes loads under a name. UnsharedTokens are counted by their teller,
// since two nodes have heard of different ones.
func (d *Dispatcher) take(name, teller string, loads []Load, now time.Time, count func(u *upstream, read int64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		delete(u.peers, name)
	}
	before := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, l := range loads {
		u := d.upstreams[l.Upstream]
		if u == nil {
			continue
		}
		u.peers[name] = peerLoad{
			unread: time.Duration(l.PendingPrefillMs) * time.Millisecond, busySince: before(l.BusyMs), running: l.Running, at: now,
		}
		// A count that falls is that of a node that started again.
		if last, known := u.peerTokens[teller]; known && l.UnsharedTokens > last {
			u.cache.addOthers(int(l.UnsharedTokens-last), now)
			count(u, l.UnsharedTokens-last)
		}
		u.peerTokens[teller] = l.UnsharedTokens
		if read := before(l.PrefilledAgoMs); l.Prefilled && read.After(u.lastRead) {
			u.lastRead = read
		}
	}
}
