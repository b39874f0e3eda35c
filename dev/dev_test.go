package dev_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"testing"

	"github.com/guavagauge/guavagauge/dev"
	"github.com/guavagauge/guavagauge/enginetest"
	"github.com/guavagauge/guavagauge/operator"
	"github.com/guavagauge/guavagauge/transport"
)

var (
	curlURL    = regexp.MustCompile(`http://\S+`)
	curlHeader = regexp.MustCompile(`-H '([^:]+): ([^']+)'`)
	curlBody   = regexp.MustCompile(`-d '([^']+)'`)
)

// runningFleet is a call of dev.Run with its output.
type runningFleet struct {
	t            *testing.T
	curlCommands []string
	output       *bufio.Scanner
	stderr       bytes.Buffer // read after stop
	stop         context.CancelFunc
	stopped      chan error
}

// startFleet calls dev.Run and reads the output that it prints when it is ready.
func startFleet(t *testing.T) (f *runningFleet) {
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	f = &runningFleet{t: t, output: bufio.NewScanner(reader), stop: cancel, stopped: make(chan error, 1)}
	go func() {
		err := dev.Run(ctx, dev.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Nodes: 2, Stdout: writer, Stderr: &f.stderr})
		writer.CloseWithError(err)
		f.stopped <- err
	}()
	t.Cleanup(func() { reader.Close() })
	if !f.output.Scan() || !strings.HasPrefix(f.output.Text(), "ready: http://127.0.0.1:") || !strings.HasSuffix(f.output.Text(), "(2 nodes, 3 engines, 1 service workers)") {
		t.Fatalf("first line %q, %v", f.output.Text(), f.output.Err())
	}
	for f.output.Scan() && !strings.Contains(f.output.Text(), "key issue") {
		if strings.HasPrefix(f.output.Text(), "  curl ") {
			f.curlCommands = append(f.curlCommands, f.output.Text())
		}
	}
	return f
}

// request returns the request that a curl command would send.
func (f *runningFleet) request(curl string) *http.Request {
	f.t.Helper()
	method, body := http.MethodGet, curlBody.FindStringSubmatch(curl)
	var text string
	if body != nil {
		method, text = http.MethodPost, body[1]
	}
	r, err := http.NewRequestWithContext(f.t.Context(), method, curlURL.FindString(curl), strings.NewReader(text))
	if err != nil {
		f.t.Fatal(err)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded") // as curl -d does
	}
	for _, header := range curlHeader.FindAllStringSubmatch(curl, -1) {
		r.Header.Set(header[1], header[2])
	}
	return r
}

// do sends a request and returns the status and the whole body.
func (f *runningFleet) do(r *http.Request) (status int, body string) {
	f.t.Helper()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Errorf("%s: %v", r.URL, err)
	}
	return response.StatusCode, string(text)
}

// Guards against a fleet that doesn't start, against printed commands that fail
// when they are copied, and against a stop that truncates a running stream.
func TestRunServesPrintedCommands(t *testing.T) {
	f := startFleet(t)
	wants := []struct {
		path   string
		status int
		body   string
	}{
		{"/v1/models", http.StatusOK, `"dev-model"`},
		{"/v1/chat/completions", http.StatusOK, `"finish_reason":"length"`},
		{"/v1/completions", http.StatusOK, "data: [DONE]"},
		{"/desk/fees", http.StatusOK, ""},
		{"/desk/entries", http.StatusCreated, ""},
		{"/desk/runs", http.StatusOK, `"Runs":1`},
	}
	if len(f.curlCommands) != len(wants) {
		t.Fatalf("%d curl commands in the output, want %d: %q", len(f.curlCommands), len(wants), f.curlCommands)
	}
	for i, want := range wants {
		r := f.request(f.curlCommands[i])
		status, body := f.do(r)
		if r.URL.Path != want.path || status != want.status || !strings.Contains(body, want.body) {
			t.Errorf("%s: status %d, %s; want %s, %d and %s", f.curlCommands[i], status, body, want.path, want.status, want.body)
		}
		if r.Header.Get("Authorization") == "" {
			continue
		}
		r = f.request(f.curlCommands[i])
		r.Header.Del("Authorization")
		if status, body := f.do(r); status != http.StatusUnauthorized {
			t.Errorf("%s without its key: status %d, %s", r.URL, status, body)
		}
	}

	const tokens = 200
	stream := strings.Replace(f.curlCommands[2], `"max_tokens":8`, `"max_tokens":200`, 1)
	response, err := http.DefaultClient.Do(f.request(stream))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	first, err := lines.ReadString('\n')
	if err != nil || !strings.HasPrefix(first, "data: ") {
		t.Fatalf("first line %q, %v", first, err)
	}
	f.stop()
	if !f.output.Scan() || !strings.HasPrefix(f.output.Text(), "stopping") {
		t.Errorf("output after the stop: %q", f.output.Text())
	}
	rest, err := io.ReadAll(lines)
	// The last event has an empty text, so the stream has one text more than tokens.
	if answer := enginetest.Completion("dev-model", "Fees?", 0, tokens); err != nil || !strings.Contains(string(rest), "[DONE]") ||
		strings.Count(first+string(rest), `"text":`) < len(answer) {
		t.Errorf("stream during the stop: %d of %d tokens, %v", strings.Count(first+string(rest), `"text":`), len(answer), err)
	}
	if err := <-f.stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
	if log := f.stderr.String(); strings.Contains(log, "level=ERROR") || strings.Contains(log, "invariant") {
		t.Errorf("errors in the log:\n%s", log)
	}
}

// Guards against a development fleet that doesn't apply operators' changes.
func TestOperatorChangesConfiguration(t *testing.T) {
	f, err := dev.Start(t.Context(), dev.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Nodes: 2})
	if err != nil {
		t.Fatal(err)
	}
	client := operator.NewClient(transport.TCP{}, f.Nodes[0].OperatorAddress(), dev.Credential)
	reply, err := client.Label(t.Context(), operator.LabelRequest{Kind: "workspace", Owner: "north", Name: "alpha", Key: "tier", Value: "small"})
	if err != nil {
		t.Fatal(err)
	}
	inForce, err := client.AwaitInForce(t.Context(), reply.Revision)
	if err != nil || len(inForce.Have) != 2 {
		t.Errorf("label: %+v, %v; want it in force on 2 nodes", inForce, err)
	}
	for i, n := range f.Nodes {
		if workspace, ok := n.Snapshot().Workspace("north/alpha"); !ok || workspace.Labels["tier"] != "small" {
			t.Errorf("node %d: workspace %+v", i, workspace)
		}
	}
	if err := f.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against starting a fleet with invalid options. 192.0.2.0/24 is reserved
// for documentation, so no host should have an address in it.
func TestInvalidOptionsAreRefused(t *testing.T) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	for want, options := range map[string]dev.Options{
		"want 1 to 32":             {Listen: loopback},
		"33 nodes":                 {Listen: loopback, Nodes: 33},
		"my.toml:1":                {Listen: loopback, Nodes: 1, ConfigFile: "my.toml", Config: []byte("[[Owner]]\nColour = 1\n")},
		"guavagauge check":         {Listen: loopback, Nodes: 1, ConfigFile: "my.toml", Config: []byte("[[Owner]]\n")},
		"assign requested address": {Listen: netip.MustParseAddrPort("192.0.2.1:0"), Nodes: 1},
	} {
		if f, err := dev.Start(t.Context(), options); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: fleet %v, error %v; want %s", options, f, err, want)
		}
	}
}
