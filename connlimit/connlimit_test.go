package connlimit_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/connlimit"
	"github.com/guavagauge/guavagauge/nettest"
)

// fixture is a server with a limit of three connections, in fake time.
type fixture struct {
	t       *testing.T
	client  *nettest.Host
	address netip.AddrPort
	release chan struct{} // closed to let requests for /slow end

	mu     sync.Mutex
	counts map[connlimit.Reason]int
	log    strings.Builder
}

func run(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		f := &fixture{
			t: t, client: network.Host("10.0.0.1"), address: netip.MustParseAddrPort("10.0.0.2:80"),
			release: make(chan struct{}), counts: map[connlimit.Reason]int{},
		}
		inner, err := network.Host("10.0.0.2").Listen(t.Context(), f.address)
		if err != nil {
			t.Fatal(err)
		}
		listener := connlimit.New(inner, connlimit.Options{
			Name: "test listener", Connections: 3, Logger: slog.New(slog.NewTextHandler(f, nil)), Timeouts: true,
			Count: func(reason connlimit.Reason) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.counts[reason]++
			},
		})
		server := connlimit.NewServer(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-f.release
			}
			io.WriteString(w, "ok")
		}), connlimit.Timeouts{Write: time.Minute})
		go server.Serve(listener)
		test(f)
		server.Close()
		synctest.Wait()
	})
}

// Write implements io.Writer for the log.
func (f *fixture) Write(p []byte) (n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Write(p)
}

// open opens a connection and sends a text, unless that is empty.
func (f *fixture) open(text string) (conn net.Conn) {
	conn, err := f.client.Dial(context.Background(), f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	if text != "" {
		if _, err := io.WriteString(conn, text); err != nil {
			f.t.Fatal(err)
		}
	}
	synctest.Wait()
	return conn
}

// closed reports whether the server has closed a connection, with or without an
// answer.
func closed(conn net.Conn) (closed bool) {
	conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := io.Copy(io.Discard, conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// status reads an answer and returns its status, or 0 if there is none.
func (f *fixture) status(conn net.Conn) (status int) {
	conn.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		f.t.Error(err)
	}
	return response.StatusCode
}

func (f *fixture) expect(reason connlimit.Reason, want int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[reason] != want {
		f.t.Errorf("%s counted %d times, want %d", reason, f.counts[reason], want)
	}
	if want > 0 && !strings.Contains(f.log.String(), "Reason="+string(reason)) {
		f.t.Errorf("no log line for %s", reason)
	}
}

const (
	get  = "GET /fast HTTP/1.1\r\nHost: a\r\n\r\n"
	slow = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
)

// Guards against clients that keep others out by holding all connections, and
// against the close of a connection whose request runs.
func TestReplacement(t *testing.T) {
	run(t, func(f *fixture) {
		running := f.open(slow)
		idle := f.open(get)
		if f.status(idle) != http.StatusOK {
			t.Error("no answer before the limit")
		}
		partial := f.open("GET /")
		silent := f.open("") // replaces partial, which has sent no complete request
		if !closed(partial) || closed(idle) || closed(silent) {
			t.Error("want the connection with part of a head closed, and no other")
		}
		if second := f.open(get); f.status(second) != http.StatusOK || !closed(silent) || closed(idle) { // replaces silent
			t.Error("want an answer in place of the silent connection")
		}
		if third := f.open(get); f.status(third) != http.StatusOK || !closed(idle) { // replaces idle
			t.Error("want an answer in place of the longest idle connection")
		}
		f.expect(connlimit.Replaced, 3)
		close(f.release)
		if f.status(running) != http.StatusOK {
			t.Error("the running request got no answer")
		}
	})
}

// Guards against running requests that exceed the limit, and against a log line for
// each closed connection.
func TestRefusal(t *testing.T) {
	run(t, func(f *fixture) {
		var running []net.Conn
		for range 3 {
			running = append(running, f.open(slow))
		}
		const further = 50
		for range further {
			if !closed(f.open("")) {
				t.Error("a connection beyond the limit is open")
			}
		}
		f.expect(connlimit.Refused, further)
		if lines := strings.Count(f.log.String(), "\n"); lines != 1 {
			t.Errorf("%d log lines, want 1", lines)
		}
		close(f.release)
		for _, conn := range running {
			if f.status(conn) != http.StatusOK {
				t.Error("a running request got no answer")
			}
		}
	})
}

// Guards against heads without end, in time or size, and idle connections that stay
// open.
func TestServerLimits(t *testing.T) {
	run(t, func(f *fixture) {
		partial := f.open("GET /")
		time.Sleep(10 * time.Second)
		if !closed(partial) {
			t.Error("a connection with part of a head is open after 10 s")
		}
		f.expect(connlimit.Timeout, 1)
		long := f.open("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9<<10))
		if status := f.status(long); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d for a head of 9 KB, want 431", status)
		}
		time.Sleep(time.Second)
		f.expect(connlimit.Malformed, 1)
		idle := f.open(get)
		if f.status(idle) != http.StatusOK {
			t.Error("no answer")
		}
		time.Sleep(3 * time.Minute)
		if !closed(idle) {
			t.Error("an idle connection is open after 3 minutes")
		}
		f.expect(connlimit.Timeout, 2)
	})
}
