package entry

import (
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/store"
)

const (
	nodePrefix = "guavagauge/node/"
	// nodeLease outlives the longest outage of the store that is expected. Entries
	// of nodes that are gone only cost datagrams.
	nodeLease = time.Minute
	// nodeRenew is the time between renewals of the node's entry and listings of
	// the others.
	nodeRenew = 6 * time.Second
	// nodeRetry is the time between tries to register and the first listings,
	// while nodes start together.
	nodeRetry = time.Second
	// firstListings are made at intervals of nodeRetry.
	firstListings = 4
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
	// peerLife is how long a node that is silent counts as alive.
	peerLife = 3 * time.Second
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
		Placed        []dispatch.Placement
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
		Crashes       []crash
		Offset        time.Duration // of its sender's wall clock to that of who hands it on
		Loads         []dispatch.Load
		Placed        []dispatch.Placement
	}

	// peers are the other nodes.
	peers struct {
		node *Node
		conn net.PacketConn

		mu    sync.Mutex
		known map[string]*peerNode // by name
		wrote map[int64]time.Time  // windows whose counts this node wrote
		late  map[int64]bool       // windows of which counts came after that
		// far holds the messages of other domains that are to be handed on.
		far []relayed
		// farClocks holds the offsets of clocks in other domains.
		farClocks map[string]clockOffset
	}

	clockOffset struct {
		offset time.Duration
		at     time.Time
	}

	peerNode struct {
		address netip.AddrPort
		domain  string
		heard   time.Time
		age     time.Duration // of its configuration
		failing bool
		offset  time.Duration // of its wall clock to this node's
		whole   time.Time     // when it last spoke for another failure domain
		loads   []dispatch.Load
		placed  []dispatch.Placement
		crashes []crash
		counts  map[int64]counts
	}

	// nodeEntry is a node's entry in the store.
	nodeEntry struct {
		Address       netip.AddrPort
		FailureDomain string
	}
)

// newPeers starts to talk to other nodes.
func newPeers(n *Node, listen func(address netip.AddrPort) (conn net.PacketConn, err error)) (p *peers, err error) {
	p = &peers{
		node: n, known: map[string]*peerNode{}, wrote: map[int64]time.Time{}, late: map[int64]bool{},
		farClocks: map[string]clockOffset{},
	}
	if p.conn, err = listen(n.settings.Listen.Peer); err != nil {
		return nil, err
	}
	go func() {
		<-n.ctx.Done()
		p.conn.Close()
	}()
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			size, from, err := p.conn.ReadFrom(buffer)
			if n.ctx.Err() != nil {
				return
			}
			if err != nil {
				n.logger.Warn("datagram not read", "Error", err)
				continue
			}
			p.take(buffer[:size], from, time.Now())
		}
	}()
	go func() {
		ticker := time.NewTicker(tellEvery)
		defer ticker.Stop()
		var near, far, counted time.Time
		for {
			select {
			case now := <-ticker.C:
				if now.Sub(near) < p.tellInterval() {
					continue
				}
				near = now
				withCounts := now.Sub(counted) >= countsEvery
				if withCounts {
					counted = now
				}
				p.tellNear(now, withCounts)
				if now.Sub(far) >= tellFarEvery && n.isReader() {
					far = now
					p.tellFar(now)
				}
			case <-n.ctx.Done():
				return
			}
		}
	}()
	go func() { p.register() }()
	return p, nil
}

// register keeps the node's entry in the store, and lists the others.
func (p *peers) register() {
	n := p.node
	value, err := json.Marshal(nodeEntry{Address: n.settings.Listen.Peer, FailureDomain: n.settings.FailureDomain})
	if err != nil {
		n.logger.Error("node not registered", "Error", err)
		return
	}
	var lease store.LeaseID
	for round := 0; n.ctx.Err() == nil; round++ {
		if lease != 0 {
			if _, err = n.store.KeepAlive(n.ctx, lease); store.Classify(err) == store.NotApplied {
				lease = 0
			}
		}
		if lease == 0 {
			if lease, err = n.store.Grant(n.ctx, nodeLease); err == nil {
				_, err = n.store.Put(n.ctx, store.PutRequest{
					Key: nodePrefix + n.settings.Name, Value: value, IfVersion: store.AnyVersion, Lease: lease,
				})
			}
			if err != nil {
				n.logger.Warn("node not registered", "Error", err)
				lease = 0
			}
		}
		if entries, _, err := n.store.Range(n.ctx, nodePrefix, true); err != nil {
			n.logger.Warn("nodes not listed", "Error", err)
		} else {
			p.replace(entries)
		}
		wait := nodeRenew
		if lease == 0 || round < firstListings {
			wait = nodeRetry
		}
		select {
		case <-time.After(wait):
		case <-n.ctx.Done():
		}
	}
}

// replace takes the listing of all nodes.
func (p *peers) replace(entries []store.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		var node nodeEntry
		if err := json.Unmarshal(entry.Value, &node); err != nil {
			p.node.logger.Warn("node entry unreadable", "Key", entry.Key, "Error", err)
			continue
		}
		name := strings.TrimPrefix(entry.Key, nodePrefix)
		if name == p.node.settings.Name {
			continue
		}
		listed[name] = true
		known := p.known[name]
		if known == nil {
			known = &peerNode{}
			p.known[name] = known
		}
		known.address, known.domain = node.Address, node.FailureDomain
	}
	for name, known := range p.known {
		if !listed[name] && time.Since(known.heard) > peerLife {
			delete(p.known, name)
		}
	}
	p.node.budget.share(len(p.known) + 1)
}

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
	m.Loads, m.Placed, m.Crashes = n.dispatcher.Backlogs(now), n.dispatcher.Placements(now), n.crashes.told(now)
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

// tellFar sends the loads and placements of the failure domain to one node of
// each other, which hands them on there.
func (p *peers) tellFar(now time.Time) {
	n := p.node
	m := p.message(now)
	m.Whole = true
	m.Placed, m.Crashes = n.dispatcher.Placements(now), n.crashes.told(now)
	loads := map[string]dispatch.Load{}
	add := func(list []dispatch.Load) {
		for _, l := range list {
			sum := loads[l.Upstream]
			loads[l.Upstream] = dispatch.Load{Upstream: l.Upstream, UnreadMs: sum.UnreadMs + l.UnreadMs, Running: sum.Running + l.Running}
		}
	}
	add(n.dispatcher.Backlogs(now))
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
		p.far = append(p.far, relayed{FailureDomain: m.FailureDomain, Crashes: m.Crashes, Offset: offset, Loads: m.Loads, Placed: m.Placed})
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
		p.node.dispatcher.TakeLoads(m.Node, m.Loads, now)
		p.node.dispatcher.TakePlacements(m.Placed, now)
	}
	for _, r := range m.Relayed {
		p.node.takeCrashes(r.Crashes, false)
		p.node.dispatcher.TakeLoads(r.FailureDomain, r.Loads, now)
		p.node.dispatcher.TakePlacements(r.Placed, now)
	}
}

// offset is the median by which the nodes' wall clocks differ from this one's. A
// clock that jumped is outvoted.
func (p *peers) offset(now time.Time) (median time.Duration) {
	offsets := []time.Duration{0}
	p.mu.Lock()
	for _, peer := range p.known {
		if now.Sub(peer.heard) < peerLife {
			offsets = append(offsets, peer.offset)
		}
	}
	for _, far := range p.farClocks {
		if now.Sub(far.at) < peerLife {
			offsets = append(offsets, far.offset)
		}
	}
	p.mu.Unlock()
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// trueNow is the time of day that most nodes agree on.
func (n *Node) trueNow() time.Time {
	now := time.Now()
	return now.Add(n.peers.offset(now))
}

// trim forgets the counts of windows whose reports are done.
func (p *peerNode) trim(newest int64) {
	for window := range p.counts {
		if window < newest-windowsKept {
			delete(p.counts, window)
		}
	}
}
