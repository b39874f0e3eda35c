package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// worker is a worker of a service. Its behaviour is the function handle.
type worker struct {
	fleet             *fleet
	id, service, zone string
	stage, address    string
	slots             int
	born              int64
	handle            func(w *worker, c net.Conn)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	sequence int
	ended    chan struct{} // closed by crash
}

func (w *worker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				w.mu.Lock()
				delete(w.conns, c)
				w.mu.Unlock()
			}()
			w.handle(w, c)
		}()
	}
}

// register writes the worker's entry.
func (w *worker) register(state string) {
	w.mu.Lock()
	w.sequence++
	entry := object{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.stage != "" {
		entry["stage"], entry["models"] = w.stage, []object{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	w.mu.Unlock()
	w.fleet.store.set("servers/"+w.id, entry)
}

// crash ends the worker as a process that is killed: its port refuses connections, and
// the open ones end.
func (w *worker) crash(reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.ended:
		return
	default:
		close(w.ended)
	}
	w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// request is a request as a worker got it.
type request struct {
	*http.Request
	body []byte
	id   string
}

// readRequest reads the next request on a connection.
func readRequest(r *bufio.Reader) (q *request, err error) {
	h, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(h.Body)
	if err != nil {
		return nil, err
	}
	return &request{Request: h, body: body, id: h.Header.Get("Request-Id")}, nil
}

// answerOwn answers health checks, reports, and requests for another instance.
func (w *worker) answerOwn(c net.Conn, q *request) (ok bool) {
	if instance := q.Header.Get("Expect-Instance"); instance != "" && instance != w.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", q.id, w.id)
		return true
	}
	body := ""
	switch {
	case q.URL.Path == "/health":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
		return true
	case q.URL.Path == "/v1/report":
		body = fmt.Sprintf(`{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":404438,"handles":0}`, w.stage)
	case q.URL.Path == "/v1/kv-list":
		body = `{"epoch":1,"next":1,"held":[]}`
	case q.URL.Path == "/v1/order":
		body = "{}"
	default:
		return false
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return true
}

// answer sends a whole answer.
func (w *worker) answer(c net.Conn, q *request, status int, headers, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), q.id, seal(w, q), headers, len(body), body)
}

func seal(w *worker, q *request) string { return w.id + "." + q.id }

// reject answers that a request was not run.
func (w *worker) reject(c net.Conn, q *request) {
	fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.id)
}
