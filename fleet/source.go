package fleet

import (
	"cmp"
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/selector"
)

// maxValueRunes is the length to which values in problems are truncated.
const maxValueRunes = 80

// ParsedFile is a decoded TOML text with the line of each setting. It collects
// all problems of the text, so that operators see them at once.
type ParsedFile struct {
	File     string
	Problems []Problem

	metadata    toml.MetaData
	lines       lineIndex
	defined     map[string]bool // settings that the text has, by joined path
	undecodable map[string]bool // settings whose value has the wrong type or form, by joined path
}

// Decode decodes a TOML text into the struct that into points to. The keys are
// the names of its fields, or those in their toml tags. A setting that can't be
// decoded is reported as a problem and has its zero value. If the text has a
// syntax error, Decode reports only that error and decodes nothing.
func Decode(file string, text []byte, into any) (s *ParsedFile) {
	s = &ParsedFile{File: file, lines: lineIndex{}, defined: map[string]bool{}, undecodable: map[string]bool{}}
	var top map[string]toml.Primitive
	var err error
	if s.metadata, err = toml.Decode(string(text), &top); err != nil {
		s.reportSyntax(err)
		return s
	}
	s.lines = scanLines(string(text))
	s.decodeTable(reflect.ValueOf(into).Elem(), top, "", nil)
	return s
}

// IsDefined reports whether the text has the setting at path, even if its value
// is zero.
func (s *ParsedFile) IsDefined(path ...string) bool { return s.defined[joinPath(path...)] }

// IsUndecodable reports whether the setting at path couldn't be decoded.
func (s *ParsedFile) IsUndecodable(path ...string) bool { return s.undecodable[joinPath(path...)] }

// Report adds a problem of the setting at path and sets its file and line. The
// value of a SHA256 setting is not shown, because operators may have entered the
// secret itself by mistake.
func (s *ParsedFile) Report(p Problem, path ...string) {
	if strings.HasSuffix(p.Field, "SHA256") {
		p.Value = "a value of " + strconv.Itoa(len(p.Value)) + " characters"
	}
	p.File, p.Line = s.File, s.lines.find(path...)
	s.Problems = append(s.Problems, p)
}

// SortedProblems sorts the problems by line and returns them.
func (s *ParsedFile) SortedProblems() []Problem {
	slices.SortStableFunc(s.Problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Field, b.Field))
	})
	return s.Problems
}

// FormatValue formats a value for a Problem. Long values are truncated.
func FormatValue(value any) string {
	text := printValue(value)
	if runes := []rune(text); len(runes) > maxValueRunes {
		text = string(runes[:maxValueRunes]) + "..."
	}
	return text
}

// printValue formats a value. Strings and values that marshal to text are quoted.
func printValue(value any) string {
	if text, ok := value.(encoding.TextMarshaler); ok {
		if marshaled, err := text.MarshalText(); err == nil {
			value = string(marshaled)
		}
	}
	switch v := reflect.ValueOf(value); v.Kind() {
	case reflect.String:
		return strconv.Quote(v.String())
	case reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'f', -1, 64)
	default:
		return fmt.Sprint(value)
	}
}

func (s *ParsedFile) reportSyntax(err error) {
	p := Problem{File: s.File, Value: "a syntax error", Allowed: "valid TOML: " + err.Error()}
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		p.Line, p.Allowed = parseError.Position.Line, "valid TOML: "+strings.TrimPrefix(parseError.Message, "toml: ")
	}
	s.Problems = append(s.Problems, p)
}

// decodeTable decodes the keys of a table into the fields of a struct. object is
// the name of the object in problems.
func (s *ParsedFile) decodeTable(into reflect.Value, table map[string]toml.Primitive, object string, path []string) {
	for _, key := range sortedKeys(table) {
		keyPath := append(slices.Clone(path), key)
		s.defined[joinPath(keyPath...)] = true
		field, known := fieldByKey(into.Type(), key)
		if !known {
			names := fieldKeys(into.Type())
			s.Report(Problem{
				Object: object, Field: strings.Join(pathInElement(keyPath), "."), Value: "an unknown key",
				Allowed: "one of " + strings.Join(names, ", "), Suggestion: Suggest(key, names),
			}, keyPath...)
			continue
		}
		s.decodeSetting(into.FieldByIndex(field.Index), table[key], object, keyPath)
	}
}

// decodeSetting decodes the value of one key, which may be a table or an array of
// tables.
func (s *ParsedFile) decodeSetting(into reflect.Value, primitive toml.Primitive, object string, path []string) {
	if into.Kind() == reflect.Struct && !unmarshalsText(into) {
		var table map[string]toml.Primitive
		if s.decodeValue(&table, into, primitive, object, path) {
			s.decodeTable(into, table, object, path)
		}
		return
	}
	if into.Kind() == reflect.Slice && into.Type().Elem().Kind() == reflect.Struct && !unmarshalsText(reflect.New(into.Type().Elem()).Elem()) {
		var tables []map[string]toml.Primitive
		if !s.decodeValue(&tables, into, primitive, object, path) {
			return
		}
		into.Set(reflect.MakeSlice(into.Type(), len(tables), len(tables)))
		for i, table := range tables {
			s.decodeTable(into.Index(i), table, s.elementName(path, table, i), append(slices.Clone(path), strconv.Itoa(i)))
		}
		return
	}
	s.decodeValue(into.Addr().Interface(), into, primitive, object, path)
}

// decodeValue decodes a value into target, or reports which values the setting
// accepts. into is the setting's field.
func (s *ParsedFile) decodeValue(target any, into reflect.Value, primitive toml.Primitive, object string, path []string) (ok bool) {
	var found any
	if err := s.metadata.PrimitiveDecode(primitive, &found); err != nil {
		found = err.Error()
	}
	var detail string
	_, isString := found.(string)
	// For these types, the TOML library accepts other values too, such as 5 as a
	// duration of 5 ns.
	needsString := unmarshalsText(into) || into.Type() == reflect.TypeFor[time.Duration]()
	if !needsString || isString {
		err := s.metadata.PrimitiveDecode(primitive, target)
		if err == nil {
			return true
		}
		var parseError toml.ParseError
		if errors.As(err, &parseError) && unmarshalsText(into) {
			detail = " (" + parseError.Message + ")"
		}
	}
	into.SetZero()
	s.undecodable[joinPath(path...)] = true
	s.Report(Problem{
		Object: object, Field: strings.Join(pathInElement(path), "."), Value: FormatValue(found),
		Allowed: describeExpected(into) + detail,
	}, path...)
	return false
}

// elementName returns the name in problems of an element of an array of tables
// that hasn't been decoded yet.
func (s *ParsedFile) elementName(path []string, table map[string]toml.Primitive, index int) string {
	kind := strings.Join(pathInElement(path), ".")
	stringValue := func(key string) (value string) {
		if primitive, ok := table[key]; ok && s.metadata.PrimitiveDecode(primitive, &value) != nil {
			return ""
		}
		return value
	}
	return objectName(Kind(kind), stringValue("Owner"), stringValue("Name"), index)
}

// objectName returns the name of an object in problems: its identity, or its
// position if it has no name.
func objectName(kind Kind, owner, name string, index int) string {
	switch {
	case name == "":
		return fmt.Sprintf("%s number %d", kind, index+1)
	default:
		return ID{owner, kind, name}.String()
	}
}

// unmarshalsText reports whether the value is decoded from a string by its
// UnmarshalText method.
func unmarshalsText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

// describeExpected returns a description of the values that v accepts.
func describeExpected(v reflect.Value) string {
	switch v.Interface().(type) {
	case time.Duration:
		return `a duration such as "30s" or "1m30s"`
	case selector.Selector:
		return "a selector such as \"tier in (gold, silver), !suspended\""
	case selector.Labels:
		return `a table of labels with strings as values, such as { tier = "gold" }`
	}
	switch v.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint16:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		switch elem := reflect.New(v.Type().Elem()).Elem(); {
		case unmarshalsText(elem):
			return `a list of addresses such as ["127.0.0.1:7000"]`
		case elem.Kind() == reflect.Struct:
			return "a list of tables such as [[Upstream]]"
		}
		return `a list of strings such as ["GET", "POST"]`
	case reflect.Struct:
		if unmarshalsText(v) {
			return `an address such as "127.0.0.1:7000"`
		}
		return "a table"
	default:
		return "a string"
	}
}

// fieldKeys returns the keys of the table that is decoded into a struct of type
// t, sorted.
func fieldKeys(t reflect.Type) (keys []string) {
	for _, field := range reflect.VisibleFields(t) {
		if field.IsExported() && !field.Anonymous {
			keys = append(keys, fieldKey(field))
		}
	}
	slices.Sort(keys)
	return keys
}

// fieldKey returns the key of a field: the name in its toml tag, or else the
// field's name.
func fieldKey(field reflect.StructField) string {
	if key, _, _ := strings.Cut(field.Tag.Get("toml"), ","); key != "" {
		return key
	}
	return field.Name
}

func fieldByKey(t reflect.Type, key string) (field reflect.StructField, ok bool) {
	if field, ok = t.FieldByName(key); ok && field.IsExported() && !field.Anonymous && fieldKey(field) == key {
		return field, true
	}
	for _, field := range reflect.VisibleFields(t) {
		if field.IsExported() && !field.Anonymous && fieldKey(field) == key {
			return field, true
		}
	}
	return field, false
}

// pathInElement returns the part of path after the last array index that is
// followed by a key, or the whole path if there is none: Labels, pool for the path
// Upstream, 3, Labels, pool.
func pathInElement(path []string) []string {
	for i := len(path) - 1; i >= 0; i-- {
		if _, err := strconv.Atoi(path[i]); err == nil && i < len(path)-1 {
			return path[i+1:]
		}
	}
	return path
}

func sortedKeys[T any](m map[string]T) (keys []string) {
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
