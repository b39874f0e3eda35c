package caller

import (
	"context"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/upstream"
)

// poisonThreshold is the number of distinct upstreams that a request has to
// crash to be refused as a poison request. Crash trackers count no further than
// the Limit of policy.CrashOptions, 2 by default, so a higher threshold would
// disable the refusal of later requests.
const poisonThreshold = 2

// checkCrashes asks a crash tracker in the region how many upstreams the request
// has crashed. That includes earlier requests with the same fingerprint, at any
// node. Each tracker that doesn't reply delays the request by
// crashTrackerTimeout. If none replies, the request is served.
func (s *Server) checkCrashes(ex *exchange, fingerprint string) (refused *Refusal) {
	n := 0
	near, _ := s.options.Directory.CrashTrackers(fingerprint)
	for _, tracker := range near {
		if count, ok := s.askCrashTracker(ex.ctx, tracker, scheduler.CrashArgs{Fingerprint: fingerprint}, crashTrackerTimeout); ok {
			n = max(n, count)
			break
		}
		s.count("crash_checks_failed", upstream.ReasonPeer)
	}
	if n >= poisonThreshold {
		return notRun(upstream.ReasonPoison, "the request crashed two upstreams and is quarantined for some minutes")
	}
	ex.poisonSuspect = n > 0
	return nil
}

// reportCrash reports to all crash trackers that the request crashed an
// upstream. It returns how many upstreams the request has crashed as far as this
// node and the trackers in its region know, and doesn't wait for the others.
func (s *Server) reportCrash(ex *exchange, fingerprint string, spec *fleet.Upstream) (upstreams int) {
	if ex.crashed == nil {
		ex.crashed = make(map[string]bool)
	}
	ex.crashed[spec.QualifiedName()] = true
	upstreams = len(ex.crashed)
	args := scheduler.CrashArgs{Fingerprint: fingerprint, Upstream: spec.QualifiedName()}
	near, far := s.options.Directory.CrashTrackers(fingerprint)
	for _, tracker := range near {
		if n, ok := s.askCrashTracker(s.ctx, tracker, args, crashTrackerTimeout); ok {
			upstreams = max(upstreams, n)
		}
	}
	for _, tracker := range far {
		go func() { s.askCrashTracker(s.ctx, tracker, args, remoteCrashTrackerTimeout) }()
	}
	s.options.Logger.Warn("request crashed an upstream", "RequestID", ex.id, "Workspace", ex.workspaceName(),
		"Upstream", spec.QualifiedName(), "Crashed", upstreams)
	return upstreams
}

// askCrashTracker calls a crash tracker and returns the number of upstreams that
// the request has crashed.
func (s *Server) askCrashTracker(ctx context.Context, tracker scheduler.Address, args scheduler.CrashArgs, timeout time.Duration) (upstreams int, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply scheduler.CrashReply
	if err := s.options.Peers.Call(ctx, tracker, "Steward.Crash", args, &reply); err != nil {
		return 0, false
	}
	return reply.Upstreams, true
}
