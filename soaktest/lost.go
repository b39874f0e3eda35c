package main

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// lossSlack is the time after the last byte of a request within which its connection
// may end without an answer, if no upstream received the request.
const lossSlack = 200 * time.Millisecond

// checkLost checks that a request of which a raw caller sent every byte wasn't lost. A
// connection on which only the caller's timeout passed hasn't ended.
func (r *soakRun) checkLost(request *callerRequest) {
	sent := request.sent
	if sent.cut == nil {
		return
	}
	waited := sent.endedAt.Sub(sent.lastByteAt)
	receivers := r.receivers(request.id)
	switch {
	case errors.Is(sent.cut, os.ErrDeadlineExceeded):
		r.counts["timed out"]++
	case !sent.whole:
		r.counts["broken off"]++
	case sent.unprocessed && len(receivers) == 0:
		r.counts["unprocessed"]++
	case len(receivers) > 0 || waited > lossSlack:
		r.counts["lost"]++
		switch {
		case len(receivers) > 0:
			r.counts["lost and received"]++
		case errors.Is(sent.cut, syscall.ECONNRESET):
			r.counts["lost and reset"]++ // TCP resets a connection that is closed with unread data
		}
		r.addViolation("request %s to %s was lost: %s, %s after its last byte, status %d, received by %v: %v",
			request.id, request.path, sent.detail, waited.Round(time.Millisecond/10), request.status, receivers, sent.cut)
	default:
		r.counts["crossed"]++
	}
}

// receivers returns the upstreams that a request reached.
func (r *soakRun) receivers(id string) (upstreams []string) {
	for name, upstream := range r.upstreams {
		if upstream.Received(id) {
			upstreams = append(upstreams, name)
		}
	}
	return upstreams
}
