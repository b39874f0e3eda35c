package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/guavagauge/guavagauge/fleet"
)

const minimalNode = `
Name = "entry-1"
FailureDomain = "mbeya-a"
Region = "mbeya"
Seeds = ["10.0.0.2:7000"]

[Listen]
Peer = "10.0.0.1:7000"

[Operator]
CredentialSHA256 = "677509799af78b2efa2f2af71d0f906e0a0c50c048efd3b515625f788e92b99a"

[Store]
Addresses = ["10.0.1.1:2400"]

[Intervals]
ListenerWithdraw = "3s"
`

// Guards against problems of a file that aren't reported, or with a wrong line or
// value, and against a credential that is printed in a problem.
func TestParseReportsEveryProblem(t *testing.T) {
	text, err := os.ReadFile("testdata/faulty.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, problems := Parse("faulty.toml", text)
	var lines strings.Builder
	for _, p := range problems {
		fmt.Fprintln(&lines, p)
	}
	goldie.New(t).Assert(t, "faulty", []byte(lines.String()))
}

// Guards against an optional setting without a default, and against defaults that
// Check rejects.
func TestDefaultsAreSetAndValid(t *testing.T) {
	s, problems := Parse("node.toml", []byte(minimalNode))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if s.Intervals.ListenerWithdraw != 3*time.Second || s.Intervals.KeyConfirmation != 4*time.Second || s.Listen.Caller.Port() != 8080 {
		t.Errorf("settings: %+v", s)
	}
	if problems := s.Check(); len(problems) > 0 {
		t.Errorf("the defaults have problems: %v", problems)
	}
	if fields := fmt.Sprintf("%+v", []any{s.Limits, s.Intervals}); strings.Contains(fields, ":0s") || strings.Contains(fields, ":0 ") {
		t.Errorf("a setting has no default: %s", fields)
	}
}

// Guards against settings and fleet objects missing from the documentation, and
// against an example in it that fleet.Parse rejects.
func TestDocumentationIsComplete(t *testing.T) {
	text, err := os.ReadFile("../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := func(name string) bool {
		return strings.Contains(string(text), "`"+name+"`") || strings.Contains(string(text), "."+name+"`")
	}
	for _, object := range []any{
		Settings{},
		Listen{},
		Operator{},
		Store{},
		Platform{},
		TLS{},
		Limits{},
		Intervals{},
		fleet.Upstream{},
		fleet.Workspace{},
		fleet.Key{},
		fleet.Model{},
		fleet.Route{},
		fleet.Rule{},
	} {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(object)) {
			if field.IsExported() && !field.Anonymous && !documented(field.Name) && !strings.Contains(string(text), "`["+field.Name+"]`") {
				t.Errorf("%T.%s isn't documented", object, field.Name)
			}
		}
	}
	var example strings.Builder
	for line := range strings.Lines(string(text)) {
		if code, ok := strings.CutPrefix(line, "    "); ok {
			example.WriteString(code)
		}
	}
	if _, problems := fleet.Parse("example", []byte(example.String())); len(problems) > 0 {
		t.Error(problems)
	}
}

// Guards against a panic on any input, and against settings that Parse accepts but
// Check rejects after the defaults are set.
func FuzzParse(f *testing.F) {
	f.Add(minimalNode)
	f.Fuzz(func(t *testing.T, text string) {
		s, problems := Parse("fuzz.toml", []byte(text))
		if len(problems) > 0 {
			return
		}
		if problems := s.Check(); len(problems) > 0 {
			t.Errorf("Parse accepted %q, then Check rejected it: %v", text, problems)
		}
	})
}
