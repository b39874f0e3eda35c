package fleet

import (
	"iter"
	"strings"
)

// kinds lists all kinds in the order in which diffs and messages list them.
var kinds = []Kind{
	KindOwner, KindUpstream, KindWorkspace, KindKey, KindModel, KindService, KindRoute, KindRule,
}

// objects yields a pointer to each object. Objects of a kind are yielded
// together, in the order of the configuration.
func (c *Config) objects() iter.Seq2[ID, any] {
	return func(yield func(ID, any) bool) {
		for i := range c.Owners {
			if o := &c.Owners[i]; !yield(ID{o.Name, KindOwner, o.Name}, o) {
				return
			}
		}
		_ = yieldAll(c.Upstreams, yield) && yieldAll(c.Workspaces, yield) && yieldAll(c.Keys, yield) &&
			yieldAll(c.Models, yield) && yieldAll(c.Services, yield) && yieldAll(c.Routes, yield) && yieldAll(c.Rules, yield)
	}
}

// yieldAll yields a pointer to each element of objects and reports whether the
// iteration should continue.
func yieldAll[T any, P interface {
	*T
	ID() ID
}](objects []T, yield func(ID, any) bool,
) (more bool) {
	for i := range objects {
		if p := P(&objects[i]); !yield(p.ID(), p) {
			return false
		}
	}
	return true
}

// add appends an empty object of a kind and returns a pointer to it, or nil if
// the kind is unknown.
func (c *Config) add(kind Kind) (object any) {
	switch kind {
	case KindOwner:
		return appendZero(&c.Owners)
	case KindUpstream:
		return appendZero(&c.Upstreams)
	case KindWorkspace:
		return appendZero(&c.Workspaces)
	case KindKey:
		return appendZero(&c.Keys)
	case KindModel:
		return appendZero(&c.Models)
	case KindService:
		return appendZero(&c.Services)
	case KindRoute:
		return appendZero(&c.Routes)
	case KindRule:
		return appendZero(&c.Rules)
	default:
		return nil
	}
}

func appendZero[T any](objects *[]T) *T {
	var zero T
	*objects = append(*objects, zero)
	return &(*objects)[len(*objects)-1]
}

func kindNames() (names []string) {
	for _, kind := range kinds {
		names = append(names, string(kind))
	}
	return names
}

func joinKinds() string { return strings.Join(kindNames(), ", ") }

func suggestKind(kind Kind) string { return Suggest(string(kind), kindNames()) }
