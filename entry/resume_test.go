package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/guavagauge/guavagauge/platformtest"
)

// Guards against what another upstream answers in place of the rest of a stream that
// has begun and broke off. Callers would find it in the middle of their stream, or take
// the stream for complete.
func TestBrokenStreamContinuesOnlyWithItsRest(t *testing.T) {
	const begun = "id: 1\ndata: piece 1\n\n"
	events := func(w http.ResponseWriter, r *http.Request, text string) {
		platformtest.BeginResponse(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, text)
	}
	status := func(code int) func(w http.ResponseWriter, r *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			platformtest.BeginResponse(w, r)
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(code)
			fmt.Fprint(w, "id: 2\ndata: an error\n\n")
		}
	}
	for name, c := range map[string]struct {
		answer func(w http.ResponseWriter, r *http.Request)
		body   string
		cut    bool
	}{
		"the rest": {func(w http.ResponseWriter, r *http.Request) { events(w, r, "id: 2\ndata: piece 2\n\n") }, begun + "id: 2\ndata: piece 2\n\n", false},
		"the rest, with a parameter of its type": {func(w http.ResponseWriter, r *http.Request) {
			platformtest.BeginResponse(w, r)
			w.Header().Set("Content-Type", "Text/Event-Stream; charset=utf-8")
			fmt.Fprint(w, "id: 2\ndata: piece 2\n\n")
		}, begun + "id: 2\ndata: piece 2\n\n", false},
		"server error":      {status(http.StatusInternalServerError), begun, true},
		"refusal":           {status(http.StatusServiceUnavailable), begun, true},
		"too many requests": {status(http.StatusTooManyRequests), begun, true},
		"bad request":       {status(http.StatusBadRequest), begun, true},
		"redirect":          {status(http.StatusFound), begun, true},
		"from the start":    {func(w http.ResponseWriter, r *http.Request) { events(w, r, begun+"id: 2\ndata: piece 2\n\n") }, begun, true},
		"same event":        {func(w http.ResponseWriter, r *http.Request) { events(w, r, begun) }, begun, true},
		"order reversed": {func(w http.ResponseWriter, r *http.Request) {
			events(w, r, "id: 3\ndata: piece 3\n\nid: 2\ndata: piece 2\n\n")
		}, begun + "id: 3\ndata: piece 3\n\n", true},
		"event cut": {func(w http.ResponseWriter, r *http.Request) { events(w, r, "id: 2\ndata: pie") }, begun, true},
		"success without a seal": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 2\ndata: piece 2\n\n")
		}, begun, true},
		"success of another type": {func(w http.ResponseWriter, r *http.Request) {
			platformtest.BeginResponse(w, r)
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprint(w, "{\"error\":\"no\"}\n\n")
		}, begun, true},
		"answer to another request": {func(w http.ResponseWriter, r *http.Request) {
			platformtest.BeginResponse(w, r)
			w.Header().Set("Request-Id", "other")
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 2\ndata: piece 2\n\n")
		}, begun, true},
		"closed connection": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, begun, true},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, key)
				var requests atomic.Int64
				handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					switch {
					case !strings.HasPrefix(r.URL.Path, "/models/"):
					case requests.Add(1) == 1:
						events(w, r, begun)
						http.NewResponseController(w).Flush()
						panic(http.ErrAbortHandler)
					default:
						c.answer(w, r)
					}
				})
				for i := range 3 {
					address := fmt.Sprintf("10.3.0.%d:80", i+1)
					f.startServer(address, handler)
					f.registerUpstream(fmt.Sprintf("g%d", i), "models", "decode", address, "ready")
				}
				f.startNodeAndWait("n1", n1)
				r := f.request(n1+":80", http.MethodPost, "/models/1", "prompt", promptHeaders(200))
				if r.status != http.StatusOK || r.body != c.body || (r.err != nil) != c.cut {
					t.Errorf("got %v, want %q, cut %t", r, c.body, c.cut)
				}
				if n := requests.Load(); n < 2 {
					t.Errorf("%d requests reached upstreams, want a second one", n)
				}
			})
		})
	}
}

// Guards against a long line of an event that is read in parts and taken for several
// lines: its last part for the empty line that ends the event, or one of them for an ID.
// The stream then went on after an event that the caller didn't have whole.
func TestLongLineOfEventIsOneLine(t *testing.T) {
	const buffer = 4096 // of the reader of events
	for name, line := range map[string]string{
		"a byte less than the buffer":  "data: " + strings.Repeat("x", buffer-7),
		"as long as the buffer":        "data: " + strings.Repeat("x", buffer-6),
		"with its end, a byte more":    "data: " + strings.Repeat("x", buffer-5),
		"twice the buffer":             "data: " + strings.Repeat("x", 2*buffer-6),
		"carriage return in the next":  "data: " + strings.Repeat("x", buffer-6) + "\r",
		"ID in the second part":        "data: " + strings.Repeat("x", buffer-6) + "id: 7",
		"ID in the second part, alone": "data: " + strings.Repeat("x", buffer-6) + "id: 2",
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, key)
				whole := ""
				event := func(n int) string { return fmt.Sprintf("id: %d\n%s\ndata: %d\n\n", n, line, n) }
				for n := range 4 {
					whole += event(n + 1)
				}
				var requests atomic.Int64
				handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if !strings.HasPrefix(r.URL.Path, "/models/") {
						return
					}
					platformtest.BeginResponse(w, r)
					w.Header().Set("Content-Type", "text/event-stream")
					last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
					broken := requests.Add(1) == 1
					for n := last + 1; n <= 4; n++ {
						if broken && n == 2 {
							fmt.Fprintf(w, "id: %d\n%s\n", n, line) // up to the end of the long line
							http.NewResponseController(w).Flush()
							panic(http.ErrAbortHandler)
						}
						fmt.Fprint(w, event(n))
					}
				})
				for i := range 3 {
					address := fmt.Sprintf("10.3.0.%d:80", i+1)
					f.startServer(address, handler)
					f.registerUpstream(fmt.Sprintf("g%d", i), "models", "decode", address, "ready")
				}
				f.startNodeAndWait("n1", n1)
				r := f.request(n1+":80", http.MethodPost, "/models/1", "prompt", promptHeaders(200))
				if r.err != nil || r.status != http.StatusOK || r.body != whole {
					t.Errorf("got %d with %d bytes (%v), want the whole stream of %d bytes", r.status, len(r.body), r.err, len(whole))
				}
			})
		})
	}
}
