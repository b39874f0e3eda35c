package node_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// Guards against clients of a node's listeners which hold any number of connections
// for as long as they like, or keep others out.
func TestLimitsOfListeners(t *testing.T) {
	const crowd = 5000
	for _, test := range []struct {
		name, port, sent, path string
	}{
		{"caller listener", "8080", "GET /", "/v1/models"},
		{"operator listener", "8081", "GET /", "/readyz"},
		{"peer listener", "7000", "C\x20", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				time.Sleep(5 * time.Second)
				address := "10.0.0.1:" + test.port
				var conns []net.Conn
				for range crowd {
					conn, err := c.network.Host("10.9.0.2").Dial(c.ctx, netip.MustParseAddrPort(address))
					if err != nil {
						t.Fatal(err)
					}
					defer conn.Close()
					io.WriteString(conn, test.sent) // fails if the node has closed it
					conns = append(conns, conn)
				}
				synctest.Wait()
				open := func() (n int) {
					for _, conn := range conns {
						conn.SetReadDeadline(time.Now().Add(time.Microsecond))
						if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
							n++
						}
					}
					return n
				}
				if n := open(); n == crowd {
					t.Errorf("%d connections are open, want fewer", n)
				}
				if test.path != "" {
					r, err := http.NewRequestWithContext(c.ctx, http.MethodGet, "http://"+address+test.path, nil)
					if err != nil {
						t.Fatal(err)
					}
					r.Header.Set("Authorization", "Bearer "+alphaKey)
					if a := c.send(r); a.status != http.StatusOK {
						t.Errorf("%s beside the crowd: %d %s (%v)", test.path, a.status, a.body, a.err)
					}
				}
				time.Sleep(time.Minute)
				if n := open(); n > 0 {
					t.Errorf("%d connections with a part of a request are open after a minute", n)
				}
				var text strings.Builder
				c.nodes[0].Metrics.WritePrometheus(&text)
				if name := `guavagauge_listener_closed_total{listener="` + test.name + `",reason="Replaced"}`; !strings.Contains(text.String(), name) {
					t.Errorf("no %s", name)
				}
			})
		})
	}
}
