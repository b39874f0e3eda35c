package settings

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/selector"
)

const (
	maxNameBytes = 63
	maxPathBytes = 4096
)

// checker reports the problems of settings. It runs before the defaults are
// filled in: a zero value is a problem only if it was written.
type checker struct{ *fleet.ParsedFile }

func (s *Settings) check(source *fleet.ParsedFile) {
	c := checker{source}
	c.name(s.Name, "Name")
	c.name(s.FailureDomain, "FailureDomain")
	c.name(s.Region, "Region")
	switch s.Preference {
	case "", PreferGoodput, PreferWorstServed:
	default:
		c.report(fleet.FormatValue(string(s.Preference)), fleet.FormatValue(string(PreferGoodput))+" or "+fleet.FormatValue(string(PreferWorstServed)), "Preference")
	}
	c.listeners(s)
	c.addresses(s.Seeds, "Seeds")
	c.addresses(s.Store.Addresses, "Store", "Addresses")
	c.addresses(s.Platform.Addresses, "Platform", "Addresses")
	if len(s.Store.Addresses) == 0 {
		c.report("nothing", `the store's addresses, such as ["10.0.0.2:2400"]`, "Store", "Addresses")
	}
	if hash := s.Operator.CredentialSHA256; len(hash) != 64 || strings.Trim(hash, "0123456789abcdef") != "" {
		c.report(hash, "the operator credential's SHA-256 hash as 64 hexadecimal digits in lower case", "Operator", "CredentialSHA256")
	}
	c.pair(s.TLS.CallerCertificate, s.TLS.CallerKey, "CallerCertificate", "CallerKey")
	c.pair(s.TLS.PeerCertificate, s.TLS.PeerKey, "PeerCertificate", "PeerKey")
	c.pair(s.TLS.PeerCertificate, s.TLS.PeerAuthorities, "PeerCertificate", "PeerAuthorities")
	c.pair(s.TLS.OperatorCertificate, s.TLS.OperatorKey, "OperatorCertificate", "OperatorKey")
	c.ranges(s)
	c.relations(s)
}

func (c checker) ranges(s *Settings) {
	inRange(c, s.Store.CallsPerSecond, 0.1, 1000, "Store", "CallsPerSecond")
	inRange(c, s.Store.CallTimeout, 10*time.Millisecond, time.Minute, "Store", "CallTimeout")
	inRange(c, s.Platform.CallTimeout, 10*time.Millisecond, time.Minute, "Platform", "CallTimeout")

	l := &s.Limits
	inRange(c, l.HeaderBytes, 1<<10, 1<<20, "Limits", "HeaderBytes")
	inRange(c, l.BodyBytes, 1<<10, 1<<30, "Limits", "BodyBytes")
	inRange(c, l.HeaderReadTimeout, 100*time.Millisecond, 5*time.Minute, "Limits", "HeaderReadTimeout")
	inRange(c, l.BodyReadTimeout, 100*time.Millisecond, time.Hour, "Limits", "BodyReadTimeout")
	inRange(c, l.IdleTimeout, time.Second, time.Hour, "Limits", "IdleTimeout")
	inRange(c, l.WriteTimeout, 100*time.Millisecond, time.Hour, "Limits", "WriteTimeout")
	inRange(c, l.RequestDeadline, time.Second, time.Hour, "Limits", "RequestDeadline")

	i := &s.Intervals
	inRange(c, i.Probe, 50*time.Millisecond, 2*time.Second, "Intervals", "Probe")
	inRange(c, i.ProbeTimeout, 10*time.Millisecond, time.Second, "Intervals", "ProbeTimeout")
	inRange(c, i.Suspicion, 200*time.Millisecond, 30*time.Second, "Intervals", "Suspicion")
	inRange(c, i.Lease, 2*time.Second, time.Minute, "Intervals", "Lease")
	// A configuration is in force everywhere within 6 s, which leaves room for
	// two comparisons.
	inRange(c, i.RevisionCompare, 100*time.Millisecond, 3*time.Second, "Intervals", "RevisionCompare")
	// A withdrawn key stops working within 5 s, also on a node that is cut off.
	inRange(c, i.KeyConfirmation, 500*time.Millisecond, 4*time.Second, "Intervals", "KeyConfirmation")
	inRange(c, i.UsageWindow, 10*time.Second, 24*time.Hour, "Intervals", "UsageWindow")
	inRange(c, i.UsageLateness, 5*time.Second, time.Hour, "Intervals", "UsageLateness")
	inRange(c, i.ClaimRetention, time.Minute, 7*24*time.Hour, "Intervals", "ClaimRetention")
	inRange(c, i.Quarantine, time.Second, 24*time.Hour, "Intervals", "Quarantine")
	inRange(c, i.ListenerWithdraw, time.Millisecond, 5*time.Minute, "Intervals", "ListenerWithdraw")
	inRange(c, i.ShutdownDeadline, time.Second, 2*time.Hour, "Intervals", "ShutdownDeadline")
}

// relations compares settings with each other, with defaults in place of those
// that were left out.
func (c checker) relations(given *Settings) {
	s := *given
	s.FillDefaults()
	if s.Intervals.ProbeTimeout >= s.Intervals.Probe {
		c.report(fleet.FormatValue(s.Intervals.ProbeTimeout), "less than Intervals.Probe, "+fleet.FormatValue(s.Intervals.Probe), "Intervals", "ProbeTimeout")
	}
	if s.Intervals.Suspicion < 2*s.Intervals.Probe {
		c.report(fleet.FormatValue(s.Intervals.Suspicion), "at least twice Intervals.Probe, "+fleet.FormatValue(s.Intervals.Probe), "Intervals", "Suspicion")
	}
	// A holder renews its lease more than once before it stops for safety.
	if s.Store.CallTimeout > s.Intervals.Lease/3 {
		c.report(fleet.FormatValue(s.Store.CallTimeout), "at most a third of Intervals.Lease, "+fleet.FormatValue(s.Intervals.Lease), "Store", "CallTimeout")
	}
}

// listeners compares the listeners that were left out by their defaults.
func (c checker) listeners(given *Settings) {
	s := *given
	s.FillDefaults()
	names := []string{"Caller", "Peer", "Operator"}
	raw := []netip.AddrPort{given.Listen.Caller, given.Listen.Peer, given.Listen.Operator}
	filled := []netip.AddrPort{s.Listen.Caller, s.Listen.Peer, s.Listen.Operator}
	for i, address := range filled {
		path := []string{"Listen", names[i]}
		if !raw[i].IsValid() && (c.IsDefined(path...) || names[i] == "Peer") {
			c.report("nothing", `the address to listen on, such as "10.0.0.1:7000"`, path...)
			continue
		}
		if address.Port() == 0 || address.Addr().IsMulticast() {
			c.report(fleet.FormatValue(address), "a unicast address with a port, so that others can be told of it", path...)
		}
		for j, other := range filled[:i] {
			if overlap(address, other) {
				c.report(fleet.FormatValue(address), "an address apart from Listen."+names[j]+", "+fleet.FormatValue(other), path...)
			}
		}
	}
	if peer := s.Listen.Peer; peer.IsValid() && peer.Addr().IsUnspecified() {
		c.report(fleet.FormatValue(peer), "an address of this VM that its peers can dial", "Listen", "Peer")
	}
}

func overlap(a, b netip.AddrPort) bool {
	return a.IsValid() && b.IsValid() && a.Port() == b.Port() &&
		(a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func (c checker) addresses(addresses []netip.AddrPort, path ...string) {
	for i, address := range addresses {
		if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
			c.report(fleet.FormatValue(address), `IP addresses and ports to dial, such as "10.0.0.2:7000"`, path...)
		}
		if slices.Contains(addresses[:i], address) {
			c.report(fleet.FormatValue(address)+" twice", "each address once", path...)
		}
	}
}

func (c checker) name(value, field string) {
	if len(value) > maxNameBytes || selector.CheckWord(value) != nil || strings.Contains(value, "/") {
		found := fleet.FormatValue(value)
		if value == "" && !c.IsDefined(field) {
			found = "nothing"
		}
		c.report(found, "1 to 63 letters, digits and -_.", field)
	}
}

// pair requires both or neither of two files.
func (c checker) pair(first, second, firstField, secondField string) {
	for _, f := range []struct{ value, field, otherValue, other string }{
		{first, firstField, second, secondField},
		{second, secondField, first, firstField},
	} {
		if f.value == "" && f.otherValue != "" {
			c.report("nothing", "the path of a PEM file, because TLS."+f.other+" is set", "TLS", f.field)
		}
		if len(f.value) > maxPathBytes || strings.ContainsRune(f.value, 0) {
			c.report(fleet.FormatValue(f.value), "the path of a PEM file", "TLS", f.field)
		}
	}
}

// report adds a problem unless the setting couldn't even be read.
func (c checker) report(found, allowed string, path ...string) {
	if !c.IsUndecodable(path...) {
		c.Report(fleet.Problem{Field: strings.Join(path, "."), Value: found, Allowed: allowed}, path...)
	}
}

// inRange also refuses NaN, which compares as false.
func inRange[T cmp.Ordered](c checker, value, low, high T, path ...string) {
	var zero T
	if value >= low && value <= high || value == zero && !c.IsDefined(path...) {
		return
	}
	c.report(fleet.FormatValue(value), fleet.FormatValue(low)+" to "+fleet.FormatValue(high), path...)
}
