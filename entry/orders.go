package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/scaling"
)

const (
	// orderRetryDelay is the time after which an order that failed, or that got no
	// response, is repeated.
	orderRetryDelay = 2 * time.Second
	// orderRepeatInterval is the time after which an order is repeated although the
	// upstreams are there, in case an older order arrived late and replaced it.
	orderRepeatInterval = 20 * time.Second
)

type (
	// capacityController orders upstreams and stage changes from the platform. Each
	// term of a leader has its own.
	capacityController struct {
		node            *Node
		lastOrders      map[orderKey]orderStatus
		lastStageChange map[string]time.Time // time of the last order, by upstream ID
	}

	// orderKey identifies what an order sets the number of: reserved or spot
	// upstreams of a service in a failure domain.
	orderKey struct {
		service, domain string
		spot            bool
	}

	// orderStatus is the last order for an orderKey and its result.
	orderStatus struct {
		count         int
		accepted      bool
		noneAvailable bool // the platform had no more upstreams of the kind
		orderedAt     time.Time
	}
)

func newCapacityController(n *Node) (c *capacityController) {
	return &capacityController{node: n, lastOrders: map[orderKey]orderStatus{}, lastStageChange: map[string]time.Time{}}
}

// reconcile orders capacity where the wanted number of upstreams has changed or
// upstreams are missing, and stage changes of engines. It is called repeatedly,
// which also repeats orders that failed.
func (c *capacityController) reconcile(held *lease.Lease) {
	table := c.node.table.Load()
	if table == nil {
		return
	}
	now := time.Now()
	present := map[orderKey]int{}
	engines := map[orderKey][]discovery.Upstream{} // reserved and spot ones together, under the reserved key
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

// unavailable reports whether the platform recently had no upstreams of a kind.
func (c *capacityController) unavailable(key orderKey, now time.Time) (ok bool) {
	last, known := c.lastOrders[key]
	return known && last.noneAvailable && now.Sub(last.orderedAt) < 2*orderRetryDelay
}

// orderCapacity orders a number of upstreams, unless the last order was the same
// and is too recent to be repeated. The platform doesn't replace upstreams that it
// reclaimed, so the order is repeated when some are missing.
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
	// While this node holds the lease, no other token is higher. ErrFenced then
	// means that the platform has no more upstreams of the kind.
	c.lastOrders[key] = orderStatus{count: count, accepted: err == nil, noneAvailable: errors.Is(err, platform.ErrFenced), orderedAt: now}
	c.node.logger.Info("capacity ordered", "Service", key.service, "Domain", key.domain, "Spot", key.spot,
		"Count", count, "Token", held.Epoch(), "Error", err)
}

// orderStageChange orders at most one engine of a service in a failure domain to
// change its stage, and none while such a change is in progress there.
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
	if condition, _ := c.node.dispatcher.Condition(engine.ID, now); condition >= dispatch.Paused {
		return
	}
	c.lastStageChange[engine.ID] = now
	err := held.Do(held.Context(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return c.node.cloud.SetStage(ctx, c.node.fencedHolder(held), engine, stage)
	})
	c.node.logger.Info("stage change ordered", "Upstream", engine.ID, "Domain", engine.FailureDomain, "From", engine.Stage, "To", stage,
		"Token", held.Epoch(), "Error", err)
}
