// Package providertest is an in-memory stand-in for the platform, with faults
// and a record of every order and usage report.
//
// # Usage
//
//	server := providertest.New(ctx, providertest.Options{ListLag: 10 * time.Second})
//	client := server             // a provider.Client without a network
//	http.Handle("/", server.Handler()) // or over HTTP
//	server.DropResponses(1)      // the next order takes effect, its answer is lost
//	server.Reclaim("limpopo-a")  // the domain's reclaimable upstreams leave
//	server.Violations()          // orders and reports that must never be sent
//
// It works inside a testing/synctest bubble when it is created there.
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

const (
	defaultListLag      = 5 * time.Second
	defaultStartDelay   = 60 * time.Second
	defaultNotice       = 5 * time.Second
	defaultWeightsEvery = time.Second
	firstPort           = 9000
)

type (
	// Options of a Server. Zero values mean defaults, negative durations none.
	Options struct {
		ListLag      time.Duration // age of the VM list
		StartDelay   time.Duration // from the order until the upstream is live
		Notice       time.Duration // from the notice of a reclaim until the end
		WeightsEvery time.Duration // one load of weights each, over all domains
		// OnLive is called when an upstream becomes live and returns its
		// address. The default is an address in 10.200.0.0/16.
		OnLive func(vm provider.VM) (address netip.AddrPort)
		// OnEnd is called when an upstream was stopped or reclaimed.
		OnEnd func(vm provider.VM)
	}

	// Server is the stand-in. It implements provider.Client and is safe for
	// concurrent use.
	Server struct {
		ctx     context.Context
		options Options

		mu        sync.Mutex
		vms       map[string]*machine
		order     []string // names in order of creation
		history   []listing
		available map[pool]int // absent: no limit
		tokens    map[string]applied
		epochs    map[string]uint64 // highest by failure domain
		usage     map[window]provider.UsageReport
		granted   map[string]bool
		weightsAt time.Time // next grant
		log       []Record
		lists     int
		conflicts []string
		faults    faults
	}

	machine struct {
		provider.VM
		ends time.Time // of a leaving one
	}

	// listing is the list as it was at a time.
	listing struct {
		at  time.Time
		vms []machine
	}

	pool struct {
		domain   string
		capacity provider.CapacityType
	}

	window struct {
		workspace string
		start     time.Time
	}
)

var _ provider.Client = (*Server)(nil)

// New returns a platform without VMs. Its timers end with ctx.
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
		ctx: ctx, options: options, vms: make(map[string]*machine), available: make(map[pool]int),
		tokens: make(map[string]applied), epochs: make(map[string]uint64), usage: make(map[window]provider.UsageReport),
		granted: make(map[string]bool),
	}
	if s.options.OnLive == nil {
		s.options.OnLive = s.privateAddress
	}
	s.changed()
	return s
}

// Add puts a VM on the list as it is, such as an entry VM or a reserved
// upstream that was there before.
func (s *Server) Add(vm provider.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.insert(vm)
	s.changed()
}

// Remove ends a VM at once and without notice, as a failure of the machine does.
func (s *Server) Remove(name string) { s.end(name) }

// CurrentVMs returns all VMs as they are now.
func (s *Server) CurrentVMs() (vms []provider.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return views(s.current(), time.Now())
}

// SetAvailable limits the number of further upstreams that can be started.
func (s *Server) SetAvailable(failureDomain string, capacity provider.CapacityType, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.available[pool{failureDomain, capacity}] = n
}

// Reclaim gives notice to all reclaimable upstreams of a failure domain and ends
// them after the notice.
func (s *Server) Reclaim(failureDomain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.vms {
		if m.FailureDomain != failureDomain || m.Capacity != provider.Reclaimable || m.State == provider.Leaving {
			continue
		}
		m.State, m.ends = provider.Leaving, time.Now().Add(s.options.Notice)
		s.after(s.options.Notice, func() { s.end(m.Name) })
	}
	s.changed()
}

// end removes a VM.
func (s *Server) end(name string) {
	s.mu.Lock()
	m := s.vms[name]
	if m != nil {
		delete(s.vms, name)
		s.changed()
	}
	s.mu.Unlock()
	if m != nil && s.options.OnEnd != nil {
		s.options.OnEnd(m.VM)
	}
}

// live makes a starting VM usable.
func (s *Server) live(name string) {
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
	s.changed()
}

// insert adds a VM. The caller holds mu.
func (s *Server) insert(vm provider.VM) {
	s.vms[vm.Name] = &machine{VM: vm}
	s.order = append(s.order, vm.Name)
}

// changed keeps the list for as long as it may still be shown. The caller holds
// mu.
func (s *Server) changed() {
	now := time.Now()
	s.history = append(s.history, listing{now, s.current()})
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.options.ListLag {
		s.history = s.history[1:]
	}
}

// current returns the VMs in order of creation. The caller holds mu.
func (s *Server) current() (vms []machine) {
	for _, name := range s.order {
		if m := s.vms[name]; m != nil {
			vms = append(vms, *m)
		}
	}
	return vms
}

// lagging returns the list as it was before the lag. The caller holds mu.
func (s *Server) lagging() (vms []provider.VM) {
	now := time.Now()
	chosen := s.history[0]
	for _, candidate := range s.history {
		if now.Sub(candidate.at) >= s.options.ListLag {
			chosen = candidate
		}
	}
	return views(chosen.vms, now)
}

// after runs f unless the server's context ends first.
func (s *Server) after(wait time.Duration, f func()) {
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

func (s *Server) privateAddress(vm provider.VM) (address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := slices.Index(s.order, vm.Name) + 1
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(n >> 8), byte(n)}), firstPort)
}

func views(vms []machine, now time.Time) (list []provider.VM) {
	for _, m := range vms {
		if m.State == provider.Leaving {
			m.Remaining = max(m.ends.Sub(now), 0)
		}
		list = append(list, m.VM)
	}
	slices.SortStableFunc(list, func(a, b provider.VM) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	return list
}
