// Package platformtest provides in-memory stand-ins for the outside platform:
// its key-value store, its calls for usage reports and capacity orders, its
// upstreams and a datagram network. They speak the platform's HTTP protocol with
// its own terms, such as zone and tenant. Tests, and the command soaktest, can
// inject faults into them.
//
// # Usage
//
//	store := platformtest.NewStore()
//	go http.Serve(listener, store)
//	store.Set(platform.ConfigKey, text) // as the operator
//	store.Refuse("10.0.0.1", true)      // rejects calls from one VM
package platformtest

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPageItems is the largest number of items in one response to kv-range.
	// Longer ranges make a client read several pages.
	maxPageItems = 500
	// maxTxnOperations bounds the expected keys, writes and removals of a
	// transaction together. The store answers a larger one with status 400.
	maxTxnOperations = 32
	// firstRevision is the revision of an empty store. Watches from before it fail
	// like those from before a compaction.
	firstRevision = 10
)

type (
	// Store is a stand-in for the platform's key-value store. It serves the store's
	// HTTP calls and is safe for concurrent use. It answers a call that it can't
	// decode with status 400, and one for an unknown key or lease with 404.
	Store struct {
		mu                sync.Mutex
		revision          uint64
		items             map[string]item
		history           []change
		compactedRevision uint64 // revision up to which the history was dropped
		leases            map[uint64]*storeLease
		changed           chan struct{} // closed and replaced on each change
		refusedAddresses  map[string]bool
		responsesToDrop   int // of the next transactions that write
		callsByAddress    map[string]int
		callsByKind       map[string]int
		era               uint64 // 0: answers have no header with it
	}

	// StoreCopy is a copy of a Store's state.
	StoreCopy struct {
		revision uint64
		items    map[string]item
		ttls     map[uint64]time.Duration // of leases
	}

	// bufferedResponse holds the status and the body of a response.
	bufferedResponse struct {
		http.ResponseWriter
		status int
		body   bytes.Buffer
	}

	// item is a key with its value. Lease is the ID of the lease that the key is
	// attached to, or 0.
	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created"`
		Lease    uint64 `json:"lease"`
	}

	change struct {
		item
		Tombstone bool `json:"tombstone,omitempty"`
	}

	storeLease struct {
		ttl   time.Duration
		timer *time.Timer
	}

	// expected is the revision that a key must have for a transaction to succeed.
	// Revision 0 means that the key must not exist.
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
	return &Store{
		revision: firstRevision, compactedRevision: firstRevision, items: map[string]item{}, leases: map[uint64]*storeLease{},
		changed: make(chan struct{}), refusedAddresses: map[string]bool{}, callsByAddress: map[string]int{}, callsByKind: map[string]int{},
	}
}

// Set writes a key, as the operator or an upstream would, and returns its new
// revision.
func (s *Store) Set(key string, value []byte) (revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(item{Key: key, Value: value})
	return s.revision
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Refuse makes the store reject all calls from an IP address with status 503, or
// accept them again.
func (s *Store) Refuse(address string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedAddresses[address] = refuse
}

// DropResponses makes the next n transactions that write take effect and then
// close their connections without a response.
func (s *Store) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop = n
}

// Compact drops the history. Watches from before the current revision fail with
// status 410, including those that are waiting.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notify()
}

// Copy returns a copy of the state, for Restore.
func (s *Store) Copy() (c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c = &StoreCopy{revision: s.revision, items: maps.Clone(s.items), ttls: map[uint64]time.Duration{}}
	for id, lease := range s.leases {
		c.ttls[id] = lease.ttl
	}
	return c
}

// Restore replaces the state by a copy and begins a new era. What was written since is
// gone, and its revisions and the IDs of its leases are given out again. The leases of
// the copy run anew. Watches that are waiting get status 410.
func (s *Store) Restore(c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lease := range s.leases {
		lease.timer.Stop()
	}
	s.revision, s.items, s.leases, s.history = c.revision, maps.Clone(c.items), map[uint64]*storeLease{}, nil
	for id, ttl := range c.ttls {
		s.startLease(id, ttl)
	}
	s.compactedRevision = s.revision
	s.era++
	s.notify()
}

func (s *Store) currentEra() (era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Calls returns the number of calls from an IP address, including rejected ones.
func (s *Store) Calls(address string) (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callsByAddress[address]
}

// CallsByKind returns the number of calls from all addresses by kind, such as
// "kv-txn" or "kv-range stale".
func (s *Store) CallsByKind() (calls map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callsByKind)
}

func callKind(r *http.Request) (kind string) {
	kind, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	if r.URL.Query().Get("stale_ok") != "" {
		kind += " stale"
	}
	return kind
}

// Keys returns the keys that begin with a prefix, sorted.
func (s *Store) Keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ServeHTTP implements http.Handler. It sends the response after the call has
// been handled, so that a client that reads slowly doesn't block the others.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := &bufferedResponse{ResponseWriter: w, status: http.StatusOK}
	begun := s.currentEra()
	s.handle(response, r)
	era := s.currentEra()
	if era != begun && callKind(r) != "kv-watch" {
		panic(http.ErrAbortHandler) // it isn't known in which era the call was applied
	}
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body.Bytes()) // fails only if the connection broke
}

// handle handles a call.
func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		address = r.RemoteAddr
	}
	s.mu.Lock()
	s.callsByAddress[address]++
	s.callsByKind[callKind(r)]++
	refused := s.refusedAddresses[address]
	s.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch path := strings.TrimPrefix(r.URL.Path, "/v1/"); {
	case path == "kv-key":
		s.serveKey(w, query.Get("key"))
	case path == "kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case path == "kv-watch":
		s.serveWatch(w, r)
	case path == "kv-txn":
		s.serveTxn(w, r)
	case path == "kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.serveKeepAlive(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.serveRevoke(w, strings.TrimPrefix(path, "kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if more = len(items) == maxPageItems; more {
			break
		}
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
	era := s.currentEra()
	for waiting := true; ; {
		s.mu.Lock()
		if after < s.compactedRevision || after > s.revision || s.era != era {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []change{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, query.Get("prefix")) {
				events = append(events, c)
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Remove) > maxTxnOperations {
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
	if s.responsesToDrop > 0 && len(t.Writes)+len(t.Remove) > 0 {
		s.responsesToDrop--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

// serveGrant grants a lease. Its ID is a new revision, which makes it unique.
func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTLMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.startLease(id, ttl)
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": request.TTLMs})
}

// startLease starts a lease, unless it has another timer when that ends. The caller
// holds mu.
func (s *Store) startLease(id uint64, ttl time.Duration) {
	lease := &storeLease{ttl: ttl}
	lease.timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		current := s.leases[id] == lease
		s.mu.Unlock()
		if current {
			s.removeLease(id)
		}
	})
	s.leases[id] = lease
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.findLease(text)
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.timer.Reset(lease.ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": lease.ttl.Milliseconds()})
}

func (s *Store) serveRevoke(w http.ResponseWriter, text string) {
	s.mu.Lock()
	lease := s.findLease(text)
	s.mu.Unlock()
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.timer.Stop()
	id, _ := strconv.ParseUint(text, 10, 64) // can't fail: findLease parsed the same text
	s.removeLease(id)
}

// findLease returns the lease with an ID in decimal, or nil if there is none. The
// caller holds mu.
func (s *Store) findLease(text string) *storeLease {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil
	}
	return s.leases[id]
}

// removeLease deletes a lease and the keys that are attached to it.
func (s *Store) removeLease(id uint64) {
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
	s.history = append(s.history, change{item: write})
	s.notify()
}

// remove deletes a key at the next revision if it exists. The caller holds mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, change{item: item{Key: key, Revision: s.revision}, Tombstone: true})
	s.notify()
}

// notify wakes the waiting watches. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Writing fails only if the connection broke, so the error can't be reported
	// to the client.
	_ = json.NewEncoder(w).Encode(value)
}

// WriteHeader implements http.ResponseWriter.
func (r *bufferedResponse) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *bufferedResponse) Write(b []byte) (n int, err error) { return r.body.Write(b) }
