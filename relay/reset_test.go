package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
	"github.com/guavagauge/guavagauge/relay"
)

const uploadBytes = 32 << 20 // more than the sockets buffer

// Guards against a body that is reset while the request is still being written, and is
// taken for whole because the system reported the reset to the write. The body has no
// length. One whose upstream ends the connection in an orderly way is whole, whether the
// upstream reads the request before that or not.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(conn *net.TCPConn, request *http.Request) // the upstream's, after a part of the body
		whole bool
	}{
		"reset":  {func(conn *net.TCPConn, _ *http.Request) { conn.SetLinger(0) }, false},
		"closed": {func(*net.TCPConn, *http.Request) {}, false}, // resets, since bytes of the request are unread
		"closed after the request": {func(_ *net.TCPConn, request *http.Request) {
			if n, err := io.Copy(io.Discard, request.Body); err != nil || n != uploadBytes-1 {
				t.Errorf("read %d bytes of the rest of the request, %v", n, err)
			}
		}, true},
		"half closed": {func(conn *net.TCPConn, request *http.Request) {
			conn.CloseWrite()
			io.Copy(io.Discard, request.Body) // until the pool closes the connection
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			received := make(chan struct{}) // a part of the body
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				// More of the body than the reader buffers has arrived with its first byte.
				if _, err = io.ReadFull(request.Body, make([]byte, 1)); err != nil {
					return
				}
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n"+platformtest.RawSeal+"\r\npart")
				<-received
				c.end(conn.(*net.TCPConn), request)
			}()
			written := make(chan error, 1) // the body of the request
			network := &nettest.HookedNetwork{Network: platform.Network{}}
			network.ReplaceNextWrite(func(conn net.Conn, head []byte) (n int, err error) {
				network.ReplaceNextWrite(func(conn net.Conn, body []byte) (n int, err error) {
					n, err = conn.Write(body)
					written <- err
					return n, err
				})
				return conn.Write(head)
			})
			pool := relay.New(relay.Options{Network: network})
			target := relay.Target{ID: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}
			response, err := pool.Send(t.Context(), target, &relay.Request{
				Method: http.MethodPost, URI: "/x", Host: "h", Body: make([]byte, uploadBytes), ID: "q1",
			})
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			if _, err = io.ReadFull(response, make([]byte, len("part"))); err != nil {
				t.Fatal(err)
			}
			close(received)
			var writeErr error
			if !c.whole {
				if writeErr = <-written; writeErr == nil {
					t.Error("the request was written")
				}
			}
			if _, err = io.ReadAll(response); c.whole != (err == nil) || c.whole != response.Complete() {
				t.Errorf("error %v, complete %t after the write ended with %v, want whole %t", err, response.Complete(), writeErr, c.whole)
			}
		})
	}
}
