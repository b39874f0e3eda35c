package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/providertest"
)

const (
	withdrawalBound    = 5 * time.Second // until a withdrawn key is refused; KeyConfirmation is 4s
	configurationBound = 6 * time.Second // until a new revision is in force everywhere
)

// Guards against a node that accepts a withdrawn key for longer than the bound
// while it is partitioned, or that still refuses valid keys after the partition
// has healed.
func TestIsolatedNodeRefusesKeys(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.partition(2)
		c.config.Keys = c.config.Keys[1:] // alpha's key
		if _, err := c.repository.Apply(c.ctx, c.revision, fleet.Entries(c.config), testChange()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(withdrawalBound)
		for i := range 2 {
			c.complete(i, alphaKey, "x", 1, false).checkRefusal(t, http.StatusUnauthorized, "NotRun", "Unauthorized")
			if a := c.complete(i, betaKey, "x", 1, false); a.status != http.StatusOK {
				t.Errorf("node %d with a valid key: %d %s", i, a.status, a.body)
			}
		}
		c.complete(2, alphaKey, "x", 1, false).checkRefusal(t, http.StatusServiceUnavailable, "NotRun", "Isolated")
		// The route needs no key. The test only checks that it isn't refused for
		// lack of one.
		if a := c.send(c.request(c.ctx, 2, "", "GET", "/desk/fees", "")); a.status == http.StatusUnauthorized {
			t.Errorf("open route on the partitioned node: %d %s", a.status, a.body)
		}
		c.heal(2)
		time.Sleep(30 * time.Second)
		c.complete(2, alphaKey, "x", 1, false).checkRefusal(t, http.StatusUnauthorized, "NotRun", "Unauthorized")
		if a := c.complete(2, betaKey, "x", 1, false); a.status != http.StatusOK {
			t.Errorf("node 2 with a valid key after the partition healed: %d %s", a.status, a.body)
		}
	})
}

// Guards against a queued request that runs although its key was withdrawn while
// it waited.
func TestWithdrawnKeyRefusesQueuedRequests(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for i := range 3 {
			c.config.Upstreams[i].Slots = 1
		}
		c.applyConfig()
		const busy = 12 // far more than the three slots
		running := make(chan answer, busy)
		for i := range busy {
			go func() { running <- c.complete(i%3, betaKey, "busy", 300, true) }()
		}
		time.Sleep(2 * time.Second)
		waiting := make(chan answer, 3)
		for i := range 3 {
			go func() { waiting <- c.complete(i, alphaKey, "waits", 5, false) }()
		}
		time.Sleep(time.Second)
		c.config.Keys = c.config.Keys[1:]
		c.applyConfig()
		for range busy {
			if a := <-running; !a.finished || a.text != wantText("busy", 300) {
				t.Errorf("running request with a valid key: finished %t, error %v", a.finished, a.err)
			}
		}
		for range 3 {
			a := <-waiting
			a.checkRefusal(t, http.StatusUnauthorized, "NotRun", "Withdrawn")
		}
	})
}

// Guards against a revision that takes longer than the bound to be in force, that
// a restarted node doesn't apply, or that is replaced by an older one while the
// store returns old data.
func TestConfigurationAppliesInTimeAndNeverReverts(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for range 5 {
			c.config.Workspaces[0].Weight++
			start := time.Now()
			c.applyConfig()
			if took := time.Since(start); took > configurationBound {
				t.Errorf("revision %d in force after %s of fake time", c.revision, took)
			}
		}
		old := c.store.Revision()
		c.config.Workspaces[0].Weight++
		c.applyConfig()
		c.kill(1)
		c.store.SetReadRevision(old)
		c.startNode(1)
		time.Sleep(30 * time.Second)
		for i, n := range c.nodes {
			if got := n.Snapshot().Revision(); got != c.revision {
				t.Errorf("node %d has revision %d while the store returns old data, want %d", i, got, c.revision)
			}
		}
	})
}

// Guards against completed work that isn't billed, or is billed twice, after a
// node was killed.
func TestUsageIsBilledOnceWhenNodeIsKilled(t *testing.T) {
	inCluster(t, func(c *cluster) {
		const requests, tokens = 30, 7
		for n := range requests {
			if a := c.complete(n%3, alphaKey, "bill", tokens, n%2 == 0); !a.finished {
				t.Errorf("request %d: %d %v", n, a.status, a.err)
			}
		}
		c.kill(2)
		time.Sleep(5 * time.Minute)
		billed := map[time.Time]int64{}
		var total int64
		for _, record := range c.platform.Records() {
			if record.Kind == providertest.Usage && record.Usage.Workspace == "o/alpha" {
				// A repeated report of a window has the same figures, or else it
				// is a violation.
				billed[record.Usage.Start] = record.Usage.CompletionTokens
			}
		}
		for _, n := range billed {
			total += n
		}
		if total != requests*tokens {
			t.Errorf("billed %d tokens, want %d", total, requests*tokens)
		}
		if conflicts := c.platform.Violations(); len(conflicts) > 0 {
			t.Error(conflicts)
		}
	})
}
