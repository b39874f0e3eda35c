package transport

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"
)

// Parts of a head.
const (
	inVersion headPart = iota
	afterVersion
	inStatus
	inReason
	atLine // the first byte of a field line, or of the empty line that ends the head
	inName
	inValue
	headEnd
)

const (
	// ErrMalformedResponse means that a server sent bytes that aren't an HTTP/1.1
	// response. Nothing that they say can be relied on, so the request may have run.
	ErrMalformedResponse = errors.ConstError("malformed response")

	versionPrefix = "HTTP/1."
	statusDigits  = 3
	maxStatus     = 599
	// framingField names the field that frames a body in HTTP/1.1 only, in lower case.
	framingField = "transfer-encoding"
	// lowerCase is the bit in which a lower-case letter differs from its upper case.
	lowerCase = 0x20
	// maxQuotedBytes bounds what an error quotes of a malformed line.
	maxQuotedBytes = 80
)

type (
	// responseHead checks the head of a response while its bytes arrive, by the grammar
	// of RFC 9112. It is stricter than net/http, which accepts any status of three
	// digits and blanks in field names.
	responseHead struct {
		part    headPart
		matched int  // bytes of versionPrefix, digits of the status, or bytes of framingField; -1: another field
		version byte // the digit after versionPrefix
		status  int
		fields  bool // a field line was read
		inCRLF  bool // the byte before was a carriage return
	}

	// headPart is the part of a head to which the next byte belongs.
	headPart int
)

var (
	tokenBytes = func() (allowed [256]bool) {
		for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
			allowed[b] = true
		}
		return allowed
	}()
	// valueBytes are allowed in field values and reason phrases.
	valueBytes = func() (allowed [256]bool) {
		for b := range allowed {
			allowed[b] = b == '\t' || b >= ' ' && b != 0x7f
		}
		return allowed
	}()
)

// scan checks bytes of the head up to its end, and returns how many of text belong to
// it. The error says what is wrong with the last of them.
func (h *responseHead) scan(text []byte) (n int, err error) {
	line := 0 // where the current line, or its rest, begins
	for n < len(text) && h.part != headEnd {
		if plain := h.plainBytes(); plain != nil {
			for n < len(text) && plain[text[n]] {
				n++
			}
			if n == len(text) {
				break
			}
		}
		b := text[n]
		n++
		if problem := h.step(b); problem != "" {
			quoted := text[line:n]
			return n, errors.WithType(errors.Errorf("%s, in %q", problem, quoted[max(0, len(quoted)-maxQuotedBytes):]), ErrMalformedResponse)
		}
		if b == '\n' {
			line = n
		}
	}
	return n, nil
}

// plainBytes returns the bytes that change nothing if they come next, or nil.
func (h *responseHead) plainBytes() (plain *[256]bool) {
	switch {
	case h.inCRLF:
		return nil
	case h.part == inValue || h.part == inReason:
		return &valueBytes
	case h.part == inName && h.matched < 0:
		return &tokenBytes
	}
	return nil
}

// step checks the next byte and returns what is wrong with it.
func (h *responseHead) step(b byte) (problem string) {
	if h.inCRLF && b != '\n' {
		return "carriage return without a line feed"
	}
	if (b == '\r' || b == '\n') && h.lineMayEnd() {
		h.inCRLF = b == '\r'
		if b == '\n' {
			h.endLine()
		}
		return ""
	}
	switch h.part {
	case inVersion:
		return h.stepVersion(b)
	case afterVersion:
		h.part, h.matched = inStatus, 0
		if b != ' ' {
			return "no blank before the status"
		}
	case inStatus:
		return h.stepStatus(b)
	case atLine:
		if h.fields && (b == ' ' || b == '\t') { // a folded line, which continues the value
			h.part = inValue
			return ""
		}
		h.part, h.matched = inName, 0
		if b == ':' {
			return "field without a name"
		}
		return h.stepName(b)
	case inName:
		return h.stepName(b)
	case inReason, inValue:
		if !valueBytes[b] {
			return fmt.Sprintf("byte %#02x in a reason phrase or a field value", b)
		}
	case headEnd:
	}
	return ""
}

// lineMayEnd reports whether the line is complete.
func (h *responseHead) lineMayEnd() (ok bool) {
	switch h.part {
	case inReason, atLine, inValue:
		return true
	default: // a status may come without a reason phrase
		return h.part == inStatus && h.matched == statusDigits
	}
}

func (h *responseHead) stepVersion(b byte) (problem string) {
	switch {
	case h.matched < len(versionPrefix):
		if b != versionPrefix[h.matched] {
			return "not an HTTP/1 response"
		}
		h.matched++
	case b < '0' || b > '9':
		return "not an HTTP/1 response"
	default:
		h.part, h.version = afterVersion, b
	}
	return ""
}

func (h *responseHead) stepStatus(b byte) (problem string) {
	if h.matched == statusDigits {
		h.part = inReason
		if b != ' ' {
			return "status that isn't three digits"
		}
		return ""
	}
	if b < '0' || b > '9' {
		return "status that isn't three digits"
	}
	h.status = 10*h.status + int(b-'0')
	h.matched++
	switch {
	case h.matched < statusDigits:
	case h.status < http.StatusContinue || h.status > maxStatus:
		return fmt.Sprintf("status %03d, which isn't in 100 to %d", h.status, maxStatus)
	case h.status == http.StatusSwitchingProtocols:
		return "switch to another protocol, which no request asks for"
	}
	return ""
}

func (h *responseHead) stepName(b byte) (problem string) {
	switch {
	case b == ':':
		h.part = inValue
		if h.version == '0' && h.matched == len(framingField) {
			// net/http drops the field and takes the chunks for the content.
			return "Transfer-Encoding in a response of HTTP/1.0"
		}
	case !tokenBytes[b]:
		return fmt.Sprintf("byte %#02x in a field name", b)
	case h.matched >= 0 && h.matched < len(framingField) && b|lowerCase == framingField[h.matched]:
		h.matched++
	default:
		h.matched = -1
	}
	return ""
}

func (h *responseHead) endLine() {
	if h.part == atLine {
		h.part = headEnd
		return
	}
	h.fields = h.part == inValue
	h.part = atLine
}

// CheckTrailer returns an error if a trailer that net/http has read has a field name
// that isn't valid.
func CheckTrailer(trailer http.Header) (err error) {
	for name := range trailer {
		for i := range len(name) {
			if !tokenBytes[name[i]] {
				return errors.WithType(errors.Errorf("byte %#02x in a field name of a trailer, in %q", name[i], name), ErrMalformedResponse)
			}
		}
	}
	return nil
}
