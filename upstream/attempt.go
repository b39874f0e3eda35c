package upstream

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/transport"
)

const (
	// HeaderWorkStatus is the response header of a refusal that holds a
	// WorkStatus: whether the request may have run.
	HeaderWorkStatus = "Work-Status"
	// HeaderReason is the response header of a refusal that holds a Reason.
	HeaderReason = "Refusal-Reason"
	// HeaderWorkspace is the request header that names the workspace for which
	// an upstream runs the request.
	HeaderWorkspace = "Workspace"

	// longRequestLineBytes is half the write buffer of a net/http connection. A
	// longer request line may be written to the network before the first header
	// is traced. The other half is for the rest of the request line and the Host
	// header, which net/http writes before it traces it.
	longRequestLineBytes = 2048
)

// AttemptTrace records the progress of an HTTP request to an upstream. It never
// reports less progress than the request made.
type AttemptTrace struct{ progress atomic.Uint32 }

// TraceAttempt returns a context for one HTTP request and a trace of the
// request's progress. requestLineBytes is the length of the request's method and
// target.
func TraceAttempt(ctx context.Context, requestLineBytes int) (traced context.Context, trace *AttemptTrace) {
	trace = &AttemptTrace{}
	traced = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			trace.advance(NotWritten)
			if requestLineBytes > longRequestLineBytes {
				trace.advance(Written)
			}
		},
		// net/http calls this after it adds a header to the connection's write
		// buffer. At the first call, none of the request has reached the network
		// yet, unless the request line is long.
		WroteHeaderField:     func(string, []string) { trace.advance(Written) },
		GotFirstResponseByte: func() { trace.advance(Answered) },
	})
	return traced, trace
}

// Progress returns the furthest stage that the request reached.
func (t *AttemptTrace) Progress() Progress { return Progress(t.progress.Load()) }

// Failure returns the failure of a request that ended with err. The reason is
// ReasonDeadline or ReasonCanceled if ctx has ended, or else ReasonConnect if no
// connection was established, or else ReasonBadResponse if the response is malformed,
// or else ReasonBroken.
func (t *AttemptTrace) Failure(ctx context.Context, err error) *Failure {
	failure := &Failure{Reason: ReasonBroken, Progress: t.Progress(), Detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason = ReasonDeadline
	case ctx.Err() != nil:
		failure.Reason = ReasonCanceled
	case failure.Progress == NotDialed:
		failure.Reason = ReasonConnect
	case errors.Is(err, transport.ErrMalformedResponse):
		failure.Reason = ReasonBadResponse
	}
	return failure
}

// advance raises the progress to at least the given stage. It never lowers it:
// the transport may retry on another connection, which starts at an earlier
// stage.
func (t *AttemptTrace) advance(progress Progress) {
	for {
		old := t.progress.Load()
		if old >= uint32(progress) || t.progress.CompareAndSwap(old, uint32(progress)) {
			return
		}
	}
}
