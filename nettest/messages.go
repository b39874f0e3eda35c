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

var tag = regexp.MustCompile(`^\d+,keyasint,omitzero$`)

// CheckRPCMessages guards against messages of a net/rpc receiver that lose
// fields between nodes, or whose fields travel by name.
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

// checkTags looks at the fields of all structs of the module that a message
// holds. Keys of embedded structs must differ from those around them; a clash
// shows as a lost field.
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
			if field.IsExported() && !field.Anonymous && !tag.MatchString(field.Tag.Get("cbor")) {
				t.Errorf("%s.%s has the tag %q", of, field.Name, field.Tag.Get("cbor"))
			}
			checkTags(t, field.Type, seen)
		}
	}
}

// fill sets all fields to values that aren't zero.
func fill(value reflect.Value, n int) {
	if binary, ok := value.Addr().Interface().(encoding.BinaryUnmarshaler); ok {
		// The addresses and times of messages take their form from text.
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
		panic("no value for " + value.Type().String())
	}
}
