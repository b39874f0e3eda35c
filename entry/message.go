package entry

import (
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/guavagauge/guavagauge/dispatch"
)

const (
	// gossipTick is the time between messages to the nodes of the same failure
	// domain while there are at most smallDomainPeers of them.
	gossipTick = 25 * time.Millisecond
	// remoteGossipInterval is the time between messages to other failure domains.
	// It is longer because traffic between domains is paid by volume.
	remoteGossipInterval = 250 * time.Millisecond
	// smallDomainPeers is the number of peers in the domain up to which messages
	// are sent at every gossipTick. With more peers, the interval grows in
	// proportion to their number.
	smallDomainPeers = 4
	// countsInterval is the time between messages with usage counts.
	countsInterval = 500 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer. It stays below 64 KiB, the
	// limit of UDP, and leaves room beside the 45 KB that package dispatch allows
	// for cache inserts. A longer datagram is cut off and can't be decoded.
	maxDatagramBytes = 60 << 10
)

type (
	// message is the datagram that nodes send each other.
	message struct {
		_               struct{} `cbor:",toarray"`
		Node            string
		FailureDomain   string
		WallNanos       int64 // the sender's wall clock, in nanoseconds since 1970
		ConfigAgeMs     int64 // time since the store last answered about the sender's configuration
		CannotReadStore bool  // the sender can't be the store reader: its store calls fail, or it is stopping
		Loads           []dispatch.Load
		CacheInserts    []dispatch.CacheInsert
		Counts          map[int64]counts // of the sender, by usage window
		Crashes         []crash
		// Aggregate means that Loads and CacheInserts are those of all nodes of the
		// sender's failure domain. The store reader of a domain sends such messages
		// to other domains.
		Aggregate bool
		Relayed   []relayedMessage
	}

	// relayedMessage is an aggregate message of another failure domain that its
	// recipient relays within its own domain.
	relayedMessage struct {
		_             struct{} `cbor:",toarray"`
		FailureDomain string
		Node          string
		Crashes       []crash
		Offset        time.Duration // of the original sender's wall clock from that of the relaying node
		Loads         []dispatch.Load
		CacheInserts  []dispatch.CacheInsert
	}
)

// gossipInterval returns the time between messages to the nodes of the same
// failure domain. Half a gossipTick is subtracted because the sender compares it
// with the elapsed time only at each tick.
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

// gossipLocal sends a message to the nodes of the same failure domain.
func (p *peers) gossipLocal(now time.Time, withCounts bool) {
	n := p.node
	m := p.newMessage(now)
	m.Loads, m.CacheInserts, m.Crashes = n.dispatcher.Loads(now), n.dispatcher.CacheInserts(now), n.crashes.recentCrashes(now, &p.announcedLocal)
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
	p.send(m, p.localExtension(now), addresses)
}

// gossipRemote sends the loads, cache inserts and crashes of this failure domain
// to one node of every other domain, which relays them there.
func (p *peers) gossipRemote(now time.Time) {
	n := p.node
	m := p.newMessage(now)
	m.Aggregate = true
	m.CacheInserts, m.Crashes = n.dispatcher.CacheInserts(now), n.crashes.recentCrashes(now, &p.announcedRemote)
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
		case peer.domain == "": // known only from an AccountRequest
		case peer.domain != n.settings.FailureDomain:
			// Prefers the node that sent an aggregate last, since it is probably the
			// store reader there. Otherwise the map's order picks a random node.
			if chosen := recipients[peer.domain]; chosen == nil || peer.lastAggregate.After(chosen.lastAggregate) && now.Sub(peer.lastAggregate) < peerTTL {
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
	p.send(m, p.remoteExtension(now), addresses)
}

// newMessage returns a message with the fields that all messages have.
func (p *peers) newMessage(now time.Time) (m message) {
	return message{
		Node: p.node.settings.Name, FailureDomain: p.node.settings.FailureDomain, WallNanos: now.UnixNano(),
		ConfigAgeMs: p.node.storeAge().Milliseconds(), CannotReadStore: p.node.storeFailing() || p.node.stopping.Load(),
	}
}

// send sends a message with its extension to each of the addresses.
func (p *peers) send(m message, x extension, addresses []netip.AddrPort) {
	data, err := cbor.Marshal(m)
	if err == nil {
		data, err = x.appendTo(data)
	}
	if err != nil {
		p.node.logger.Error("message can't be encoded", "Error", err)
		return
	}
	for _, address := range addresses {
		if _, err := p.conn.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil && p.node.ctx.Err() == nil {
			p.node.logger.Debug("message to peer not sent", "To", address, "Error", err)
		}
	}
}

// receive decodes and applies a message from another node. An aggregate message is
// applied like one that this node relayed to itself.
func (p *peers) receive(data []byte, from net.Addr, now time.Time) {
	var m message
	encodedExtension, err := cbor.UnmarshalFirst(data, &m)
	if err != nil || m.Node == p.node.settings.Name {
		p.node.logger.Warn("invalid message from peer", "From", from, "Error", err)
		return
	}
	p.record(&m, from, now)
	if err = p.applyExtension(&m, encodedExtension, now); err != nil {
		p.node.count("messages", "BadExtension")
		p.node.logger.Warn("invalid extension of a message from peer", "From", from, "Error", err)
	}
	// The crashes of an aggregate message are also in the last of m.Relayed. Events
	// that are already counted have no effect.
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

// record keeps what a message says of its sender. It adds the content of an
// aggregate message to m.Relayed.
func (p *peers) record(m *message, from net.Addr, now time.Time) {
	offset := time.Duration(m.WallNanos - now.UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
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
		offset = 0 // the appended message has it
	} else {
		peer.loads, peer.cacheInserts, peer.crashes = m.Loads, m.CacheInserts, m.Crashes
	}
	for _, r := range m.Relayed {
		p.remoteClocks[r.FailureDomain] = clockOffset{offset: offset + r.Offset, at: now}
	}
}
