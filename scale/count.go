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

// serviceMethodPrefixes are the prefixes of net/rpc's ServiceMethod, which the
// header of each request holds. They identify the service that bytes belong to.
var serviceMethodPrefixes = [][]byte{[]byte("Membership."), []byte("Distribution."), []byte("Usage."), []byte("Steward.")}

var (
	storeReads  = []storetest.Kind{storetest.Get, storetest.List, storetest.Watch}
	storeWrites = []storetest.Kind{storetest.Put, storetest.Delete, storetest.Grant, storetest.KeepAlive, storetest.Revoke}
)

type (
	// Traffic counts messages and their bytes. Each write to a connection counts as
	// a message, once, by its sender. Writes before the connection's first request
	// aren't counted.
	Traffic struct{ Messages, Bytes int }

	// Cost is the traffic and the store calls of a fleet over an interval.
	Cost struct {
		Seconds int
		// Peers is the traffic between nodes, by net/rpc service.
		Peers map[string]Traffic
		// Reads and Writes count the calls to the store, those of the operator
		// included. Reads include the watches, Writes the calls about leases.
		Reads, Writes, Watches int
		StoreBytes             int // keys and values that Get, List, Put and Watch send or receive
		Peak                   Peak
	}

	// Peak holds the highest value of each figure in any second. The values may
	// be from different seconds.
	Peak struct{ ControlBytes, Reads, Writes, StoreBytes int }

	// counters are shared by all nodes of a fleet. They also hold which region is
	// isolated from the others.
	counters struct {
		mu               sync.Mutex
		peers            map[string]Traffic
		storeBytes       int
		isolatedRegion   int           // or noRegion
		isolationChanged chan struct{} // closed and replaced when isolatedRegion changes
	}

	// network is the network of one node. It counts what the node sends, and holds
	// back what comes from another region while one of the two is isolated.
	network struct {
		transport.Network
		counters *counters
		region   int
		regionOf func(node int) int // returns the region of a node
	}

	conn struct {
		net.Conn
		network      *network
		remoteRegion func() int // returns the region of the other end
		// service is that of the last request written or read. A response to an
		// earlier request may therefore be counted for a wrong service, but not for
		// one of another class: control traffic and the data of requests use
		// separate connections.
		service atomic.Pointer[string]
		closed  chan struct{}
		once    sync.Once
	}

	listener struct {
		net.Listener
		network *network
	}

	// countingStore counts the bytes of keys and values that a store client sends
	// and receives.
	countingStore struct {
		store.Client
		counters *counters
	}
)

// Control returns the control traffic, which is that of all services but Steward,
// the schedulers' service that transports requests.
func (c Cost) Control() (sum Traffic) {
	for service, traffic := range c.Peers {
		if service != "Steward" {
			sum.Messages += traffic.Messages
			sum.Bytes += traffic.Bytes
		}
	}
	return sum
}

// Observe returns the cost of the fleet over the duration, in whole seconds. It
// calls eachSecond, if not nil, at the start of each second. A call that takes
// longer prolongs the observation, and eachSecond isn't called in the additional
// seconds.
func (f *Cluster) Observe(duration time.Duration, eachSecond func(second int)) (total Cost) {
	first := f.sample()
	last := first
	var peak Peak
	for second := range int(duration / time.Second) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			if eachSecond != nil {
				eachSecond(second)
			}
		}()
		for running := true; running; {
			time.Sleep(time.Second)
			next := f.sample()
			diff := next.minus(last)
			peak.ControlBytes = max(peak.ControlBytes, diff.Control().Bytes)
			peak.Reads = max(peak.Reads, diff.Reads)
			peak.Writes = max(peak.Writes, diff.Writes)
			peak.StoreBytes = max(peak.StoreBytes, diff.StoreBytes)
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
	total.Seconds, total.Peak = seconds, peak
	return total
}

// sample returns the counts since the start of the fleet.
func (f *Cluster) sample() (c Cost) {
	for _, kind := range storeReads {
		c.Reads += f.Store.Calls(kind)
	}
	for _, kind := range storeWrites {
		c.Writes += f.Store.Calls(kind)
	}
	c.Watches = f.Store.Calls(storetest.Watch)
	f.counters.mu.Lock()
	defer f.counters.mu.Unlock()
	c.Peers, c.StoreBytes = maps.Clone(f.counters.peers), f.counters.storeBytes
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

func newCounters() *counters {
	return &counters{peers: make(map[string]Traffic), isolatedRegion: noRegion, isolationChanged: make(chan struct{})}
}

// setIsolatedRegion cuts a region off from all others, or none for noRegion.
func (c *counters) setIsolatedRegion(region int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolatedRegion = region
	close(c.isolationChanged)
	c.isolationChanged = make(chan struct{})
}

// awaitReachable waits until regions a and b can reach each other. It returns
// false if done is closed before.
func (c *counters) awaitReachable(a, b int, done <-chan struct{}) bool {
	for {
		c.mu.Lock()
		isolated := a != b && (a == c.isolatedRegion || b == c.isolatedRegion)
		isolationChanged := c.isolationChanged
		c.mu.Unlock()
		if !isolated {
			return true
		}
		select {
		case <-isolationChanged:
		case <-done:
			return false
		}
	}
}

// Dial implements transport.Network.
func (n *network) Dial(ctx context.Context, address netip.AddrPort) (result net.Conn, err error) {
	remote := n.regionOf(nodeIndex(address.Addr()))
	if !n.counters.awaitReachable(n.region, remote, ctx.Done()) {
		return nil, ctx.Err()
	}
	c, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, network: n, remoteRegion: func() int { return remote }, closed: make(chan struct{})}, nil
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
		return l.network.regionOf(nodeIndex(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()))
	}
	return &conn{Conn: c, network: l.network, remoteRegion: remote, closed: make(chan struct{})}, nil
}

// Read implements net.Conn. It doesn't return while the region of the other end
// is unreachable.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if !c.network.counters.awaitReachable(c.network.region, c.remoteRegion(), c.closed) {
		return 0, net.ErrClosed
	}
	c.recordService(b[:n])
	return n, err
}

// Write implements net.Conn. It counts a request for the service that it names,
// and a response for the service of the last request.
func (c *conn) Write(b []byte) (n int, err error) {
	c.recordService(b)
	if service := c.service.Load(); service != nil {
		counts := c.network.counters
		counts.mu.Lock()
		t := counts.peers[*service]
		counts.peers[*service] = Traffic{t.Messages + 1, t.Bytes + len(b)}
		counts.mu.Unlock()
	}
	return c.Conn.Write(b)
}

// recordService sets service if the bytes name one.
func (c *conn) recordService(b []byte) {
	for _, service := range serviceMethodPrefixes {
		if bytes.Contains(b, service) {
			name := string(bytes.TrimSuffix(service, []byte(".")))
			c.service.Store(&name)
			return
		}
	}
}

// SetLinger sets the option on the wrapped connection. Without it, embedding
// net.Conn would hide that connection's method.
func (c *conn) SetLinger(seconds int) (err error) {
	if inner, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn. It also ends a Read that waits for a region.
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
	s.counters.mu.Lock()
	defer s.counters.mu.Unlock()
	s.counters.storeBytes += bytes
}
