package entry

import (
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/guavagauge/guavagauge/dispatch"
)

const (
	// tellEvery is the time between messages to nodes of the same failure domain
	// while there are few of them, and tellFarEvery to others, whose traffic is
	// paid by volume.
	gossipTick           = 25 * time.Millisecond
	remoteGossipInterval = 250 * time.Millisecond
	// fewPeers is the number of peers up to which each is told every tellEvery. A
	// node of a larger domain tells the others less often in proportion.
	smallDomainPeers = 4
	// countsEvery is the time between messages with usage counts.
	countsInterval = 500 * time.Millisecond
	// maxDatagramBytes is below the size at which datagrams are split many times.
	maxDatagramBytes = 60 << 10
)

type (
	// message is what nodes of a failure domain tell each other.
	message struct {
		_               struct{} `cbor:",toarray"`
		Node            string
		FailureDomain   string
		WallNanos       int64 // nanoseconds since 1970
		ConfigAgeMs     int64 // since the store confirmed the configuration in force
		CannotReadStore bool  // it can't read the store for others: its calls fail, or it stops
		Loads           []dispatch.Load
		CacheInserts    []dispatch.CacheInsert
		Counts          map[int64]counts
		Crashes         []crash
		// Whole says that Loads and Placed are those of the whole failure domain. Its
		// reader sends such messages to other domains.
		Aggregate bool
		Relayed   []relayedMessage
	}

	// relayed is a message of another failure domain, handed on in this one.
	relayedMessage struct {
		_             struct{} `cbor:",toarray"`
		FailureDomain string
		Node          string
		Crashes       []crash
		Offset        time.Duration // of its sender's wall clock to that of who hands it on
		Loads         []dispatch.Load
		CacheInserts  []dispatch.CacheInsert
	}
)

// tellInterval is the time between messages to the nodes of the same domain.
func (p *peers) gossipInterval() (interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	localPeers := 0
	for _, peer := range p.byName {
		if peer.domain == p.node.settings.FailureDomain {
			localPeers++
		}
	}
	return gossipTick*time.Duration(max(localPeers, smallDomainPeers))/smallDomainPeers - gossipTick/2
}

// tellNear sends a message to the nodes of the same failure domain.
func (p *peers) gossipLocal(now time.Time, withCounts bool) {
	n := p.node
	m := p.newMessage(now)
	m.Loads, m.CacheInserts, m.Crashes = n.dispatcher.Loads(now), n.dispatcher.CacheInserts(now), n.crashes.recentCrashes(now)
	if withCounts {
		m.Counts = n.usage.recentCounts(n.medianNow())
	}
	p.mu.Lock()
	m.Relayed, p.pendingRelays = p.pendingRelays, nil
	var addresses []netip.AddrPort
	for _, peer := range p.byName {
		if peer.domain == n.settings.FailureDomain {
			addresses = append(addresses, peer.address)
		}
	}
	p.mu.Unlock()
	p.send(m, addresses)
}

// tellFar sends the loads and cache inserts of the failure domain to one node
// of each other, which hands them on there.
func (p *peers) gossipRemote(now time.Time) {
	n := p.node
	m := p.newMessage(now)
	m.Aggregate = true
	m.CacheInserts, m.Crashes = n.dispatcher.CacheInserts(now), n.crashes.recentCrashes(now)
	loads := map[string]dispatch.Load{}
	add := func(list []dispatch.Load) {
		for _, l := range list {
			loads[l.Upstream] = l.Plus(loads[l.Upstream])
		}
	}
	add(n.dispatcher.Loads(now))
	p.mu.Lock()
	recipients := map[string]*peerNode{}
	for _, peer := range p.byName {
		switch {
		case peer.domain == "":
		case peer.domain != n.settings.FailureDomain:
			// Who spoke for its domain last goes first. Else the map's order picks one
			// at random.
			if b := recipients[peer.domain]; b == nil || peer.lastAggregate.After(b.lastAggregate) && now.Sub(peer.lastAggregate) < peerTTL {
				recipients[peer.domain] = peer
			}
		case now.Sub(peer.lastSeen) < readerTTL:
			add(peer.loads)
			m.CacheInserts, m.Crashes = append(m.CacheInserts, peer.cacheInserts...), append(m.Crashes, peer.crashes...)
		}
	}
	var addresses []netip.AddrPort
	for _, peer := range recipients {
		addresses = append(addresses, peer.address)
	}
	p.mu.Unlock()
	for _, l := range loads {
		l.UnsharedTokens = n.dispatcher.DomainUnsharedTokens(l.Upstream)
		m.Loads = append(m.Loads, l)
	}
	p.send(m, addresses)
}

func (p *peers) newMessage(now time.Time) (m message) {
	return message{
		Node: p.node.settings.Name, FailureDomain: p.node.settings.FailureDomain, WallNanos: now.UnixNano(),
		ConfigAgeMs: p.node.configAge().Milliseconds(), CannotReadStore: p.node.storeFailing.Load() || p.node.stopping.Load(),
	}
}

func (p *peers) send(m message, addresses []netip.AddrPort) {
	data, err := cbor.Marshal(m)
	if err != nil {
		p.node.logger.Error("message not encoded", "Error", err)
		return
	}
	for _, address := range addresses {
		if _, err := p.conn.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil && p.node.ctx.Err() == nil {
			p.node.logger.Debug("message not sent", "To", address, "Error", err)
		}
	}
}

// take reads a message of another node.
func (p *peers) receive(data []byte, from net.Addr, now time.Time) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.Node == p.node.settings.Name {
		p.node.logger.Warn("message unreadable", "From", from, "Error", err)
		return
	}
	offset := time.Duration(m.WallNanos - now.UnixNano())
	p.mu.Lock()
	peer := p.byName[m.Node]
	if peer == nil {
		peer = &peerNode{}
		p.byName[m.Node] = peer
	}
	if address, ok := from.(*net.UDPAddr); ok {
		peer.address = address.AddrPort()
	}
	peer.domain, peer.lastSeen, peer.cannotReadStore, peer.offset = m.FailureDomain, now, m.CannotReadStore, offset
	peer.configAge = time.Duration(m.ConfigAgeMs) * time.Millisecond
	for window, c := range m.Counts {
		if peer.counts == nil {
			peer.counts = map[int64]counts{}
		}
		peer.counts[window] = maxCounts(peer.counts[window], c)
		peer.trimCounts(window)
	}
	if m.Aggregate {
		peer.lastAggregate = now
		p.pendingRelays = append(p.pendingRelays, relayedMessage{FailureDomain: m.FailureDomain, Node: m.Node, Crashes: m.Crashes, Offset: offset, Loads: m.Loads, CacheInserts: m.CacheInserts})
		m.Relayed = append(m.Relayed, p.pendingRelays[len(p.pendingRelays)-1])
		offset = 0
	} else {
		peer.loads, peer.cacheInserts, peer.crashes = m.Loads, m.CacheInserts, m.Crashes
	}
	for _, r := range m.Relayed {
		p.remoteClocks[r.FailureDomain] = clockOffset{offset: offset + r.Offset, at: now}
	}
	p.mu.Unlock()
	p.node.recordCrashes(m.Crashes, false)
	if !m.Aggregate {
		p.node.dispatcher.SetPeerLoads(m.Node, m.Loads, now)
		p.node.dispatcher.ApplyCacheInserts(m.CacheInserts)
	}
	for _, r := range m.Relayed {
		p.node.recordCrashes(r.Crashes, false)
		p.node.dispatcher.SetDomainLoads(r.FailureDomain, r.Node, r.Loads, now)
		p.node.dispatcher.ApplyCacheInserts(r.CacheInserts)
	}
}
