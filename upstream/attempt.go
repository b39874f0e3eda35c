package upstream

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	// HeaderWorkStatus of a refusal says whether the work ran.
	HeaderWorkStatus = "Work-Status"
	// HeaderReason of a refusal holds a Reason.
	HeaderReason = "Refusal-Reason"
	// HeaderWorkspace tells an upstream which workspace a request runs for.
	HeaderWorkspace = "Workspace"

	// longRequestLine is half the buffer of net/http's connections. A longer
	// request line may reach the wire before the first header is traced.
	longRequestLine = 2048
)

// Attempt records how far an HTTP request to an upstream got. It never claims
// less progress than was made.
type Attempt struct{ progress atomic.Uint32 }

// TraceAttempt returns a context for one HTTP request and the record of its
// progress. requestLineBytes is the length of its method and target.
func TraceAttempt(ctx context.Context, requestLineBytes int) (traced context.Context, attempt *Attempt) {
	attempt = &Attempt{}
	traced = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			attempt.reach(NotWritten)
			if requestLineBytes > longRequestLine {
				attempt.reach(Written)
			}
		},
		// This is called when a header enters the connection's buffer, so before
		// any byte of it can be on the wire.
		WroteHeaderField:     func(string, []string) { attempt.reach(Written) },
		GotFirstResponseByte: func() { attempt.reach(Answered) },
	})
	return traced, attempt
}

// Progress returns how far the request got.
func (a *Attempt) Progress() Progress { return Progress(a.progress.Load()) }

// Failure describes a request that ended with err.
func (a *Attempt) Failure(ctx context.Context, err error) *Failure {
	failure := &Failure{Reason: ReasonBroken, Progress: a.Progress(), Detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason = ReasonDeadline
	case ctx.Err() != nil:
		failure.Reason = ReasonCanceled
	case failure.Progress == NotDialed:
		failure.Reason = ReasonConnect
	}
	return failure
}

// reach raises the progress. The transport may retry on another connection, so
// it never falls.
func (a *Attempt) reach(progress Progress) {
	for {
		old := a.progress.Load()
		if old >= uint32(progress) || a.progress.CompareAndSwap(old, uint32(progress)) {
			return
		}
	}
}
