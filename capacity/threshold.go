package capacity

import (
	"time"

	"github.com/guavagauge/guavagauge/provider"
)

const (
	defaultQueuedPerUpstream = 4 // queued requests; more are a deficit
	defaultScaleUpDelay      = 15 * time.Second
	defaultScaleDownDelay    = 5 * time.Minute
	defaultMin               = 1
)

type (
	// ThresholdOptions configures NewThreshold. Zero values mean the defaults.
	ThresholdOptions struct {
		QueuedPerUpstream int           // more queued requests per upstream are a deficit; default 4
		ScaleUpDelay      time.Duration // how long a deficit lasts before an upstream, or another one, is started; default 15 s
		ScaleDownDelay    time.Duration // how long an upstream is idle before it is stopped; default 5 min
		Min               int           // number of upstreams to keep running; default 1, which keeps the last one running
		Max               int           // upper bound of upstreams; 0 means no limit
		// MinReserved is the number of reserved upstreams that aren't stopped for
		// being idle. The default is 1.
		MinReserved int
	}

	threshold struct {
		ThresholdOptions
		deficitSince time.Time // zero while there is no deficit
	}
)

// NewThreshold returns a function for Options.Decide with simple thresholds. It
// starts one upstream when too many requests have been queued for the
// ScaleUpDelay, a reclaimable one if possible, and stops one that has been idle
// for the ScaleDownDelay. If there are fewer upstreams than Min, the missing ones
// are started at once, whatever Max is. The function keeps state between calls, so
// each Manager needs its own.
func NewThreshold(options ThresholdOptions) (decide func(view View) Plan) {
	for value, fallback := range map[*int]int{
		&options.QueuedPerUpstream: defaultQueuedPerUpstream, &options.Min: defaultMin, &options.MinReserved: defaultMin,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	if options.ScaleUpDelay == 0 {
		options.ScaleUpDelay = defaultScaleUpDelay
	}
	if options.ScaleDownDelay == 0 {
		options.ScaleDownDelay = defaultScaleDownDelay
	}
	t := &threshold{ThresholdOptions: options}
	return t.decide
}

func (t *threshold) decide(view View) (plan Plan) {
	reserved, reclaimable := view.Counts()
	total, queued := reserved+reclaimable, 0
	for _, u := range view.Upstreams {
		queued += u.Queued
	}
	if total < t.Min {
		plan.StartReserved = t.Min - total
		return plan
	}
	if queued > t.QueuedPerUpstream*total {
		return t.start(view, total)
	}
	t.deficitSince = time.Time{}
	for _, u := range view.Upstreams {
		if total == t.Min || u.Terminating || u.Draining || u.IdleFor < t.ScaleDownDelay {
			continue
		}
		if u.Capacity == provider.Reclaimable {
			plan.StopReclaimable = 1
		} else if reserved > t.MinReserved {
			plan.StopReserved = 1
		}
		if plan != (Plan{}) {
			return plan
		}
	}
	return plan
}

func (t *threshold) start(view View, total int) (plan Plan) {
	if t.deficitSince.IsZero() {
		t.deficitSince = view.Now
	}
	if view.Now.Sub(t.deficitSince) < t.ScaleUpDelay || t.Max > 0 && total >= t.Max {
		return plan
	}
	t.deficitSince = time.Time{} // the next start waits for ScaleUpDelay again
	if view.ReclaimableUnavailable {
		plan.StartReserved = 1
	} else {
		plan.StartReclaimable = 1
	}
	return plan
}
