package entry

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/policy"
)

const (
	// crashLimit is the number of crashes of upstreams after which a request is held
	// out everywhere.
	crashLimit = 3
	// crashKeep is how long a crash counts, and a request is held out.
	quarantineTTL = time.Minute
	// crashProbe is how long after a broken answer the upstream is looked for: one
	// that crashed takes seconds to come back.
	crashProbeDelay = 100 * time.Millisecond
	// crashRetry is told to the callers of requests that are held out.
	quarantineRetryAfter = 10 * time.Second
	// crashLife is how long a crash is repeated to other nodes.
	crashGossipTTL = time.Second
)

type (
	// crashes are the requests under which upstreams died.
	crashTracker struct {
		sequence atomic.Int64
		mu       sync.Mutex
		counts   *policy.Crashes
		recent   []crash
	}

	// crash says that an upstream died while it ran a request.
	crash struct {
		_           struct{} `cbor:",toarray"`
		Fingerprint string
		Event       string // unique to the crash
		at          time.Time
	}
)

func newCrashTracker() (c *crashTracker) {
	return &crashTracker{counts: policy.NewCrashes(policy.CrashOptions{Limit: crashLimit, TTL: quarantineTTL})}
}

// fingerprint is the same for requests of one workspace with the same path and
// body.
func (e *exchange) fingerprint() (text string) {
	digest := xxhash.New()
	for _, part := range []string{e.workspace, e.r.Method, requestURI(e.r)} {
		digest.WriteString(part)
		digest.Write([]byte{0})
	}
	digest.Write(e.body)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// heldOut reports whether the request has crashed too many upstreams.
func (e *exchange) quarantined() (ok bool) {
	c := e.node.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts.Len() == 0 {
		return false
	}
	_, ok = c.counts.Quarantined(e.fingerprint(), time.Now())
	return ok
}

// examine finds out whether an upstream whose answer broke is gone. If it still
// takes connections the request isn't to blame.
func (n *Node) probeAfterFailure(fingerprint string, upstream discovery.Upstream) {
	go func() {
		n.sleep(crashProbeDelay)
		ctx, cancel := context.WithTimeout(n.ctx, crashProbeDelay)
		defer cancel()
		conn, err := n.network.Dial(ctx, upstream.Address)
		if err == nil {
			conn.Close()
			return
		}
		if n.ctx.Err() != nil {
			return
		}
		n.logger.Info("upstream crashed under a request", "Upstream", upstream.ID, "Error", err)
		// Each crash counts, also of an upstream that came back.
		event := fmt.Sprintf("%s/%s/%d", upstream.ID, n.settings.Name, n.crashes.sequence.Add(1))
		n.recordCrashes([]crash{{Fingerprint: fingerprint, Event: event}}, true)
	}()
}

// takeCrashes counts crashes, and repeats those that this node saw to others.
func (n *Node) recordCrashes(reported []crash, observedHere bool) {
	now := time.Now()
	c := n.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seen := range reported {
		before := c.counts.Count(seen.Fingerprint, now)
		if after := c.counts.Report(seen.Fingerprint, seen.Event, now); before < crashLimit && after >= crashLimit {
			n.logger.Warn("request held out", "Crashes", after)
			n.count("held_out", "Crashes")
		}
		if observedHere {
			seen.at = now
			c.recent = append(c.recent, seen)
		}
	}
}

// told returns the crashes of which other nodes are told.
func (c *crashTracker) recentCrashes(now time.Time) (recent []crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seen := range c.recent {
		if now.Sub(seen.at) < crashGossipTTL {
			recent = append(recent, seen)
		}
	}
	c.recent = append([]crash(nil), recent...)
	return recent
}
