package routing_test

import (
	"testing"

	"github.com/guavagauge/guavagauge/routing"
)

func TestRouteLongestPrefix(t *testing.T) {
	table := routing.NewTable(routing.Config{Routes: []routing.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "lots", Host: "a.example", Prefix: "/lots/"},
		{Name: "deep", Host: "a.example", Prefix: "/lots/deep/"},
		{Name: "other", Host: "b.example", Prefix: "/lots/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/x", "all"},
		{"a.example", "/lots", "all"},
		{"a.example", "/lots/", "lots"},
		{"a.example:8080", "/lots/1", "lots"},
		{"A.EXAMPLE", "/lots/deep/1", "deep"},
		{"a.example", "/lots/deeper", "lots"},
		{"b.example", "/lots/1", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/lots/", ""},
		{"a.example", "", ""},
	} {
		name := ""
		if route, ok := table.Route(c.host, c.path); ok {
			name = route.Name
		}
		if name != c.want {
			t.Errorf("%s%s routed to %q, want %q", c.host, c.path, name, c.want)
		}
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	route := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.9: "b", 0.999: "b"} {
		if got := route.PickService(draw); got != want {
			t.Errorf("draw %v picked service %q, want %q", draw, got, want)
		}
	}
}

func TestWorkspaceByKey(t *testing.T) {
	table := routing.NewTable(routing.Config{Workspaces: []routing.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}})
	if w, ok := table.Workspace("k2"); !ok || w.Name != "w" {
		t.Errorf("key k2 belongs to %v, want workspace w", w)
	}
	if _, ok := table.Workspace(""); ok {
		t.Error("an empty key belongs to a workspace")
	}
}
