package command_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/guavagauge/guavagauge/command"
)

// childVariable is an environment variable that makes the test program run a
// command line instead of the tests. The flag library may end the process, so
// command lines with invalid arguments run in a child process.
const childVariable = "GUAVAGAUGE_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(command.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// result is the exit status and output of a command.
type result struct {
	status         int
	stdout, stderr string
}

// runChild runs a command line in a child process.
func runChild(t *testing.T, args ...string) (r result) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(t.Context(), os.Args[0], args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	// By default, the race detector waits for a second at each exit.
	cmd.Env = append(os.Environ(), childVariable+"=1", "GUAVAGAUGE_CREDENTIAL="+credential, "GORACE=atexit_sleep_ms=0")
	cmd.Run()
	return result{cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()}
}

// Guards against commands whose help is missing, has no example, or exits with
// a status other than 0.
func TestHelpOfEveryCommand(t *testing.T) {
	for _, level := range []string{
		"", "dev", "node", "standin", "check", "explain", "apply", "get", "history", "rollback", "label", "key",
		"key issue", "key withdraw", "key list",
	} {
		for _, flag := range []string{"--help", "-h"} {
			r := runChild(t, append(strings.Fields(level), flag)...)
			// The flag library writes help to standard error.
			_, examples, ok := strings.Cut(r.stderr, "Examples:")
			if !ok || !strings.Contains(examples, strings.TrimSpace("guavagauge "+level)) {
				t.Errorf("%s %s: help without an example of the command:\n%s", level, flag, r.stderr)
			}
			if r.status != 0 || r.stdout != "" {
				t.Errorf("%s %s: status %d, output %q; want 0 and none", level, flag, r.status, r.stdout)
			}
		}
	}
}

// Guards against commands that run with invalid arguments, and against exit
// statuses other than the documented ones.
func TestExitStatusAndStreams(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing.toml")
	for _, c := range []struct {
		args   string
		status int
		stderr string
	}{
		{"check ../dev/fleet.toml", 0, ""},
		{"explain --workspace north/alpha --model dev-model", 0, ""},
		{"check " + missing, 1, "missing.toml"},
		{"check ../fleet/testdata/faulty.toml", 1, "problems"},
		{"node --config " + missing, 1, "missing.toml"},
		{"dev --nodes 0", 1, "want 1 to 32"},
		{"dev --config ../fleet/testdata/faulty.toml", 1, "faulty.toml"},
		{"apply " + missing, 1, "missing.toml"},
		{"get --operator 127.0.0.1:1", 1, "127.0.0.1:1"},
		{"", 2, "no command given"},
		{"key", 2, "no command given"},
		{"chek", 2, "did you mean \"check\"?"},
		{"key isue", 2, "did you mean \"issue\"?"},
		{"check", 2, "FILE"},
		{"check ../dev/fleet.toml another.toml", 2, "another.toml"},
		{"check --fast ../dev/fleet.toml", 2, "fast"},
		{"dev --nodes", 2, "nodes"},
		{"dev --nodes three", 2, "three"},
		{"dev --listen localhost", 2, "--listen localhost"},
		{"standin --store 1", 2, "--store 1"},
		{"explain", 2, "--model or --path"},
		{"explain --workspace north/none --model dev-model", 2, "north/none"},
		{"explain --workspace north/alpha --model none", 2, "dev-model"},
		{"explain --path /none", 2, "/none"},
		{"get --operator localhost", 2, "--operator localhost"},
		{"get --wait soon", 2, "soon"},
		{"label upstream engine-1 pool=x", 2, "OWNER/NAME"},
		{"rollback", 2, "REVISION"},
		{"rollback last", 2, "last"},
		{"rollback 41x", 2, "41x"},
		{"rollback 0", 2, "0"},
		{"apply ../dev/fleet.toml --base=-1", 2, "--base -1"},
		{"apply ../dev/fleet.toml --dry-rum", 2, "dry-rum"},
		{"apply ../dev/fleet.toml --dry-run=yes", 2, "yes"},
		{"apply ../dev/fleet.toml --base 1x", 2, "1x"},
		{"completion bash", 2, "completion"},
		{"history --limit=-1", 2, "--limit -1"},
		{"history --limit 0", 2, "--limit 0"},
	} {
		r := runChild(t, strings.Fields(c.args)...)
		if r.status != c.status || !strings.Contains(r.stderr, c.stderr) {
			t.Errorf("%q: status %d, errors %q; want %d and %q", c.args, r.status, r.stderr, c.status, c.stderr)
		}
		if c.status != 0 && r.stdout != "" {
			t.Errorf("%q: output %q of a failed command", c.args, r.stdout)
		}
		if c.status == 0 && r.stderr != "" {
			t.Errorf("%q: errors %q", c.args, r.stderr)
		}
	}
}
