// Command guavagauge serves language models and plain services on a limited
// fleet. Run it with --help for its subcommands.
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
