package fleet

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/guavagauge/guavagauge/selector"
)

// The ways in which an object changed.
const (
	Added   Operation = "+"
	Removed Operation = "-"
	Changed Operation = "~"
)

type (
	// Operation says how an object changed. Its value is the sign in a diff.
	Operation string

	// Change is the difference of one object between two configurations.
	Change struct {
		ID        ID
		Operation Operation
		Fields    []FieldChange
	}

	// FieldChange is the difference of one field. Old or New is empty if the
	// field isn't set.
	FieldChange struct {
		Field string
		Old   string
		New   string
	}
)

// Diff returns the objects that differ, sorted by kind, owner and name.
func Diff(old, current *Config) (changes []Change) {
	before, after := old.byID(), current.byID()
	for id, object := range before {
		change := Change{ID: id, Operation: Changed, Fields: diffFields(object, after[id])}
		if after[id] == nil {
			change.Operation = Removed
		}
		if change.Operation == Removed || len(change.Fields) > 0 {
			changes = append(changes, change)
		}
	}
	for id, object := range after {
		if before[id] == nil {
			changes = append(changes, Change{ID: id, Operation: Added, Fields: diffFields(nil, object)})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(slices.Index(kinds, a.ID.Kind), slices.Index(kinds, b.ID.Kind)),
			cmp.Compare(a.ID.Owner, b.ID.Owner), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	return changes
}

// String returns the object on the first line and each changed field on another
// line.
func (c Change) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s", c.Operation, c.ID)
	for _, f := range c.Fields {
		fmt.Fprintf(&text, "\n    %s", f)
	}
	return text.String()
}

// String returns the field with its old and new values.
func (f FieldChange) String() string {
	switch {
	case f.Old == "":
		return "+ " + f.Field + " = " + f.New
	case f.New == "":
		return "- " + f.Field + " = " + f.Old
	default:
		return "~ " + f.Field + " = " + f.Old + " -> " + f.New
	}
}

func (c *Config) byID() (objects map[ID]any) {
	objects = map[ID]any{}
	for id, object := range c.objects() {
		objects[id] = object
	}
	return objects
}

func diffFields(old, current any) (changes []FieldChange) {
	if old != nil && current != nil && reflect.DeepEqual(old, current) {
		return nil
	}
	before, after := printFields(old), printFields(current)
	names := sortedKeys(before)
	for _, name := range sortedKeys(after) {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if before[name] != after[name] {
			changes = append(changes, FieldChange{Field: name, Old: before[name], New: after[name]})
		}
	}
	return changes
}

// printFields formats the fields that are set, except Owner and Name. Each label
// is a field of its own.
func printFields(object any) (fields map[string]string) {
	fields = map[string]string{}
	if object == nil {
		return fields
	}
	v := reflect.ValueOf(object).Elem()
	for _, field := range reflect.VisibleFields(v.Type()) {
		value := v.FieldByIndex(field.Index)
		if !field.IsExported() || field.Anonymous || field.Name == "Owner" || field.Name == "Name" || value.IsZero() {
			continue
		}
		switch value := value.Interface().(type) {
		case selector.Labels:
			for _, key := range sortedKeys(value) {
				fields["Labels."+key] = printValue(value[key])
			}
		case time.Duration:
			fields[field.Name] = printValue(value.String())
		case []string:
			fields[field.Name] = "[" + strings.Join(value, ", ") + "]"
		default:
			fields[field.Name] = printValue(value)
		}
	}
	return fields
}
