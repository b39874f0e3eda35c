package platformtest

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Upstream is a stand-in for an upstream that records the requests it ran: a
	// plain HTTP service, or a model engine if Events is set. ServeHTTP may run
	// concurrently and reads the exported fields without a lock, so they must not
	// change while requests run.
	Upstream struct {
		ID     string
		Stage  string // as registered; empty for a plain service
		Events int    // in each generated stream; 0: plain responses
		// Gap is the pause before each event of a stream.
		Gap time.Duration

		// Poison, if not empty, is the body of poison requests. Running one calls
		// Crash.
		Poison string
		// PoisonDelay is the time from the begin of such a run to the crash. A caller that
		// leaves meanwhile doesn't end the run.
		PoisonDelay time.Duration
		// PoisonPart, if not empty, is the ID of a prompt part. Running a request that
		// has it, other than as its last part, calls Crash.
		PoisonPart string
		// Crash closes the upstream's connections and listener. It must be set if
		// Poison or PoisonPart is, or Script has a CrashRun.
		Crash func()
		// Script holds the faults of the next requests. Several upstreams may share
		// it, and it may be nil.
		Script *FaultScript
		// Pause is the Retry-After header of a RejectWithPause.
		Pause string
		// Load is the Instance-Load header of each answer; empty: none.
		Load string
		// Delay is the pause before the answer to each run and prefill.
		Delay time.Duration

		leaving  atomic.Bool
		arrivals atomic.Int64

		mu          sync.Mutex
		handles     map[string]bool // KV handles that prefill issued and that weren't freed
		received    map[string]bool // IDs of requests that arrived
		runs        []Run
		cachedParts map[string]int // tokens by ID of the prompt part
	}

	// FaultScript is a queue of faults, one for each of the next requests. Prefill
	// requests take a fault too, of which only Reject and RejectWithPause affect them. Requests for the
	// list of cached prompt parts, or for another instance, take none.
	FaultScript struct {
		mu   sync.Mutex
		next []Fault
	}

	// Run is a request that an Upstream ran.
	Run struct {
		ID        string
		Path      string
		Body      string
		Tenant    string
		Deadline  string
		From      string // Last-Event-Id header: the last event that the caller received
		Header    http.Header
		Abandoned bool // its connection closed before the response was complete
	}

	// Fault is a fault of one request.
	Fault int
)

// The faults of a request. The zero value is none.
const (
	// Reject answers 503 with a header that says the request did not run.
	Reject Fault = iota + 1
	// Reset runs the request and closes the connection without a response.
	Reset
	// Truncate closes the connection in the middle of the body, or of the second
	// event that a stream sends.
	Truncate
	// NoSeal omits the Response-Seal header.
	NoSeal
	// Fail runs the request and answers 500.
	Fail
	// RejectWithPause is Reject with a Retry-After header.
	RejectWithPause
	// CrashRun runs the request and calls Crash.
	CrashRun
)

// Add appends the faults of the next requests.
func (s *FaultScript) Add(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = append(s.next, faults...)
}

// pop removes and returns the next fault. It returns 0 if there is none.
func (s *FaultScript) pop() (fault Fault) {
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

// Runs returns the requests that ran, in order. Prefill requests don't count.
func (u *Upstream) Runs() (runs []Run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append(runs, u.runs...)
}

// SetLeaving makes the upstream say in its answers that it leaves, or stop saying so.
func (u *Upstream) SetLeaving(leaving bool) { u.leaving.Store(leaving) }

// Arrivals returns the number of requests that arrived, including prefills, lists
// of cached parts and those that were rejected.
func (u *Upstream) Arrivals() (n int) { return int(u.arrivals.Load()) }

// Handles returns the number of KV handles that prefills issued and that weren't freed.
func (u *Upstream) Handles() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.handles)
}

// Received reports whether a request with the ID arrived, run or not. It counts as
// arrived once its head was read.
func (u *Upstream) Received(id string) (ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received[id]
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	u.arrivals.Add(1)
	u.recordArrival(id)
	if u.Load != "" {
		w.Header().Set("Instance-Load", u.Load)
	}
	if u.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != u.ID {
		w.Header().Set("Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/kv-list" {
		u.serveCachedParts(w)
		return
	}
	if handle, ok := strings.CutPrefix(r.URL.Path, "/v1/kv-handle/"); ok && r.Method == http.MethodDelete {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.handles, handle)
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
	fault := u.Script.pop()
	if fault == Reject || fault == RejectWithPause {
		if fault == RejectWithPause {
			w.Header().Set("Retry-After", u.Pause)
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.cachePrefix(r.Header.Get("Prompt-Prefix"))
	if r.Header.Get("Stage") == "prefill" {
		if u.pause(r, u.Delay) {
			u.prefill(w, id)
		}
		return
	}
	// A KV source has the form address/handle.
	if source := r.Header.Get("Kv-Source"); source != "" && !strings.Contains(source, "/") {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	index := u.recordRun(r, body.String())
	if u.Poison != "" && body.String() == u.Poison || u.PoisonPart != "" && HasSharedPart(r.Header, u.PoisonPart) {
		<-time.After(u.PoisonDelay)
		u.Crash()
		panic(http.ErrAbortHandler)
	}
	if fault == CrashRun {
		u.Crash()
		panic(http.ErrAbortHandler)
	}
	if fault == Reset {
		panic(http.ErrAbortHandler)
	}
	if !u.pause(r, u.Delay) {
		u.abandon(index)
		return
	}
	if fault != NoSeal {
		w.Header().Set("Response-Seal", "seal-"+u.ID+"-"+id)
	}
	switch {
	case fault == Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case u.Events > 0:
		u.streamEvents(w, r, index, fault)
	case fault == Truncate:
		w.Header().Set("Content-Length", "1000")
		w.WriteHeader(http.StatusOK)
		fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	default:
		fmt.Fprintf(w, "answer of %s to %s", u.ID, id)
	}
}

// cachePrefix records the prompt parts that a Prompt-Prefix header lists as
// cached.
func (u *Upstream) cachePrefix(prefix string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for entry := range strings.SplitSeq(prefix, ",") {
		id, text, ok := strings.Cut(entry, ":")
		tokens, err := strconv.Atoi(text)
		if !ok || err != nil {
			continue
		}
		if u.cachedParts == nil {
			u.cachedParts = map[string]int{}
		}
		u.cachedParts[id] = tokens
	}
}

// serveCachedParts lists the cached prompt parts. Clients read the second and
// third field of each entry: the ID of the part and its tokens.
func (u *Upstream) serveCachedParts(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := [][]any{}
	for id, tokens := range u.cachedParts {
		held = append(held, []any{"", id, tokens, "m"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next": len(held) + 1, "held": held})
}

// prefill answers a request that only prefills its prompt with a KV handle, which
// the wire calls prefill_handle.
func (u *Upstream) prefill(w http.ResponseWriter, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.handles == nil {
		u.handles = map[string]bool{}
	}
	u.handles["h-"+id] = true
	writeJSON(w, http.StatusOK, map[string]any{"prefill_handle": "h-" + id, "tokens": 1, "version": 1})
}

func (u *Upstream) recordArrival(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.received == nil {
		u.received = map[string]bool{}
	}
	u.received[id] = true
}

func (u *Upstream) recordRun(r *http.Request, body string) (index int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, Run{
		ID: r.Header.Get("Request-Id"), Path: r.URL.Path, Body: body, Tenant: r.Header.Get("Tenant"),
		Deadline: r.Header.Get("Deadline-Ms"), From: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone(),
	})
	return len(u.runs) - 1
}

// pause waits, and reports whether the connection of the request is still open.
func (u *Upstream) pause(r *http.Request, d time.Duration) (ok bool) {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// abandon records that the connection of a run closed before its response was complete.
func (u *Upstream) abandon(index int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[index].Abandoned = true
}

// streamEvents sends the events after the Last-Event-Id of the request.
func (u *Upstream) streamEvents(w http.ResponseWriter, r *http.Request, index int, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if from := r.Header.Get("Last-Event-Id"); from != "" {
		first, _ = strconv.Atoi(from)
	}
	controller := http.NewResponseController(w)
	for event := first + 1; event <= u.Events; event++ {
		if !u.pause(r, u.Gap) {
			u.abandon(index)
			return
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
