package routing

import "github.com/guavagauge/guavagauge/store"

// Edition identifies a configuration by the operator's version and where it is in the
// store.
type Edition struct {
	Version  uint64
	Position store.Position
}

// Replaces reports whether this edition takes the place of another one. Within an era of
// the store its revisions decide. Across eras the operator's version does: a store that
// came back from an older copy may hold an older one, until the operator writes the newest
// again. The same version in a later era replaces the earlier one, although its content is
// the same.
func (e Edition) Replaces(other Edition) (ok bool) {
	switch {
	case e.Position.Era == other.Position.Era:
		return e.Position.Revision > other.Position.Revision
	case e.Version == other.Version:
		return e.Position.Era > other.Position.Era
	default:
		return e.Version > other.Version
	}
}
