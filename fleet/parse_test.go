package fleet

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against errors that Parse doesn't report, reports only after others are
// corrected, or reports with the wrong line, value or suggestion.
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

// Guards against a syntax error reported without its line, and against top-level
// tables of the wrong type being ignored silently.
func TestParseReportsSyntaxAndTypeErrors(t *testing.T) {
	for text, want := range map[string]string{
		"[[Owner]]\nName = \"a\"\nName = \"b\"\n": "f:3: found a syntax error; want valid TOML: Key 'Owner.Name' has already been defined.",
		"Owner = 3\n":                          "f:1: Owner: found 3; want a list of tables such as [[Upstream]]",
		"[Owner]\nName = \"a\"\n":              "f:1: Owner: found map[Name:a]; want a list of tables such as [[Upstream]]",
		"[Owner.Name]\n":                       "f:1: Owner: found map[Name:map[]]; want a list of tables such as [[Upstream]]",
		"Owner = [{Name = \"a\"}, {Name = 1}]": "f:1: Owner number 2: Name: found 1; want a string",
	} {
		_, problems := Parse("f", []byte(text))
		if len(problems) == 0 || problems[0].String() != want {
			t.Errorf("Parse(%q) reports %q, want %q", text, problems, want)
		}
	}
}

// Guards against wrong line numbers after values that extend over several lines.
func TestLinesAfterMultilineValues(t *testing.T) {
	text := "# [[Owner]]\n[[Owner]]\nName = \"\"\"\n[[Owner]]\nName = 'x'\"\"\"\n\n" +
		"[[ Owner ]] # second\n'Name' = '''\n\"\"\" ''''\nLabels.\"a=b\" = 'c' # ]\n[Owner.Labels.x]\ny = [\n 1, # ]\n 2]\n[[Owner]]\nName=\"\\\"#\"\n"
	lines := scanLines(text)
	for path, want := range map[string]int{
		"Owner 0": 2, "Owner 0 Name": 3, "Owner 1": 7, "Owner 1 Name": 8, "Owner 1 Labels a=b": 10,
		"Owner 1 Labels x": 11, "Owner 1 Labels x y": 12, "Owner 2": 15, "Owner 2 Name": 16, "Owner 2 Labels": 15, "Other": 0,
	} {
		if line := lines.find(strings.Split(path, " ")...); line != want {
			t.Errorf("line of %s = %d, want %d", path, line, want)
		}
	}
}

// Guards against defaults that let a call run twice or leave a limit unset, and
// against a Burst below the requests of one second.
func TestFillDefaults(t *testing.T) {
	config, _ := Parse("small.toml", []byte(smallFleet))
	if u, w := config.Upstreams[0], config.Workspaces[0]; u.State != Active || u.Capacity != Reserved || u.Slots != 1 || w.Weight != 1 {
		t.Errorf("defaults: %+v, %+v", u, w)
	}
	for _, r := range config.Routes {
		if r.Name == "entries" && (r.Repeat != NonIdempotent || r.MaxBodyBytes != DefaultMaxBodyBytes || r.Deadline != DefaultDeadline) {
			t.Errorf("defaults: %+v", r)
		}
	}
	c := &Config{Workspaces: []Workspace{{RequestsPerSecond: 2.5}}}
	if c.fillDefaults(); c.Workspaces[0].Burst != 3 {
		t.Errorf("Burst = %d, want 3", c.Workspaces[0].Burst)
	}
}

// Guards against Format with Parse, or Entries with FromEntries, losing or
// changing objects or settings, and against FromEntries accepting entries with
// the wrong key.
func TestFormatAndEntriesRoundTrip(t *testing.T) {
	config, _ := Parse("small.toml", []byte(smallFleet))
	reparsed, problems := Parse("formatted.toml", Format(config))
	if len(problems) > 0 || !reflect.DeepEqual(config, reparsed) {
		t.Errorf("Format gives\n%s\nproblems %v", Format(config), problems)
	}
	entries := Entries(config)
	restored, err := FromEntries(entries)
	if err != nil || !reflect.DeepEqual(config, restored) {
		t.Errorf("FromEntries = %+v, %v", restored, err)
	}
	entries["Key/mopani/k9"] = entries["Key/mopani/k1"]
	if _, err := FromEntries(entries); err == nil {
		t.Error("FromEntries accepted an entry under another object's key")
	}
	if _, err := FromEntries(map[string][]byte{"Kye/mopani/k1": []byte("{}")}); err == nil {
		t.Error("FromEntries accepted an entry of an unknown kind")
	}
}

// Guards against changes that Diff omits, so that operators don't see them
// before they apply a configuration.
func TestDiffListsEveryChange(t *testing.T) {
	old, _ := Parse("small.toml", []byte(smallFleet))
	changed := old.clone()
	changed.Keys = changed.Keys[1:]
	changed.Models = append(changed.Models, Model{Meta: Meta{Owner: "mopani", Name: "new", Labels: map[string]string{"size": "small"}}, Version: "2"})
	changed.Routes[0].Deadline *= 2
	changed.Routes[0].Methods = []string{"GET"}
	changed.Upstreams[0].State = Draining
	changed.Owners = changed.Owners[1:]
	if err := SetLabel(changed, KindWorkspace, "mwakyusa", "alpha", "tier", "silver"); err != nil {
		t.Fatal(err)
	}
	if err := SetLabel(changed, KindWorkspace, "mopani", "alpha", "tier", "gold"); err != nil {
		t.Fatal(err)
	}
	if err := SetLabel(changed, KindUpstream, "mwakyusa", "engine-1", "pool", ""); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, change := range Diff(old, changed) {
		fmt.Fprintln(&text, change)
	}
	goldie.New(t).Assert(t, "diff", []byte(text.String()))
	if changes := Diff(old, old.clone()); len(changes) > 0 {
		t.Errorf("equal configurations differ: %v", changes)
	}
}

// Guards against errors that don't say what the operator must correct.
func TestSetLabelErrors(t *testing.T) {
	config, _ := Parse("small.toml", []byte(smallFleet))
	for _, test := range []struct {
		kind                    Kind
		owner, name, key, value string
		want                    string
	}{
		{KindWorkspace, "mopani", "alpa", "a", "b", `Workspace mopani/alpa isn't configured; did you mean "alpha"?`},
		{KindModel, "mopani", "notes", "a", "b", `Model mopani/notes isn't configured`},
		{"Workspaces", "mopani", "alpha", "a", "b", `found object kind "Workspaces"; want one of Owner, Upstream, Workspace, Key, Model, Service, Route, Rule; did you mean "Workspace"?`},
		{KindWorkspace, "mopani", "alpha", "owner", "b", `Workspace mopani/alpha: label "owner": found "owner"; want a key other than those that the system sets: owner, failure-domain, region, capacity`},
		{KindWorkspace, "mopani", "alpha", "a", "b c", `Workspace mopani/alpha: label "a": found "b c"; want a value of 1 to 63 letters, digits and -_./`},
	} {
		err := SetLabel(config, test.kind, test.owner, test.name, test.key, test.value)
		if err == nil || err.Error() != test.want {
			t.Errorf("SetLabel error = %v, want %s", err, test.want)
		}
	}
}

// Guards against a panic on any text, and against configurations that Parse or
// FromEntries doesn't restore from the output of Format or Entries.
func FuzzParse(f *testing.F) {
	faulty, err := os.ReadFile("testdata/faulty.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(faulty))
	f.Add(smallFleet)
	f.Add("[[Owner]]\nName = \"a\"\n[Owner.Labels]\nx = \"y\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		config, problems := Parse("fuzz.toml", []byte(text))
		Compile(config, 1)
		if len(problems) > 0 {
			return
		}
		reparsed, problems := Parse("formatted.toml", Format(config))
		if len(problems) > 0 || !reflect.DeepEqual(config, reparsed) {
			t.Errorf("%q is formatted as\n%s\nproblems %v", text, Format(config), problems)
		}
		if restored, err := FromEntries(Entries(config)); err != nil || !reflect.DeepEqual(config, restored) {
			t.Errorf("%q: FromEntries = %+v, %v", text, restored, err)
		}
	})
}
