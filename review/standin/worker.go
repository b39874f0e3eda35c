package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Heartbeat is heartbeat_ms.
	Heartbeat = 1200 * time.Millisecond
	// silentHeartbeats is the number of intervals after which the entry of a worker
	// that is silent is removed.
	silentHeartbeats = 3
)

type (
	// Worker is a stand-in for a worker of a plain service. It comes back after a
	// crash as a new incarnation with another ID.
	Worker struct {
		Service, Zone string
		Slots         int           // requests at the same time
		Queue         int           // requests that wait for a slot
		Work          time.Duration // of one request
		// Deadly reports whether a body crashes the worker as it begins to run it.
		Deadly func(body string) bool
		// Down is how long the worker is away after a crash.
		Down   time.Duration
		Store  *Store
		Record *Record

		address  string
		mu       sync.Mutex
		id       string
		born     time.Time
		starts   int
		state    string
		sequence int
		queued   int
		slots    chan struct{}
		up       bool
		server   *http.Server
		conns    map[net.Conn]bool
	}

	entry struct {
		Service  string `json:"service"`
		Address  string `json:"address"`
		Zone     string `json:"zone"`
		Version  string `json:"version"`
		Slots    int    `json:"slots"`
		State    string `json:"state"`
		Cold     int    `json:"cold_remaining_ms"`
		Sequence int    `json:"sequence"`
		Born     int64  `json:"born"`
	}
)

// Start starts the worker on a free port of a loopback address.
func (w *Worker) Start(ip string) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.serve(listener)
	return nil
}

// ID returns the ID of the worker's current incarnation.
func (w *Worker) ID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// serve begins a new incarnation of the worker.
func (w *Worker) serve(listener net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":", "-").Replace(w.address), w.starts)
	w.born, w.up, w.queued, w.state = time.Now(), true, 0, "ready"
	w.sequence = 0
	w.slots, w.conns = make(chan struct{}, w.Slots), map[net.Conn]bool{}
	id, slots := w.id, w.slots
	w.server = &http.Server{
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.handle(rw, r, id, slots) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.id == id {
				w.conns[conn] = state != http.StateClosed
			}
		},
	}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	w.write()
	w.Record.Add("worker %s of %s starts at %s", id, w.Service, w.address)
}

// write writes the worker's entry. The entry doesn't change with the heartbeats, in
// which only the sequence differs. The caller holds mu.
func (w *Worker) write() {
	w.sequence++
	w.Store.Set("servers/"+w.id, entry{
		Service: w.Service, Address: w.address, Zone: w.Zone, Version: "v1", Slots: w.Slots, State: w.state, Sequence: w.sequence, Born: w.born.UnixMilli(),
	})
}

// Drain makes the worker report that it leaves. It serves on.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = "draining"
	w.write()
	w.Record.Add("worker %s has reported draining", w.id)
}

// Unregister removes the entry of a worker that leaves without a report. It serves
// on.
func (w *Worker) Unregister() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Store.Delete("servers/" + w.id)
	w.Record.Add("the entry of worker %s is removed", w.id)
}

// Exit ends the worker for good, with the requests that it still runs. Its entry is
// removed.
func (w *Worker) Exit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	_ = w.server.Close()
	w.Store.Delete("servers/" + w.id)
	w.Record.Add("worker %s exits", w.id)
}

// crash ends the incarnation: its connections are reset, and nobody listens until
// the worker is back.
func (w *Worker) crash(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.id != id || !w.up {
		return
	}
	w.up = false
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = w.server.Close()
	w.Record.Add("worker %s crashes", id)
	time.AfterFunc(silentHeartbeats*Heartbeat, func() { w.Store.Delete("servers/" + id) })
	time.AfterFunc(w.Down, func() {
		for {
			listener, err := net.Listen("tcp", w.address)
			if err == nil {
				w.serve(listener)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request, id string, slots chan struct{}) {
	request := r.Header.Get("Request-Id")
	refuse := func(status int) {
		rw.Header().Set("Not-Executed", "1")
		rw.Header().Set("Instance-Id", id)
		if request != "" {
			rw.Header().Set("Request-Id", request)
		}
		rw.WriteHeader(status)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if request == "" {
		refuse(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx, cancel := r.Context(), func() {}
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	defer cancel()
	w.mu.Lock()
	full := w.queued >= w.Slots+w.Queue
	if !full {
		w.queued++
	}
	w.mu.Unlock()
	if full {
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		w.queued--
		w.mu.Unlock()
	}()
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		refuse(http.StatusServiceUnavailable)
		return
	}
	w.Record.Run(request, id)
	if w.Deadly != nil && w.Deadly(string(body)) {
		w.crash(id)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(w.Work):
	case <-r.Context().Done(): // the connection closed: the work is dropped
		return
	}
	w.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", len(slots), max(0, w.queued-len(slots)), w.Slots)
	w.mu.Unlock()
	rw.Header().Set("Request-Id", request)
	rw.Header().Set("Response-Seal", "seal."+request)
	rw.Header().Set("Instance-Load", load)
	rw.Header().Set("Content-Length", strconv.Itoa(len("done ")+len(request)))
	_, _ = io.WriteString(rw, "done "+request) // fails only if the connection broke
}
