package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"math"
	"net"
	"net/rpc"
	"os"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/connlimit"
)

const (
	// maxMessageBytes limits the memory that a faulty peer can make this process
	// allocate. It is ten times the whole configuration at the target scale.
	maxMessageBytes = 256 << 20
	// maxRetainedBufferBytes is the largest buffer that a connection reuses for
	// its next message. Larger messages are rare, and their buffers would occupy
	// memory in each connection.
	maxRetainedBufferBytes = 64 << 10
	// unaccountedBytes is the size up to which the buffer of a connection for incoming
	// messages doesn't count against messageBuffers.
	unaccountedBytes = 16 << 10

	errBuffersExhausted = errors.ConstError("the memory for incoming messages is exhausted")
)

type (
	// requestHeader precedes the arguments of a call.
	requestHeader struct {
		Sequence uint64 `cbor:"1,keyasint,omitzero"`
		Method   string `cbor:"2,keyasint,omitzero"`
	}

	// replyHeader precedes the result of a call. It has no method, since the
	// sequence number identifies the call.
	replyHeader struct {
		Sequence uint64 `cbor:"1,keyasint,omitzero"`
		Error    string `cbor:"2,keyasint,omitzero"`
	}

	// codec encodes the messages of net/rpc as CBOR, each prefixed with its
	// length. Unlike gob it sends no type descriptions on a new connection.
	codec struct {
		conn        io.ReadWriteCloser
		reader      *bufio.Reader
		readBuffer  []byte // the message that was read last
		body        []byte // the part of readBuffer after the header
		writeBuffer []byte // reused, since net/rpc writes one message at a time
		buffers     *messageBuffers
		accounted   int64 // bytes of readBuffer that count against buffers
	}

	// messageBuffers bounds the memory of a process for incoming messages.
	messageBuffers struct {
		messageLimit int // bytes of one message
		limit        int64
		held         atomic.Int64
	}

	clientCodec struct{ codec }

	// trackedArgs are the arguments of a call. sent is set when all of the message
	// was written. A peer can't process a part of a message.
	trackedArgs struct {
		args any
		sent bool
	}

	serverCodec struct {
		codec
		progress *progressConn
		tracker  callTracker
		served   bool         // a message was read
		calls    atomic.Int64 // that have no reply yet
		// started is when the codec was made, and lastReply how long after that it last
		// wrote a reply.
		started   time.Time
		lastReply atomic.Int64
	}

	// callTracker is told of the calls on a connection and of the reason for its end;
	// see connlimit.Conn.
	callTracker interface {
		Begin() (ok bool)
		End()
		Report(reason connlimit.Reason)
	}
)

var (
	encMode = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	// cbor's default limits of 131072 elements and pairs would reject messages that
	// are within maxMessageBytes. Each element takes at least one byte.
	decMode = must(cbor.DecOptions{MaxArrayElements: maxMessageBytes, MaxMapPairs: maxMessageBytes}.DecMode())
)

// Encode returns the encoding of a message between nodes. Its fields need tags
// "cbor:N,keyasint,omitzero": numbers keep messages short, and nodes of another
// version ignore those that they don't know.
func Encode(message any) (data []byte, err error) { return encMode.Marshal(message) }

// Decode decodes data that Encode returned into message, a pointer.
func Decode(data []byte, message any) (err error) { return decMode.Unmarshal(data, message) }

// MessageBytes returns the number of bytes of a request that calls method with
// the given body, including its length prefix and header.
func MessageBytes(method string, body any) (n int, err error) {
	data, err := appendMessage(nil, &requestHeader{1000, method}, body)
	return len(data), err
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(request *rpc.Request, args any) (err error) {
	tracked, ok := args.(*trackedArgs)
	if !ok {
		tracked = &trackedArgs{args: args}
	}
	tracked.sent, err = c.write(&requestHeader{request.Seq, request.ServiceMethod}, tracked.args)
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) (err error) {
	var header replyHeader
	err = c.read(&header)
	response.Seq, response.Error = header.Sequence, header.Error
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(reply any) (err error) { return c.readBody(reply) }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) (err error) {
	defer func() {
		if err != nil {
			reportClose(c.tracker, err)
		}
	}()
	if err = c.awaitMessage(); err != nil {
		return err
	}
	var header requestHeader
	if err = c.read(&header); err != nil {
		return err
	}
	if !c.tracker.Begin() {
		return net.ErrClosed
	}
	c.calls.Add(1)
	c.served = true
	request.Seq, request.ServiceMethod = header.Sequence, header.Method
	return nil
}

// awaitMessage waits for the first byte of a message. After the first message, it
// fails serverIdleTimeout after the last reply, or later.
func (c *serverCodec) awaitMessage() (err error) {
	for {
		if c.progress.limit = messageStallTimeout; c.served {
			c.progress.limit = serverIdleTimeout
		}
		_, err = c.reader.Peek(1)
		c.progress.limit = messageStallTimeout
		idle := c.calls.Load() == 0 && time.Since(c.started)-time.Duration(c.lastReply.Load()) >= serverIdleTimeout
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.served || idle {
			return err
		}
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(args any) (err error) {
	defer func() {
		if c.accounted > 0 && (cap(c.readBuffer) > maxRetainedBufferBytes || c.buffers.held.Load() > c.buffers.limit/2) {
			c.readBuffer, c.body = nil, nil // what idle connections retain leaves room for messages
			c.release()
		}
	}()
	return c.readBody(args)
}

// WriteResponse implements rpc.ServerCodec. It closes the connection on an error,
// which net/rpc ignores; otherwise the caller would wait for the reply until its
// deadline.
func (c *serverCodec) WriteResponse(response *rpc.Response, reply any) (err error) {
	defer func() {
		c.tracker.End()
		c.lastReply.Store(int64(time.Since(c.started)))
		c.calls.Add(-1)
	}()
	if err = c.progress.beginWrite(); err == nil {
		_, err = c.write(&replyHeader{response.Seq, response.Error}, reply)
	}
	if err != nil {
		c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec. net/rpc calls it from the goroutine that reads.
func (c *serverCodec) Close() (err error) {
	c.release()
	return c.conn.Close()
}

// Close implements rpc.ClientCodec.
func (c *codec) Close() (err error) { return c.conn.Close() }

func newCodec(conn io.ReadWriteCloser) codec {
	return codec{conn: conn, reader: bufio.NewReader(conn), buffers: &messageBuffers{messageLimit: maxMessageBytes, limit: math.MaxInt64}}
}

func newServerCodec(progress *progressConn, tracker callTracker, buffers *messageBuffers) *serverCodec {
	c := &serverCodec{codec: newCodec(progress), progress: progress, tracker: tracker, started: time.Now()}
	c.buffers = buffers
	return c
}

// write sends a message with one call of Write, so that it needs as few packets
// as possible. It reports whether all of it was written.
func (c *codec) write(header, body any) (sent bool, err error) {
	data, err := appendMessage(c.writeBuffer[:0], header, body)
	if err != nil {
		return false, err
	}
	if c.writeBuffer = data; cap(c.writeBuffer) > maxRetainedBufferBytes {
		c.writeBuffer = nil
	}
	n, err := c.conn.Write(data)
	return n == len(data), err
}

// read reads the next message and decodes its header.
func (c *codec) read(header any) (err error) {
	length, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return err
	}
	if length > uint64(c.buffers.messageLimit) {
		return errors.Errorf("message of %d bytes exceeds the limit of %d", length, c.buffers.messageLimit)
	}
	if cap(c.readBuffer) > maxRetainedBufferBytes {
		c.readBuffer = nil
		c.release()
	}
	if err = c.readMessage(int(length)); err != nil {
		return err
	}
	c.body, err = decMode.UnmarshalFirst(c.readBuffer, header)
	return err
}

// readBody decodes the body of the message that read has read. net/rpc passes nil
// to skip it.
func (c *codec) readBody(body any) (err error) {
	if body == nil {
		return nil
	}
	return Decode(c.body, body)
}

// readMessage reads n bytes into readBuffer. Beyond maxRetainedBufferBytes, the buffer
// grows with the bytes that arrive, so that a length prefix alone can't make it allocate
// memory.
func (c *codec) readMessage(n int) (err error) {
	c.readBuffer = c.readBuffer[:0]
	for len(c.readBuffer) < n {
		if len(c.readBuffer) == cap(c.readBuffer) {
			capacity := min(max(2*cap(c.readBuffer), maxRetainedBufferBytes), n)
			if err = c.account(capacity); err != nil {
				return err
			}
			c.readBuffer = append(make([]byte, 0, capacity), c.readBuffer...)
		}
		read, err := io.ReadFull(c.reader, c.readBuffer[len(c.readBuffer):min(n, cap(c.readBuffer))])
		c.readBuffer = c.readBuffer[:len(c.readBuffer)+read]
		if err != nil {
			return err
		}
	}
	return nil
}

// account counts a buffer of the given size instead of the one before.
func (c *codec) account(capacity int) (err error) {
	counted := int64(max(0, capacity-unaccountedBytes))
	if held := c.buffers.held.Add(counted - c.accounted); held > c.buffers.limit {
		c.buffers.held.Add(c.accounted - counted)
		return errBuffersExhausted
	}
	c.accounted = counted
	return nil
}

// release stops counting the buffer.
func (c *codec) release() {
	c.buffers.held.Add(-c.accounted)
	c.accounted = 0
}

// appendMessage appends an encoded message to buffer: its length, its header and
// its body.
func appendMessage(buffer []byte, header, body any) (data []byte, err error) {
	encodedHeader, err := Encode(header)
	if err != nil {
		return buffer, err
	}
	encodedBody, err := Encode(body)
	if err != nil {
		return buffer, err
	}
	buffer = binary.AppendUvarint(buffer, uint64(len(encodedHeader)+len(encodedBody)))
	return append(append(buffer, encodedHeader...), encodedBody...), nil
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
