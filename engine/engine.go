// Package engine talks to model engines: it runs generations, reads their
// reports and gives them orders.
//
// # Usage
//
//	usage, err := client.Generate(ctx, generation, func(token upstream.Token) error {
//		return relay(token)
//	})
//	var failure *upstream.Failure
//	if errors.As(err, &failure) && failure.Crashed { ... }
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
