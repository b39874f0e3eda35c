package membership

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Receiver implements the RPC methods that other members call.
	Receiver struct{ group *Group }

	// RelayArgs is the request for an indirect probe of the named member.
	RelayArgs struct {
		Name    string         `cbor:"1,keyasint,omitzero"`
		Address netip.AddrPort `cbor:"2,keyasint,omitzero"`
		Timeout time.Duration  `cbor:"3,keyasint,omitzero"`
	}

	// RelayReply is the reply to RelayArgs. Reached reports whether the member
	// answered the probe.
	RelayReply struct {
		Reached bool `cbor:"1,keyasint,omitzero"`
	}
)

// Receiver returns the receiver to register under the name Service.
func (g *Group) Receiver() *Receiver { return &Receiver{group: g} }

// Probe handles a probe from another member.
func (r *Receiver) Probe(args *Message, reply *Message) (err error) {
	*reply = *r.group.handleProbe(args)
	return r.group.ctx.Err()
}

// Relay probes a member on behalf of another one that couldn't reach it.
func (r *Receiver) Relay(args *RelayArgs, reply *RelayReply) (err error) {
	ctx, cancel := context.WithTimeout(r.group.ctx, args.Timeout)
	defer cancel()
	target := Member{Name: args.Name, Address: args.Address}
	reply.Reached = r.group.sendProbe(ctx, target, nil) == nil
	return r.group.ctx.Err()
}

// Exchange handles a state exchange from another member.
func (r *Receiver) Exchange(args *ExchangeArgs, reply *ExchangeReply) (err error) {
	*reply = *r.group.handleExchange(args)
	return r.group.ctx.Err()
}
