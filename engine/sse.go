package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// errBadStream means that a stream breaks the rules of server-sent events.
const errBadStream = errors.ConstError("bad event stream")

// eventReader reads the data of server-sent events with bounded lines.
type eventReader struct {
	reader *bufio.Reader
	data   []byte
	max    int
}

func newEventReader(body io.Reader, maxLineBytes int) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, maxLineBytes), max: maxLineBytes}
}

// next returns the data of the next event, which is valid until the next call.
// It returns io.EOF only when the body ends cleanly.
func (r *eventReader) next() (data []byte, err error) {
	r.data = r.data[:0]
	seen := false
	for {
		line, err := r.reader.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errors.Annotatef(errBadStream, "line over %d bytes", r.max)
		case err == io.EOF && len(line) > 0:
			return nil, errors.Annotate(errBadStream, "last line cut short")
		case err != nil:
			return nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
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
			if seen = true; len(r.data)+len(value) > r.max {
				return nil, errors.Annotatef(errBadStream, "event over %d bytes", r.max)
			}
			r.data = append(r.data, value...)
		case string(name) == "event", string(name) == "id", string(name) == "retry":
		default:
			return nil, errors.Annotatef(errBadStream, "line %.40q", line)
		}
	}
}
