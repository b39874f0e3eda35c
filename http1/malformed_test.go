package http1_test

import (
	"io"
	"strings"
	"testing"
)

// Guards against requests with malformed heads that reach a handler, which would pass
// them on.
func TestMalformedRequestIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"blank in a field name":         "POST /1 HTTP/1.1\r\nHost: a.example\r\nBad Name: x\r\nContent-Length: 1\r\n\r\nx",
		"blank before the colon":        "POST /1 HTTP/1.1\r\nHost: a.example\r\nContent-Length : 1\r\n\r\nx",
		"blank before the colon, chunk": "POST /1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"control byte in a field name":  "POST /1 HTTP/1.1\r\nHost: a.example\r\nX\x01Y: z\r\nContent-Length: 1\r\n\r\nx",
		"control byte in a field value": "POST /1 HTTP/1.1\r\nHost: a.example\r\nX-Y: \x01\r\nContent-Length: 1\r\n\r\nx",
		"two lengths":                   "POST /1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
		"unknown transfer encoding":     "POST /1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: x\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 0, func(f *fixture) {
				conn := f.dial()
				defer conn.Close()
				io.WriteString(conn, text)
				answer, err := io.ReadAll(conn)
				status, _, _ := strings.Cut(strings.TrimPrefix(string(answer), "HTTP/1.1 "), " ")
				if err != nil || status != "400" && status != "501" || strings.Contains(string(answer), "answer to") {
					t.Errorf("answer %q, %v", answer, err)
				}
			})
		})
	}
}
