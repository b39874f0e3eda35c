package command_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/enginetest"
)

const (
	credential   = "process-test-credential"
	pollInterval = 50 * time.Millisecond
)

// processes is a fleet of separate processes that listen on loopback ports.
type processes struct {
	t                 *testing.T
	ctx               context.Context
	binary            string
	nodes             []*exec.Cmd
	callerURLs        []string
	operatorAddresses []string
}

// startProcesses builds the program and starts the stand-ins and three nodes.
func startProcesses(t *testing.T) (p *processes) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel) // kills the processes that still run
	directory := t.TempDir()
	p = &processes{t: t, ctx: ctx, binary: filepath.Join(directory, "guavagauge")}
	if out, err := exec.Command("go", "build", "-o", p.binary, "../cmd/guavagauge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ports := freePorts(t, 15) // four upstreams, store, platform and three for each node
	fleetFile := filepath.Join(directory, "fleet.toml")
	text, err := os.ReadFile("../dev/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		text = bytes.ReplaceAll(text, fmt.Appendf(nil, "127.0.0.1:910%d", i+1), []byte(ports[i]))
	}
	if err := os.WriteFile(fleetFile, text, 0o600); err != nil {
		t.Fatal(err)
	}
	standin := p.start("standin", "--config", fleetFile, "--store", ports[4], "--platform", ports[5])
	p.awaitOutput(standin, "ready:")
	sum := sha256.Sum256([]byte(credential))
	for i := range 3 {
		caller, peer, operator := ports[6+3*i], ports[7+3*i], ports[8+3*i]
		file := filepath.Join(directory, fmt.Sprintf("node-%d.toml", i+1))
		settings := fmt.Sprintf(`Name = "node-%d"
FailureDomain = "dev-%s"
Region = "dev"
Seeds = [%q]
[Listen]
Caller = %q
Peer = %q
Operator = %q
[Operator]
CredentialSHA256 = %q
[Store]
Addresses = [%q]
[Platform]
Addresses = [%q]
[Intervals]
ListenerWithdraw = "1s"
`, i+1, []string{"a", "b"}[i%2], ports[7], caller, peer, operator, hex.EncodeToString(sum[:]), ports[4], ports[5])
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := p.command("node", "--config", file)
		cmd.Stderr = t.Output()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		p.killAtEnd(cmd)
		p.nodes = append(p.nodes, cmd)
		p.callerURLs = append(p.callerURLs, "http://"+caller)
		p.operatorAddresses = append(p.operatorAddresses, operator)
	}
	for i := range p.operatorAddresses {
		p.await(func() bool {
			response, err := http.Get("http://" + p.operatorAddresses[i] + "/readyz")
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK && strings.Contains(p.metric(i, "guavagauge_members"), "3")
		})
	}
	return p
}

func (p *processes) command(args ...string) (cmd *exec.Cmd) {
	cmd = exec.CommandContext(p.ctx, p.binary, args...)
	cmd.Env = append(os.Environ(), "GUAVAGAUGE_CREDENTIAL="+credential)
	return cmd
}

// start starts a command and returns its standard output.
func (p *processes) start(args ...string) (output io.Reader) {
	cmd := p.command(args...)
	output, err := cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.killAtEnd(cmd)
	return output
}

// killAtEnd kills a process at the end of the test and waits until it has exited.
// Canceling the context isn't enough: the test process may exit before it has
// killed the others.
func (p *processes) killAtEnd(cmd *exec.Cmd) {
	p.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait() // fails if the process was waited for before
	})
}

// run runs a command and returns its output and exit status.
func (p *processes) run(args ...string) (output string, status int) {
	cmd := p.command(args...)
	out, err := cmd.Output()
	if exit, ok := err.(*exec.ExitError); ok {
		return string(out) + string(exit.Stderr), exit.ExitCode()
	} else if err != nil {
		p.t.Fatal(err)
	}
	return string(out), 0
}

// awaitOutput waits for a line that contains text, and discards the rest.
func (p *processes) awaitOutput(output io.Reader, text string) {
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		if strings.Contains(scanner.Text(), text) {
			go io.Copy(io.Discard, output)
			return
		}
	}
	p.t.Fatalf("no %q in the output", text)
}

// await polls until a condition holds. Only the test timeout bounds it.
func (p *processes) await(condition func() bool) {
	for !condition() {
		time.Sleep(pollInterval)
	}
}

// metric returns the value of a metric of node i, or nothing if it can't be read.
func (p *processes) metric(i int, name string) (value string) {
	response, err := http.Get("http://" + p.operatorAddresses[i] + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if rest, ok := strings.CutPrefix(scanner.Text(), name+" "); ok {
			return rest
		}
	}
	return ""
}

// stream requests a completion from node i, closes first when the first token
// arrives, and returns the whole text.
func (p *processes) stream(i, tokens int, prompt string, first chan<- struct{}) (text string, err error) {
	defer func() {
		if first != nil {
			close(first)
		}
	}()
	body := fmt.Sprintf(`{"model":"dev-model","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	request, err := http.NewRequestWithContext(p.ctx, "POST", p.callerURLs[i]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer beta-dev-key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var chunk struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			return text, fmt.Errorf("chunk %s: %v", data, err)
		}
		text += chunk.Choices[0].Text
		if first != nil {
			close(first)
			first = nil
		}
	}
	return text, scanner.Err()
}

// postEntry posts an entry to node i with an idempotency key. It returns the
// status, or 0 without a response.
func (p *processes) postEntry(i int, key, entry string) (status int) {
	request, err := http.NewRequestWithContext(p.ctx, "POST", p.callerURLs[i]+"/desk/entries", strings.NewReader(entry))
	if err != nil {
		p.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer alpha-dev-key")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Guards against code that works only with all nodes in one process, and
// against streams and entries that are lost or run twice when other nodes are
// killed, suspended or stopped.
func TestFleetOfSeparateProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a fleet of separate processes")
	}
	p := startProcesses(t)
	const tokens = 300
	completion := func(prompt string) string {
		return strings.Join(enginetest.Completion("dev-model", prompt, 0, tokens), "")
	}

	t.Run("an entry posted to all nodes runs once", func(t *testing.T) {
		for i := range 3 {
			// A repeat gets status 409 until the first run's outcome is recorded.
			p.await(func() bool { return p.postEntry(i, "entry-1", `{"n":1}`) == http.StatusCreated })
		}
		if out := p.get(0, "/desk/runs"); !strings.Contains(out, `"Runs":1`) {
			t.Errorf("runs %s, want 1", out)
		}
	})
	t.Run("operator commands take effect on all nodes", func(t *testing.T) {
		out, status := p.run("key", "issue", "--owner", "north", "--workspace", "alpha", "--name", "k", "--operator", p.operatorAddresses[0])
		if status != 0 || !strings.HasPrefix(out, "gg-") {
			t.Fatalf("issue: status %d %s", status, out)
		}
		if out, status := p.run("key", "withdraw", "--owner", "north", "--name", "k", "--operator", p.operatorAddresses[1]); status != 0 {
			t.Errorf("withdraw: status %d %s", status, out)
		}
		if out, status := p.run("label", "workspace", "north/none", "a=b", "--operator", p.operatorAddresses[1]); status != 1 {
			t.Errorf("label of an unknown workspace: status %d %s, want 1", status, out)
		}
		if out, status := p.run("label", "workspace", "--operator", p.operatorAddresses[1]); status != 2 {
			t.Errorf("label without arguments: status %d %s, want 2", status, out)
		}
	})
	t.Run("streams finish while a node is suspended and another one is killed", func(t *testing.T) {
		type result struct {
			prompt, text string
			err          error
		}
		results := make(chan result)
		first := make([]chan struct{}, 12)
		for i := range first {
			first[i] = make(chan struct{})
			go func() {
				prompt := fmt.Sprint("prompt ", i)
				text, err := p.stream(0, tokens, prompt, first[i])
				results <- result{prompt, text, err}
			}()
		}
		for _, started := range first {
			<-started
		}
		p.nodes[1].Process.Signal(syscall.SIGSTOP)
		p.nodes[2].Process.Signal(syscall.SIGKILL)
		for range first {
			if r := <-results; r.err != nil || r.text != completion(r.prompt) {
				t.Errorf("%s: %d of %d bytes, error %v", r.prompt, len(r.text), len(completion(r.prompt)), r.err)
			}
		}
		p.nodes[1].Process.Signal(syscall.SIGCONT)
		p.nodes[2].Wait()
	})
	t.Run("a graceful stop finishes running requests", func(t *testing.T) {
		p.await(func() bool { return p.get(1, "/desk/draw") != "" })
		started, done := make(chan struct{}), make(chan error)
		go func() {
			text, err := p.stream(1, tokens, "stop", started)
			if err == nil && text != completion("stop") {
				err = fmt.Errorf("%d of %d bytes", len(text), len(completion("stop")))
			}
			done <- err
		}()
		<-started
		p.nodes[1].Process.Signal(syscall.SIGTERM)
		if err := <-done; err != nil {
			t.Error(err)
		}
		if err := p.nodes[1].Wait(); err != nil {
			t.Errorf("exit: %v, want status 0", err)
		}
	})
}

// get requests a path of the plain service from node i and returns the body, or
// nothing unless the status is 200.
func (p *processes) get(i int, path string) (body string) {
	request, err := http.NewRequestWithContext(p.ctx, "GET", p.callerURLs[i]+path, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer alpha-dev-key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return string(text)
}

// freePorts returns n loopback addresses whose ports were free during the call.
func freePorts(t *testing.T, n int) (addresses []string) {
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
