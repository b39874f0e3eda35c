package entry

import (
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/settings"
)

const (
	// budgetSlots divide the window of the budget.
	budgetSlots = 20
	// budgetShare is the part of the fleet's budget that its nodes use together,
	// which leaves room for what they count differently.
	budgetShare = 0.8
)

type (
	// budget bounds the extra calls to a service: those beyond the first of each
	// request. All nodes together have a ratio of the requests and a slack, of
	// which each node takes its part.
	budget struct {
		ratio, slack float64
		slot         time.Duration
		start        time.Time // its monotonic part is what counts

		mu       sync.Mutex
		nodes    int
		services map[string]*budgetWindow
	}

	budgetWindow struct {
		requests, extras [budgetSlots]int
		at               int64 // number of the newest slot
	}
)

func newBudget(bounds settings.EntryBounds) *budget {
	return &budget{
		ratio: bounds.RetryRatio, slack: bounds.RetrySlack, slot: bounds.RetryWindow / (budgetSlots - 1), nodes: 1,
		start: time.Now(), services: map[string]*budgetWindow{},
	}
}

// share sets the number of nodes among which the slack is divided.
func (b *budget) share(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(nodes, 1)
}

// request counts a request for a service.
func (b *budget) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.at%budgetSlots]++
}

// take counts an extra call and returns true, or false if none is left.
func (b *budget) take(service string, now time.Time) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, extras := 0, 0
	for i := range budgetSlots {
		requests += w.requests[i]
		extras += w.extras[i]
	}
	if float64(extras+1) > budgetShare*(b.ratio*float64(requests)+b.slack/float64(b.nodes)) {
		return false
	}
	w.extras[w.at%budgetSlots]++
	return true
}

// window is called with mu held.
func (b *budget) window(service string, now time.Time) (w *budgetWindow) {
	w = b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	at := int64(now.Sub(b.start) / b.slot)
	if at-w.at >= budgetSlots {
		*w = budgetWindow{at: at}
	}
	for w.at < at {
		w.at++
		w.requests[w.at%budgetSlots], w.extras[w.at%budgetSlots] = 0, 0
	}
	return w
}
