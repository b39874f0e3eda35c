package node_test

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"
)

// Guards against callers that keep connections open by sending headers slowly or
// without end. By default a node waits 10 s for the headers and accepts 64 KiB.
func TestSlowAndEndlessHeadersAreCutOff(t *testing.T) {
	inCluster(t, func(c *cluster) {
		cases := []struct {
			name   string
			send   func(w io.Writer) (err error)
			within time.Duration
		}{
			{"no further headers", func(io.Writer) error { return nil }, 10 * time.Second},
			{"one header per second", func(w io.Writer) error {
				time.Sleep(time.Second)
				_, err := fmt.Fprint(w, "X-A: b\r\n")
				return err
			}, 12 * time.Second},
			{"endless headers", func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "X-A: %01000d\r\n", 0)
				return err
			}, time.Second},
		}
		for _, test := range cases {
			conn, err := c.network.Host("10.9.0.1").Dial(c.ctx, netip.MustParseAddrPort("10.0.0.1:8080"))
			if err != nil {
				t.Fatal(err)
			}
			begin := time.Now()
			fmt.Fprint(conn, "GET /desk/fees HTTP/1.1\r\nHost: x\r\n")
			for range 200 {
				if err := test.send(conn); err != nil {
					break
				}
			}
			io.Copy(io.Discard, conn)
			if took := time.Since(begin); took > test.within {
				t.Errorf("%s: the connection was closed after %v, want at most %v", test.name, took, test.within)
			}
			conn.Close()
		}
	})
}
