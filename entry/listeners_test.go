package entry_test

import (
	"context"
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

// Guards against clients of the listeners beside that for callers which hold any
// number of connections for as long as they like, or keep others out.
func TestLimitsOfOtherListeners(t *testing.T) {
	const crowd = 1000
	for _, test := range []struct {
		name, address, sent, path string
	}{
		{"readiness listener", "10.1.0.1:81", "GET /", "/v1/readiness"},
		{"peer listener", "10.1.0.1:82", "C\x20", ""},
		{"profile listener", "10.1.0.1:83", "GET /", "/debug/pprof/goroutine"},
		{"metrics listener", "10.1.0.1:84", "GET /", "/metrics"},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startDesk("d1", "10.2.0.1:80")
				f.configure(1, key)
				f.startNodeAndWait("n1", "10.1.0.1")
				var conns []net.Conn
				for range crowd {
					conn, err := f.network.Host(callerHost).Dial(context.Background(), netip.MustParseAddrPort(test.address))
					if err != nil {
						t.Fatal(err)
					}
					defer conn.Close()
					io.WriteString(conn, test.sent) // fails if the node has closed it
					synctest.Wait()
					conns = append(conns, conn)
				}
				open := func() (n int) {
					for _, conn := range conns {
						conn.SetReadDeadline(time.Now().Add(time.Millisecond))
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
					f.expect(f.request(test.address, http.MethodGet, test.path, "", nil), http.StatusOK, "")
				}
				f.advance(time.Minute)
				if n := open(); n > 0 {
					t.Errorf("%d connections with a part of a request are open after a minute", n)
				}
				var text strings.Builder
				f.nodes["n1"].Metrics.WritePrometheus(&text)
				for _, reason := range []string{"Replaced", "Timeout"} {
					if name := `guavagauge_entry_listener_closed_total{listener="` + test.name + `",reason="` + reason + `"}`; !strings.Contains(text.String(), name) {
						t.Errorf("no %s", name)
					}
				}
			})
		})
	}
}
