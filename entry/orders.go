package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/scaling"
)

const (
	// orderRetry is the time until an order is repeated that the platform couldn't
	// fill, or that had no answer.
	orderRetryDelay = 2 * time.Second
	// orderStands is the time until an order is repeated that seems to be carried
	// out, in case a late one undid it.
	orderRepeatInterval = 20 * time.Second
)

type (
	// orders gives the capacity orders of one holder.
	capacityController struct {
		node            *Node
		lastOrders      map[orderKey]orderStatus
		lastStageChange map[string]time.Time // when an upstream was last ordered to change its stage
	}

	// orderKey is what an order is about: one kind of upstream of a service in a
	// failure domain.
	orderKey struct {
		service, domain string
		spot            bool
	}

	orderStatus struct {
		count         int
		accepted      bool
		noneAvailable bool // the platform had none of the kind
		orderedAt     time.Time
	}
)

func newCapacityController(n *Node) (c *capacityController) {
	return &capacityController{node: n, lastOrders: map[orderKey]orderStatus{}, lastStageChange: map[string]time.Time{}}
}

// give orders capacity where the wanted number has changed, or upstreams are
// missing. Orders that fail are repeated.
func (c *capacityController) reconcile(held *lease.Lease) {
	table := c.node.table.Load()
	if table == nil {
		return
	}
	now := time.Now()
	present := map[orderKey]int{}
	engines := map[orderKey][]discovery.Upstream{}
	for _, u := range c.node.upstreams.View(now) {
		if !u.Draining {
			present[orderKey{u.Service, u.FailureDomain, u.Spot}]++
			location := orderKey{service: u.Service, domain: u.FailureDomain}
			engines[location] = append(engines[location], u)
		}
	}
	for _, service := range table.Services {
		if service.Scaling == nil {
			continue
		}
		for domain := range service.Scaling.DomainPrice {
			reserved, spot := orderKey{service.Name, domain, false}, orderKey{service.Name, domain, true}
			wanted := scaling.Decide(service.Scaling, scaling.Counts{Reserved: present[reserved], Spot: present[spot]}, c.unavailable(spot, now))
			local := engines[orderKey{service: service.Name, domain: domain}]
			c.orderStageChange(held, service, local, wanted.Reserved+wanted.Spot-len(local), now)
			for key, count := range map[orderKey]int{reserved: wanted.Reserved, spot: wanted.Spot} {
				c.orderCapacity(held, key, count, present[key], service.Scaling.Boot, now)
			}
		}
	}
}

// dry reports whether the platform lately had no upstreams of a kind.
func (c *capacityController) unavailable(key orderKey, now time.Time) (ok bool) {
	last, known := c.lastOrders[key]
	return known && last.noneAvailable && now.Sub(last.orderedAt) < 2*orderRetryDelay
}

// order gives one order unless it stands. Upstreams that the platform took away
// don't come again by themselves.
func (c *capacityController) orderCapacity(held *lease.Lease, key orderKey, count, present int, bootTime time.Duration, now time.Time) {
	last, known := c.lastOrders[key]
	wait := orderRetryDelay
	if last.accepted && present >= count {
		wait = orderRepeatInterval
	} else if last.accepted {
		wait += bootTime
	}
	if known && last.count == count && now.Sub(last.orderedAt) < wait {
		return
	}
	err := held.Do(held.Context(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return c.node.cloud.Scale(ctx, c.node.fencedHolder(held), platform.ScaleRequest{
			Service: key.service, FailureDomain: key.domain, Count: count, Spot: key.spot,
		})
	})
	// While the lease holds no other token is higher, so ErrFenced says that there
	// are none to be had.
	c.lastOrders[key] = orderStatus{count: count, accepted: err == nil, noneAvailable: errors.Is(err, platform.ErrFenced), orderedAt: now}
	c.node.logger.Info("capacity ordered", "Service", key.service, "Domain", key.domain, "Spot", key.spot,
		"Count", count, "Token", held.Epoch(), "Error", err)
}

// stage gives at most one order to change a stage in a failure domain, unless
// one is under way there.
func (c *capacityController) orderStageChange(held *lease.Lease, service routing.Service, engines []discovery.Upstream, missing int, now time.Time) {
	if service.Engine == nil {
		return
	}
	for _, engine := range engines {
		if now.Sub(c.lastStageChange[engine.ID]) < service.Engine.StageSwitch+orderRetryDelay {
			return
		}
	}
	engine, stage, ok := scaling.NextStageChange(engines, missing)
	if !ok {
		return
	}
	c.lastStageChange[engine.ID] = now
	err := held.Do(held.Context(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return c.node.cloud.SetStage(ctx, c.node.fencedHolder(held), engine, stage)
	})
	c.node.logger.Info("stage ordered", "Upstream", engine.ID, "Domain", engine.FailureDomain, "From", engine.Stage, "To", stage,
		"Token", held.Epoch(), "Error", err)
}
