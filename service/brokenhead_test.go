package service_test

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/service"
	"github.com/guavagauge/guavagauge/upstream"
)

// Guards against a response that breaks off and is taken as whole, or as one to a call
// that hasn't run. Each response is cut after each of its bytes.
func TestBrokenResponseIsNeverWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Y: z\r\n"
	for name, c := range map[string]struct {
		method, response, body string
		wholeFrom              int // bytes before the end, from which on an orderly end looks whole
		resetWhole             bool
	}{
		"length":           {response: head + "Content-Length: 4\r\n\r\nbody", body: "body", resetWhole: true},
		"chunks, interim":  {response: "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Z: z\r\n\r\n", body: "body", resetWhole: true},
		"until close":      {response: head + "\r\nbody", body: "body", wholeFrom: 3},
		"response to HEAD": {method: http.MethodHead, response: head + "\r\n", resetWhole: true},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					for end := range len(c.response) + 1 {
						response, err := receiveCut(t, cmp.Or(c.method, http.MethodPost), c.response[:end], reset)
						whole := end >= len(c.response)-c.wholeFrom && (!reset || c.resetWhole)
						body := c.body[:len(c.body)-min(len(c.response)-end, c.wholeFrom)]
						if (err == nil) != whole || err == nil && string(response.Body) != body {
							t.Errorf("cut after %q: body %q, error %v, want whole %t", c.response[:end], response.Body, err, whole)
						}
						var failure *upstream.Failure
						if errors.As(err, &failure) && failure.Progress < upstream.Written {
							t.Errorf("cut after %q: progress %v, want at least Written", c.response[:end], failure.Progress)
						}
					}
				})
			})
		}
	}
}

// receiveCut makes a call to an upstream that sends a text and ends the connection.
func receiveCut(t *testing.T, method, text string, reset bool) (response upstream.Response, err error) {
	network := nettest.New()
	address := netip.MustParseAddrPort("10.0.0.2:9000")
	stop, err := network.ServeRaw(address, reset, func(*http.Request) (answer string) { return text })
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	client := service.NewClient(network.Host("10.0.0.1"), address, service.Options{})
	defer client.Close()
	return client.Call(t.Context(), upstream.Call{Method: method, Target: "/x"})
}
