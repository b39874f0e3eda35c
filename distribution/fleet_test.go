package distribution_test

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/storetest"
)

const removalDelay = 4 * time.Second // until a killed node is removed from the members

type (
	// testFleet runs followers that share a store. It carries their calls to each
	// other in memory and counts them.
	testFleet struct {
		t        *testing.T
		ctx      context.Context
		server   *storetest.Server
		metrics  *metrics.Set
		validate func(document *distribution.Document) error

		mu      sync.Mutex
		nodes   map[netip.AddrPort]*process
		members []distribution.Member // copied on each change
		highest map[string]uint64     // highest revision of each node while it was ready
		blocked func(from, to int) bool
		delay   time.Duration // of each message
		// counting is off most of the time, because measuring a message requires
		// encoding it.
		counting     bool
		calls, bytes int
		surveys      map[int]int // number of Survey calls by caller
	}

	process struct {
		*distribution.Follower
		receiver *distribution.Receiver
		stop     context.CancelFunc
	}

	rpcClient struct {
		fleet *testFleet
		from  int
	}
)

// runFleet calls test in a synctest bubble, with n nodes that are ready and have
// revision 1.
func runFleet(t *testing.T, n, domains int, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // delayed store calls outlive their callers
			synctest.Wait()
		}()
		f := &testFleet{
			t: t, ctx: ctx, server: storetest.New(storetest.Options{}), metrics: metrics.NewSet(),
			nodes: map[netip.AddrPort]*process{}, highest: map[string]uint64{}, surveys: map[int]int{},
		}
		f.applyNext()
		for i := range n {
			f.members = append(f.members, distribution.Member{Name: name(i), Address: address(i), FailureDomain: fmt.Sprint(i % domains)})
		}
		for i := range n {
			f.start(i)
		}
		f.await("ready", 20*time.Second, func(_ int, p *process) bool {
			select {
			case <-p.Ready():
				return p.Document().Revision == 1
			default:
				return false
			}
		})
		test(t, f)
	})
}

func (f *testFleet) start(i int) {
	ctx, cancel := context.WithCancel(f.ctx)
	self := distribution.Member{Name: name(i), Address: address(i), FailureDomain: f.members[i].FailureDomain}
	last := uint64(0)
	follower, err := distribution.NewFollower(ctx, distribution.FollowerOptions{
		Self: self, Peers: &rpcClient{f, i}, Repository: repository(f.t, f.server.Client(name(i)), 100), KeepDeltas: 8, Metrics: f.metrics,
		Members: func() []distribution.Member { f.mu.Lock(); defer f.mu.Unlock(); return f.members },
		Validate: func(document *distribution.Document) error {
			if document.Revision <= last {
				f.t.Errorf("%s: revision %d after %d", self.Name, document.Revision, last)
			}
			if string(document.Entries["revision"]) != strconv.FormatUint(document.Revision, 10) || len(document.Entries) > 11 {
				f.t.Errorf("%s: revision %d has the entries of revision %s", self.Name, document.Revision, document.Entries["revision"])
			}
			if f.validate != nil {
				if err := f.validate(document); err != nil {
					return err
				}
			}
			last = document.Revision
			return nil
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	p := &process{follower, follower.Receiver(), cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[address(i)] = p
	if !slices.ContainsFunc(f.members, func(m distribution.Member) bool { return m.Name == self.Name }) {
		f.members = append(slices.Clone(f.members), self)
	}
}

func (f *testFleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[address(i)].stop()
	delete(f.nodes, address(i))
}

func (f *testFleet) node(i int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address(i)]
}

func (f *testFleet) setBlocked(blocked func(from, to int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
}

// applyNext applies the next revision. Its entry "revision" holds the number, so
// that a document with the entries of another revision is detected. The document
// has at most ten other entries, key-0 to key-9.
func (f *testFleet) applyNext() (revision uint64) {
	r := repository(f.t, f.server.Client("operator"), 100)
	document, err := r.Latest(f.ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	entries := maps.Clone(document.Entries)
	revision = document.Revision + 1
	entries["revision"] = strconv.AppendUint(nil, revision, 10)
	if key := fmt.Sprint("key-", revision%10); revision%20 < 10 {
		entries[key] = make([]byte, 200)
	} else {
		delete(entries, key)
	}
	if got, err := r.Apply(f.ctx, document.Revision, entries, distribution.ChangeInfo{Author: "amani"}); err != nil || got != revision {
		f.t.Fatal(got, err)
	}
	return revision
}

// await advances time until the condition holds for every running node. It
// checks that no node moves to a lower revision, not even after a restart.
func (f *testFleet) await(what string, limit time.Duration, condition func(i int, p *process) bool) time.Duration {
	f.t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		failed := -1
		f.mu.Lock()
		nodes := maps.Clone(f.nodes)
		f.mu.Unlock()
		for at, p := range nodes {
			i := index(at)
			select {
			case <-p.Ready():
				if revision := p.Document().Revision; revision < f.highest[name(i)] {
					f.t.Errorf("%s: revision %d after %d", name(i), revision, f.highest[name(i)])
				} else {
					f.highest[name(i)] = revision
				}
			default:
			}
			if failed < 0 && !condition(i, p) {
				failed = i
			}
		}
		if failed < 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			f.t.Fatalf("%s: not within %v on %s", what, limit, name(failed))
		}
	}
}

func hasRevision(revision uint64) func(int, *process) bool {
	return func(_ int, p *process) bool { return p.Document().Revision >= revision }
}

// isFresh reports whether a node's document was confirmed in the last 4 s.
func isFresh(_ int, p *process) bool { return time.Since(p.ConfirmedAt()) < 4*time.Second }

// Call implements distribution.RPCClient.
func (c *rpcClient) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) (err error) {
	f := c.fleet
	if !c.transmit(ctx, c.from, index(to), method, args) {
		return ctx.Err()
	}
	p := f.node(index(to))
	if p == nil {
		return errors.New("connection refused")
	}
	switch method {
	case "Distribution.Pull":
		err = p.receiver.Pull(args.(*distribution.PullArgs), reply.(*distribution.PullReply))
	case "Distribution.Notify":
		err = p.receiver.Notify(args.(*distribution.NotifyArgs), reply.(*distribution.NotifyReply))
	case "Distribution.Survey":
		f.mu.Lock()
		f.surveys[c.from]++
		f.mu.Unlock()
		err = p.receiver.Survey(args.(*distribution.SurveyArgs), reply.(*distribution.SurveyReply))
	default:
		return errors.NotFoundf("method %s", method)
	}
	if err == nil && !c.transmit(ctx, index(to), c.from, method, reply) {
		return ctx.Err()
	}
	return err
}

// transmit delays and counts one message. It returns false if the message is
// lost.
func (c *rpcClient) transmit(ctx context.Context, from, to int, method string, body any) bool {
	f := c.fleet
	f.mu.Lock()
	if f.counting {
		f.calls++
		n, err := peer.MessageBytes(method, body)
		if err != nil {
			panic(err)
		}
		f.bytes += n
	}
	blocked, delay := f.blocked != nil && f.blocked(from, to), f.delay
	f.mu.Unlock()
	switch {
	case blocked:
		<-ctx.Done()
	case delay > 0:
		time.Sleep(delay)
	}
	return ctx.Err() == nil
}

// count returns the numbers of messages, bytes and store calls while a function
// runs.
func (f *testFleet) count(while func()) (calls, bytes, storeCalls int) {
	f.mu.Lock()
	f.counting, f.calls, f.bytes = true, 0, 0
	f.mu.Unlock()
	f.server.ResetCalls()
	while()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counting = false
	return f.calls, f.bytes, f.server.TotalCalls()
}

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
}

func index(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[2])*250 + int(b[3]) - 1
}
