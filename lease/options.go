package lease

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	defaultTTL              = 15 * time.Second
	defaultCallTimeout      = 2 * time.Second
	defaultWriteDeadline    = time.Second
	defaultLongestOperation = 10 * time.Second
	defaultClockError       = 0.01 // far above the 500 ppm by which NTP may slew a clock
	defaultPauseTolerance   = 500 * time.Millisecond
	defaultRetryFirst       = 500 * time.Millisecond
	defaultRetryLimit       = 10 * time.Second
	looksPerTTL             = 20
)

type (
	// Options of a lease. Key and Holder are required; zero fields otherwise take
	// the defaults. All candidates for a key use the same durations.
	Options struct {
		// Key in the service. It belongs to the lease alone.
		Key string
		// Holder names this process to operators.
		Holder string
		// TTL is the time after which the key is free when its holder dies. 15 s
		// by default.
		TTL time.Duration
		// RenewInterval is the time between renewals, a third of TTL by
		// default.
		RenewInterval time.Duration
		// CallTimeout bounds each call to the service, 2 s by default.
		CallTimeout time.Duration
		// WriteTimeout is the longest time between Check and the end of the
		// write of an operation, 1 s by default.
		WriteTimeout time.Duration
		// MaxOperationTime bounds the time from Check until an operation has no
		// further effect, 10 s by default.
		MaxOperationTime time.Duration
		// MaxClockDriftRate is the relative rate error between the clocks of
		// this process and the service, 0.01 by default.
		MaxClockDriftRate float64
		// PauseTolerance is the lateness of a wake-up, or the difference between
		// wall and monotonic time, that counts as a pause or a jump. 0.5 s by
		// default.
		PauseTolerance time.Duration
		// InitialBackoff and MaxBackoff bound the time between attempts to take
		// the lease while the service fails. 0.5 s and 10 s by default.
		InitialBackoff, MaxBackoff time.Duration
		// NoWait makes Acquire return ErrHeld while another process has the key,
		// instead of watching it. Candidates that look for themselves set it.
		NoWait bool
		// Clock is SystemClock by default.
		Clock Clock
		// Jitter returns a random duration below its argument.
		Jitter func(below time.Duration) time.Duration
		// Logger discards by default.
		Logger *slog.Logger
		// Metrics receives counters and may be nil.
		Metrics *metrics.Set
	}

	// Clock tells the time of day and the time since some fixed moment. The two
	// differ when the wall clock is set or the machine was suspended.
	Clock interface {
		Now() Reading
	}

	// Reading is one look at a Clock. Wall has no monotonic part.
	Reading struct {
		Wall      time.Time
		Monotonic time.Duration
	}

	// SystemClock is the clock of the operating system.
	SystemClock struct {
		start time.Time
	}
)

// NewSystemClock returns a clock whose monotonic time counts from now.
func NewSystemClock() SystemClock {
	return SystemClock{start: time.Now()}
}

// Now implements Clock.
func (c SystemClock) Now() Reading {
	now := time.Now()
	return Reading{Wall: now.Round(0), Monotonic: now.Sub(c.start)}
}

// since returns the time that has passed by the clock that advanced more. Of a
// suspended machine's clocks, only the wall clock may count the suspension.
func (r Reading) since(earlier Reading) time.Duration {
	return max(r.Monotonic-earlier.Monotonic, r.Wall.Sub(earlier.Wall))
}

// drift returns by how much more the wall clock advanced.
func (r Reading) drift(earlier Reading) time.Duration {
	return r.Wall.Sub(earlier.Wall) - (r.Monotonic - earlier.Monotonic)
}

func (o Options) withDefaults() Options {
	setDuration := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setDuration(&o.TTL, defaultTTL)
	setDuration(&o.RenewInterval, o.TTL/3)
	setDuration(&o.CallTimeout, defaultCallTimeout)
	setDuration(&o.WriteTimeout, defaultWriteDeadline)
	setDuration(&o.MaxOperationTime, defaultLongestOperation)
	setDuration(&o.PauseTolerance, defaultPauseTolerance)
	setDuration(&o.InitialBackoff, defaultRetryFirst)
	setDuration(&o.MaxBackoff, defaultRetryLimit)
	if o.MaxClockDriftRate == 0 {
		o.MaxClockDriftRate = defaultClockError
	}
	if o.Clock == nil {
		o.Clock = NewSystemClock()
	}
	if o.Jitter == nil {
		o.Jitter = rand.N[time.Duration]
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// margin is the time before the end of the lease at which the holder stops.
func (o Options) margin() time.Duration {
	return o.WriteTimeout + time.Duration(float64(o.TTL)*o.MaxClockDriftRate)
}

func (o Options) lookEvery() time.Duration { return o.TTL / looksPerTTL }

// renewWait spreads renewals, so that holders don't stay in step after an
// outage.
func (o Options) renewWait() time.Duration {
	return o.RenewInterval*9/10 + o.Jitter(o.RenewInterval/5)
}

func (o Options) count(event, reason string) {
	if o.Metrics != nil {
		o.Metrics.GetOrCreateCounter(fmt.Sprintf(
			"guavagauge_lease_events_total{key=%q,event=%q,reason=%q}", o.Key, event, reason)).Inc()
	}
}

func sleep(ctx context.Context, d time.Duration) (err error) {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
