package command

import (
	"net/netip"
	"os"

	"github.com/guavagauge/guavagauge/dev"
)

func newDev() *subcommand {
	listen, nodes, config := "127.0.0.1:8080", 3, ""
	verbose := false
	c := newSubcommand("dev", "runs nodes with stand-ins for the store, the platform and all upstreams in one process",
		"  guavagauge dev\n  guavagauge dev --listen 127.0.0.1:9090 --nodes 5\n  guavagauge dev --config fleet.toml",
		func(env environment) (err error) {
			address, err := netip.ParseAddrPort(listen)
			if err != nil {
				return usageError("--listen %s: want an IP address and a port, such as 127.0.0.1:8080", listen)
			}
			options := dev.Options{Listen: address, Nodes: nodes, Stdout: env.stdout, Stderr: env.stderr, Verbose: verbose}
			if config != "" {
				options.ConfigFile = config
				if options.Config, err = os.ReadFile(config); err != nil {
					return err
				}
			}
			return dev.Run(env.ctx, options)
		})
	c.flags.String(&listen, "l", "listen", "address on which the first node serves callers")
	c.flags.Int(&nodes, "n", "nodes", "number of nodes, 1 to 32")
	c.flags.String(&config, "c", "config", "fleet configuration instead of the built-in one; stand-ins replace its upstreams")
	c.flags.Bool(&verbose, "v", "verbose", "log every request to standard error")
	return c
}
