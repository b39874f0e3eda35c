// Package service is an HTTP client of plain application services. A service
// consists of upstreams, and package scheduler makes the calls to them.
//
// # Usage
//
//	client := service.NewClient(network, address, service.Options{})
//	response, err := client.Call(ctx, call)
//	var failure *upstream.Failure
//	if errors.As(err, &failure) && failure.Progress.WorkStatus() == upstream.NotRun { ... }
//
// A call is sent at most once. The client prevents the automatic retries of
// net/http, since they could run a call twice. Whether to make another attempt
// is decided by the caller, by the progress in the failure.
package service

import (
	"context"

	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// Client makes calls to one upstream of a plain service. It is safe for
	// concurrent use.
	Client interface {
		// Call makes one call and returns the complete response. The error is an
		// *upstream.Failure, whose Progress says whether the call may have run.
		Call(ctx context.Context, call upstream.Call) (response upstream.Response, err error)
	}
)
