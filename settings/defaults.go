package settings

import (
	"net/netip"
	"time"
)

// FillDefaults sets every optional setting that has its zero value to its
// default. Callers can connect from everywhere, but operators only from the VM
// itself, unless the file has other listener addresses.
func (s *Settings) FillDefaults() {
	setDefault(&s.Preference, PreferGoodput)
	setDefault(&s.Listen.Caller, netip.MustParseAddrPort("0.0.0.0:8080"))
	setDefault(&s.Listen.Operator, netip.MustParseAddrPort("127.0.0.1:8081"))

	setDefault(&s.Store.CallsPerSecond, 20)
	setDefault(&s.Store.CallTimeout, 2*time.Second)
	setDefault(&s.Platform.CallTimeout, 5*time.Second)

	l := &s.Limits
	setDefault(&l.HeaderBytes, 64<<10)
	setDefault(&l.BodyBytes, 8<<20)
	setDefault(&l.HeaderReadTimeout, 10*time.Second)
	setDefault(&l.BodyReadTimeout, time.Minute)
	setDefault(&l.IdleTimeout, 2*time.Minute)
	setDefault(&l.WriteTimeout, 30*time.Second)
	setDefault(&l.RequestDeadline, 10*time.Minute)

	i := &s.Intervals
	setDefault(&i.Probe, 500*time.Millisecond)
	setDefault(&i.ProbeTimeout, 200*time.Millisecond)
	setDefault(&i.Suspicion, 2*time.Second)
	setDefault(&i.Lease, 10*time.Second)
	setDefault(&i.RevisionCompare, time.Second)
	setDefault(&i.KeyConfirmation, 4*time.Second)
	setDefault(&i.UsageWindow, time.Minute)
	setDefault(&i.UsageLateness, 30*time.Second)
	setDefault(&i.ClaimRetention, 24*time.Hour)
	setDefault(&i.Quarantine, 10*time.Minute)
	setDefault(&i.ListenerWithdraw, 10*time.Second)
	setDefault(&i.ShutdownDeadline, 10*time.Minute)
}

func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
