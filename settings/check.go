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
	maxNameBytes = 63   // as for names in package fleet
	maxPathBytes = 4096 // of a PEM file
)

// checker validates settings and adds the problems to the parsed file. It runs
// before defaults are set, so that a zero value in the file is checked like any
// other, while a setting that isn't in the file isn't checked. Later, every zero
// value is replaced by the default, even one in the file that passed the check.
type checker struct{ *fleet.ParsedFile }

func (s *Settings) check(source *fleet.ParsedFile) {
	c := checker{source}
	c.checkName(s.Name, "Name")
	c.checkName(s.FailureDomain, "FailureDomain")
	c.checkName(s.Region, "Region")
	switch s.Preference {
	case "", PreferGoodput, PreferWorstServed:
	default:
		c.report(fleet.FormatValue(string(s.Preference)), fleet.FormatValue(string(PreferGoodput))+" or "+fleet.FormatValue(string(PreferWorstServed)), "Preference")
	}
	c.checkListeners(s)
	c.checkAddresses(s.Seeds, "Seeds")
	c.checkAddresses(s.Store.Addresses, "Store", "Addresses")
	c.checkAddresses(s.Platform.Addresses, "Platform", "Addresses")
	if len(s.Store.Addresses) == 0 {
		c.report("nothing", `the store's addresses, such as ["10.0.0.2:2400"]`, "Store", "Addresses")
	}
	if hash := s.Operator.CredentialSHA256; len(hash) != 64 || strings.Trim(hash, "0123456789abcdef") != "" {
		c.report(hash, "the operator credential's SHA-256 hash as 64 hexadecimal digits in lower case", "Operator", "CredentialSHA256")
	}
	c.checkFilePair(s.TLS.CallerCertificate, s.TLS.CallerKey, "CallerCertificate", "CallerKey")
	// The three peer files are valid only together.
	c.checkFilePair(s.TLS.PeerCertificate, s.TLS.PeerKey, "PeerCertificate", "PeerKey")
	c.checkFilePair(s.TLS.PeerCertificate, s.TLS.PeerAuthorities, "PeerCertificate", "PeerAuthorities")
	c.checkFilePair(s.TLS.OperatorCertificate, s.TLS.OperatorKey, "OperatorCertificate", "OperatorKey")
	c.checkRanges(s)
	c.checkRelations(s)
}

func (c checker) checkRanges(s *Settings) {
	checkRange(c, s.Store.CallsPerSecond, 0.1, 1000, "Store", "CallsPerSecond")
	checkRange(c, s.Store.CallTimeout, 10*time.Millisecond, time.Minute, "Store", "CallTimeout")
	checkRange(c, s.Platform.CallTimeout, 10*time.Millisecond, time.Minute, "Platform", "CallTimeout")

	l := &s.Limits
	checkRange(c, l.HeaderBytes, 1<<10, 1<<20, "Limits", "HeaderBytes")
	checkRange(c, l.BodyBytes, 1<<10, 1<<30, "Limits", "BodyBytes")
	checkRange(c, l.HeaderReadTimeout, 100*time.Millisecond, 5*time.Minute, "Limits", "HeaderReadTimeout")
	checkRange(c, l.BodyReadTimeout, 100*time.Millisecond, time.Hour, "Limits", "BodyReadTimeout")
	checkRange(c, l.IdleTimeout, time.Second, time.Hour, "Limits", "IdleTimeout")
	checkRange(c, l.WriteTimeout, 100*time.Millisecond, time.Hour, "Limits", "WriteTimeout")
	checkRange(c, l.RequestDeadline, time.Second, time.Hour, "Limits", "RequestDeadline")

	i := &s.Intervals
	checkRange(c, i.Probe, 50*time.Millisecond, 2*time.Second, "Intervals", "Probe")
	checkRange(c, i.ProbeTimeout, 10*time.Millisecond, time.Second, "Intervals", "ProbeTimeout")
	checkRange(c, i.Suspicion, 200*time.Millisecond, 30*time.Second, "Intervals", "Suspicion")
	checkRange(c, i.Lease, 2*time.Second, time.Minute, "Intervals", "Lease")
	// A configuration must be in force on every node within 6 s. The maximum of
	// 3 s allows two comparisons in that time.
	checkRange(c, i.RevisionCompare, 100*time.Millisecond, 3*time.Second, "Intervals", "RevisionCompare")
	// A revoked key must stop working within 5 s, also on a partitioned node.
	checkRange(c, i.KeyConfirmation, 500*time.Millisecond, 4*time.Second, "Intervals", "KeyConfirmation")
	checkRange(c, i.UsageWindow, 10*time.Second, 24*time.Hour, "Intervals", "UsageWindow")
	checkRange(c, i.UsageLateness, 5*time.Second, time.Hour, "Intervals", "UsageLateness")
	checkRange(c, i.ClaimRetention, time.Minute, 7*24*time.Hour, "Intervals", "ClaimRetention")
	checkRange(c, i.Quarantine, time.Second, 24*time.Hour, "Intervals", "Quarantine")
	checkRange(c, i.ListenerWithdraw, time.Millisecond, 5*time.Minute, "Intervals", "ListenerWithdraw")
	checkRange(c, i.ShutdownDeadline, time.Second, 2*time.Hour, "Intervals", "ShutdownDeadline")
}

// checkRelations compares settings with each other. Settings that aren't in the
// file count with their defaults.
func (c checker) checkRelations(original *Settings) {
	s := *original
	s.FillDefaults()
	// A direct probe ends before the next one starts.
	if s.Intervals.ProbeTimeout >= s.Intervals.Probe {
		c.report(fleet.FormatValue(s.Intervals.ProbeTimeout), "less than Intervals.Probe, "+fleet.FormatValue(s.Intervals.Probe), "Intervals", "ProbeTimeout")
	}
	// A suspected node has at least two probe intervals to refute the suspicion.
	if s.Intervals.Suspicion < 2*s.Intervals.Probe {
		c.report(fleet.FormatValue(s.Intervals.Suspicion), "at least twice Intervals.Probe, "+fleet.FormatValue(s.Intervals.Probe), "Intervals", "Suspicion")
	}
	// A lease holder must be able to retry a renewal that timed out before it has
	// to stop acting as the holder.
	if s.Store.CallTimeout > s.Intervals.Lease/3 {
		c.report(fleet.FormatValue(s.Store.CallTimeout), "at most a third of Intervals.Lease, "+fleet.FormatValue(s.Intervals.Lease), "Store", "CallTimeout")
	}
}

// checkListeners checks the listener addresses. Addresses that aren't in the file
// count with their defaults.
func (c checker) checkListeners(original *Settings) {
	s := *original
	s.FillDefaults()
	names := []string{"Caller", "Peer", "Operator"}
	configured := []netip.AddrPort{original.Listen.Caller, original.Listen.Peer, original.Listen.Operator}
	effective := []netip.AddrPort{s.Listen.Caller, s.Listen.Peer, s.Listen.Operator}
	for i, address := range effective {
		path := []string{"Listen", names[i]}
		// An empty string in the file decodes to an invalid address, which the
		// default must not replace. Peer has no default.
		if !configured[i].IsValid() && (c.IsDefined(path...) || names[i] == "Peer") {
			c.report("nothing", `the address to listen on, such as "10.0.0.1:7000"`, path...)
			continue
		}
		if address.Port() == 0 || address.Addr().IsMulticast() {
			c.report(fleet.FormatValue(address), "a unicast address with a port other than 0, because other processes connect to it", path...)
		}
		for j, other := range effective[:i] {
			if addressesOverlap(address, other) {
				c.report(fleet.FormatValue(address), "an address that doesn't overlap Listen."+names[j]+", "+fleet.FormatValue(other), path...)
			}
		}
	}
	if peer := s.Listen.Peer; peer.IsValid() && peer.Addr().IsUnspecified() {
		c.report(fleet.FormatValue(peer), "an address of this VM that its peers can dial", "Listen", "Peer")
	}
}

// addressesOverlap reports whether two listeners can't both be opened: they have
// the same port, and the same address or an unspecified one.
func addressesOverlap(a, b netip.AddrPort) bool {
	return a.IsValid() && b.IsValid() && a.Port() == b.Port() &&
		(a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func (c checker) checkAddresses(addresses []netip.AddrPort, path ...string) {
	for i, address := range addresses {
		if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
			c.report(fleet.FormatValue(address), `IP addresses and ports that can be dialed, such as "10.0.0.2:7000"`, path...)
		}
		if slices.Contains(addresses[:i], address) {
			c.report(fleet.FormatValue(address)+" twice", "each address once", path...)
		}
	}
}

func (c checker) checkName(value, field string) {
	if len(value) > maxNameBytes || selector.CheckWord(value) != nil || strings.Contains(value, "/") {
		found := fleet.FormatValue(value)
		if value == "" && !c.IsDefined(field) {
			found = "nothing"
		}
		c.report(found, "1 to 63 letters, digits and -_.", field)
	}
}

// checkFilePair requires that both or neither of two files are set.
func (c checker) checkFilePair(first, second, firstField, secondField string) {
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

// report adds a problem, unless the value couldn't be decoded: that problem has
// been reported already.
func (c checker) report(found, allowed string, path ...string) {
	if !c.IsUndecodable(path...) {
		c.Report(fleet.Problem{Field: strings.Join(path, "."), Value: found, Allowed: allowed}, path...)
	}
}

// checkRange reports a value outside low to high. NaN is outside, because every
// comparison with it is false.
func checkRange[T cmp.Ordered](c checker, value, low, high T, path ...string) {
	var zero T
	if value >= low && value <= high || value == zero && !c.IsDefined(path...) {
		return
	}
	c.report(fleet.FormatValue(value), fleet.FormatValue(low)+" to "+fleet.FormatValue(high), path...)
}
