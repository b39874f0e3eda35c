// Package command implements the command line of guavagauge.
//
// # Usage
//
//	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
//
// The exit status is 0 on success, 1 when the command failed and 2 when its
// arguments or environment are wrong. Errors are printed to standard error.
//
// A change that was accepted but isn't in force on all nodes within --wait also
// gives status 1; it isn't undone, and guavagauge history lists it. If the node
// fails during a change, the status is 1 too, and the change may have been
// accepted. The commands node, entry, dev and standin run until ctx ends, as on a
// signal; the nodes then stop gracefully. Program cmd/guavagauge calls Run.
package command

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/fleet"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2

	// errUsage marks errors in the arguments or environment of a command.
	errUsage = errors.ConstError("wrong usage")
)

type (
	// environment holds the context and output streams of a command.
	environment struct {
		ctx    context.Context
		stdout io.Writer
		stderr io.Writer
	}

	// subcommand is a command with its flags. A command that only groups its
	// subcommands has no run function.
	subcommand struct {
		flags       *flaggy.Subcommand
		run         func(env environment) (err error)
		subcommands []*subcommand
	}
)

// Run parses the arguments, runs the command that they name and returns the
// exit status. The flag library ends the process itself after --help and on some
// invalid flags.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) (status int) {
	parser := flaggy.NewParser("guavagauge")
	parser.Description = "serves language models and plain HTTP services on a fleet of limited size"
	parser.AdditionalHelpAppend = "\nExamples:\n  guavagauge dev\n  guavagauge check fleet.toml\n  guavagauge node --config node.toml\n\n" +
		"Each command has its own help: guavagauge COMMAND --help"
	parser.ShowCompletion = false
	parser.DisableShowVersionWithVersion()
	commands := []*subcommand{
		newDev(), newNode(), newEntry(), newStandin(), newCheck(), newExplain(), newApply(), newGet(), newHistory(), newRollback(),
		newLabel(), newKey(), newExperiment(),
	}
	for _, c := range commands {
		attach(&parser.Subcommand, c)
	}
	if err := checkName(commands, args); err != nil {
		fmt.Fprintln(stderr, "guavagauge:", err)
		return exitUsage
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, "guavagauge:", err)
		return exitUsage
	}
	chosen := usedCommand(commands)
	if chosen == nil || chosen.run == nil {
		parser.ShowHelp()
		fmt.Fprintln(stderr, "guavagauge: no command given")
		return exitUsage
	}
	err := chosen.run(environment{ctx: ctx, stdout: stdout, stderr: stderr})
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		fmt.Fprintln(stderr, "guavagauge:", err)
		return exitUsage
	default:
		fmt.Fprintln(stderr, "guavagauge:", err)
		return exitFailed
	}
}

func newSubcommand(name, description, examples string, run func(env environment) (err error)) *subcommand {
	flags := flaggy.NewSubcommand(name)
	flags.Description = description
	flags.AdditionalHelpAppend = "\nExamples:\n" + examples
	return &subcommand{flags: flags, run: run}
}

func attach(parent *flaggy.Subcommand, c *subcommand) {
	parent.AttachSubcommand(c.flags, 1)
	for _, sub := range c.subcommands {
		attach(c.flags, sub)
	}
}

// checkName returns an error for an unknown command. The flag library would print
// the known commands on standard output, without the unknown name. Run handles
// missing commands itself.
func checkName(commands []*subcommand, args []string) (err error) {
	if len(commands) == 0 || len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return nil
	}
	var names []string
	for _, c := range commands {
		if c.flags.Name == args[0] {
			return checkName(c.subcommands, args[1:])
		}
		names = append(names, c.flags.Name)
	}
	hint := ""
	if near := fleet.Suggest(args[0], names); near != "" {
		hint = fmt.Sprintf("; did you mean %q?", near)
	}
	return usageError("unknown command %q; want one of %s%s", args[0], strings.Join(names, ", "), hint)
}

// usedCommand returns the innermost command that the arguments name.
func usedCommand(commands []*subcommand) (chosen *subcommand) {
	for _, c := range commands {
		if !c.flags.Used {
			continue
		}
		if inner := usedCommand(c.subcommands); inner != nil {
			return inner
		}
		return c
	}
	return nil
}

func usageError(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errUsage)
}
