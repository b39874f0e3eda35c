package command_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/guavagauge/guavagauge/command"
)

// runHere runs a command line that is used correctly, so that it doesn't end
// the process.
func runHere(t *testing.T, args ...string) (r result) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	r.status = command.Run(t.Context(), args, &stdout, &stderr)
	r.stdout, r.stderr = stdout.String(), stderr.String()
	return r
}

func (r result) String() string {
	return fmt.Sprintf("status %d\noutput:\n%serrors:\n%s", r.status, r.stdout, r.stderr)
}

// Guards against faults that check doesn't report, reports for the wrong kind
// of file, or reports with status 0.
func TestCheck(t *testing.T) {
	for name, status := range map[string]int{"node": 0, "faulty-node": 1, "short-node": 1, "faulty-fleet": 1, "broken": 1} {
		r := runHere(t, "check", "testdata/"+name+".toml")
		if r.status != status {
			t.Errorf("%s: status %d, want %d", name, r.status, status)
		}
		goldie.New(t).Assert(t, "check-"+name, []byte(r.String()))
	}
	if r := runHere(t, "check", "../dev/fleet.toml"); r.status != 0 || r.stderr != "" {
		t.Errorf("the built-in configuration: %s", r)
	}
}

// Guards against an explanation that names other rules or upstreams than those
// that apply, or changes unnoticed.
func TestExplain(t *testing.T) {
	var all strings.Builder
	for _, line := range []string{
		"--workspace north/alpha --model dev-model",
		"--workspace south/beta --model dev-model",
		"--workspace north/alpha --path /desk/draw",
		"--workspace south/beta --method post --path /desk/entries",
		"--path /desk/fees",
	} {
		r := runHere(t, append([]string{"explain"}, strings.Fields(line)...)...)
		if r.status != 0 {
			t.Errorf("%s: status %d", line, r.status)
		}
		fmt.Fprintf(&all, "explain %s\n%s\n", line, r)
	}
	goldie.New(t).Assert(t, "explain", []byte(all.String()))
}
