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

// maxShownRunes is the length at which a value is cut in problem texts.
const maxShownRunes = 80

// ParsedFile is a decoded TOML text with the line of each setting. It collects
// the text's problems, so that all of them are found in one run.
type ParsedFile struct {
	File     string
	Problems []Problem

	metadata toml.MetaData
	lines    lineIndex
	given    map[string]bool
	faulty   map[string]bool
}

// Decode reads a TOML text into a struct, whose field names are the keys. A
// setting that can't be read is reported and keeps its zero value.
func Decode(file string, text []byte, into any) (s *ParsedFile) {
	s = &ParsedFile{File: file, lines: lineIndex{}, given: map[string]bool{}, faulty: map[string]bool{}}
	var top map[string]toml.Primitive
	var err error
	if s.metadata, err = toml.Decode(string(text), &top); err != nil {
		s.reportSyntax(err)
		return s
	}
	s.lines = scanLines(string(text))
	s.table(reflect.ValueOf(into).Elem(), top, "", nil)
	return s
}

// IsDefined reports whether the text has a setting, even with its zero value.
func (s *ParsedFile) IsDefined(path ...string) bool { return s.given[joinPath(path...)] }

// IsUndecodable reports whether a setting couldn't be read.
func (s *ParsedFile) IsUndecodable(path ...string) bool { return s.faulty[joinPath(path...)] }

// Report adds a problem of the setting at path. Values of hashes are not
// shown, because operators put the secret itself there by mistake.
func (s *ParsedFile) Report(p Problem, path ...string) {
	if strings.HasSuffix(p.Field, "SHA256") {
		p.Value = "a value of " + strconv.Itoa(len(p.Value)) + " characters"
	}
	p.File, p.Line = s.File, s.lines.find(path...)
	s.Problems = append(s.Problems, p)
}

// SortedProblems returns the problems in the order of the text.
func (s *ParsedFile) SortedProblems() []Problem {
	slices.SortStableFunc(s.Problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Field, b.Field))
	})
	return s.Problems
}

// FormatValue returns a value as problem texts have it.
func FormatValue(value any) string {
	shown := printValue(value)
	if runes := []rune(shown); len(runes) > maxShownRunes {
		shown = string(runes[:maxShownRunes]) + "..."
	}
	return shown
}

// printValue quotes strings and values that are written as strings.
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
	p := Problem{File: s.File, Value: "a syntax error", Allowed: "TOML: " + err.Error()}
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		p.Line, p.Allowed = parseError.Position.Line, "TOML: "+strings.TrimPrefix(parseError.Message, "toml: ")
	}
	s.Problems = append(s.Problems, p)
}

// table reads the keys of one table into the fields of a struct.
func (s *ParsedFile) table(into reflect.Value, table map[string]toml.Primitive, object string, path []string) {
	for _, key := range sortedKeys(table) {
		at := append(slices.Clone(path), key)
		s.given[joinPath(at...)] = true
		field, known := fieldByKey(into.Type(), key)
		if !known {
			names := fieldKeys(into.Type())
			s.Report(Problem{
				Object: object, Field: strings.Join(fieldsOnly(at), "."), Value: "an unknown key",
				Allowed: "one of " + strings.Join(names, ", "), Suggestion: Suggest(key, names),
			}, at...)
			continue
		}
		s.setting(into.FieldByIndex(field.Index), table[key], object, at)
	}
}

func (s *ParsedFile) setting(into reflect.Value, primitive toml.Primitive, object string, path []string) {
	if into.Kind() == reflect.Struct && !isText(into) {
		var table map[string]toml.Primitive
		if s.decode(&table, into, primitive, object, path) {
			s.table(into, table, object, path)
		}
		return
	}
	if into.Kind() == reflect.Slice && into.Type().Elem().Kind() == reflect.Struct && !isText(reflect.New(into.Type().Elem()).Elem()) {
		var tables []map[string]toml.Primitive
		if !s.decode(&tables, into, primitive, object, path) {
			return
		}
		into.Set(reflect.MakeSlice(into.Type(), len(tables), len(tables)))
		for i, table := range tables {
			s.table(into.Index(i), table, s.identity(path, table, i), append(slices.Clone(path), strconv.Itoa(i)))
		}
		return
	}
	s.decode(into.Addr().Interface(), into, primitive, object, path)
}

// decode reads one value, or reports what kind of value the setting takes.
func (s *ParsedFile) decode(target any, into reflect.Value, primitive toml.Primitive, object string, path []string) (ok bool) {
	var found any
	if err := s.metadata.PrimitiveDecode(primitive, &found); err != nil {
		found = err.Error()
	}
	var detail string
	_, isString := found.(string)
	needsString := isText(into) || into.Type() == reflect.TypeFor[time.Duration]()
	if !needsString || isString {
		err := s.metadata.PrimitiveDecode(primitive, target)
		if err == nil {
			return true
		}
		var parseError toml.ParseError
		if errors.As(err, &parseError) && isText(into) {
			detail = " (" + parseError.Message + ")"
		}
	}
	into.SetZero()
	s.faulty[joinPath(path...)] = true
	s.Report(Problem{
		Object: object, Field: strings.Join(fieldsOnly(path), "."), Value: FormatValue(found),
		Allowed: describe(into) + detail,
	}, path...)
	return false
}

// identity names an element of an array of tables before it is decoded.
func (s *ParsedFile) identity(path []string, table map[string]toml.Primitive, index int) string {
	kind := strings.Join(fieldsOnly(path), ".")
	text := func(key string) (value string) {
		if primitive, ok := table[key]; ok && s.metadata.PrimitiveDecode(primitive, &value) != nil {
			return ""
		}
		return value
	}
	return objectName(Kind(kind), text("Owner"), text("Name"), index)
}

func objectName(kind Kind, owner, name string, index int) string {
	switch {
	case name == "":
		return fmt.Sprintf("%s number %d", kind, index+1)
	default:
		return ID{owner, kind, name}.String()
	}
}

func isText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func describe(v reflect.Value) string {
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
		case isText(elem):
			return `a list of addresses such as ["127.0.0.1:7000"]`
		case elem.Kind() == reflect.Struct:
			return "a list of tables such as [[Upstream]]"
		}
		return `a list of strings such as ["GET", "POST"]`
	case reflect.Struct:
		if isText(v) {
			return `an address such as "127.0.0.1:7000"`
		}
		return "a table"
	default:
		return "a string"
	}
}

// fieldKeys returns the keys that a table takes.
func fieldKeys(t reflect.Type) (keys []string) {
	for _, field := range reflect.VisibleFields(t) {
		if field.IsExported() && !field.Anonymous {
			keys = append(keys, fieldKey(field))
		}
	}
	slices.Sort(keys)
	return keys
}

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

// fieldsOnly returns a path without the array elements' numbers, and within an
// array element only the path there.
func fieldsOnly(path []string) []string {
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
