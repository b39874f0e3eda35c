package caller_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// loadVariable is the environment variable that makes the test binary run as the
// load process. The HTTP clients and the stand-in service run there, so that the
// CPU time of the benchmark's process is that of the request path alone.
const loadVariable = "GUAVAGAUGE_TEST_LOAD"

type (
	// loadSpec tells the load process which requests to make.
	loadSpec struct {
		Address    string
		Concurrent int
		Requests   int
		Tokens     int // of each streamed completion; 0 means calls to the service
	}

	loadResult struct {
		Errors int
		First  string // the error recorded last, despite the name
	}

	loadProcess struct {
		service string // address of the stand-in service
		in      *json.Encoder
		out     *json.Decoder
	}
)

func TestMain(m *testing.M) {
	if os.Getenv(loadVariable) != "" {
		serveLoad()
		return
	}
	os.Exit(m.Run())
}

func startLoad(b *testing.B) *loadProcess {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), loadVariable+"=1")
	command.Stderr = os.Stderr
	in, _ := command.StdinPipe()
	out, _ := command.StdoutPipe()
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { in.Close(); command.Wait() })
	l := &loadProcess{in: json.NewEncoder(in), out: json.NewDecoder(out)}
	if err := l.out.Decode(&l.service); err != nil {
		b.Fatal(err)
	}
	return l
}

// run makes the load process send the requests and returns the CPU time that
// this process spent meanwhile.
func (l *loadProcess) run(b *testing.B, spec loadSpec) (cpu time.Duration) {
	var result loadResult
	before := cpuTime()
	if err := l.in.Encode(spec); err != nil {
		b.Fatal(err)
	}
	if err := l.out.Decode(&result); err != nil {
		b.Fatal(err)
	}
	cpu = cpuTime() - before
	if result.Errors > 0 {
		b.Fatalf("%d of %d requests failed, the last: %s", result.Errors, spec.Requests, result.First)
	}
	return cpu
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func serveLoad() {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "drawn")
	}))
	out, in := json.NewEncoder(os.Stdout), json.NewDecoder(os.Stdin)
	out.Encode(service.Listener.Addr().String())
	for {
		var spec loadSpec
		if in.Decode(&spec) != nil {
			return
		}
		out.Encode(spec.run())
	}
}

func (s loadSpec) run() (result loadResult) {
	var left atomic.Int64
	left.Store(int64(s.Requests))
	var mu sync.Mutex
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Concurrent}}
	for range s.Concurrent {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				err := s.call(client)
				if err != nil {
					mu.Lock()
					result.Errors++
					result.First = err.Error()
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	client.CloseIdleConnections()
	return result
}

func (s loadSpec) call(client *http.Client) (err error) {
	if s.Tokens > 0 {
		return s.stream()
	}
	request, _ := http.NewRequest("GET", "http://"+s.Address+"/desk/draw", nil)
	request.Header.Set("X-Api-Key", benchKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != "drawn" {
		err = fmt.Errorf("status %d, body %q", response.StatusCode, body)
	}
	return err
}

// stream requests a streamed completion and checks the number of its events and
// its end marker.
func (s loadSpec) stream() (err error) {
	conn, err := net.Dial("tcp", s.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	body := fmt.Sprintf(`{"model":"m","prompt":"the quick brown fox","max_tokens":%d,"stream":true}`, s.Tokens)
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Api-Key: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", benchKey, len(body), body)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 16<<10), nil)
	if err != nil {
		return err
	}
	events, last := 0, ""
	buffer := make([]byte, 16<<10)
	for err == nil {
		var n int
		n, err = response.Body.Read(buffer)
		events += bytes.Count(buffer[:n], []byte("data: "))
		last = (last + string(buffer[:n]))[max(0, len(last)+n-20):]
	}
	if events != s.Tokens+2 || !strings.HasSuffix(last, "data: [DONE]\n\n") {
		return fmt.Errorf("status %d, %d events, end %q, %v", response.StatusCode, events, last, err)
	}
	return nil
}
