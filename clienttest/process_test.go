package clienttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/command"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
	"github.com/guavagauge/guavagauge/settings"
)

const (
	key       = "key-one"
	largePath = "/draws/large" // answered with largeBytes
	somePath  = "/draws/some"  // answered with someBytes
	// largeBytes exceeds what a node reads ahead of an answer and what the buffers of
	// both sockets hold.
	largeBytes = 2 << 20
	// someBytes exceeds the receive buffer of a client that doesn't read, so that a
	// few such answers fill the node's send buffer.
	someBytes = 64 << 10
	// upstreamWriteBuffer is the send buffer of the upstream's sockets in bytes. Those
	// of loopback connections are 2.6 MB otherwise, and would hold whole answers.
	upstreamWriteBuffer = 64 << 10
	requestDeadline     = 2500 * time.Millisecond // of requests, as they tell the node

	// hangTimeout ends a test whose state is never reached. No check depends on it.
	hangTimeout  = time.Minute
	pollInterval = 20 * time.Millisecond
	// maxAttempts and attemptPause bound how often an ordinary request is sent again
	// after a refusal. Together they exceed header_timeout_ms and idle_timeout_ms.
	maxAttempts  = 80
	attemptPause = 250 * time.Millisecond

	configText = `{"version":1,"routes":[
		{"name":"draws","hostname":"a.example","prefix":"/draws/","kind":"idempotent","timeout_ms":3000,
		 "target_latency_ms":400,"priority":2,"service":"desk","max_attempts":2}],
		"services":[{"name":"desk","max_connections":3000}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"alpha","api_keys":["` + key + `"]}]}`
	// upstreamSlots exceeds the number of connections of each pattern, so that answers
	// that aren't read don't use up the upstream.
	upstreamSlots = 3000
)

type (
	// limits are those of the VM of a node.
	limits struct{ memoryMB, descriptors int }

	// nodeProcess is an entry node that runs as a process of its own.
	nodeProcess struct {
		t       *testing.T
		cmd     *exec.Cmd
		caller  string // address of the listener for callers
		log     string // file
		exited  chan struct{}
		lastID  atomic.Int64
		silent  sync.Map // ports of clients that have sent all they will, a set of uint16
		sampled sync.WaitGroup

		mu              sync.Mutex
		peakDescriptors int // the largest number of open descriptors that was counted
	}
)

// runProgram is what the program calls. That buildProgram uses it keeps all code of the
// program in the test binary, so that each change makes cached test results invalid.
// With an import alone, the linker leaves out what the tests don't call.
var runProgram = command.Run

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) (path string) {
	if runProgram == nil {
		t.Fatal("the program isn't linked into the test binary")
	}
	path = filepath.Join(t.TempDir(), "guavagauge")
	if out, err := exec.Command("go", "build", "-o", path, "../cmd/guavagauge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// startNode starts stand-ins of the store and of an upstream in this process and a
// node, and waits until the node is ready. All end with the test.
func startNode(t *testing.T, program string, l limits) (p *nodeProcess) {
	store := platformtest.NewStore()
	storeAddress := serve(t, store)
	upstream := &platformtest.Upstream{ID: "d1"}
	entry, err := json.Marshal(map[string]any{
		"service": "desk", "address": serve(t, answerer(upstream)), "zone": "a", "slots": upstreamSlots, "state": "ready",
		"stage": "", "born": time.Now().UnixMilli(),
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Set(platform.ConfigKey, []byte(configText))
	store.Set(platform.UpstreamPrefix+upstream.ID, entry)

	addresses := freeAddresses(t, 3)
	text := fmt.Sprintf("Name = \"n1\"\nFailureDomain = \"a\"\n[Regions]\na = \"r\"\n[Listen]\nCaller = %q\nReady = %q\nPeer = %q\n"+
		"[Store]\nAddress = %q\n[Limits]\nMemoryMB = %d\n", addresses[0], addresses[1], addresses[2], storeAddress, l.memoryMB)
	if _, ok := reflect.TypeFor[settings.EntryLimits]().FieldByName("Descriptors"); ok {
		text += fmt.Sprintf("Descriptors = %d\n", l.descriptors)
	}
	directory := t.TempDir()
	file := filepath.Join(directory, "entry.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p = &nodeProcess{t: t, caller: addresses[0], log: filepath.Join(directory, "log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(program, "entry", "--config", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		p.cmd.Wait() // the state of the process has the status
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill() // fails if the process has exited
		<-p.exited
		if t.Failed() {
			p.showLog()
		}
	})
	p.await("ready", func() bool {
		response, err := http.Get("http://" + addresses[1] + "/v1/readiness")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return p
}

// serve serves a stand-in on a free loopback port.
func serve(t *testing.T, handler http.Handler) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		if err := c.(*net.TCPConn).SetWriteBuffer(upstreamWriteBuffer); err != nil {
			t.Error(err)
		}
		return ctx
	}}
	go server.Serve(listener) // fails at the end of the test
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// answerer answers some paths of an upstream with long answers.
func answerer(upstream *platformtest.Upstream) http.Handler {
	answer := bytes.Repeat([]byte("long answer\n"), largeBytes/len("long answer\n")+1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, ok := map[string]int{largePath: largeBytes, somePath: someBytes}[r.URL.Path]
		if !ok {
			upstream.ServeHTTP(w, r)
			return
		}
		platformtest.BeginResponse(w, r)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Write(answer[:size]) // fails if the node closes the connection
	})
}

// freeAddresses returns n loopback addresses whose TCP ports were free during the
// call.
func freeAddresses(t *testing.T, n int) (addresses []string) {
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// await polls until a condition holds, and fails the test if the process exits
// before or the condition doesn't hold in time.
func (p *nodeProcess) await(name string, condition func() bool) {
	p.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(pollInterval) {
		if !p.alive() {
			p.t.Fatalf("the process ended before: %s", name)
		}
		if time.Since(start) > hangTimeout {
			p.t.Fatalf("not in %v: %s", hangTimeout, name)
		}
	}
}

func (p *nodeProcess) alive() (alive bool) {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// sampleDescriptors counts the open descriptors again and again until ctx ends.
func (p *nodeProcess) sampleDescriptors(ctx context.Context) {
	p.sampled.Go(func() {
		for ctx.Err() == nil {
			p.countDescriptors()
			time.Sleep(pollInterval)
		}
	})
}

// countDescriptors counts the open descriptors.
func (p *nodeProcess) countDescriptors() {
	entries, err := os.ReadDir(p.file("fd"))
	if err != nil && p.alive() {
		p.t.Error(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakDescriptors = max(p.peakDescriptors, len(entries))
}

// peakMemory returns the largest resident memory of the process in KiB.
func (p *nodeProcess) peakMemory() (kib int) {
	text, err := os.ReadFile(p.file("status"))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			if kib, err = strconv.Atoi(strings.Fields(value)[0]); err != nil {
				p.t.Fatal(err)
			}
			return kib
		}
	}
	p.t.Fatal("no VmHWM")
	return 0
}

// file returns the path of a file of the process in /proc.
func (p *nodeProcess) file(name string) (path string) {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name)
}

// hasReadSilent reports whether the node has accepted the connections of silent
// clients and read all that they have sent. Those that it closed don't count.
func (p *nodeProcess) hasReadSilent() (read bool) {
	text, err := os.ReadFile(p.file("net/tcp"))
	if err != nil {
		return false
	}
	const (
		established = "01"
		noInode     = "0" // of a connection that hasn't been accepted
	)
	caller := fmt.Sprintf(":%04X", netip.MustParseAddrPort(p.caller).Port())
	for line := range strings.Lines(string(text)) {
		// The fields are: number, local and remote address, state, bytes to send and to
		// read, timer, retransmissions, user, timeout, inode.
		fields := strings.Fields(line)
		if !strings.HasSuffix(fields[1], caller) || fields[3] != established {
			continue
		}
		_, port, _ := strings.Cut(fields[2], ":")
		number, err := strconv.ParseUint(port, 16, 16)
		if err != nil {
			p.t.Fatal(err)
		}
		if _, silent := p.silent.Load(uint16(number)); silent && (fields[9] == noInode || !strings.HasSuffix(fields[4], ":00000000")) {
			return false
		}
	}
	return true
}

// request sends one ordinary request on a new connection and returns an error unless
// it is answered 200. A request that is refused or whose connection is closed is sent
// again, at most maxAttempts times.
func (p *nodeProcess) request() (attempts int, err error) {
	ctx, cancel := context.WithTimeout(p.t.Context(), hangTimeout)
	defer cancel()
	for attempts = 1; ; attempts++ {
		var status int
		status, err = p.attempt(ctx)
		switch {
		case status == http.StatusOK:
			return attempts, nil
		case status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests,
			attempts == maxAttempts, ctx.Err() != nil, !p.alive():
			return attempts, err
		}
		time.Sleep(attemptPause)
	}
}

// attempt sends one request. Without an answer, the status is 0. err isn't nil unless
// the status is 200.
func (p *nodeProcess) attempt(ctx context.Context) (status int, err error) {
	id := fmt.Sprint("ordinary-", p.lastID.Add(1))
	body := strings.Repeat("ordinary ", 100)
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.caller+"/draws/one", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host, request.Header = "a.example", platformtest.CallerHeader(id, key, requestDeadline)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK || !strings.Contains(string(text), id) {
		return response.StatusCode, errors.Errorf("status %d %s", response.StatusCode, text)
	}
	return response.StatusCode, nil
}

// showLog shows the end of the log of the process.
func (p *nodeProcess) showLog() {
	const shown = 1 << 10
	log, err := os.ReadFile(p.log)
	if err != nil {
		p.t.Error(err)
		return
	}
	p.t.Logf("%v; end of the log:\n%s", p.cmd.ProcessState, log[max(0, len(log)-shown):])
}
