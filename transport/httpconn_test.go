package transport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/operator"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/service"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/transport"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// readConn is a connection from which a text is read.
	readConn struct {
		net.Conn
		reader io.Reader
	}

	// endedConn is a connection at whose end a read is while a write waits.
	endedConn struct {
		net.Conn
		begun chan struct{} // the write has
		end   chan error    // of the write
	}
)

// malformed holds responses that are no HTTP/1.1 responses, by what is wrong with them.
var malformed = map[string]string{
	"status 000":                 "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 099":                 "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 600":                 "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status with a sign":         "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status of four digits":      "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/2.0":                   "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"control byte in the reason": "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\n{}",
	"bare carriage return":       "HTTP/1.1 200 OK\rContent-Length: 2\r\n\r\n{}",

	"blank in a name":          "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\n{}",
	"blank before the colon":   "HTTP/1.1 200 OK\r\nContent-Length : 9\r\nConnection: close\r\n\r\n{}",
	"tab before the colon":     "HTTP/1.1 200 OK\r\nX-Y\t: z\r\nContent-Length: 2\r\n\r\n{}",
	"control byte in a name":   "HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 2\r\n\r\n{}",
	"no name":                  "HTTP/1.1 200 OK\r\n: z\r\nContent-Length: 2\r\n\r\n{}",
	"no colon":                 "HTTP/1.1 200 OK\r\nX-Y\r\nContent-Length: 2\r\n\r\n{}",
	"folded first line":        "HTTP/1.1 200 OK\r\n X-Y: z\r\nContent-Length: 2\r\n\r\n{}",
	"control byte in a value":  "HTTP/1.1 200 OK\r\nX-Y: \x00\r\nContent-Length: 2\r\n\r\n{}",
	"interim, blank in a name": "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",

	"chunks in HTTP/1.0":  "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"switch of protocols": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
}

// Read implements net.Conn.
func (c *readConn) Read(b []byte) (n int, err error) { return c.reader.Read(b) }

// Guards against a malformed response that is taken for one, and against a sound one
// that isn't, in whatever parts the bytes arrive.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	responses := map[string]string{
		"plain":                "HTTP/1.1 204 No Content\r\nX-Y: \tz\x80 \r\nX-E:\r\n!#$%&'*+-.^_`|~9: z\r\n\r\n",
		"interim":              "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 599 \r\n\r\n",
		"no reason":            "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}",
		"line feeds, folded":   "HTTP/1.0 200 OK\nX-Y: a\n\tb\n \nContent-Length: 2\n\n{}",
		"bytes like a head":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nHTTP/1.1 000",
		"chunks":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.0, other name": "HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\nContent-Length: 2\r\n\r\n{}",
	}
	for name, text := range malformed {
		responses[name] = text
	}
	for name, text := range responses {
		for parts, reader := range map[string]io.Reader{"whole": strings.NewReader(text), "in bytes": iotest.OneByteReader(strings.NewReader(text))} {
			conn := transport.NewHTTPConn(&readConn{reader: reader})
			buffered := bufio.NewReader(conn)
			response, err := http.ReadResponse(buffered, nil)
			for err == nil && response.StatusCode < http.StatusOK {
				response, err = http.ReadResponse(buffered, nil)
			}
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			_, bad := malformed[name]
			if bad != (err != nil) || bad != errors.Is(conn.Malformed(), transport.ErrMalformedResponse) {
				t.Errorf("%s, %s: error %v, malformed %v, want malformed %t", name, parts, err, conn.Malformed(), bad)
			}
		}
	}
}

// Guards against a response that is read although its status or a field name is not valid.
func FuzzHead(f *testing.F) {
	for _, text := range malformed {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		response, err := http.ReadResponse(bufio.NewReader(transport.NewHTTPConn(&readConn{reader: strings.NewReader(text)})), nil)
		if err != nil {
			return
		}
		if status := response.StatusCode; status < 100 || status > 599 || status == http.StatusSwitchingProtocols || response.ProtoMajor != 1 {
			t.Errorf("%q: status %d, version %s", text, status, response.Proto)
		}
		for name := range response.Header {
			if strings.ContainsFunc(name, func(r rune) (bad bool) { return r <= ' ' || r >= 0x7f || strings.ContainsRune(`()<>@,;:\"/[]?={}`, r) }) {
				t.Errorf("%q: field name %q", text, name)
			}
		}
	})
}

// Guards against clients that take a malformed response for an answer, or for a refusal
// of a call that hasn't run.
func TestMalformedResponseReachesNoClient(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.2:80")
	target := discovery.Upstream{ID: "u", Address: address}
	answered := func(err error) (ok bool) {
		var failure *upstream.Failure
		return errors.As(err, &failure) && failure.Reason == upstream.ReasonBadResponse && failure.Progress == upstream.Answered && !failure.Crashed
	}
	unknown := func(err error) (ok bool) { return errors.Is(err, store.ErrUnknownOutcome) }
	failed := func(err error) (ok bool) { return errors.Is(err, transport.ErrMalformedResponse) }
	for name, client := range map[string]struct {
		call func(ctx context.Context, host *nettest.Host) (err error)
		want func(err error) (ok bool)
	}{
		"service": {func(ctx context.Context, host *nettest.Host) (err error) {
			_, err = service.NewClient(host, address, service.Options{}).Call(ctx, upstream.Call{Method: "POST", Target: "/x"})
			return err
		}, answered},
		"engine": {func(ctx context.Context, host *nettest.Host) (err error) {
			_, err = engine.NewClient(host, address, engine.Options{}).Generate(ctx, upstream.Generation{}, nil)
			return err
		}, answered},
		"engine, order": {func(ctx context.Context, host *nettest.Host) (err error) {
			return engine.NewClient(host, address, engine.Options{}).Order(ctx, engine.Order{})
		}, answered},
		"provider": {func(ctx context.Context, host *nettest.Host) (err error) {
			return provider.NewClient(host, address, provider.Options{}).Stop(ctx, provider.StopOrder{})
		}, func(err error) (ok bool) { return errors.Is(err, provider.ErrUnknownOutcome) }},
		"operator": {func(ctx context.Context, host *nettest.Host) (err error) {
			_, err = operator.NewClient(host, address, "").Config(ctx, false)
			return err
		}, failed},
		"store": {func(ctx context.Context, host *nettest.Host) (err error) {
			return store.NewHTTP(host, address, "n").Delete(ctx, "k", 1)
		}, unknown},
		"platform's store": {func(ctx context.Context, host *nettest.Host) (err error) {
			return platform.NewStore(host, address, func(string) {}).Revoke(ctx, 1)
		}, unknown},
		"platform, usage": {func(ctx context.Context, host *nettest.Host) (err error) {
			return platform.NewCloud(host, address).ReportUsage(ctx, platform.FencedHolder{}, platform.Usage{})
		}, unknown},
		"platform, order of a stage": {func(ctx context.Context, host *nettest.Host) (err error) {
			return platform.NewCloud(host, address).SetStage(ctx, platform.FencedHolder{}, target, discovery.Prefill)
		}, unknown},
		"platform, cached parts": {func(ctx context.Context, host *nettest.Host) (err error) {
			_, err = platform.NewEngineClient(host).CachedParts(ctx, target)
			return err
		}, failed},
	} {
		for fault, text := range malformed {
			t.Run(name+"/"+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					network := nettest.New()
					stop, err := network.ServeRaw(address, false, func(*http.Request) (answer string) { return text })
					if err != nil {
						t.Fatal(err)
					}
					defer stop()
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					if err = client.call(ctx, network.Host("10.0.0.1")); !client.want(err) {
						t.Errorf("error %v", err)
					}
				})
			})
		}
	}
}

// Read implements net.Conn.
func (c *endedConn) Read([]byte) (n int, err error) { return 0, io.EOF }

// Write implements net.Conn.
func (c *endedConn) Write([]byte) (n int, err error) {
	close(c.begun)
	return 0, <-c.end
}

// SetWriteDeadline implements net.Conn. It ends a write that has met no error.
func (c *endedConn) SetWriteDeadline(time.Time) (err error) {
	select {
	case c.end <- os.ErrDeadlineExceeded:
	default:
	}
	return nil
}

// Guards against the end of a connection that a reset caused and that looks orderly to
// a read, since the reset was reported to a write.
func TestEndByResetIsNoEnd(t *testing.T) {
	for name, c := range map[string]struct {
		write    error // nil: the write waits until its deadline
		returned bool  // before the read
		want     error
	}{
		"write has failed by a reset":      {syscall.ECONNRESET, true, syscall.ECONNRESET},
		"write is failing by a reset":      {syscall.ECONNRESET, false, syscall.ECONNRESET},
		"write has failed by a timeout":    {syscall.ETIMEDOUT, true, syscall.ETIMEDOUT},
		"write has failed after the end":   {syscall.EPIPE, true, io.EOF},
		"write is failing after the end":   {syscall.EPIPE, false, io.EOF},
		"write is under way without error": {nil, false, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			raw := &endedConn{begun: make(chan struct{}), end: make(chan error, 1)}
			conn := transport.NewHTTPConn(raw)
			if c.write != nil {
				raw.end <- c.write
			}
			written := make(chan struct{})
			go func() {
				defer close(written)
				conn.Write([]byte("request"))
			}()
			<-raw.begun
			if c.returned {
				<-written
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
				t.Errorf("read returned %v, want %v", err, c.want)
			}
			<-written
		})
	}
}
