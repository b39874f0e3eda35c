package planner

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/intent"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/provider"
)

type (
	// reconciler drives the engines to their desired state during one epoch of
	// the lease.
	reconciler struct {
		options         Options
		lease           intent.Lease
		document        *intent.Document
		predecessorDone atomic.Bool // the previous holder's operations have ended

		durable        durableState
		decidedAt      time.Time
		reports        map[string]engine.Report
		states         map[string]cachedState // as last read
		fenced         map[string]uint64      // incarnation that accepted the epoch, by engine key
		noticeSequence uint64                 // of the last drain notice
		drainAcks      map[string]bool        // last value that schedulers acknowledged, by engine key
		orderProgress

		mu sync.Mutex // guards the maps during parallel calls to engines
	}

	// orderProgress records which orders and weight reservations of this holder
	// succeeded.
	orderProgress struct {
		accepted        map[string]bool // by order ID
		weightsReserved map[string]bool // by change ID
	}

	// cachedState is an engine's state and the time of the call that read it.
	cachedState struct {
		engine.State
		at time.Time
	}

	// observation is an engine's state as read in the current pass.
	observation struct {
		Engine
		state engine.State
	}
)

func newReconciler(options Options, lease intent.Lease) *reconciler {
	return &reconciler{
		options: options, lease: lease,
		document: intent.New(options.Store, Key(options.FailureDomain), lease, intent.Options{
			Checker: options.Checker, Invariant: invariant.NoConflictingOrders,
		}),
		states: make(map[string]cachedState), fenced: make(map[string]uint64), drainAcks: make(map[string]bool),
		orderProgress: orderProgress{accepted: make(map[string]bool), weightsReserved: make(map[string]bool)},
	}
}

// reconcile makes one pass: it reads the engines, saves the resulting stages of
// all changes, and only then sends the orders of those stages. The document is
// read from the store only in the first pass and after a failed Load or Save.
func (r *reconciler) reconcile(ctx context.Context) (err error) {
	var loaded durableState
	read, err := r.document.Load(ctx, &loaded)
	if err != nil {
		return err
	}
	if read {
		r.durable = loaded.clone()
	}
	now := time.Now()
	engines := r.options.Engines()
	decisionDue := now.Sub(r.decidedAt) >= r.options.DecideEvery
	if decisionDue {
		r.decidedAt = now
		r.reports = r.options.Reports(ctx, engines)
	}
	observed := r.observe(ctx, engines, decisionDue)
	next := r.durable.clone()
	r.advance(&next, engines, observed, now)
	if decisionDue {
		r.startChanges(ctx, &next, engines, observed, now)
	}
	if !reflect.DeepEqual(next, r.durable) {
		if err := r.document.Save(ctx, next); err != nil {
			return err
		}
		r.pruneOrderProgress(next)
		r.durable = next
	}
	return r.executeStages(ctx, observed)
}

// observe reads the state of the engines that are changing or whose cached state
// is missing or outdated. Engines that must not get orders yet aren't read, so
// that decisions rest only on states read after the previous holder's operations
// ended.
func (r *reconciler) observe(ctx context.Context, engines []Engine, decisionDue bool) (observed map[string]observation) {
	observed = make(map[string]observation)
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, e := range engines {
		if r.mayOrder(e) && r.needsRead(e, decisionDue) {
			group.Go(func() error {
				if state, ok := r.read(ctx, e); ok {
					r.mu.Lock()
					defer r.mu.Unlock()
					observed[e.Key] = observation{e, state}
				}
				return nil
			})
		}
	}
	group.Wait()
	return observed
}

// mayOrder reports whether the engine can get orders: the previous holder's
// operations have ended, or the engine refuses them by their epoch.
func (r *reconciler) mayOrder(e Engine) bool {
	return e.Fencing == fleet.FencingChecked || r.predecessorDone.Load()
}

// needsRead reports whether the engine's state has to be read in this pass. The
// state of an engine that isn't changing is read when it is older than
// ResyncEvery, or when a decision is due and it is missing or differs from a
// newer report.
func (r *reconciler) needsRead(e Engine, decisionDue bool) bool {
	if _, changing := r.durable.Changes[e.Key]; changing {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.states[e.Key]
	if !ok {
		return decisionDue
	}
	report, reported := r.reports[e.Key]
	differs := report.Incarnation != state.Incarnation || report.Role != state.Role || report.Draining != state.Draining
	return time.Since(state.at) >= r.options.ResyncEvery ||
		decisionDue && reported && differs && report.Age < time.Since(state.at)
}

// read reads the state of one engine and caches it.
func (r *reconciler) read(ctx context.Context, e Engine) (state engine.State, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, r.options.ReadTimeout)
	defer cancel()
	at := time.Now()
	state, err := e.Control.State(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.count("failures", "state")
		delete(r.states, e.Key)
		return state, false
	}
	r.states[e.Key] = cachedState{state, at}
	return state, true
}

// fetchReports asks each engine for its report. It is the default of
// Options.Reports.
func (o *Options) fetchReports(ctx context.Context, engines []Engine) (reports map[string]engine.Report) {
	reports = make(map[string]engine.Report)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, e := range engines {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, o.ReadTimeout)
			defer cancel()
			if report, err := e.Control.Report(ctx); err == nil {
				mu.Lock()
				defer mu.Unlock()
				reports[e.Key] = report
			}
			return nil
		})
	}
	group.Wait()
	return reports
}

// advance moves each change to its next stage, or ends it, according to the
// observed state of its engine.
func (r *reconciler) advance(next *durableState, engines []Engine, observed map[string]observation, now time.Time) {
	for key, c := range next.Changes {
		if !slices.ContainsFunc(engines, func(e Engine) bool { return e.Key == key }) {
			r.endChange(next, key, "gone")
			continue
		}
		if o, ok := observed[key]; ok {
			r.advanceChange(next, key, c, o.state, now)
		}
	}
	// An engine that drains without a change in progress may have been drained by
	// a late order of a former holder. It is resumed.
	for key, o := range observed {
		if _, changing := next.Changes[key]; o.state.Draining && !changing {
			next.addChange(key, r.lease.Epoch(), ChangeRequest{Kind: engine.OrderResume}, o.state.Incarnation, now)
		}
	}
}

// advanceChange moves one change to its next stage, or ends it. The order of the
// cases matters: an observed effect counts even after a timeout, and an order that
// was accepted without effect is only reissued if no other case applies. A change
// that times out is abandoned by going to stageResume, which ends when the engine
// has been resumed and its schedulers have acknowledged that.
func (r *reconciler) advanceChange(next *durableState, key string, c change, state engine.State, now time.Time) {
	if c.Incarnation != state.Incarnation {
		// The engine restarted with its initial role and models, so the change is
		// abandoned.
		r.count("changes", "restarted")
		c.Kind, c.Incarnation = engine.OrderResume, state.Incarnation
		next.Changes[key] = c
		next.setStage(key, stageResume, now)
		return
	}
	order, _ := c.order(0) // only for its ID, which doesn't depend on the epoch
	observed, elapsed := c.observedIn(state), now.Sub(c.Since)
	switch {
	case c.Stage == stageWeights:
		if r.weightsReserved[c.ID] {
			next.setStage(key, stageApply, now)
		}
	case c.Stage == stageDrain && idle(state):
		next.setStage(key, stageApply, now)
		if c.Kind == engine.OrderRole {
			next.recordRoleChange(key, now)
		}
	case c.Stage == stageDrain && elapsed > r.options.DrainTimeout:
		r.count("changes", "drain timeout")
		next.setStage(key, stageResume, now)
	case c.Stage == stageApply && observed && c.Kind != engine.OrderLoad:
		next.setStage(key, stageResume, now)
	case observed && c.Stage == stageApply:
		r.endChange(next, key, "done")
	case observed && c.Stage == stageResume:
		if drained, sent := r.drainAcks[key]; sent && !drained {
			r.endChange(next, key, "done")
		}
	case c.Stage == stageApply && c.Kind != engine.OrderLoad && state.Changing == "" && !idle(state):
		next.setStage(key, stageDrain, now) // a late order of a former holder resumed it
	case c.Stage == stageApply && state.Changing == "" && elapsed > r.options.ApplyTimeout:
		r.count("changes", "apply timeout")
		next.setStage(key, stageResume, now)
	case !observed && r.accepted[order.ID] && state.Changing == "":
		next.reissueOrder(key)
	}
}

// endChange removes a change.
func (r *reconciler) endChange(next *durableState, key, reason string) {
	c := next.Changes[key]
	r.options.Logger.Info("engine change ended", "Engine", key, "ID", c.ID, "Kind", c.Kind, "Stage", c.Stage, "Reason", reason)
	r.count("changes", reason)
	delete(next.Changes, key)
}

// startChanges asks Options.Decide for changes and starts those that are allowed
// and possible.
func (r *reconciler) startChanges(ctx context.Context, next *durableState, engines []Engine, observed map[string]observation, now time.Time) {
	view := View{Now: now, FailureDomain: r.options.FailureDomain}
	for _, e := range engines {
		state, ok := r.states[e.Key]
		c, changing := next.Changes[e.Key]
		role := state.Role
		if c.Kind == engine.OrderRole {
			role = c.Role
		}
		view.Engines = append(view.Engines, EngineView{
			Key: e.Key, Fencing: e.Fencing, State: state.State, TargetRole: role, Report: r.reports[e.Key], RoleChanges: next.History[e.Key],
			Unavailable: !ok || changing || state.Changing != "", Unreachable: !ok,
		})
	}
	for _, request := range r.options.Decide(view) {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.Key == request.Engine })
		if i < 0 || !r.allowed(request, view.Engines[i], next, now) {
			r.count("changes", "not allowed")
			continue
		}
		// The decision may have been based on an outdated state.
		state, ok := r.read(ctx, engines[i])
		if !ok || state.Changing != "" || state.Draining || satisfied(request.Kind, request.Role, request.Model, state) {
			r.count("changes", "not possible")
			continue
		}
		observed[request.Engine] = observation{engines[i], state}
		next.addChange(request.Engine, r.lease.Epoch(), request, state.Incarnation, now)
		r.options.Logger.Info("engine change started", "Engine", request.Engine, "ID", next.Changes[request.Engine].ID, "Kind", request.Kind,
			"Role", request.Role, "Model", request.Model, "Epoch", r.lease.Epoch())
	}
}

// allowed reports whether a requested change may start. An engine that ignores
// epochs has to wait for UnfencedCooldown between two role changes.
func (r *reconciler) allowed(request ChangeRequest, e EngineView, next *durableState, now time.Time) bool {
	if _, changing := next.Changes[request.Engine]; changing || e.Unavailable || satisfied(request.Kind, request.Role, request.Model, e.State) {
		return false
	}
	switch request.Kind {
	case engine.OrderRole:
		last := len(e.RoleChanges) - 1
		return e.Fencing == fleet.FencingChecked || last < 0 || now.Sub(e.RoleChanges[last]) >= r.options.UnfencedCooldown
	case engine.OrderLoad:
		return r.options.WeightLoadLimiter != nil
	case engine.OrderUnload:
		return true
	}
	return false
}

// pruneOrderProgress removes the progress of orders and reservations that don't
// belong to a change in next. It also forgets the acknowledged drain notices of
// engines whose change is new, so that each change notifies the schedulers itself.
func (r *reconciler) pruneOrderProgress(next durableState) {
	accepted, weightsReserved := make(map[string]bool), make(map[string]bool)
	for key, c := range next.Changes {
		if order, ok := c.order(0); ok && r.accepted[order.ID] {
			accepted[order.ID] = true
		}
		if r.weightsReserved[c.ID] {
			weightsReserved[c.ID] = true
		}
		if _, existed := r.durable.Changes[key]; !existed {
			delete(r.drainAcks, key)
		}
	}
	r.accepted, r.weightsReserved = accepted, weightsReserved
}

// notifySchedulers sends the schedulers of an engine a drain notice, unless they
// acknowledged the same one last. The sequence number of a notice that isn't sent
// is skipped; a later notice only needs a higher one.
func (r *reconciler) notifySchedulers(ctx context.Context, key string, drain bool) {
	r.mu.Lock()
	last, sent := r.drainAcks[key]
	r.noticeSequence++
	notice := DrainNotice{key, drain, intent.SequenceNumber{Epoch: r.lease.Epoch(), Sequence: r.noticeSequence}}
	r.mu.Unlock()
	if sent && last == drain {
		return
	}
	if err := r.lease.Do(ctx, func(ctx context.Context) error { return r.options.Drain(ctx, notice) }); err != nil {
		r.count("failures", "drain")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainAcks[key] = drain
}

// executeStages sends the orders and notices of the saved stages.
func (r *reconciler) executeStages(ctx context.Context, observed map[string]observation) (err error) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, key := range slices.Sorted(maps.Keys(observed)) {
		o := observed[key]
		group.Go(func() error { return r.executeStage(ctx, o) })
	}
	return group.Wait()
}

// executeStage does the work of the stage of one engine's change, if it has one.
func (r *reconciler) executeStage(ctx context.Context, o observation) (err error) {
	c, changing := r.durable.Changes[o.Key]
	if changing && c.Incarnation != o.state.Incarnation {
		return nil
	}
	if err := r.ensureFenced(ctx, o); err != nil || !changing {
		return err
	}
	if c.Stage == stageWeights {
		r.reserveWeights(ctx, c)
		return nil
	}
	switch {
	case c.Stage == stageDrain:
		r.notifySchedulers(ctx, o.Key, true)
	case c.Stage == stageResume && c.observedIn(o.state):
		r.notifySchedulers(ctx, o.Key, false)
	}
	if order, ok := c.order(r.lease.Epoch()); ok && !c.observedIn(o.state) && o.state.Changing == "" {
		if c.Stage == stageApply && c.Kind != engine.OrderLoad && !idle(o.state) {
			return nil // advance returns to stageDrain in the next pass
		}
		return r.send(ctx, o, order)
	}
	return nil
}

// ensureFenced sends an engine that checks epochs an order without any other
// effect, unless this incarnation of the engine already accepted the epoch. From
// then on it refuses orders of former holders.
func (r *reconciler) ensureFenced(ctx context.Context, o observation) (err error) {
	r.mu.Lock()
	fenced := r.fenced[o.Key] == o.state.Incarnation
	r.mu.Unlock()
	if fenced || o.Fencing == fleet.FencingIgnored {
		return nil
	}
	epoch := r.lease.Epoch()
	err = r.send(ctx, o, engine.Order{
		ID:    fmt.Sprintf("fence-%d-%d", epoch, o.state.Incarnation),
		Epoch: epoch, Incarnation: o.state.Incarnation, Kind: engine.OrderFence,
	})
	if err == nil { // also if the order failed for another reason than a stale epoch
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.accepted[fmt.Sprintf("fence-%d-%d", epoch, o.state.Incarnation)] {
			r.fenced[o.Key] = o.state.Incarnation
		}
	}
	return err
}

// send sends one order. It returns an error only if the engine has seen a higher
// epoch; after any other failure the order is sent again in a later pass.
func (r *reconciler) send(ctx context.Context, o observation, order engine.Order) (err error) {
	epoch := order.Epoch
	r.options.Checker.Check(o.Fencing == fleet.FencingIgnored || o.state.Epoch <= epoch || r.lease.Check() != nil,
		invariant.NoConflictingOrders, "engine has seen an epoch above the holder's", "Engine", o.Key, "Epoch", epoch, "Found", o.state.Epoch)
	r.options.Checker.Check(order.Kind != engine.OrderRole || idle(o.state),
		invariant.NoPlannedAbort, "role change ordered for an engine that isn't idle", "Engine", o.Key, "ID", order.ID)
	err = r.lease.Do(ctx, func(ctx context.Context) error { return o.Control.Order(ctx, order) })
	outcome := "accepted"
	switch {
	case err == nil:
		r.mu.Lock()
		r.accepted[order.ID] = true
		r.mu.Unlock()
	case errors.Is(err, engine.ErrOvertaken):
		outcome = "overtaken"
	case errors.Is(err, engine.ErrStaleEpoch):
		r.options.Checker.Check(r.lease.Check() != nil, invariant.NoConflictingOrders,
			"engine refused the current holder's epoch as stale", "Engine", o.Key, "Epoch", epoch)
		outcome = "stale epoch"
	default:
		outcome = "failed"
	}
	r.count("orders", outcome)
	r.options.Logger.Info("order", "Engine", o.Key, "ID", order.ID, "Kind", order.Kind, "Epoch", epoch, "Outcome", outcome, "Err", err)
	if errors.Is(err, engine.ErrStaleEpoch) {
		return err
	}
	return nil
}

// reserveWeights asks WeightLoadLimiter whether the load of a model may start. If
// it may not, or the call fails, the next pass asks again with the same token.
func (r *reconciler) reserveWeights(ctx context.Context, c change) {
	wait, err := time.Duration(0), error(nil)
	err = r.lease.Do(ctx, func(ctx context.Context) (err error) {
		wait, err = r.options.WeightLoadLimiter.ReserveWeights(ctx, provider.WeightsRequest{
			Token: c.ID, FailureDomain: r.options.FailureDomain, Model: c.Model,
		})
		return err
	})
	if err != nil || wait > 0 {
		r.count("weights", "wait")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weightsReserved[c.ID] = true
}
