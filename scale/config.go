package scale

import (
	"fmt"
	"net/netip"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/selector"
)

// Target has the sizes of section 1.4 of docs/design.md. Small allows for many
// nodes in one process, each of which holds a copy of the configuration.
var (
	Target = Sizes{Upstreams: 3300, Workspaces: 4200, Models: 29}
	Small  = Sizes{Upstreams: 16, Workspaces: 8, Models: 2}
)

// Sizes holds the numbers of objects in a configuration.
type Sizes struct{ Upstreams, Workspaces, Models int }

// Config returns a configuration of these sizes for two owners. The failure domains
// and regions of the upstreams are those of a Cluster of more than 9 nodes.
func (s Sizes) Config() (c *fleet.Config) {
	c = &fleet.Config{Owners: []fleet.Owner{{Name: "mopani"}, {Name: "mwakyusa"}}}
	meta := func(kind string, i int, labels selector.Labels) fleet.Meta {
		return fleet.Meta{Owner: c.Owners[i%2].Name, Name: fmt.Sprint(kind, "-", i), Labels: labels}
	}
	for i := range s.Upstreams {
		c.Upstreams = append(c.Upstreams, fleet.Upstream{
			Meta:          meta("upstream", i, selector.Labels{"pool": fmt.Sprint("p", i%7)}),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 9000),
			FailureDomain: fmt.Sprint("domain-", i%4), Region: fmt.Sprint("region-", i%2),
			Capacity: fleet.Reserved, Fencing: fleet.FencingChecked, Slots: 8, Pieces: 64, State: fleet.Active,
		})
	}
	for i := range s.Workspaces {
		workspace := meta("workspace", i, selector.Labels{"tier": fmt.Sprint("t", i%5)})
		c.Workspaces = append(c.Workspaces, fleet.Workspace{Meta: workspace, Weight: 1})
		c.Keys = append(c.Keys, fleet.Key{
			Meta: meta("key", i, nil), Workspace: workspace.Name, SHA256: fleet.HashKey(fmt.Sprint("secret-", i)),
		})
	}
	for i := range s.Models {
		c.Models = append(c.Models, fleet.Model{Meta: meta("model", i, nil)})
	}
	for i := range c.Owners {
		c.Rules = append(c.Rules, fleet.Rule{Meta: meta("rule", i, nil), Order: i, Capacity: fleet.AnyCapacity})
	}
	return c
}
