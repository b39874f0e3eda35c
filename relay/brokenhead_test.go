package relay_test

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/relay"
)

// Guards against a response that breaks off and is taken as whole, or as one to a
// request that hasn't run. Each response is cut after each of its bytes.
func TestBrokenResponseIsNeverWhole(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n" + sealHeader
		interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	)
	for name, c := range map[string]struct {
		method, response, body string
		untilClose             bool // an orderly end within the body can't be told from its end
	}{
		"length":                   {response: head + "Content-Length: 4\r\n\r\nbody", body: "body"},
		"length, interim":          {response: interim + head + "Content-Length: 4\r\n\r\nbody", body: "body"},
		"length, line feeds":       {response: strings.ReplaceAll(head, "\r", "") + "Content-Length: 4\n\nbody", body: "body"},
		"length, folded line":      {response: head + "X-Y: a\r\n b\r\nContent-Length: 4\r\n\r\nbody", body: "body"},
		"length, after a stray":    {response: okResponse("q0", "old") + head + "Content-Length: 4\r\n\r\nbody", body: "body"},
		"length, HTTP/1.0":         {response: strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 4\r\n\r\nbody", body: "body"},
		"chunks":                   {response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n2;x=y\r\n s\r\n0\r\n\r\n", body: "body s"},
		"chunks, interim":          {response: interim + interim + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", body: "body"},
		"chunks, trailer":          {response: head + "Transfer-Encoding: chunked\r\nTrailer: X-Y\r\n\r\n4\r\nbody\r\n0\r\nX-Y: z\r\nX-Z: z\r\n\r\n", body: "body"},
		"chunks, after a stray":    {response: strings.Replace(head, "q1", "q0", 1) + "Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n" + okResponse("q1", "body"), body: "body"},
		"until close":              {response: head + "\r\nbody", body: "body", untilClose: true},
		"until close, interim":     {response: interim + head + "Connection: close\r\n\r\nbody", body: "body", untilClose: true},
		"until close, HTTP/1.0":    {response: strings.Replace(head, "1.1", "1.0", 1) + "\r\nbody", body: "body", untilClose: true},
		"refusal":                  {response: refusal("q1"), body: "refused"},
		"response to HEAD":         {method: http.MethodHead, response: head + "Content-Length: 9\r\n\r\n"},
		"response to HEAD, chunks": {method: http.MethodHead, response: head + "Transfer-Encoding: chunked\r\n\r\n"},
		"response to HEAD, bare":   {method: http.MethodHead, response: head + "\r\n"},
		"no content":               {response: strings.Replace(head, "200 OK", "204 No Content", 1) + "Content-Length: 9\r\n\r\n"},
		"not modified":             {response: strings.Replace(head, "200 OK", "304 Not Modified", 1) + "Content-Length: 9\r\n\r\n"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					headEnd := strings.Index(c.response, "\r\n\r\nbody")
					for end := range len(c.response) + 1 {
						body, err := receiveCut(t, c.method, c.response[:end], reset)
						whole := end == len(c.response) && !(reset && c.untilClose)
						ends := c.untilClose && !reset && end > headEnd+len("\r\n\r\n")
						want := c.body
						if ends {
							want = c.response[headEnd+len("\r\n\r\n") : end]
						}
						if (err == nil) != (whole || ends) || err == nil && body != want {
							t.Errorf("cut after %q: body %q, error %v, want whole %t", c.response[:end], body, err, whole || ends)
						}
						var failure *relay.Failure
						if errors.As(err, &failure) && !failure.MayHaveRun {
							t.Errorf("cut after %q: the failure claims that the request hasn't run: %v", c.response[:end], err)
						}
					}
				})
			})
		}
	}
}

// receiveCut sends a request to an upstream that reads it, sends a text and ends the
// connection, and returns the body of the response.
func receiveCut(t *testing.T, method, text string, reset bool) (body string, err error) {
	network := nettest.New()
	address := netip.MustParseAddrPort(upstreamAddress)
	stop, err := network.ServeRaw(address, reset, func(*http.Request) (answer string) { return text })
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	pool := relay.New(relay.Options{Network: network.Host("10.0.0.9")})
	defer pool.Forget("u")
	response, err := pool.Send(t.Context(), relay.Target{ID: "u", Address: address}, &relay.Request{
		Method: cmp.Or(method, http.MethodGet), URI: "/x", Host: "h", Header: http.Header{"Request-Id": {"q1"}}, ID: "q1",
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	content, err := io.ReadAll(response)
	if (err == nil) != response.Complete() {
		t.Errorf("cut after %q: complete %t, error %v", text, response.Complete(), err)
	}
	return string(content), err
}
