package intent

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Loop calls tick at once and then once per period, until ctx or the lease ends.
// If tick fails with ErrSuperseded or one of finalErrs, Loop returns that error.
// Other errors, such as those of the store, are passed to onError unless ctx or
// the lease has ended, and the loop continues. When ctx ends, Loop returns its
// cause; when the lease ends, context.Canceled.
func Loop(ctx context.Context, lease Lease, period time.Duration, tick func(ctx context.Context) error, onError func(err error), finalErrs ...error) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(lease.Context(), cancel)()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		if err := tick(ctx); err != nil {
			for _, finalErr := range append(finalErrs, ErrSuperseded) {
				if errors.Is(err, finalErr) {
					return err
				}
			}
			if ctx.Err() == nil {
				onError(err)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
