package quota_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/quota"
)

const (
	perSecond   = 245 // requests of the largest workspace, with 273,550 tokens on average
	crowd       = 7.5 // factor by which a workspace may exceed its usual load
	reportDelay = 500 * time.Millisecond
)

var (
	large   = quota.Quota{Rate: 492_390, Burst: 492_390, Unit: quota.Tokens{Plain: 200}}
	options = quota.Options{Window: 8 * time.Second, Overage: 0.1, Slack: 190_000}
)

// bound returns what all nodes may grant in a window.
func bound(q quota.Quota) (units float64) {
	return (q.Rate*options.Window.Seconds()+q.Burst)*(1+options.Overage) + options.Slack
}

// bucket is one token bucket for a whole fleet, which knows each grant at once.
type bucket struct {
	quota   quota.Quota
	balance float64
	at      time.Duration
}

// within reports whether the bucket has a unit.
func (b *bucket) within(now time.Duration) (ok bool) {
	b.balance, b.at = min(b.balance+b.quota.Rate*(now-b.at).Seconds(), b.quota.Burst), now
	return b.balance >= 1
}

// load returns a load of a number of times the usual one of a large workspace, at nodes
// that run. It counts the refusals of requests within the quota.
func (f *fleet) load(times float64, ideal *bucket, wrong *int) (load func()) {
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
			if n := f.nodes[f.random.IntN(len(f.nodes))]; !n.down {
				f.requestWithin(n, tokens, ideal, wrong)
			}
		}
	}
}

// requestWithin sends a request, and counts it if it is refused within the quota.
func (f *fleet) requestWithin(n *node, tokens int, ideal *bucket, wrong *int) {
	within := ideal.within(f.now)
	if _, ok := f.request(n, tokens); ok {
		ideal.balance -= float64(tokens)
	} else if within {
		*wrong++
	}
}

// Guards against grants over the bound while reports are late, lost and repeated, and
// against refusals that one bucket for the whole fleet wouldn't make.
func TestAnyLoadStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := quota.Quota{Rate: rapid.Float64Range(10, 1e5).Draw(t, "rate"), Unit: quota.Tokens{}}
		q.Burst = max(2, q.Rate*rapid.Float64Range(0, 3).Draw(t, "seconds of burst"))
		f := newFleet(rapid.Uint64().Draw(t, "seed"), quota.Options{Window: options.Window}, rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 3).Draw(t, "nodes"), q)
		f.advance(5*time.Second, nil)
		ideal := &bucket{quota: q, balance: q.Burst, at: f.now}
		f.loss = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "loss")
		largest, wrong := 1, 0
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			every := rapid.IntRange(1, 40).Draw(t, "steps between requests")
			tokens := rapid.IntRange(1, int(q.Rate)).Draw(t, "tokens")
			largest = max(largest, tokens)
			count := 0
			f.advance(time.Duration(rapid.IntRange(10, 2000).Draw(t, "ms"))*time.Millisecond, func() {
				if count++; count%every == 0 {
					f.requestWithin(f.nodes[f.random.IntN(len(f.nodes))], tokens, ideal, &wrong)
				}
			})
		}
		late := reportDelay
		if f.loss > 0 {
			late = 2 * time.Second // a total is sent at least every second
		}
		most := float64(f.most(options.Window, 0))
		if limit := q.Rate*(options.Window+reportDelay).Seconds() + q.Burst + float64(f.most(late, 0)+int64(largest)); most > limit {
			t.Errorf("%.0f units in a window, want at most %.0f", most, limit)
		}
		if wrong > 0 && f.loss == 0 {
			t.Errorf("%d requests within the quota were refused", wrong)
		}
	})
}

// Guards against grants over the bound, and against refusals within the quota, in a
// large fleet with the load that it is made for, and with the greatest one.
func TestLargeFleet(t *testing.T) {
	for _, domains := range []int{3, 6} {
		f := newFleet(1, options, domains, 84/domains, large)
		f.advance(5*time.Second, nil)
		ideal, wrong := &bucket{quota: large, balance: large.Burst, at: f.now}, 0
		f.advance(5*time.Second, f.load(1, ideal, &wrong))
		if len(f.refused) > 0 {
			t.Errorf("%d requests refused at the usual load", len(f.refused))
		}
		f.advance(6500*time.Millisecond, f.load(crowd, ideal, &wrong))
		f.advance(5*time.Second, f.load(1, ideal, &wrong))
		most, limit := float64(f.most(options.Window, 0)), bound(large)
		t.Logf("%d domains: %.0f of %.0f units in a window, %d granted, %d refused", domains, most, limit, len(f.grants), len(f.refused))
		if most > limit || wrong > 0 {
			t.Errorf("%.0f units in a window, want at most %.0f; %d requests within the quota refused", most, limit, wrong)
		}
	}
}

// Guards against equal shares: a workspace may send all of its load to one node.
func TestLoadAtOneNodeIsNotRefused(t *testing.T) {
	f := newFleet(1, options, 6, 14, large)
	f.advance(5*time.Second, nil)
	ideal, wrong := &bucket{quota: large, balance: large.Burst, at: f.now}, 0
	f.advance(20*time.Second, func() {
		if tokens := f.random.IntN(93_000); ideal.within(f.now) && ideal.balance >= float64(tokens) {
			f.requestWithin(f.nodes[5], tokens, ideal, &wrong)
		}
	})
	if len(f.refused) > 0 || len(f.grants) < 100 {
		t.Errorf("%d refused, %d granted", len(f.refused), len(f.grants))
	}
}

// Guards against grants over the bound when something fails under the greatest load, and
// against an account that has no credit for long after it.
func TestFailures(t *testing.T) {
	half := large
	half.Rate, half.Burst = large.Rate/2, large.Burst/2
	down := func(nodes []*node, down bool) {
		for _, n := range nodes {
			n.down = down
		}
	}
	for name, c := range map[string]struct{ begin, end func(f *fleet) }{
		"none":        {func(*fleet) {}, func(*fleet) {}},
		"node killed": {func(f *fleet) { down(f.nodes[:1], true) }, func(f *fleet) { f.start(f.nodes[0], f.quota, len(f.nodes)) }},
		"domain paused": {
			func(f *fleet) { down(f.nodes[:len(f.nodes)/3], true) }, func(f *fleet) { down(f.nodes[:len(f.nodes)/3], false) },
		},
		"domain cut off": {
			func(f *fleet) { f.cut = func(from, to *node) bool { return (from.domain == 0) != (to.domain == 0) } },
			func(f *fleet) { f.cut = func(_, _ *node) bool { return false } },
		},
		"all restarted": {func(f *fleet) {
			for _, n := range f.nodes {
				f.start(n, f.quota, len(f.nodes))
			}
		}, func(*fleet) {}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, lowered := range []bool{false, true} {
				f := newFleet(1, options, 3, 4, large)
				f.advance(3*time.Second, nil)
				ideal, wrong, limit, from := &bucket{quota: large}, 0, bound(large), time.Duration(0)
				f.advance(2*time.Second, f.load(crowd, ideal, &wrong))
				c.begin(f)
				if f.advance(time.Second, f.load(crowd, ideal, &wrong)); lowered {
					f.configure(half)
					limit, from = bound(half), f.now+options.Window
				}
				f.advance(4*time.Second, f.load(crowd, ideal, &wrong))
				c.end(f)
				f.advance(options.Window+5*time.Second, f.load(crowd, ideal, &wrong))
				if most := float64(f.most(options.Window, from)); most > limit {
					t.Errorf("lowered %t: %.0f units in a window, want at most %.0f", lowered, most, limit)
				}
				f.advance(options.Window, nil)
				for _, n := range f.nodes {
					if _, ok := f.request(n, 1); !ok {
						t.Errorf("lowered %t: no credit at %s after %s without load", lowered, n.name, options.Window)
					}
				}
			}
		})
	}
}

// Guards against credit for an unknown part of the fleet, a Retry-After that isn't the
// true time, charges given back twice or after a run, and runs that cost nothing.
func TestCharges(t *testing.T) {
	q := quota.Quota{Rate: 100, Burst: 10}
	a := quota.New(quota.Options{Node: "n0", Window: 8 * time.Second})
	a.Configure(map[string]quota.Quota{"w": q}, 0)
	now := time.Second
	if d := a.Admit("w", quota.Usage{}, now); d != (quota.Starting{}) {
		t.Fatalf("before nodes are listed: %#v", d)
	}
	if d := a.Admit("other", quota.Usage{}, now); d != (quota.Granted{}) {
		t.Fatalf("without a quota: %#v", d)
	}
	if r := quota.New(quota.Options{}).Report(now); len(r.Accounts) > 0 || len(r.Nodes) > 0 {
		t.Errorf("report without a quota: %+v", r)
	}
	a.SetListed(1, now)
	admit := func() (charge *quota.Charge, retryAfter time.Duration) {
		switch d := a.Admit("w", quota.Usage{}, now).(type) {
		case quota.Granted:
			return d.Charge, 0
		case quota.Refused:
			return nil, d.RetryAfter
		default:
			return nil, math.MaxInt64
		}
	}
	if _, got := admit(); got != 10*time.Millisecond {
		t.Errorf("first configuration: retry after %s, want an empty account", got)
	}
	now += time.Second
	var last *quota.Charge
	for range 10 {
		last, _ = admit()
	}
	expect := func(what string, want time.Duration) {
		t.Helper()
		if _, got := admit(); got != want {
			t.Errorf("%s: retry after %s, want %s", what, got, want)
		}
	}
	expect("empty", 10*time.Millisecond)
	last.Refund(now)
	last.Refund(now)
	last, _ = admit()
	expect("after two refunds of one charge", 10*time.Millisecond)
	last.ChargeAgain(now)
	last.ChargeAgain(now)
	last.Refund(now)
	expect("after two further runs", 30*time.Millisecond)
	now += 29 * time.Millisecond
	expect("just before", time.Millisecond)
	now += time.Millisecond
	expect("at the time", 0)
	for _, stats := range a.All() {
		if stats.Granted.Requests != 14 || stats.Returned.Requests != 1 || stats.Refused.Requests != 5 {
			t.Errorf("%+v", stats)
		}
	}
}

// Guards against credit or debt out of reports that are old, repeated, of another
// incarnation or absurd.
func TestReports(t *testing.T) {
	a := quota.New(quota.Options{Node: "n0", Window: 8 * time.Second})
	a.Configure(map[string]quota.Quota{"w": {Rate: 1e-6, Burst: 1000}}, 0)
	a.SetListed(2, 0)
	a.Configure(map[string]quota.Quota{"w": {Rate: 1e-6, Burst: 2000}}, 0) // adds the difference
	now := time.Second
	apply := func(start, uptimeMs, total int64) {
		a.Apply("n1", quota.Reports{
			Accounts: []quota.Key{{Workspace: "w"}}, Nodes: []quota.Report{{Start: start, UptimeMs: uptimeMs, Totals: map[int]int64{0: total}}},
		}, true, now)
	}
	for _, c := range []struct {
		name                   string
		start, uptimeMs, total int64
		after                  time.Duration
		want                   float64 // units deducted
	}{
		{"first of an older incarnation", 5, 9000, 700, 0, 0},
		{"next", 5, 9100, 750, 0, 50},
		{"repeated", 5, 9100, 750, 0, 0},
		{"older", 5, 9050, 740, 0, 0},
		{"lower", 5, 9200, 730, 0, -20},
		{"negative", 5, 9300, -1, 0, 0},
		{"too large", 5, 9400, 1 << 60, 0, 0},
		{"new incarnation", 6, 300, 40, 400 * time.Millisecond, 40},
		{"earlier incarnation", 5, 9500, 900, 0, 0},
		{"after silence", 6, 5000, 300, 3 * time.Second, 0},
		{"after that", 6, 5100, 310, 0, 10},
	} {
		balance := func() (units float64) {
			a.Report(now)
			for _, stats := range a.All() {
				units = stats.Balance
			}
			return units
		}
		now += c.after
		before := balance()
		apply(c.start, c.uptimeMs, c.total)
		if got := before - balance(); math.Abs(got-c.want) > 0.01 {
			t.Errorf("%s: %.2f units deducted, want %.0f", c.name, got, c.want)
		}
	}
}

// BenchmarkAdmit measures a decision in a fleet of 84 nodes with 16 workspaces, with the
// reports that arrive meanwhile.
func BenchmarkAdmit(b *testing.B) {
	f := newFleet(1, options, 1, 84, large)
	f.advance(2*time.Second, nil)
	a := f.nodes[0].accounts
	for b.Loop() {
		f.now += time.Millisecond
		a.Admit("w", quota.Usage{Known: true, Prompt: 400}, f.now)
	}
}
