package entry

import (
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/settings"
)

// Guards against a node that takes the whole fleet's slack for its own because it
// hasn't listed the other nodes yet. When the store refuses many nodes that start, each
// of them did so.
func TestRetrySlackNeedsKnownFleet(t *testing.T) {
	const (
		slack    = 58
		requests = 50
		nodes    = 9
	)
	now := time.Now()
	b := newRetryBudget(settings.EntryBounds{RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: slack})
	spent := func() (retries int) {
		for retries < slack && b.spend("desk", now) {
			retries++
		}
		return retries
	}
	if n := spent(); n != 0 {
		t.Errorf("%d retries without a request by a node that knows no other, want none", n)
	}
	for range requests {
		b.countRequest("desk", now)
	}
	if n := spent(); n != 8 { // 0.8 x 0.2 x 50
		t.Errorf("%d retries for 50 requests by a node that knows no other, want 8", n)
	}
	b.setNodes(nodes)
	if n := spent(); n != 5 { // 0.8 x 58 / 9
		t.Errorf("%d more retries by one of 9 nodes, want 5", n)
	}
}

// Guards against recalls that use up the retries of requests that would fail without.
func TestRecallsLeaveRetries(t *testing.T) {
	now := time.Now()
	b := newRetryBudget(settings.EntryBounds{RetryWindow: 10 * time.Second, RetryRatio: 0.2})
	for range 50 {
		b.countRequest("desk", now)
	}
	recalls, retries := 0, 0
	for b.spendWithin("desk", now, recallBudgetPart) {
		recalls++
	}
	for b.spend("desk", now) {
		retries++
	}
	if recalls != 4 || retries != 4 { // 0.8 x 0.2 x 50 in all
		t.Errorf("%d recalls and %d retries for 50 requests, want 4 of each", recalls, retries)
	}
}
