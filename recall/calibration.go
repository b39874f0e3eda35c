package recall

import (
	"math"
	"time"
)

const (
	// calibrationPeriod is the time in which the weight of an observation falls to 1/e.
	// It is several times the 0.6 s for which the speed of an upstream changes at a
	// time, and short enough to follow a load that changes.
	calibrationPeriod = 10 * time.Second
	// minObservations is the least weight of the observations for a decision.
	minObservations = 8
	// maxCalibration bounds the factor, as a model that is off by more is broken.
	maxCalibration = 8
)

// calibration is the ratio of the time that work took to the time that was expected,
// over recent work. It is a ratio of sums, so that short work, for which fixed times
// outweigh what the model expects, counts little.
type calibration struct {
	expected, took float64 // sums in nanoseconds
	weight         float64
	at             time.Time // of the last observation
}

// observe adds an observation.
func (c *calibration) observe(expected, took time.Duration, now time.Time) {
	keep := c.decay(now)
	c.expected = c.expected*keep + float64(max(expected, 0))
	c.took = c.took*keep + float64(max(took, 0))
	c.weight = c.weight*keep + 1
	c.at = now
}

// decay returns what remains at a time of the weight at the last observation.
func (c *calibration) decay(now time.Time) (share float64) {
	return math.Exp(-max(0, now.Sub(c.at).Seconds()) / calibrationPeriod.Seconds())
}

// factor returns the factor by which expectations are multiplied, and false if there
// are too few observations. It isn't below 1: that work took less than was expected on
// the whole doesn't make the request late.
func (c *calibration) factor(now time.Time) (factor float64, ok bool) {
	if c.weight*c.decay(now) < minObservations {
		return 0, false
	}
	return min(max(c.took/max(c.expected, 1), 1), maxCalibration), true
}
