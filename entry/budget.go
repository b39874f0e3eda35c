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
	budgetSafetyFactor = 0.8
)

type (
	// budget bounds the extra calls to a service: those beyond the first of each
	// request. All nodes together have a ratio of the requests and a slack, of
	// which each node takes its part.
	retryBudget struct {
		ratio, slack float64
		slotLength   time.Duration
		start        time.Time // its monotonic part is what counts

		mu       sync.Mutex
		nodes    int
		services map[string]*retryWindow
	}

	retryWindow struct {
		requests, retries [budgetSlots]int
		newestSlot        int64 // number of the newest slot
	}
)

func newRetryBudget(bounds settings.EntryBounds) *retryBudget {
	return &retryBudget{
		ratio: bounds.RetryRatio, slack: bounds.RetrySlack, slotLength: bounds.RetryWindow / (budgetSlots - 1), nodes: 1,
		start: time.Now(), services: map[string]*retryWindow{},
	}
}

// share sets the number of nodes among which the slack is divided.
func (b *retryBudget) setNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(nodes, 1)
}

// request counts a request for a service.
func (b *retryBudget) countRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	w.requests[w.newestSlot%budgetSlots]++
}

// take counts an extra call and returns true, or false if none is left.
func (b *retryBudget) spend(service string, now time.Time) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	requests, retries := 0, 0
	for i := range budgetSlots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > budgetSafetyFactor*(b.ratio*float64(requests)+b.slack/float64(b.nodes)) {
		return false
	}
	w.retries[w.newestSlot%budgetSlots]++
	return true
}

// window is called with mu held.
func (b *retryBudget) currentWindow(service string, now time.Time) (w *retryWindow) {
	w = b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	slot := int64(now.Sub(b.start) / b.slotLength)
	if slot-w.newestSlot >= budgetSlots {
		*w = retryWindow{newestSlot: slot}
	}
	for w.newestSlot < slot {
		w.newestSlot++
		w.requests[w.newestSlot%budgetSlots], w.retries[w.newestSlot%budgetSlots] = 0, 0
	}
	return w
}
