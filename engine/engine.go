// Package engine is a client of model engines: it runs generations, reads load
// reports and sends orders that change an engine. Package scheduler runs the
// generations, package planner reads the state and sends the orders. Package
// enginetest serves the same protocol.
//
// # Usage
//
//	client := engine.NewClient(network, address, engine.Options{})
//	usage, err := client.Generate(ctx, generation, func(token upstream.Token) error {
//		return relay(token)
//	})
//	var failure *upstream.Failure
//	if errors.As(err, &failure) && failure.Crashed { ... }
//
//	state, err := client.State(ctx)
//	err = client.Order(ctx, engine.Order{
//		ID: id, Epoch: epoch, Sequence: n, Incarnation: state.Incarnation, Kind: engine.OrderDrain,
//	})
//
// The protocol is that of OpenAI completions with server-sent events; fields in
// Pascal case extend it. An engine sends the status line of a response when the
// request begins to run, so a connection that breaks after the status line means
// that the engine crashed while it ran the request. If it breaks before, the
// request may have run, but no crash is reported.
//
// The client itself retries nothing. The caller decides by the progress in the
// failure, and may repeat an order with the same ID if its outcome is unknown.
package engine

import (
	"context"

	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Client runs generations on one model engine. It is safe for concurrent use.
	Client interface {
		// Generate runs a generation and passes each token to emit, in order from
		// generation.Offset on. If emit fails or ctx ends, the generation is
		// canceled on the engine. The error is an *upstream.Failure.
		Generate(ctx context.Context, generation upstream.Generation, emit func(upstream.Token) error) (usage upstream.Usage, err error)
	}
)
