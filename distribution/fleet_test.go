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

const removalLag = 4 * time.Second // until a killed node is no longer listed

type (
	// fleet carries calls between followers in memory and counts them.
	fleet struct {
		t      *testing.T
		ctx    context.Context
		server *storetest.Server
		set    *metrics.Set
		accept func(document *distribution.Document) error

		mu      sync.Mutex
		nodes   map[netip.AddrPort]*process
		members []distribution.Member // replaced, not modified
		highest map[string]uint64     // revision that each node had while ready
		cut     func(from, to int) bool
		delay   time.Duration // of each message
		// counting is off most of the time, since encoding takes long.
		counting     bool
		calls, bytes int
		surveys      map[int]int // calls by caller
	}

	process struct {
		*distribution.Follower
		receiver *distribution.Receiver
		stop     context.CancelFunc
	}

	caller struct {
		fleet *fleet
		from  int
	}
)

// run calls test in a bubble, with n nodes that have the first revision.
func run(t *testing.T, n, domains int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // slow store calls outlive their callers
			synctest.Wait()
		}()
		f := &fleet{
			t: t, ctx: ctx, server: storetest.New(storetest.Options{}), set: metrics.NewSet(),
			nodes: map[netip.AddrPort]*process{}, highest: map[string]uint64{}, surveys: map[int]int{},
		}
		f.apply()
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

func (f *fleet) start(i int) {
	ctx, cancel := context.WithCancel(f.ctx)
	self := distribution.Member{Name: name(i), Address: address(i), FailureDomain: f.members[i].FailureDomain}
	last := uint64(0)
	follower, err := distribution.NewFollower(ctx, distribution.FollowerOptions{
		Self: self, Peers: &caller{f, i}, Repository: repository(f.t, f.server.Client(name(i)), 100), KeepDeltas: 8, Metrics: f.set,
		Members: func() []distribution.Member { f.mu.Lock(); defer f.mu.Unlock(); return f.members },
		Validate: func(document *distribution.Document) error {
			if document.Revision <= last {
				f.t.Errorf("%s: revision %d after %d", self.Name, document.Revision, last)
			}
			if string(document.Entries["revision"]) != strconv.FormatUint(document.Revision, 10) || len(document.Entries) > 11 {
				f.t.Errorf("%s: revision %d holds the entries of %s", self.Name, document.Revision, document.Entries["revision"])
			}
			if f.accept != nil {
				if err := f.accept(document); err != nil {
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

func (f *fleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[address(i)].stop()
	delete(f.nodes, address(i))
}

func (f *fleet) node(i int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address(i)]
}

func (f *fleet) setCut(cut func(from, to int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// apply makes the next revision, in which each entry can be told from others.
func (f *fleet) apply() (revision uint64) {
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
// checks that no node goes back to a lower revision, also over a restart.
func (f *fleet) await(what string, limit time.Duration, condition func(i int, p *process) bool) time.Duration {
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
			f.t.Fatalf("%s: not after %v at %s", what, limit, name(failed))
		}
	}
}

func has(revision uint64) func(int, *process) bool {
	return func(_ int, p *process) bool { return p.Document().Revision >= revision }
}

func fresh(_ int, p *process) bool { return time.Since(p.ConfirmedAt()) < 4*time.Second }

// Call implements distribution.RPCClient.
func (c *caller) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) (err error) {
	f := c.fleet
	if !c.pass(ctx, c.from, index(to), method, args) {
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
		err = p.receiver.Notify(args.(*distribution.NotifyArgs), reply.(*distribution.Empty))
	case "Distribution.Survey":
		f.mu.Lock()
		f.surveys[c.from]++
		f.mu.Unlock()
		err = p.receiver.Survey(args.(*distribution.SurveyArgs), reply.(*distribution.SurveyReply))
	default:
		return errors.NotFoundf("method %s", method)
	}
	if err == nil && !c.pass(ctx, index(to), c.from, method, reply) {
		return ctx.Err()
	}
	return err
}

// pass counts one message. It returns false when the message is lost.
func (c *caller) pass(ctx context.Context, from, to int, method string, body any) bool {
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
	cut, delay := f.cut != nil && f.cut(from, to), f.delay
	f.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
	case delay > 0:
		time.Sleep(delay)
	}
	return ctx.Err() == nil
}

// count returns the messages, bytes and store calls of a while.
func (f *fleet) count(while func()) (calls, bytes, storeCalls int) {
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
