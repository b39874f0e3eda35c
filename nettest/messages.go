package nettest

import (
	"encoding"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/guavagauge/guavagauge/peer"
)

const module = "github.com/guavagauge/guavagauge"

var tagPattern = regexp.MustCompile(`^\d+,keyasint,omitzero$`)

// CheckRPCMessages fails the test if a request or reply of a net/rpc receiver's
// methods loses a field when it is encoded and decoded, or has a field without a
// numbered cbor tag.
func CheckRPCMessages(t *testing.T, receiver any) {
	t.Helper()
	methods := reflect.TypeOf(receiver)
	if methods.NumMethod() == 0 {
		t.Errorf("%s has no methods", methods)
	}
	for i := range methods.NumMethod() {
		method := methods.Method(i)
		for _, message := range []reflect.Type{method.Type.In(1), method.Type.In(2)} {
			if message.Kind() == reflect.Pointer {
				message = message.Elem()
			}
			checkTags(t, message, make(map[reflect.Type]bool))
			sent := reflect.New(message)
			fill(sent.Elem(), 1)
			data, err := peer.Encode(sent.Interface())
			if err != nil {
				t.Errorf("%s: %s: %v", method.Name, message, err)
				continue
			}
			got := reflect.New(message)
			if err = peer.Decode(data, got.Interface()); err != nil || !reflect.DeepEqual(got.Interface(), sent.Interface()) {
				t.Errorf("%s: %s: got %+v, sent %+v, error %v", method.Name, message, got.Elem(), sent.Elem(), err)
			}
		}
	}
}

// checkTags checks the cbor tags of the structs of this module that a message
// contains. It doesn't check that the keys of an embedded struct differ from those
// of the outer one; CheckRPCMessages detects equal keys by a lost field.
func checkTags(t *testing.T, of reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		checkTags(t, of.Elem(), seen)
	case reflect.Map:
		checkTags(t, of.Key(), seen)
		checkTags(t, of.Elem(), seen)
	case reflect.Struct:
		if seen[of] || !strings.HasPrefix(of.PkgPath(), module) {
			return
		}
		seen[of] = true
		for i := range of.NumField() {
			field := of.Field(i)
			if field.IsExported() && !field.Anonymous && !tagPattern.MatchString(field.Tag.Get("cbor")) {
				t.Errorf("%s.%s has the cbor tag %q, want N,keyasint,omitzero", of, field.Name, field.Tag.Get("cbor"))
			}
			checkTags(t, field.Type, seen)
		}
	}
}

// fill sets a value, or all exported fields of a struct, to values derived from n
// that aren't zero. It panics if it doesn't support the type.
func fill(value reflect.Value, n int) {
	if binary, ok := value.Addr().Interface().(encoding.BinaryUnmarshaler); ok {
		// Addresses and times have no exported fields; they are parsed from text.
		text := map[string]string{
			"netip.AddrPort": "10.1.2.3:4567", "netip.Addr": "10.1.2.3", "time.Time": "2026-01-02T03:04:05.000000006Z",
		}[value.Type().String()]
		if err := binary.(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
			panic(err)
		}
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(strings.Repeat("x", n))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(n))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(n) / 4)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), n)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fill(value.Index(0), n)
		fill(value.Index(1), n+1)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), n+i)
		}
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, n)
		fill(element, n)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i), n+i)
			}
		}
	default:
		panic("cannot fill a value of type " + value.Type().String())
	}
}
