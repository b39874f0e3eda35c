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

// memoryPercent of the VM's memory is for the heap. The rest is for bytes that
// wait in sockets, and for the program.
const memoryPercent = 70

func newEntry() *subcommand {
	file, variable := "entry.toml", ""
	c := newSubcommand("entry", "runs one entry node on a platform", "  guavagauge entry --config entry.toml",
		func(env environment) (err error) {
			if variable != "" {
				file = os.Getenv(variable)
			}
			return runEntry(env, file)
		})
	c.flags.String(&file, "c", "config", "settings of this node; see docs/configuration.md")
	c.flags.String(&variable, "v", "config-variable", "environment variable that holds the path of the settings")
	return c
}

func runEntry(env environment, file string) (err error) {
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
	// The collector works harder before the process exceeds its VM's memory, which
	// ends it.
	debug.SetMemoryLimit(int64(s.Limits.MemoryMB) << 20 * memoryPercent / 100)
	logger := logging.New(env.stdout, slog.LevelInfo)
	// The node outlives the signal, so that it can stop gracefully.
	ctx, cancel := context.WithCancel(context.WithoutCancel(env.ctx))
	defer cancel()
	n, err := entry.New(ctx, entry.Options{Settings: s, Logger: logger})
	if err != nil {
		return err
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
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
	stop, cancelStop := context.WithTimeout(ctx, s.Bounds.Grace*9/10)
	defer cancelStop()
	n.Stop(stop)
	return nil
}

// logReload reads the settings again and says what a restart would change.
// Addresses and bounds are those of the process's start, so that no connection
// ends.
func logReload(logger *slog.Logger, file string, inForce *settings.EntrySettings) {
	text, err := os.ReadFile(file)
	if err != nil {
		logger.Error("settings not read again", "Error", err)
		return
	}
	changed, problems := settings.ParseEntry(file, text)
	for _, problem := range problems {
		logger.Error("settings faulty", "Problem", problem)
	}
	logger.Info("settings read again", "Changed", !reflect.DeepEqual(changed, inForce))
}
