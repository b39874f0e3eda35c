package quota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/guavagauge/guavagauge/quota"
)

const (
	step       = 5 * time.Millisecond
	gossipTick = 25 * time.Millisecond // as in package entry, as the intervals below
	remoteTick = 250 * time.Millisecond
	localDelay = 2 * time.Millisecond
	farDelay   = 30 * time.Millisecond
)

type (
	// fleet simulates the accounts of several nodes that exchange reports as the nodes
	// of package entry do, and keeps what they grant. Its nodes have one workspace, w.
	fleet struct {
		now     time.Duration
		options quota.Options
		quota   quota.Quota
		random  *rand.Rand
		nodes   []*node
		packets map[time.Duration][]packet // by the step of their arrival
		loss    float64                    // share of packets that are lost; as many arrive twice
		cut     func(from, to *node) bool  // whether packets are lost
		grants  []grant
		refused []time.Duration
	}

	node struct {
		name                  string
		accounts              *quota.Accounts
		domain                int
		lastLocal, lastRemote time.Duration
		pending               []relayed
		down                  bool // killed or paused
	}

	relayed struct {
		sender  *node
		reports quota.Reports
	}

	packet struct {
		from, to  *node
		own       quota.Reports
		relayed   []relayed
		aggregate bool
	}

	grant struct {
		at    time.Duration
		units int64
	}
)

// newFleet returns nodes in domains that have listed each other and have the quotas.
func newFleet(seed uint64, options quota.Options, domains, perDomain int, q quota.Quota) (f *fleet) {
	f = &fleet{
		quota: q,
		now:   time.Second, options: options, random: rand.New(rand.NewPCG(seed, 1)), packets: map[time.Duration][]packet{},
		cut: func(_, _ *node) bool { return false },
	}
	for i := range domains * perDomain {
		n := &node{name: fmt.Sprintf("n%d", i), domain: i % domains, lastLocal: -time.Duration(f.random.IntN(200)) * time.Millisecond}
		f.nodes = append(f.nodes, n)
		f.start(n, q, domains*perDomain)
	}
	return f
}

// start starts a node, with the quota in its first configuration.
func (f *fleet) start(n *node, q quota.Quota, listed int) {
	o := f.options
	o.Node, o.Now, o.Start = n.name, f.now, time.UnixMilli(0).Add(f.now)
	n.accounts, n.down = quota.New(o), false
	n.accounts.Configure(map[string]quota.Quota{"w": q}, f.now)
	n.accounts.SetListed(listed, f.now)
}

// configure puts another quota in force on all nodes.
func (f *fleet) configure(q quota.Quota) {
	f.quota = q
	for _, n := range f.nodes {
		n.accounts.Configure(map[string]quota.Quota{"w": q}, f.now)
	}
}

// advance lets time pass. In each step, load may send requests.
func (f *fleet) advance(d time.Duration, load func()) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, p := range f.packets[f.now/step] {
			if !p.to.down {
				p.to.receive(p, f.now)
			}
		}
		delete(f.packets, f.now/step)
		readers := map[int]*node{}
		byDomain := map[int][]*node{}
		for _, n := range f.nodes {
			if !n.down {
				byDomain[n.domain] = append(byDomain[n.domain], n)
				if readers[n.domain] == nil {
					readers[n.domain] = n
				}
			}
		}
		for _, n := range f.nodes {
			interval := gossipTick * time.Duration(max(len(f.nodes)/len(byDomain)-1, 4)) / 4
			if n.down || f.now-n.lastLocal < interval {
				continue
			}
			n.lastLocal = f.now
			p := packet{from: n, own: n.accounts.Report(f.now), relayed: n.pending}
			n.pending = nil
			if len(p.own.Nodes) > 0 || len(p.relayed) > 0 {
				for _, to := range byDomain[n.domain] {
					f.transmit(p, to, localDelay)
				}
			}
			if readers[n.domain] == n && f.now-n.lastRemote >= remoteTick {
				n.lastRemote = f.now
				p = packet{from: n, own: n.accounts.Aggregate(f.now), aggregate: true}
				for domain := range len(byDomain) {
					if others := byDomain[domain]; len(others) > 0 && domain != n.domain && len(p.own.Nodes) > 0 {
						f.transmit(p, others[f.random.IntN(len(others))], farDelay)
					}
				}
			}
		}
		if load != nil {
			load()
		}
	}
}

// transmit sends a packet, unless it is lost.
func (f *fleet) transmit(p packet, to *node, delay time.Duration) {
	if p.to = to; to == p.from || f.cut(p.from, to) {
		return
	}
	for range 2 {
		if f.random.Float64() >= f.loss {
			at := (f.now + delay) / step
			if f.random.Float64() < f.loss {
				at += time.Duration(f.random.IntN(40))
			}
			f.packets[at+1] = append(f.packets[at+1], p)
		}
		if f.random.Float64() >= f.loss {
			return
		}
	}
}

func (n *node) receive(p packet, now time.Duration) {
	n.accounts.Apply(p.from.name, p.own, p.from.domain == n.domain, now)
	if p.aggregate {
		n.pending = append(n.pending, relayed{p.from, p.own})
	}
	for _, r := range p.relayed {
		n.accounts.Apply(r.sender.name, r.reports, r.sender.domain == n.domain, now)
	}
}

// request sends a request of a number of tokens to a node, and reports whether it was
// granted.
func (f *fleet) request(n *node, tokens int) (charge *quota.Charge, ok bool) {
	switch d := n.accounts.Admit("w", quota.Usage{Known: true, Prompt: tokens}, f.now).(type) {
	case quota.Granted:
		f.grants = append(f.grants, grant{f.now, int64(tokens)})
		return d.Charge, true
	default:
		f.refused = append(f.refused, f.now)
		return nil, false
	}
}

// most returns the most units that were granted in any window of that length from a
// time on.
func (f *fleet) most(window, from time.Duration) (units int64) {
	sum, first := int64(0), 0
	for _, g := range f.grants {
		if g.at < from {
			first++
			continue
		}
		sum += g.units
		for ; g.at-f.grants[first].at > window; first++ {
			sum -= f.grants[first].units
		}
		units = max(units, sum)
	}
	return units
}
