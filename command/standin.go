package command

import (
	"net/netip"
	"os"

	"github.com/guavagauge/guavagauge/dev"
)

func newStandin() *subcommand {
	storeAddress, platformAddress, config := "127.0.0.1:9001", "127.0.0.1:9002", ""
	c := newSubcommand("standin", "serves stand-ins for the store, the platform and all upstreams, to try out nodes",
		"  guavagauge standin\n  guavagauge standin --config fleet.toml --store 127.0.0.1:9001 --platform 127.0.0.1:9002",
		func(env environment) (err error) {
			options := dev.StandinOptions{ConfigFile: config, Stdout: env.stdout, Stderr: env.stderr}
			if options.Store, err = netip.ParseAddrPort(storeAddress); err != nil {
				return usageError("--store %s: want an IP address and a port", storeAddress)
			}
			if options.Platform, err = netip.ParseAddrPort(platformAddress); err != nil {
				return usageError("--platform %s: want an IP address and a port", platformAddress)
			}
			if config != "" {
				if options.Config, err = os.ReadFile(config); err != nil {
					return err
				}
			}
			return dev.RunStandin(env.ctx, options)
		})
	c.flags.String(&storeAddress, "s", "store", "address on which to serve the store")
	c.flags.String(&platformAddress, "p", "platform", "address on which to serve the platform")
	c.flags.String(&config, "c", "config", "fleet configuration instead of the built-in one")
	return c
}
