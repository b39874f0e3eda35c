package lease

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// A longer TTL lets a holder keep its lease through longer outages of the store,
// but a candidate waits as long for the key of a failed holder. A longer
// MaxOperationTime delays every new holder in AwaitPredecessor.
const (
	defaultTTL               = 15 * time.Second
	defaultCallTimeout       = 2 * time.Second
	defaultWriteTimeout      = time.Second
	defaultMaxOperationTime  = 10 * time.Second
	defaultMaxClockDriftRate = 0.01 // NTP slews a clock by at most 500 ppm, i.e. 0.0005
	defaultPauseTolerance    = 500 * time.Millisecond
	defaultInitialBackoff    = 500 * time.Millisecond
	defaultMaxBackoff        = 10 * time.Second
	checksPerTTL             = 20 // so a check notices a pause longer than TTL/20 plus PauseTolerance
)

type (
	// Options of a lease. Key and Holder are required; other zero fields mean
	// defaults. All candidates for a key must use the same durations, because
	// AwaitPredecessor applies those of this process to the previous holder.
	Options struct {
		// Key is the key in the store. Nothing else may use it.
		Key string
		// Holder is the name of this process, for operators.
		Holder string
		// TTL is the time after the last renewal at which the store deletes the
		// key, 15 s by default.
		TTL time.Duration
		// RenewInterval is the time between renewals, a third of TTL by
		// default.
		RenewInterval time.Duration
		// CallTimeout bounds each call to the store, 2 s by default.
		CallTimeout time.Duration
		// WriteTimeout bounds the time from Check until the request of an
		// operation has been written, 1 s by default.
		WriteTimeout time.Duration
		// MaxOperationTime bounds the time from Check until an operation has no
		// further effect, 10 s by default.
		MaxOperationTime time.Duration
		// MaxClockDriftRate is the maximum relative difference between the rates of
		// the clocks of this process and the store, 0.01 by default.
		MaxClockDriftRate float64
		// PauseTolerance is how late a check of the clock may be, and by how much
		// the wall and the monotonic clock may differ between two checks, before
		// that counts as a pause or a clock jump. 0.5 s by default.
		PauseTolerance time.Duration
		// InitialBackoff and MaxBackoff bound the time between attempts to acquire
		// the lease while the store fails, 0.5 s and 10 s by default.
		InitialBackoff, MaxBackoff time.Duration
		// NoWait makes Acquire return ErrHeld while another process holds the key,
		// instead of watching the key. It is for candidates that poll.
		NoWait bool
		// Clock is SystemClock by default.
		Clock Clock
		// Jitter returns a random duration below its argument, uniformly
		// distributed by default.
		Jitter func(below time.Duration) time.Duration
		// Logger discards log lines by default.
		Logger *slog.Logger
		// Metrics receives counters and may be nil.
		Metrics *metrics.Set
	}

	// Clock is a wall clock and a monotonic clock, which counts from some fixed
	// moment. They advance differently when the wall clock is set or the VM is
	// suspended.
	Clock interface {
		Now() Reading
	}

	// Reading is the time of a Clock at one moment. Wall has no monotonic part.
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

// since returns the time since earlier, by the clock that advanced more. While a
// VM is suspended, its monotonic clock may stand still.
func (r Reading) since(earlier Reading) time.Duration {
	return max(r.Monotonic-earlier.Monotonic, r.Wall.Sub(earlier.Wall))
}

// wallJump returns the advance of the wall clock since earlier minus that of the
// monotonic clock.
func (r Reading) wallJump(earlier Reading) time.Duration {
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
	setDuration(&o.WriteTimeout, defaultWriteTimeout)
	setDuration(&o.MaxOperationTime, defaultMaxOperationTime)
	setDuration(&o.PauseTolerance, defaultPauseTolerance)
	setDuration(&o.InitialBackoff, defaultInitialBackoff)
	setDuration(&o.MaxBackoff, defaultMaxBackoff)
	if o.MaxClockDriftRate == 0 {
		o.MaxClockDriftRate = defaultMaxClockDriftRate
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

// safetyMargin returns the time before the end of the TTL at which the holder
// stops using the lease.
func (o Options) safetyMargin() time.Duration {
	return o.WriteTimeout + time.Duration(float64(o.TTL)*o.MaxClockDriftRate)
}

func (o Options) checkInterval() time.Duration { return o.TTL / checksPerTTL }

// renewDelay returns the time until the next renewal, with jitter, so that
// holders don't renew in step after an outage.
func (o Options) renewDelay() time.Duration {
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
