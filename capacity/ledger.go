package capacity

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/provider"
)

type (
	// ledger is the durable document.
	ledger struct {
		Sequence uint64 // of the last order
		// Pending orders were or are about to be sent, and their outcome isn't
		// known. They are sent one by one, in order.
		Pending []order `json:",omitempty"`
		// Ordered upstreams aren't on the list yet.
		Ordered map[string]ordered `json:",omitempty"`
		// Draining upstreams get no new work, by VM name.
		Draining map[string]drain `json:",omitempty"`
		// Resuming upstreams get work again, which the schedulers may not know
		// yet.
		Resuming map[string]bool `json:",omitempty"`
		// Stopped upstreams are still on the list.
		Stopped map[string]time.Time `json:",omitempty"`
		NoneAt  time.Time            // of the last "none available" for reclaimable ones
	}

	// order is a start, or a stop if VM is set.
	order struct {
		Token    string
		VM       string                `json:",omitempty"`
		Capacity provider.CapacityType `json:",omitempty"`
		Count    int                   `json:",omitempty"`
	}

	ordered struct {
		Capacity provider.CapacityType
		At       time.Time
	}

	drain struct {
		Since time.Time
		// Reclaim drains can't be revoked, and need no stop order.
		Reclaim bool `json:",omitempty"`
	}
)

// clone returns a copy that can be changed.
func (l ledger) clone() ledger {
	l.Pending = slices.Clone(l.Pending)
	l.Ordered, l.Draining, l.Resuming, l.Stopped = copied(l.Ordered), copied(l.Draining), copied(l.Resuming), copied(l.Stopped)
	return l
}

func copied[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// add makes an order pending under a new token. The epoch keeps tokens apart
// from those of a document that was deleted.
func (l *ledger) add(epoch uint64, domain string, o order) {
	l.Sequence++
	o.Token = fmt.Sprintf("%s-%d-%d", domain, epoch, l.Sequence)
	l.Pending = append(l.Pending, o)
}

// stopping reports whether a stop of the VM is pending.
func (l *ledger) stopping(vm string) bool {
	return slices.ContainsFunc(l.Pending, func(o order) bool { return o.VM == vm })
}

// match brings the ledger in line with the list and the notices.
func (l *ledger) match(vms map[string]provider.VM, now time.Time, startTimeout time.Duration) (lost []string) {
	for name, o := range l.Ordered {
		_, listed := vms[name]
		if late := now.Sub(o.At) > startTimeout; listed || late {
			delete(l.Ordered, name)
			if !listed {
				lost = append(lost, name)
			}
		}
	}
	for name := range l.Stopped {
		if _, listed := vms[name]; !listed {
			delete(l.Stopped, name)
		}
	}
	for name, vm := range vms {
		if d, draining := l.Draining[name]; vm.State == provider.Leaving && !d.Reclaim {
			if !draining {
				d.Since = now
			}
			d.Reclaim = true
			l.Draining[name] = d
			delete(l.Resuming, name)
		}
	}
	for name := range l.Draining {
		if _, listed := vms[name]; !listed && !l.stopping(name) {
			delete(l.Draining, name)
		}
	}
	return lost
}
