package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	loadWithSlowdown = "1,0,8,100"
	loadOfThree      = "1,0,8"
)

type (
	// crossingNetwork is a network on which, once on is set, the answer on the next
	// connection to a prefill engine reaches the node when the node closes the connection.
	crossingNetwork struct {
		transport.Network
		on atomic.Bool
	}

	crossingConn struct {
		net.Conn
		closed context.Context
		close  context.CancelFunc
	}
)

// Dial implements transport.Network.
func (n *crossingNetwork) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	conn, err = n.Network.Dial(ctx, address)
	if prefills := []string{"10.3.0.1:80", "10.3.0.2:80"}; slices.Contains(prefills, address.String()) && n.on.CompareAndSwap(true, false) {
		c := &crossingConn{Conn: conn}
		c.closed, c.close = context.WithCancel(context.Background())
		return c, err
	}
	return conn, err
}

// Read implements net.Conn.
func (c *crossingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	<-c.closed.Done()
	return n, err
}

// Close implements net.Conn.
func (c *crossingConn) Close() (err error) {
	c.close()
	return c.Conn.Close()
}

// Guards against a KV handle that stays at its engine because it arrived when its prefill
// had been recalled.
func TestLateHandleIsFreed(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		network := &crossingNetwork{Network: f.network.Host(n1)}
		f.nodeNetwork = network
		f.startRecallFleet(loadWithSlowdown)
		handles := func() (n int) { return f.upstreams["p1"].Handles() + f.upstreams["p2"].Handles() }
		before := handles()
		network.on.Store(true)
		f.expect(f.request(n1+":80", http.MethodPost, "/drafts/1", "x", uniquePrompt("last", 5000)), http.StatusOK, "piece 1")
		f.advance(time.Second)
		used := 0
		for _, run := range slices.Concat(f.runs("g1"), f.runs("g2")) {
			if run.Path == "/drafts/1" && platformtest.KVSource(run.Header) != "" {
				used++
			}
		}
		if counters := f.recallCounters(); handles() != before+used || counters == "" {
			t.Errorf("%d more handles, counters %q, want %d after a recall", handles()-before, counters, used)
		}
	})
}

// startRecallFleet starts two prefill engines, two decode engines and two plain
// upstreams that report a load, and a node. Requests before return let the node know
// how long work takes.
func (f *testFleet) startRecallFleet(load string) {
	f.configure(1, key)
	for i, u := range []struct{ id, service, stage string }{
		{"p1", "models", "prefill"}, {"p2", "models", "prefill"}, {"g1", "models", "decode"}, {"g2", "models", "decode"}, {"d1", "desk", ""}, {"d2", "desk", ""},
	} {
		upstream := &platformtest.Upstream{Load: load, Script: &f.script}
		if u.service == "models" {
			upstream.Events = 10
		}
		f.startUpstream(u.id, u.service, u.stage, fmt.Sprintf("10.3.0.%d:80", i+1), upstream)
	}
	f.startNodeAndWait("n1", n1)
	for i := range 40 {
		f.expect(f.request(n1+":80", http.MethodPost, "/models/1", "x", uniquePrompt(fmt.Sprint("w", i), []int{200, 2000}[i%2])), http.StatusOK, "piece 1")
		f.expect(f.request(n1+":80", http.MethodPost, "/draws/1", "x", nil), http.StatusOK, "answer")
	}
	f.advance(time.Second)
}

// ofKind returns the upstreams whose IDs begin with a letter, the one that the node
// prefers first.
func (f *testFleet) ofKind(letter string) (upstreams []*platformtest.Upstream) {
	upstreams = []*platformtest.Upstream{f.upstreams[letter+"1"], f.upstreams[letter+"2"]}
	slices.SortStableFunc(upstreams, func(a, b *platformtest.Upstream) int { return b.Arrivals() - a.Arrivals() })
	return upstreams
}

// uniquePrompt returns the headers of a request whose prompt no engine has cached.
func uniquePrompt(id string, tokens int) (header http.Header) {
	header = http.Header{}
	platformtest.DescribePrompt(header, platformtest.PromptPart{ID: id, Tokens: tokens})
	return header
}

// recallCounters returns the lines of the node's counters of recalls.
func (f *testFleet) recallCounters() (lines string) {
	var text strings.Builder
	f.nodes["n1"].Metrics.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, "guavagauge_entry_recalls") {
			lines += line
		}
	}
	return lines
}

// Guards against a request that stays at an upstream that stands still while another
// one is free, and against a recall that breaks a promise: of a request that may have run
// and may not run again, of a response that has begun, or where upstreams don't report
// their slowdown.
func TestRecallOfWaitingRequests(t *testing.T) {
	const long, short = 5000, 200
	for name, c := range map[string]struct {
		path     string
		tokens   int
		load     string
		kind     string // of the upstreams of which one stands still
		then     bool   // the other one does, too
		refuses  bool   // the next upstream refuses the request
		gap      time.Duration
		within   time.Duration
		counters string
		runs     int // that may have happened
	}{
		"resumable stream":         {"/models/1", short, loadWithSlowdown, "g", false, false, 0, 300 * time.Millisecond, `reason="Late",outcome="Sooner"} 1`, 2},
		"idempotent request":       {"/draws/1", 0, loadWithSlowdown, "d", false, false, 0, 400 * time.Millisecond, `reason="Late",outcome="Sooner"} 1`, 2},
		"separate prefill":         {"/models/1", long, loadWithSlowdown, "p", false, false, 0, 700 * time.Millisecond, `reason="Late",outcome="Sooner"} 1`, 1},
		"prefill of a single run":  {"/drafts/1", long, loadWithSlowdown, "p", false, false, 0, 700 * time.Millisecond, `reason="Late",outcome="Sooner"} 1`, 1},
		"next upstream refuses":    {"/drafts/1", long, loadWithSlowdown, "p", false, true, 0, 700 * time.Millisecond, `reason="Late",outcome="Refused"} 1`, 1},
		"next upstream slow, too":  {"/models/1", short, loadWithSlowdown, "g", true, false, 0, 2400 * time.Millisecond, `reason="Late",outcome="Later"} 1`, 2},
		"no attempt for the run":   {"/rulings/1", long, loadWithSlowdown, "p", false, false, 0, 2400 * time.Millisecond, "", 1},
		"stream that runs once":    {"/drafts/1", short, loadWithSlowdown, "g", false, false, 0, 2400 * time.Millisecond, "", 1},
		"request that runs once":   {"/entries/1", 0, loadWithSlowdown, "d", false, false, 0, 2400 * time.Millisecond, "", 1},
		"response that has begun":  {"/models/1", short, loadWithSlowdown, "", false, false, 140 * time.Millisecond, 2 * time.Second, "", 1},
		"slowdown is not reported": {"/models/1", short, loadOfThree, "g", false, false, 0, 2400 * time.Millisecond, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startRecallFleet(c.load)
				if c.kind != "" {
					upstreams := f.ofKind(c.kind)
					if upstreams[0].Delay = 2200 * time.Millisecond; c.then {
						upstreams[1].Delay = upstreams[0].Delay
					}
					if c.refuses {
						f.script.Add(0, platformtest.Reject)
					}
				}
				ran := map[string]int{}
				for id, u := range f.upstreams {
					u.Gap = c.gap
					ran[id] = len(u.Runs())
				}
				begun := time.Now()
				r := f.request(n1+":80", http.MethodPost, c.path, "x", uniquePrompt("last", c.tokens))
				if took := time.Since(begun); r.status != http.StatusOK || took > c.within {
					t.Errorf("%v after %s, want 200 within %s", r, took, c.within)
				}
				f.advance(time.Second)
				runs := 0
				for id, u := range f.upstreams {
					runs += len(u.Runs()) - ran[id]
				}
				if counters := f.recallCounters(); !strings.Contains(counters, c.counters) || c.counters == "" && counters != "" || runs != c.runs {
					t.Errorf("%d runs, counters %q, want %d, %q", runs, counters, c.runs, c.counters)
				}
			})
		})
	}
}
