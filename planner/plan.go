package planner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/engine"
)

// The stages of a change, in order. A load goes through Weights and Apply, a role
// change or an unload through Drain, Apply and Resume. An engine that is found
// drained without a change goes through Resume only.
const (
	stageWeights stage = "Weights"
	stageDrain   stage = "Drain"
	stageApply   stage = "Apply"
	stageResume  stage = "Resume"
)

type (
	stage string

	// durableState is the value of the stored document.
	durableState struct {
		Sequence uint64            // of the last order
		Changes  map[string]change `json:",omitempty"` // by engine
		// History holds the times at which recent role changes entered stageApply,
		// by engine.
		History map[string][]time.Time `json:",omitempty"`
	}

	// change is a change in progress of one engine.
	change struct {
		ID          string
		Kind        engine.OrderKind // OrderResume: only resume a drained engine
		Role        engine.Role      `json:",omitempty"`
		Model       string           `json:",omitempty"`
		Incarnation uint64           // of the engine when the change was decided
		Stage       stage
		Since       time.Time // start of the stage, by the clock of the holder that saved it
		// Sequence is the sequence number of the stage's order. It rises with each
		// stage, and when the engine accepted the order without carrying it out.
		Sequence uint64
	}
)

// clone returns a copy whose maps can be modified.
func (s durableState) clone() durableState {
	s.Changes, s.History = maps.Clone(s.Changes), maps.Clone(s.History)
	if s.Changes == nil {
		s.Changes = make(map[string]change)
	}
	if s.History == nil {
		s.History = make(map[string][]time.Time)
	}
	return s
}

// addChange adds a change of the engine under key, in its first stage.
func (s *durableState) addChange(key string, epoch uint64, request ChangeRequest, incarnation uint64, now time.Time) {
	s.Sequence++
	c := change{
		ID: fmt.Sprintf("%d-%d", epoch, s.Sequence), Kind: request.Kind, Role: request.Role, Model: request.Model,
		Incarnation: incarnation, Sequence: s.Sequence, Since: now, Stage: stageDrain,
	}
	switch request.Kind {
	case engine.OrderLoad:
		c.Stage = stageWeights
	case engine.OrderResume:
		c.Stage = stageResume
	}
	s.Changes[key] = c
}

// recordRoleChange adds a role change to the history and removes those older
// than historyRetention.
func (s *durableState) recordRoleChange(key string, now time.Time) {
	s.History[key] = append(slices.Clone(s.History[key]), now)
	for key, times := range s.History {
		recent := slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return now.Sub(at) > historyRetention })
		if s.History[key] = recent; len(recent) == 0 {
			delete(s.History, key)
		}
	}
}

// setStage moves a change to another stage.
func (s *durableState) setStage(key string, next stage, now time.Time) {
	c := s.Changes[key]
	c.Stage, c.Since = next, now
	s.Changes[key] = c
	s.reissueOrder(key)
}

// reissueOrder gives the order of a change's stage a new sequence number, and so a
// new ID, since an engine ignores an order whose ID it has already seen.
func (s *durableState) reissueOrder(key string) {
	s.Sequence++
	c := s.Changes[key]
	c.Sequence = s.Sequence
	s.Changes[key] = c
}

// order returns the order of the current stage. It returns false for a stage
// without one. The ID doesn't depend on epoch, so that each holder repeats the
// order under the same ID.
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

// observedIn reports whether the engine's state shows the effect of the stage's
// order.
func (c change) observedIn(state engine.State) bool {
	switch c.Stage {
	case stageDrain:
		return state.Draining
	case stageResume:
		return !state.Draining
	case stageApply:
		return state.Changing == "" && satisfied(c.Kind, c.Role, c.Model, state)
	}
	return false
}

// satisfied reports whether an engine already has the role or models that a
// change asks for.
func satisfied(kind engine.OrderKind, role engine.Role, model string, state engine.State) bool {
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

// idle reports whether an engine is drained and has no requests left.
func idle(state engine.State) bool {
	return state.Draining && state.Running == 0 && state.Queued == 0
}
