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
	// holder plans under one authority.
	holder struct {
		options   Options
		authority intent.Lease
		document  *intent.Document
		settled   atomic.Bool // operations of the previous holder have ended

		plan     plan
		surveyed time.Time
		reports  map[string]engine.Report
		states   map[string]known  // as last read
		fenced   map[string]uint64 // incarnation that knows the epoch, by engine
		notices  uint64            // sent to schedulers
		drained  map[string]bool   // engines that schedulers were told to drain
		sending

		mu sync.Mutex // guards the maps while engines are called in parallel
	}

	// sending is what became of the orders of this holder.
	sending struct {
		accepted map[string]bool // by order ID
		granted  map[string]bool // by change ID
	}

	// known is a state and when it was read.
	known struct {
		engine.State
		at time.Time
	}

	// observation is the state of an engine in this tick.
	observation struct {
		Engine
		state engine.State
	}
)

func newHolder(options Options, authority intent.Lease) *holder {
	return &holder{
		options: options, authority: authority,
		document: intent.New(options.Store, Key(options.FailureDomain), authority, intent.Options{
			Checker: options.Checker, Invariant: invariant.NoConflictingOrders,
		}),
		states: make(map[string]known), fenced: make(map[string]uint64), drained: make(map[string]bool),
		sending: sending{accepted: make(map[string]bool), granted: make(map[string]bool)},
	}
}

// tick reads the engines, writes down what follows, and sends the orders for
// what is written.
func (h *holder) tick(ctx context.Context) (err error) {
	var durable plan
	read, err := h.document.Load(ctx, &durable)
	if err != nil {
		return err
	}
	if read {
		h.plan = durable.clone()
	}
	now := time.Now()
	engines := h.options.Engines()
	survey := now.Sub(h.surveyed) >= h.options.DecideEvery
	if survey {
		h.surveyed = now
		h.reports = h.options.Reports(ctx, engines)
	}
	observed := h.observe(ctx, engines, survey)
	next := h.plan.clone()
	h.advance(&next, engines, observed, now)
	if survey {
		h.adopt(ctx, &next, engines, observed, now)
	}
	if !reflect.DeepEqual(next, h.plan) {
		if err := h.document.Save(ctx, next); err != nil {
			return err
		}
		h.forget(next)
		h.plan = next
	}
	return h.act(ctx, observed)
}

// observe reads the state of the engines that are changing or whose state isn't
// known well enough. An engine that may not get orders yet isn't read, so that
// its state is known only from after the hand-over.
func (h *holder) observe(ctx context.Context, engines []Engine, survey bool) (observed map[string]observation) {
	observed = make(map[string]observation)
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, e := range engines {
		if h.mayOrder(e) && h.due(e, survey) {
			group.Go(func() error {
				if state, ok := h.read(ctx, e); ok {
					h.mu.Lock()
					defer h.mu.Unlock()
					observed[e.Key] = observation{e, state}
				}
				return nil
			})
		}
	}
	group.Wait()
	return observed
}

// mayOrder reports whether operations of the previous holder on the engine have
// ended, or have no effect.
func (h *holder) mayOrder(e Engine) bool {
	return e.Fencing == fleet.FencingChecked || h.settled.Load()
}

func (h *holder) due(e Engine, survey bool) bool {
	if _, changing := h.plan.Changes[e.Key]; changing {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	state, ok := h.states[e.Key]
	if !ok {
		return survey
	}
	report, reported := h.reports[e.Key]
	differs := report.Incarnation != state.Incarnation || report.Role != state.Role || report.Draining != state.Draining
	return time.Since(state.at) >= h.options.ResyncEvery ||
		survey && reported && differs && report.Age < time.Since(state.at)
}

// read reads the state of one engine now.
func (h *holder) read(ctx context.Context, e Engine) (state engine.State, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, h.options.ReadTimeout)
	defer cancel()
	at := time.Now()
	state, err := e.Control.State(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.count("failures", "state")
		delete(h.states, e.Key)
		return state, false
	}
	h.states[e.Key] = known{state, at}
	return state, true
}

// askForReports is the default of Reports.
func (o *Options) askForReports(ctx context.Context, engines []Engine) (reports map[string]engine.Report) {
	reports = make(map[string]engine.Report)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(parallel)
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

// advance moves each change on by what its engine shows.
func (h *holder) advance(next *plan, engines []Engine, observed map[string]observation, now time.Time) {
	for key, c := range next.Changes {
		if !slices.ContainsFunc(engines, func(e Engine) bool { return e.Key == key }) {
			h.drop(next, key, "gone")
			continue
		}
		if o, ok := observed[key]; ok {
			h.advanceOne(next, key, c, o.state, now)
		}
	}
	// A former holder's late order may have drained an engine for no change.
	for key, o := range observed {
		if _, changing := next.Changes[key]; o.state.Draining && !changing {
			next.add(key, h.authority.Epoch(), ChangeRequest{Kind: engine.OrderResume}, o.state.Incarnation, now)
		}
	}
}

func (h *holder) advanceOne(next *plan, key string, c change, state engine.State, now time.Time) {
	if c.Incarnation != state.Incarnation {
		// The engine restarted, with the role and models that it starts with.
		h.count("changes", "restarted")
		c.Kind, c.Incarnation = engine.OrderResume, state.Incarnation
		next.Changes[key] = c
		next.enter(key, stageResume, now)
		return
	}
	order, _ := c.order(0)
	shows, waited := c.shows(state), now.Sub(c.Since)
	switch {
	case c.Stage == stageWeights:
		if h.granted[c.ID] {
			next.enter(key, stageApply, now)
		}
	case c.Stage == stageDrain && idle(state):
		next.enter(key, stageApply, now)
		if c.Kind == engine.OrderRole {
			next.applied(key, now)
		}
	case c.Stage == stageDrain && waited > h.options.DrainTimeout:
		h.count("changes", "drain timeout")
		next.enter(key, stageResume, now)
	case c.Stage == stageApply && shows && c.Kind != engine.OrderLoad:
		next.enter(key, stageResume, now)
	case shows && c.Stage == stageApply:
		h.drop(next, key, "done")
	case shows && c.Stage == stageResume:
		if drained, known := h.drained[key]; known && !drained {
			h.drop(next, key, "done")
		}
	case c.Stage == stageApply && c.Kind != engine.OrderLoad && state.Changing == "" && !idle(state):
		next.enter(key, stageDrain, now) // a stray order resumed it
	case c.Stage == stageApply && state.Changing == "" && waited > h.options.ApplyTimeout:
		h.count("changes", "apply timeout")
		next.enter(key, stageResume, now)
	case !shows && h.accepted[order.ID] && state.Changing == "":
		next.again(key)
	}
}

// drop ends a change.
func (h *holder) drop(next *plan, key, reason string) {
	c := next.Changes[key]
	h.options.Logger.Info("change ended", "Engine", key, "ID", c.ID, "Kind", c.Kind, "Stage", c.Stage, "Reason", reason)
	h.count("changes", reason)
	delete(next.Changes, key)
}

// adopt begins the changes that the decision asks for.
func (h *holder) adopt(ctx context.Context, next *plan, engines []Engine, observed map[string]observation, now time.Time) {
	view := View{Now: now, FailureDomain: h.options.FailureDomain}
	for _, e := range engines {
		state, ok := h.states[e.Key]
		c, changing := next.Changes[e.Key]
		role := state.Role
		if c.Kind == engine.OrderRole {
			role = c.Role
		}
		view.Engines = append(view.Engines, EngineView{
			Key: e.Key, Fencing: e.Fencing, State: state.State, TargetRole: role, Report: h.reports[e.Key], RoleChanges: next.History[e.Key],
			Unavailable: !ok || changing || state.Changing != "", Unreachable: !ok,
		})
	}
	for _, wish := range h.options.Decide(view) {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.Key == wish.Engine })
		if i < 0 || !h.allowed(wish, view.Engines[i], next, now) {
			h.count("changes", "not allowed")
			continue
		}
		// The state that the decision saw may be old.
		state, ok := h.read(ctx, engines[i])
		if !ok || state.Changing != "" || state.Draining || reached(wish.Kind, wish.Role, wish.Model, state) {
			h.count("changes", "not possible")
			continue
		}
		observed[wish.Engine] = observation{engines[i], state}
		next.add(wish.Engine, h.authority.Epoch(), wish, state.Incarnation, now)
		h.options.Logger.Info("change begins", "Engine", wish.Engine, "ID", next.Changes[wish.Engine].ID, "Kind", wish.Kind,
			"Role", wish.Role, "Model", wish.Model, "Epoch", h.authority.Epoch())
	}
}

func (h *holder) allowed(wish ChangeRequest, e EngineView, next *plan, now time.Time) bool {
	if _, changing := next.Changes[wish.Engine]; changing || e.Unavailable || reached(wish.Kind, wish.Role, wish.Model, e.State) {
		return false
	}
	switch wish.Kind {
	case engine.OrderRole:
		last := len(e.RoleChanges) - 1
		return e.Fencing == fleet.FencingChecked || last < 0 || now.Sub(e.RoleChanges[last]) >= h.options.UnfencedCooldown
	case engine.OrderLoad:
		return h.options.WeightLoadLimiter != nil
	case engine.OrderUnload:
		return true
	}
	return false
}

// forget keeps only what is known of the orders of the changes that remain.
func (h *holder) forget(next plan) {
	accepted, granted := make(map[string]bool), make(map[string]bool)
	for key, c := range next.Changes {
		if order, ok := c.order(0); ok && h.accepted[order.ID] {
			accepted[order.ID] = true
		}
		if h.granted[c.ID] {
			granted[c.ID] = true
		}
		if _, known := h.plan.Changes[key]; !known {
			delete(h.drained, key)
		}
	}
	h.accepted, h.granted = accepted, granted
}

func (h *holder) tellStewards(ctx context.Context, key string, drain bool) {
	h.mu.Lock()
	told, known := h.drained[key]
	h.notices++
	notice := DrainNotice{key, drain, intent.SequenceNumber{Epoch: h.authority.Epoch(), Sequence: h.notices}}
	h.mu.Unlock()
	if known && told == drain {
		return
	}
	if err := h.authority.Do(ctx, func(ctx context.Context) error { return h.options.Drain(ctx, notice) }); err != nil {
		h.count("failures", "drain")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drained[key] = drain
}

// act sends the orders that belong to the stages written.
func (h *holder) act(ctx context.Context, observed map[string]observation) (err error) {
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, key := range slices.Sorted(maps.Keys(observed)) {
		o := observed[key]
		group.Go(func() error { return h.actOne(ctx, o) })
	}
	return group.Wait()
}

func (h *holder) actOne(ctx context.Context, o observation) (err error) {
	c, changing := h.plan.Changes[o.Key]
	if changing && c.Incarnation != o.state.Incarnation {
		return nil
	}
	if err := h.fence(ctx, o); err != nil || !changing {
		return err
	}
	if c.Stage == stageWeights {
		h.reserve(ctx, c)
		return nil
	}
	switch {
	case c.Stage == stageDrain:
		h.tellStewards(ctx, o.Key, true)
	case c.Stage == stageResume && c.shows(o.state):
		h.tellStewards(ctx, o.Key, false)
	}
	if order, ok := c.order(h.authority.Epoch()); ok && !c.shows(o.state) && o.state.Changing == "" {
		if c.Stage == stageApply && c.Kind != engine.OrderLoad && !idle(o.state) {
			return nil // advance goes back to draining in the next tick
		}
		return h.send(ctx, o, order)
	}
	return nil
}

// fence makes a checking engine remember the epoch before anything else.
func (h *holder) fence(ctx context.Context, o observation) (err error) {
	h.mu.Lock()
	known := h.fenced[o.Key] == o.state.Incarnation
	h.mu.Unlock()
	if known || o.Fencing == fleet.FencingIgnored {
		return nil
	}
	epoch := h.authority.Epoch()
	err = h.send(ctx, o, engine.Order{
		ID:    fmt.Sprintf("fence-%d-%d", epoch, o.state.Incarnation),
		Epoch: epoch, Incarnation: o.state.Incarnation, Kind: engine.OrderFence,
	})
	if err == nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.accepted[fmt.Sprintf("fence-%d-%d", epoch, o.state.Incarnation)] {
			h.fenced[o.Key] = o.state.Incarnation
		}
	}
	return err
}

// send gives one order. It fails only if the engine knows a higher epoch.
func (h *holder) send(ctx context.Context, o observation, order engine.Order) (err error) {
	held := order.Epoch
	h.options.Checker.Check(o.Fencing == fleet.FencingIgnored || o.state.Epoch <= held || h.authority.Check() != nil,
		invariant.NoConflictingOrders, "the engine knows a higher epoch", "Engine", o.Key, "Epoch", held, "Found", o.state.Epoch)
	h.options.Checker.Check(order.Kind != engine.OrderRole || idle(o.state),
		invariant.NoPlannedAbort, "role change of a busy engine", "Engine", o.Key, "ID", order.ID)
	err = h.authority.Do(ctx, func(ctx context.Context) error { return o.Control.Order(ctx, order) })
	outcome := "accepted"
	switch {
	case err == nil:
		h.mu.Lock()
		h.accepted[order.ID] = true
		h.mu.Unlock()
	case errors.Is(err, engine.ErrOvertaken):
		outcome = "overtaken"
	case errors.Is(err, engine.ErrStaleEpoch):
		h.options.Checker.Check(h.authority.Check() != nil, invariant.NoConflictingOrders,
			"an engine refused the epoch of the holder", "Engine", o.Key, "Epoch", held)
		outcome = "stale epoch"
	default:
		outcome = "failed"
	}
	h.count("orders", outcome)
	h.options.Logger.Info("order", "Engine", o.Key, "ID", order.ID, "Kind", order.Kind, "Epoch", held, "Outcome", outcome, "Err", err)
	if errors.Is(err, engine.ErrStaleEpoch) {
		return err
	}
	return nil
}

// reserve asks the weight store for leave to load a model.
func (h *holder) reserve(ctx context.Context, c change) {
	wait, err := time.Duration(0), error(nil)
	err = h.authority.Do(ctx, func(ctx context.Context) (err error) {
		wait, err = h.options.WeightLoadLimiter.ReserveWeights(ctx, provider.WeightsRequest{
			Token: c.ID, FailureDomain: h.options.FailureDomain, Model: c.Model,
		})
		return err
	})
	if err != nil || wait > 0 {
		h.count("weights", "wait")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.granted[c.ID] = true
}
