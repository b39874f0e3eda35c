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
	farDelay   = 30 * time.Millisecond // between regions
)

type (
	// fleet simulates the accounts of one workspace, w, on nodes that exchange reports as
	// those of package entry do. It compares what they grant with one bucket for all.
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
		refused int
		wrong   int     // refused though the one bucket had a unit
		bucket  float64 // balance
		filled  time.Duration
	}

	node struct {
		name                  string
		accounts              *quota.Accounts
		domain                int
		lastLocal, lastRemote time.Duration
		pending               []packet // to be relayed
		down                  bool     // killed or paused
	}

	packet struct {
		from, to  *node
		own       quota.Reports
		relayed   []packet
		aggregate bool
	}

	grant struct {
		at    time.Duration
		units int64
	}
)

// newFleet returns nodes in domains that have heard from each other for long.
func newFleet(seed uint64, options quota.Options, domains, perDomain int, q quota.Quota) (f *fleet) {
	f = &fleet{
		quota: q,
		now:   time.Second, options: options, random: rand.New(rand.NewPCG(seed, 1)), packets: map[time.Duration][]packet{},
		cut: func(_, _ *node) bool { return false },
	}
	for i := range domains * perDomain {
		n := &node{name: fmt.Sprintf("n%d", i), domain: i % domains, lastLocal: -time.Duration(f.random.IntN(200)) * time.Millisecond}
		f.nodes = append(f.nodes, n)
	}
	f.start(f.nodes...)
	f.advance(5*time.Second, nil)
	return f
}

// start starts nodes, with the quota in their first configuration.
func (f *fleet) start(nodes ...*node) {
	for _, n := range nodes {
		o := f.options
		o.Node, o.Now, o.Start = n.name, f.now, time.UnixMilli(0).Add(f.now)
		n.accounts, n.down = quota.New(o), false
		n.accounts.Configure(map[string]quota.Quota{"w": f.quota}, f.now)
		n.accounts.SetListed(len(f.nodes), f.now)
	}
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
		byDomain := map[int][]*node{} // the first is the store reader
		for _, n := range f.nodes {
			if !n.down {
				byDomain[n.domain] = append(byDomain[n.domain], n)
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
			for _, to := range byDomain[n.domain] {
				f.transmit(p, to, localDelay)
			}
			if byDomain[n.domain][0] == n && f.now-n.lastRemote >= remoteTick {
				n.lastRemote = f.now
				p = packet{from: n, own: n.accounts.Aggregate(f.now), aggregate: true}
				for domain := range len(byDomain) {
					if others := byDomain[domain]; len(others) > 0 && domain != n.domain {
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

// transmit sends a packet. With f.loss, it may be lost, or arrive late and again.
func (f *fleet) transmit(p packet, to *node, delay time.Duration) {
	p.to = to
	for to != p.from && !f.cut(p.from, to) {
		if f.random.Float64() >= f.loss {
			at := (f.now+delay)/step + 1
			if f.random.Float64() < f.loss {
				at += time.Duration(f.random.IntN(40))
			}
			f.packets[at] = append(f.packets[at], p)
		}
		if f.random.Float64() >= f.loss {
			return
		}
	}
}

func (n *node) receive(p packet, now time.Duration) {
	n.accounts.Apply(p.from.name, p.own, p.from.domain == n.domain, now)
	if p.aggregate {
		n.pending = append(n.pending, p)
	}
	for _, r := range p.relayed {
		n.accounts.Apply(r.from.name, r.own, r.from.domain == n.domain, now)
	}
}

// request sends a request of a number of tokens to a node, unless that is down. It
// reports whether it was granted.
func (f *fleet) request(n *node, tokens int) (ok bool) {
	if n.down {
		return false
	}
	f.bucket = min(f.bucket+f.quota.Rate*(f.now-f.filled).Seconds(), f.quota.Burst)
	f.filled = f.now
	if _, ok = n.accounts.Admit("w", quota.Usage{Known: true, Prompt: tokens}, f.now).(quota.Granted); ok {
		f.grants = append(f.grants, grant{f.now, int64(tokens)})
		f.bucket -= float64(tokens)
		return true
	}
	f.refused++
	if f.bucket >= 1 {
		f.wrong++
	}
	return false
}

// load returns a load of a number of times the usual one of a large workspace, spread
// over all nodes.
func (f *fleet) load(times float64) (load func()) {
	due := 0.0
	return func() {
		for due += times * perSecond * step.Seconds() * 2 * f.random.Float64(); due >= 1; due-- {
			tokens := 200
			switch x := f.random.IntN(827); {
			case x < 40:
				tokens = min(93_000, 13_300+int(3720*f.random.ExpFloat64()))
			case x < 659:
				tokens = 400
			}
			f.request(f.nodes[f.random.IntN(len(f.nodes))], tokens)
		}
	}
}

// most returns the most units that were granted in any window of that length.
func (f *fleet) most(window time.Duration) (units float64) {
	sum, first := int64(0), 0
	for _, g := range f.grants {
		sum += g.units
		for ; g.at-f.grants[first].at > window; first++ {
			sum -= f.grants[first].units
		}
		units = max(units, float64(sum))
	}
	return units
}
