package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/caller"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// countedEngine counts its runs.
	countedEngine struct {
		pacedEngine
		started, running atomic.Int64
	}

	// lossyPeers loses the replies of every second pull and delivers others
	// twice.
	lossyPeers struct {
		peer.RPCClient
		pulls int
	}

	// front is a caller server that listens on an in-memory network.
	front struct {
		t      *testing.T
		host   *nettest.Host
		engine *countedEngine
	}
)

func (e *countedEngine) Generate(ctx context.Context, g upstream.Generation, emit func(upstream.Token) error) (usage upstream.Usage, err error) {
	e.started.Add(1)
	e.running.Add(1)
	defer e.running.Add(-1)
	return e.pacedEngine.Generate(ctx, g, emit)
}

func (p *lossyPeers) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) (err error) {
	if method != "Steward.NextMany" {
		return p.RPCClient.Call(ctx, address, method, args, reply)
	}
	if p.pulls++; p.pulls%2 == 0 {
		lost := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
		if err := p.RPCClient.Call(ctx, address, method, args, lost); err != nil {
			return err
		}
		return context.DeadlineExceeded
	}
	if err := p.RPCClient.Call(ctx, address, method, args, reply); err != nil {
		return err
	}
	streams := reflect.ValueOf(reply).Elem().FieldByName("Streams")
	streams.Set(reflect.AppendSlice(streams, streams))
	return nil
}

func inFront(t *testing.T, change func(o *caller.Options), test func(f *front)) {
	synctest.Test(t, func(t *testing.T) {
		f := &front{t: t, host: nettest.New().Host("10.0.0.1"), engine: &countedEngine{}}
		config := benchConfig(netip.MustParseAddrPort("10.0.0.2:80"))
		server := startCaller(t, f.host, netip.MustParseAddrPort("10.0.0.1:7000"), config, f.engine, false, change)
		listener, err := f.host.Listen(t.Context(), netip.MustParseAddrPort("10.0.0.1:8080"))
		if err != nil {
			t.Fatal(err)
		}
		h := &http.Server{Handler: server.Handler()}
		go h.Serve(listener)
		test(f)
		h.Close()
		time.Sleep(time.Minute) // net/http's servers linger, and unclaimed streams run out
		synctest.Wait()
	})
}

func (f *front) send(request, body string, length int) net.Conn {
	conn, err := f.host.Dial(f.t.Context(), netip.MustParseAddrPort("10.0.0.1:8080"))
	if err != nil {
		f.t.Fatal(err)
	}
	fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: x\r\nApi-Key: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", request, benchKey, length, body)
	return conn
}

func (f *front) stream(tokens int) net.Conn {
	body := fmt.Sprintf(`{"model":"m","prompt":"p","max_tokens":%d,"stream":true}`, tokens)
	return f.send("POST /v1/completions", body, len(body))
}

func (f *front) checkStream(conn net.Conn, tokens int) {
	f.t.Helper()
	defer conn.Close()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	last := -1
	for event := range strings.SplitSeq(string(body), "\n\n") {
		if _, text, ok := strings.Cut(event, `"text":"tok`); ok {
			number, _, _ := strings.Cut(text, `"`)
			if last++; number != fmt.Sprint(last%100) {
				f.t.Fatalf("token %s at offset %d", number, last)
			}
		}
	}
	if last != tokens-1 || !strings.HasSuffix(string(body), "data: [DONE]\n\n") || err != nil {
		f.t.Errorf("%d tokens, error %v, want %d and an end", last+1, err, tokens)
	}
}

// Guards against tokens that are lost, doubled or out of order when replies get
// lost or arrive twice, and against another attempt where a repeat is enough.
func TestStreamSurvivesLostReplies(t *testing.T) {
	lossy := func(o *caller.Options) { o.Peers = &lossyPeers{RPCClient: o.Peers} }
	inFront(t, lossy, func(f *front) {
		f.engine.pace = 10 * time.Millisecond
		first, second := f.stream(700), f.stream(300)
		f.checkStream(first, 700)
		f.checkStream(second, 300)
		if n := f.engine.started.Load(); n != 2 {
			t.Errorf("%d attempts, want 2", n)
		}
	})
}

// Guards against a caller that doesn't read and slows down others, or keeps an
// upstream busy for ever.
func TestSlowCallerHarmsNobodyElse(t *testing.T) {
	inFront(t, nil, func(f *front) {
		slow := f.stream(16000)
		defer slow.Close()
		time.Sleep(time.Second)
		begin := time.Now()
		f.checkStream(f.stream(3000), 3000)
		if took := time.Since(begin); took > 0 {
			t.Errorf("a stream beside a slow one took %v of fake time, want none", took)
		}
		if n := f.engine.running.Load(); n != 1 {
			t.Errorf("%d runs beside the finished one, want the slow one", n)
		}
		time.Sleep(time.Minute)
		if n := f.engine.running.Load(); n != 0 {
			t.Errorf("%d runs a minute later, want none", n)
		}
	})
}

// Guards against a caller that holds a connection by sending its body slowly,
// and against a refusal that doesn't say that nothing ran.
func TestSlowBody(t *testing.T) {
	inFront(t, nil, func(f *front) {
		begin := time.Now()
		conn := f.send("POST /v1/completions", `{"model":`, 100)
		defer conn.Close()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begin); took != 30*time.Second || response.StatusCode != http.StatusBadRequest ||
			response.Header.Get(upstream.HeaderWorkStatus) != "NotRun" {
			t.Errorf("status %d, %v after %v", response.StatusCode, response.Header, took)
		}
	})
}
