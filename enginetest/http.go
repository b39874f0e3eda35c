package enginetest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	maxBodyBytes      = 64 << 20
	payloadPieceBytes = 1 << 10 // stands for the KV cache of one piece
)

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	life := e.up(r.Context())
	if life == nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case engine.PathCompletions:
		e.complete(w, r, life)
	case engine.PathState:
		writeJSON(w, e.state())
	case engine.PathReport:
		writeJSON(w, e.report())
	case engine.PathOrder:
		e.serveOrder(w, r)
	case engine.PathExport:
		e.export(w, r)
	case engine.PathImport:
		e.importKV(w, r)
	case engine.PathCacheEvents:
		after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
		writeJSON(w, e.visibleEvents(after))
	default:
		http.NotFound(w, r)
	}
}

// complete runs a generation and streams it. The status line goes out when the
// request starts to run, so that a caller knows whether a crash is its own.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request, life *life) {
	var request engine.CompletionRequest
	if !readJSON(w, r, &request) {
		return
	}
	current, refused := e.enqueue(request, r)
	if refused != nil {
		refuse(w, refused)
		return
	}
	defer e.cancel(current)
	headed := false
	for sent := 0; ; {
		select {
		case <-current.wake:
		case <-life.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if e.up(r.Context()) != life {
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		ready, started, over := current.ready, current.started, current.over
		e.mu.Unlock()
		if over && !started {
			refuse(w, &upstream.Failure{Reason: upstream.ReasonDraining, Detail: "out of service"})
			return
		}
		if started && !headed {
			headed = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		}
		for ; sent < ready; sent++ {
			offset := request.Offset + sent
			writeEvent(w, engine.CompletionEvent{
				ID: request.ID, Offset: offset,
				Choices: []engine.CompletionChoice{{Text: current.text.token(offset)}},
			})
		}
		if started && ready == current.total {
			e.finish(w, current)
			return
		}
		http.NewResponseController(w).Flush()
		if over {
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) finish(w io.Writer, r *run) {
	e.mu.Lock()
	usage := engine.CompletionUsage{
		PromptTokens: r.prompt, CompletionTokens: r.total, Details: engine.PromptDetails{CachedTokens: r.cached},
	}
	e.mu.Unlock()
	writeEvent(w, engine.CompletionEvent{
		ID: r.request.ID, Offset: r.request.Offset + r.total, Usage: &usage,
		Choices: []engine.CompletionChoice{{FinishReason: "length"}},
	})
	fmt.Fprintf(w, "data: %s\n\n", engine.StreamEnd)
}

// enqueue checks a request and lets it wait for a slot.
func (e *Engine) enqueue(request engine.CompletionRequest, r *http.Request) (current *run, refused *upstream.Failure) {
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	current = &run{
		request: request, workspace: r.Header.Get(upstream.HeaderWorkspace),
		text:   newText(request.Model, request.Prompt, request.Seed),
		prompt: PromptTokens(request.Prompt), total: request.MaxTokens - request.Offset,
		wake: make(chan struct{}, 1),
	}
	current.pieces = (current.prompt + request.MaxTokens + PieceTokens - 1) / PieceTokens
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc([]string{"Authorization", "X-Api-Key", "Api-Key"}, func(name string) bool { return r.Header.Get(name) != "" }) {
		e.stats.LeakedKeys++
	}
	if refused = e.check(current); refused != nil {
		e.stats.Refused++
		if refused.Reason == upstream.ReasonDraining {
			e.stats.RefusedDraining++
		}
		return nil, refused
	}
	e.nextRun++
	current.number = e.nextRun
	e.queue = append(e.queue, current)
	e.remember()
	e.wake()
	return current, nil
}

func (e *Engine) check(r *run) *upstream.Failure {
	switch {
	case r.total < 0 || r.request.Offset < 0 || len(r.request.Given) > 0 && len(r.request.Given) != r.request.Offset:
		return &upstream.Failure{Reason: upstream.ReasonRejected, Detail: "offset doesn't fit max_tokens and Given"}
	case r.pieces > e.options.Pieces:
		return &upstream.Failure{Reason: upstream.ReasonRejected, Detail: "request exceeds the KV cache"}
	case e.order.draining || e.order.outOfService():
		return &upstream.Failure{Reason: upstream.ReasonDraining, Detail: "draining"}
	case !e.serves(r.request.Model):
		return &upstream.Failure{Reason: upstream.ReasonBusy, Detail: "model isn't loaded"}
	case len(e.queue) >= e.options.Queue:
		return &upstream.Failure{Reason: upstream.ReasonBusy, Detail: "queue is full"}
	}
	return nil
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	name := ""
	switch e.apply(order) {
	case nil:
		writeJSON(w, struct{}{})
		return
	case engine.ErrStaleEpoch:
		name = "StaleEpoch"
	case engine.ErrRestarted:
		name = "Restarted"
	case engine.ErrOvertaken:
		name = "Overtaken"
	default:
		name = "Changing"
	}
	w.Header().Set(engine.HeaderRefusal, name)
	http.Error(w, name, http.StatusConflict)
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var request engine.ExportRequest
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	leading := e.cache.cached(request.Model, request.Prefix)
	e.mu.Unlock()
	writeJSON(w, engine.KV{
		Model: request.Model, Pieces: request.Prefix[:leading], Payload: make([]byte, leading*payloadPieceBytes),
	})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv engine.KV
	if !readJSON(w, r, &kv) {
		return
	}
	if len(kv.Payload) != len(kv.Pieces)*payloadPieceBytes {
		http.Error(w, "payload doesn't fit the pieces", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.store(kv.Model, kv.Pieces)
	e.mu.Unlock()
	writeJSON(w, struct{}{})
}

func refuse(w http.ResponseWriter, failure *upstream.Failure) {
	w.Header().Set(upstream.HeaderWorkStatus, string(upstream.NotRun))
	w.Header().Set(upstream.HeaderReason, string(failure.Reason))
	status := http.StatusServiceUnavailable
	if failure.Reason == upstream.ReasonRejected {
		status = http.StatusBadRequest
	} else {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, failure.Detail, status)
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) (ok bool) {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

func writeEvent(w io.Writer, event engine.CompletionEvent) {
	text, _ := json.Marshal(event)
	fmt.Fprintf(w, "data: %s\n\n", text)
}
