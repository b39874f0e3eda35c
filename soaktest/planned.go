package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

const (
	// plannedEnvironment is the environment of nodes in a run with planned work.
	plannedEnvironment = "GOMAXPROCS=1"
	// maxSeriesGap is the longest time between two SIGTERM of a series. A stop lasts
	// longer, so the stops of a series overlap.
	maxSeriesGap = 600 * time.Millisecond
	// maxSecondSignal is the longest time from a signal to the next to the same node.
	maxSecondSignal = 3 * time.Second
	// hangupStartTime is the time from starting a process until it surely handles SIGHUP,
	// also on a busy machine. Before, SIGHUP ends it, which is no fault of a node.
	hangupStartTime = time.Second
	// overlapTime is how long an upstream serves beside the one that replaces it.
	overlapTime = time.Second
	// drainTime is how long an upstream is listed as draining before it is removed.
	drainTime = 4 * time.Second
)

// Kinds of planned work.
const (
	restartTogether plannedWork = iota // SIGTERM to several nodes at once
	restartSeries                      // SIGTERM to several nodes, in an overlapping series
	restartSignaled                    // SIGHUP before SIGTERM, then SIGHUP and SIGTERM again
	restartStarting                    // SIGTERM to a node that has just been started
	reload                             // SIGHUP to all nodes
	reconfigure
	release // an upstream drains and another comes
	workKinds
)

type plannedWork int

// doPlannedWork starts random planned work in a goroutine of running.
func (r *soakRun) doPlannedWork(running *sync.WaitGroup) {
	kind := plannedWork(r.random.IntN(int(workKinds)))
	chosen := r.random.Perm(len(r.nodes))[:1+r.random.IntN(max(1, len(r.nodes)/2))]
	first := r.nodes[chosen[0]]
	pauses := [3]time.Duration{}
	for i := range pauses {
		pauses[i] = time.Duration(r.random.Int64N(int64(maxSecondSignal)))
	}
	gap := time.Duration(r.random.Int64N(int64(maxSeriesGap)))
	replaced := r.random.IntN(2)
	restart := func(p *process) { running.Go(func() { r.restartProcess(p, syscall.SIGTERM) }) }
	running.Go(func() {
		switch kind {
		case restartTogether:
			for _, i := range chosen {
				restart(r.nodes[i])
			}
		case restartSeries:
			for _, i := range chosen {
				restart(r.nodes[i])
				time.Sleep(gap)
			}
		case restartSignaled:
			first.hangUp()
			time.Sleep(gap)
			restart(first)
			time.Sleep(pauses[0])
			first.hangUp()
			time.Sleep(pauses[1] / 4)
			r.restartProcess(first, syscall.SIGTERM)
		case reload:
			for _, p := range r.nodes {
				p.hangUp()
				time.Sleep(gap / 4)
			}
		case restartStarting:
			r.restartProcess(first, syscall.SIGTERM)
			time.Sleep(pauses[2] / 4)
			r.restartProcess(first, syscall.SIGTERM)
		case reconfigure:
			r.mu.Lock()
			defer r.mu.Unlock()
			r.writeConfig(fmt.Sprintf("key-%d", r.configVersion+1))
		case release:
			r.releaseUpstream([2]string{"d0", "g0"}[replaced], [2]string{"d3", "g3"}[replaced])
		}
	})
}

// hangUp sends SIGHUP, unless the process has just been started.
func (p *process) hangUp() {
	p.mu.Lock()
	started := time.Since(p.startedAt) > hangupStartTime
	p.mu.Unlock()
	if started {
		p.signal(syscall.SIGHUP)
	}
}

// addSpareUpstreams starts an upstream of each service that isn't registered. A release
// exchanges it with one that is.
func (r *soakRun) addSpareUpstreams() {
	r.addUpstream("d3", "desk", "", &platformtest.Upstream{})
	r.addUpstream("g3", "models", "decode", &platformtest.Upstream{Events: streamEvents, Gap: 40 * time.Millisecond})
	for _, id := range []string{"d3", "g3"} {
		r.unregister(id)
	}
}

// unregister removes an upstream from the store.
func (r *soakRun) unregister(id string) { r.store.Delete(platform.UpstreamPrefix + id) }

// releaseUpstream registers an upstream in place of another, which drains, and
// exchanges them again later. It does nothing during another release.
func (r *soakRun) releaseUpstream(old, replacement string) {
	if !r.releasing.TryLock() {
		return
	}
	r.releases++
	defer r.releasing.Unlock()
	for _, pair := range [][2]string{{old, replacement}, {replacement, old}} {
		r.register(pair[1], "ready")
		time.Sleep(overlapTime)
		r.register(pair[0], "draining")
		time.Sleep(drainTime)
		r.unregister(pair[0])
	}
}

// plannedSummary counts the requests by outcome, as checkRequest and checkLost found
// them.
func (r *soakRun) plannedSummary() (text string) {
	restarts := 0
	for _, p := range r.nodes {
		restarts += p.starts - 1
	}
	return fmt.Sprintf("%d requests, %d complete answers, %d refused, %d lost (%d received by an upstream, %d others reset), %d crossed a close, %d behind an answer that ends the connection, %d broken off while sent, %d timed out, %d restarts, %d configurations, %d releases",
		len(r.requests), r.counts["whole"], r.counts["refused"], r.counts["lost"], r.counts["lost and received"], r.counts["lost and reset"], r.counts["crossed"], r.counts["unprocessed"], r.counts["broken off"], r.counts["timed out"],
		restarts, r.configVersion, r.releases)
}
