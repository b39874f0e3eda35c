package command_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/guavagauge/guavagauge/dev"
)

// Guards against operator commands that report success for a refused change,
// print errors on standard output, or print secrets that weren't requested.
func TestOperatorCommandOutput(t *testing.T) {
	f, err := dev.Start(t.Context(), dev.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Nodes: 1})
	if err != nil {
		t.Fatal(err)
	}
	address := f.Nodes[0].OperatorAddress().String()
	t.Setenv("GUAVAGAUGE_CREDENTIAL", dev.Credential)
	directory := t.TempDir()
	file, faulty := filepath.Join(directory, "fleet.toml"), filepath.Join(directory, "faulty.toml")
	changed := strings.Replace(string(dev.BuiltinConfig()), "Weight = 2", "Weight = 3", 1)
	for name, text := range map[string]string{file: changed, faulty: changed + "\n[[Owner]]\n"} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args           string
		status         int
		stdout, stderr string
	}{
		{"get", 0, `Name = "alpha"`, "revision 1"},
		{"apply " + file + " --dry-run", 0, "revision 1 stays in force", ""},
		{"apply --dry-run " + file, 0, "revision 1 stays in force", ""},
		{"apply -n " + file, 0, "revision 1 stays in force", ""},
		{"apply " + file + " --base 1 --comment heavier", 0, "Weight = 2 -> 3", "revision 2 in force on 1 of 1 nodes"},
		{"apply " + file, 0, "no difference from revision 2", ""},
		{"apply " + file + " --base 1", 1, "", "Weight = 2 -> 3"},
		{"apply " + faulty, 1, "", "faulty.toml:"},
		{"label workspace north/alpha tier=small", 0, `"small"`, "revision 3 in force"},
		{"label workspace north/none tier=small", 1, "", "north/none"},
		{"key issue --owner north --workspace alpha --name k", 0, "gg-", "revision 4 in force"},
		{"key issue --owner north --workspace alpha --name k", 1, "", "north/k exists"},
		{"key list", 0, "north/k", ""},
		{"key withdraw --owner north --name k", 0, "north/k", "revision 5 in force"},
		{"key withdraw --owner north --name k", 1, "", "no key north/k"},
		{"rollback 4", 0, "no difference from revision 5", ""},
		{"rollback 1", 0, "Weight = 3 -> 2", "revision 6 in force"},
		{"rollback 99", 1, "", "99"},
		{"history --limit 5", 0, "heavier", ""},
	} {
		r := runInProcess(t, append(strings.Fields(c.args), "--operator", address)...)
		if r.status != c.status || !strings.Contains(r.stdout, c.stdout) || !strings.Contains(r.stderr, c.stderr) {
			t.Errorf("%s: %s\nwant status %d, output %q, errors %q", c.args, r, c.status, c.stdout, c.stderr)
		}
		if c.status != 0 && r.stdout != "" {
			t.Errorf("%s: output %q of a failed command", c.args, r.stdout)
		}
		if strings.Contains(r.stderr, "gg-") || strings.Contains(r.String(), dev.Credential) {
			t.Errorf("%s: shows a secret: %s", c.args, r)
		}
	}
	for credential, status := range map[string]int{"": 2, "wrong": 1} {
		t.Setenv("GUAVAGAUGE_CREDENTIAL", credential)
		if r := runInProcess(t, "get", "--operator", address); r.status != status || r.stdout != "" || !strings.Contains(r.stderr, "credential") {
			t.Errorf("credential %q: %s", credential, r)
		}
	}
	if err := f.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}
