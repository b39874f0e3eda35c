// Package storetest is an in-memory stand-in for the platform's key-value
// service, with faults that tests inject. Package dev runs it as well.
//
// # Usage
//
//	server := storetest.New(storetest.Options{})
//	client := server.Client("node-a") // a store.Client
//	server.Partition("node-a", storetest.Responses)
//	server.SetDown(true)
//	server.DropResponses(storetest.Put, 1)
//	puts := server.Calls(storetest.Put)
//
// A Server that is created in a testing/synctest bubble works there. Handler
// serves it over HTTP to the client of package store.
package storetest

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/store"
)

// The kinds of calls.
const (
	Get       Kind = "Get"
	List      Kind = "List"
	Put       Kind = "Put"
	Delete    Kind = "Delete"
	Grant     Kind = "Grant"
	KeepAlive Kind = "KeepAlive"
	Revoke    Kind = "Revoke"
	Watch     Kind = "Watch"
)

const (
	defaultHistory   = 4096 // changes; a watch from before them fails with store.ErrCompacted
	defaultWatchWait = 30 * time.Second
	versionsPerKey   = 16 // for SetReadRevision
)

type (
	// Kind names a call of store.Client.
	Kind string

	// Options of a Server. Zero fields take the defaults.
	Options struct {
		// History is the number of past changes that watches can return. The
		// default is 4096.
		History int
		// WatchWait is the time after which a watch without changes returns. The
		// default is 30 s.
		WatchWait time.Duration
	}

	// Server is the in-memory key-value service. It is safe for concurrent use.
	// applyCall holds mu while it runs an operation, so the unexported methods in this
	// file expect the caller to hold it.
	Server struct {
		options Options

		mu        sync.Mutex
		changed   chan struct{} // closed and replaced on each change of keys or faults
		revision  uint64
		compacted uint64
		keys      map[string][]version // newest last
		events    []store.Event
		leases    map[store.LeaseID]*lease
		nextLease store.LeaseID
		faults    faults
		era       uint64
		calls     map[string]map[Kind]int
	}

	// version is the state of a key after one write.
	version struct {
		entry   store.Entry
		deleted bool
	}

	lease struct {
		ttl    time.Duration
		expiry time.Time
		timer  *time.Timer
	}
)

// New returns an empty Server.
func New(options Options) *Server {
	if options.History == 0 {
		options.History = defaultHistory
	}
	if options.WatchWait == 0 {
		options.WatchWait = defaultWatchWait
	}
	return &Server{
		options: options,
		changed: make(chan struct{}),
		keys:    make(map[string][]version),
		leases:  make(map[store.LeaseID]*lease),
		faults:  faults{partitions: make(map[string]Direction), responsesToDrop: make(map[Kind]int)},
		calls:   make(map[string]map[Kind]int),
	}
}

// Revision returns the revision of the last write.
func (s *Server) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Calls returns the number of calls of a kind from all clients, whether or not
// they succeeded. Calls that didn't reach the service, because of a partition or
// because it was down, don't count.
func (s *Server) Calls(kind Kind) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, byKind := range s.calls {
		n += byKind[kind]
	}
	return n
}

// CallsOf returns the number of calls of a kind from one client.
func (s *Server) CallsOf(client string, kind Kind) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[client][kind]
}

// TotalCalls returns the number of calls of all kinds from all clients.
func (s *Server) TotalCalls() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, byKind := range s.calls {
		for _, calls := range byKind {
			n += calls
		}
	}
	return n
}

// ResetCalls sets all counters to zero.
func (s *Server) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.calls)
}

// Compact drops the history. Watches from before the current revision fail with
// store.ErrCompacted.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compacted = nil, s.revision
	s.notify()
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) get(key string) (entry store.Entry, err error) {
	entry, ok := s.visible(key)
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

func (s *Server) list(prefix string) (entries []store.Entry) {
	for key := range s.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if entry, ok := s.visible(key); ok {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// visible returns the entry that reads of a key see: the newest one, or the newest
// one at the revision of SetReadRevision.
func (s *Server) visible(key string) (entry store.Entry, ok bool) {
	versions := s.keys[key]
	if at := s.faults.readRevision; at != 0 {
		for len(versions) > 0 && versions[len(versions)-1].entry.Version > at {
			versions = versions[:len(versions)-1]
		}
	}
	if len(versions) == 0 || versions[len(versions)-1].deleted {
		return store.Entry{}, false
	}
	entry = versions[len(versions)-1].entry
	entry.Value = slices.Clone(entry.Value)
	return entry, true
}

// currentVersion returns the version that conditional writes are compared with, or
// 0 if the key doesn't exist.
func (s *Server) currentVersion(key string) (version uint64) {
	versions := s.keys[key]
	if len(versions) == 0 || versions[len(versions)-1].deleted {
		return 0
	}
	return versions[len(versions)-1].entry.Version
}

func (s *Server) put(request store.PutRequest) (version uint64, err error) {
	switch {
	case len(request.Value) > store.MaxValueBytes:
		return 0, store.ErrTooLarge
	case request.Lease != 0 && s.leases[request.Lease] == nil:
		return 0, store.ErrLeaseExpired
	case request.IfVersion != store.AnyVersion && request.IfVersion != s.currentVersion(request.Key):
		return 0, store.ErrConflict
	}
	s.write(store.Entry{Key: request.Key, Value: slices.Clone(request.Value), Lease: request.Lease}, false)
	return s.revision, nil
}

func (s *Server) delete(key string, ifVersion uint64) (err error) {
	current := s.currentVersion(key)
	switch {
	case current == 0:
		return store.ErrNotFound
	case ifVersion != store.AnyVersion && ifVersion != current:
		return store.ErrConflict
	}
	s.write(store.Entry{Key: key}, true)
	return nil
}

func (s *Server) write(entry store.Entry, deleted bool) {
	s.revision++
	entry.Version = s.revision
	versions := append(s.keys[entry.Key], version{entry, deleted})
	s.keys[entry.Key] = versions[max(0, len(versions)-versionsPerKey):]
	s.events = append(s.events, store.Event{Entry: entry, Deleted: deleted})
	if drop := len(s.events) - s.options.History; drop > 0 {
		s.compacted = s.events[drop-1].Entry.Version
		s.events = s.events[drop:]
	}
	s.notify()
}

// grant starts a lease. Its timer may fire for a lease that was renewed or revoked in
// the meantime, so it calls expire, which checks the expiry of each lease.
func (s *Server) grant(ttl time.Duration) (id store.LeaseID) {
	s.nextLease++
	s.startLease(s.nextLease, ttl)
	return s.nextLease
}

func (s *Server) startLease(id store.LeaseID, ttl time.Duration) {
	s.leases[id] = &lease{ttl: ttl, expiry: time.Now().Add(ttl), timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
	})}
}

func (s *Server) keepAlive(id store.LeaseID) (ttl time.Duration, err error) {
	held := s.leases[id]
	if held == nil {
		return 0, store.ErrLeaseExpired
	}
	held.expiry = time.Now().Add(held.ttl)
	held.timer.Reset(held.ttl)
	return held.ttl, nil
}

func (s *Server) revoke(id store.LeaseID) (err error) {
	held := s.leases[id]
	if held == nil {
		return store.ErrLeaseExpired
	}
	held.timer.Stop()
	delete(s.leases, id)
	var keys []string
	for key, versions := range s.keys {
		if newest := versions[len(versions)-1]; !newest.deleted && newest.entry.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.write(store.Entry{Key: key}, true)
	}
	return nil
}

// expire revokes the leases whose TTL has passed. Timers may run late, so it is
// also called before each operation. The caller holds mu.
func (s *Server) expire() {
	now := time.Now()
	for id, held := range s.leases {
		if !held.expiry.After(now) {
			s.revoke(id)
		}
	}
}

// eventsAfter returns the past changes that match a watch.
func (s *Server) eventsAfter(request store.WatchRequest) (events []store.Event, err error) {
	if request.After < s.compacted || request.After > s.revision {
		return nil, store.ErrCompacted
	}
	for _, event := range s.events {
		if event.Entry.Version > request.After && strings.HasPrefix(event.Entry.Key, request.Prefix) {
			event.Entry.Value = slices.Clone(event.Entry.Value)
			events = append(events, event)
		}
	}
	return events, nil
}
