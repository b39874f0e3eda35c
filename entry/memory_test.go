package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

const (
	smallMemoryMB = 32
	// heldLimit is the part of the memory that bodies may occupy.
	heldLimit = smallMemoryMB << 20 / 4
	mebibyte  = 1 << 20
)

var heldBytesPattern = regexp.MustCompile(`guavagauge_entry_held_body_bytes (\S+)`)

// startSmallNode starts one plain upstream and a node with little memory that accepts
// bodies of 4 MiB.
func (f *testFleet) startSmallNode(upstream http.Handler) {
	f.memoryMB = smallMemoryMB
	text := strings.Replace(fmt.Sprintf(configText, 1, `"`+key+`"`), `"max_body_bytes":1000`, `"max_body_bytes":4194304`, 1)
	f.store.Set(platform.ConfigKey, []byte(text))
	f.startServer("10.2.0.1:80", upstream)
	f.registerUpstream("d1", "desk", "", "10.2.0.1:80", "ready")
	f.startNodeAndWait("n1", n1)
}

// heldBytes returns the bytes of bodies that node n1 holds.
func (f *testFleet) heldBytes() (n int) {
	var text strings.Builder
	f.nodes["n1"].Metrics.WritePrometheus(&text)
	match := heldBytesPattern.FindStringSubmatch(text.String())
	if match == nil {
		f.t.Fatal("the metric of the held bytes is missing")
	}
	value, err := strconv.ParseFloat(match[1], 64)
	if err != nil {
		f.t.Fatal(err)
	}
	return int(value)
}

// Guards against a node that holds the bodies of all requests that arrive at once, and
// is killed when it runs out of memory, with the requests of all other callers. What
// it can't hold is refused before the rest of it is sent.
func TestUploadsAreBoundedInAll(t *testing.T) {
	const (
		uploads   = 8
		bodyBytes = 2 * mebibyte
	)
	runWithFleet(t, func(f *testFleet) {
		f.startSmallNode(&platformtest.Upstream{ID: "d1"})
		rest := make(chan struct{})
		var wait sync.WaitGroup
		results := make([]result, uploads)
		for i := range uploads {
			wait.Go(func() {
				body := io.MultiReader(bytes.NewReader(make([]byte, bodyBytes-1)), channelReader(rest))
				results[i] = f.send(context.Background(), n1+":80", http.MethodPost, "/entries/1", body, nil)
			})
		}
		f.advance(time.Second)
		if held := f.heldBytes(); held > heldLimit || held < heldLimit/4 {
			t.Errorf("%d bytes are held, want at most %d and at least a quarter of that", held, heldLimit)
		}
		f.expect(f.request(n1+":80", http.MethodPost, "/entries/1", "small", nil), http.StatusOK, "answer")
		close(rest)
		wait.Wait()
		served, refused := 0, 0
		for _, r := range results {
			switch {
			case r.err == nil && r.status == http.StatusOK:
				served++
			case r.err == nil && r.status == http.StatusServiceUnavailable && strings.Contains(r.body, "Memory") && r.header.Get("Retry-After") != "":
				refused++
			default:
				t.Errorf("an upload ended with %v", r)
			}
		}
		if served == 0 || refused == 0 {
			t.Errorf("%d uploads served and %d refused, want some of both", served, refused)
		}
		if held := f.heldBytes(); held != 0 {
			t.Errorf("%d bytes are held after all uploads have ended", held)
		}
	})
}

// Guards against responses without end that a node reads ahead for many callers at
// once.
func TestLongResponsesAreBoundedInAll(t *testing.T) {
	const (
		callers       = 24
		responseBytes = 3 * mebibyte
	)
	runWithFleet(t, func(f *testFleet) {
		rest := make(chan struct{})
		f.startSmallNode(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			platformtest.BeginResponse(w, r)
			w.Header().Set("Content-Length", strconv.Itoa(responseBytes))
			w.Write(make([]byte, mebibyte-1))
			http.NewResponseController(w).Flush()
			<-rest
			w.Write(make([]byte, responseBytes-mebibyte+1))
		}))
		var wait sync.WaitGroup
		for range callers {
			wait.Go(func() {
				r := f.request(n1+":80", http.MethodGet, "/draws/1", "", nil)
				if r.err != nil || r.status != http.StatusOK || len(r.body) != responseBytes {
					t.Errorf("status %d with %d bytes (%v), want all %d bytes", r.status, len(r.body), r.err, responseBytes)
				}
			})
		}
		f.advance(time.Second)
		if held := f.heldBytes(); held > heldLimit || held < heldLimit/4 {
			t.Errorf("%d bytes are held, want at most %d and at least a quarter of that", held, heldLimit)
		}
		close(rest)
		wait.Wait()
		if held := f.heldBytes(); held != 0 {
			t.Errorf("%d bytes are held after all responses have ended", held)
		}
	})
}

// channelReader returns one byte after the channel is closed.
func channelReader(ready <-chan struct{}) io.Reader { return &delayedByte{ready: ready} }

type delayedByte struct {
	ready <-chan struct{}
	sent  bool
}

// Read implements io.Reader.
func (d *delayedByte) Read(b []byte) (n int, err error) {
	if d.sent {
		return 0, io.EOF
	}
	<-d.ready
	d.sent, b[0] = true, 'x'
	return 1, nil
}

// Guards against a caller that leaves during a long answer, or reads it too slowly, for
// which the node avoids the upstream as if that had failed.
func TestCallerIsNoFaultOfTheUpstream(t *testing.T) {
	t.Run("leaves", func(t *testing.T) {
		testCallerOfLongAnswer(t, func(f *testFleet, _ net.Conn) { f.advance(100 * time.Millisecond) })
	})
	t.Run("reads almost nothing", func(t *testing.T) {
		testCallerOfLongAnswer(t, func(f *testFleet, conn net.Conn) {
			f.advance(3 * time.Second) // the timeout of the route
			io.ReadFull(conn, make([]byte, mebibyte))
			f.advance(10 * time.Millisecond)
		})
	})
	t.Run("reads slowly", func(t *testing.T) {
		testCallerOfLongAnswer(t, func(f *testFleet, conn net.Conn) {
			for begin := time.Now(); time.Since(begin) < 3100*time.Millisecond; f.advance(50 * time.Millisecond) { // the route has 3 s
				io.ReadFull(conn, make([]byte, 64<<10))
			}
		})
	})
}

// testCallerOfLongAnswer has a caller request a long answer, and checks that its upstream
// is used after the caller has closed the connection.
func testCallerOfLongAnswer(t *testing.T, beforeClose func(f *testFleet, conn net.Conn)) {
	runWithFleet(t, func(f *testFleet) {
		var mu sync.Mutex
		long, short := "", map[string]int{} // the upstream of the long answer, and the short answers of each
		upstream := func(id string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				platformtest.BeginResponse(w, r)
				mu.Lock()
				isLong := r.URL.Path == "/draws/long"
				if isLong {
					long = id
				} else {
					short[id]++
				}
				mu.Unlock()
				for range 256 { // 64 MiB
					if !isLong {
						return
					}
					w.Write(make([]byte, 256<<10))
				}
			})
		}
		f.startSmallNode(upstream("d1"))
		f.startServer("10.2.0.2:80", upstream("d2"))
		f.registerUpstream("d2", "desk", "", "10.2.0.2:80", "ready")
		f.advance(time.Second)
		conn := f.dialNode(n1)
		fmt.Fprintf(conn, "GET /draws/long HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token %s\r\nRequest-Id: long\r\n\r\n", key)
		beforeClose(f, conn)
		conn.Close()
		f.advance(10 * time.Millisecond)
		for range 40 {
			f.request(n1+":80", http.MethodGet, "/draws/1", "", nil)
		}
		if long == "" || short[long] == 0 {
			t.Errorf("upstream %q of the long answer isn't used any more: %v", long, short)
		}
	})
}

// Guards against an error that blames the upstream when this node has no memory for an
// event of its stream.
func TestEventWithoutMemory(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startSmallNode(&platformtest.Upstream{ID: "d1"})
		f.startServer("10.3.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			platformtest.BeginResponse(w, r)
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprintf(w, "id: 1\ndata: %s\n\n", make([]byte, 600<<10))
		}))
		f.registerUpstream("g1", "models", "decode", "10.3.0.1:80", "ready")
		f.advance(time.Second)
		f.expect(f.request(n1+":80", http.MethodPost, "/rulings/1", "prompt", promptHeaders(200)), http.StatusOK, "data")
		rest := make(chan struct{})
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() {
				body := io.MultiReader(bytes.NewReader(make([]byte, 2*mebibyte-1)), channelReader(rest))
				f.send(context.Background(), n1+":80", http.MethodPost, "/entries/1", body, nil)
			})
		}
		f.advance(time.Second)
		f.expect(f.request(n1+":80", http.MethodPost, "/rulings/1", "prompt", promptHeaders(200)), http.StatusBadGateway, "Memory")
		close(rest)
		wait.Wait()
		f.expect(f.request(n1+":80", http.MethodPost, "/rulings/1", "prompt", promptHeaders(200)), http.StatusOK, "data")
	})
}

// Guards against a caller that reads a stream too slowly, and for which the node avoids the
// upstream as if that had failed.
func TestSlowReaderOfStreamIsNoFaultOfTheUpstream(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		var mu sync.Mutex
		long, short := "", map[string]int{} // the upstream of the long stream, and the short streams of each
		engine := func(id string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				platformtest.BeginResponse(w, r)
				w.Header().Set("Content-Type", "text/event-stream")
				mu.Lock()
				isLong := r.URL.Path == "/rulings/long"
				if isLong {
					long = id
				} else {
					short[id]++
				}
				mu.Unlock()
				for i := 0; i == 0 || isLong && i < 1000; i++ {
					fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 8<<10))
					http.NewResponseController(w).Flush()
				}
			})
		}
		f.startSmallNode(&platformtest.Upstream{ID: "d1"})
		for i, id := range []string{"g1", "g2"} {
			address := fmt.Sprintf("10.3.0.%d:80", i+1)
			f.startServer(address, engine(id))
			f.registerUpstream(id, "models", "decode", address, "ready")
		}
		f.advance(time.Second)
		conn := f.dialNode(n1)
		fmt.Fprintf(conn, "POST /rulings/long HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n")
		header := promptHeaders(200)
		header.Set("Authorization", "Token "+key)
		header.Set("Request-Id", "long")
		header.Write(conn)
		io.WriteString(conn, "\r\n")
		f.advance(3 * time.Second) // the timeout of the route
		io.ReadFull(conn, make([]byte, mebibyte))
		f.advance(10 * time.Millisecond)
		conn.Close()
		for i := range 40 {
			f.request(n1+":80", http.MethodPost, fmt.Sprintf("/rulings/%d", i), "prompt", promptHeaders(200))
		}
		if long == "" || short[long] == 0 {
			t.Errorf("upstream %q of the long stream isn't used any more: %v", long, short)
		}
	})
}
