package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/rpc"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// maxMessageBytes bounds the memory that a broken peer can ask for. The
	// target's whole configuration is a tenth of it.
	maxMessageBytes = 256 << 20
	// keptBufferBytes is the largest buffer that a connection keeps for its next
	// message; larger messages are rare and would hold memory at each peer.
	keptBufferBytes = 64 << 10
)

type (
	// requestHeader precedes the arguments of a call.
	requestHeader struct {
		Sequence uint64 `cbor:"1,keyasint,omitzero"`
		Method   string `cbor:"2,keyasint,omitzero"`
	}

	// replyHeader precedes the result. It has no method, since the sequence
	// identifies the call.
	replyHeader struct {
		Sequence uint64 `cbor:"1,keyasint,omitzero"`
		Error    string `cbor:"2,keyasint,omitzero"`
	}

	// codec carries the messages of net/rpc in CBOR, each with its length before
	// it. Unlike gob it sends no descriptions of types on a new connection.
	codec struct {
		conn   io.ReadWriteCloser
		reader *bufio.Reader
		buffer []byte // of the message that was read last
		body   []byte // the part of buffer that follows the header
		out    []byte // net/rpc writes one message at a time
	}

	clientCodec struct{ codec }

	serverCodec struct{ codec }
)

var (
	encoding = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: maxMessageBytes, MaxMapPairs: maxMessageBytes}.DecMode())
)

// Encode returns the form in which a message travels. Its fields need tags
// "cbor:N,keyasint,omitzero": numbers keep messages short, and nodes of another
// version pass over those that they don't know.
func Encode(message any) (data []byte, err error) { return encoding.Marshal(message) }

// Decode reads what Encode returned.
func Decode(data []byte, message any) (err error) { return decoding.Unmarshal(data, message) }

// MessageBytes returns how many bytes a call sends with a header and its body.
func MessageBytes(method string, body any) (n int, err error) {
	data, err := frame(nil, &requestHeader{1000, method}, body)
	return len(data), err
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(request *rpc.Request, args any) (err error) {
	return c.write(&requestHeader{request.Seq, request.ServiceMethod}, args)
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
	var header requestHeader
	err = c.read(&header)
	request.Seq, request.ServiceMethod = header.Sequence, header.Method
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(args any) (err error) { return c.readBody(args) }

// WriteResponse implements rpc.ServerCodec. net/rpc ignores its error, so it
// closes the connection, whose calls would wait for this one's reply.
func (c *serverCodec) WriteResponse(response *rpc.Response, reply any) (err error) {
	err = c.write(&replyHeader{response.Seq, response.Error}, reply)
	if err != nil {
		c.conn.Close()
	}
	return err
}

// Close implements both codecs.
func (c *codec) Close() (err error) { return c.conn.Close() }

func newCodec(conn io.ReadWriteCloser) codec {
	return codec{conn: conn, reader: bufio.NewReader(conn)}
}

// write sends a message with one write, so that it leaves in as few packets as
// it can.
func (c *codec) write(header, body any) (err error) {
	data, err := frame(c.out[:0], header, body)
	if err != nil {
		return err
	}
	if c.out = data; cap(c.out) > keptBufferBytes {
		c.out = nil
	}
	_, err = c.conn.Write(data)
	return err
}

// read takes the next message and decodes its header.
func (c *codec) read(header any) (err error) {
	length, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return errors.Errorf("a message of %d bytes, at most %d are taken", length, maxMessageBytes)
	}
	if uint64(cap(c.buffer)) < length || cap(c.buffer) > keptBufferBytes {
		c.buffer = make([]byte, 0, min(length, keptBufferBytes))
	}
	if c.buffer, err = readAll(c.reader, c.buffer[:0], int(length)); err != nil {
		return err
	}
	c.body, err = decoding.UnmarshalFirst(c.buffer, header)
	return err
}

// readBody decodes what follows the header. net/rpc passes nil to skip it.
func (c *codec) readBody(body any) (err error) {
	if body == nil {
		return nil
	}
	return Decode(c.body, body)
}

// readAll appends n bytes. The buffer grows with what arrives, so that a length
// alone takes no memory.
func readAll(reader io.Reader, buffer []byte, n int) (result []byte, err error) {
	for len(buffer) < n {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		read, err := io.ReadFull(reader, buffer[len(buffer):min(n, cap(buffer))])
		buffer = buffer[:len(buffer)+read]
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}

// frame appends a message to buffer: its length, its header and its body.
func frame(buffer []byte, header, body any) (data []byte, err error) {
	head, err := Encode(header)
	if err != nil {
		return buffer, err
	}
	content, err := Encode(body)
	if err != nil {
		return buffer, err
	}
	buffer = binary.AppendUvarint(buffer, uint64(len(head)+len(content)))
	return append(append(buffer, head...), content...), nil
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
