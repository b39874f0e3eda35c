// Command guavagauge serves language models and plain HTTP services on a fleet
// of limited size. Run it with --help for its subcommands. SIGINT and SIGTERM end
// the context of the subcommand, so that a node stops gracefully. A second signal
// has no further effect.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/guavagauge/guavagauge/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
