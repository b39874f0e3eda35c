package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/storetest"
)

// postEntry posts an entry at a node under an idempotency key.
func (c *cluster) postEntry(i int, key, entry string) answer {
	r := c.request(c.ctx, i, alphaKey, "POST", "/desk/entries", entry)
	r.Header.Set("Idempotency-Key", key)
	return c.send(r)
}

// postEntryUntilKnown repeats an entry at the nodes but the excluded one, as a
// caller without an answer does, until a node answers that the entry was created
// or that its outcome is unknown.
func (c *cluster) postEntryUntilKnown(excluded int, key, entry string) (a answer) {
	for i := range 100 {
		if i%3 == excluded {
			continue
		}
		a = c.postEntry(i%3, key, entry)
		if a.status == http.StatusCreated || a.header.Get("Refusal-Reason") == "Unknown" {
			return a
		}
		time.Sleep(30 * time.Second)
	}
	c.t.Errorf("entry %s: no final outcome: %d %s %v", entry, a.status, a.body, a.err)
	return a
}

// Guards against an entry that runs twice when it is sent to several nodes at
// the same time under one idempotency key.
func TestConcurrentEntriesRunOnce(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for n := range 20 {
			entry := fmt.Sprint("entry ", n)
			var group sync.WaitGroup
			for i := range 3 {
				group.Go(func() {
					a := c.postEntry(i, entry, entry)
					if a.status != http.StatusCreated && a.status != http.StatusConflict {
						t.Errorf("%s at node %d: %d %s", entry, i, a.status, a.body)
					}
				})
			}
			group.Wait()
			if a := c.postEntryUntilKnown(-1, entry, entry); a.status != http.StatusCreated {
				t.Errorf("%s: %d %s", entry, a.status, a.body)
			}
			if runs := c.desk.RunsOf(entry); runs != 1 {
				t.Errorf("%s ran %d times", entry, runs)
			}
		}
	})
}

// Guards against an entry that runs twice, or is reported as created without
// having run, when its entry node is killed before, during or after claim and
// dispatch.
func TestEntryRunsOnceWhenNodeIsKilled(t *testing.T) {
	for _, after := range []time.Duration{0, 3, 8, 14, 18, 25, 40, 60, 90, 200} {
		t.Run(fmt.Sprint(after*time.Millisecond), func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				c.store.SetDelay(5 * time.Millisecond)
				c.desk.SetDelay(30 * time.Millisecond)
				done := make(chan answer, 1)
				go func() { done <- c.postEntry(1, "k", "entry") }()
				time.Sleep(after * time.Millisecond)
				c.kill(1)
				first := <-done
				a := c.postEntryUntilKnown(1, "k", "entry")
				runs := c.desk.RunsOf("entry")
				if runs > 1 || (a.status == http.StatusCreated && runs != 1) {
					t.Errorf("%d runs; answers %d %v and %d %s", runs, first.status, first.err, a.status, a.body)
				}
			})
		})
	}
}

// Guards against an entry that runs twice or not at all when the store's
// response to the write of its claim is lost, or the service's response is lost
// after the entry ran.
func TestEntryRunsOnceWhenResponsesAreLost(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for n := range 30 {
			entry := fmt.Sprint("entry ", n)
			c.store.DropResponses(storetest.Put, n%4) // of the next writes, by any node
			if n%5 == 0 {
				c.desk.DropResponses(1)
			}
			a := c.postEntry(n%3, entry, entry)
			if n%5 == 0 {
				a.checkRefusal(t, http.StatusBadGateway, "MayHaveRun", "Broken")
			}
			a = c.postEntryUntilKnown(-1, entry, entry)
			if runs := c.desk.RunsOf(entry); runs != 1 {
				t.Errorf("%s ran %d times, last answer %d %s", entry, runs, a.status, a.body)
			}
		}
	})
}

// Guards against entries that run without a claim during an hour's outage of the
// store, and against an outage that stops requests that need no claim.
func TestStoreOutageRefusesOnlyEntries(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.store.SetDown(true)
		for minute := range 60 {
			c.postEntry(minute%3, "", "entry").checkRefusal(t, http.StatusServiceUnavailable, "NotRun", "StoreDown")
			if a := c.send(c.request(c.ctx, minute%3, alphaKey, "GET", "/desk/draw", "")); a.status != http.StatusOK {
				t.Fatalf("minute %d: draw %d %s", minute, a.status, a.body)
			}
			if a := c.complete(minute%3, betaKey, "x", 3, false); a.text != wantText("x", 3) {
				t.Fatalf("minute %d: completion %d %s", minute, a.status, a.body)
			}
			time.Sleep(time.Minute)
		}
		if c.desk.Runs() != 0 {
			t.Errorf("%d entries ran", c.desk.Runs())
		}
		c.store.SetDown(false)
		time.Sleep(20 * time.Second)
		if a := c.postEntry(0, "after", "after"); a.status != http.StatusCreated {
			t.Errorf("entry after the outage: %d %s", a.status, a.body)
		}
	})
}

// Guards against entries that are refused because usage reports use up the node's store calls.
func TestUsageCatchUpDoesntRefuseEntries(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.store.SetDown(true)
		if a := c.complete(0, betaKey, "x", 3, false); a.status != http.StatusOK {
			t.Fatalf("completion %d %s", a.status, a.body)
		}
		first := time.Now().Truncate(time.Minute) // the window of the completion
		<-time.After(time.Hour)
		c.kill(1)
		c.kill(2)
		<-time.After(time.Minute) // until the remaining node is a candidate for all shards' leases
		c.store.SetDown(false)
		<-time.After(10 * time.Second) // until the lease holder reports and claims are retried
		c.store.ResetCalls()
		const entries, interval = 120, 500 * time.Millisecond
		for i := range entries {
			entry := fmt.Sprint("entry ", i)
			if a := c.postEntry(0, entry, entry); a.status != http.StatusCreated {
				t.Errorf("%s after the outage: %d %s", entry, a.status, a.body)
			}
			<-time.After(interval)
		}
		for _, kind := range []string{"Get", "Put", "Delete"} {
			name := fmt.Sprintf("guavagauge_store_calls_total{kind=%q,outcome=\"Budget\"}", kind)
			if n := c.nodes[0].Metrics.GetOrCreateCounter(name).Get(); n > 0 {
				t.Errorf("%d calls of %s were rejected by the rate limit", n, kind)
			}
		}
		if calls, limit := c.store.TotalCalls(), 200+20*90; calls > limit { // a burst and the default rate for 90 s
			t.Errorf("%d store calls, want at most %d", calls, limit)
		}
		<-time.After(time.Minute) // the reports have the rate of calls to themselves
		for shard := range 4 {
			var progress struct{ Next int64 }
			saved, err := c.store.Client("test").Get(c.ctx, fmt.Sprint("usage/progress/", shard))
			if err == nil {
				err = json.Unmarshal(saved.Value, &progress)
			}
			if reported := time.Unix(progress.Next, 0); err != nil || time.Since(reported) > 3*time.Minute {
				t.Errorf("shard %d is reported from %v to %v (%v), want until 3 minutes ago", shard, first, reported, err)
			}
		}
	})
}

// Guards against a repeated entry that is answered as if it hadn't run although
// it did, and against an idempotency key that is accepted for two different
// requests.
func TestRepeatedEntryGetsTrueOutcome(t *testing.T) {
	inCluster(t, func(c *cluster) {
		if a := c.postEntry(0, "k", "entry"); a.status != http.StatusCreated {
			t.Fatalf("entry: %d %s", a.status, a.body)
		}
		time.Sleep(time.Second)
		c.postEntry(1, "k", "other entry").checkRefusal(t, http.StatusUnprocessableEntity, "NotRun", "KeyReused")
		c.config.Upstreams[3].State = fleet.Draining // the only upstream of the service
		c.applyConfig()
		if a := c.postEntry(1, "k", "entry"); a.status != http.StatusCreated {
			t.Errorf("repeat while the service drains: %d %s", a.status, a.body)
		}
		c.postEntry(1, "k2", "entry 2").checkRefusal(t, http.StatusServiceUnavailable, "NotRun", "NoUpstream")
		c.config.Upstreams[3].State = fleet.Active
		c.applyConfig()
		if a := c.postEntry(2, "k2", "entry 2"); a.status != http.StatusCreated {
			t.Errorf("repeat of an entry that was refused: %d %s", a.status, a.body)
		}
		c.store.SetDown(true)
		time.Sleep(time.Minute)
		a := c.postEntry(2, "k", "entry")
		a.checkRefusal(t, http.StatusServiceUnavailable, "NotRun", "StoreDown")
		if status := a.header.Get("Idempotency-Key-Status"); status != "Unknown" {
			t.Errorf("repeat while the store is down: key status %q, want Unknown", status)
		}
		if c.desk.RunsOf("entry") != 1 || c.desk.RunsOf("entry 2") != 1 || c.desk.RunsOf("other entry") != 0 {
			t.Errorf("%d entries ran, want 2", c.desk.Runs())
		}
	})
}

// Guards against a service's own 503 for an entry that has run, which its caller takes
// for a refusal of the node, and against a repeat that runs the entry again.
func TestServiceRefusalAfterRunIsNoPromise(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.desk.FailAfterRun(1)
		for i := range 2 {
			if a := c.postEntry(i, "k", "entry"); a.status != http.StatusServiceUnavailable || a.header.Get("Work-Status") != "MayHaveRun" {
				t.Errorf("call %d: got %d %s with Work-Status %q, want the service's 503 with MayHaveRun", i, a.status, a.body, a.header.Get("Work-Status"))
			}
			time.Sleep(time.Second) // until the outcome is recorded
		}
		if runs := c.desk.RunsOf("entry"); runs != 1 {
			t.Errorf("the entry ran %d times, want once", runs)
		}
	})
}
