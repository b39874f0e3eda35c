package command

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/entry"
	"github.com/guavagauge/guavagauge/logging"
	"github.com/guavagauge/guavagauge/settings"
)

// memoryLimitPercent is the Go memory limit in percent of the VM's memory. The
// rest is for socket buffers and for the program's code.
const memoryLimitPercent = 70

// newEntry returns the entry command. If both flags are given, the variable
// takes precedence over the file.
func newEntry() *subcommand {
	file, variable := "entry.toml", ""
	c := newSubcommand("entry", "runs one entry node on a platform", "  guavagauge entry --config entry.toml",
		func(env environment) (err error) {
			if variable != "" {
				file = os.Getenv(variable)
			}
			return runEntry(env, file)
		})
	c.flags.String(&file, "c", "config", "settings file of this node; see docs/configuration.md")
	c.flags.String(&variable, "v", "config-variable", "environment variable that holds the path of the settings file")
	return c
}

// runEntry runs an entry node until env.ctx ends. Unlike in runNode, requests that
// the stop cuts off don't change the exit status.
func runEntry(env environment, file string) (err error) {
	// Without a handler, SIGHUP ends the process, also while it starts.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s, problems := settings.ParseEntry(file, text)
	for _, problem := range problems {
		fmt.Fprintln(env.stderr, problem)
	}
	if len(problems) > 0 {
		return errors.Errorf("%s: %d problems", file, len(problems))
	}
	// With this limit, the garbage collector runs more often before the process
	// exceeds the VM's memory and is killed.
	debug.SetMemoryLimit(int64(s.Limits.MemoryMB) << 20 * memoryLimitPercent / 100)
	logger := logging.New(env.stdout, slog.LevelInfo)
	// The end of env.ctx, as on a signal, doesn't cancel the node's context, so
	// that the node can stop gracefully.
	ctx, cancel := context.WithCancel(context.WithoutCancel(env.ctx))
	defer cancel()
	n, err := entry.New(ctx, entry.Options{Settings: s, Logger: logger})
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-hangup:
				logReload(logger, file, s)
			case <-ctx.Done():
				return
			}
		}
	}()
	logger.Info("started", "Node", s.Name, "Caller", n.Addresses().Caller)
	<-env.ctx.Done()
	// A tenth of the time until SIGKILL is left for the rest of the exit.
	stopCtx, stopCancel := context.WithTimeout(ctx, s.Bounds.Grace*9/10)
	defer stopCancel()
	n.Stop(stopCtx)
	return nil
}

// logReload reads the settings file again and logs its problems and whether it
// has changed. It doesn't apply the new settings: the node keeps the addresses
// and bounds that it started with, so that no connection ends.
func logReload(logger *slog.Logger, file string, current *settings.EntrySettings) {
	text, err := os.ReadFile(file)
	if err != nil {
		logger.Error("cannot read settings file", "Error", err)
		return
	}
	latest, problems := settings.ParseEntry(file, text)
	for _, problem := range problems {
		logger.Error("problem in settings file", "Problem", problem)
	}
	logger.Info("settings file read again; changes apply after a restart", "Changed", !reflect.DeepEqual(latest, current))
}
