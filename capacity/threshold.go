package capacity

import (
	"time"

	"github.com/guavagauge/guavagauge/provider"
)

const (
	defaultQueuedEach = 4 // waiting requests for each upstream that count as a deficit
	defaultStartAfter = 15 * time.Second
	defaultStopAfter  = 5 * time.Minute
	defaultMin        = 1
)

type (
	// ThresholdOptions of NewThreshold. Zero values mean defaults.
	ThresholdOptions struct {
		QueuedPerUpstream int           // more waiting requests each are a deficit, 4
		ScaleUpDelay      time.Duration // of a deficit, 15 s
		ScaleDownDelay    time.Duration // of idleness, 5 min
		Min               int           // upstreams that stay, 1
		Max               int           // 0: no limit
		// MinReserved upstreams stay when reclaimable ones could serve, 1.
		MinReserved int
	}

	threshold struct {
		ThresholdOptions
		deficit time.Time // begin
	}
)

// NewThreshold returns a simple decision: one more upstream when too many
// requests have waited for a time, a reclaimable one if there are any, and one
// less when an upstream has been idle for a time. The decision has a memory, so
// each Manager needs its own.
func NewThreshold(options ThresholdOptions) (decide func(view View) Plan) {
	for value, fallback := range map[*int]int{
		&options.QueuedPerUpstream: defaultQueuedEach, &options.Min: defaultMin, &options.MinReserved: defaultMin,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	if options.ScaleUpDelay == 0 {
		options.ScaleUpDelay = defaultStartAfter
	}
	if options.ScaleDownDelay == 0 {
		options.ScaleDownDelay = defaultStopAfter
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
	t.deficit = time.Time{}
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
	if t.deficit.IsZero() {
		t.deficit = view.Now
	}
	if view.Now.Sub(t.deficit) < t.ScaleUpDelay || t.Max > 0 && total >= t.Max {
		return plan
	}
	t.deficit = time.Time{}
	if view.ReclaimableUnavailable {
		plan.StartReserved = 1
	} else {
		plan.StartReclaimable = 1
	}
	return plan
}
