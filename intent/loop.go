package intent

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Loop calls tick at once and then in each period, until ctx or the authority
// ends. An error of tick that is one of final, or ErrSuperseded, ends it; any
// other goes to failed and is tried again.
func Loop(ctx context.Context, authority Lease, period time.Duration, tick func(ctx context.Context) error, failed func(err error), final ...error) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(authority.Context(), cancel)()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		if err := tick(ctx); err != nil {
			for _, end := range append(final, ErrSuperseded) {
				if errors.Is(err, end) {
					return err
				}
			}
			if ctx.Err() == nil {
				failed(err)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
