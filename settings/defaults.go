package settings

import (
	"net/netip"
	"time"
)

// FillDefaults sets every setting that was left out.
func (s *Settings) FillDefaults() {
	fill(&s.Preference, PreferGoodput)
	fill(&s.Listen.Caller, netip.MustParseAddrPort("0.0.0.0:8080"))
	fill(&s.Listen.Operator, netip.MustParseAddrPort("127.0.0.1:8081"))

	fill(&s.Store.CallsPerSecond, 20)
	fill(&s.Store.CallTimeout, 2*time.Second)
	fill(&s.Platform.CallTimeout, 5*time.Second)

	l := &s.Limits
	fill(&l.HeaderBytes, 64<<10)
	fill(&l.BodyBytes, 8<<20)
	fill(&l.HeaderReadTimeout, 10*time.Second)
	fill(&l.BodyReadTimeout, time.Minute)
	fill(&l.IdleTimeout, 2*time.Minute)
	fill(&l.WriteTimeout, 30*time.Second)
	fill(&l.RequestDeadline, 10*time.Minute)

	i := &s.Intervals
	fill(&i.Probe, 500*time.Millisecond)
	fill(&i.ProbeTimeout, 200*time.Millisecond)
	fill(&i.Suspicion, 2*time.Second)
	fill(&i.Lease, 10*time.Second)
	fill(&i.RevisionCompare, time.Second)
	fill(&i.KeyConfirmation, 4*time.Second)
	fill(&i.UsageWindow, time.Minute)
	fill(&i.UsageLateness, 30*time.Second)
	fill(&i.ClaimRetention, 24*time.Hour)
	fill(&i.Quarantine, 10*time.Minute)
	fill(&i.ListenerWithdraw, 10*time.Second)
	fill(&i.ShutdownDeadline, 10*time.Minute)
}

func fill[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
