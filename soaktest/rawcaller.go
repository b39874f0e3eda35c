package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
)

const (
	// maxGap is the longest pause between two requests on a busy connection.
	maxGap = 60 * time.Millisecond
	// maxIdle is the longest time for which a held connection is idle.
	maxIdle = 4 * time.Second
	// maxRedialPause is the longest pause after a node refused a connection.
	maxRedialPause = 100 * time.Millisecond
	// maxSendPause is the longest pause in the middle of a request that is sent slowly.
	maxSendPause = 400 * time.Millisecond
	// stopCheckInterval is how often the caller of a held connection looks whether the
	// node has been told to stop.
	stopCheckInterval = 100 * time.Millisecond
	// maxAimError is the largest difference between an earlier close of connections and
	// a use that aims at it. It exceeds the error of the timers of a busy process.
	maxAimError = 5 * time.Millisecond
	// maxCloseDelays bounds the closes to aim at. Later ones replace earlier ones.
	maxCloseDelays = 256

	// Shares, each one of so many.
	busyShare    = 4 // of the connections, the others are held
	unusedShare  = 8 // of the connections, idle before their first request
	unaimedShare = 4 // of the uses of held connections during a stop
	slowShare    = 16
	pairShare    = 16
)

type (
	// rawCaller keeps one connection to a node open. It leaves it only if the node
	// closes it or says that it will, and then opens the next one. Unlike the client
	// of net/http, it never repeats a request.
	rawCaller struct {
		run    *soakRun
		node   *process
		random *rand.Rand
		name   string
		calls  int
		conn   net.Conn
		reader *bufio.Reader
	}

	// sending is how a raw caller sent a request and how its connection ended.
	sending struct {
		whole      bool      // every byte was sent
		lastByteAt time.Time // when that was done
		// cut is the end of the connection before a complete answer, or nil.
		cut     error
		endedAt time.Time
		// unprocessed means that the answer before, in a pipeline, said that the connection
		// ends. RFC 9112, section 9.6: the server doesn't process what follows.
		unprocessed bool
		detail      string // node, time since its SIGTERM and kind of request, for reports
	}
)

// startRawCallers starts the callers of a run with planned work in goroutines of
// running.
func (r *soakRun) startRawCallers(ctx context.Context, running *sync.WaitGroup) {
	for i, p := range r.nodes {
		for j := range r.options.conns {
			c := &rawCaller{run: r, node: p, random: rand.New(rand.NewPCG(r.seed, uint64(1+i*r.options.conns+j))), name: fmt.Sprintf("%s-%d", p.name, j)}
			running.Go(func() { c.keepConn(ctx) })
		}
	}
}

// keepConn opens one connection after another and uses each, until ctx ends.
func (c *rawCaller) keepConn(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.node.callerAddress, callerTimeout)
		if err != nil {
			time.Sleep(c.upTo(maxRedialPause)) // the node is being restarted
			continue
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
		c.useConn(ctx)
		conn.Close()
	}
}

// useConn sends requests until the node closes the connection or ctx ends.
func (c *rawCaller) useConn(ctx context.Context) {
	held := !c.oneOf(busyShare)
	if c.oneOf(unusedShare) && !c.idle(ctx, held) {
		return
	}
	for open := true; open; {
		open = c.exchange() && c.idle(ctx, held)
	}
}

// idle waits until the connection is to be used. It returns false if the node has
// closed it or ctx has ended. A held connection is used during the stop of its node.
func (c *rawCaller) idle(ctx context.Context, held bool) (open bool) {
	useAt := time.Now().Add(c.upTo(maxGap))
	if held {
		useAt = time.Now().Add(c.upTo(maxIdle))
	}
	stopping := false
	for now := time.Now(); now.Before(useAt); now = time.Now() {
		if ctx.Err() != nil {
			return false
		}
		if stopSentAt := c.node.stopRequestedAt(); held && !stopping && !stopSentAt.IsZero() {
			useAt, stopping = stopSentAt.Add(c.aimAtClose()), true
			continue
		}
		wakeAt := now.Add(stopCheckInterval)
		if useAt.Before(wakeAt) {
			wakeAt = useAt
		}
		c.conn.SetReadDeadline(wakeAt)
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			c.run.addViolation("node %s sent bytes on a connection without a request", c.node.name)
			return false
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.recordClose()
			return false
		}
	}
	return ctx.Err() == nil
}

// recordClose notes how long after the SIGTERM of its node a connection ended.
func (c *rawCaller) recordClose() {
	stopSentAt := c.node.stopRequestedAt()
	if stopSentAt.IsZero() {
		return
	}
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := time.Since(stopSentAt)
	if len(r.closeDelays) < maxCloseDelays {
		r.closeDelays = append(r.closeDelays, delay)
	} else {
		r.closeDelays[c.random.IntN(maxCloseDelays)] = delay
	}
}

// aimAtClose returns the time after a SIGTERM at which to use a connection: any, or
// close to the time at which nodes have closed connections before. A request is lost
// if it is being read at that moment, which chance alone hits too seldom.
func (c *rawCaller) aimAtClose() (delay time.Duration) {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.closeDelays) == 0 || c.oneOf(unaimedShare) {
		return c.upTo(maxIdle)
	}
	return r.closeDelays[c.random.IntN(len(r.closeDelays))] - maxAimError + c.upTo(2*maxAimError)
}

// exchange sends a request, sometimes slowly, or a pipelined pair of requests, and
// reads the answers. It returns whether the connection stays open.
func (c *rawCaller) exchange() (open bool) {
	kind, paths := "plain", []string{"/models/", "/rulings/", "/entries/", "/draws/"}
	count := 1
	switch {
	case c.oneOf(pairShare):
		kind, paths, count = "pipelined", paths[2:], 2 // answered at once
	case c.oneOf(slowShare):
		kind = "slow"
	}
	var message bytes.Buffer
	var calls []*callerRequest
	for range count {
		call := c.newCall(paths[c.random.IntN(len(paths))], kind)
		calls = append(calls, call)
		c.writeRequest(&message, call)
	}
	whole := c.write(message.Bytes(), kind == "slow")
	lastByteAt := time.Now()
	c.conn.SetReadDeadline(lastByteAt.Add(callerTimeout))
	for i, call := range calls {
		if i > 0 && !open && calls[i-1].complete {
			call.sent.detail += " behind an answer with Connection: close,"
			call.sent.unprocessed = true
		}
		call.sent.whole, call.sent.lastByteAt = whole, lastByteAt
		open = c.readAnswer(call)
	}
	return open
}

// newCall records the next request.
func (c *rawCaller) newCall(path, kind string) (call *callerRequest) {
	c.calls++
	call = &callerRequest{id: fmt.Sprintf("q%s-%d", c.name, c.calls), path: path + fmt.Sprint(c.calls), key: c.run.currentKey, sentAt: time.Now()}
	call.sent.detail = kind
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.requests[call.id] = call
	return call
}

// writeRequest appends the request to message.
func (c *rawCaller) writeRequest(message *bytes.Buffer, call *callerRequest) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.node.callerAddress+call.path, strings.NewReader(call.id))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header = platformtest.CallerHeader(call.id, call.key, 2500*time.Millisecond)
	platformtest.AddPrompt(request.Header, 1000, 1000)
	if err = request.Write(message); err != nil {
		panic(err)
	}
}

// write sends a message, if slow in two parts with a pause, and reports whether all of
// it was sent.
func (c *rawCaller) write(message []byte, slow bool) (whole bool) {
	if slow {
		part := 1 + c.random.IntN(len(message)-1)
		if _, err := c.conn.Write(message[:part]); err != nil {
			return false
		}
		time.Sleep(c.upTo(maxSendPause))
		message = message[part:]
	}
	_, err := c.conn.Write(message)
	return err == nil
}

// readAnswer reads the answer to a request and records it. It returns whether the
// connection stays open.
func (c *rawCaller) readAnswer(call *callerRequest) (open bool) {
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		call.status, call.seal, call.body, call.complete = response.StatusCode, platformtest.Seal(response.Header), string(body), err == nil
		open = call.complete && !response.Close
	}
	if err == nil {
		return open
	}
	call.sent.cut, call.sent.endedAt = err, time.Now()
	var network *net.OpError
	if !errors.As(err, &network) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		c.run.addViolation("request %s got bytes that are no answer: %v", call.id, err)
	}
	call.sent.detail += " request to " + c.node.name
	if stopSentAt := c.node.stopRequestedAt(); !stopSentAt.IsZero() {
		call.sent.detail += fmt.Sprintf(", %v after SIGTERM", call.sent.endedAt.Sub(stopSentAt).Round(time.Millisecond/10))
		c.recordClose()
	}
	return false
}

// upTo returns a random time below limit.
func (c *rawCaller) upTo(limit time.Duration) (d time.Duration) {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// oneOf returns true once in share times.
func (c *rawCaller) oneOf(share int) (chosen bool) { return c.random.IntN(share) == 0 }

// stopRequestedAt returns the time of the first SIGTERM since the process was started,
// or the zero time.
func (p *process) stopRequestedAt() (at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopSentAt
}
