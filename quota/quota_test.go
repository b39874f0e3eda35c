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
	surge       = 7.5 // factor by which a workspace may exceed its usual load
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

// Guards against grants over the bound while reports are late, lost and repeated, and
// against refusals that one bucket for the whole fleet wouldn't make.
func TestAnyLoadStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := quota.Quota{Rate: rapid.Float64Range(10, 1e5).Draw(t, "rate"), Unit: quota.Tokens{}}
		q.Burst = max(2, q.Rate*rapid.Float64Range(0, 3).Draw(t, "seconds of burst"))
		domains, perDomain := rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 3).Draw(t, "nodes")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), quota.Options{Window: options.Window}, domains, perDomain, q)
		f.loss = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "loss")
		largest := 1
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			every := rapid.IntRange(1, 40).Draw(t, "steps between requests")
			tokens := rapid.IntRange(1, int(q.Rate)).Draw(t, "tokens")
			largest = max(largest, tokens)
			count := 0
			f.advance(time.Duration(rapid.IntRange(10, 2000).Draw(t, "ms"))*time.Millisecond, func() {
				if count++; count%every == 0 {
					f.request(f.nodes[f.random.IntN(len(f.nodes))], tokens)
				}
			})
		}
		late := reportDelay
		if f.loss > 0 {
			late = 2 * time.Second // a total is sent at least every second
		}
		most, limit := f.most(options.Window), q.Rate*(options.Window+reportDelay).Seconds()+q.Burst+f.most(late)+float64(largest)
		if most > limit || f.wrong > 0 && f.loss == 0 {
			t.Errorf("%f units in a window, want at most %f; %d requests within the quota refused", most, limit, f.wrong)
		}
	})
}

// Guards against grants over the bound, and against refusals within the quota, in a
// large fleet: with all load at one node, whose equal share it is far above, with the
// load that the fleet is made for, and with the greatest one.
func TestLargeFleet(t *testing.T) {
	for _, domains := range []int{3, 6} {
		f := newFleet(1, options, domains, 84/domains, large)
		f.advance(20*time.Second, func() { // all of the quota at one node
			if tokens := f.random.IntN(93_000); f.bucket+f.quota.Rate*(f.now-f.filled).Seconds() >= float64(tokens) {
				f.request(f.nodes[5], tokens)
			}
		})
		f.advance(time.Second, nil)
		if f.advance(5*time.Second, f.load(1)); f.refused > 0 || len(f.grants) < 1000 {
			t.Errorf("%d requests refused, %d granted at one node and at the usual load", f.refused, len(f.grants))
		}
		f.advance(6500*time.Millisecond, f.load(surge))
		f.advance(5*time.Second, f.load(1))
		most, limit := f.most(options.Window), bound(large)
		t.Logf("%d domains: %.0f of %.0f units in a window, %d granted, %d refused", domains, most, limit, len(f.grants), f.refused)
		if most > limit || f.wrong > 0 {
			t.Errorf("%.0f units in a window, want at most %.0f; %d requests within the quota refused", most, limit, f.wrong)
		}
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
	join := func(f *fleet) { f.cut = func(_, _ *node) bool { return false } }
	for name, c := range map[string]struct{ begin, end func(f *fleet) }{
		"none":         {func(*fleet) {}, func(*fleet) {}},
		"node killed":  {func(f *fleet) { down(f.nodes[:1], true) }, func(f *fleet) { f.start(f.nodes[0]) }},
		"nodes paused": {func(f *fleet) { down(f.nodes[:4], true) }, func(f *fleet) { down(f.nodes[:4], false) }},
		"domain cut off": {
			func(f *fleet) { f.cut = func(from, to *node) bool { return (from.domain == 0) != (to.domain == 0) } }, join,
		},
		"all domains cut off": {func(f *fleet) { f.cut = func(from, to *node) bool { return from.domain != to.domain } }, join},
		"all restarted":       {func(f *fleet) { f.start(f.nodes...) }, func(*fleet) {}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, lowered := range []bool{false, true} {
				f := newFleet(1, options, 3, 4, large)
				limit := bound(large)
				f.advance(2*time.Second, f.load(surge))
				c.begin(f)
				f.advance(time.Second, f.load(surge))
				if lowered {
					f.configure(half)
				}
				f.advance(4*time.Second, f.load(surge))
				c.end(f)
				f.advance(4*time.Second, f.load(surge))
				if lowered { // one window ago
					limit, f.grants = bound(half), nil
				}
				f.advance(9*time.Second, f.load(surge))
				if most := f.most(options.Window); most > limit {
					t.Errorf("lowered %t: %.0f units in a window, want at most %.0f", lowered, most, limit)
				}
				f.advance(options.Window, nil)
				for _, n := range f.nodes {
					if !f.request(n, 1) {
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
		d := a.Admit("w", quota.Usage{}, now)
		granted, _ := d.(quota.Granted)
		refused, _ := d.(quota.Refused)
		return granted.Charge, refused.RetryAfter
	}
	expect := func(what string, want time.Duration) {
		t.Helper()
		if _, got := admit(); got != want {
			t.Errorf("%s: retry after %s, want %s", what, got, want)
		}
	}
	expect("first configuration", 10*time.Millisecond)
	now += time.Second
	var last *quota.Charge
	for range 10 {
		last, _ = admit()
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
	now += 10 * time.Millisecond
	late, _ := admit()
	now += time.Second
	late.Refund(now) // the account is full
	for range 10 {
		admit()
	}
	expect("full, after a late refund", 10*time.Millisecond)
	for _, stats := range a.All() {
		if stats.Granted.Requests != 25 || stats.Returned.Requests != 2 || stats.Refused.Requests != 6 {
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
		{"absurd uptime", 6, 1 << 60, 900, 0, 0},
		{"after that", 6, 5100, 310, 0, 10},
		// The receiver was paused. It first gets a datagram that arrived at the pause's begin.
		{"after a pause, before it", 6, 5200, 320, 10 * time.Second, 0},
		{"after a pause", 6, 15_200, 900, 0, 0},
		{"next after a pause", 6, 15_300, 905, 0, 5},
		{"restarted with an earlier clock, or late", 4, 100, 30, 100 * time.Millisecond, 0},
		{"restarted with an earlier clock", 4, 600, 40, 500 * time.Millisecond, 40},
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
