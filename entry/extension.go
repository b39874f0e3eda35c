package entry

import (
	"net/netip"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/quota"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/speed"
	"github.com/guavagauge/guavagauge/store"
)

type (
	// extension is the part of a datagram that follows its message, as a CBOR item of
	// its own. Message is an array, of which nodes of an earlier version decode only one
	// length, so new content goes here. An empty extension isn't sent.
	extension struct {
		Own     extensionContent   `cbor:"1,keyasint,omitzero"`
		Relayed []relayedExtension `cbor:"2,keyasint,omitzero"`
	}

	// extensionContent is what a node, or all nodes of a failure domain in an aggregate
	// message, tell others. Each field is empty unless the configuration or upstreams
	// call for it.
	extensionContent struct {
		Quotas quota.Reports  `cbor:"1,keyasint,omitzero"`
		Speeds []speed.Report `cbor:"3,keyasint,omitzero"` // of upstreams that say how fast they are
		Config configEdition  `cbor:"4,keyasint,omitzero"` // in force; not in era 0 of the store
	}

	// configEdition is a routing.Edition.
	configEdition struct {
		Version uint64 `cbor:"1,keyasint,omitzero"`
		Token   uint64 `cbor:"2,keyasint,omitzero"` // of the position
	}

	// relayedExtension is the extension of an aggregate message of another failure
	// domain that its recipient relays within its own domain.
	relayedExtension struct {
		FailureDomain string           `cbor:"1,keyasint,omitzero"`
		Node          string           `cbor:"2,keyasint,omitzero"`
		Content       extensionContent `cbor:"3,keyasint,omitzero"`
	}
)

// isEmpty reports whether there is nothing to send.
func (c extensionContent) isEmpty() (empty bool) { return reflect.ValueOf(c).IsZero() }

// appendTo appends the encoded extension to a datagram, unless it is empty.
func (x extension) appendTo(datagram []byte) (extended []byte, err error) {
	if x.Own.isEmpty() && len(x.Relayed) == 0 {
		return datagram, nil
	}
	encoded, err := cbor.Marshal(x)
	if err != nil {
		return datagram, errors.Annotate(err, "encode extension")
	}
	return append(datagram, encoded...), nil
}

// localExtension returns the extension of a message to the nodes of this failure domain.
func (p *peers) localExtension(now time.Time) (x extension) {
	x.Own.Quotas = p.node.quotas.Report(p.node.clock())
	// Each report is sent twice, since datagrams can be lost.
	x.Own.Speeds = p.node.dispatcher.SpeedReports(now, 2*p.gossipInterval())
	x.Own.Config = p.node.announcedConfig()
	p.mu.Lock()
	defer p.mu.Unlock()
	x.Relayed, p.pendingExtensions = p.pendingExtensions, nil
	return x
}

// remoteExtension returns the extension of an aggregate message to other failure
// domains.
func (p *peers) remoteExtension(now time.Time) (x extension) {
	x.Own.Quotas = p.node.quotas.Aggregate(p.node.clock())
	x.Own.Speeds = p.node.dispatcher.DomainSpeedReports(now)
	x.Own.Config = p.node.announcedConfig()
	return x
}

// announcedConfig returns the edition of the configuration in force. In the first era of
// the store all nodes read the same from it, so that none needs to hear of it.
func (n *Node) announcedConfig() (announced configEdition) {
	if store.CurrentEra(n.store).Era == 0 {
		return configEdition{}
	}
	n.storeStateMu.Lock()
	defer n.storeStateMu.Unlock()
	token, err := n.configEntry.Position().Token()
	if err != nil {
		return configEdition{}
	}
	return configEdition{Version: n.configVersion, Token: token}
}

// applyExtension applies the extension that followed a message of another node. That of
// an aggregate message is also kept to be relayed.
func (p *peers) applyExtension(m *message, encoded []byte, now time.Time) (err error) {
	if len(encoded) == 0 {
		return nil
	}
	var x extension
	if err = cbor.Unmarshal(encoded, &x); err != nil {
		return errors.Annotate(err, "decode extension")
	}
	if m.Aggregate && !x.Own.isEmpty() {
		p.mu.Lock()
		p.pendingExtensions = append(p.pendingExtensions, relayedExtension{FailureDomain: m.FailureDomain, Node: m.Node, Content: x.Own})
		p.mu.Unlock()
	}
	p.applyContent(m.FailureDomain, m.Node, x.Own, now)
	for _, r := range x.Relayed {
		p.applyContent(r.FailureDomain, r.Node, r.Content, now)
	}
	return nil
}

// applyContent applies what a node said in an extension, directly or relayed.
func (p *peers) applyContent(domain, node string, content extensionContent, now time.Time) {
	n := p.node
	if absurd := n.quotas.Apply(node, content.Quotas, domain == n.settings.FailureDomain, n.clock()); absurd > 0 {
		n.count("messages", "AbsurdQuota")
	}
	n.dispatcher.ApplySpeedReports(domain, node, content.Speeds, now)
	if content.Config.Version == 0 {
		return
	}
	p.mu.Lock()
	address := netip.AddrPort{}
	if peer := p.byName[node]; peer != nil {
		address = peer.address
	}
	p.mu.Unlock()
	if address.IsValid() {
		n.hearConfig(routing.Edition{Version: content.Config.Version, Position: store.PositionOf(content.Config.Token)}, address)
	}
}
