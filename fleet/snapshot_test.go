package fleet

import (
	"sync"
	"testing"
)

const smallFleet = `
[[Owner]]
Name = "mwakyusa"

[[Owner]]
Name = "mopani"

[[Upstream]]
Owner = "mwakyusa"
Name = "engine-1"
Address = "127.0.0.1:9001"
FailureDomain = "mbeya-a"
Region = "mbeya"
Labels = { pool = "rulings" }

[[Upstream]]
Owner = "mopani"
Name = "engine-1"
Address = "127.0.0.1:9002"
FailureDomain = "limpopo-a"
Region = "limpopo"
Capacity = "Reclaimable"

[[Upstream]]
Owner = "mopani"
Name = "desk-1"
Service = "desk"
Address = "127.0.0.1:9003"
FailureDomain = "limpopo-a"
Region = "limpopo"

[[Upstream]]
Owner = "mopani"
Name = "desk-2"
Service = "desk"
Address = "127.0.0.1:9004"
FailureDomain = "kzn-a"
Region = "kzn"
Capacity = "Reclaimable"

[[Upstream]]
Owner = "mopani"
Name = "desk-3"
Service = "desk"
Address = "127.0.0.1:9005"
FailureDomain = "kzn-a"
Region = "kzn"
State = "Draining"

[[Workspace]]
Owner = "mwakyusa"
Name = "alpha"
Models = "size = large"
Labels = { tier = "gold" }

[[Workspace]]
Owner = "mopani"
Name = "alpha"

[[Key]]
Owner = "mwakyusa"
Name = "k1"
Workspace = "alpha"
SHA256 = "f7fe60cc1a2ee4d4e8e4e51a8e5f4f7d0d3e6a0f1d9f2f7b7d06b6f76a5a2c11"

[[Key]]
Owner = "mopani"
Name = "k1"
Workspace = "alpha"
SHA256 = "677509799af78b2efa2f2af71d0f906e0a0c50c048efd3b515625f788e92b99a"

[[Model]]
Owner = "mwakyusa"
Name = "rulings"
Labels = { size = "large" }

[[Model]]
Owner = "mwakyusa"
Name = "notes"
Labels = { size = "small" }

[[Model]]
Owner = "mopani"
Name = "rulings"

[[Service]]
Owner = "mopani"
Name = "desk"

[[Route]]
Owner = "mopani"
Name = "draw"
Path = "/desk/draw"
Methods = ["GET", "HEAD"]
Service = "desk"
Repeat = "Idempotent"

[[Route]]
Owner = "mopani"
Name = "entries"
Path = "/desk/"
Methods = ["POST"]
Service = "desk"

[[Route]]
Owner = "mopani"
Name = "fees"
Path = "/desk/fees"
Service = "desk"
Open = true
Deadline = "2s"
Labels = { open = "yes" }

[[Rule]]
Owner = "mopani"
Name = "rest"
Order = 100

[[Rule]]
Owner = "mwakyusa"
Name = "gold"
Order = 10
Workspaces = "tier = gold"
Upstreams = "failure-domain in (mbeya-a, limpopo-a)"
Priority = 5
Capacity = "Reserved"
`

func compileSmallFleet(t testing.TB) *Snapshot {
	t.Helper()
	config, problems := Parse("small.toml", []byte(smallFleet))
	for _, p := range problems {
		t.Fatal(p)
	}
	return Compile(config, 7)
}

// Guards against a secret being accepted for another owner's workspace of the
// same name, and against unknown secrets or keys being accepted.
func TestAuthenticate(t *testing.T) {
	s := compileSmallFleet(t)
	// The secret of the key mopani/k1.
	workspace, id, ok := s.Authenticate("alpha-key")
	if !ok || workspace.QualifiedName() != "mopani/alpha" || id != (ID{"mopani", KindKey, "k1"}) || !s.KeyActive(id) {
		t.Errorf("Authenticate = %v, %v, %v", workspace, id, ok)
	}
	if _, _, ok := s.Authenticate("other"); ok {
		t.Error("Authenticate accepted an unknown secret")
	}
	if s.KeyActive(ID{"mopani", KindKey, "k2"}) {
		t.Error("KeyActive = true for a key that isn't configured")
	}
}

// Guards against a prefix route matching before an exact one, against a route
// matching methods that it doesn't list, and against a match for a path that a
// service could resolve to that of another route.
func TestMatchRoute(t *testing.T) {
	s := compileSmallFleet(t)
	for _, test := range []struct{ method, path, want string }{
		{"GET", "/desk/draw", "draw"},
		{"HEAD", "/desk/draw", "draw"},
		{"POST", "/desk/draw", "entries"},
		{"POST", "/desk/", "entries"},
		{"POST", "/desk", ""},
		{"GET", "/desk/fees", "fees"},
		{"GET", "/desk/fees/", ""},
		{"DELETE", "/desk/draw", ""},
		{"GET", "/", ""},
		{"GET", "", ""},
		{"POST", "/desk/a/../fees", ""},
		{"POST", "/desk/./a", ""},
		{"POST", "/desk//a", ""},
		{"POST", "/desk/a/..", ""},
		{"POST", "/desk/..a/.b/c..", "entries"},
	} {
		name := ""
		if route, ok := s.MatchRoute(test.method, test.path); ok {
			name = route.Name
		}
		if name != test.want {
			t.Errorf("MatchRoute(%q, %q) = %q, want %q", test.method, test.path, name, test.want)
		}
	}
}

// Guards against a name being resolved to another owner's model, and against a
// workspace using models that its selector excludes.
func TestModelFor(t *testing.T) {
	s := compileSmallFleet(t)
	first, _ := s.Workspace("mwakyusa/alpha")
	second, _ := s.Workspace("mopani/alpha")
	for _, test := range []struct {
		workspace *Workspace
		name      string
		want      ID
	}{
		{first, "rulings", ID{"mwakyusa", KindModel, "rulings"}},
		{first, "notes", ID{}},
		{second, "rulings", ID{"mopani", KindModel, "rulings"}},
		{second, "notes", ID{}},
	} {
		model, ok := s.ModelFor(test.workspace, test.name)
		if ok != (test.want != ID{}) || ok && model.ID() != test.want {
			t.Errorf("ModelFor(%s, %s) = %v, %v", test.workspace.ID(), test.name, model, ok)
		}
	}
	if models := s.Models(first); len(models) != 1 || models[0].Name != "rulings" {
		t.Errorf("Models = %v", models)
	}
}

// Guards against placing a request on the wrong upstreams: those of another
// service, draining ones, ones that the rule doesn't select, or reclaimable ones
// if the call isn't idempotent.
func TestDecide(t *testing.T) {
	s := compileSmallFleet(t)
	gold, _ := s.Workspace("mwakyusa/alpha")
	other, _ := s.Workspace("mopani/alpha")
	rulings, _ := s.ModelFor(gold, "rulings")
	draw, _ := s.MatchRoute("GET", "/desk/draw")
	entries, _ := s.MatchRoute("POST", "/desk/entries")
	fees, _ := s.MatchRoute("GET", "/desk/fees")
	desk, _ := s.ServiceFor(draw)
	for name, test := range map[string]struct {
		query     Query
		rule      string
		upstreams []string
	}{
		"model, gold":  {Query{gold, nil, rulings}, "gold", []string{"mwakyusa/engine-1"}},
		"model, other": {Query{other, nil, rulings}, "rest", []string{"mopani/engine-1", "mwakyusa/engine-1"}},
		"idempotent":   {Query{other, draw, desk}, "rest", []string{"mopani/desk-1", "mopani/desk-2"}},
		"never":        {Query{other, entries, desk}, "rest", []string{"mopani/desk-1"}},
		"open":         {Query{nil, fees, desk}, "rest", []string{"mopani/desk-1"}},
	} {
		placement, ok := s.Decide(test.query)
		if !ok || placement.Rule.Name != test.rule || !haveNames(placement.Upstreams, test.upstreams) {
			t.Errorf("%s: Decide = %+v, %v", name, placement, ok)
		}
	}
}

// Guards against a data race when concurrent requests are the first to compute a
// list of candidates, and against one of them using an incomplete list.
func TestDecideConcurrently(t *testing.T) {
	for range 20 {
		s := compileSmallFleet(t)
		entries, _ := s.MatchRoute("POST", "/desk/entries")
		desk, _ := s.ServiceFor(entries)
		w, _ := s.Workspace("mopani/alpha")
		rulings, _ := s.ModelFor(w, "rulings")
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				call, _ := s.Decide(Query{w, entries, desk})
				generation, _ := s.Decide(Query{w, nil, rulings})
				if len(call.Upstreams) != 1 || len(generation.Upstreams) != 2 {
					t.Errorf("candidates: %d and %d, want 1 and 2", len(call.Upstreams), len(generation.Upstreams))
				}
			})
		}
		group.Wait()
	}
}

func haveNames(upstreams []*Upstream, qualifiedNames []string) bool {
	found := map[string]bool{}
	for _, u := range upstreams {
		found[u.QualifiedName()] = true
	}
	for _, name := range qualifiedNames {
		if !found[name] {
			return false
		}
	}
	return len(found) == len(qualifiedNames) && len(upstreams) == len(qualifiedNames)
}
