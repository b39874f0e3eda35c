package caller

import (
	"context"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/upstream"
)

// poisonLimit is the number of distinct upstreams that a request may crash.
const poisonLimit = 2

// checkCrashes asks a home node how many upstreams the request has crashed, in
// case its caller sent it before, here or elsewhere. Without an answer the
// request goes on.
func (s *Server) checkCrashes(ex *exchange, fingerprint string) (refused *Refusal) {
	n := 0
	near, _ := s.options.Directory.CrashTrackers(fingerprint)
	for _, home := range near {
		if count, ok := s.askHome(ex.ctx, home, scheduler.CrashArgs{Fingerprint: fingerprint}, crashTimeout); ok {
			n = max(n, count)
			break
		}
		s.count("crash_checks_failed", upstream.ReasonPeer)
	}
	if n >= poisonLimit {
		return notRun(upstream.ReasonPoison, "the request crashed two upstreams and is held out for some minutes")
	}
	ex.suspect = n > 0
	return nil
}

// reportCrash tells the home nodes, and returns how many upstreams the request
// has crashed by what this node and the homes in its region know.
func (s *Server) reportCrash(ex *exchange, fingerprint string, spec *fleet.Upstream) (upstreams int) {
	if ex.crashed == nil {
		ex.crashed = make(map[string]bool)
	}
	ex.crashed[spec.QualifiedName()] = true
	upstreams = len(ex.crashed)
	args := scheduler.CrashArgs{Fingerprint: fingerprint, Upstream: spec.QualifiedName()}
	near, far := s.options.Directory.CrashTrackers(fingerprint)
	for _, home := range near {
		if n, ok := s.askHome(s.ctx, home, args, crashTimeout); ok {
			upstreams = max(upstreams, n)
		}
	}
	for _, home := range far {
		go func() { s.askHome(s.ctx, home, args, crashFarTimeout) }()
	}
	s.options.Logger.Warn("request crashed an upstream", "RequestID", ex.id, "Workspace", ex.workspaceKey(),
		"Upstream", spec.QualifiedName(), "Crashed", upstreams)
	return upstreams
}

func (s *Server) askHome(ctx context.Context, home scheduler.Address, args scheduler.CrashArgs, timeout time.Duration) (upstreams int, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply scheduler.CrashReply
	if err := s.options.Peers.Call(ctx, home, "Steward.Crash", args, &reply); err != nil {
		return 0, false
	}
	return reply.Upstreams, true
}
