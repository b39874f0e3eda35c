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
	orderRetry = 2 * time.Second
	// orderStands is the time until an order is repeated that seems to be carried
	// out, in case a late one undid it.
	orderStands = 20 * time.Second
)

type (
	// orders gives the capacity orders of one holder.
	orders struct {
		node   *Node
		given  map[orderKey]given
		staged map[string]time.Time // when an upstream was last ordered to change its stage
	}

	// orderKey is what an order is about: one kind of upstream of a service in a
	// failure domain.
	orderKey struct {
		service, domain string
		spot            bool
	}

	given struct {
		count int
		ok    bool
		none  bool // the platform had none of the kind
		at    time.Time
	}
)

func newOrders(n *Node) (o *orders) {
	return &orders{node: n, given: map[orderKey]given{}, staged: map[string]time.Time{}}
}

// give orders capacity where the wanted number has changed, or upstreams are
// missing. Orders that fail are repeated.
func (o *orders) give(held *lease.Lease) {
	table := o.node.table.Load()
	if table == nil {
		return
	}
	now := time.Now()
	present := map[orderKey]int{}
	engines := map[orderKey][]discovery.Upstream{}
	for _, u := range o.node.roster.View(now) {
		if !u.Draining {
			present[orderKey{u.Service, u.FailureDomain, u.Spot}]++
			place := orderKey{service: u.Service, domain: u.FailureDomain}
			engines[place] = append(engines[place], u)
		}
	}
	for _, service := range table.Services {
		if service.Scaling == nil {
			continue
		}
		for domain := range service.Scaling.DomainPrice {
			reserved, spot := orderKey{service.Name, domain, false}, orderKey{service.Name, domain, true}
			want := scaling.Decide(service.Scaling, scaling.Counts{Reserved: present[reserved], Spot: present[spot]}, o.dry(spot, now))
			local := engines[orderKey{service: service.Name, domain: domain}]
			o.stage(held, service, local, want.Reserved+want.Spot-len(local), now)
			for key, count := range map[orderKey]int{reserved: want.Reserved, spot: want.Spot} {
				o.order(held, key, count, present[key], service.Scaling.Boot, now)
			}
		}
	}
}

// dry reports whether the platform lately had no upstreams of a kind.
func (o *orders) dry(key orderKey, now time.Time) (ok bool) {
	last, known := o.given[key]
	return known && last.none && now.Sub(last.at) < 2*orderRetry
}

// order gives one order unless it stands. Upstreams that the platform took away
// don't come again by themselves.
func (o *orders) order(held *lease.Lease, key orderKey, count, present int, boot time.Duration, now time.Time) {
	last, known := o.given[key]
	wait := orderRetry
	if last.ok && present >= count {
		wait = orderStands
	} else if last.ok {
		wait += boot
	}
	if known && last.count == count && now.Sub(last.at) < wait {
		return
	}
	err := held.Do(held.Context(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, dutyCall)
		defer cancel()
		return o.node.cloud.Scale(ctx, o.node.authority(held), platform.ScaleRequest{
			Service: key.service, FailureDomain: key.domain, Count: count, Spot: key.spot,
		})
	})
	// While the lease holds no other token is higher, so ErrFenced says that there
	// are none to be had.
	o.given[key] = given{count: count, ok: err == nil, none: errors.Is(err, platform.ErrFenced), at: now}
	o.node.logger.Info("capacity ordered", "Service", key.service, "Domain", key.domain, "Spot", key.spot,
		"Count", count, "Token", held.Epoch(), "Error", err)
}

// stage gives at most one order to change a stage in a failure domain, unless
// one is under way there.
func (o *orders) stage(held *lease.Lease, service routing.Service, engines []discovery.Upstream, missing int, now time.Time) {
	if service.Engine == nil {
		return
	}
	for _, engine := range engines {
		if now.Sub(o.staged[engine.ID]) < service.Engine.StageSwitch+orderRetry {
			return
		}
	}
	engine, stage, ok := scaling.NextStageChange(engines, missing)
	if !ok {
		return
	}
	o.staged[engine.ID] = now
	err := held.Do(held.Context(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, dutyCall)
		defer cancel()
		return o.node.cloud.SetStage(ctx, o.node.authority(held), engine, stage)
	})
	o.node.logger.Info("stage ordered", "Upstream", engine.ID, "Domain", engine.FailureDomain, "From", engine.Stage, "To", stage,
		"Token", held.Epoch(), "Error", err)
}
