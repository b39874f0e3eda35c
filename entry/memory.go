package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/http1"
	"github.com/guavagauge/guavagauge/relay"
	"github.com/guavagauge/guavagauge/resources"
)

const (
	// firstBufferBytes is the size of a body's first buffer. Each further one has twice
	// the size, so that a body occupies memory only as it arrives.
	firstBufferBytes = 4 << 10
	// copyBufferBytes is the size of the buffer with which the rest of a long answer is
	// copied, if the node has memory for it.
	copyBufferBytes = 32 << 10
	// writeStall is how long an answer of which the caller takes nothing is kept. It is
	// longer than interruptions of the network after which connections go on.
	writeStall = 6 * time.Second

	errMemoryExhausted = errors.ConstError("the memory for bodies is exhausted")
	errSlowCaller      = errors.ConstError("the caller read too slowly for the deadline")
)

// heldBuffer is a buffer whose capacity counts against the node's memory until it is
// released.
type heldBuffer struct {
	account *resources.Account
	member  *resources.Member // whose body it is, or nil
	kind    resources.Kind
	data    []byte
	// wholeOnly means that a part of the body is of no use. A buffer that can't grow
	// makes room for the others at once: of several that need more memory at the
	// same time, not all fail.
	wholeOnly bool
}

// timedWriter measures the time that writes take.
type timedWriter struct {
	io.Writer
	took time.Duration
}

// callerLimits returns the limits of the configuration in force for callers'
// connections, and before there is one those that no caller exceeds.
func (n *Node) callerLimits() (limits http1.Limits) {
	if table := n.table.Load(); table != nil {
		l := table.Limits
		limits = http1.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
	}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = callerIdleTimeout
	}
	return limits
}

// newAccount returns the owner of the node's memory and descriptors.
func (n *Node) newAccount() (a *resources.Account) {
	a = resources.New(resources.Options{
		MemoryBytes: int64(n.settings.Limits.MemoryMB) << 20, Descriptors: n.settings.Limits.Descriptors,
		Logger: n.logger, Metrics: n.Metrics, MetricPrefix: "guavagauge_entry_",
	})
	n.Metrics.NewGauge("guavagauge_entry_held_body_bytes", func() float64 {
		return float64(a.Held(resources.Bodies) + a.Held(resources.Answers))
	})
	return a
}

// grow makes room for at least one more byte, in a buffer of at most limit bytes.
func (b *heldBuffer) grow(limit int) (ok bool) {
	return b.resize(min(max(2*cap(b.data), firstBufferBytes), limit))
}

// resize changes the capacity, which must be more than the length.
func (b *heldBuffer) resize(capacity int) (ok bool) {
	if capacity <= len(b.data) {
		return false
	}
	forfeited := 0
	if b.wholeOnly {
		forfeited = cap(b.data)
	}
	if !b.account.Hold(b.kind, b.member, capacity-cap(b.data), capacity, forfeited, time.Now()) {
		if b.wholeOnly {
			b.data = nil
		}
		return false
	}
	b.data = append(make([]byte, 0, capacity), b.data...)
	return true
}

// readFrom reads until the end of the reader, until limit bytes are held, or until the
// budget is exhausted. It reports whether the end was reached.
func (b *heldBuffer) readFrom(reader io.Reader, limit int) (ended bool, err error) {
	for {
		if len(b.data) == cap(b.data) && !b.grow(limit) {
			return false, nil
		}
		n, err := reader.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// append appends text, or returns false if the buffer would exceed limit bytes or the
// budget.
func (b *heldBuffer) append(text []byte, limit int) (ok bool) {
	for len(b.data)+len(text) > cap(b.data) {
		if !b.grow(limit) {
			return false
		}
	}
	b.data = append(b.data, text...)
	return true
}

// release stops counting the buffer, which must not be used any more.
func (b *heldBuffer) release() {
	b.account.Release(b.kind, b.member, cap(b.data))
	b.data = nil
}

// newBuffer returns an empty buffer that is released at the end of the exchange.
func (e *exchange) newBuffer(kind resources.Kind) (b *heldBuffer) {
	b = &heldBuffer{account: e.node.resources, kind: kind}
	e.buffers = append(e.buffers, b)
	return b
}

// releaseBuffers releases all buffers of the exchange, at its end.
func (e *exchange) releaseBuffers() {
	e.endUnderWay()
	for _, b := range e.buffers {
		b.release()
	}
	e.buffers = nil
}

// readBody reads the body of the request. It fails with errMemoryExhausted if the node
// holds too many bodies.
func (e *exchange) readBody(limit int64) (err error) {
	if e.r.ContentLength == 0 {
		return nil
	}
	buffer := e.newBuffer(resources.Bodies)
	buffer.member, buffer.wholeOnly = http1.Member(e.r.Context()), true
	if n := e.r.ContentLength + 1; n > 0 && n <= min(limit, resources.LargeBufferBytes) {
		buffer.resize(int(n))
	}
	// One byte more lets the reader report a body that exceeds the limit.
	ended, err := buffer.readFrom(http.MaxBytesReader(e.w, e.r.Body, limit), int(limit)+1)
	if err == nil && !ended {
		err = errMemoryExhausted
	}
	e.body = buffer.data
	return err
}

// readAhead reads the beginning of a response, at most readAheadBytes and less if the
// node holds too many bodies. The rest of a longer one remains to be read.
func (e *exchange) readAhead(response *relay.Response) (content []byte, err error) {
	buffer := e.newBuffer(resources.Answers)
	_, err = buffer.readFrom(response, readAheadBytes)
	return buffer.data, err
}

// copyRest forwards the rest of a response whose beginning readAhead returned and the
// caller has got. What the node holds of it is one buffer that counts.
func (e *exchange) copyRest(w *timedWriter, response *relay.Response) (err error) {
	buffer := e.buffers[len(e.buffers)-1]
	if cap(buffer.data) > copyBufferBytes || cap(buffer.data) == 0 {
		buffer.release()
		buffer.resize(copyBufferBytes)
	}
	space := buffer.data[:cap(buffer.data)]
	if len(space) == 0 {
		space = make([]byte, firstBufferBytes) // counts as a part of the request
	}
	_, err = io.CopyBuffer(w, struct{ io.Reader }{response}, space)
	return err
}

// Write implements io.Writer.
func (w *timedWriter) Write(p []byte) (n int, err error) {
	err = w.measure(func() (err error) {
		n, err = w.Writer.Write(p)
		return err
	})
	return n, err
}

// measure calls a function that writes.
func (w *timedWriter) measure(write func() error) (err error) {
	begin := time.Now()
	defer func() { w.took += time.Since(begin) }()
	return write()
}

// slow reports whether the deadline of ctx has passed because of the caller: most of the
// time since begin was spent in writes.
func (w *timedWriter) slow(ctx context.Context, begin time.Time) (ok bool) {
	return ctx.Err() != nil && w.took > time.Since(begin)/2
}

// beginUnderWay counts the request as under way to an upstream, in place of the last one.
func (e *exchange) beginUnderWay(upstream discovery.Upstream) (ok bool) {
	e.endUnderWay()
	if ok = e.node.underWay.Begin(upstream.ID, upstream.Slots, len(e.body)); ok {
		e.underWayTo = upstream.ID
		return true
	}
	e.node.count("resources_under_way_refused", "Bytes")
	return false
}

func (e *exchange) endUnderWay() {
	if e.underWayTo != "" {
		e.node.underWay.End(e.underWayTo, len(e.body))
		e.underWayTo = ""
	}
}
