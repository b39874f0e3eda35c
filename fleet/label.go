package fleet

import (
	"maps"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/selector"
)

// SetLabel sets one label of an object in config, or removes the label if value
// is empty. For KindOwner, owner is ignored. SetLabel changes the object in place,
// but not its label map, which other configurations may share.
func SetLabel(config *Config, kind Kind, owner, name, key, value string) (err error) {
	id := ID{owner, kind, name}
	if !slices.Contains(kinds, kind) {
		return errors.WithType(errors.Errorf("found object kind %s; want one of %s%s", FormatValue(kind), joinKinds(), didYouMean(suggestKind(kind))), errors.NotValid)
	}
	if kind == KindOwner {
		id.Owner = name
	}
	if value != "" {
		if found, allowed := invalidLabelPart(key, value); allowed != "" {
			return errors.WithType(errors.Errorf("%s: label %s: found %s; want %s", id, FormatValue(key), FormatValue(found), allowed), errors.NotValid)
		}
	}
	var names []string
	for other, object := range config.objects() {
		if other == id {
			setLabel(labelsOf(object), key, value)
			return nil
		}
		if other.Kind == kind && (other.Owner == id.Owner || kind == KindOwner) {
			names = append(names, other.Name)
		}
	}
	return errors.WithType(errors.Errorf("%s isn't configured%s", id, didYouMean(Suggest(name, names))), errors.NotFound)
}

// didYouMean returns the end of a message with a suggestion, or "" if there is
// no suggestion.
func didYouMean(suggestion string) string {
	if suggestion == "" {
		return ""
	}
	return "; did you mean " + strconv.Quote(suggestion) + "?"
}

// setLabel replaces the label map with a changed copy, because other
// configurations may share the map.
func setLabel(labels *selector.Labels, key, value string) {
	changed := maps.Clone(*labels)
	if changed == nil {
		changed = selector.Labels{}
	}
	changed[key] = value
	if value == "" {
		delete(changed, key)
	}
	if len(changed) == 0 {
		changed = nil
	}
	*labels = changed
}

func labelsOf(object any) *selector.Labels {
	switch o := object.(type) {
	case *Owner:
		return &o.Labels
	case *Upstream:
		return &o.Labels
	case *Workspace:
		return &o.Labels
	case *Key:
		return &o.Labels
	case *Model:
		return &o.Labels
	case *Service:
		return &o.Labels
	case *Route:
		return &o.Labels
	default:
		return &o.(*Rule).Labels
	}
}
