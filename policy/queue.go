package policy

import (
	"container/heap"

	"github.com/guavagauge/guavagauge/fleet"
)

const priorities = fleet.MaxPriority + 1

// defaultPriorityCredit lets one step of priority overtake about one request
// of 1,024 prompt tokens. Nine steps overtake less than a second of an engine's
// work, so the lowest priority waits no longer than that for later work.
const defaultPriorityCredit = 1024

type (
	// QueueOptions configures a Queue. The zero value has the defaults.
	QueueOptions struct {
		// PriorityCredit is the cost of later work that may not overtake an item
		// of one priority more. A negative value disables priorities.
		PriorityCredit int64
	}

	// Item is waiting work. The caller sets the exported fields before Push and
	// leaves them alone until the item has left the queue.
	Item struct {
		Workspace string
		Weight    int // the workspace's; below 1 counts as 1
		Priority  int // 0 to fleet.MaxPriority
		Cost      int64
		Value     any

		flow       *flow
		order      float64 // position among the items of the workspace
		prev, next *Item
	}

	// Queue is a start-time fair queue over workspaces: each backlogged
	// workspace gets a share of the served cost in proportion to its weight.
	//
	// A priority moves an item ahead by a fixed amount of cost and doesn't
	// change its workspace's share, so no priority starves another.
	Queue struct {
		options QueueOptions
		flows   map[string]*flow
		heap    flowHeap
		virtual float64 // virtual time
		items   int
		cost    int64
		weight  float64 // of the workspaces with waiting items
	}

	// flow is the waiting work of one workspace. An empty flow stays in the
	// heap until the virtual time reaches its start, so that a workspace can't
	// shed what it was served by briefly having nothing to do.
	flow struct {
		workspace string
		weight    float64
		start     float64 // virtual start time of the flow's next item
		key       float64 // start less the credit of the first item's priority
		arrived   float64 // cost pushed so far
		cost      int64
		index     int // in the heap
		items     int
		lists     [priorities]itemList
	}

	itemList struct{ head, tail *Item }

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

// Push adds an item.
func (q *Queue) Push(item *Item) {
	item.Priority = min(max(item.Priority, 0), fleet.MaxPriority)
	item.Cost = max(item.Cost, 1)
	f := q.flow(item.Workspace)
	if f.items == 0 {
		f.start = max(f.start, q.virtual)
		f.weight = float64(max(item.Weight, 1))
		q.weight += f.weight
	} else if weight := float64(max(item.Weight, 1)); weight != f.weight {
		q.weight += weight - f.weight
		f.weight = weight
	}
	item.flow = f
	item.order = f.arrived - float64(int64(item.Priority)*q.options.PriorityCredit)
	f.arrived += float64(item.Cost)
	f.lists[item.Priority].push(item)
	q.count(f, 1, item.Cost)
	q.fix(f)
}

// Next removes and returns the item to run next, or nil when none waits.
func (q *Queue) Next() *Item {
	for len(q.heap) > 0 {
		f := q.heap[0]
		q.virtual = max(q.virtual, f.key)
		if f.items == 0 {
			heap.Pop(&q.heap)
			delete(q.flows, f.workspace)
			continue
		}
		item := f.first()
		f.start += float64(item.Cost) / f.weight
		q.take(item)
		return item
	}
	return nil
}

// Remove takes a waiting item out and reports whether it was waiting.
func (q *Queue) Remove(item *Item) bool {
	if item.flow == nil || q.flows[item.Workspace] != item.flow {
		return false
	}
	q.take(item)
	return true
}

// Charge corrects what a workspace was served when the real cost of its work
// differs from the estimate: cost is the difference. It has no effect on a
// workspace that the queue has forgotten.
func (q *Queue) Charge(workspace string, cost int64) {
	if f := q.flows[workspace]; f != nil {
		f.start = max(f.start+float64(cost)/f.weight, q.virtual)
		q.fix(f)
	}
}

// Ahead estimates the cost that would be served before an item of the
// workspace if it were pushed now. Fair sharing lets the other workspaces be
// served at most in proportion to their weights, and at most what they have
// waiting.
func (q *Queue) Ahead(workspace string, weight int, cost int64) int64 {
	own, mine, others := int64(0), float64(max(weight, 1)), q.weight
	if f := q.flows[workspace]; f != nil && f.items > 0 {
		own = f.cost
		others -= f.weight
	}
	shared := float64(own) + float64(own+cost)*others/mine
	return min(q.cost, int64(shared))
}

func (q *Queue) flow(workspace string) *flow {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{workspace: workspace, weight: 1, start: q.virtual}
		q.flows[workspace] = f
		heap.Push(&q.heap, f)
	}
	return f
}

func (q *Queue) take(item *Item) {
	f := item.flow
	f.lists[item.Priority].remove(item)
	item.flow = nil
	q.count(f, -1, -item.Cost)
	if f.items == 0 {
		q.weight -= f.weight
	}
	q.fix(f)
}

func (q *Queue) count(f *flow, items int, cost int64) {
	f.items += items
	f.cost += cost
	q.items += items
	q.cost += cost
}

func (q *Queue) fix(f *flow) {
	f.key = f.start
	if item := f.first(); item != nil {
		f.key -= float64(int64(item.Priority)*q.options.PriorityCredit) / f.weight
	}
	heap.Fix(&q.heap, f.index)
}

// first returns the item of the flow that runs first. There are ten lists,
// each in the order of its items.
func (f *flow) first() (first *Item) {
	for p := range f.lists {
		if head := f.lists[p].head; head != nil && (first == nil || head.order <= first.order) {
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

// Len is part of heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].workspace < h[j].workspace
}

// Swap is part of heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop is part of heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
