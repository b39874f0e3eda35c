// Package standin holds the stand-ins that the review's scripts start: the
// platform's store, its calls for usage and capacity, workers, clients, and the
// processes of the system itself. They speak the platform's protocol, and use only
// loopback addresses.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// firstRevision is the revision of an empty store.
	firstRevision = 10
	// pageItems is the most items in one answer to kv-range.
	pageItems = 500
)

type (
	// Store is a stand-in for the platform's store.
	Store struct {
		mu       sync.Mutex
		revision uint64
		items    map[string]item
		history  []event
		leases   map[uint64]*storeLease
		changed  chan struct{} // closed and replaced at each change
	}

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created"`
		Lease    uint64 `json:"lease"`
	}

	event struct {
		item
		Tombstone bool `json:"tombstone,omitempty"`
	}

	storeLease struct {
		ttl   time.Duration
		timer *time.Timer
	}

	expected struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}

	txn struct {
		Expected []expected `json:"expected"`
		Writes   []item     `json:"writes"`
		Remove   []string   `json:"remove"`
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: firstRevision, items: map[string]item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
}

// Set writes a key, as the operator and the workers do.
func (s *Store) Set(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(item{Key: key, Value: text})
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch path := strings.TrimPrefix(r.URL.Path, "/v1/"); {
	case path == "kv-key":
		s.mu.Lock()
		found, ok := s.items[query.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, struct {
			item
			At uint64 `json:"at"`
		}{found, at})
	case path == "kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case path == "kv-watch":
		s.serveWatch(w, r)
	case path == "kv-txn":
		s.serveTxn(w, r)
	case path == "kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(path, "kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Writes)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, mismatch := []item{}, false
	for _, e := range t.Expected {
		found, ok := s.items[e.Key]
		mismatch = mismatch || found.Revision != e.Revision
		if ok {
			current = append(current, found)
		}
	}
	if mismatch {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current, "at": s.revision})
		return
	}
	for _, write := range t.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range t.Writes {
		s.put(write)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTLMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(request.TTLMs)*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": request.TTLMs})
}

func (s *Store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	held.timer.Reset(held.ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": held.ttl.Milliseconds()})
}

func (s *Store) serveEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	held := s.leases[id]
	s.mu.Unlock()
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	held.timer.Stop()
	s.endLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}

// endLease removes a lease and its keys.
func (s *Store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, found := range s.items {
		if found.Lease == id {
			s.remove(key)
		}
	}
}

// put writes an item at the next revision. The caller holds mu.
func (s *Store) put(write item) {
	s.revision++
	write.Revision, write.Created = s.revision, s.revision
	if old, ok := s.items[write.Key]; ok {
		write.Created = old.Created
	}
	s.items[write.Key] = write
	s.history = append(s.history, event{item: write})
	s.notify()
}

// remove deletes a key at the next revision if it exists. The caller holds mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, Tombstone: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // fails only if the connection broke
}

// Cloud is a stand-in for the platform's calls for usage and capacity. It accepts
// all of them.
type Cloud struct{}

// ServeHTTP implements http.Handler.
func (Cloud) ServeHTTP(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// Serve serves a handler on a loopback address and a free port, and returns the
// address.
func Serve(ip string, handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}
