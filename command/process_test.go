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
	credential = "process-test-credential"
	pollPeriod = 50 * time.Millisecond
)

// processes is a fleet of separate processes on loopback ports.
type processes struct {
	t       *testing.T
	ctx     context.Context
	binary  string
	nodes   []*exec.Cmd
	callers []string
	ops     []string
}

// startProcesses builds the program and starts the stand-ins and three nodes.
func startProcesses(t *testing.T) (p *processes) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel) // kills what still runs
	directory := t.TempDir()
	p = &processes{t: t, ctx: ctx, binary: filepath.Join(directory, "guavagauge")}
	if out, err := exec.Command("go", "build", "-o", p.binary, "../cmd/guavagauge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ports := freePorts(t, 15)
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
		p.callers = append(p.callers, "http://"+caller)
		p.ops = append(p.ops, operator)
	}
	for i := range p.ops {
		p.await(func() bool {
			response, err := http.Get("http://" + p.ops[i] + "/readyz")
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

// killAtEnd leaves no process behind. The end of the context alone doesn't: the
// test's process may be gone before it has killed the others.
func (p *processes) killAtEnd(cmd *exec.Cmd) {
	p.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait() // fails for those that were waited for already
	})
}

// run runs a command to its end and returns its output and exit status.
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

// await polls until a condition holds. The test's own timeout bounds it.
func (p *processes) await(condition func() bool) {
	for !condition() {
		time.Sleep(pollPeriod)
	}
}

// metric returns the value of a metric of a node.
func (p *processes) metric(i int, name string) (value string) {
	response, err := http.Get("http://" + p.ops[i] + "/metrics")
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

// stream asks a node for a completion, signals when the first token arrives,
// and returns the whole text.
func (p *processes) stream(i, tokens int, prompt string, first chan<- struct{}) (text string, err error) {
	defer func() {
		if first != nil {
			close(first)
		}
	}()
	body := fmt.Sprintf(`{"model":"dev-model","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	request, err := http.NewRequestWithContext(p.ctx, "POST", p.callers[i]+"/v1/completions", strings.NewReader(body))
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

func (p *processes) enter(i int, key, entry string) (status int) {
	request, err := http.NewRequestWithContext(p.ctx, "POST", p.callers[i]+"/desk/entries", strings.NewReader(entry))
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

// Guards against a path that works in one process only, and against streams and
// entries that are lost or doubled when other processes are killed, frozen or
// stopped.
func TestSeparateProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts five processes")
	}
	p := startProcesses(t)
	const tokens = 300
	answer := func(prompt string) string {
		return strings.Join(enginetest.Completion("dev-model", prompt, 0, tokens), "")
	}

	t.Run("an entry runs once over all nodes", func(t *testing.T) {
		for i := range 3 {
			// A repeat hears 409 until the outcome of the first run is recorded.
			p.await(func() bool { return p.enter(i, "entry-1", `{"n":1}`) == http.StatusCreated })
		}
		if out := p.get(0, "/desk/runs"); !strings.Contains(out, `"Runs":1`) {
			t.Errorf("runs %s, want 1", out)
		}
	})
	t.Run("commands take hold on all nodes", func(t *testing.T) {
		out, status := p.run("key", "issue", "--owner", "north", "--workspace", "alpha", "--name", "k", "--operator", p.ops[0])
		if status != 0 || !strings.HasPrefix(out, "gg-") {
			t.Fatalf("issue: status %d %s", status, out)
		}
		if out, status := p.run("key", "withdraw", "--owner", "north", "--name", "k", "--operator", p.ops[1]); status != 0 {
			t.Errorf("withdraw: status %d %s", status, out)
		}
		if out, status := p.run("label", "workspace", "north/none", "a=b", "--operator", p.ops[1]); status != 1 {
			t.Errorf("label of an unknown workspace: status %d %s, want 1", status, out)
		}
		if out, status := p.run("label", "workspace", "--operator", p.ops[1]); status != 2 {
			t.Errorf("label without arguments: status %d %s, want 2", status, out)
		}
	})
	t.Run("streams outlive a frozen, a killed and a stopped node", func(t *testing.T) {
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
			if r := <-results; r.err != nil || r.text != answer(r.prompt) {
				t.Errorf("%s: %d of %d bytes, error %v", r.prompt, len(r.text), len(answer(r.prompt)), r.err)
			}
		}
		p.nodes[1].Process.Signal(syscall.SIGCONT)
		p.nodes[2].Wait()
	})
	t.Run("a graceful stop finishes its callers' requests", func(t *testing.T) {
		p.await(func() bool { return p.get(1, "/desk/draw") != "" })
		started, done := make(chan struct{}), make(chan error)
		go func() {
			text, err := p.stream(1, tokens, "stop", started)
			if err == nil && text != answer("stop") {
				err = fmt.Errorf("%d of %d bytes", len(text), len(answer("stop")))
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

// get calls a plain service route and returns the body of a good answer.
func (p *processes) get(i int, path string) (body string) {
	request, err := http.NewRequestWithContext(p.ctx, "GET", p.callers[i]+path, nil)
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

// freePorts returns addresses that were free a moment ago.
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
