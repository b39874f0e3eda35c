package node_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"
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
				conns, err := c.network.Host("10.9.0.2").DialCrowd(c.ctx, netip.MustParseAddrPort(address), crowd, test.sent)
				if err != nil {
					t.Fatal(err)
				}
				defer conns.Close()
				synctest.Wait()
				if n := conns.Open(); n == crowd {
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
				if n := conns.Open(); n > 0 {
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
