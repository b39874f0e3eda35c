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
	sealHeader      = platformtest.RawSeal
)

// serveScript runs an upstream that sends the given raw responses, one per
// request and in order over all connections. It closes the connection after a
// response with the suffix "<close>", and when no response is left. The returned
// channel receives the ID and body of each request.
func serveScript(t *testing.T, network *nettest.Network, responses ...string) (requests chan string) {
	requests = make(chan string, 16)
	address := netip.MustParseAddrPort(upstreamAddress)
	listener, err := network.Host(address.Addr().String()).Listen(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	script := make(chan string, len(responses))
	for _, response := range responses {
		script <- response
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
					case response := <-script:
						if end, ok := strings.CutSuffix(response, "<close>"); ok {
							io.WriteString(conn, end)
							return
						}
						io.WriteString(conn, response)
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

// okResponse returns the raw bytes of a complete response with status 200.
func okResponse(id, body string) (text string) {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, sealHeader, len(body), body)
}

// refusal returns the raw bytes of a refusal that says that the request hasn't run.
func refusal(id string) (text string) {
	if id != "" {
		id = "Request-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + id + platformtest.RawNotRun + "Keep-Alive: timeout=5\r\nContent-Length: 7\r\n\r\nrefused"
}

// send sends one request and reads the whole body of its response.
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

// Guards against a request that gets the response to another request or a
// truncated one, against a connection that is reused after such a response, and
// against failures that claim that a request which was sent hasn't run.
func TestResponseMatchesRequestOrFails(t *testing.T) {
	for name, c := range map[string]struct {
		responses []string
		want      []string // bodies of the responses; "" for a failure
		count     string   // number of connections opened
	}{
		"two requests on one connection":                {[]string{okResponse("q1", "a"), okResponse("q2", "b")}, []string{"a", "b"}, "dial 1"},
		"extra response after the response":             {[]string{okResponse("q1", "a") + okResponse("q1", "again"), okResponse("q2", "b")}, []string{"a", "b"}, "dial 2"},
		"extra response before the response":            {[]string{okResponse("q0", "old") + okResponse("q1", "a"), okResponse("q2", "b")}, []string{"a", "b"}, "dial 1"},
		"response to another request":                   {[]string{okResponse("q9", "x") + "<close>", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"interim response":                              {[]string{"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("q1", "a"), okResponse("q2", "b")}, []string{"a", "b"}, "dial 1"},
		"no content length":                             {[]string{"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n" + sealHeader + "Connection: close\r\n\r\nall<close>", okResponse("q2", "b")}, []string{"all", "b"}, "dial 2"},
		"truncated":                                     {[]string{"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n" + sealHeader + "Content-Length: 9\r\n\r\nhalf<close>", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"truncated chunk":                               {[]string{"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n<close>", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"not an HTTP response":                          {[]string{"garbage\r\n\r\n<close>", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"closed":                                        {[]string{"<close>", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"no request ID":                                 {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx<close>", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"refusal without an ID, first response":         {[]string{refusal(""), okResponse("q2", "b")}, []string{"refused", "b"}, "dial 1"},
		"earlier refusal sent once more, without an ID": {[]string{okResponse("q1", "a"), refusal("") + okResponse("q2", "b")}, []string{"a", "b"}, "dial 1"},
		"earlier refusal sent instead of a response":    {[]string{okResponse("q1", "a"), refusal("") + "<close>"}, []string{"a", ""}, "dial 1"},
		"refusal of an earlier request":                 {[]string{okResponse("q1", "a"), refusal("q1") + okResponse("q2", "b")}, []string{"a", "b"}, "dial 1"},
		"refusal after a stray response":                {[]string{okResponse("q0", "x") + refusal("") + "<close>", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"status 000":                                    {[]string{strings.Replace(okResponse("q1", "a"), "200", "000", 1) + okResponse("q1", "a"), okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"status 000 in an interim response":             {[]string{"HTTP/1.1 000 X\r\n\r\n" + okResponse("q1", "a"), okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"switch of protocols":                           {[]string{"HTTP/1.1 101 X\r\n\r\n" + okResponse("q1", "a"), okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"blank in a field name":                         {[]string{strings.Replace(okResponse("q1", "a"), "Keep-Alive", "Keep Alive", 1), okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"blank before a colon":                          {[]string{strings.Replace(okResponse("q1", "a"), "Content-Length", "Content-Length ", 1) + "more<close>", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"blank in a field name, interim":                {[]string{"HTTP/1.1 103 X\r\nA B: c\r\n\r\n" + okResponse("q1", "a"), okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"blank in a field name, after a stray":          {[]string{okResponse("q0", "old") + strings.Replace(okResponse("q1", "a"), "Keep-Alive", "Keep Alive", 1), okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"blank in a field name, refusal":                {[]string{strings.Replace(refusal("q1"), "Keep-Alive", "Keep Alive", 1), okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"blank in a field name of a trailer":            {[]string{"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA B: c\r\n\r\n", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"chunks in HTTP/1.0":                            {[]string{"HTTP/1.0 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n<close>", okResponse("q2", "b")}, []string{"", "b"}, "dial 2"},
		"leaving":                                       {[]string{strings.Replace(okResponse("q1", "a"), sealHeader, sealHeader+"Connection: close\r\n", 1), okResponse("q2", "b")}, []string{"a", "b"}, "dial 2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := nettest.New()
				serveScript(t, network, c.responses...)
				counts := map[string]int{}
				pool := relay.New(relay.Options{Network: network.Host("10.0.0.9"), Count: func(event string) { counts[event]++ }})
				for i, want := range c.want {
					got, err := send(pool, fmt.Sprintf("q%d", i+1), "")
					if (err == nil) != (want != "") || err == nil && got != want {
						t.Errorf("request %d: body %q, error %v, want %q", i+1, got, err, want)
					}
					var failure *relay.Failure
					if errors.As(err, &failure) && !failure.MayHaveRun {
						t.Errorf("request %d: the failure claims that the request hasn't run: %v", i+1, err)
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

// Guards against a failed dial that is reported as a request that may have run.
func TestDialFailureIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := relay.New(relay.Options{Network: nettest.New().Host("10.0.0.9")})
		_, err := send(pool, "q1", "")
		var failure *relay.Failure
		if !errors.As(err, &failure) || failure.MayHaveRun {
			t.Errorf("error %v, want a *relay.Failure whose request hasn't run", err)
		}
	})
}

// Guards against reusing the connection of an upstream that responded before it
// read the whole request. The next request would follow a truncated body there.
func TestEarlyResponseClosesConnection(t *testing.T) {
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
						io.WriteString(conn, okResponse(request.Header.Get("Request-Id"), "early"))
						<-time.After(time.Second)
						body, err := io.ReadAll(request.Body)
						if err == nil && len(body) != size || strings.Trim(string(body), "x") != "" {
							faults <- fmt.Sprintf("request body has %d bytes or foreign bytes in it, error %v", len(body), err)
						}
					}
				}(conn)
			}
		}()
		pool := relay.New(relay.Options{Network: network.Host("10.0.0.9")})
		for i := 1; i <= 3; i++ {
			if got, err := send(pool, fmt.Sprintf("q%d", i), strings.Repeat("x", size)); err != nil || got != "early" {
				t.Errorf("request %d: body %q, error %v", i, got, err)
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

// Guards against reusing an idle connection that its upstream is about to close:
// Sweep must close it first.
func TestSweepClosesExpiredConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		serveScript(t, network, okResponse("q1", "a"), okResponse("q2", "b"))
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
			<-time.After(5 * time.Second) // the Keep-Alive timeout of the upstream
			pool.Sweep(time.Now())
		}
		if dials != 2 {
			t.Errorf("%d connections opened, want 2", dials)
		}
		pool.Forget("u")
	})
}

// Guards against memory and time spent on bytes without end that a faulty
// upstream sends in place of a response.
func TestEndlessBytesAreCutOff(t *testing.T) {
	const (
		sentAtMost    = 32 << 20 // the upstream stops then
		acceptedLimit = 1 << 20
		timeout       = 5 * time.Second
	)
	for name, c := range map[string]struct{ start, repeated string }{
		"line":               {"", "x"},
		"status line":        {"HTTP/1.1 200 ", "x"},
		"header lines":       {"HTTP/1.1 200 OK\r\n", "X-Y: z\r\n"},
		"interim head":       {"HTTP/1.1 103 Early Hints\r\n", "X-Y: z\r\n"},
		"stray body":         {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"stray body, length": {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 9000000000\r\n\r\n", "x"},
		"interim responses":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk size":         {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":    {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"chunk overhead":     {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\na\r\n"},
		"trailer":            {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Y: z\r\n"},
		"body until close":   {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n", "x"},
		"unwanted body":      {"HTTP/1.1 503 No\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := nettest.New()
				address := netip.MustParseAddrPort(upstreamAddress)
				listener, err := network.Host(address.Addr().String()).Listen(t.Context(), address)
				if err != nil {
					t.Fatal(err)
				}
				accepted := make(chan int, 1)
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					sent, err := io.WriteString(conn, c.start)
					for block := []byte(strings.Repeat(c.repeated, 2048)); err == nil && sent < sentAtMost; {
						var n int
						n, err = conn.Write(block)
						sent += n
					}
					accepted <- sent
				}()
				pool := relay.New(relay.Options{Network: network.Host("10.0.0.9")})
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				response, err := pool.Send(ctx, relay.Target{ID: "u", Address: address}, &relay.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ID: "r1"})
				if err == nil {
					response.Discard()
					response.Close()
				}
				if n := <-accepted; n > acceptedLimit {
					t.Errorf("%d bytes were accepted, want at most %d", n, acceptedLimit)
				}
				listener.Close()
			})
		})
	}
}

// Guards against a request that is sent although its upstream left, or asked for a
// pause, while the connection was being opened.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		requests := serveScript(t, network, okResponse("q1", "a"), okResponse("q3", "c"))
		dials := 0
		pool := relay.New(relay.Options{Network: network.Host("10.0.0.9"), Count: func(event string) {
			if event == "dial" {
				dials++
			}
		}})
		target := relay.Target{ID: "u", Address: netip.MustParseAddrPort(upstreamAddress)}
		withdrawn := errors.ConstError("withdrawn")
		for _, check := range []error{nil, withdrawn} {
			response, err := pool.Send(context.Background(), target, &relay.Request{
				Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{"Request-Id": {"q1"}}, ID: "q1",
				Check: func() error { return check },
			})
			if check == nil {
				if err != nil {
					t.Fatal(err)
				}
				response.Discard()
				response.Close()
				continue
			}
			var failure *relay.Failure
			if !errors.Is(err, withdrawn) || !errors.As(err, &failure) || failure.MayHaveRun {
				t.Errorf("error %v, want %v of a request that hasn't run", err, withdrawn)
			}
		}
		if got, err := send(pool, "q3", ""); err != nil || got != "c" {
			t.Errorf("got %q, %v on the connection of the request that wasn't sent", got, err)
		}
		if len(requests) != 2 || dials != 1 {
			t.Errorf("%d requests on %d connections, want 2 on 1", len(requests), dials)
		}
		pool.Forget("u")
	})
}
