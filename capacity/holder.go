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

// observeTimeout is the timeout of the reads of the list, the notices and the load
// in one pass, together. They are read in this order, so a list read that uses up
// the time makes the others fail too.
const observeTimeout = 5 * time.Second

type (
	// reconciler manages the failure domain during one epoch of the lease.
	reconciler struct {
		options  Options
		lease    intent.Lease
		document *intent.Document

		durable        durableState
		vms            []provider.VM
		listedAt       time.Time // when vms was read
		decidedAt      time.Time
		load           map[string]Load      // as last read, for the change of Load.Started
		noticeSequence uint64               // of the last notice to schedulers
		drainAcks      map[string]drainAck  // the last notice if all schedulers confirmed it, by VM name
		idleSince      map[string]time.Time // by VM name
		drainedStarts  map[string]uint64    // Load.Started of drained upstreams, by VM name
	}

	// drainAck is a drain notice that all schedulers confirmed.
	drainAck struct {
		draining bool
		at       time.Time
	}

	// observation is the state of the failure domain as read by one reconcile.
	observation struct {
		now         time.Time
		decisionDue bool
		listOK      bool // the notices were read now, and the list within two ListEvery
		vms         map[string]provider.VM
		loadOK      bool // the load was read
		load        map[string]Load
	}
)

func newReconciler(options Options, lease intent.Lease) *reconciler {
	return &reconciler{
		options: options, lease: lease,
		document: intent.New(options.Store, Key(options.FailureDomain), lease, intent.Options{
			Checker: options.Checker, Invariant: invariant.SingleCapacityManager,
		}),
		drainAcks: make(map[string]drainAck), idleSince: make(map[string]time.Time), drainedStarts: make(map[string]uint64),
	}
}

// reconcile observes the failure domain, stores the orders and drains that it
// decides on, and carries out the stored ones.
func (r *reconciler) reconcile(ctx context.Context) (err error) {
	var stored durableState
	loaded, err := r.document.Load(ctx, &stored)
	if err != nil {
		return err
	}
	if loaded {
		r.durable = stored.clone()
	}
	obs := r.observe(ctx)
	next := r.durable.clone()
	if obs.listOK {
		for _, name := range next.applyObserved(obs.vms, obs.now, r.options.StartTimeout) {
			r.options.Logger.Warn("ordered upstream didn't appear in the list of VMs", "VM", name)
			r.count("orders", "lost upstream")
		}
		for name := range next.Resuming {
			if ack, known := r.drainAcks[name]; known && !ack.draining || obs.vms[name].Name == "" {
				delete(next.Resuming, name)
			}
		}
		r.decide(&next, obs)
	}
	if err := r.save(ctx, next); err != nil {
		return err
	}
	r.notifySchedulers(ctx, obs)
	r.checkDrained(obs)
	return r.sendPending(ctx, obs)
}

// save stores next if it differs from the current state.
func (r *reconciler) save(ctx context.Context, next durableState) (err error) {
	if reflect.DeepEqual(next, r.durable) {
		return nil
	}
	if err := r.document.Save(ctx, next); err != nil {
		return err
	}
	r.durable = next
	return nil
}

// observe reads the reclaim notices, and the list and the load if they are due.
func (r *reconciler) observe(ctx context.Context) (obs observation) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	obs = observation{now: time.Now(), vms: make(map[string]provider.VM)}
	if r.listedAt.IsZero() || obs.now.Sub(r.listedAt) >= r.options.ListEvery {
		if list, err := r.options.Platform.Upstreams(ctx, r.options.FailureDomain); err == nil {
			r.vms, r.listedAt = list, obs.now
		} else {
			r.count("failures", "list")
		}
	}
	notices, err := r.options.Platform.Notices(ctx, r.options.FailureDomain)
	if err != nil {
		r.count("failures", "notices")
	}
	obs.listOK = err == nil && !r.listedAt.IsZero() && obs.now.Sub(r.listedAt) < 2*r.options.ListEvery
	for _, vm := range slices.Concat(r.vms, notices) { // notices are newer
		if vm.Kind == provider.Upstream {
			obs.vms[vm.Name] = vm
		}
	}
	if obs.decisionDue = obs.now.Sub(r.decidedAt) >= r.options.DecideEvery; obs.decisionDue || len(r.durable.Draining)+len(r.durable.Pending) > 0 {
		r.observeLoad(ctx, &obs)
	}
	return obs
}

// observeLoad reads the load and updates since when each upstream has been idle.
// It also forgets the data of upstreams that are no longer listed.
func (r *reconciler) observeLoad(ctx context.Context, obs *observation) {
	load, err := r.options.Load(ctx)
	if err != nil {
		r.count("failures", "load")
		return
	}
	before := r.load
	r.load, obs.load, obs.loadOK = load, load, true
	for name := range r.idleSince {
		if _, listed := obs.vms[name]; !listed && obs.listOK {
			delete(r.idleSince, name)
			delete(r.drainAcks, name)
			delete(r.drainedStarts, name)
		}
	}
	for name, vm := range obs.vms {
		switch l := load[name]; {
		case vm.State == provider.Starting || l.Running+l.Queued > 0 || l.Started != before[name].Started:
			delete(r.idleSince, name)
		case r.idleSince[name].IsZero():
			r.idleSince[name] = obs.now
		}
	}
}

// decide adds stop orders for drained upstreams to next, and the orders and
// drains of a new decision. It adds nothing while an order is pending.
func (r *reconciler) decide(next *durableState, obs observation) {
	if len(next.Pending) > 0 {
		return
	}
	for name, d := range next.Draining {
		if _, stopped := next.Stopped[name]; !stopped && !d.Reclaim && r.isDrained(name, d, obs) {
			next.addOrder(r.lease.Epoch(), r.options.FailureDomain, order{VM: name})
		}
	}
	if len(next.Pending) > 0 || !obs.decisionDue {
		return
	}
	r.decidedAt = obs.now
	view := r.view(next, obs)
	plan := r.options.Decide(view)
	r.planStarts(next, provider.Reclaimable, plan.StartReclaimable, view)
	r.planStarts(next, provider.Reserved, plan.StartReserved, view)
	if obs.loadOK {
		r.planStops(next, provider.Reclaimable, plan.StopReclaimable, view)
		r.planStops(next, provider.Reserved, plan.StopReserved, view)
	}
}

// view returns the listed upstreams and the ordered ones that aren't listed yet.
func (r *reconciler) view(next *durableState, obs observation) (view View) {
	view = View{
		Now: obs.now, FailureDomain: r.options.FailureDomain,
		ReclaimableUnavailable: obs.now.Sub(next.NoneAt) < r.options.NoneAvailableTTL,
	}
	for name, vm := range obs.vms {
		d, draining := next.Draining[name]
		_, stopped := next.Stopped[name]
		u := UpstreamView{
			VM: vm, Load: obs.load[name], Draining: draining && !d.Reclaim && !stopped,
			Terminating: stopped || d.Reclaim || vm.State == provider.Leaving,
		}
		if since := r.idleSince[name]; !since.IsZero() {
			u.IdleFor = obs.now.Sub(since)
		}
		view.Upstreams = append(view.Upstreams, u)
	}
	for name, o := range next.Ordered {
		view.Upstreams = append(view.Upstreams, UpstreamView{VM: provider.VM{
			Name: name, Kind: provider.Upstream, FailureDomain: r.options.FailureDomain, Capacity: o.Capacity,
			State: provider.Starting,
		}})
	}
	slices.SortFunc(view.Upstreams, func(a, b UpstreamView) int { return strings.Compare(a.Name, b.Name) })
	return view
}

// planStarts adds n upstreams. It first revokes drains, because an upstream that
// still runs is available at once, and then orders new ones.
func (r *reconciler) planStarts(next *durableState, capacity provider.CapacityType, n int, view View) {
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
		next.addOrder(r.lease.Epoch(), r.options.FailureDomain, order{Capacity: capacity, Count: n})
	}
}

// planStops starts to drain the n upstreams with the least work.
func (r *reconciler) planStops(next *durableState, capacity provider.CapacityType, n int, view View) {
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

// notifySchedulers sends stored drains and their revocations to the schedulers
// unless they have been confirmed.
func (r *reconciler) notifySchedulers(ctx context.Context, obs observation) {
	for name, vm := range obs.vms {
		_, draining := r.durable.Draining[name]
		if !draining && !r.durable.Resuming[name] {
			continue
		}
		if ack, known := r.drainAcks[name]; known && ack.draining == draining {
			continue
		}
		r.noticeSequence++
		notice := DrainNotice{vm, draining, intent.SequenceNumber{Epoch: r.lease.Epoch(), Sequence: r.noticeSequence}}
		if err := r.lease.Do(ctx, func(ctx context.Context) error { return r.options.Drain(ctx, notice) }); err != nil {
			delete(r.drainAcks, name) // it may have reached some schedulers
			r.count("failures", "drain")
			r.options.Logger.Warn("schedulers didn't confirm a drain notice", "VM", name, "Drain", draining, "Err", err)
			continue
		}
		r.drainAcks[name] = drainAck{draining, time.Now()}
	}
}

// isDrained reports whether a draining upstream has no work after the drain
// grace. That counts from the confirmation of the notice to this lease holder, and
// also from the start of the drain: the confirmation may be of an earlier drain
// that was revoked, if the revocation wasn't sent.
func (r *reconciler) isDrained(name string, d drain, obs observation) bool {
	ack := r.drainAcks[name]
	load := obs.load[name]
	return obs.loadOK && ack.draining && obs.now.Sub(ack.at) >= r.options.DrainGrace &&
		obs.now.Sub(d.Since) >= r.options.DrainGrace && load.Running+load.Queued == 0
}

// checkDrained checks that draining upstreams get no new work after the drain
// grace.
func (r *reconciler) checkDrained(obs observation) {
	for name := range r.durable.Draining {
		ack, load := r.drainAcks[name], obs.load[name]
		if !obs.loadOK || !ack.draining || obs.now.Sub(ack.at) < r.options.DrainGrace {
			delete(r.drainedStarts, name)
			continue
		}
		before, known := r.drainedStarts[name]
		r.options.Checker.Check(!known || load.Started <= before, invariant.NoWorkWhenDraining,
			"new work on a draining upstream", "VM", name, "Before", before, "Now", load.Started)
		r.drainedStarts[name] = load.Started
	}
	for name := range r.drainedStarts {
		if _, draining := r.durable.Draining[name]; !draining {
			delete(r.drainedStarts, name)
		}
	}
}

// sendPending sends the pending orders in sequence, up to the first one that has to
// be sent again or a stop that has to wait.
func (r *reconciler) sendPending(ctx context.Context, obs observation) (err error) {
	for len(r.durable.Pending) > 0 {
		next := r.durable.clone()
		o := next.Pending[0]
		next.Pending = next.Pending[1:]
		if done, err := r.sendOrder(ctx, &next, o, obs); err != nil || !done {
			return err
		}
		if err := r.save(ctx, next); err != nil {
			return err
		}
	}
	return nil
}

// sendOrder sends a pending order and records its effect in next. It reports whether
// the order is done, which includes that it was rejected.
func (r *reconciler) sendOrder(ctx context.Context, next *durableState, o order, obs observation) (done bool, err error) {
	if o.VM != "" {
		return r.sendStop(ctx, next, o, obs)
	}
	var started []provider.VM
	err = r.lease.Do(ctx, func(ctx context.Context) (err error) {
		started, err = r.options.Platform.Start(ctx, provider.StartOrder{
			Token: o.Token, FailureDomain: r.options.FailureDomain, Capacity: o.Capacity, Count: o.Count,
			Epoch: r.lease.Epoch(),
		})
		return err
	})
	if r.recordOutcome(o, err) {
		return false, nil
	}
	for _, vm := range started {
		next.Ordered[vm.Name] = orderedVM{o.Capacity, obs.now}
	}
	if errors.Is(err, provider.ErrNoneAvailable) && o.Capacity == provider.Reclaimable {
		next.NoneAt = obs.now
		next.addOrder(r.lease.Epoch(), r.options.FailureDomain, order{Capacity: provider.Reserved, Count: o.Count})
	}
	return true, nil
}

// sendStop does the same for a stop order.
func (r *reconciler) sendStop(ctx context.Context, next *durableState, o order, obs observation) (done bool, err error) {
	vm, listed := obs.vms[o.VM]
	switch {
	case !obs.listOK:
		return false, nil
	case !listed, vm.State == provider.Leaving:
		// An earlier attempt stopped the upstream, or the platform reclaims it
		// and leaves its last requests time to end.
		r.count("orders", "ends anyway")
		return true, nil
	case !r.isDrained(o.VM, next.Draining[o.VM], obs):
		// A previous lease holder left the order. The schedulers may have
		// forgotten its drain, so the upstream is drained again first.
		return false, nil
	}
	r.options.Checker.Check(obs.load[o.VM].Running == 0, invariant.GracefulStop,
		"stop order for a busy upstream", "VM", o.VM, "Running", obs.load[o.VM].Running)
	err = r.lease.Do(ctx, func(ctx context.Context) error {
		return r.options.Platform.Stop(ctx, provider.StopOrder{
			Token: o.Token, FailureDomain: r.options.FailureDomain, VM: o.VM, Epoch: r.lease.Epoch(),
		})
	})
	if r.recordOutcome(o, err) {
		return false, nil
	}
	next.Stopped[o.VM] = obs.now // also if the order was rejected, so that decide doesn't add it again
	return true, nil
}

// recordOutcome logs and counts the outcome of an order. It reports whether the
// order has to be sent again.
func (r *reconciler) recordOutcome(o order, err error) (repeat bool) {
	result := "done"
	switch {
	case err == nil:
	case errors.Is(err, provider.ErrNoneAvailable):
		result = "none available"
	case errors.Is(err, provider.ErrConflict):
		r.options.Checker.Check(false, invariant.SingleCapacityManager, "the platform knows the order token with different content", "Token", o.Token)
		result = "conflict"
	case errors.Is(err, provider.ErrInvalid):
		result = "invalid"
	default:
		result, repeat = "unknown", true
	}
	r.count("orders", result)
	r.options.Logger.Info("order", "Token", o.Token, "VM", o.VM, "Capacity", o.Capacity, "Count", o.Count,
		"Epoch", r.lease.Epoch(), "Outcome", result, "Err", err)
	return repeat
}
