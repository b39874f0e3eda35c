package planner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/engine"
)

// The stages of a change, in order. Loads have the first and third only, and
// changes that end a stray drain only the last.
const (
	stageWeights stage = "Weights"
	stageDrain   stage = "Drain"
	stageApply   stage = "Apply"
	stageResume  stage = "Resume"
)

type (
	stage string

	// plan is the durable document.
	plan struct {
		Sequence uint64            // of the last order
		Changes  map[string]change `json:",omitempty"` // by engine
		// History holds the times of role changes by engine.
		History map[string][]time.Time `json:",omitempty"`
	}

	// change is one change of an engine that is under way.
	change struct {
		ID          string
		Kind        engine.OrderKind // OrderResume ends a stray drain
		Role        engine.Role      `json:",omitempty"`
		Model       string           `json:",omitempty"`
		Incarnation uint64           // that the change was decided for
		Stage       stage
		Since       time.Time // begin of the stage
		// Sequence is that of the stage's order. It rises with each stage, and when
		// an order that the engine accepted doesn't show.
		Sequence uint64
	}
)

// clone returns a copy whose maps can be changed.
func (p plan) clone() plan {
	p.Changes, p.History = maps.Clone(p.Changes), maps.Clone(p.History)
	if p.Changes == nil {
		p.Changes = make(map[string]change)
	}
	if p.History == nil {
		p.History = make(map[string][]time.Time)
	}
	return p
}

// add begins a change of an engine.
func (p *plan) add(key string, epoch uint64, wish ChangeRequest, incarnation uint64, now time.Time) {
	p.Sequence++
	c := change{
		ID: fmt.Sprintf("%d-%d", epoch, p.Sequence), Kind: wish.Kind, Role: wish.Role, Model: wish.Model,
		Incarnation: incarnation, Sequence: p.Sequence, Since: now, Stage: stageDrain,
	}
	switch wish.Kind {
	case engine.OrderLoad:
		c.Stage = stageWeights
	case engine.OrderResume:
		c.Stage = stageResume
	}
	p.Changes[key] = c
}

// applied notes a role change in the history and forgets old ones.
func (p *plan) applied(key string, now time.Time) {
	p.History[key] = append(slices.Clone(p.History[key]), now)
	for key, times := range p.History {
		kept := slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return now.Sub(at) > historyKept })
		if p.History[key] = kept; len(kept) == 0 {
			delete(p.History, key)
		}
	}
}

// enter moves a change to a stage.
func (p *plan) enter(key string, next stage, now time.Time) {
	c := p.Changes[key]
	c.Stage, c.Since = next, now
	p.Changes[key] = c
	p.again(key)
}

// again makes the next order of a change's stage a new one.
func (p *plan) again(key string) {
	p.Sequence++
	c := p.Changes[key]
	c.Sequence = p.Sequence
	p.Changes[key] = c
}

// order returns the order that belongs to the stage.
func (c change) order(epoch uint64) (order engine.Order, ok bool) {
	order = engine.Order{
		ID: fmt.Sprintf("%s-%d", c.ID, c.Sequence), Epoch: epoch, Sequence: c.Sequence, Incarnation: c.Incarnation,
	}
	switch c.Stage {
	case stageDrain:
		order.Kind = engine.OrderDrain
	case stageApply:
		order.Kind, order.Role, order.Model = c.Kind, c.Role, c.Model
	case stageResume:
		order.Kind = engine.OrderResume
	default:
		return order, false
	}
	return order, true
}

// shows reports whether the state of the engine shows what the stage's order is
// for.
func (c change) shows(state engine.State) bool {
	switch c.Stage {
	case stageDrain:
		return state.Draining
	case stageResume:
		return !state.Draining
	case stageApply:
		return state.Changing == "" && reached(c.Kind, c.Role, c.Model, state)
	}
	return false
}

// reached reports whether an engine is as a change wants it.
func reached(kind engine.OrderKind, role engine.Role, model string, state engine.State) bool {
	switch kind {
	case engine.OrderRole:
		return state.Role == role
	case engine.OrderLoad:
		return slices.Contains(state.Models, model)
	case engine.OrderUnload:
		return !slices.Contains(state.Models, model)
	}
	return true
}

// idle reports whether a drained engine has no requests left.
func idle(state engine.State) bool {
	return state.Draining && state.Running == 0 && state.Queued == 0
}
