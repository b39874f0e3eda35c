// Package servicetest is a stand-in for a plain HTTP service, the desk service,
// with faults that tests inject. Package dev runs it as well.
//
// # Usage
//
//	service := servicetest.New()
//	server := &http.Server{Handler: service}
//	service.DropResponses(1) // the next call runs, but its response is lost
//	service.Runs()           // number of runs of POST /desk/entries
//
// GET /desk/draw is idempotent. POST /desk/entries isn't: it must run at most once
// for each entry, and the service counts its runs. GET /desk/runs returns the
// counts. GET /desk/fees is for callers without an API key. The service itself
// checks no keys.
//
// The faults apply to all paths, so a GET /desk/runs may take one. A number of
// faults replaces what is left of an earlier number.
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

// maxBodyBytes bounds the body of a call, which is held in memory until the call
// has run. A larger body, or one that breaks off, is answered with status 400 and
// doesn't run.
const maxBodyBytes = 1 << 20

type (
	// Service is the stand-in, an http.Handler. It is safe for concurrent use.
	Service struct {
		router http.Handler

		mu               sync.Mutex
		runsByEntry      map[string]int // by body
		runs             int
		callsByWorkspace map[string]int // those that ran, by workspace header
		delay            time.Duration
		responsesToDrop  int
		callsToRefuse    int
		callsToFail      int
		leakedKeys       int // calls with a header for API keys
	}

	// Receipt is the response to POST /desk/entries.
	Receipt struct {
		Run   int // sequence number of the run, over all entries
		Entry string
	}

	// Runs is the response to GET /desk/runs.
	Runs struct {
		Runs    int
		Entries map[string]int // runs by the entry's body
	}
)

// New returns a service without faults.
func New() *Service {
	d := &Service{runsByEntry: make(map[string]int), callsByWorkspace: make(map[string]int)}
	router := chi.NewRouter()
	router.Use(d.injectFaults)
	router.Get("/desk/draw", d.serveDraw)
	router.Post("/desk/entries", d.serveEntry)
	router.Get("/desk/runs", d.serveRuns)
	router.Get("/desk/fees", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int{"Entry": 4, "Draw": 0})
	})
	d.router = router
	return d
}

// ServeHTTP implements http.Handler.
func (d *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.router.ServeHTTP(w, r) }

// SetDelay delays every call before it runs, but not those that are refused. A call
// whose caller leaves during the delay doesn't run.
func (d *Service) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// DropResponses makes the next n calls run and then close their connections
// without a response. A call that doesn't run, because of its body or because its
// caller left, takes one of them too.
func (d *Service) DropResponses(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responsesToDrop = n
}

// Refuse makes the next n calls fail with status 503, and a header that says they
// did not run.
func (d *Service) Refuse(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callsToRefuse = n
}

// FailAfterRun makes the next n calls run and then answer with status 503, and no header
// that says whether they ran.
func (d *Service) FailAfterRun(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callsToFail = n
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
	return d.runsByEntry[entry]
}

// CallsFor returns how many calls ran for a workspace, by their workspace header.
func (d *Service) CallsFor(workspace string) (calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callsByWorkspace[workspace]
}

// LeakedKeys returns how many calls that ran carried a header for API keys, which
// no upstream may receive.
func (d *Service) LeakedKeys() (calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leakedKeys
}

// injectFaults refuses or delays a call, or drops its response after it ran. It
// counts the calls that run, including those of unknown paths.
func (d *Service) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		delay, refused, failed, dropped := d.delay, d.callsToRefuse > 0, false, false
		switch {
		case refused:
			d.callsToRefuse--
		case d.responsesToDrop > 0:
			dropped = true
			d.responsesToDrop--
		case d.callsToFail > 0:
			failed = true
			d.callsToFail--
		}
		d.mu.Unlock()
		if refused {
			w.Header().Set(upstream.HeaderWorkStatus, string(upstream.NotRun))
			w.Header().Set("Retry-After", "1")
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		// http.Server detects a closed connection only after the body was read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !sleep(r.Context(), delay) {
			panic(http.ErrAbortHandler)
		}
		d.countCall(r)
		if dropped {
			next.ServeHTTP(discardWriter{make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		if failed {
			next.ServeHTTP(discardWriter{make(http.Header)}, r)
			http.Error(w, "not confirmed", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Service) countCall(r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callsByWorkspace[r.Header.Get(upstream.HeaderWorkspace)]++
	for _, name := range []string{"Authorization", "X-Api-Key", "Api-Key"} {
		if r.Header.Get(name) != "" {
			d.leakedKeys++
			return
		}
	}
}

func (*Service) serveDraw(w http.ResponseWriter, r *http.Request) {
	seed, _ := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	// A linear congruential step makes the response a function of the seed.
	writeJSON(w, map[string]uint64{"Seed": seed, "Number": (seed*2862933555777941757 + 3037000493) % 90})
}

func (d *Service) serveEntry(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // can't fail: injectFaults has buffered it
	d.mu.Lock()
	d.runs++
	d.runsByEntry[string(body)]++
	receipt := Receipt{Run: d.runs, Entry: string(body)}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	json.NewEncoder(w).Encode(receipt)
}

func (d *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	runs := Runs{Runs: d.runs, Entries: make(map[string]int, len(d.runsByEntry))}
	for entry, n := range d.runsByEntry {
		runs.Entries[entry] = n
	}
	d.mu.Unlock()
	writeJSON(w, runs)
}

// discardWriter is the ResponseWriter of a call whose response is dropped.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter. It discards the bytes.
func (discardWriter) Write(b []byte) (n int, err error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter. It discards the status.
func (discardWriter) WriteHeader(int) {}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// sleep waits and reports whether the delay passed before ctx ended.
func sleep(ctx context.Context, delay time.Duration) (completed bool) {
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
