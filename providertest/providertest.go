// Package providertest is an in-memory stand-in for the platform of package
// provider, with faults that tests inject and a record of every order and usage
// report. Package dev runs it as well.
//
// # Usage
//
//	server := providertest.New(ctx, providertest.Options{ListLag: 10 * time.Second})
//	client := server             // a provider.Client without a network
//	http.Handle("/", server.Handler()) // or over HTTP
//	server.DropResponses(1)      // the next order takes effect, but its response is lost
//	server.Reclaim("limpopo-a")  // the domain's reclaimable upstreams get a notice and end
//	server.Violations()          // calls that a correct fleet never makes
//
// A Server that is created in a testing/synctest bubble works there.
package providertest

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/provider"
)

// Defaults of Options.
const (
	defaultListLag      = 5 * time.Second
	defaultStartDelay   = 60 * time.Second
	defaultNotice       = 5 * time.Second
	defaultWeightsEvery = time.Second
	firstPort           = 9000 // of the addresses that privateAddress returns
)

type (
	// Options of a Server. Zero values mean defaults, negative durations none. OnLive
	// and OnEnd may call the Server.
	Options struct {
		ListLag      time.Duration // minimum age of the VM list
		StartDelay   time.Duration // from the order until the upstream is live
		Notice       time.Duration // from the notice of a reclaim until the VM ends
		WeightsEvery time.Duration // interval of grants to load weights, over all failure domains
		// OnLive is called when an upstream becomes live and returns its
		// address. The default is an address in 10.200.0.0/16.
		OnLive func(vm provider.VM) (address netip.AddrPort)
		// OnEnd is called after a VM was stopped, reclaimed or removed.
		OnEnd func(vm provider.VM)
	}

	// Server is the simulated platform. It implements provider.Client and is safe
	// for concurrent use.
	Server struct {
		ctx     context.Context
		options Options

		mu            sync.Mutex
		vms           map[string]*vmEntry
		names         []string // of VMs, in order of creation
		history       []listing
		available     map[pool]int // upstreams that can still be started; absent: no limit
		ordersByToken map[string]appliedOrder
		epochs        map[string]uint64 // highest by failure domain
		usage         map[usageWindow]provider.UsageReport
		grantedTokens map[string]bool
		nextWeights   time.Time // earliest time of the next grant
		records       []Record
		listCalls     int
		violations    []string
		faults        faults
	}

	vmEntry struct {
		provider.VM
		endsAt time.Time // of a VM in state Leaving
	}

	// listing is the VM list as of a point in time.
	listing struct {
		at  time.Time
		vms []vmEntry
	}

	pool struct {
		domain   string
		capacity provider.CapacityType
	}

	usageWindow struct {
		workspace string
		start     time.Time
	}
)

var _ provider.Client = (*Server)(nil)

// New returns a platform without VMs. Its timers stop when ctx ends.
func New(ctx context.Context, options Options) *Server {
	for value, fallback := range map[*time.Duration]time.Duration{
		&options.ListLag: defaultListLag, &options.StartDelay: defaultStartDelay, &options.Notice: defaultNotice,
		&options.WeightsEvery: defaultWeightsEvery,
	} {
		if *value == 0 {
			*value = fallback
		}
		*value = max(*value, 0)
	}
	s := &Server{
		ctx: ctx, options: options, vms: make(map[string]*vmEntry), available: make(map[pool]int),
		ordersByToken: make(map[string]appliedOrder), epochs: make(map[string]uint64), usage: make(map[usageWindow]provider.UsageReport),
		grantedTokens: make(map[string]bool),
	}
	if s.options.OnLive == nil {
		s.options.OnLive = s.privateAddress
	}
	s.recordListing()
	return s
}

// Add adds a VM in the given state, such as an entry VM or a reserved upstream
// that existed before the test.
func (s *Server) Add(vm provider.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.insert(vm)
	s.recordListing()
}

// Remove ends a VM at once and without notice, as a hardware failure does.
func (s *Server) Remove(name string) { s.removeVM(name) }

// CurrentVMs returns all VMs in their current state, without the lag of VMs.
func (s *Server) CurrentVMs() (vms []provider.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return views(s.current(), time.Now())
}

// SetAvailable limits the number of upstreams that can still be started in a
// failure domain with a type of capacity. There is no limit by default.
func (s *Server) SetAvailable(failureDomain string, capacity provider.CapacityType, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.available[pool{failureDomain, capacity}] = n
}

// Reclaim gives notice to all reclaimable upstreams of a failure domain, and ends
// them when the time of the notice has passed.
func (s *Server) Reclaim(failureDomain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.vms {
		if m.FailureDomain != failureDomain || m.Capacity != provider.Reclaimable || m.State == provider.Leaving {
			continue
		}
		m.State, m.endsAt = provider.Leaving, time.Now().Add(s.options.Notice)
		s.runAfter(s.options.Notice, func() { s.removeVM(m.Name) })
	}
	s.recordListing()
}

// removeVM removes a VM and calls Options.OnEnd.
func (s *Server) removeVM(name string) {
	s.mu.Lock()
	m := s.vms[name]
	if m != nil {
		delete(s.vms, name)
		s.recordListing()
	}
	s.mu.Unlock()
	if m != nil && s.options.OnEnd != nil {
		s.options.OnEnd(m.VM)
	}
}

// makeLive makes a starting VM live, with an address from Options.OnLive. A VM that
// got a notice meanwhile keeps its state, and one that ended stays off the list.
func (s *Server) makeLive(name string) {
	s.mu.Lock()
	m := s.vms[name]
	if m == nil || m.State != provider.Starting {
		s.mu.Unlock()
		return
	}
	vm := m.VM
	s.mu.Unlock()
	address := s.options.OnLive(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.Address = address
	if m.State == provider.Starting {
		m.State = provider.Live
	}
	s.recordListing()
}

// insert adds a VM. The caller holds mu.
func (s *Server) insert(vm provider.VM) {
	s.vms[vm.Name] = &vmEntry{VM: vm}
	s.names = append(s.names, vm.Name)
}

// recordListing records the current list and drops the listings that are too old
// for laggingList to return. The caller holds mu.
func (s *Server) recordListing() {
	now := time.Now()
	s.history = append(s.history, listing{now, s.current()})
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.options.ListLag {
		s.history = s.history[1:]
	}
}

// current returns the VMs in order of creation. The caller holds mu.
func (s *Server) current() (vms []vmEntry) {
	for _, name := range s.names {
		if m := s.vms[name]; m != nil {
			vms = append(vms, *m)
		}
	}
	return vms
}

// laggingList returns the newest list that is at least as old as Options.ListLag,
// or the oldest one. The caller holds mu.
func (s *Server) laggingList() (vms []provider.VM) {
	now := time.Now()
	chosen := s.history[0]
	for _, candidate := range s.history {
		if now.Sub(candidate.at) >= s.options.ListLag {
			chosen = candidate
		}
	}
	return views(chosen.vms, now)
}

// runAfter calls f after a time, unless the server's context ends first.
func (s *Server) runAfter(wait time.Duration, f func()) {
	go func() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
			f()
		case <-s.ctx.Done():
		}
	}()
}

// privateAddress is the default of Options.OnLive.
func (s *Server) privateAddress(vm provider.VM) (address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := slices.Index(s.names, vm.Name) + 1
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(n >> 8), byte(n)}), firstPort)
}

// views returns the VMs as the platform lists them, sorted by failure domain.
func views(vms []vmEntry, now time.Time) (list []provider.VM) {
	for _, m := range vms {
		if m.State == provider.Leaving {
			m.Remaining = max(m.endsAt.Sub(now), 0)
		}
		list = append(list, m.VM)
	}
	slices.SortStableFunc(list, func(a, b provider.VM) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	return list
}
