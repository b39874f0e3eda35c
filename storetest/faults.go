package storetest

import (
	"time"
)

// The directions in which a client can be cut off.
const (
	// Requests keeps a client's calls from reaching the service.
	Requests Direction = 1 << iota
	// Responses lets calls take effect but keeps their answers back.
	Responses
	// Both cuts both directions.
	Both = Requests | Responses
)

type (
	// Direction is a set of directions of a cut.
	Direction uint8

	faults struct {
		down    bool
		delay   time.Duration
		readAt  uint64
		cuts    map[string]Direction
		lost    map[Kind]int
		process uint64 // counts restarts, which end the calls under way
	}
)

// SetDown stops or starts the service. While it is down, calls fail with
// store.ErrUnavailable and leases go on to expire.
func (s *Server) SetDown(down bool) {
	s.change(func() {
		s.faults.down = down
		s.faults.process++
	})
}

// Restart breaks the calls under way, such as watches. Keys and leases stay.
func (s *Server) Restart() {
	s.change(func() { s.faults.process++ })
}

// SetDelay makes each call take that long, half of it before it takes effect. A
// call whose context ends before that takes effect all the same.
func (s *Server) SetDelay(delay time.Duration) {
	s.change(func() { s.faults.delay = delay })
}

// SetReadRevision makes Get and List answer from an old revision, as a replica
// that lags does. Writes still see the current state. 0 ends the fault. The 16
// newest versions of each key are kept.
func (s *Server) SetReadRevision(revision uint64) {
	s.change(func() { s.faults.readAt = revision })
}

// DropResponses makes the next n calls of a kind take effect and fail: writes
// with store.ErrUnknownOutcome, reads with store.ErrUnavailable.
func (s *Server) DropResponses(kind Kind, n int) {
	s.change(func() { s.faults.lost[kind] = n })
}

// Partition cuts one client off until Heal. Its calls wait for their context's
// end.
func (s *Server) Partition(client string, direction Direction) {
	s.change(func() { s.faults.cuts[client] = direction })
}

// Heal ends the Partition of a client.
func (s *Server) Heal(client string) {
	s.change(func() { delete(s.faults.cuts, client) })
}

func (s *Server) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	s.wake()
}
