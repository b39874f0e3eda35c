package entry

import (
	"sync"
	"time"
)

const (
	// keptWindows is the number of ended usage windows whose counts a node keeps,
	// since their reports may still be due. With the default window of 5 s, it keeps
	// them for 30 s. Reports are due 10 s after a window by default.
	keptWindows = 6
	// gossipedWindows is the number of ended windows whose counts nodes send each
	// other, besides those of the current one.
	gossipedWindows = 1
)

type (
	// counts holds the number of requests that began to run, by workspace.
	counts map[string]int64

	// ledger counts the requests that this node sent to upstreams and that began to
	// run there, by usage window. A request that ran again after a retry counts
	// again. Windows are numbered from 1970, on the clock that medianNow returns.
	ledger struct {
		windowLength time.Duration

		mu      sync.Mutex
		windows map[int64]counts // by window number
	}
)

func newLedger(length time.Duration) *ledger {
	return &ledger{windowLength: length, windows: map[int64]counts{}}
}

// windowAt returns the number of the window that contains a time.
func (l *ledger) windowAt(at time.Time) int64 { return at.UnixNano() / int64(l.windowLength) }

// windowEnd returns the end of a window.
func (l *ledger) windowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(l.windowLength))
}

// record counts a request of a workspace, if it has one.
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

// countsOf returns a copy of the counts of a window.
func (l *ledger) countsOf(window int64) (copied counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied = counts{}
	for workspace, n := range l.windows[window] {
		copied[workspace] = n
	}
	return copied
}

// recentCounts returns the counts of the current window and the last
// gossipedWindows ended ones.
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
