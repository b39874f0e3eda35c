package policy

import (
	"container/heap"

	"github.com/guavagauge/guavagauge/fleet"
)

const priorities = fleet.MaxPriority + 1

// defaultPriorityCredit lets an item overtake about one request of 1,024 prompt
// tokens per priority step. Nine steps amount to less than a second of an
// engine's work, so the lowest priority waits no longer than that for later
// work.
const defaultPriorityCredit = 1024

type (
	// QueueOptions configures a Queue. Fields that are zero get the defaults.
	QueueOptions struct {
		// PriorityCredit is the cost of earlier work that an item may overtake per
		// priority step, 1,024 by default. A negative value disables priorities.
		PriorityCredit int64
	}

	// Item is a unit of work in a Queue. The caller sets the exported fields
	// before Push and must neither change them nor push the item again until it
	// has left the queue.
	Item struct {
		Workspace string
		Weight    int // of the workspace, which has the weight of its latest item; values below 1 count as 1
		Priority  int // from 0 to fleet.MaxPriority, the most urgent
		Cost      int64
		Value     any

		flow       *flow
		sortKey    float64 // cost pushed before it in its workspace, less its priority credit
		prev, next *Item
	}

	// Queue is a start-time fair queue over workspaces: each backlogged
	// workspace gets a share of the served cost in proportion to its weight.
	//
	// Each priority step moves an item ahead by a fixed amount of cost and
	// doesn't change the share of its workspace, so no priority starves another.
	//
	// Virtual time, start tags and the sort keys of flows are in units of cost
	// per weight. The sort keys of items are in units of cost.
	Queue struct {
		options          QueueOptions
		flows            map[string]*flow
		heap             flowHeap
		virtualTime      float64 // largest sort key of a flow that was served or removed
		items            int
		cost             int64
		backloggedWeight float64 // sum over the workspaces with waiting items
	}

	// flow is the waiting work of one workspace. An empty flow stays in the heap
	// until the virtual time reaches its start tag, so that a workspace that is
	// idle for a moment is still charged for the service that it received.
	flow struct {
		workspace  string
		weight     float64
		startTag   float64 // virtual time at which the next item starts
		sortKey    float64 // start tag less the priority credit of the first item per weight
		pushedCost float64 // cost of all items pushed so far
		cost       int64
		heapIndex  int // position in the heap
		items      int
		lists      [priorities]itemList
	}

	// itemList is a doubly linked list of items in the order of their Push.
	itemList struct{ head, tail *Item }

	// flowHeap is a min-heap of flows by sort key.
	flowHeap []*flow
)

// NewQueue returns an empty queue.
func NewQueue(options QueueOptions) *Queue {
	if options.PriorityCredit == 0 {
		options.PriorityCredit = defaultPriorityCredit
	}
	options.PriorityCredit = max(options.PriorityCredit, 0)
	return &Queue{options: options, flows: map[string]*flow{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.items }

// Cost returns the cost of all waiting items.
func (q *Queue) Cost() int64 { return q.cost }

// Push adds an item. It limits the priority to the valid range and raises a cost
// below 1 to 1.
func (q *Queue) Push(item *Item) {
	item.Priority = min(max(item.Priority, 0), fleet.MaxPriority)
	item.Cost = max(item.Cost, 1)
	f := q.flowOf(item.Workspace)
	if f.items == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		f.weight = float64(max(item.Weight, 1))
		q.backloggedWeight += f.weight
	} else if weight := float64(max(item.Weight, 1)); weight != f.weight {
		q.backloggedWeight += weight - f.weight
		f.weight = weight
	}
	item.flow = f
	item.sortKey = f.pushedCost - float64(int64(item.Priority)*q.options.PriorityCredit)
	f.pushedCost += float64(item.Cost)
	f.lists[item.Priority].push(item)
	q.adjustCounts(f, 1, item.Cost)
	q.updateSortKey(f)
}

// Next removes and returns the item to run next, or nil if the queue is empty.
func (q *Queue) Next() *Item {
	for len(q.heap) > 0 {
		f := q.heap[0]
		q.virtualTime = max(q.virtualTime, f.sortKey)
		if f.items == 0 {
			heap.Pop(&q.heap)
			delete(q.flows, f.workspace)
			continue
		}
		item := f.first()
		f.startTag += float64(item.Cost) / f.weight
		q.removeItem(item)
		return item
	}
	return nil
}

// Remove removes a waiting item and reports whether it was waiting. Its workspace
// isn't charged for it. Items that were pushed later keep sort keys that include
// its cost, which only matter for the order within the workspace.
func (q *Queue) Remove(item *Item) bool {
	if item.flow == nil || q.flows[item.Workspace] != item.flow {
		return false
	}
	q.removeItem(item)
	return true
}

// Charge adds cost to the service that a workspace has received, after the
// actual cost of an item differed from its Cost by that much. A negative cost is
// credited, but not beyond the current virtual time. Charge has no effect if the
// workspace has no flow in the queue any more.
func (q *Queue) Charge(workspace string, cost int64) {
	if f := q.flows[workspace]; f != nil {
		f.startTag = max(f.startTag+float64(cost)/f.weight, q.virtualTime)
		q.updateSortKey(f)
	}
}

// Ahead estimates the cost that would be served before an item of the workspace
// if it were pushed now. It assumes that the other workspaces are served in
// proportion to their weights, and at most the cost of all waiting items. It
// ignores priorities.
func (q *Queue) Ahead(workspace string, weight int, cost int64) int64 {
	ownCost, ownWeight, otherWeight := int64(0), float64(max(weight, 1)), q.backloggedWeight
	if f := q.flows[workspace]; f != nil && f.items > 0 {
		ownCost = f.cost
		otherWeight -= f.weight
	}
	estimate := float64(ownCost) + float64(ownCost+cost)*otherWeight/ownWeight
	return min(q.cost, int64(estimate))
}

// flowOf returns the flow of a workspace, and creates it if necessary.
func (q *Queue) flowOf(workspace string) *flow {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{workspace: workspace, weight: 1, startTag: q.virtualTime}
		q.flows[workspace] = f
		heap.Push(&q.heap, f)
	}
	return f
}

func (q *Queue) removeItem(item *Item) {
	f := item.flow
	f.lists[item.Priority].remove(item)
	item.flow = nil
	q.adjustCounts(f, -1, -item.Cost)
	if f.items == 0 {
		q.backloggedWeight -= f.weight
	}
	q.updateSortKey(f)
}

// adjustCounts adds to the number and the cost of the items of a flow and of the
// queue.
func (q *Queue) adjustCounts(f *flow, items int, cost int64) {
	f.items += items
	f.cost += cost
	q.items += items
	q.cost += cost
}

// updateSortKey recomputes the sort key of a flow and restores the heap order.
func (q *Queue) updateSortKey(f *flow) {
	f.sortKey = f.startTag
	if item := f.first(); item != nil {
		f.sortKey -= float64(int64(item.Priority)*q.options.PriorityCredit) / f.weight
	}
	heap.Fix(&q.heap, f.heapIndex)
}

// first returns the item of the flow that runs first, or nil. Each of the ten
// lists is in the order of the sort keys, so only their heads are compared. On a
// tie the higher priority runs first.
func (f *flow) first() (first *Item) {
	for p := range f.lists {
		if head := f.lists[p].head; head != nil && (first == nil || head.sortKey <= first.sortKey) {
			first = head
		}
	}
	return first
}

func (l *itemList) push(item *Item) {
	item.prev, item.next = l.tail, nil
	if l.tail == nil {
		l.head = item
	} else {
		l.tail.next = item
	}
	l.tail = item
}

func (l *itemList) remove(item *Item) {
	if item.prev == nil {
		l.head = item.next
	} else {
		item.prev.next = item.next
	}
	if item.next == nil {
		l.tail = item.prev
	} else {
		item.next.prev = item.prev
	}
	item.prev, item.next = nil, nil
}

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].sortKey != h[j].sortKey {
		return h[i].sortKey < h[j].sortKey
	}
	return h[i].workspace < h[j].workspace
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
