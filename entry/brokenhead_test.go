package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/platformtest"
)

const (
	// cutMark stands where a raw response may break off, and requestMark for the ID of
	// its request.
	cutMark     = "|"
	requestMark = "ID"

	brokenHead    = "HTT|P/1.1 20|0 OK|\r\n|Request-I|d: I|D\r\n" + platformtest.RawSeal + "Content-Type:| text/event-st|ream\r\n"
	brokenInterim = "HTTP/1.1 10|3 Early Hints\r\n|Link: x\r\n|\r\n|"
)

// startBroken starts an upstream that answers each request of a caller with a raw
// response and then closes or resets the connection. It passes each such request to
// receive.
func (f *testFleet) startBroken(id, service, stage, address, response string, reset bool, receive func(r *http.Request)) {
	stop, err := f.network.ServeRaw(netip.MustParseAddrPort(address), reset, func(r *http.Request) (answer string) {
		if !strings.HasSuffix(r.URL.Path, "/1") { // a probe, or a call for cached parts
			return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
		}
		io.Copy(io.Discard, r.Body)
		receive(r)
		return strings.ReplaceAll(response, requestMark, r.Header.Get("Request-Id"))
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.cleanups = append(f.cleanups, stop)
	f.registerUpstream(id, service, stage, address, "ready")
}

// forEachCut runs a test for each cut of a marked raw response, by an orderly close and
// by a reset.
func forEachCut(t *testing.T, name, marked string, test func(f *testFleet, response string, reset bool)) {
	parts := strings.Split(marked, cutMark)
	for i := range len(parts) - 1 {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cut %d, reset %t", name, i, reset), func(t *testing.T) {
				runWithFleet(t, func(f *testFleet) { test(f, strings.Join(parts[:i+1], ""), reset) })
			})
		}
	}
}

// Guards against a broken response of an upstream that reaches the caller as whole or
// as a success, and against sending its request again if that may not run twice.
func TestBrokenResponseIsNeverServedAsWhole(t *testing.T) {
	const (
		sealedHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + platformtest.RawSeal
		event      = "id: 1\ndata: one\n|\n|"
		wholeEvent = "id: 1\ndata: one\n\n"
		plain      = "/entries/ /draws/ "
		streams    = "/rulings/ /models/ " // may run once, and twice, as in plain
	)
	long := strings.Repeat("\n", 3<<19) + cutMark // more than is read before the caller gets any
	for name, c := range map[string]struct {
		routes, response string
		resetOnly        bool // an orderly end can't be told from that of a whole response
	}{
		"length":                     {plain + streams, brokenHead + "Content-Len|gth: 5|0\r\n|\r\n|" + event + "id: 2\n", false},
		"length, interim":            {plain + streams, brokenInterim + sealedHead + "Content-Length: 50\r\n\r\n|" + event, false},
		"chunks":                     {plain + streams, brokenHead + "Transfer-Enc|oding: chun|ked\r\n|\r\n|1|1|\r\n|" + event + "|\r\n|0|\r\n|", false},
		"chunks, trailer":            {plain + streams, sealedHead + "Transfer-Encoding: chunked\r\nTrailer: X-Y\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n|X-|Y: |z\r\n|", false},
		"until close, head":          {plain + streams, brokenInterim + brokenHead + "Connection: cl|ose\r\n|\r\n|", false},
		"until close, event":         {streams, sealedHead + "\r\nid|: 1\ndata: one|\n|\nid: 2|\n|", false},
		"until close, body":          {plain + streams, brokenInterim + sealedHead + "\r\nid|: 1\ndata: one|\n|\n|id: 2|\n|", true},
		"refusal":                    {plain + streams, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\n" + platformtest.RawNotRun + "|Content-Length: 0\r\n|", false},
		"status 000":                 {plain + streams, strings.Replace(sealedHead, "200", "000", 1) + "Content-Length: 17\r\n\r\n" + wholeEvent + cutMark, false},
		"blank in a name":            {plain + streams, sealedHead + "Bad Name: x\r\nContent-Length: 17\r\n\r\n" + wholeEvent + cutMark, false},
		"blank before the colon":     {plain + streams, sealedHead + "Content-Length : 17\r\nConnection: close\r\n\r\n" + wholeEvent + "more\n\n" + cutMark, false},
		"blank in a name, refusal":   {plain + streams, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nBad Name: x\r\n" + platformtest.RawNotRun + "Content-Length: 0\r\n\r\n" + cutMark, false},
		"switch of protocols":        {plain + streams, "HTTP/1.1 101 Switching Protocols\r\n\r\n" + sealedHead + "Content-Length: 17\r\n\r\n" + wholeEvent + cutMark, false},
		"chunks in HTTP/1.0":         {plain + streams, strings.Replace(sealedHead, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n11\r\n" + wholeEvent + "\r\n0\r\n\r\n" + cutMark, false},
		"trailer, blank in a name":   {plain + streams, sealedHead + "Transfer-Encoding: chunked\r\n\r\n11\r\n" + wholeEvent + "\r\n0\r\nX Y: z\r\n\r\n" + cutMark, false},
		"long response, length":      {plain, sealedHead + "Content-Length: 1572865\r\n\r\n" + long, false},
		"long response, chunks":      {plain, sealedHead + "Transfer-Encoding: chunked\r\n\r\n180000\r\n" + long + "\r\n0\r\n|", false},
		"long response, until close": {plain, sealedHead + "\r\n" + long, true},
	} {
		forEachCut(t, name, c.response, func(f *testFleet, response string, reset bool) {
			if c.resetOnly && !reset {
				return
			}
			f.configure(1, key)
			var arrivals atomic.Int64
			for i, service := range []string{"desk", "desk", "models", "models"} {
				stage := map[string]string{"models": "decode"}[service]
				f.startBroken(fmt.Sprintf("u%d", i), service, stage, fmt.Sprintf("10.3.0.%d:80", i+1), response, reset, func(*http.Request) { arrivals.Add(1) })
			}
			f.startNodeAndWait("n1", n1)
			for _, path := range strings.Fields(c.routes) {
				arrivals.Store(0)
				r := f.request(n1+":80", http.MethodPost, path+"1", "body of "+path, promptHeaders(200))
				begun := r.status == http.StatusOK && r.err != nil && strings.HasSuffix(r.body, "\n\n")
				if r.status != http.StatusBadGateway && !begun {
					f.t.Errorf("%s: got %d with %d bytes %.40q (%v), want status 502 or a body that is cut off; response %.200q", path, r.status, len(r.body), r.body, r.err, response)
				}
				want := int64(1)
				if path == "/models/" || path == "/draws/" && !begun {
					want = 2
				}
				if n := arrivals.Load(); n != want {
					f.t.Errorf("%s: %d requests reached upstreams, want %d; response %.200q", path, n, want, response)
				}
			}
		})
	}
}

// Guards against a handle from the broken response of a prefill engine, and against
// a caller that gets such a response.
func TestBrokenPrefillIsNotUsed(t *testing.T) {
	const handle = `{"prefill_h|andle":"h1","tokens":190,"version":1}|`
	for name, response := range map[string]string{
		"length":      brokenHead + "Content-Len|gth: 5|0\r\n|\r\n|" + handle,
		"chunks":      brokenInterim + brokenHead + "Transfer-Encoding: chunked\r\n|\r\n|3|0|\r\n|" + handle + "|\r\n|0|\r\n|",
		"until close": brokenHead + "\r\n|" + handle,
	} {
		forEachCut(t, name, response, func(f *testFleet, response string, reset bool) {
			if strings.HasSuffix(response, "}") && !reset && name == "until close" {
				return // whole
			}
			f.configure(1, key)
			var prefills atomic.Int64
			f.startBroken("p1", "models", "prefill", "10.3.0.1:80", response, reset, func(*http.Request) { prefills.Add(1) })
			f.startUpstream("g1", "models", "decode", "10.3.0.2:80", &platformtest.Upstream{Events: 4})
			f.startNodeAndWait("n1", n1)
			f.expect(f.request(n1+":80", http.MethodPost, "/rulings/1", "prompt", promptHeaders(4000)), http.StatusOK, "id: 4\n")
			runs := f.runs("g1")
			if len(runs) != 1 || platformtest.KVSource(runs[0].Header) != "" || prefills.Load() != 1 {
				f.t.Errorf("%d prefills, runs %v, want one of each and no handle; response %q", prefills.Load(), runs, response)
			}
		})
	}
}

// Guards against a response that is cut off and looks whole to an HTTP/1.0 caller, for
// which the end of the connection ends a body without a length.
func TestCutResponseIsNotWholeForOldCaller(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + platformtest.RawSeal + "Transfer-Encoding: chunked\r\n\r\n"
	for path, response := range map[string]string{
		"/rulings/1": chunked + "11\r\nid: 1\ndata: one\n\n\r\n",
		"/draws/1":   chunked + "180000\r\n" + strings.Repeat("x", 3<<19) + "\r\n",
	} {
		t.Run(path, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, key)
				f.startBroken("u1", "desk", "", "10.3.0.1:80", response, false, func(*http.Request) {})
				f.startBroken("u2", "models", "decode", "10.3.0.2:80", response, false, func(*http.Request) {})
				f.startNodeAndWait("n1", n1)
				conn, err := f.network.Host(callerHost).Dial(f.t.Context(), netip.MustParseAddrPort(n1+":80"))
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				header := platformtest.CallerHeader("q1", key, 2500*time.Millisecond)
				platformtest.AddPrompt(header, 190, 10)
				fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: a.example\r\nContent-Length: 0\r\n", path)
				header.Write(conn)
				io.WriteString(conn, "\r\n")
				if text, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("got %d bytes %.60q, error %v, want a reset", len(text), text, err)
				}
			})
		})
	}
}
