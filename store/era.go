package store

import (
	"cmp"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrEraChanged means that a write was begun in one era of the store and answered
	// in another. Whether it was applied in a state that still exists isn't known, so it
	// is of class UnknownOutcome.
	ErrEraChanged = errors.ConstError("the store came back from an older copy during the call")
	// ErrOutdatedAnswer means that an answer is of an older era than one seen before, or
	// doesn't say of which. Nothing can be concluded from it.
	ErrOutdatedAnswer = errors.ConstError("answer of an unknown or older era of the store")

	// tokenRevisionBits and tokenEraBits divide a token of 53 bits, the integers that
	// JSON decoders hold exactly.
	tokenRevisionBits = 40
	tokenEraBits      = 13
)

type (
	// Position is a moment in the history of a store that can come back from an older
	// copy. Its revisions go back then and are given out again, and its era rises.
	Position struct{ Era, Revision uint64 }

	// EraView is what a process knows of the store's era.
	EraView struct {
		Era    uint64
		SeenAt time.Time       // when the process saw the first answer of the era
		Ended  <-chan struct{} // closed when an answer of a later era is seen; nil if there are none
		// Invalid is the number of answers so far whose era was missing, no number or
		// older than one seen before.
		Invalid uint64
	}

	// EraClient is a Client of a store that can come back from an older copy.
	EraClient interface {
		Client
		Era() (view EraView)
	}

	// Eras tracks the era of a store from its answers. The zero value is in era 0, as a
	// store that doesn't number its eras. It is safe for concurrent use.
	Eras struct {
		mu      sync.Mutex
		known   bool // there was an answer
		era     uint64
		seenAt  time.Time
		ended   chan struct{}
		invalid uint64 // see EraView
	}
)

// CurrentEra returns what a client knows of its store's era. One that isn't an EraClient
// is always in era 0.
func CurrentEra(client Client) (view EraView) {
	if c, ok := client.(EraClient); ok {
		return c.Era()
	}
	return EraView{}
}

// Token returns a number that rises with the position, also across eras. In era 0 it is
// the revision.
func (p Position) Token() (token uint64, err error) {
	if p.Revision >= 1<<tokenRevisionBits || p.Era >= 1<<tokenEraBits {
		return 0, errors.Errorf("position %s doesn't fit into a token", p)
	}
	return p.Era<<tokenRevisionBits | p.Revision, nil
}

// PositionOf returns the position of a token.
func PositionOf(token uint64) (p Position) {
	return Position{Era: token >> tokenRevisionBits, Revision: token & (1<<tokenRevisionBits - 1)}
}

// Position returns where the entry was last written, as of the era in which it was read.
func (e Entry) Position() (p Position) { return Position{Era: e.Era, Revision: e.Version} }

// Compare returns -1, 0 or 1 if the position is before, at or after another one.
func (p Position) Compare(other Position) (order int) {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// String returns the position as era/revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// Era returns what is known of the era.
func (e *Eras) Era() (view EraView) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EraView{Era: e.era, SeenAt: e.seenAt, Ended: e.endedChannel(), Invalid: e.invalid}
}

// Observe records and returns the era in the header of an answer, which is empty without one.
// begun is the era as it was known when the call was sent. After an error, the answer must not
// be used. A read that crosses into a new era is valid.
func (e *Eras) Observe(begun EraView, header string, write bool) (era uint64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var parseErr error
	era, parseErr = strconv.ParseUint(header, 10, 64)
	if parseErr != nil {
		if header != "" || e.era > 0 {
			e.invalid++
		}
		if e.era > 0 {
			return 0, errors.WithType(errors.Errorf("era %q after era %d", header, e.era), ErrOutdatedAnswer)
		}
		era = 0
	}
	switch {
	case era < e.era:
		e.invalid++
		return 0, errors.WithType(errors.Errorf("era %d after era %d", era, e.era), ErrOutdatedAnswer)
	case era > e.era && e.known:
		close(e.endedChannel())
		e.ended = nil
	}
	if era > e.era || !e.known {
		e.known, e.era, e.seenAt = true, era, time.Now()
	}
	if write && !begun.SeenAt.IsZero() && begun.Era != era {
		return era, errors.WithType(errors.Errorf("begun in era %d and answered in era %d", begun.Era, era), ErrEraChanged)
	}
	return era, nil
}

// endedChannel returns the channel that is closed at the end of the era. The caller
// holds mu.
func (e *Eras) endedChannel() (ended chan struct{}) {
	if e.ended == nil {
		e.ended = make(chan struct{})
	}
	return e.ended
}
