package entry

import (
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/settings"
)

const (
	// budgetSlots is the number of time slots in the sliding window of a budget.
	budgetSlots = 20
	// budgetSafetyFactor is the fraction of the fleet's retry budget that its nodes
	// use. The rest allows for nodes that count requests or each other differently.
	budgetSafetyFactor = 0.8
)

type (
	// retryBudget bounds the retries to each service: the calls beyond the first
	// of a request. In each window the fleet may make ratio retries per request
	// plus slack retries. Each node may use an equal share of the slack, and none of it
	// before it knows how many nodes there are.
	retryBudget struct {
		ratio, slack float64
		slotLength   time.Duration
		start        time.Time // only its monotonic reading is used

		mu       sync.Mutex
		nodes    int // 0: unknown
		services map[string]*retryWindow
	}

	// retryWindow counts the requests and retries of one service, by time slot.
	retryWindow struct {
		requests, retries [budgetSlots]int
		newestSlot        int64 // slots since retryBudget.start; the index is this modulo budgetSlots
	}
)

func newRetryBudget(bounds settings.EntryBounds) *retryBudget {
	return &retryBudget{
		// The newest slot has only begun, so the others alone cover the window.
		ratio: bounds.RetryRatio, slack: bounds.RetrySlack, slotLength: bounds.RetryWindow / (budgetSlots - 1),
		start: time.Now(), services: map[string]*retryWindow{},
	}
}

// setNodes sets the number of nodes that share the slack.
func (b *retryBudget) setNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(nodes, 1)
}

// countRequest counts a request to a service.
func (b *retryBudget) countRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	w.requests[w.newestSlot%budgetSlots]++
}

// spend reports whether the budget allows another retry, and counts it if so.
func (b *retryBudget) spend(service string, now time.Time) (ok bool) {
	return b.spendWithin(service, now, 1)
}

// spendWithin is spend with a part of the budget, the rest of which is left to others.
func (b *retryBudget) spendWithin(service string, now time.Time, part float64) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	requests, retries := 0, 0
	for i := range budgetSlots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	share := 0.0
	if b.nodes > 0 {
		share = b.slack / float64(b.nodes)
	}
	if float64(retries+1) > part*budgetSafetyFactor*(b.ratio*float64(requests)+share) {
		return false
	}
	w.retries[w.newestSlot%budgetSlots]++
	return true
}

// currentWindow returns the window of a service after clearing the slots that
// have expired. The caller holds mu.
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
