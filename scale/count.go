package scale

import (
	"bytes"
	"context"
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/storetest"
	"github.com/guavagauge/guavagauge/transport"
)

const noRegion = -1

// services are the names that begin the methods of net/rpc. They stand in the
// header of each request.
var services = [][]byte{[]byte("Membership."), []byte("Distribution."), []byte("Usage."), []byte("Steward.")}

var (
	storeReads  = []storetest.Kind{storetest.Get, storetest.List, storetest.Watch}
	storeWrites = []storetest.Kind{storetest.Put, storetest.Delete, storetest.Grant, storetest.KeepAlive, storetest.Revoke}
)

type (
	// Traffic is a number of messages and their bytes, counted once each, where
	// they are sent.
	Traffic struct{ Messages, Bytes int }

	// Cost is what a fleet did in a while.
	Cost struct {
		Seconds int
		// Peers is the traffic between nodes by service.
		Peers map[string]Traffic
		// The calls at the store, those of the operator included. A watch is a
		// read; calls about leases are writes.
		Reads, Writes, Watches int
		StoreBytes             int // keys and values in both directions
		Peak                   Peak
	}

	// Peak holds the highest figures of any second, each on its own.
	Peak struct{ ControlBytes, Reads, Writes, StoreBytes int }

	// counts are shared by all nodes of a fleet.
	counts struct {
		mu         sync.Mutex
		peers      map[string]Traffic
		storeBytes int
		apart      int           // region that is cut off, or noRegion
		joined     chan struct{} // closed when that changes
	}

	// network counts what is sent, and holds back what comes from another
	// region while one of the two is cut off.
	network struct {
		transport.Network
		counts *counts
		region int
		of     func(node int) int // region of a node
	}

	conn struct {
		net.Conn
		network *network
		remote  func() int // region of the other end
		// service is that of the last request, written or read. Control traffic and
		// requests' data have connections of their own, so an answer may at most be
		// counted for another service of the same class.
		service atomic.Pointer[string]
		closed  chan struct{}
		once    sync.Once
	}

	listener struct {
		net.Listener
		network *network
	}

	// countingStore counts the bytes of keys and values.
	countingStore struct {
		store.Client
		counts *counts
	}
)

// Control returns the traffic that doesn't belong to a request.
func (c Cost) Control() (sum Traffic) {
	for service, traffic := range c.Peers {
		if service != "Steward" {
			sum.Messages += traffic.Messages
			sum.Bytes += traffic.Bytes
		}
	}
	return sum
}

// Observe counts for a while, second by second. The function, if any, is called
// at the beginning of each second. While it runs for longer than that, seconds
// are counted on without further calls.
func (f *Cluster) Observe(while time.Duration, each func(second int)) (total Cost) {
	first := f.sample()
	last := first
	var worst Peak
	for second := range int(while / time.Second) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			if each != nil {
				each(second)
			}
		}()
		for running := true; running; {
			time.Sleep(time.Second)
			next := f.sample()
			diff := next.minus(last)
			worst.ControlBytes = max(worst.ControlBytes, diff.Control().Bytes)
			worst.Reads = max(worst.Reads, diff.Reads)
			worst.Writes = max(worst.Writes, diff.Writes)
			worst.StoreBytes = max(worst.StoreBytes, diff.StoreBytes)
			last = next
			total.Seconds++
			select {
			case <-done:
				running = false
			default:
			}
		}
	}
	seconds := total.Seconds
	total = last.minus(first)
	total.Seconds, total.Peak = seconds, worst
	return total
}

func (f *Cluster) sample() (c Cost) {
	for _, kind := range storeReads {
		c.Reads += f.Store.Calls(kind)
	}
	for _, kind := range storeWrites {
		c.Writes += f.Store.Calls(kind)
	}
	c.Watches = f.Store.Calls(storetest.Watch)
	f.counts.mu.Lock()
	defer f.counts.mu.Unlock()
	c.Peers, c.StoreBytes = maps.Clone(f.counts.peers), f.counts.storeBytes
	return c
}

func (c Cost) minus(earlier Cost) (diff Cost) {
	diff = Cost{
		Peers: make(map[string]Traffic), Reads: c.Reads - earlier.Reads, Writes: c.Writes - earlier.Writes,
		Watches: c.Watches - earlier.Watches, StoreBytes: c.StoreBytes - earlier.StoreBytes,
	}
	for service, t := range c.Peers {
		diff.Peers[service] = Traffic{t.Messages - earlier.Peers[service].Messages, t.Bytes - earlier.Peers[service].Bytes}
	}
	return diff
}

func newCounts() *counts {
	return &counts{peers: make(map[string]Traffic), apart: noRegion, joined: make(chan struct{})}
}

func (c *counts) cut(region int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apart = region
	close(c.joined)
	c.joined = make(chan struct{})
}

// awaitPath returns false when done closes first.
func (c *counts) awaitPath(a, b int, done <-chan struct{}) bool {
	for {
		c.mu.Lock()
		apart := a != b && (a == c.apart || b == c.apart)
		joined := c.joined
		c.mu.Unlock()
		if !apart {
			return true
		}
		select {
		case <-joined:
		case <-done:
			return false
		}
	}
}

// Dial implements transport.Network.
func (n *network) Dial(ctx context.Context, address netip.AddrPort) (result net.Conn, err error) {
	remote := n.of(index(address.Addr()))
	if !n.counts.awaitPath(n.region, remote, ctx.Done()) {
		return nil, ctx.Err()
	}
	c, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, network: n, remote: func() int { return remote }, closed: make(chan struct{})}, nil
}

// Listen implements transport.Network.
func (n *network) Listen(ctx context.Context, address netip.AddrPort) (result net.Listener, err error) {
	l, err := n.Network.Listen(ctx, address)
	return &listener{l, n}, err
}

// Accept implements net.Listener.
func (l *listener) Accept() (result net.Conn, err error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	remote := func() int {
		return l.network.of(index(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()))
	}
	return &conn{Conn: c, network: l.network, remote: remote, closed: make(chan struct{})}, nil
}

// Read holds back what comes from a region that is cut off.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if !c.network.counts.awaitPath(c.network.region, c.remote(), c.closed) {
		return 0, net.ErrClosed
	}
	c.note(b[:n])
	return n, err
}

// Write counts the bytes as those of the service that they name, and answers as
// those of the request that was read last.
func (c *conn) Write(b []byte) (n int, err error) {
	c.note(b)
	if service := c.service.Load(); service != nil {
		counts := c.network.counts
		counts.mu.Lock()
		t := counts.peers[*service]
		counts.peers[*service] = Traffic{t.Messages + 1, t.Bytes + len(b)}
		counts.mu.Unlock()
	}
	return c.Conn.Write(b)
}

// note remembers the service that a request names.
func (c *conn) note(b []byte) {
	for _, service := range services {
		if bytes.Contains(b, service) {
			name := string(bytes.TrimSuffix(service, []byte(".")))
			c.service.Store(&name)
			return
		}
	}
}

// SetLinger passes on the option, which a wrapped connection hides.
func (c *conn) SetLinger(seconds int) (err error) {
	if inner, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}

// Close ends a Read that is held back.
func (c *conn) Close() (err error) {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Get implements store.Client.
func (s *countingStore) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	entry, err = s.Client.Get(ctx, key)
	s.add(len(key) + len(entry.Value))
	return entry, err
}

// List implements store.Client.
func (s *countingStore) List(ctx context.Context, prefix string) (entries []store.Entry, err error) {
	entries, err = s.Client.List(ctx, prefix)
	for _, entry := range entries {
		s.add(len(entry.Key) + len(entry.Value))
	}
	return entries, err
}

// Put implements store.Client.
func (s *countingStore) Put(ctx context.Context, request store.PutRequest) (version uint64, err error) {
	s.add(len(request.Key) + len(request.Value))
	return s.Client.Put(ctx, request)
}

// Watch implements store.Client.
func (s *countingStore) Watch(ctx context.Context, request store.WatchRequest) (events []store.Event, revision uint64, err error) {
	events, revision, err = s.Client.Watch(ctx, request)
	for _, event := range events {
		s.add(len(event.Entry.Key) + len(event.Entry.Value))
	}
	return events, revision, err
}

func (s *countingStore) add(bytes int) {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	s.counts.storeBytes += bytes
}
