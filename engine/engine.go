// Package engine talks to model engines: it runs generations, reads their
// reports and gives them orders.
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
// The protocol is that of OpenAI completions over server-sent events, with
// fields in Pascal case for what it lacks. An engine sends the status line of an
// answer when the request begins to run, so a connection that breaks after it
// means that the engine died while it ran the request.
package engine

import (
	"context"

	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Client is one model engine.
	Client interface {
		// Generate runs a generation and passes each token to emit, in order
		// from generation.Offset. When emit fails, or ctx ends, the engine is
		// told to cancel. A failed run returns an *upstream.Failure.
		Generate(ctx context.Context, generation upstream.Generation, emit func(upstream.Token) error) (usage upstream.Usage, err error)
	}
)
