// Package command is the command line of guavagauge.
//
// # Usage
//
//	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
//
// The exit status is 0 on success, 1 when the command failed and 2 when it was
// called wrongly. Errors go to the error stream.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2

	// errUsage marks errors in how a command was called.
	errUsage = errors.ConstError("wrong usage")
)

type (
	// environment is what a command may use of its process.
	environment struct {
		ctx    context.Context
		stdout io.Writer
		stderr io.Writer
	}

	// subcommand is one command with its flags.
	subcommand struct {
		flags *flaggy.Subcommand
		run   func(env environment) (err error)
		sub   []*subcommand
	}
)

// Run parses the arguments, runs the command that they name and returns the
// exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) (status int) {
	parser := flaggy.NewParser("guavagauge")
	parser.Description = "serves language models and plain services on a limited fleet"
	parser.AdditionalHelpAppend = "\nExamples:\n  guavagauge dev\n  guavagauge check fleet.toml\n  guavagauge node --config node.toml\n\n" +
		"Each command has its own help: guavagauge COMMAND --help"
	parser.ShowCompletion = false
	parser.DisableShowVersionWithVersion()
	commands := []*subcommand{
		newDev(), newNode(), newStandin(), newCheck(), newExplain(), newApply(), newGet(), newHistory(), newRollback(),
		newLabel(), newKey(), newExperiment(),
	}
	for _, c := range commands {
		attach(&parser.Subcommand, c)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, "guavagauge:", err)
		return exitUsage
	}
	chosen := used(commands)
	if chosen == nil || chosen.run == nil {
		parser.ShowHelp()
		fmt.Fprintln(stderr, "guavagauge: name a command")
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
	for _, sub := range c.sub {
		attach(c.flags, sub)
	}
}

// used returns the innermost command that the arguments named.
func used(commands []*subcommand) (chosen *subcommand) {
	for _, c := range commands {
		if !c.flags.Used {
			continue
		}
		if inner := used(c.sub); inner != nil {
			return inner
		}
		return c
	}
	return nil
}

func usageError(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errUsage)
}
