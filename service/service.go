// Package service talks to plain application services over HTTP.
//
// # Usage
//
//	answer, err := client.Call(ctx, call)
//	var failure *upstream.Failure
//	if errors.As(err, &failure) && failure.Progress.Ran() == upstream.NotRun { ... }
package service

import (
	"context"

	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Client is one worker of a plain service.
	Client interface {
		// Call makes one request and returns the whole answer. A failed call
		// returns an *upstream.Failure whose Progress says how far it got.
		Call(ctx context.Context, call upstream.Call) (answer upstream.Answer, err error)
	}
)
