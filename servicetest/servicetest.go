// Package servicetest is a stand-in for a plain application service, with
// faults: the desk service.
//
// # Usage
//
//	service := servicetest.New()
//	server := &http.Server{Handler: service}
//	service.DropResponses(1) // the next call runs, but its answer is lost
//	service.Runs()           // runs of POST /desk/entries so far
//
// GET /desk/draw is idempotent, POST /desk/entries counts its runs and must run
// at most once per entry, GET /desk/runs returns that count, and GET /desk/fees
// is open to callers without a key.
package servicetest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/guavagauge/guavagauge/upstream"
)

const maxBodyBytes = 1 << 20

type (
	// Service is the service. It is safe for concurrent use.
	Service struct {
		router http.Handler

		mu      sync.Mutex
		entries map[string]int // runs by body
		runs    int
		calls   map[string]int // calls that ran, by workspace header
		delay   time.Duration
		drops   int
		refuse  int
		secrets int
	}

	// Receipt is the answer to POST /desk/entries.
	Receipt struct {
		Run   int // number of the run over all entries
		Entry string
	}

	// Runs is the answer to GET /desk/runs.
	Runs struct {
		Runs    int
		Entries map[string]int // runs by the entry's body
	}
)

// New returns a service without faults.
func New() *Service {
	d := &Service{entries: make(map[string]int), calls: make(map[string]int)}
	router := chi.NewRouter()
	router.Use(d.faults)
	router.Get("/desk/draw", d.draw)
	router.Post("/desk/entries", d.enter)
	router.Get("/desk/runs", d.countRuns)
	router.Get("/desk/fees", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int{"Entry": 4, "Draw": 0})
	})
	d.router = router
	return d
}

// ServeHTTP answers one call.
func (d *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.router.ServeHTTP(w, r) }

// SetDelay delays every call by a time before it runs.
func (d *Service) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// DropResponses makes the next n calls run and then closes their connections.
func (d *Service) DropResponses(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drops = n
}

// Refuse makes the service refuse the next n calls without running them.
func (d *Service) Refuse(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse = n
}

// Runs returns how often POST /desk/entries ran.
func (d *Service) Runs() (runs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs
}

// RunsOf returns how often an entry with this body ran.
func (d *Service) RunsOf(entry string) (runs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[entry]
}

// CallsFor returns how many calls ran with this workspace header.
func (d *Service) CallsFor(workspace string) (calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[workspace]
}

// LeakedKeys returns how many calls carried a header for keys, which no
// upstream may see.
func (d *Service) LeakedKeys() (calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.secrets
}

// faults delays, refuses or counts a call, and drops its answer after it ran.
func (d *Service) faults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		delay, refused, dropped := d.delay, d.refuse > 0, false
		switch {
		case refused:
			d.refuse--
		case d.drops > 0:
			dropped = true
			d.drops--
		}
		d.mu.Unlock()
		if refused {
			w.Header().Set(upstream.HeaderWorkStatus, string(upstream.NotRun))
			w.Header().Set("Retry-After", "1")
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		// The server notices that a caller left only after the body was read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !wait(r.Context(), delay) {
			panic(http.ErrAbortHandler)
		}
		d.count(r)
		if dropped {
			next.ServeHTTP(discard{make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Service) count(r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[r.Header.Get(upstream.HeaderWorkspace)]++
	for _, name := range []string{"Authorization", "X-Api-Key", "Api-Key"} {
		if r.Header.Get(name) != "" {
			d.secrets++
			return
		}
	}
}

func (*Service) draw(w http.ResponseWriter, r *http.Request) {
	seed, _ := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	// A fixed linear step makes the answer a function of the seed.
	writeJSON(w, map[string]uint64{"Seed": seed, "Number": (seed*2862933555777941757 + 3037000493) % 90})
}

func (d *Service) enter(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // held in memory by faults
	d.mu.Lock()
	d.runs++
	d.entries[string(body)]++
	receipt := Receipt{Run: d.runs, Entry: string(body)}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	json.NewEncoder(w).Encode(receipt)
}

func (d *Service) countRuns(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	runs := Runs{Runs: d.runs, Entries: make(map[string]int, len(d.entries))}
	for entry, n := range d.entries {
		runs.Entries[entry] = n
	}
	d.mu.Unlock()
	writeJSON(w, runs)
}

// discard is the ResponseWriter of a call whose answer is lost.
type discard struct{ header http.Header }

// Header returns headers that nobody reads.
func (d discard) Header() http.Header { return d.header }

// Write drops the bytes.
func (discard) Write(b []byte) (n int, err error) { return len(b), nil }

// WriteHeader drops the status.
func (discard) WriteHeader(int) {}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

func wait(ctx context.Context, delay time.Duration) (completed bool) {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
