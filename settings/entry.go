package settings

import (
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
)

type (
	// EntrySettings are the settings of an entry node: one that serves callers
	// on a platform which holds the configuration and the list of upstreams.
	EntrySettings struct {
		Name          string
		FailureDomain string
		// Regions holds the region of each failure domain.
		Regions map[string]string
		Listen  EntryListen
		Store   EntryEndpoint
		Cloud   EntryEndpoint
		Limits  EntryLimits
		Bounds  EntryBounds
	}

	// EntryListen are the addresses of an entry node's listeners.
	EntryListen struct {
		Caller  netip.AddrPort
		Ready   netip.AddrPort // readiness, for the balancer
		Peer    netip.AddrPort // UDP, for other entry nodes
		Metrics netip.AddrPort
	}

	// EntryEndpoint is the address of an outside service.
	EntryEndpoint struct {
		Address netip.AddrPort
	}

	// EntryLimits are what the VM has.
	EntryLimits struct {
		MemoryMB       int
		ProcessorShare float64 // of one core
	}

	// EntryBounds are the times and figures that are promised.
	EntryBounds struct {
		Configuration time.Duration // until an accepted configuration is in force
		Revocation    time.Duration // until a withdrawn key stops working
		Grace         time.Duration // between SIGTERM and SIGKILL
		Lease         time.Duration // of the holder of a duty
		UsageWindow   time.Duration
		UsageLateness time.Duration // after a window's end until its report is due
		RetryWindow   time.Duration
		RetryRatio    float64 // of extra calls to requests, over all nodes
		RetrySlack    float64 // extra calls beyond the ratio, over all nodes
	}
)

// ParseEntry reads the settings file of an entry node and reports all of its
// problems.
func ParseEntry(file string, text []byte) (settings *EntrySettings, problems []fleet.Problem) {
	settings = &EntrySettings{}
	source := fleet.Decode(file, text, settings)
	settings.check(source)
	settings.fillDefaults()
	return settings, source.SortedProblems()
}

func (s *EntrySettings) check(source *fleet.ParsedFile) {
	c := checker{source}
	c.name(s.Name, "Name")
	c.name(s.FailureDomain, "FailureDomain")
	for _, listener := range []struct {
		field   string
		address netip.AddrPort
	}{{"Caller", s.Listen.Caller}, {"Ready", s.Listen.Ready}, {"Peer", s.Listen.Peer}} {
		if !listener.address.IsValid() {
			c.report("nothing", `the address to listen on, such as "10.0.0.1:7000"`, "Listen", listener.field)
		}
	}
	if !s.Store.Address.IsValid() {
		c.report("nothing", `the store's address, such as "10.0.0.2:2400"`, "Store", "Address")
	}
	if _, ok := s.Regions[s.FailureDomain]; !ok {
		c.report("nothing", "the region of failure domain "+fleet.FormatValue(s.FailureDomain), "Regions", s.FailureDomain)
	}
	inRange(c, s.Limits.MemoryMB, 32, 1<<20, "Limits", "MemoryMB")
	inRange(c, s.Limits.ProcessorShare, 0.01, 1024, "Limits", "ProcessorShare")
	b := &s.Bounds
	inRange(c, b.Configuration, 500*time.Millisecond, time.Minute, "Bounds", "Configuration")
	inRange(c, b.Revocation, time.Second, time.Minute, "Bounds", "Revocation")
	inRange(c, b.Grace, time.Second, time.Hour, "Bounds", "Grace")
	inRange(c, b.Lease, time.Second, time.Minute, "Bounds", "Lease")
	inRange(c, b.UsageWindow, time.Second, 24*time.Hour, "Bounds", "UsageWindow")
	inRange(c, b.UsageLateness, time.Second, time.Hour, "Bounds", "UsageLateness")
	inRange(c, b.RetryWindow, time.Second, time.Hour, "Bounds", "RetryWindow")
	inRange(c, b.RetryRatio, 0, 10, "Bounds", "RetryRatio")
	inRange(c, b.RetrySlack, 0, 1e6, "Bounds", "RetrySlack")
}

// fillDefaults sets the settings that were left out to the figures that the
// platform's pages give.
func (s *EntrySettings) fillDefaults() {
	fill(&s.Limits.MemoryMB, 284)
	fill(&s.Limits.ProcessorShare, 1)
	b := &s.Bounds
	fill(&b.Configuration, 3*time.Second)
	fill(&b.Revocation, 5*time.Second)
	fill(&b.Grace, 8*time.Second)
	fill(&b.Lease, 3*time.Second)
	fill(&b.UsageWindow, 5*time.Second)
	fill(&b.UsageLateness, 10*time.Second)
	fill(&b.RetryWindow, 10*time.Second)
	fill(&b.RetryRatio, 0.2)
	fill(&b.RetrySlack, 10)
}
