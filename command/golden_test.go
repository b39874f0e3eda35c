package command_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/guavagauge/guavagauge/command"
)

// runInProcess runs a command line with valid arguments in the test process. On
// invalid ones, the flag library may end the process.
func runInProcess(t *testing.T, args ...string) (r result) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	r.status = command.Run(t.Context(), args, &stdout, &stderr)
	r.stdout, r.stderr = stdout.String(), stderr.String()
	return r
}

func (r result) String() string {
	return fmt.Sprintf("status %d\noutput:\n%serrors:\n%s", r.status, r.stdout, r.stderr)
}

// Guards against faults that check misses, reports for the wrong kind of file,
// or reports with status 0.
func TestCheckReportsProblems(t *testing.T) {
	for name, status := range map[string]int{"node": 0, "faulty-node": 1, "short-node": 1, "faulty-fleet": 1, "broken": 1} {
		r := runInProcess(t, "check", "testdata/"+name+".toml")
		if r.status != status {
			t.Errorf("%s: status %d, want %d", name, r.status, status)
		}
		goldie.New(t).Assert(t, "check-"+name, []byte(r.String()))
	}
	if r := runInProcess(t, "check", "../dev/fleet.toml"); r.status != 0 || r.stderr != "" {
		t.Errorf("the built-in configuration: %s", r)
	}
}

// Guards against an explanation with the wrong rules or upstreams, and against
// unnoticed changes of the output.
func TestExplainOutput(t *testing.T) {
	var all strings.Builder
	for _, line := range []string{
		"--workspace north/alpha --model dev-model",
		"--workspace south/beta --model dev-model",
		"--workspace north/alpha --path /desk/draw",
		"--workspace south/beta --method post --path /desk/entries",
		"--path /desk/fees",
	} {
		r := runInProcess(t, append([]string{"explain"}, strings.Fields(line)...)...)
		if r.status != 0 {
			t.Errorf("%s: status %d", line, r.status)
		}
		fmt.Fprintf(&all, "explain %s\n%s\n", line, r)
	}
	goldie.New(t).Assert(t, "explain", []byte(all.String()))
}
