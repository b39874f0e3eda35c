package membership

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Receiver holds the methods that other members call.
	Receiver struct{ group *Group }

	// RelayArgs asks a helper to probe another member.
	RelayArgs struct {
		Name    string         `cbor:"1,keyasint,omitzero"`
		Address netip.AddrPort `cbor:"2,keyasint,omitzero"`
		Timeout time.Duration  `cbor:"3,keyasint,omitzero"`
	}

	// RelayReply tells whether the member answered the helper.
	RelayReply struct {
		Reached bool `cbor:"1,keyasint,omitzero"`
	}
)

// Receiver returns the receiver to register under the name Service.
func (g *Group) Receiver() *Receiver { return &Receiver{group: g} }

// Probe answers a probe.
func (r *Receiver) Probe(args *Message, reply *Message) (err error) {
	*reply = *r.group.answer(args)
	return r.group.ctx.Err()
}

// Relay probes a member for another one that can't reach it.
func (r *Receiver) Relay(args *RelayArgs, reply *RelayReply) (err error) {
	ctx, cancel := context.WithTimeout(r.group.ctx, args.Timeout)
	defer cancel()
	target := Member{Name: args.Name, Address: args.Address}
	reply.Reached = r.group.talk(ctx, target, nil) == nil
	return r.group.ctx.Err()
}

// Exchange answers a state exchange.
func (r *Receiver) Exchange(args *ExchangeArgs, reply *ExchangeReply) (err error) {
	*reply = *r.group.answerExchange(args)
	return r.group.ctx.Err()
}
