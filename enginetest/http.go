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
	payloadPieceBytes = 1 << 10 // simulated size of one exported piece
)

// ServeHTTP implements http.Handler. It serves the paths of package engine.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	proc := e.awaitRunning(r.Context())
	if proc == nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case engine.PathCompletions:
		e.complete(w, r, proc)
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

// complete runs a generation and streams its tokens. It sends the status line when
// the request starts to run, so that the client can tell whether the request was
// running when the engine crashed.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request, proc *process) {
	var request engine.CompletionRequest
	if !readJSON(w, r, &request) {
		return
	}
	current, refused := e.enqueue(request, r)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	defer e.cancel(current)
	headerSent := false
	for sent := 0; ; {
		select {
		case <-current.wake:
		case <-proc.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if e.awaitRunning(r.Context()) != proc {
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		generated, started, aborted := current.generated, current.started, current.aborted
		e.mu.Unlock()
		if aborted && !started {
			writeRefusal(w, &upstream.Failure{Reason: upstream.ReasonDraining, Detail: "engine is out of service"})
			return
		}
		if started && !headerSent {
			headerSent = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		}
		for ; sent < generated; sent++ {
			offset := request.Offset + sent
			writeEvent(w, engine.CompletionEvent{
				ID: request.ID, Offset: offset,
				Choices: []engine.CompletionChoice{{Text: current.output.token(offset)}},
			})
		}
		if started && generated == current.tokensToGenerate {
			e.writeFinish(w, current)
			return
		}
		http.NewResponseController(w).Flush()
		if aborted {
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) writeFinish(w io.Writer, r *activeRequest) {
	e.mu.Lock()
	usage := engine.CompletionUsage{
		PromptTokens: r.promptTokens, CompletionTokens: r.tokensToGenerate, Details: engine.PromptDetails{CachedTokens: r.cachedTokens},
	}
	e.mu.Unlock()
	writeEvent(w, engine.CompletionEvent{
		ID: r.request.ID, Offset: r.request.Offset + r.tokensToGenerate, Usage: &usage,
		Choices: []engine.CompletionChoice{{FinishReason: "length"}},
	})
	fmt.Fprintf(w, "data: %s\n\n", engine.StreamEnd)
}

// enqueue adds a request to the queue, or returns why it is refused.
func (e *Engine) enqueue(request engine.CompletionRequest, r *http.Request) (current *activeRequest, refused *upstream.Failure) {
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	current = &activeRequest{
		request: request, workspace: r.Header.Get(upstream.HeaderWorkspace),
		output:       newTokenSource(request.Model, request.Prompt, request.Seed),
		promptTokens: PromptTokens(request.Prompt), tokensToGenerate: request.MaxTokens - request.Offset,
		wake: make(chan struct{}, 1),
	}
	current.requiredPieces = (current.promptTokens + request.MaxTokens + PieceTokens - 1) / PieceTokens
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc([]string{"Authorization", "X-Api-Key", "Api-Key"}, func(name string) bool { return r.Header.Get(name) != "" }) {
		e.stats.LeakedKeys++
	}
	if refused = e.checkRequest(current); refused != nil {
		e.stats.Refused++
		if refused.Reason == upstream.ReasonDraining {
			e.stats.RefusedDraining++
		}
		return nil, refused
	}
	e.lastArrival++
	current.arrival = e.lastArrival
	e.queue = append(e.queue, current)
	e.recordReport()
	e.wake()
	return current, nil
}

func (e *Engine) checkRequest(r *activeRequest) *upstream.Failure {
	switch {
	case r.tokensToGenerate < 0 || r.request.Offset < 0 || len(r.request.Given) > 0 && len(r.request.Given) != r.request.Offset:
		return &upstream.Failure{Reason: upstream.ReasonRejected, Detail: "Offset is out of range or differs from the number of tokens in Given"}
	case r.requiredPieces > e.options.Pieces:
		return &upstream.Failure{Reason: upstream.ReasonRejected, Detail: "request is larger than the KV cache"}
	case e.order.draining || e.order.outOfService():
		return &upstream.Failure{Reason: upstream.ReasonDraining, Detail: "draining"}
	case !e.modelLoaded(r.request.Model):
		return &upstream.Failure{Reason: upstream.ReasonBusy, Detail: "model is not loaded"}
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
	leading := e.cache.matchPrefix(request.Model, request.Prefix)
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
		http.Error(w, "size of Payload does not match the number of Pieces", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.cachePrefix(kv.Model, kv.Pieces)
	e.mu.Unlock()
	writeJSON(w, struct{}{})
}

func writeRefusal(w http.ResponseWriter, failure *upstream.Failure) {
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
