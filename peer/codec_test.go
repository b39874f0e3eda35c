package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/connlimit"
)

type (
	// pipe reads from one buffer and writes to another.
	pipe struct {
		io.Reader
		io.Writer
	}

	// receivingConn is a connection that only receives.
	receivingConn struct {
		net.Conn
		received io.Reader
	}

	// untracked is a callTracker without a limit.
	untracked struct{}
)

func (pipe) Close() error { return nil }

func (c receivingConn) Read(b []byte) (n int, err error)    { return c.received.Read(b) }
func (receivingConn) SetReadDeadline(time.Time) (err error) { return nil }
func (receivingConn) Close() (err error)                    { return nil }

func (untracked) Begin() (ok bool) { return true }
func (untracked) End()             {}

func (untracked) Report(connlimit.Reason) {}

// receiveFrom returns the codec of a server that receives bytes.
func receiveFrom(received io.Reader, buffers *messageBuffers) *serverCodec {
	return newServerCodec(&progressConn{Conn: receivingConn{received: received}}, untracked{}, buffers)
}

func defaultBuffers() *messageBuffers {
	return &messageBuffers{messageLimit: maxMessageBytes, limit: defaultBufferedBytes}
}

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
		c := receiveFrom(bytes.NewReader(sent), defaultBuffers())
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
	s := receiveFrom(&wire, defaultBuffers())
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

// Guards against peers whose messages, each within the limit, together use more
// memory than they may, and against memory that stays counted afterwards.
func TestBufferedBytes(t *testing.T) {
	var wire bytes.Buffer
	if err := (&clientCodec{newCodec(pipe{nil, &wire})}).WriteRequest(&rpc.Request{ServiceMethod: "Echo.Say"}, make([]byte, 100<<10)); err != nil {
		t.Fatal(err)
	}
	message := wire.Bytes()
	buffers := &messageBuffers{messageLimit: 1 << 20, limit: 150 << 10}
	read := func(received []byte) (c *serverCodec, err error) {
		c = receiveFrom(bytes.NewReader(received), buffers)
		return c, c.ReadRequestHeader(&rpc.Request{})
	}
	partial, err := read(message[:len(message)-1])
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("part of a message: %v", err)
	}
	refused, err := read(message)
	if !errors.Is(err, errBuffersExhausted) {
		t.Errorf("second message of 100 KB: error %v, want that of exhausted memory", err)
	}
	partial.Close()
	refused.Close()
	whole, err := read(message)
	if err != nil {
		t.Errorf("message after the end of the other connections: %v", err)
	}
	var body []byte
	if err := whole.ReadRequestBody(&body); err != nil || len(body) != 100<<10 {
		t.Errorf("%d bytes, error %v", len(body), err)
	}
	if held := buffers.held.Load(); held != 0 {
		t.Errorf("%d bytes are counted without a message", held)
	}
	buffers.messageLimit = 50 << 10
	if _, err := read(message); err == nil {
		t.Error("a message beyond the limit was read")
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
		c := receiveFrom(bytes.NewReader(data), defaultBuffers())
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
