package command

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/entry"
	"github.com/guavagauge/guavagauge/logging"
	"github.com/guavagauge/guavagauge/settings"
)

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
	logger := logging.New(env.stdout, slog.LevelInfo)
	// The node outlives the signal, so that it can stop gracefully.
	ctx, cancel := context.WithCancel(context.WithoutCancel(env.ctx))
	defer cancel()
	n, err := entry.New(ctx, entry.Options{Settings: s, Logger: logger})
	if err != nil {
		return err
	}
	logger.Info("started", "Node", s.Name, "Caller", n.Addresses().Caller)
	<-env.ctx.Done()
	stop, cancelStop := context.WithTimeout(ctx, s.Bounds.Grace*9/10)
	defer cancelStop()
	n.Stop(stop)
	return nil
}
