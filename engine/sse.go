package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// errMalformedStream means that a stream violates the server-sent events format
// or exceeds a size limit.
const errMalformedStream = errors.ConstError("malformed event stream")

// eventReader reads the data of server-sent events. It limits the size of lines
// and events.
type eventReader struct {
	reader   *bufio.Reader
	line     []byte // collects a line that is longer than the reader's buffer
	data     []byte
	maxBytes int // limit of a line, and of the data of an event
}

func newEventReader(body io.Reader, maxLineBytes int) *eventReader {
	return &eventReader{reader: bufio.NewReader(body), maxBytes: maxLineBytes}
}

// next returns the data of the next event, which is valid until the next call.
// It returns io.EOF if the body ended regularly, not within a line. Data that no
// empty line follows is dropped, as the format demands.
func (r *eventReader) next() (data []byte, err error) {
	r.data = r.data[:0]
	seen := false
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && seen:
			return r.data, nil
		case len(line) == 0, len(name) == 0: // a separator or a comment
		case string(name) == "data":
			if seen {
				r.data = append(r.data, '\n')
			}
			if seen = true; len(r.data)+len(value) > r.maxBytes {
				return nil, errors.Annotatef(errMalformedStream, "event exceeds %d bytes", r.maxBytes)
			}
			r.data = append(r.data, value...)
		case string(name) == "event", string(name) == "id", string(name) == "retry":
		default:
			return nil, errors.Annotatef(errMalformedStream, "unknown field in line %.40q", line)
		}
	}
}

// readLine returns the next line without its line ending. The line is valid until
// the next call.
func (r *eventReader) readLine() (line []byte, err error) {
	r.line = r.line[:0]
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(r.line)+len(part) > r.maxBytes {
			return nil, errors.Annotatef(errMalformedStream, "line exceeds %d bytes", r.maxBytes)
		}
		if err == nil && len(r.line) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		r.line = append(r.line, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(r.line, "\r\n"), nil
		case err == io.EOF && len(r.line) > 0:
			return nil, errors.Annotate(errMalformedStream, "last line is truncated")
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}
