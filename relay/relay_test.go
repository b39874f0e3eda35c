package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/platformtest"
	"github.com/guavagauge/guavagauge/relay"
)

const (
	upstreamAddress = "10.0.0.1:80"
	sealed          = platformtest.RawSeal
)

// scripted answers the requests of each connection with raw bytes.
func scripted(t *testing.T, network *nettest.Network, answers ...string) (requests chan string) {
	requests = make(chan string, 16)
	address := netip.MustParseAddrPort(upstreamAddress)
	listener, err := network.Host(address.Addr().String()).Listen(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	script := make(chan string, len(answers))
	for _, answer := range answers {
		script <- answer
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(request.Body)
					requests <- request.Header.Get("Request-Id") + ":" + string(body)
					select {
					case answer := <-script:
						if end, ok := strings.CutSuffix(answer, "<close>"); ok {
							io.WriteString(conn, end)
							return
						}
						io.WriteString(conn, answer)
					default:
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return requests
}

func answer(id, body string) (text string) {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, sealed, len(body), body)
}

func send(pool *relay.Pool, id, body string) (text string, err error) {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	target := relay.Target{ID: "u", Address: netip.MustParseAddrPort(upstreamAddress)}
	got, err := pool.Send(context.Background(), target, &relay.Request{
		Method: method, URI: "/x", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte(body), ID: id,
	})
	if err != nil {
		return "", err
	}
	defer got.Close()
	content, err := io.ReadAll(got)
	return string(content), err
}

// An answer belongs to a request by its ID and is whole, or there is none.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answers []string
		want    []string // "" where there is no answer
		count   string   // of connections
	}{
		"two on one connection": {[]string{answer("q1", "a"), answer("q2", "b")}, []string{"a", "b"}, "dial 1"},
		"late extra answer":     {[]string{answer("q1", "a") + answer("q1", "again"), answer("q2", "b")}, []string{"a", "b"}, "dial 2"},
		"extra answer first":    {[]string{answer("q0", "old") + answer("q1", "a"), answer("q2", "b")}, []string{"a", "b"}, "dial 1"},
		"another's answer":      {[]string{answer("q9", "x") + "<close>", answer("q2", "b")}, []string{"", "b"}, "dial 2"},
		"interim answer":        {[]string{"HTTP/1.1 103 Early Hints\r\n\r\n" + answer("q1", "a"), answer("q2", "b")}, []string{"a", "b"}, "dial 1"},
		"no length":             {[]string{"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n" + sealed + "Connection: close\r\n\r\nall<close>", answer("q2", "b")}, []string{"all", "b"}, "dial 2"},
		"truncated":             {[]string{"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n" + sealed + "Content-Length: 9\r\n\r\nhalf<close>", answer("q2", "b")}, []string{"", "b"}, "dial 2"},
		"chunk cut":             {[]string{"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n<close>", answer("q2", "b")}, []string{"", "b"}, "dial 2"},
		"no protocol":           {[]string{"garbage\r\n\r\n<close>", answer("q2", "b")}, []string{"", "b"}, "dial 2"},
		"closed":                {[]string{"<close>", answer("q2", "b")}, []string{"", "b"}, "dial 2"},
		"no ID":                 {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx<close>", answer("q2", "b")}, []string{"", "b"}, "dial 2"},
		"leaving":               {[]string{strings.Replace(answer("q1", "a"), sealed, sealed+"Connection: close\r\n", 1), answer("q2", "b")}, []string{"a", "b"}, "dial 2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := nettest.New()
				scripted(t, network, c.answers...)
				counts := map[string]int{}
				pool := relay.New(relay.Options{Network: network.Host("10.0.0.9"), Count: func(event string) { counts[event]++ }})
				for i, want := range c.want {
					got, err := send(pool, fmt.Sprintf("q%d", i+1), "")
					if (err == nil) != (want != "") || err == nil && got != want {
						t.Errorf("request %d: %q, %v, want %q", i+1, got, err, want)
					}
					var failure *relay.Failure
					if errors.As(err, &failure) && !failure.MayHaveRun {
						t.Errorf("request %d is said not to have run: %v", i+1, err)
					}
					synctest.Wait()
				}
				if got := fmt.Sprintf("dial %d", counts["dial"]); got != c.count {
					t.Errorf("%s, want %s", got, c.count)
				}
				pool.Forget("u")
			})
		})
	}
}

// A connection that can't be made is the only failure after which the request
// certainly hasn't run.
func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := relay.New(relay.Options{Network: nettest.New().Host("10.0.0.9")})
		_, err := send(pool, "q1", "")
		var failure *relay.Failure
		if !errors.As(err, &failure) || failure.MayHaveRun {
			t.Errorf("error %v, want one that says that the request hasn't run", err)
		}
	})
}

// An upstream that answers before it has read the whole request gets no other
// bytes on that connection.
func TestEarlyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		address := netip.MustParseAddrPort(upstreamAddress)
		listener, err := network.Host("10.0.0.1").Listen(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		const size = 1 << 20
		faults := make(chan string, 8)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func(conn net.Conn) {
					defer conn.Close()
					for reader := bufio.NewReader(conn); ; {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						io.WriteString(conn, answer(request.Header.Get("Request-Id"), "early"))
						<-time.After(time.Second)
						body, err := io.ReadAll(request.Body)
						if err == nil && len(body) != size || strings.Trim(string(body), "x") != "" {
							faults <- fmt.Sprintf("the rest of a request has %d bytes, error %v", len(body), err)
						}
					}
				}(conn)
			}
		}()
		pool := relay.New(relay.Options{Network: network.Host("10.0.0.9")})
		for i := 1; i <= 3; i++ {
			if got, err := send(pool, fmt.Sprintf("q%d", i), strings.Repeat("x", size)); err != nil || got != "early" {
				t.Errorf("request %d: %q, %v", i, got, err)
			}
		}
		<-time.After(5 * time.Second)
		pool.Forget("u")
		synctest.Wait()
		for len(faults) > 0 {
			t.Error(<-faults)
		}
	})
}

// Idle connections end before the upstream closes them.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		scripted(t, network, answer("q1", "a"), answer("q2", "b"))
		dials := 0
		pool := relay.New(relay.Options{Network: network.Host("10.0.0.9"), Count: func(event string) {
			if event == "dial" {
				dials++
			}
		}})
		for i := 1; i <= 2; i++ {
			if _, err := send(pool, fmt.Sprintf("q%d", i), ""); err != nil {
				t.Error(err)
			}
			<-time.After(5 * time.Second) // the upstream's own timeout
			pool.Sweep(time.Now())
		}
		if dials != 2 {
			t.Errorf("%d connections, want 2", dials)
		}
		pool.Forget("u")
	})
}
