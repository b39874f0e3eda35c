package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/http1"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/resources"
)

const (
	limitedHeaderBytes = 1000
	// crowdLimit is the number of connections that the descriptors of limitedFixture
	// allow before others have to leave.
	crowdLimit = 14
)

// limitedFixture is a server with limits that may change, and an account. Its handler
// reads the body, and answers /long with as many bytes as its header Bytes says.
type limitedFixture struct {
	*fixture
	limits  atomic.Pointer[http1.Limits]
	account *resources.Account
	block   chan struct{} // the handler of /wait ends when it is closed
}

func runLimited(t *testing.T, test func(f *limitedFixture)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &limitedFixture{fixture: &fixture{t: t, network: nettest.New(), events: map[string]*atomic.Int64{}}, block: make(chan struct{})}
		for _, event := range []string{"accepted", "idle", "incomplete", "cut", "expired", "too large", "evicted", "rejected", "unread"} {
			f.events[event] = &atomic.Int64{}
		}
		f.limits.Store(&http1.Limits{HeaderBytes: limitedHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
		listener, err := f.network.Host(serverAddress).Listen(ctx, netip.MustParseAddrPort(serverAddress+":80"))
		if err != nil {
			t.Fatal(err)
		}
		f.account = resources.New(resources.Options{
			MemoryBytes: 64 << 20, Descriptors: 294, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		})
		f.server = http1.New(ctx, listener, http1.Options{
			Handler: http.HandlerFunc(f.serve), MaxHeaderBytes: 1 << 20, Logger: slog.New(slog.DiscardHandler),
			Limits: func() http1.Limits { return *f.limits.Load() }, WriteStall: 6 * time.Second,
			Account: f.account,
			Count:   func(event string) { f.events[event].Add(1) },
		})
		test(f)
	})
}

func (f *limitedFixture) serve(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, r.Body)
	switch {
	case http1.BodyAborted(r.Context()):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	case r.URL.Path == "/wait":
		<-f.block
	case r.URL.Path == "/long":
		for range 100 {
			w.Write(make([]byte, 64<<10))
		}
		return
	}
	fmt.Fprintf(w, "answer to %s", r.URL.Path)
}

// send sends a text on a new connection.
func (f *limitedFixture) send(text string) (conn net.Conn) {
	conn = f.dial()
	io.WriteString(conn, text)
	return conn
}

// answers returns the statuses of all answers on a connection until it ends.
func (f *limitedFixture) answers(conn net.Conn) (statuses string) {
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return strings.TrimSpace(statuses)
		}
		io.Copy(io.Discard, response.Body)
		statuses += fmt.Sprint(" ", response.StatusCode)
	}
}

// Guards against heads that exceed the limits of the configuration in force, against
// refusing those that don't, and against idle connections that end too early.
func TestLimitsApplyFromTheVersionWithWhichAHeadBegins(t *testing.T) {
	lines := func(n int) (text string) {
		return "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", n-len("Host: a\r\nX: \r\n\r\n")) + "\r\n\r\n"
	}
	get := fmt.Sprintf(request, 1)
	longer := http1.Limits{HeaderBytes: 2 * limitedHeaderBytes, HeaderTimeout: 2 * headerTimeout, IdleTimeout: 2 * idleTimeout}
	for name, c := range map[string]struct {
		send     map[time.Duration]string
		changeAt time.Duration // to longer; 0: never
		answers  string
		endsAt   time.Duration
	}{
		"at the limit":                       {send: map[time.Duration]string{0: lines(limitedHeaderBytes)}, answers: "200", endsAt: idleTimeout},
		"over the limit":                     {send: map[time.Duration]string{0: lines(limitedHeaderBytes + 1)}, answers: "431", endsAt: 0},
		"line without end":                   {send: map[time.Duration]string{0: strings.Repeat("x", limitedHeaderBytes+1)}, answers: "431", endsAt: 0},
		"empty lines without end":            {send: map[time.Duration]string{0: get, time.Second: strings.Repeat("\r\n", limitedHeaderBytes)}, answers: "200 431", endsAt: time.Second},
		"over the limit, behind a request":   {send: map[time.Duration]string{0: get + get[:20], time.Second: "X: " + strings.Repeat("x", limitedHeaderBytes) + "\r\n\r\n"}, answers: "200 431", endsAt: time.Second},
		"two requests in one write":          {send: map[time.Duration]string{0: get + get}, answers: "200 200", endsAt: idleTimeout},
		"incomplete head":                    {send: map[time.Duration]string{time.Second: "G"}, answers: "408", endsAt: time.Second + headerTimeout},
		"incomplete head, byte by byte":      {send: map[time.Duration]string{0: "G", time.Second: "E", 2 * time.Second: "T"}, answers: "408", endsAt: headerTimeout},
		"incomplete head, limit rises":       {send: map[time.Duration]string{0: "G"}, changeAt: time.Second, answers: "408", endsAt: headerTimeout},
		"incomplete head after limit rises":  {send: map[time.Duration]string{0: get, 2 * time.Second: "G"}, changeAt: time.Second, answers: "200 408", endsAt: 2*time.Second + 2*headerTimeout},
		"nothing sent":                       {endsAt: idleTimeout + 20*time.Millisecond},
		"idle, limit rises":                  {send: map[time.Duration]string{0: get}, changeAt: time.Second, answers: "200", endsAt: 2*idleTimeout + 20*time.Millisecond},
		"request at four fifths of idleness": {send: map[time.Duration]string{0: get, idleTimeout * 4 / 5: get}, answers: "200 200", endsAt: idleTimeout*9/5 + 20*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runLimited(t, func(f *limitedFixture) {
				conn, begin := f.dial(), time.Now()
				for at, text := range c.send {
					time.AfterFunc(at, func() { io.WriteString(conn, text) })
				}
				if c.changeAt > 0 {
					time.AfterFunc(c.changeAt, func() { f.limits.Store(&longer) })
				}
				if got := f.answers(conn); got != c.answers {
					t.Errorf("answers %q, want %q", got, c.answers)
				}
				if ended := time.Since(begin); ended.Round(100*time.Millisecond) != c.endsAt.Round(100*time.Millisecond) {
					t.Errorf("connection ended after %v, want %v", ended, c.endsAt)
				}
			})
		})
	}
}

// Guards against a crowd that keeps others out by holding all connections, and against
// closing one of them whose request is handled.
func TestCrowdMakesRoom(t *testing.T) {
	part := "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nab"
	for name, c := range map[string]struct{ text, answers string }{
		"silent":          {"", ""},
		"incomplete head": {"GET / HTTP/1.1\r\nHost: a\r\n", "408"},
		"incomplete body": {part, "408"},
		"idle":            {fmt.Sprintf(request, 1), "200"},
	} {
		t.Run(name, func(t *testing.T) {
			runLimited(t, func(f *limitedFixture) {
				waiting := f.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
				first := f.send(c.text)
				<-time.After(time.Millisecond)
				for range crowdLimit - 2 {
					defer f.send(c.text).Close()
				}
				<-time.After(2500 * time.Millisecond)
				late := f.send(fmt.Sprintf(request, 2))
				<-time.After(400 * time.Millisecond)
				if n := f.events["evicted"].Load(); n != 1 {
					t.Errorf("%d connections were closed for room, want one", n)
				}
				if got := f.answers(first); got != c.answers {
					t.Errorf("answers %q to the connection that was closed, want %q", got, c.answers)
				}
				close(f.block)
				for _, conn := range []net.Conn{waiting, late} {
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil || response.StatusCode != http.StatusOK {
						t.Errorf("answer %v, error %v", response, err)
					}
				}
			})
		})
	}
}

// Guards against a connection that a client which doesn't read holds for good, and
// against cutting off one that reads slowly.
func TestUnreadAnswerIsCutOff(t *testing.T) {
	for _, reads := range []bool{false, true} {
		t.Run(fmt.Sprintf("reads=%v", reads), func(t *testing.T) {
			runLimited(t, func(f *limitedFixture) {
				conn := f.send("GET /long HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
				received := 0
				for at := 0; at < 20 && reads; at++ {
					<-time.After(5 * time.Second)
					n, _ := io.ReadFull(conn, make([]byte, 512<<10))
					received += n
				}
				<-time.After(9 * time.Second)
				if got := f.events["unread"].Load() > 0; got == reads {
					t.Errorf("cut off: %v, with %d bytes received", got, received)
				}
				if reads && received < 100*64<<10 {
					t.Errorf("%d bytes received, want all", received)
				}
			})
		})
	}
}

// Guards against connections without room that each wait in the accept loop, so that
// those behind them learn only after the sum that there is no room here.
func TestConnectionsWithoutRoomDontDelayOthers(t *testing.T) {
	runLimited(t, func(f *limitedFixture) {
		for range crowdLimit + 3 { // as many as there can be
			defer f.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n").Close()
		}
		<-time.After(time.Millisecond)
		for range 20 {
			defer f.send("").Close()
		}
		begin := time.Now()
		if got := f.answers(f.send(fmt.Sprintf(request, 1))); got != "" {
			t.Errorf("answers %q, want none", got)
		}
		if took := time.Since(begin); took > 500*time.Millisecond {
			t.Errorf("refused after %v, want 500ms at most", took)
		}
		<-time.After(time.Second)
		time.AfterFunc(200*time.Millisecond, func() { close(f.block) })
		response, err := http.ReadResponse(bufio.NewReader(f.send(fmt.Sprintf(request, 1))), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("answer %v, error %v to a connection for which there is room soon", response, err)
		}
	})
}

// Guards against a request with a long head that is refused because it arrived just when
// its idle connection was closed for room.
func TestLongHeadOnConnectionThatLeaves(t *testing.T) {
	runLimited(t, func(f *limitedFixture) {
		f.limits.Store(&http1.Limits{HeaderBytes: 16 << 10, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
		conn := f.send(fmt.Sprintf(request, 1))
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
		<-time.After(time.Millisecond) // the connection is idle by then
		for range crowdLimit + 1 {
			defer f.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n").Close()
		}
		defer close(f.block)
		<-time.After(10 * time.Millisecond)
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 8<<10)+"\r\n\r\n")
		if response, err = http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("answer %v, error %v", response, err)
		}
	})
}

// Guards against counting memory for header lines that were never sent: of requests that
// are pipelined, the last one may be in the server's buffer in part.
func TestPipelinedRequestsHoldNoMemoryForHeads(t *testing.T) {
	runLimited(t, func(f *limitedFixture) {
		f.limits.Store(&http1.Limits{HeaderBytes: 16 << 10})
		get := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1000) + "\r\n\r\n"
		conn := f.send(get + get[:900]) // read at once
		defer conn.Close()
		<-time.After(time.Millisecond)
		io.WriteString(conn, get[900:len(get)-2])
		<-time.After(time.Millisecond)
		if held := f.account.Held(resources.Heads); held > 0 {
			t.Errorf("%d bytes are held for a head of 3 lines", held)
		}
	})
}

// Guards against cutting off a client that takes nothing for less than the time for which
// an answer is kept, after it has taken less than makes room for another write.
func TestPauseInReadingAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client, accepted := net.Pipe()
		var unread atomic.Bool
		http1.New(ctx, &pipeListener{accepted: accepted, ctx: ctx}, http1.Options{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, 4<<10)) }),
			Logger:  slog.New(slog.DiscardHandler), WriteStall: 6 * time.Second,
			Count: func(event string) { unread.Store(unread.Load() || event == "unread") },
		})
		io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		for range 20 {
			<-time.After(5900 * time.Millisecond)
			if n, err := io.ReadFull(client, make([]byte, 100)); err != nil {
				t.Fatalf("%d bytes received, error %v", n, err)
			}
		}
		if <-time.After(5900 * time.Millisecond); unread.Load() {
			t.Error("cut off within the time")
		}
		if <-time.After(2200 * time.Millisecond); !unread.Load() {
			t.Error("not cut off after a third more than the time")
		}
	})
}

// pipeListener accepts one connection, in which each part of a write can be read apart.
type pipeListener struct {
	accepted net.Conn
	ctx      context.Context
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (accepted net.Conn, err error) {
	if accepted, l.accepted = l.accepted, nil; accepted == nil {
		<-l.ctx.Done()
		return nil, net.ErrClosed
	}
	return accepted, nil
}

// Close implements net.Listener.
func (l *pipeListener) Close() (err error) { return nil }

// Addr implements net.Listener.
func (l *pipeListener) Addr() (address net.Addr) { return &net.TCPAddr{} }
