package entry

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against datagrams that nodes of an earlier version can't decode, though nothing
// calls for an extension.
func TestEmptyExtensionChangesDatagram(t *testing.T) {
	encoded, err := cbor.Marshal(message{Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	extended, err := extension{}.appendTo(encoded)
	if err != nil || len(extended) != len(encoded) {
		t.Fatalf("empty extension: %d bytes, error %v, want %d bytes", len(extended), err, len(encoded))
	}
	var m message
	if err := cbor.Unmarshal(extended, &m); err != nil || m.Node != "n1" {
		t.Fatalf("message: %+v, error %v", m, err)
	}
}
