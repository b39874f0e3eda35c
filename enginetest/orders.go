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
		Repeat              bool   // the ID was accepted before in this incarnation
		AcceptedIncarnation uint64 // the incarnation that accepted it
	}

	// orderState is what orders change. It ends with a crash, except for applied.
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
		applied    []AcceptedOrder
	}
)

// Orders returns all orders accepted so far, in order.
func (e *Engine) Orders() (applied []AcceptedOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.order.applied)
}

// Violations describes the accepted orders that a correct fleet never gives:
// one with a lower epoch than an earlier one, or one ID for different orders.
func (e *Engine) Violations() (conflicts []string) {
	highest := uint64(0)
	ids := make(map[string]engine.Order)
	for _, applied := range e.Orders() {
		if applied.Epoch < highest {
			conflicts = append(conflicts, fmt.Sprintf("order %q of epoch %d after epoch %d", applied.ID, applied.Epoch, highest))
		}
		highest = max(highest, applied.Epoch)
		first, known := ids[applied.ID]
		if !known {
			ids[applied.ID] = applied.Order
		} else if first.Kind != applied.Kind || first.Role != applied.Role || first.Model != applied.Model {
			conflicts = append(conflicts, fmt.Sprintf("order %q given twice with different content", applied.ID))
		}
	}
	return conflicts
}

// apply carries out an order, or refuses it with one of package engine's errors.
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
	state.applied = append(state.applied, AcceptedOrder{Order: order, At: time.Now(), Repeat: repeat, AcceptedIncarnation: e.incarnation})
	if repeat {
		return nil
	}
	state.ids = append(state.ids, order.ID)
	e.carryOut(order)
	e.remember()
	return nil
}

func (e *Engine) carryOut(order engine.Order) {
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
			e.change(order, e.options.LoadTime, func() { state.models[order.Model] = true })
		}
	case engine.OrderRole:
		if state.role != order.Role {
			e.stats.RoleChanges++
			e.cut()
			removed := e.cache.resize(0)
			e.note("", nil, removed)
			e.change(order, e.options.RoleChange, func() { state.role = order.Role })
		}
	}
}

// change applies finish after a time, unless the engine crashes before that.
func (e *Engine) change(order engine.Order, after time.Duration, finish func()) {
	ctx, cancel := context.WithCancel(e.ctx)
	e.order.changing, e.order.changingID, e.order.cancel = order.Kind, order.ID, cancel
	life := e.life
	go func() {
		defer cancel()
		if !sleep(ctx, after) || e.up(ctx) != life {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		e.order.changing, e.order.changingID = "", ""
		finish()
		e.remember()
		e.wake()
	}()
}

// outOfService reports whether no request can run. The caller holds mu.
func (s *orderState) outOfService() bool { return s.changing == engine.OrderRole }

// stop abandons a change under way. The caller holds mu.
func (s *orderState) stop() {
	if s.cancel != nil {
		s.cancel()
	}
}

// serves reports whether the model is loaded.
func (e *Engine) serves(model string) bool {
	return len(e.options.Models) == 0 && len(e.order.models) == 0 || e.order.models[model]
}
