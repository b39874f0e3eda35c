package fleet

import (
	"iter"
	"strings"
)

// kinds are all kinds in the order in which objects are listed.
var kinds = []Kind{
	KindOwner, KindUpstream, KindWorkspace, KindKey, KindModel, KindService, KindRoute, KindRule,
}

// objects yields a pointer to each object, by kind and position.
func (c *Config) objects() iter.Seq2[ID, any] {
	return func(yield func(ID, any) bool) {
		for i := range c.Owners {
			if o := &c.Owners[i]; !yield(ID{o.Name, KindOwner, o.Name}, o) {
				return
			}
		}
		_ = each(c.Upstreams, yield) && each(c.Workspaces, yield) && each(c.Keys, yield) &&
			each(c.Models, yield) && each(c.Services, yield) && each(c.Routes, yield) && each(c.Rules, yield)
	}
}

func each[T any, P interface {
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

// add appends an empty object of a kind, or returns nil for an unknown kind.
func (c *Config) add(kind Kind) (object any) {
	switch kind {
	case KindOwner:
		return grow(&c.Owners)
	case KindUpstream:
		return grow(&c.Upstreams)
	case KindWorkspace:
		return grow(&c.Workspaces)
	case KindKey:
		return grow(&c.Keys)
	case KindModel:
		return grow(&c.Models)
	case KindService:
		return grow(&c.Services)
	case KindRoute:
		return grow(&c.Routes)
	case KindRule:
		return grow(&c.Rules)
	default:
		return nil
	}
}

func grow[T any](objects *[]T) *T {
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

func nearestKind(kind Kind) string { return Suggest(string(kind), kindNames()) }
