package clienttest

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// ciMemoryMB leaves an idle node, which occupies 16 MiB, room for its work. Heads of
	// 60 KB from ciCrowd clients exceed it.
	ciMemoryMB = 48
	// ciDescriptors is less than ciMany and twice ciCrowd, and more than twice ciFew.
	ciDescriptors = 740
	ciCrowd       = 600 // connections of most patterns
	ciMany        = 900 // connections of patterns that exceed ciDescriptors
	// ciFew is the number of connections of patterns whose requests are refused or
	// answered quickly, and that would need more memory or descriptors than the node
	// has if a slow machine read all of them at once.
	ciFew = 200

	// endlessBytes is what a client that sends without end sends at first, as fast as
	// it can. It exceeds every limit of the node and the receive buffer of its socket.
	endlessBytes = 512 << 10
	// endlessPause is the time between two further chunks, so that the clients leave
	// other tests on the machine some of its processors.
	endlessPause = 100 * time.Millisecond
	chunkBytes   = 4 << 10
	// Each malformedEvery-th client of Reconnects sends a malformed line, and has been
	// closed minReconnects times before the ordinary request is sent. The others alone
	// exceed ciDescriptors.
	malformedEvery = 6
	minReconnects  = 3
	// segmentBytes is the maximum segment size of a client, as on Ethernet. The sockets
	// of loopback connections have send buffers of 2.6 MB otherwise.
	segmentBytes = 1448
	// unreadBuffer is the receive buffer of a client that doesn't read, in bytes.
	unreadBuffer = 4 << 10

	head       = "POST /draws/one HTTP/1.1\r\nHost: a.example\r\n"
	headerRest = "Request-Id: crowd\r\nAuthorization: Token " + key + "\r\n"
)

var (
	crowdFlag       = flag.Int("crowd", 0, "connections of each pattern; 0: those of CI")
	memoryFlag      = flag.Int("memory", ciMemoryMB, "memory of the node's VM in MB")
	descriptorsFlag = flag.Int("descriptors", ciDescriptors, "file descriptors of the node's VM")

	patterns = []pattern{
		{name: "LongHeaderLines", clients: ciCrowd, play: sends(head + strings.Repeat("X-Long: "+strings.Repeat("x", 1014)+"\r\n", 60))},
		{name: "EmptyHeaderLines", clients: ciCrowd, play: sends(head + strings.Repeat("a:\r\n", 15000))},
		{name: "ParsedHeaderLines", clients: ciCrowd, play: sends(head + headerRest + "Content-Length: 4194304\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n")},
		{name: "PartOfBody", clients: ciCrowd, play: sends(head + headerRest + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("x", 64<<10))},
		{name: "EndlessHead", clients: ciFew, play: sendsEndlessly(head, "X-Long: "+strings.Repeat("x", 1014)+"\r\n")},
		{name: "EndlessLine", clients: ciFew, play: sendsEndlessly("GET /", "x")},
		{name: "EmptyLinesBeforeRequest", clients: ciCrowd, play: sendsEndlessly("", "\r\n")},
		{name: "EmptyLinesAfterAnswer", clients: ciFew, play: sendsEndlessly(head+headerRest+"Content-Length: 3\r\n\r\none", "\r\n")},
		{name: "EndlessChunkExtension", clients: ciCrowd, play: sendsEndlessly(head+headerRest+"Transfer-Encoding: chunked\r\n\r\n1;", "x")},
		{name: "ChunkExtensions", clients: ciCrowd, play: sendsEndlessly(head+headerRest+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("x", 1000)+"\r\nx\r\n")},
		{name: "UnreadAnswers", clients: ciCrowd, play: leavesUnread(largePath, 1)},
		{name: "UnreadPipelinedAnswers", clients: ciCrowd, play: leavesUnread(somePath, 200)},
		{name: "NoByte", clients: ciMany, play: sends("")},
		{name: "Reconnects", clients: ciMany, play: reconnectsAtOnce},
	}
)

type (
	// pattern is what the clients of a test send.
	pattern struct {
		name    string
		clients int // in CI
		// play acts as one client until ctx ends. It calls reached when the client has
		// sent what the pattern is about, or can't because its connection was closed.
		play func(ctx context.Context, c *client, reached func())
	}

	// client is one misbehaving client.
	client struct {
		node  *nodeProcess
		index int
	}
)

// Guards against clients that make a node exceed the memory or the descriptors of
// its VM, end it, or keep it from serving an ordinary request.
func TestMisbehavingClients(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildProgram(t)
	l := limits{memoryMB: *memoryFlag, descriptors: *descriptorsFlag}
	table := "| pattern | connections | peak resident | peak descriptors | answer while held | answer afterwards |\n|---|---|---|---|---|---|\n"
	mix := pattern{name: "Mix", clients: ciMany, play: func(ctx context.Context, c *client, reached func()) {
		patterns[c.index%len(patterns)].play(ctx, c, reached)
	}}
	for _, p := range append(patterns, mix) {
		if *crowdFlag > 0 {
			p.clients = *crowdFlag
		}
		t.Run(p.name, func(t *testing.T) { table += runPattern(t, startNode(t, program, l), p, l) })
	}
	t.Logf("%d MB, %d descriptors\n%s", l.memoryMB, l.descriptors, table)
}

// runPattern plays a pattern against a node and returns a line of the table.
func runPattern(t *testing.T, node *nodeProcess, p pattern, l limits) (row string) {
	sampleCtx, stopSampling := context.WithCancel(t.Context())
	defer stopSampling()
	node.sampleDescriptors(sampleCtx)
	answer := func(when string) (text string) {
		attempts, err := node.request()
		if err != nil {
			t.Errorf("ordinary request %s: %v after %d attempts", when, err, attempts)
			return strings.TrimSpace(err.Error())
		}
		return fmt.Sprintf("200 (attempt %d)", attempts)
	}
	answer("before the crowd")
	idle := node.peakMemory()

	ctx, end := context.WithCancel(t.Context())
	defer end()
	var playing, reaching sync.WaitGroup
	for i := range p.clients {
		reaching.Add(1)
		reached := sync.OnceFunc(reaching.Done)
		playing.Go(func() {
			defer reached()
			p.play(ctx, &client{node, i}, reached)
		})
	}
	allReached := make(chan struct{})
	go func() {
		defer close(allReached)
		reaching.Wait()
	}()
	node.await("each client has sent what it sends", func() bool {
		select {
		case <-allReached:
			return node.hasReadSilent()
		default:
			return false
		}
	})
	node.countDescriptors()
	held := answer("while the clients hold their connections")
	node.countDescriptors()
	end()
	playing.Wait()
	afterwards := answer("after the clients have left")
	stopSampling()
	node.sampled.Wait()

	if !node.alive() {
		t.Fatalf("the process ended")
	}
	peak, descriptors := node.peakMemory(), node.peakDescriptors
	t.Logf("resident %d KiB before the crowd, %d KiB at most; %d descriptors at most", idle, peak, descriptors)
	if peak > l.memoryMB<<10 {
		t.Errorf("%d KiB resident, want at most %d", peak, l.memoryMB<<10)
	}
	if descriptors > l.descriptors {
		t.Errorf("%d descriptors, want at most %d", descriptors, l.descriptors)
	}
	return fmt.Sprintf("| %s | %d | %d MiB | %d | %s | %s |\n", p.name, p.clients, peak>>10, descriptors, held, afterwards)
}

// connect opens a connection, which is closed without delay when ctx ends. It returns
// nil if the connection is refused.
func (c *client) connect(ctx context.Context, receiveBuffer int) (conn net.Conn) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			if err == nil && receiveBuffer > 0 {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}
		})
		if err == nil {
			err = controlErr
		}
		return err
	}}
	conn, err := dialer.DialContext(ctx, "tcp", c.node.caller)
	if err != nil {
		return nil
	}
	conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	context.AfterFunc(ctx, func() { conn.Close() })
	return conn
}

// sends returns a client that sends a text and then nothing, and reads what it gets.
func sends(text string) (play func(ctx context.Context, c *client, reached func())) {
	return func(ctx context.Context, c *client, reached func()) {
		conn := c.connect(ctx, 0)
		if conn == nil {
			return
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		c.node.silent.Store(localPort(conn), true)
		reached()
		io.Copy(io.Discard, conn) // until either side closes the connection
	}
}

// sendsEndlessly returns a client that sends a text, and then another one again and
// again until its connection is closed.
func sendsEndlessly(first, repeated string) (play func(ctx context.Context, c *client, reached func())) {
	chunk := bytes.Repeat([]byte(repeated), chunkBytes/len(repeated))
	return func(ctx context.Context, c *client, reached func()) {
		conn := c.connect(ctx, 0)
		if conn == nil {
			return
		}
		defer conn.Close()
		go io.Copy(io.Discard, conn) // until either side closes the connection
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
		for sent := 0; ; sent += len(chunk) {
			if _, err := conn.Write(chunk); err != nil {
				return
			}
			if sent < endlessBytes {
				continue
			}
			reached()
			select {
			case <-time.After(endlessPause):
			case <-ctx.Done():
			}
		}
	}
}

// leavesUnread returns a client that sends a number of requests at once and reads
// only the first byte of the answers.
func leavesUnread(path string, requests int) (play func(ctx context.Context, c *client, reached func())) {
	text := strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: a.example\r\n"+headerRest+"\r\n", requests)
	return func(ctx context.Context, c *client, reached func()) {
		conn := c.connect(ctx, unreadBuffer)
		if conn == nil {
			return
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		reached()
		<-ctx.Done()
	}
}

// reconnectsAtOnce connects again whenever its connection is closed. Some of the
// clients send a line for which the node has to close the connection, the others the
// beginning of a request.
func reconnectsAtOnce(ctx context.Context, c *client, reached func()) {
	malformed := c.index%malformedEvery == 0
	text := "GET /"
	if malformed {
		text = "\x00\r\n\r\n"
	}
	for closed := 0; ctx.Err() == nil; closed++ {
		conn := c.connect(ctx, 0)
		if conn == nil {
			continue
		}
		if _, err := io.WriteString(conn, text); err == nil {
			// The node has to read the first connection. It can't hold one of each client
			// at the same time.
			if !malformed && closed == 0 {
				c.node.silent.Store(localPort(conn), true)
			}
			if !malformed || closed >= minReconnects {
				reached()
			}
			io.Copy(io.Discard, conn) // until either side closes the connection
			c.node.silent.Delete(localPort(conn))
		}
		conn.Close()
	}
}

func localPort(conn net.Conn) (port uint16) { return conn.LocalAddr().(*net.TCPAddr).AddrPort().Port() }
