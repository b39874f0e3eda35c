package enginetest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/fleet"
)

type (
	// AcceptedOrder is an order that an engine accepted.
	AcceptedOrder struct {
		engine.Order
		At                  time.Time
		Repeat              bool   // the same incarnation accepted the ID before
		AcceptedIncarnation uint64 // the incarnation that accepted it
	}

	// orderState is the state that orders change. A restart resets it, except for
	// accepted. The order IDs are reset as well, so a new incarnation executes an order
	// again if it gets one with a known ID.
	orderState struct {
		role       engine.Role
		models     map[string]bool
		draining   bool
		changing   engine.OrderKind
		changingID string
		cancel     context.CancelFunc
		epoch      uint64
		sequence   uint64
		ids        []string
		accepted   []AcceptedOrder
	}
)

// Orders returns all orders accepted so far, in the order of arrival.
func (e *Engine) Orders() (accepted []AcceptedOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.order.accepted)
}

// Violations describes the accepted orders that a correct fleet never sends: an
// order with a lower epoch than an earlier one, or different orders with the same
// ID.
func (e *Engine) Violations() (violations []string) {
	highest := uint64(0)
	ids := make(map[string]engine.Order)
	for _, order := range e.Orders() {
		if order.Epoch < highest {
			violations = append(violations, fmt.Sprintf("order %q with epoch %d accepted after epoch %d", order.ID, order.Epoch, highest))
		}
		highest = max(highest, order.Epoch)
		first, known := ids[order.ID]
		if !known {
			ids[order.ID] = order.Order
		} else if first.Kind != order.Kind || first.Role != order.Role || first.Model != order.Model {
			violations = append(violations, fmt.Sprintf("order ID %q used for different orders", order.ID))
		}
	}
	return violations
}

// apply executes an order, or refuses it with one of package engine's errors. A
// repeated order is accepted without effect. An engine that ignores fencing checks
// neither epoch, sequence nor incarnation.
func (e *Engine) apply(order engine.Order) (err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := &e.order
	if e.options.Fencing == fleet.FencingChecked {
		switch {
		case order.Epoch < state.epoch:
			return engine.ErrStaleEpoch
		case order.Incarnation != e.incarnation:
			return engine.ErrRestarted
		case order.Kind != engine.OrderFence && order.Epoch == state.epoch && order.Sequence < state.sequence:
			return engine.ErrOvertaken
		case order.Epoch > state.epoch:
			state.sequence = 0
		}
		state.epoch, state.sequence = order.Epoch, max(state.sequence, order.Sequence)
	}
	repeat := slices.Contains(state.ids, order.ID)
	starts := order.Kind == engine.OrderRole || order.Kind == engine.OrderLoad || order.Kind == engine.OrderUnload
	if !repeat && starts && state.changing != "" {
		return engine.ErrChanging
	}
	state.accepted = append(state.accepted, AcceptedOrder{Order: order, At: time.Now(), Repeat: repeat, AcceptedIncarnation: e.incarnation})
	if repeat {
		return nil
	}
	state.ids = append(state.ids, order.ID)
	e.execute(order)
	e.recordReport()
	return nil
}

// execute applies an order's effect. The caller holds mu.
func (e *Engine) execute(order engine.Order) {
	state := &e.order
	switch order.Kind {
	case engine.OrderDrain:
		state.draining = true
	case engine.OrderResume:
		state.draining = false
	case engine.OrderUnload:
		delete(state.models, order.Model)
	case engine.OrderLoad:
		if !state.models[order.Model] {
			e.startChange(order, e.options.LoadTime, func() { state.models[order.Model] = true })
		}
	case engine.OrderRole:
		if state.role != order.Role {
			e.stats.RoleChanges++
			e.abortAll()
			removed := e.cache.resize(0)
			e.logCacheChange("", nil, removed)
			e.startChange(order, e.options.RoleChange, func() { state.role = order.Role })
		}
	}
}

// startChange calls finish after a time, unless the engine crashes before. The
// caller holds mu.
func (e *Engine) startChange(order engine.Order, after time.Duration, finish func()) {
	ctx, cancel := context.WithCancel(e.ctx)
	e.order.changing, e.order.changingID, e.order.cancel = order.Kind, order.ID, cancel
	proc := e.process
	go func() {
		defer cancel()
		if !sleep(ctx, after) || e.awaitRunning(ctx) != proc {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		e.order.changing, e.order.changingID = "", ""
		finish()
		e.recordReport()
		e.wake()
	}()
}

// outOfService reports whether a change of role keeps requests from running. The
// caller holds mu.
func (s *orderState) outOfService() bool { return s.changing == engine.OrderRole }

// cancelChange cancels a change in progress. The caller holds mu.
func (s *orderState) cancelChange() {
	if s.cancel != nil {
		s.cancel()
	}
}

// modelLoaded reports whether the engine serves the model. The caller holds mu.
func (e *Engine) modelLoaded(model string) bool {
	return len(e.options.Models) == 0 && len(e.order.models) == 0 || e.order.models[model]
}
