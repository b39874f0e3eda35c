package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

type (
	// Record writes what was sent, answered and run to a file, with the seconds since
	// its start. It also keeps the runs of each request.
	Record struct {
		started time.Time

		mu   sync.Mutex
		file *os.File
		text *bufio.Writer
		runs map[string][]Run // by request ID
	}

	// Run is a request that a worker began to run.
	Run struct {
		Worker string
		At     time.Time
	}
)

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: file, text: bufio.NewWriter(file), runs: map[string][]Run{}}, nil
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.text, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Run records that a worker begins to run a request.
func (r *Record) Run(request, worker string) {
	r.mu.Lock()
	r.runs[request] = append(r.runs[request], Run{worker, time.Now()})
	r.mu.Unlock()
	r.Add("request %s runs at %s", request, worker)
}

// Runs returns the runs of a request.
func (r *Record) Runs(request string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs[request]...)
}

// Close writes what is left and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.text.Flush()
	_ = r.file.Close()
}
