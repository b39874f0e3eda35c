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
	tellEvery    = 25 * time.Millisecond
	tellFarEvery = 250 * time.Millisecond
	// fewPeers is the number of peers up to which each is told every tellEvery. A
	// node of a larger domain tells the others less often in proportion.
	fewPeers = 4
	// countsEvery is the time between messages with usage counts.
	countsEvery = 500 * time.Millisecond
	// maxDatagramBytes is below the size at which datagrams are split many times.
	maxDatagramBytes = 60 << 10
)

type (
	// message is what nodes of a failure domain tell each other.
	message struct {
		_             struct{} `cbor:",toarray"`
		Node          string
		FailureDomain string
		Wall          int64 // nanoseconds since 1970
		AgeMs         int64 // since the store confirmed the configuration in force
		Failing       bool  // it can't read the store for others: its calls fail, or it stops
		Loads         []dispatch.Load
		Placed        []dispatch.CacheInsert
		Counts        map[int64]counts
		Crashes       []crash
		// Whole says that Loads and Placed are those of the whole failure domain. Its
		// reader sends such messages to other domains.
		Whole   bool
		Relayed []relayed
	}

	// relayed is a message of another failure domain, handed on in this one.
	relayed struct {
		_             struct{} `cbor:",toarray"`
		FailureDomain string
		Node          string
		Crashes       []crash
		Offset        time.Duration // of its sender's wall clock to that of who hands it on
		Loads         []dispatch.Load
		Placed        []dispatch.CacheInsert
	}
)

// tellInterval is the time between messages to the nodes of the same domain.
func (p *peers) tellInterval() (interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	near := 0
	for _, peer := range p.known {
		if peer.domain == p.node.settings.FailureDomain {
			near++
		}
	}
	return tellEvery*time.Duration(max(near, fewPeers))/fewPeers - tellEvery/2
}

// tellNear sends a message to the nodes of the same failure domain.
func (p *peers) tellNear(now time.Time, withCounts bool) {
	n := p.node
	m := p.message(now)
	m.Loads, m.Placed, m.Crashes = n.dispatcher.Loads(now), n.dispatcher.CacheInserts(now), n.crashes.told(now)
	if withCounts {
		m.Counts = n.usage.open(n.trueNow())
	}
	p.mu.Lock()
	m.Relayed, p.far = p.far, nil
	var to []netip.AddrPort
	for _, peer := range p.known {
		if peer.domain == n.settings.FailureDomain {
			to = append(to, peer.address)
		}
	}
	p.mu.Unlock()
	p.send(m, to)
}

// tellFar sends the loads and cache inserts of the failure domain to one node
// of each other, which hands them on there.
func (p *peers) tellFar(now time.Time) {
	n := p.node
	m := p.message(now)
	m.Whole = true
	m.Placed, m.Crashes = n.dispatcher.CacheInserts(now), n.crashes.told(now)
	loads := map[string]dispatch.Load{}
	add := func(list []dispatch.Load) {
		for _, l := range list {
			loads[l.Upstream] = l.Plus(loads[l.Upstream])
		}
	}
	add(n.dispatcher.Loads(now))
	p.mu.Lock()
	best := map[string]*peerNode{}
	for _, peer := range p.known {
		switch {
		case peer.domain == "":
		case peer.domain != n.settings.FailureDomain:
			// Who spoke for its domain last goes first. Else the map's order picks one
			// at random.
			if b := best[peer.domain]; b == nil || peer.whole.After(b.whole) && now.Sub(peer.whole) < peerLife {
				best[peer.domain] = peer
			}
		case now.Sub(peer.heard) < readerLife:
			add(peer.loads)
			m.Placed, m.Crashes = append(m.Placed, peer.placed...), append(m.Crashes, peer.crashes...)
		}
	}
	var to []netip.AddrPort
	for _, peer := range best {
		to = append(to, peer.address)
	}
	p.mu.Unlock()
	for _, l := range loads {
		l.UnsharedTokens = n.dispatcher.DomainUnsharedTokens(l.Upstream)
		m.Loads = append(m.Loads, l)
	}
	p.send(m, to)
}

func (p *peers) message(now time.Time) (m message) {
	return message{
		Node: p.node.settings.Name, FailureDomain: p.node.settings.FailureDomain, Wall: now.UnixNano(),
		AgeMs: p.node.age().Milliseconds(), Failing: p.node.storeFailing.Load() || p.node.stopping.Load(),
	}
}

func (p *peers) send(m message, to []netip.AddrPort) {
	text, err := cbor.Marshal(m)
	if err != nil {
		p.node.logger.Error("message not encoded", "Error", err)
		return
	}
	for _, address := range to {
		if _, err := p.conn.WriteTo(text, net.UDPAddrFromAddrPort(address)); err != nil && p.node.ctx.Err() == nil {
			p.node.logger.Debug("message not sent", "To", address, "Error", err)
		}
	}
}

// take reads a message of another node.
func (p *peers) take(text []byte, from net.Addr, now time.Time) {
	var m message
	if err := cbor.Unmarshal(text, &m); err != nil || m.Node == p.node.settings.Name {
		p.node.logger.Warn("message unreadable", "From", from, "Error", err)
		return
	}
	offset := time.Duration(m.Wall - now.UnixNano())
	p.mu.Lock()
	peer := p.known[m.Node]
	if peer == nil {
		peer = &peerNode{}
		p.known[m.Node] = peer
	}
	if address, ok := from.(*net.UDPAddr); ok {
		peer.address = address.AddrPort()
	}
	peer.domain, peer.heard, peer.failing, peer.offset = m.FailureDomain, now, m.Failing, offset
	peer.age = time.Duration(m.AgeMs) * time.Millisecond
	for window, c := range m.Counts {
		if peer.counts == nil {
			peer.counts = map[int64]counts{}
		}
		peer.counts[window] = larger(peer.counts[window], c)
		peer.trim(window)
	}
	if m.Whole {
		peer.whole = now
		p.far = append(p.far, relayed{FailureDomain: m.FailureDomain, Node: m.Node, Crashes: m.Crashes, Offset: offset, Loads: m.Loads, Placed: m.Placed})
		m.Relayed = append(m.Relayed, p.far[len(p.far)-1])
		offset = 0
	} else {
		peer.loads, peer.placed, peer.crashes = m.Loads, m.Placed, m.Crashes
	}
	for _, r := range m.Relayed {
		p.farClocks[r.FailureDomain] = clockOffset{offset: offset + r.Offset, at: now}
	}
	p.mu.Unlock()
	p.node.takeCrashes(m.Crashes, false)
	if !m.Whole {
		p.node.dispatcher.SetPeerLoads(m.Node, m.Loads, now)
		p.node.dispatcher.ApplyCacheInserts(m.Placed)
	}
	for _, r := range m.Relayed {
		p.node.takeCrashes(r.Crashes, false)
		p.node.dispatcher.SetDomainLoads(r.FailureDomain, r.Node, r.Loads, now)
		p.node.dispatcher.ApplyCacheInserts(r.Placed)
	}
}
