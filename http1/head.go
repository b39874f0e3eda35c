package http1

import (
	"bytes"
	"net/http"
)

// head is what was read of the head of a request.
type head struct {
	bytes, lines int
	firstLine    int  // bytes up to the end of the request line
	begun        bool // a line that isn't empty was read
	inLine       bool // the line that is being read isn't empty
	done         bool
}

// scan reads up to the empty line that ends the head.
func (h *head) scan(text []byte) {
	for len(text) > 0 && !h.done {
		line, rest, ended := bytes.Cut(text, []byte{'\n'})
		h.bytes += len(text) - len(rest)
		text = rest
		h.inLine = h.inLine || len(line) > 1 || len(line) == 1 && line[0] != '\r'
		switch {
		case !ended:
		case h.inLine:
			h.lines++
			h.inLine = false
			if !h.begun {
				h.begun, h.firstLine = true, h.bytes
			}
		case h.begun:
			h.done = true
		}
	}
	if !h.begun {
		h.firstLine = h.bytes
	}
}

// serve handles a request on a connection that has an account.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if ok {
		if status := c.checkBuffered(r); status != 0 {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfter)
			w.WriteHeader(status)
			return
		}
	}
	if ok && r.ContentLength != 0 {
		c.beginBody()
	}
	s.options.Handler.ServeHTTP(w, r)
}
