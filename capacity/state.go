package capacity

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/provider"
)

type (
	// durableState is stored as JSON before its orders and drains are sent.
	durableState struct {
		Sequence uint64 // of the last order
		// Pending orders have no known outcome; they may have been sent already.
		// They are sent one at a time, in this order.
		Pending []order `json:",omitempty"`
		// Ordered upstreams were started and aren't listed yet, by VM name.
		Ordered map[string]orderedVM `json:",omitempty"`
		// Draining upstreams get no new work, by VM name.
		Draining map[string]drain `json:",omitempty"`
		// Resuming upstreams had their drain revoked, which the schedulers may
		// not have confirmed yet.
		Resuming map[string]bool `json:",omitempty"`
		// Stopped upstreams got a stop order and are still listed. The value is the
		// time of the order.
		Stopped map[string]time.Time `json:",omitempty"`
		NoneAt  time.Time            // when a start last found no reclaimable capacity
	}

	// order is a start order, or a stop order if VM is set.
	order struct {
		Token    string
		VM       string                `json:",omitempty"`
		Capacity provider.CapacityType `json:",omitempty"`
		Count    int                   `json:",omitempty"`
	}

	orderedVM struct {
		Capacity provider.CapacityType
		At       time.Time
	}

	drain struct {
		Since time.Time
		// Reclaim means that the platform reclaims the VM. The drain can't be
		// revoked and needs no stop order.
		Reclaim bool `json:",omitempty"`
	}
)

// clone returns a copy that shares no slices or maps with s. Maps that are nil
// become empty.
func (s durableState) clone() durableState {
	s.Pending = slices.Clone(s.Pending)
	s.Ordered, s.Draining, s.Resuming, s.Stopped = cloneMap(s.Ordered), cloneMap(s.Draining), cloneMap(s.Resuming), cloneMap(s.Stopped)
	return s
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// addOrder adds a pending order with a new token. The epoch makes tokens unique
// even if the stored document was deleted and Sequence started again.
func (s *durableState) addOrder(epoch uint64, domain string, o order) {
	s.Sequence++
	o.Token = fmt.Sprintf("%s-%d-%d", domain, epoch, s.Sequence)
	s.Pending = append(s.Pending, o)
}

// stopPending reports whether a stop order for the VM is pending.
func (s *durableState) stopPending(vm string) bool {
	return slices.ContainsFunc(s.Pending, func(o order) bool { return o.VM == vm })
}

// applyObserved updates the state from the observed VMs. It returns the names of
// ordered upstreams that weren't listed within startTimeout. The drain of an
// upstream that is no longer listed is kept while its stop order is pending.
func (s *durableState) applyObserved(vms map[string]provider.VM, now time.Time, startTimeout time.Duration) (lost []string) {
	for name, o := range s.Ordered {
		_, listed := vms[name]
		if late := now.Sub(o.At) > startTimeout; listed || late {
			delete(s.Ordered, name)
			if !listed {
				lost = append(lost, name)
			}
		}
	}
	for name := range s.Stopped {
		if _, listed := vms[name]; !listed {
			delete(s.Stopped, name)
		}
	}
	for name, vm := range vms {
		if d, draining := s.Draining[name]; vm.State == provider.Leaving && !d.Reclaim {
			if !draining {
				d.Since = now
			}
			d.Reclaim = true
			s.Draining[name] = d
			delete(s.Resuming, name)
		}
	}
	for name := range s.Draining {
		if _, listed := vms[name]; !listed && !s.stopPending(name) {
			delete(s.Draining, name)
		}
	}
	return lost
}
