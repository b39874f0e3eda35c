package command

import (
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/dev"
	"github.com/guavagauge/guavagauge/fleet"
)

// explainFlags holds the flags of explain, which describe a request.
type explainFlags struct {
	config    string
	workspace string
	model     string
	method    string
	path      string
}

func newExplain() *subcommand {
	f := &explainFlags{method: "GET"}
	c := newSubcommand("explain", "shows which rule and upstreams apply to a request, and why",
		"  guavagauge explain --workspace north/alpha --model dev-model\n"+
			"  guavagauge explain --workspace south/beta --method POST --path /desk/entries\n"+
			"  guavagauge explain --config fleet.toml --path /desk/fees",
		func(env environment) (err error) { return f.run(env) })
	c.flags.String(&f.config, "c", "config", "fleet configuration; default is the built-in one of dev")
	c.flags.String(&f.workspace, "w", "workspace", "workspace as OWNER/NAME; not needed on open routes")
	c.flags.String(&f.model, "m", "model", "model of a request to the model API")
	c.flags.String(&f.method, "X", "method", "HTTP method of a request to a plain service")
	c.flags.String(&f.path, "p", "path", "path of a request to a plain service")
	return c
}

func (f *explainFlags) run(env environment) (err error) {
	snapshot, err := f.snapshot()
	if err != nil {
		return err
	}
	query, err := f.query(snapshot)
	if err != nil {
		return err
	}
	explanation := snapshot.Explain(query)
	fmt.Fprintln(env.stdout, "rules, in the order in which they are tried:")
	for _, outcome := range explanation.Rules {
		fmt.Fprintf(env.stdout, "  %-4d %-28s %s\n", outcome.Rule.Order, outcome.Rule.ID(), outcome.Reason)
	}
	if !explanation.OK {
		fmt.Fprintln(env.stdout, "no rule applies: the request would be refused as NotRun")
		return nil
	}
	p := explanation.Placement
	fmt.Fprintf(env.stdout, "priority %d, capacity %s, upstream selector %q\n", p.Priority, p.Capacity, p.Rule.Upstreams)
	fmt.Fprintln(env.stdout, "upstreams:")
	for _, outcome := range explanation.Upstreams {
		u := outcome.Upstream
		fmt.Fprintf(env.stdout, "  %-28s %-10s %-12s %s\n", u.QualifiedName(), u.FailureDomain, u.Capacity, outcome.Reason)
	}
	return nil
}

func (f *explainFlags) snapshot() (snapshot *fleet.Snapshot, err error) {
	file, text := "built-in", dev.BuiltinConfig()
	if f.config != "" {
		file = f.config
		if text, err = os.ReadFile(file); err != nil {
			return nil, err
		}
	}
	config, problems := fleet.Parse(file, text)
	if len(problems) > 0 {
		return nil, errors.Errorf("%s (and %d more problems; see guavagauge check)", problems[0], len(problems)-1)
	}
	return fleet.Compile(config, 1), nil
}

func (f *explainFlags) query(snapshot *fleet.Snapshot) (query fleet.Query, err error) {
	if f.workspace != "" {
		workspace, ok := snapshot.Workspace(f.workspace)
		if !ok {
			return query, usageError("--workspace %s: not configured; want OWNER/NAME", f.workspace)
		}
		query.Workspace = workspace
	}
	switch {
	case f.model != "" && f.path != "":
		return query, usageError("--model and --path can't be used together")
	case f.model != "" && query.Workspace == nil:
		return query, usageError("--model requires --workspace")
	case f.model != "":
		model, ok := snapshot.ModelFor(query.Workspace, f.model)
		if !ok {
			return query, usageError("--model %s: workspace %s may use %s", f.model, f.workspace, modelNames(snapshot, query.Workspace))
		}
		query.Target = model
	case f.path != "":
		route, ok := snapshot.MatchRoute(strings.ToUpper(f.method), f.path)
		if !ok {
			return query, usageError("no route for %s %s", strings.ToUpper(f.method), f.path)
		}
		service, ok := snapshot.ServiceFor(route)
		if !ok {
			return query, usageError("%s refers to a service that isn't configured", route.ID())
		}
		query.Route, query.Target = route, service
	default:
		return query, usageError("--model or --path is required")
	}
	return query, nil
}

func modelNames(snapshot *fleet.Snapshot, workspace *fleet.Workspace) (names string) {
	var list []string
	for _, model := range snapshot.Models(workspace) {
		list = append(list, model.Name)
	}
	if len(list) == 0 {
		return "no model"
	}
	return strings.Join(list, ", ")
}
