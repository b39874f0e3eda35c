// Package service talks to plain application services over HTTP.
//
// # Usage
//
//	client := service.NewClient(network, address, service.Options{})
//	answer, err := client.Call(ctx, call)
//	var failure *upstream.Failure
//	if errors.As(err, &failure) && failure.Progress.WorkStatus() == upstream.NotRun { ... }
//
// A call is sent at most once: net/http's own retries are prevented, since they
// may repeat a call that ran.
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
