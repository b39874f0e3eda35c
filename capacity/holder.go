package capacity

import (
	"context"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/intent"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/provider"
)

const lookTimeout = 5 * time.Second // for the list, the notices and the load

type (
	// holder manages under one authority.
	holder struct {
		options   Options
		authority intent.Lease
		document  *intent.Document

		ledger  ledger
		list    []provider.VM
		listed  time.Time // when the list was read
		decided time.Time
		load    map[string]Load
		notices uint64               // sent to schedulers
		told    map[string]told      // what schedulers were told, by VM
		idle    map[string]time.Time // since when, by VM
		started map[string]uint64    // Load.Started after the grace of a drain
	}

	// told is a drain that the schedulers confirmed.
	told struct {
		drain bool
		at    time.Time
	}

	// sight is what a tick sees of the failure domain.
	sight struct {
		now    time.Time
		due    bool // for a decision
		listed bool // the notices were read, and the list not long ago
		vms    map[string]provider.VM
		loaded bool // the load was read
		load   map[string]Load
	}
)

func newHolder(options Options, authority intent.Lease) *holder {
	return &holder{
		options: options, authority: authority,
		document: intent.New(options.Store, Key(options.FailureDomain), authority, intent.Options{
			Checker: options.Checker, Invariant: invariant.SingleCapacityManager,
		}),
		told: make(map[string]told), idle: make(map[string]time.Time), started: make(map[string]uint64),
	}
}

// tick looks at the failure domain, writes down what follows, and carries out
// what is written.
func (h *holder) tick(ctx context.Context) (err error) {
	var durable ledger
	read, err := h.document.Load(ctx, &durable)
	if err != nil {
		return err
	}
	if read {
		h.ledger = durable.clone()
	}
	seen := h.look(ctx)
	next := h.ledger.clone()
	if seen.listed {
		for _, name := range next.match(seen.vms, seen.now, h.options.StartTimeout) {
			h.options.Logger.Warn("ordered upstream never came", "VM", name)
			h.count("orders", "lost upstream")
		}
		for name := range next.Resuming {
			if t, known := h.told[name]; known && !t.drain || seen.vms[name].Name == "" {
				delete(next.Resuming, name)
			}
		}
		h.decide(&next, seen)
	}
	if err := h.save(ctx, next); err != nil {
		return err
	}
	h.drain(ctx, seen)
	h.observeDrained(seen)
	return h.send(ctx, seen)
}

// save makes the ledger durable if it changed.
func (h *holder) save(ctx context.Context, next ledger) (err error) {
	if reflect.DeepEqual(next, h.ledger) {
		return nil
	}
	if err := h.document.Save(ctx, next); err != nil {
		return err
	}
	h.ledger = next
	return nil
}

// look reads the notices, and the list and the load when they are due.
func (h *holder) look(ctx context.Context) (seen sight) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	seen = sight{now: time.Now(), vms: make(map[string]provider.VM)}
	if h.listed.IsZero() || seen.now.Sub(h.listed) >= h.options.ListEvery {
		if list, err := h.options.Platform.Upstreams(ctx, h.options.FailureDomain); err == nil {
			h.list, h.listed = list, seen.now
		} else {
			h.count("failures", "list")
		}
	}
	notices, err := h.options.Platform.Notices(ctx, h.options.FailureDomain)
	if err != nil {
		h.count("failures", "notices")
	}
	seen.listed = err == nil && !h.listed.IsZero() && seen.now.Sub(h.listed) < 2*h.options.ListEvery
	for _, vm := range slices.Concat(h.list, notices) { // notices are newer
		if vm.Kind == provider.Upstream {
			seen.vms[vm.Name] = vm
		}
	}
	if seen.due = seen.now.Sub(h.decided) >= h.options.DecideEvery; seen.due || len(h.ledger.Draining)+len(h.ledger.Pending) > 0 {
		h.lookAtLoad(ctx, &seen)
	}
	return seen
}

// lookAtLoad reads the load and notes how long each upstream has been idle.
func (h *holder) lookAtLoad(ctx context.Context, seen *sight) {
	load, err := h.options.Load(ctx)
	if err != nil {
		h.count("failures", "load")
		return
	}
	before := h.load
	h.load, seen.load, seen.loaded = load, load, true
	for name := range h.idle {
		if _, listed := seen.vms[name]; !listed && seen.listed {
			delete(h.idle, name)
			delete(h.told, name)
			delete(h.started, name)
		}
	}
	for name, vm := range seen.vms {
		switch l := load[name]; {
		case vm.State == provider.Starting || l.Running+l.Queued > 0 || l.Started != before[name].Started:
			delete(h.idle, name)
		case h.idle[name].IsZero():
			h.idle[name] = seen.now
		}
	}
}

// decide adds orders and drains to the ledger.
func (h *holder) decide(next *ledger, seen sight) {
	if len(next.Pending) > 0 {
		return
	}
	for name, d := range next.Draining {
		if _, stopped := next.Stopped[name]; !stopped && !d.Reclaim && h.drainedOut(name, d, seen) {
			next.add(h.authority.Epoch(), h.options.FailureDomain, order{VM: name})
		}
	}
	if len(next.Pending) > 0 || !seen.due {
		return
	}
	h.decided = seen.now
	view := h.view(next, seen)
	plan := h.options.Decide(view)
	h.start(next, provider.Reclaimable, plan.StartReclaimable, view)
	h.start(next, provider.Reserved, plan.StartReserved, view)
	if seen.loaded {
		h.stop(next, provider.Reclaimable, plan.StopReclaimable, view)
		h.stop(next, provider.Reserved, plan.StopReserved, view)
	}
}

// view shows the listed upstreams and the ordered ones that aren't listed yet.
func (h *holder) view(next *ledger, seen sight) (view View) {
	view = View{
		Now: seen.now, FailureDomain: h.options.FailureDomain,
		ReclaimableUnavailable: seen.now.Sub(next.NoneAt) < h.options.NoneAvailableTTL,
	}
	for name, vm := range seen.vms {
		d, draining := next.Draining[name]
		_, stopped := next.Stopped[name]
		u := UpstreamView{
			VM: vm, Load: seen.load[name], Draining: draining && !d.Reclaim && !stopped,
			Terminating: stopped || d.Reclaim || vm.State == provider.Leaving,
		}
		if since := h.idle[name]; !since.IsZero() {
			u.IdleFor = seen.now.Sub(since)
		}
		view.Upstreams = append(view.Upstreams, u)
	}
	for name, o := range next.Ordered {
		view.Upstreams = append(view.Upstreams, UpstreamView{VM: provider.VM{
			Name: name, Kind: provider.Upstream, FailureDomain: h.options.FailureDomain, Capacity: o.Capacity,
			State: provider.Starting,
		}})
	}
	slices.SortFunc(view.Upstreams, func(a, b UpstreamView) int { return strings.Compare(a.Name, b.Name) })
	return view
}

// start revokes drains first, as an upstream that still runs is there at once.
func (h *holder) start(next *ledger, capacity provider.CapacityType, n int, view View) {
	for _, u := range view.Upstreams {
		if n > 0 && u.Draining && u.Capacity == capacity {
			delete(next.Draining, u.Name)
			next.Resuming[u.Name] = true
			n--
		}
	}
	if capacity == provider.Reclaimable && view.ReclaimableUnavailable {
		capacity = provider.Reserved
	}
	if n > 0 {
		next.add(h.authority.Epoch(), h.options.FailureDomain, order{Capacity: capacity, Count: n})
	}
}

// stop drains the upstreams with the least work.
func (h *holder) stop(next *ledger, capacity provider.CapacityType, n int, view View) {
	candidates := slices.DeleteFunc(slices.Clone(view.Upstreams), func(u UpstreamView) bool {
		return u.Capacity != capacity || u.Draining || u.Terminating || u.State != provider.Live
	})
	slices.SortStableFunc(candidates, func(a, b UpstreamView) int {
		if work := (a.Running + a.Queued) - (b.Running + b.Queued); work != 0 {
			return work
		}
		return int(b.IdleFor/time.Millisecond - a.IdleFor/time.Millisecond)
	})
	for _, u := range candidates[:min(n, len(candidates))] {
		next.Draining[u.Name] = drain{Since: view.Now}
		delete(next.Resuming, u.Name)
	}
}

// drain tells the schedulers what the ledger says.
func (h *holder) drain(ctx context.Context, seen sight) {
	for name, vm := range seen.vms {
		_, want := h.ledger.Draining[name]
		if !want && !h.ledger.Resuming[name] {
			continue
		}
		if t, known := h.told[name]; known && t.drain == want {
			continue
		}
		h.notices++
		notice := DrainNotice{vm, want, intent.SequenceNumber{Epoch: h.authority.Epoch(), Sequence: h.notices}}
		if err := h.authority.Do(ctx, func(ctx context.Context) error { return h.options.Drain(ctx, notice) }); err != nil {
			h.count("failures", "drain")
			h.options.Logger.Warn("stewards not told", "VM", name, "Drain", want, "Err", err)
			continue
		}
		h.told[name] = told{want, time.Now()}
	}
}

// drainedOut reports whether a draining upstream was seen without work after
// the grace.
func (h *holder) drainedOut(name string, d drain, seen sight) bool {
	t := h.told[name]
	load := seen.load[name]
	return seen.loaded && t.drain && seen.now.Sub(t.at) >= h.options.DrainGrace &&
		seen.now.Sub(d.Since) >= h.options.DrainGrace && load.Running+load.Queued == 0
}

// observeDrained checks that upstreams get no new work once the grace of their
// drain is over.
func (h *holder) observeDrained(seen sight) {
	for name := range h.ledger.Draining {
		t, load := h.told[name], seen.load[name]
		if !seen.loaded || !t.drain || seen.now.Sub(t.at) < h.options.DrainGrace {
			delete(h.started, name)
			continue
		}
		before, known := h.started[name]
		h.options.Checker.Check(!known || load.Started <= before, invariant.NoWorkWhenDraining,
			"new work on an upstream that leaves", "VM", name, "Before", before, "Now", load.Started)
		h.started[name] = load.Started
	}
	for name := range h.started {
		if _, draining := h.ledger.Draining[name]; !draining {
			delete(h.started, name)
		}
	}
}

// send sends the pending orders until one fails.
func (h *holder) send(ctx context.Context, seen sight) (err error) {
	for len(h.ledger.Pending) > 0 {
		next := h.ledger.clone()
		o := next.Pending[0]
		next.Pending = next.Pending[1:]
		if done, err := h.sendOne(ctx, &next, o, seen); err != nil || !done {
			return err
		}
		if err := h.save(ctx, next); err != nil {
			return err
		}
	}
	return nil
}

func (h *holder) sendOne(ctx context.Context, next *ledger, o order, seen sight) (done bool, err error) {
	if o.VM != "" {
		return h.sendStop(ctx, next, o, seen)
	}
	var started []provider.VM
	err = h.authority.Do(ctx, func(ctx context.Context) (err error) {
		started, err = h.options.Platform.Start(ctx, provider.StartOrder{
			Token: o.Token, FailureDomain: h.options.FailureDomain, Capacity: o.Capacity, Count: o.Count,
			Epoch: h.authority.Epoch(),
		})
		return err
	})
	if h.outcome(o, err) {
		return false, nil
	}
	for _, vm := range started {
		next.Ordered[vm.Name] = ordered{o.Capacity, seen.now}
	}
	if errors.Is(err, provider.ErrNoneAvailable) && o.Capacity == provider.Reclaimable {
		next.NoneAt = seen.now
		next.add(h.authority.Epoch(), h.options.FailureDomain, order{Capacity: provider.Reserved, Count: o.Count})
	}
	return true, nil
}

func (h *holder) sendStop(ctx context.Context, next *ledger, o order, seen sight) (done bool, err error) {
	vm, listed := seen.vms[o.VM]
	switch {
	case !seen.listed:
		return false, nil
	case !listed, vm.State == provider.Leaving:
		// An earlier attempt stopped it, or it ends by itself when its last
		// requests have had their time.
		h.count("orders", "ends anyway")
		return true, nil
	case !h.drainedOut(o.VM, next.Draining[o.VM], seen):
		// The order is a predecessor's, whose drain the schedulers may have
		// forgotten.
		return false, nil
	}
	h.options.Checker.Check(seen.load[o.VM].Running == 0, invariant.GracefulStop,
		"stop of a busy upstream", "VM", o.VM, "Running", seen.load[o.VM].Running)
	err = h.authority.Do(ctx, func(ctx context.Context) error {
		return h.options.Platform.Stop(ctx, provider.StopOrder{
			Token: o.Token, FailureDomain: h.options.FailureDomain, VM: o.VM, Epoch: h.authority.Epoch(),
		})
	})
	if h.outcome(o, err) {
		return false, nil
	}
	next.Stopped[o.VM] = seen.now
	return true, nil
}

// outcome logs what became of an order, and reports whether it has to be
// repeated.
func (h *holder) outcome(o order, err error) (repeat bool) {
	result := "done"
	switch {
	case err == nil:
	case errors.Is(err, provider.ErrNoneAvailable):
		result = "none available"
	case errors.Is(err, provider.ErrConflict):
		h.options.Checker.Check(false, invariant.SingleCapacityManager, "the token is known with other content", "Token", o.Token)
		result = "conflict"
	case errors.Is(err, provider.ErrInvalid):
		result = "invalid"
	default:
		result, repeat = "unknown", true
	}
	h.count("orders", result)
	h.options.Logger.Info("order", "Token", o.Token, "VM", o.VM, "Capacity", o.Capacity, "Count", o.Count,
		"Epoch", h.authority.Epoch(), "Outcome", result, "Err", err)
	return repeat
}
