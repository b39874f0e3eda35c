package policy_test

import (
	"fmt"
	"testing"

	"github.com/guavagauge/guavagauge/policy"
)

// Guards against a workspace that gets more than its share by flooding the queue
// or by using the highest priority.
func TestQueueServesWorkspacesByWeight(t *testing.T) {
	q := policy.NewQueue(policy.QueueOptions{})
	for i := range 1000 {
		q.Push(&policy.Item{Workspace: "flood", Weight: 1, Priority: 9, Cost: 1000})
		if i < 200 {
			q.Push(&policy.Item{Workspace: "steady", Weight: 2, Priority: 0, Cost: 500})
		}
	}
	served := map[string]int64{}
	for range 150 {
		item := q.Next()
		served[item.Workspace] += item.Cost
	}
	// Priority 9 puts "flood" ahead by a cost of 9 x 1,024; apart from that the
	// shares are 1 to 2.
	if ahead := 2*served["flood"] - served["steady"]; ahead < 0 || ahead > 2*9*1024+3000 {
		t.Errorf("served %v, want shares of 1 to 2 apart from the priority credit", served)
	}
}

// Guards against a workspace that earns credit while it has no waiting items and
// then gets more than its share.
func TestQueueDoesNotCreditIdleTime(t *testing.T) {
	q := policy.NewQueue(policy.QueueOptions{})
	push := func(workspace string, n int) {
		for range n {
			q.Push(&policy.Item{Workspace: workspace, Weight: 1, Cost: 1000})
		}
	}
	serve := func(n int) map[string]int {
		served := map[string]int{}
		for range n {
			served[q.Next().Workspace]++
		}
		return served
	}
	push("steady", 300)
	push("short", 1)
	serve(101)
	push("late", 100)
	if served := serve(20); served["late"] < 9 || served["late"] > 11 {
		t.Errorf("served %v, want equal shares since the late workspace arrived", served)
	}
}

// Guards against an item that never runs because items of higher priority keep
// arriving in its workspace, and against one that runs before the priority
// credit of the others is used up.
func TestQueueLowPriorityIsNotStarved(t *testing.T) {
	q := policy.NewQueue(policy.QueueOptions{})
	low := &policy.Item{Workspace: "one", Weight: 1, Cost: 1024}
	q.Push(low)
	for i := range 10 {
		q.Push(&policy.Item{Workspace: "one", Weight: 1, Priority: 9, Cost: 1024})
		item := q.Next()
		switch {
		case item == low && i < 8:
			t.Fatalf("the low-priority item ran too early, in turn %d", i)
		case item == low:
			return
		}
	}
	t.Error("the low-priority item didn't run within 10 turns")
}

func BenchmarkQueue4200Workspaces(b *testing.B) {
	q := policy.NewQueue(policy.QueueOptions{})
	items := make([]policy.Item, 3*4200)
	for i := range items {
		items[i] = policy.Item{Workspace: fmt.Sprint("ws-", i%4200), Weight: i%3 + 1, Priority: i % 10, Cost: int64(i%700 + 1)}
		q.Push(&items[i])
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(q.Next())
	}
}
