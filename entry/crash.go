package entry

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/dispatch"
	"github.com/guavagauge/guavagauge/policy"
)

const (
	// crashLimit is the number of upstream crashes after which every node
	// quarantines a request. It bounds how many upstreams one request crashes. A
	// crash counts against every request that was running at the upstream, so a lower
	// limit would quarantine more requests that caused none.
	crashLimit = 3
	// crashTTL is how long the crashes of a request or a prompt part below the limit
	// count after the last of them.
	crashTTL = time.Minute
	// requestQuarantineTTL is how long a request stays quarantined after its last
	// crash or retry. As retries prolong it, one that keeps coming crashes no further
	// upstream.
	requestQuarantineTTL = 10 * time.Minute
	// crashProbeDelay is the time from a broken response to the probe of its
	// upstream. An upstream that crashed takes seconds to restart.
	crashProbeDelay   = 100 * time.Millisecond
	crashProbeTimeout = 100 * time.Millisecond
	// abandonedProbeDelay is the same from the departure of a caller or the end of a
	// deadline. Upstreams that notice it have ended the request by then.
	abandonedProbeDelay = 500 * time.Millisecond
	// maxAbandonedProbes bounds such probes at the same time: many requests end at
	// their deadlines while upstreams are overloaded.
	maxAbandonedProbes = 64
	// crashRemovalPeriod is how long a probe without an answer waits for the removal of
	// the upstream's entry. Entries expire after three missed heartbeats.
	crashRemovalPeriod   = 10 * time.Second
	crashRemovalInterval = 250 * time.Millisecond
	// quarantineRetryAfter is the Retry-After value for quarantined requests. It is
	// shorter than the quarantine, so a retry is refused again.
	quarantineRetryAfter = 10 * time.Second
	// partCrashLimit is the number of upstream crashes after which every node
	// quarantines a part of prompts.
	partCrashLimit = 3
	// partQuarantineTTL is how long a part stays quarantined after its last crash.
	// Each end of a quarantine costs up to partCrashLimit upstreams if the part
	// still crashes them.
	partQuarantineTTL = 10 * time.Minute
	// accusedPartPrefix and clearedPartPrefix begin the Fingerprint of a crash that
	// counts against a prompt part, or that a later response cleared. With
	// clearedRequestPrefix, a complete response to the request cleared the crash. With
	// heldRequestPrefix, the request is quarantined for the time that Event holds in
	// milliseconds. Nodes that don't know a prefix count it as a fingerprint that no
	// request has.
	accusedPartPrefix    = "part:"
	clearedPartPrefix    = "cleared:"
	clearedRequestPrefix = "served:"
	heldRequestPrefix    = "held:"
	// crashAnnounceInterval is the time between messages with all quarantined requests
	// and the crashes of all quarantined parts, for nodes that have missed earlier ones.
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
		mu       sync.Mutex
		requests *policy.Suspects // by fingerprint
		parts    *policy.Suspects
		recent   []crash // observed by this node, to be sent to the others
	}

	// crash reports that an upstream crashed while it ran a request, or what else a
	// prefix of Fingerprint says.
	crash struct {
		_           struct{} `cbor:",toarray"`
		Fingerprint string
		Event       string // ID of the crash, the same at all nodes
		at          time.Time
	}
)

func newCrashTracker() (c *crashTracker) {
	return &crashTracker{
		requests: policy.NewSuspects(policy.SuspectOptions{Limit: crashLimit, TTL: crashTTL, QuarantineTTL: requestQuarantineTTL}),
		parts:    policy.NewSuspects(policy.SuspectOptions{Limit: partCrashLimit, TTL: crashTTL, QuarantineTTL: partQuarantineTTL}),
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

// clearRequest records that an upstream has completed the request, so it isn't the
// cause of the crashes before. Otherwise the crashes of unrelated causes would add up
// to a quarantine of a request that many callers send.
func (e *exchange) clearRequest() {
	c, now := e.node.crashes, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests.Len() == 0 {
		return
	}
	fingerprint := e.fingerprint()
	for _, event := range c.requests.Open(fingerprint, now) {
		c.requests.Report(policy.Accusation{Part: fingerprint, Crash: event, Cleared: true}, now)
		c.recent = append(c.recent, crash{Fingerprint: clearedRequestPrefix + fingerprint, Event: event, at: now})
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
// their prompts, have crashed too many upstreams. It prolongs the quarantine of the
// request.
func (e *exchange) quarantined() (ok bool) {
	c, now := e.node.crashes, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parts.Len() > 0 {
		if _, _, ok = c.parts.Quarantined(e.sharedParts(), now); ok {
			return true
		}
	}
	if c.requests.Len() == 0 {
		return false
	}
	fingerprint := e.fingerprint()
	if _, ok = c.requests.Held(fingerprint, now); ok {
		c.requests.Extend(fingerprint, now)
	}
	return ok
}

// probeAfterFailure checks whether an upstream whose response broke has crashed.
// If it still accepts connections, or was known to leave, the request didn't crash it.
func (n *Node) probeAfterFailure(e *exchange, job *dispatch.Job) {
	var parts []string
	if !e.responseBegun {
		parts = e.sharedParts()
	}
	requestID, fingerprint := e.request.ID, e.fingerprint()
	n.guard.Go("probe upstream", func() {
		n.sleep(crashProbeDelay)
		if err := n.probe(job.Upstream()); err != nil {
			n.reportCrash(requestID, fingerprint, job, parts, err)
		}
	})
}

// probeAbandoned checks whether an upstream crashes although its request has ended here:
// the caller left, or the deadline passed. The upstream may still run it, so each caller
// that leaves early would hide a request that crashes upstreams. A refused connection
// shows a crash. Silence can also be that of the network, or of a slow upstream: it shows
// one only if the upstream's entry is removed and no answer came since. Neither does if the
// upstream was known to leave. Parts of the prompt aren't accused, since less is known
// of what the upstream was running.
func (n *Node) probeAbandoned(e *exchange, job *dispatch.Job) {
	if n.abandonedProbes.Add(1) > maxAbandonedProbes {
		n.abandonedProbes.Add(-1)
		n.count("abandoned_probes", "Omitted")
		return
	}
	abandonedAt, silent := time.Now(), e.r.Context().Err() == nil
	// Without the exchange, whose body would be kept as long.
	requestID, fingerprint := e.request.ID, e.fingerprint()
	n.guard.Go("probe upstream of abandoned request", func() {
		defer n.abandonedProbes.Add(-1)
		n.sleep(abandonedProbeDelay)
		err := n.probe(job.Upstream())
		if !errors.Is(err, syscall.ECONNREFUSED) && (err == nil && !silent || !n.awaitRemoval(job, abandonedAt)) {
			return
		}
		n.reportCrash(requestID, fingerprint, job, nil, err)
	})
}

// probe opens and closes a connection to an upstream.
func (n *Node) probe(upstream discovery.Upstream) (err error) {
	ctx, cancel := context.WithTimeout(n.ctx, crashProbeTimeout)
	defer cancel()
	conn, err := n.network.Dial(ctx, upstream.Address)
	if err == nil {
		conn.Close()
	}
	return err
}

// awaitRemoval waits until the entry of a job's upstream is removed, and reports whether
// it is, without an answer of the upstream since it fell silent.
func (n *Node) awaitRemoval(job *dispatch.Job, silentSince time.Time) (removed bool) {
	for deadline := n.clock() + crashRemovalPeriod; n.clock() < deadline && n.ctx.Err() == nil; n.sleep(crashRemovalInterval) {
		state := job.UpstreamState()
		if !state.Registered || state.AnsweredAt.After(silentSince) {
			return !state.AnsweredAt.After(silentSince)
		}
	}
	return false
}

// reportCrash records that the upstream of a job crashed while it ran a request, unless it
// was known to leave. parts are those parts of the prompt that may be the cause.
func (n *Node) reportCrash(requestID, fingerprint string, job *dispatch.Job, parts []string, cause error) {
	if n.ctx.Err() != nil || job.UpstreamState().Leaving {
		return
	}
	upstream := job.Upstream()
	// A crash counts once, however many nodes and requests observe it.
	event := fmt.Sprintf("%s/%d", upstream.ID, upstream.StartedAt.UnixMilli())
	n.logger.Info("upstream crashed while running a request", "Upstream", upstream.ID, "Request", requestID,
		"Fingerprint", fingerprint, "Crash", event, "Parts", parts, "Error", cause)
	observed := []crash{{Fingerprint: fingerprint, Event: event}}
	for _, part := range parts {
		observed = append(observed, crash{Fingerprint: accusedPartPrefix + part, Event: event})
	}
	n.recordCrashes(observed, true)
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
		switch kind, name := cutCrashPrefix(seen.Fingerprint); kind {
		case accusedPartPrefix:
			if c.parts.Report(policy.Accusation{Part: name, Crash: seen.Event}, now) {
				n.logger.Warn("prompt part quarantined", "Part", name, "Crashes", c.parts.Open(name, now))
				n.count("held_out", "PartCrashes")
			}
		case clearedPartPrefix:
			c.parts.Report(policy.Accusation{Part: name, Crash: seen.Event, Cleared: true}, now)
		case clearedRequestPrefix:
			c.requests.Report(policy.Accusation{Part: name, Crash: seen.Event, Cleared: true}, now)
		case heldRequestPrefix:
			remainingMs, err := strconv.ParseInt(seen.Event, 10, 64)
			if err != nil {
				n.logger.Warn("quarantine from another node can't be decoded", "Fingerprint", name, "Error", err)
				continue
			}
			if remaining := time.Duration(remainingMs) * time.Millisecond; c.requests.Hold(name, remaining, now) {
				n.logger.Warn("request quarantined by another node", "Fingerprint", name, "Remaining", remaining)
				n.count("held_out", "Reported")
			}
		default:
			if c.requests.Report(policy.Accusation{Part: name, Crash: seen.Event}, now) {
				n.logger.Warn("request quarantined", "Fingerprint", name, "Crashes", c.requests.Open(name, now))
				n.count("held_out", "Crashes")
			}
		}
	}
}

// cutCrashPrefix splits the Fingerprint of a crash into its prefix, which is empty
// for the crash of a request, and the rest.
func cutCrashPrefix(text string) (prefix, rest string) {
	for _, prefix = range []string{accusedPartPrefix, clearedPartPrefix, clearedRequestPrefix, heldRequestPrefix} {
		if rest, ok := strings.CutPrefix(text, prefix); ok {
			return prefix, rest
		}
	}
	return "", text
}

// heldRequests returns the quarantined requests in the form in which nodes send them.
// The caller holds mu.
func (c *crashTracker) heldRequests(now time.Time) (held []crash) {
	for _, h := range c.requests.HeldParts(now) {
		held = append(held, heldRequest(heldRequestPrefix+h.Part, h.Remaining))
	}
	return held
}

// heldRequest returns a quarantine in the form in which nodes send it. fingerprint
// includes heldRequestPrefix.
func heldRequest(fingerprint string, remaining time.Duration) crash {
	return crash{Fingerprint: fingerprint, Event: strconv.FormatInt(remaining.Milliseconds(), 10)}
}

// partCrash returns an accusation of a prompt part in the form in which nodes send it.
func partCrash(a policy.Accusation) crash {
	if a.Cleared {
		return crash{Fingerprint: clearedPartPrefix + a.Part, Event: a.Crash}
	}
	return crash{Fingerprint: accusedPartPrefix + a.Part, Event: a.Crash}
}

// recentCrashes returns the crashes to send to other nodes, and drops older ones.
// Every crashAnnounceInterval they include all quarantined requests and the crashes
// of all quarantined parts; announced holds the time of the last such message to the
// same nodes.
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
	announcements := c.heldRequests(now)
	for _, a := range c.parts.Announcements(now) {
		announcements = append(announcements, partCrash(a))
	}
	return append(recent, announcements[:min(len(announcements), maxAnnouncedCrashes)]...)
}
