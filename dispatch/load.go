package dispatch

import (
	"slices"
	"time"
)

const (
	// peerLoadTTL is how long the load that another node reported is used. It is
	// several times the interval of 250 ms at which other failure domains get
	// reports, so that a load stays if some of them are lost. The load of a failed
	// node is counted for this long.
	peerLoadTTL = 1500 * time.Millisecond
	// prefillReportPeriod is how long the end of a prefill is reported to other
	// nodes. It is repeated since datagrams can be lost, and must exceed the
	// interval of 250 ms at which other failure domains get reports.
	prefillReportPeriod = 300 * time.Millisecond
)

type (
	// Load is the load that one node, or all nodes of a failure domain together,
	// have put on an upstream.
	Load struct {
		_        struct{} `cbor:",toarray"`
		Upstream string
		// PendingPrefillMs is the expected duration of all prefills that haven't
		// ended, and BusyMs the time since the first of them was sent.
		PendingPrefillMs, BusyMs int64
		Running                  int
		// PrefilledAgoMs is the time since the last prefill ended or was given
		// up. It is set only if Prefilled is.
		Prefilled      bool
		PrefilledAgoMs int64
		// UnsharedTokens counts all tokens that the upstream has prefilled since
		// the reporting node has known it, in parts that aren't announced as
		// cache inserts.
		UnsharedTokens int64
	}

	peerLoad struct {
		source         string // a node of this failure domain, or another failure domain
		pendingPrefill time.Duration
		busySince      time.Time
		running        int
		receivedAt     time.Time
	}
)

// backlog returns the expected time until an engine has prefilled all prompts
// that were sent to it. The engine prefills one prompt at a time. It began the
// current one when the last prefill ended or, if that is later, when the first
// pending prompt was sent. The time since then is subtracted once from the sum
// over all nodes, not once for each node.
func (u *upstream) backlog(now time.Time) (wait time.Duration) {
	wait = u.pendingPrefill
	currentSince := now
	if wait > 0 {
		currentSince = u.busySince
	}
	for i := range u.peerLoads {
		if peer := &u.peerLoads[i]; peer.pendingPrefill > 0 && now.Sub(peer.receivedAt) < peerLoadTTL {
			wait += peer.pendingPrefill
			currentSince = earlier(currentSince, peer.busySince)
		}
	}
	if u.lastPrefill.After(currentSince) {
		currentSince = u.lastPrefill
	}
	// At most half is subtracted: an engine that is slower than expected hasn't
	// emptied its queue.
	return max(0, wait-min(now.Sub(currentSince), wait/2))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Loads returns the load that this node has put on each upstream, to be reported
// to other nodes. Upstreams that have neither jobs nor a recent prefill are left
// out.
func (d *Dispatcher) Loads(now time.Time) (loads []Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		sincePrefill := now.Sub(u.ownLastPrefill)
		if len(u.jobs) == 0 && sincePrefill > prefillReportPeriod {
			continue
		}
		l := Load{Upstream: u.ID, PendingPrefillMs: u.pendingPrefill.Milliseconds(), Running: len(u.jobs), UnsharedTokens: u.ownUnsharedTokens}
		if sincePrefill < prefillReportPeriod {
			l.Prefilled, l.PrefilledAgoMs = true, sincePrefill.Milliseconds()
		}
		if u.pendingPrefill > 0 {
			l.BusyMs = now.Sub(u.busySince).Milliseconds()
		}
		loads = append(loads, l)
	}
	return loads
}

// Plus returns the sum of two loads on the same upstream. UnsharedTokens of the
// sum is 0; DomainUnsharedTokens has that of a failure domain.
func (l Load) Plus(other Load) (sum Load) {
	sum = Load{
		Upstream: l.Upstream, PendingPrefillMs: l.PendingPrefillMs + other.PendingPrefillMs, BusyMs: max(l.BusyMs, other.BusyMs), Running: l.Running + other.Running,
		Prefilled: l.Prefilled || other.Prefilled, PrefilledAgoMs: l.PrefilledAgoMs,
	}
	if other.Prefilled && (!l.Prefilled || other.PrefilledAgoMs < l.PrefilledAgoMs) {
		sum.PrefilledAgoMs = other.PrefilledAgoMs
	}
	return sum
}

// SetPeerLoads replaces the loads that another node of the failure domain has
// reported. Upstreams that loads doesn't list have no load from that node.
func (d *Dispatcher) SetPeerLoads(peer string, loads []Load, now time.Time) {
	d.setLoads(peer, peer, loads, now, func(u *upstream, tokens int64) { u.domainUnsharedTokens += tokens })
}

// SetDomainLoads replaces the loads that another failure domain has put on
// upstreams, as summed up by the reporter, one of its nodes.
func (d *Dispatcher) SetDomainLoads(domain, reporter string, loads []Load, now time.Time) {
	d.setLoads(domain, reporter, loads, now, func(*upstream, int64) {})
}

// DomainUnsharedTokens returns the UnsharedTokens of all nodes of the failure
// domain for one upstream, as far as this node has received their loads. It is
// counted separately, since the sum over the last loads would drop whenever a
// node leaves out an upstream that has no load from it.
func (d *Dispatcher) DomainUnsharedTokens(id string) (tokens int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.upstreams[id]; u != nil {
		tokens = u.ownUnsharedTokens + u.domainUnsharedTokens
	}
	return tokens
}

// setLoads replaces the loads of a source: a node or a failure domain. Increases
// of UnsharedTokens are computed for each reporter, since the counts of two nodes
// of a domain differ by the loads that each has received.
func (d *Dispatcher) setLoads(source, reporter string, loads []Load, now time.Time, countTokens func(u *upstream, tokens int64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Only the upstreams that the source listed last are visited, as messages are
	// many and list few of the upstreams.
	listed := d.loadedBy[source]
	for _, u := range listed {
		u.peerLoads = slices.DeleteFunc(u.peerLoads, func(l peerLoad) bool { return l.source == source || now.Sub(l.receivedAt) >= peerLoadTTL })
	}
	listed = listed[:0]
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, l := range loads {
		u := d.upstreams[l.Upstream]
		if u == nil {
			continue
		}
		load := peerLoad{
			source: source, pendingPrefill: time.Duration(l.PendingPrefillMs) * time.Millisecond, busySince: ago(l.BusyMs),
			running: l.Running, receivedAt: now,
		}
		if last := len(u.peerLoads) - 1; last >= 0 && u.peerLoads[last].source == source { // listed twice
			u.peerLoads[last] = load
		} else {
			u.peerLoads = append(u.peerLoads, load)
			listed = append(listed, u)
		}
		// The first count of a reporter only sets the base for the next ones, and so
		// does a smaller one than before, which means that the reporter has restarted.
		if last, known := u.peerUnsharedTokens[reporter]; known && l.UnsharedTokens > last {
			u.cache.addUnshared(int(l.UnsharedTokens-last), now)
			countTokens(u, l.UnsharedTokens-last)
		}
		u.peerUnsharedTokens[reporter] = l.UnsharedTokens
		if prefilledAt := ago(l.PrefilledAgoMs); l.Prefilled && prefilledAt.After(u.lastPrefill) {
			u.lastPrefill = prefilledAt
		}
	}
	d.loadedBy[source] = listed
}
