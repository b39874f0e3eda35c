package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/rpc"
	"testing"

	"github.com/juju/errors"
)

// pipe reads from one buffer and writes to another.
type pipe struct {
	io.Reader
	io.Writer
}

func (pipe) Close() error { return nil }

// Guards against a length prefix that makes the codec allocate memory before the
// message arrives, and against taking the fewer bytes sent for the whole message.
func TestFalseMessageLength(t *testing.T) {
	for _, test := range []struct {
		name   string
		length uint64
		want   error
	}{
		{"longer than the bytes sent", maxMessageBytes, io.ErrUnexpectedEOF},
		{"longer than the limit", maxMessageBytes + 1, nil},
	} {
		sent := append(binary.AppendUvarint(nil, test.length), make([]byte, 100)...)
		c := &serverCodec{newCodec(pipe{bytes.NewReader(sent), io.Discard})}
		err := c.ReadRequestHeader(&rpc.Request{})
		if err == nil || (test.want != nil && !errors.Is(err, test.want)) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
		if cap(c.readBuffer) > maxRetainedBufferBytes {
			t.Errorf("%s: a buffer of %d bytes for 100 received bytes", test.name, cap(c.readBuffer))
		}
	}
}

// Guards against retaining the buffer of a large message, and against losing the
// message that follows a body that can't be decoded.
func TestCodecAfterLargeAndInvalidBodies(t *testing.T) {
	var wire bytes.Buffer
	c := &clientCodec{newCodec(pipe{nil, &wire})}
	for i, args := range []any{make([]byte, 10*maxRetainedBufferBytes), "text", 7} {
		if err := c.WriteRequest(&rpc.Request{Seq: uint64(i), ServiceMethod: "Echo.Say"}, args); err != nil {
			t.Fatal(err)
		}
	}
	s := &serverCodec{newCodec(pipe{&wire, io.Discard})}
	var large []byte
	var wrong, number int
	for i, body := range []any{&large, &wrong, &number} {
		var request rpc.Request
		if err := s.ReadRequestHeader(&request); err != nil || request.Seq != uint64(i) || request.ServiceMethod != "Echo.Say" {
			t.Errorf("header %+v, error %v", request, err)
		}
		if err := s.ReadRequestBody(body); (err != nil) != (i == 1) {
			t.Errorf("body %d: error %v", i, err)
		}
	}
	if len(large) != 10*maxRetainedBufferBytes || number != 7 || cap(s.readBuffer) > maxRetainedBufferBytes || cap(c.writeBuffer) > maxRetainedBufferBytes {
		t.Errorf("%d bytes, number %d; buffers of %d and %d bytes retained", len(large), number, cap(s.readBuffer), cap(c.writeBuffer))
	}
}

// FuzzRead guards against bytes from a faulty peer that make the codec panic.
func FuzzRead(f *testing.F) {
	data, err := appendMessage(nil, &requestHeader{1, "Echo.Say"}, "text")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := &serverCodec{newCodec(pipe{bytes.NewReader(data), io.Discard})}
		for {
			var request rpc.Request
			if c.ReadRequestHeader(&request) != nil {
				return
			}
			var body map[string]any
			_ = c.ReadRequestBody(&body) // an error is expected for most inputs
		}
	})
}
