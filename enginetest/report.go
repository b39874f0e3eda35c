package enginetest

import (
	"maps"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/engine"
)

const reportsPerLag = 8 // number of reports kept for the time of Options.ReportLag

type timedReport struct {
	engine.Report
	at time.Time
}

// state returns the current state.
func (e *Engine) state() (state engine.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{
		Incarnation: e.incarnation, Role: e.order.role, Models: e.modelNames(), Draining: e.order.draining,
		Changing: e.order.changing, ChangingID: e.order.changingID, Epoch: e.order.epoch,
		Running: len(e.running), Queued: len(e.queue),
	}
}

// recordReport records a report of the current state. It replaces the last report if
// that is recent, except for the only one. The caller holds mu.
func (e *Engine) recordReport() {
	now := time.Now()
	report := engine.Report{
		Incarnation: e.incarnation, Role: e.order.role, Models: e.modelNames(), Draining: e.order.draining,
		Slots: e.options.Slots, Running: len(e.running), Queued: len(e.queue),
		Pieces: e.options.Pieces, UsedPieces: e.usedPieces(),
	}
	for _, r := range e.running {
		report.QueuedPrefillTokens += r.prefillLeft
		report.QueuedDecodeTokens += r.tokensToGenerate - r.generated
	}
	for _, r := range e.queue {
		report.QueuedPrefillTokens += r.promptTokens + r.request.Offset
		report.QueuedDecodeTokens += r.tokensToGenerate
	}
	last := len(e.reports) - 1
	if last > 0 && now.Sub(e.reports[last].at) < e.options.ReportLag/reportsPerLag {
		e.reports[last].Report = report
		return
	}
	e.reports = append(e.reports, timedReport{report, now})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.ReportLag {
		e.reports = e.reports[1:]
	}
}

// report returns the newest report that is at least as old as Options.ReportLag,
// or the oldest one.
func (e *Engine) report() (report engine.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	chosen := e.reports[0]
	for _, candidate := range e.reports {
		if now.Sub(candidate.at) >= e.options.ReportLag {
			chosen = candidate
		}
	}
	report = chosen.Report
	report.Age = max(now.Sub(chosen.at), 0)
	return report
}

func (e *Engine) modelNames() (names []string) {
	return slices.Sorted(maps.Keys(e.order.models))
}
