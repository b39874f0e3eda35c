package command

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/logging"
	"github.com/guavagauge/guavagauge/node"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/transport"
)

func newNode() *subcommand {
	file := "node.toml"
	c := newSubcommand("node", "runs one node", "  guavagauge node --config node.toml",
		func(env environment) (err error) { return runNode(env, file) })
	c.flags.String(&file, "c", "config", "settings file of this node; see docs/configuration.md")
	return c
}

// runNode runs a node until env.ctx ends. It uses only the first of the platform's
// addresses.
func runNode(env environment, file string) (err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s, problems := settings.Parse(file, text)
	for _, problem := range problems {
		fmt.Fprintln(env.stderr, problem)
	}
	if len(problems) > 0 {
		return errors.Errorf("%s: %d problems", file, len(problems))
	}
	logger := logging.New(env.stderr, slog.LevelInfo)
	// The end of env.ctx, as on a signal, doesn't cancel the node's context, so
	// that the node can stop gracefully.
	ctx, cancel := context.WithCancel(context.WithoutCancel(env.ctx))
	defer cancel()
	options := node.Options{Settings: s, Network: transport.TCP{}, Logger: logger}
	options.Store = storeClient(s)
	if len(s.Platform.Addresses) > 0 {
		options.Platform = provider.NewClient(transport.TCP{}, s.Platform.Addresses[0], provider.Options{Timeout: s.Platform.CallTimeout})
	}
	n, err := node.New(ctx, options)
	if err != nil {
		return err
	}
	logger.Info("started", "Node", n.Name(), "Caller", n.CallerAddress(), "Peer", n.PeerAddress(), "Operator", n.OperatorAddress())
	<-env.ctx.Done()
	stopCtx, stopCancel := context.WithTimeout(ctx, s.Intervals.ShutdownDeadline)
	defer stopCancel()
	return n.Stop(stopCtx)
}

// storeClient returns a client of one of the store's addresses. The address
// depends on the node's name, so that the nodes spread over all of them. The
// client doesn't use another address if this one fails.
func storeClient(s *settings.Settings) store.Client {
	sum := 0
	for _, b := range []byte(s.Name) {
		sum += int(b)
	}
	address := s.Store.Addresses[sum%len(s.Store.Addresses)]
	return store.NewHTTP(transport.TCP{}, address, s.Name)
}
