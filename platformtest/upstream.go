package platformtest

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// Upstream stands in for a worker: a plain one, or an engine that reads and
	// generates. It records what ran.
	Upstream struct {
		ID     string
		Stage  string // "": a plain worker
		Events int    // of a generation
		// Gap is the pause between the events of a generation.
		Gap time.Duration

		// Poison, if not empty, is the body of requests that crash the upstream.
		Poison string
		// Crash ends the upstream's connections and listener.
		Crash func()
		// Script holds what becomes of the next requests, and may be shared by several
		// upstreams. It may be nil.
		Script *FaultScript

		mu      sync.Mutex
		handles map[string]bool
		runs    []Run
		kept    map[string]int // tokens of parts of prompts
	}

	// FaultScript is what becomes of the next requests.
	FaultScript struct {
		mu   sync.Mutex
		next []Fault
	}

	// Run is a request that ran.
	Run struct {
		ID        string
		Path      string
		Body      string
		Tenant    string
		Deadline  string
		From      string // last event that the caller had
		Header    http.Header
		Abandoned bool // its connection ended before its answer
	}

	// Fault is what becomes of one request.
	Fault int
)

// Faults of one request.
const (
	// Reject answers that the request has not run.
	Reject Fault = iota + 1
	// Reset runs the request and closes the connection without an answer.
	Reset
	// Truncate ends the answer in the middle of an event or of the body.
	Truncate
	// NoSeal leaves the seal out.
	NoSeal
	// Fail answers 500.
	Fail
)

// Add sets what becomes of the next requests.
func (s *FaultScript) Add(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = append(s.next, faults...)
}

func (s *FaultScript) take() (fault Fault) {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.next) > 0 {
		fault, s.next = s.next[0], s.next[1:]
	}
	return fault
}

// Runs returns the requests that ran.
func (u *Upstream) Runs() (runs []Run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append(runs, u.runs...)
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != u.ID {
		w.Header().Set("Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/kv-list" {
		u.list(w)
		return
	}
	var body strings.Builder
	buffer := make([]byte, 4<<10)
	for {
		n, err := r.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	fault := u.Script.take()
	if fault == Reject {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.keep(r.Header.Get("Prompt-Prefix"))
	if r.Header.Get("Stage") == "prefill" {
		u.read(w, id)
		return
	}
	if source := r.Header.Get("Kv-Source"); source != "" && !strings.Contains(source, "/") {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	index := u.record(r, body.String())
	if u.Poison != "" && body.String() == u.Poison {
		u.Crash()
		panic(http.ErrAbortHandler)
	}
	if fault == Reset {
		panic(http.ErrAbortHandler)
	}
	if fault != NoSeal {
		w.Header().Set("Response-Seal", "seal-"+u.ID+"-"+id)
	}
	switch {
	case fault == Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case u.Events > 0:
		u.generate(w, r, index, fault)
	case fault == Truncate:
		w.Header().Set("Content-Length", "1000")
		w.WriteHeader(http.StatusOK)
		fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	default:
		fmt.Fprintf(w, "answer of %s to %s", u.ID, id)
	}
}

// keep notes the parts of a prompt.
func (u *Upstream) keep(prefix string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for entry := range strings.SplitSeq(prefix, ",") {
		id, text, ok := strings.Cut(entry, ":")
		tokens, err := strconv.Atoi(text)
		if !ok || err != nil {
			continue
		}
		if u.kept == nil {
			u.kept = map[string]int{}
		}
		u.kept[id] = tokens
	}
}

func (u *Upstream) list(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := [][]any{}
	for id, tokens := range u.kept {
		held = append(held, []any{"", id, tokens, "m"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next": len(held) + 1, "held": held})
}

func (u *Upstream) read(w http.ResponseWriter, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.handles == nil {
		u.handles = map[string]bool{}
	}
	u.handles["h-"+id] = true
	writeJSON(w, http.StatusOK, map[string]any{"prefill_handle": "h-" + id, "tokens": 1, "version": 1})
}

func (u *Upstream) record(r *http.Request, body string) (index int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, Run{
		ID: r.Header.Get("Request-Id"), Path: r.URL.Path, Body: body, Tenant: r.Header.Get("Tenant"),
		Deadline: r.Header.Get("Deadline-Ms"), From: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone(),
	})
	return len(u.runs) - 1
}

func (u *Upstream) generate(w http.ResponseWriter, r *http.Request, index int, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if from := r.Header.Get("Last-Event-Id"); from != "" {
		first, _ = strconv.Atoi(from)
	}
	controller := http.NewResponseController(w)
	for event := first + 1; event <= u.Events; event++ {
		if u.Gap > 0 {
			select {
			case <-time.After(u.Gap):
			case <-r.Context().Done():
				u.mu.Lock()
				u.runs[index].Abandoned = true
				u.mu.Unlock()
				return
			}
		}
		if fault == Truncate && event == first+2 {
			fmt.Fprintf(w, "id: %d\ndata: ha", event)
			controller.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event)
		controller.Flush()
	}
}
