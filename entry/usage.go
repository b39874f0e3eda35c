package entry

import (
	"sync"
	"time"
)

// windowsKept is the number of usage windows that a node remembers: those whose
// reports may still be due.
const (
	keptWindows = 6
	// windowsTold is the number of ended windows whose counts nodes tell each other.
	gossipedWindows = 1
)

type (
	// counts are the requests of each workspace that began to run.
	counts map[string]int64

	// ledger counts the requests that began to run at this node's word, by window
	// of true time.
	ledger struct {
		windowLength time.Duration

		mu      sync.Mutex
		windows map[int64]counts
	}
)

func newLedger(length time.Duration) *ledger {
	return &ledger{windowLength: length, windows: map[int64]counts{}}
}

// window is the number of the window at a moment.
func (l *ledger) windowAt(at time.Time) int64 { return at.UnixNano() / int64(l.windowLength) }

// end is the end of a window.
func (l *ledger) windowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(l.windowLength))
}

// began counts a request.
func (l *ledger) record(workspace string, at time.Time) {
	if workspace == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	window := l.windowAt(at)
	if l.windows[window] == nil {
		l.windows[window] = counts{}
		for old := range l.windows {
			if old < window-keptWindows {
				delete(l.windows, old)
			}
		}
	}
	l.windows[window][workspace]++
}

// of returns a copy of the counts of a window.
func (l *ledger) countsOf(window int64) (copied counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied = counts{}
	for workspace, n := range l.windows[window] {
		copied[workspace] = n
	}
	return copied
}

// open returns the counts of the windows whose reports may still be due.
func (l *ledger) recentCounts(now time.Time) (windows map[int64]counts) {
	windows = map[int64]counts{}
	newest := l.windowAt(now)
	for window := newest - gossipedWindows; window <= newest; window++ {
		if c := l.countsOf(window); len(c) > 0 {
			windows[window] = c
		}
	}
	return windows
}
