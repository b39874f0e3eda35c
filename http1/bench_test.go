package http1_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/http1"
	"github.com/guavagauge/guavagauge/resources"
)

const benchConns = 500

// benchServer serves on a loopback address, with limits and an account if limited.
func benchServer(b *testing.B, limited bool, handler http.HandlerFunc) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	options := http1.Options{Handler: handler, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10, Logger: slog.New(slog.DiscardHandler)}
	if limited {
		options.IdleTimeout, options.MaxHeaderBytes, options.WriteStall = 0, 1<<20, 6*time.Second
		options.Limits = func() http1.Limits {
			return http1.Limits{HeaderBytes: 64 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		}
		options.Account = resources.New(resources.Options{
			MemoryBytes: 1 << 40, Descriptors: 10250, Logger: options.Logger, Metrics: metrics.NewSet(),
		})
	}
	http1.New(b.Context(), listener, options)
	return listener.Addr().String()
}

func dialBench(b *testing.B, address string) (conn net.Conn) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return conn
}

// liveBytes returns the memory of live objects and of stacks.
func liveBytes() (n uint64) {
	runtime.GC()
	runtime.GC() // the first one only moves what is in a sync.Pool
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// Measures the memory for which the constants of package resources stand: that of an
// idle connection, of a request that is handled, and of the lines of its head.
func BenchmarkMemory(b *testing.B) {
	fields := func(n int, format string) (text string) {
		var lines strings.Builder
		for i := range n {
			fmt.Fprintf(&lines, format, i)
		}
		return lines.String()
	}
	for _, c := range []struct {
		name, text string
		answered   bool
	}{
		{"silent", "", true},
		{"idle", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		{"handled", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false},
		{"handled/30lines", "GET / HTTP/1.1\r\nHost: a\r\n" + fields(30, "X-Field-%d: some value of a header line\r\n") + "\r\n", false},
		{"handled/4000lines", "GET / HTTP/1.1\r\nHost: a\r\n" + fields(4000, "a:%d\r\n") + "\r\n", false},
		{"handled/2000keys", "GET / HTTP/1.1\r\nHost: a\r\n" + fields(2000, "%x:\r\n") + "\r\n", false},
		{"handled/16KB", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16000) + "\r\n\r\n", false},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				var entered sync.WaitGroup
				if c.text != "" {
					entered.Add(benchConns)
				}
				release := make(chan struct{})
				address := benchServer(b, true, func(_ http.ResponseWriter, r *http.Request) {
					header := r.Header.Clone() // as package entry does
					entered.Done()
					if !c.answered {
						<-release
					}
					runtime.KeepAlive(header)
				})
				conns := make([]net.Conn, benchConns)
				before := liveBytes()
				for i := range conns {
					conns[i] = dialBench(b, address)
					io.WriteString(conns[i], c.text)
				}
				entered.Wait()
				for _, conn := range conns {
					if c.answered && c.text != "" {
						if _, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil); err != nil {
							b.Fatal(err)
						}
					}
				}
				time.Sleep(100 * time.Millisecond) // until the server waits for the next request
				b.ReportMetric(float64(liveBytes()-before)/benchConns, "bytes/conn")
				close(release)
				for _, conn := range conns {
					conn.Close()
				}
			}
		})
	}
}

// Measures a request on a reused connection with and without limits and an account.
func BenchmarkRequest(b *testing.B) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "answer")
	}
	head := "Host: a.example\r\nRequest-Id: 1234567890\r\nAuthorization: Token key-one\r\nAccept: */*\r\nUser-Agent: bench\r\nContent-Type: application/json\r\n"
	for name, text := range map[string]string{
		"get":  "GET /draws/1 HTTP/1.1\r\n" + head + "\r\n",
		"post": "POST /draws/1 HTTP/1.1\r\n" + head + "Content-Length: 900\r\n\r\n" + strings.Repeat("x", 900),
	} {
		for _, limited := range []bool{false, true, false, true} {
			b.Run(fmt.Sprintf("%s/limited=%t", name, limited), func(b *testing.B) {
				conn := dialBench(b, benchServer(b, limited, handler))
				reader := bufio.NewReader(conn)
				b.ReportAllocs()
				for b.Loop() {
					io.WriteString(conn, text)
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Fatal(err)
					}
					io.Copy(io.Discard, response.Body)
				}
			})
		}
	}
}
