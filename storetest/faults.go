package storetest

import (
	"maps"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/store"
)

// The directions in which a partition can block a client.
const (
	// Requests blocks a client's calls before they reach the service.
	Requests Direction = 1 << iota
	// Responses lets calls take effect but blocks their responses.
	Responses
	// Both blocks both directions.
	Both = Requests | Responses
)

type (
	// Direction is the set of directions that a partition blocks.
	Direction uint8

	faults struct {
		down            bool
		delay           time.Duration
		readRevision    uint64
		partitions      map[string]Direction
		responsesToDrop map[Kind]int
		restarts        uint64 // number of restarts; each fails the watches in progress
	}

	// Copy is a copy of a Server's state.
	Copy struct {
		keys      map[string][]version
		revision  uint64
		nextLease store.LeaseID
		ttls      map[store.LeaseID]time.Duration
	}
)

// SetDown stops or starts the service. Either breaks the watches in progress.
// While the service is down, calls fail with store.ErrUnavailable and leases
// continue to expire.
func (s *Server) SetDown(down bool) {
	s.setFault(func() {
		s.faults.down = down
		s.faults.restarts++
	})
}

// Restart makes the watches in progress fail with store.ErrUnavailable. Keys and
// leases are preserved.
func (s *Server) Restart() {
	s.setFault(func() { s.faults.restarts++ })
}

// Copy returns a copy of the state, for Restore.
func (s *Server) Copy() (c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c = &Copy{keys: maps.Clone(s.keys), revision: s.revision, nextLease: s.nextLease, ttls: map[store.LeaseID]time.Duration{}}
	for key, versions := range c.keys {
		c.keys[key] = slices.Clone(versions)
	}
	for id, held := range s.leases {
		c.ttls[id] = held.ttl
	}
	return c
}

// Restore replaces the state by a copy and begins a new era. What was written since is
// gone, and its revisions and the IDs of its leases are given out again. The leases of
// the copy run anew. It breaks the watches in progress.
func (s *Server) Restore(c *Copy) {
	s.setFault(func() {
		for id, held := range s.leases {
			held.timer.Stop()
			delete(s.leases, id)
		}
		s.keys = maps.Clone(c.keys)
		for key, versions := range s.keys {
			s.keys[key] = slices.Clone(versions)
		}
		s.revision, s.nextLease, s.events, s.compacted = c.revision, c.nextLease, nil, c.revision
		for id, ttl := range c.ttls {
			s.startLease(id, ttl)
		}
		s.era++
		s.faults.restarts++
	})
}

// SetDelay adds a delay to each call, half of it before the call takes effect. A
// call takes effect even if its context ends during the delay.
func (s *Server) SetDelay(delay time.Duration) {
	s.setFault(func() { s.faults.delay = delay })
}

// SetReadRevision makes Get and List read at an old revision, as from a replica
// that lags. Writes still compare with the current state. 0 ends the fault. Only
// the 16 newest versions of each key can be read.
func (s *Server) SetReadRevision(revision uint64) {
	s.setFault(func() { s.faults.readRevision = revision })
}

// DropResponses makes the next n calls of a kind take effect and fail: writes
// with store.ErrUnknownOutcome, reads with store.ErrUnavailable. n replaces what is
// left of an earlier call. Each poll of a watch counts as one.
func (s *Server) DropResponses(kind Kind, n int) {
	s.setFault(func() { s.faults.responsesToDrop[kind] = n })
}

// Partition blocks one client's calls until Heal. They wait for Heal or until
// their context ends.
func (s *Server) Partition(client string, direction Direction) {
	s.setFault(func() { s.faults.partitions[client] = direction })
}

// Heal ends a client's partition.
func (s *Server) Heal(client string) {
	s.setFault(func() { delete(s.faults.partitions, client) })
}

// setFault changes the faults and wakes the calls that wait for a change.
func (s *Server) setFault(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	s.notify()
}
