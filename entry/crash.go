package entry

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/policy"
)

const (
	// crashLimit is the number of upstream crashes after which every node
	// quarantines a request. It bounds how many upstreams one request crashes. A
	// crash counts against every request that was running at the upstream, so a lower
	// limit would quarantine more requests that caused none.
	crashLimit = 3
	// quarantineTTL is how long the crashes of a request count after the last of
	// them, and so how long a quarantine lasts from the crash that reached the limit.
	quarantineTTL = time.Minute
	// crashProbeDelay is the time from a broken response to the probe of its
	// upstream, and the timeout of the probe. An upstream that crashed takes
	// seconds to restart.
	crashProbeDelay = 100 * time.Millisecond
	// quarantineRetryAfter is the Retry-After value for quarantined requests. It is
	// shorter than the quarantine, so a retry may be refused again.
	quarantineRetryAfter = 10 * time.Second
	// partCrashLimit is the number of upstream crashes after which every node
	// quarantines a part of prompts.
	partCrashLimit = 3
	// partQuarantineTTL is how long a part stays quarantined after its last crash.
	// Each end of a quarantine costs up to partCrashLimit upstreams if the part
	// still crashes them.
	partQuarantineTTL = 10 * time.Minute
	// accusedPartPrefix and clearedPartPrefix begin the Fingerprint of a crash that
	// counts against a prompt part, or that a later response cleared. Nodes that
	// don't know them count them as fingerprints that no request has.
	accusedPartPrefix = "part:"
	clearedPartPrefix = "cleared:"
	// crashAnnounceInterval is the time between messages with the crashes of all
	// quarantined parts, for nodes that have missed earlier ones.
	crashAnnounceInterval = time.Second
	// maxAnnouncedCrashes bounds the size of such a message.
	maxAnnouncedCrashes = 256
	// crashGossipTTL is how long a crash is included in messages to other nodes. It
	// is repeated since datagrams can be lost. Receivers count each event once.
	crashGossipTTL = time.Second
)

type (
	// crashTracker counts the upstream crashes by the fingerprint of the request
	// that was running, and by the parts of its prompt.
	crashTracker struct {
		lastEvent atomic.Int64 // makes the events of this node unique
		mu        sync.Mutex
		counts    *policy.Crashes // its upstream IDs are crash.Event here, so that each crash of an upstream counts
		parts     *policy.Suspects
		recent    []crash // observed by this node, to be sent to the others
	}

	// crash reports that an upstream crashed while it ran a request, or with
	// clearedPartPrefix that the crash doesn't count against a part.
	crash struct {
		_           struct{} `cbor:",toarray"`
		Fingerprint string
		Event       string // unique to the crash; of a part, the same at all nodes
		at          time.Time
	}
)

func newCrashTracker() (c *crashTracker) {
	return &crashTracker{
		counts: policy.NewCrashes(policy.CrashOptions{Limit: crashLimit, TTL: quarantineTTL}),
		parts:  policy.NewSuspects(policy.SuspectOptions{Limit: partCrashLimit, TTL: quarantineTTL, QuarantineTTL: partQuarantineTTL}),
	}
}

// sharedParts returns the parts of the prompt that other requests may have in
// common. The last part is the request's own.
func (e *exchange) sharedParts() (parts []string) {
	for _, part := range e.request.Prompt.Parts[:max(0, len(e.request.Prompt.Parts)-1)] {
		parts = append(parts, part.ID)
	}
	return parts
}

// clearParts records that a response on the parts of the request has begun, so
// none of them is the cause of the crashes before.
func (e *exchange) clearParts() {
	c, now := e.node.crashes, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range e.sharedParts() {
		for _, event := range c.parts.Open(part, now) {
			c.parts.Report(policy.Accusation{Part: part, Crash: event, Cleared: true}, now)
			c.recent = append(c.recent, crash{Fingerprint: clearedPartPrefix + part, Event: event, at: now})
		}
	}
}

// fingerprint returns a hash of the workspace, method, URI and body of the
// request.
func (e *exchange) fingerprint() (text string) {
	digest := xxhash.New()
	for _, part := range []string{e.workspace, e.r.Method, requestURI(e.r)} {
		digest.WriteString(part)
		digest.Write([]byte{0})
	}
	digest.Write(e.body)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// quarantined reports whether the request, or requests with the same part of
// their prompts, have crashed too many upstreams.
func (e *exchange) quarantined() (ok bool) {
	c, now := e.node.crashes, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parts.Len() > 0 {
		if _, _, ok = c.parts.Quarantined(e.sharedParts(), now); ok {
			return true
		}
	}
	if c.counts.Len() == 0 {
		return false
	}
	_, ok = c.counts.Quarantined(e.fingerprint(), now)
	return ok
}

// probeAfterFailure checks whether an upstream whose response broke has crashed.
// If it still accepts connections, the request didn't crash it.
func (n *Node) probeAfterFailure(e *exchange, fingerprint string, upstream discovery.Upstream) {
	begun := e.responseBegun
	n.guard.Go("probe upstream", func() {
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
		n.logger.Info("upstream crashed while running a request", "Upstream", upstream.ID, "Request", e.request.ID,
			"Parts", e.request.Prompt.Parts, "ResponseBegun", begun, "Error", err)
		// Unique, so that a second crash of the same upstream counts.
		event := fmt.Sprintf("%s/%s/%d", upstream.ID, n.settings.Name, n.crashes.lastEvent.Add(1))
		observed := []crash{{Fingerprint: fingerprint, Event: event}}
		if !begun {
			sameCrash := fmt.Sprintf("%s/%d", upstream.ID, upstream.StartedAt.UnixMilli())
			for _, part := range e.sharedParts() {
				observed = append(observed, crash{Fingerprint: accusedPartPrefix + part, Event: sameCrash})
			}
		}
		n.recordCrashes(observed, true)
	})
}

// recordCrashes counts crashes. Those that this node observed itself are also
// sent to other nodes.
func (n *Node) recordCrashes(reported []crash, observedHere bool) {
	now := time.Now()
	c := n.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seen := range reported {
		if observedHere {
			seen.at = now
			c.recent = append(c.recent, seen)
		}
		if part, ok := strings.CutPrefix(seen.Fingerprint, accusedPartPrefix); ok {
			if c.parts.Report(policy.Accusation{Part: part, Crash: seen.Event}, now) {
				n.logger.Warn("prompt part quarantined", "Part", part, "Crashes", c.parts.Open(part, now))
				n.count("held_out", "PartCrashes")
			}
			continue
		}
		if part, ok := strings.CutPrefix(seen.Fingerprint, clearedPartPrefix); ok {
			c.parts.Report(policy.Accusation{Part: part, Crash: seen.Event, Cleared: true}, now)
			continue
		}
		before := c.counts.Count(seen.Fingerprint, now)
		if after := c.counts.Report(seen.Fingerprint, seen.Event, now); before < crashLimit && after >= crashLimit {
			n.logger.Warn("request quarantined", "Crashes", after)
			n.count("held_out", "Crashes")
		}
	}
}

// recentCrashes returns the crashes to send to other nodes, and drops older ones.
// Every crashAnnounceInterval they include those of all quarantined parts;
// announced holds the time of the last such message to the same nodes.
func (c *crashTracker) recentCrashes(now time.Time, announced *time.Time) (recent []crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seen := range c.recent {
		if now.Sub(seen.at) < crashGossipTTL {
			recent = append(recent, seen)
		}
	}
	c.recent = append([]crash(nil), recent...)
	if now.Sub(*announced) < crashAnnounceInterval {
		return recent
	}
	*announced = now
	for i, a := range c.parts.Announcements(now) {
		if i == maxAnnouncedCrashes {
			break
		}
		prefix := accusedPartPrefix
		if a.Cleared {
			prefix = clearedPartPrefix
		}
		recent = append(recent, crash{Fingerprint: prefix + a.Part, Event: a.Crash})
	}
	return recent
}
