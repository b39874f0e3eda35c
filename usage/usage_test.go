package usage_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/providertest"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/storetest"
	"github.com/guavagauge/guavagauge/upstream"
	"github.com/guavagauge/guavagauge/usage"
)

const (
	window   = time.Minute
	lateness = 10 * time.Minute
	shards   = 2
)

var (
	errLost    = errors.ConstError("authority lost")
	workspaces = []string{"north/alpha", "south/alpha", "south/beta", "north/gamma"}
)

type (
	// fleet is a set of nodes that count usage, inside a synctest bubble.
	fleet struct {
		t        *testing.T
		ctx      context.Context
		cancel   context.CancelFunc
		network  *nettest.Network
		store    *storetest.Server
		platform *providertest.Server
		nodes    []*countingNode
		mu       sync.Mutex // guards alive, which the ledgers' goroutines read
		alive    map[usage.Source]usage.Member
		recorded map[string]int64 // completion tokens by workspace
		calls    atomic.Int64     // of all ledgers to witnesses
	}

	// countedCaller counts calls.
	countedCaller struct {
		peer.RPCClient
		calls *atomic.Int64
	}

	countingNode struct {
		member usage.Member
		ledger *usage.Ledger
		pool   *peer.Pool
		cancel context.CancelFunc
	}

	// authority may be taken away.
	authority struct{ lost *bool }
)

func (c countedCaller) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) error {
	c.calls.Add(1)
	return c.RPCClient.Call(ctx, address, method, args, reply)
}

func (a authority) Do(ctx context.Context, send func(ctx context.Context) error) error {
	if *a.lost {
		return errLost
	}
	return send(ctx)
}

// inFleet runs a test with n nodes over three failure domains.
func inFleet(t *testing.T, n int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, network: nettest.New(), store: storetest.New(storetest.Options{}), recorded: map[string]int64{},
			alive: map[usage.Source]usage.Member{},
		}
		f.ctx, f.cancel = context.WithCancel(context.Background())
		f.platform = providertest.New(f.ctx, providertest.Options{})
		for i := range n {
			f.start(i)
		}
		test(f)
		f.cancel()
		synctest.Wait()
	})
}

func (f *fleet) start(i int) {
	host := fmt.Sprintf("10.0.0.%d", i+1)
	ctx, cancel := context.WithCancel(f.ctx)
	n := &countingNode{cancel: cancel, member: usage.Member{
		Source:  usage.Source{Node: "node-" + host, Incarnation: uint64(time.Now().UnixNano())},
		Address: netip.MustParseAddrPort(host + ":7000"), FailureDomain: string(rune('a' + i%3)),
	}}
	n.pool = peer.NewPool(ctx, f.network.Host(host), peer.Control, peer.Options{})
	n.ledger = usage.NewLedger(ctx, usage.LedgerOptions{
		Source: n.member.Source, FailureDomain: n.member.FailureDomain, Members: f.members,
		Peers: countedCaller{n.pool, &f.calls}, Window: window,
	})
	listener, err := f.network.Host(host).Listen(ctx, n.member.Address)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := n.ledger.Register(peer.NewServer(ctx, listener, peer.Options{})); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.alive[n.member.Source] = n.member
	f.mu.Unlock()
	if i < len(f.nodes) {
		f.nodes[i] = n
	} else {
		f.nodes = append(f.nodes, n)
	}
}

func (f *fleet) members() (members []usage.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.alive))
}

func (f *fleet) kill(i int) {
	f.nodes[i].cancel()
	f.network.Crash(f.nodes[i].member.Address.Addr().String())
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.alive, f.nodes[i].member.Source)
}

// cutOff separates the fourth node from the first three, until heal.
func (f *fleet) cutOff() {
	for i := range 3 {
		f.network.Cut(fmt.Sprintf("10.0.0.%d", i+1), "10.0.0.4")
		f.network.Cut("10.0.0.4", fmt.Sprintf("10.0.0.%d", i+1))
	}
}

func (f *fleet) heal() {
	for i := range 3 {
		f.network.Heal(fmt.Sprintf("10.0.0.%d", i+1), "10.0.0.4")
		f.network.Heal("10.0.0.4", fmt.Sprintf("10.0.0.%d", i+1))
	}
}

// record bills some work at a node, and expects that it is held elsewhere too.
func (f *fleet) record(i int, workspace string, tokens int) {
	err := f.nodes[i].ledger.Record(f.ctx, workspace, upstream.Usage{CompletionTokens: tokens}, time.Second)
	if err != nil {
		f.t.Errorf("record at node %d: %v", i, err)
	}
	f.recorded[workspace] += int64(tokens)
}

// report runs reporters of all shards at a node until the time is over.
func (f *fleet) report(i int, a usage.Lease, d time.Duration) {
	f.reportWith(i, f.store.Client(fmt.Sprint("node-", i)), a, d)
}

func (f *fleet) reportWith(i int, client store.Client, a usage.Lease, d time.Duration) {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	for shard := range shards {
		reporter := usage.NewReporter(usage.ReporterOptions{
			Shard: shard, Shards: shards, Members: f.members, Peers: f.nodes[i].pool, Store: client,
			Platform: f.platform, Logger: slog.New(slog.NewTextHandler(f.t.Output(), nil)), Window: window, AllowedLateness: lateness,
		})
		go func() {
			for ctx.Err() == nil {
				reporter.Report(ctx, a) // as lease.Run does, with its pause
				select {
				case <-time.After(time.Second):
				case <-ctx.Done():
				}
			}
		}()
	}
	<-ctx.Done()
	synctest.Wait()
}

// check compares what the platform billed with what was recorded.
func (f *fleet) check() {
	f.t.Helper()
	billed := map[string]int64{}
	seen := map[string]int64{}
	for _, record := range f.platform.Records() {
		if record.Kind != providertest.Usage {
			continue
		}
		r := record.Usage
		key := r.Workspace + r.Start.String()
		if tokens, ok := seen[key]; ok && tokens != r.CompletionTokens {
			f.t.Errorf("%s was reported with %d and %d tokens", key, tokens, r.CompletionTokens)
		} else if !ok {
			billed[r.Workspace] += r.CompletionTokens
		}
		seen[key] = r.CompletionTokens
	}
	for _, workspace := range workspaces {
		if billed[workspace] != f.recorded[workspace] {
			f.t.Errorf("%s: billed %d tokens, recorded %d", workspace, billed[workspace], f.recorded[workspace])
		}
	}
	if conflicts := f.platform.Violations(); len(conflicts) > 0 {
		f.t.Errorf("the platform saw conflicts: %v", conflicts)
	}
}

func held() authority { return authority{lost: new(bool)} }

// Guards against completed work that isn't billed, or billed twice, when any
// one node is killed right after it answered.
func TestNodeDeathLosesNoUsage(t *testing.T) {
	for killed := range 4 {
		t.Run(fmt.Sprint("node ", killed), func(t *testing.T) {
			inFleet(t, 4, func(f *fleet) {
				random := rand.New(rand.NewPCG(1, uint64(killed)))
				for range 200 {
					f.record(random.IntN(4), workspaces[random.IntN(4)], 1+random.IntN(50))
				}
				f.record(killed, workspaces[0], 7)
				f.kill(killed)
				for range 50 {
					if i := random.IntN(4); i != killed {
						f.record(i, workspaces[random.IntN(4)], 1+random.IntN(50))
					}
				}
				f.report((killed+1)%4, held(), 5*window)
				f.check()
			})
		})
	}
}

// Guards against a restarted node whose former figures are lost or mixed up
// with its new ones.
func TestRestartKeepsFormerFigures(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.record(0, workspaces[0], 10)
		f.kill(0)
		time.Sleep(time.Second)
		f.start(0)
		f.record(0, workspaces[0], 5)
		f.report(1, held(), 4*window)
		f.check()
	})
}

// Guards against a window that is reported with other figures, or closed without
// a node that is cut off, and against losing that node's figures.
func TestCutOffNodeIsCarried(t *testing.T) {
	inFleet(t, 4, func(f *fleet) {
		for i := range 4 {
			f.record(i, workspaces[i], 10)
		}
		f.cutOff()
		err := f.nodes[3].ledger.Record(f.ctx, workspaces[0], upstream.Usage{CompletionTokens: 99}, time.Second)
		if !errors.Is(err, usage.ErrNotReplicated) {
			t.Errorf("record on a node that is cut off: %v, want ErrNotHeld", err)
		}
		f.recorded[workspaces[0]] += 99
		f.report(0, held(), lateness+2*window)
		f.heal()
		carried, err := f.nodes[3].ledger.Reconcile(f.ctx, f.store.Client("node-3"), shards)
		if carried != 1 || err != nil {
			t.Errorf("carried %d, %v, want 1", carried, err)
		}
		f.report(0, held(), 3*window)
		f.check()
	})
}

// Guards against two reporters that both believe to hold the lease, lost store
// and platform answers, and a platform that is down for a while.
func TestTwoReportersAndLostAnswers(t *testing.T) {
	for seed := range uint64(10) {
		inFleet(t, 4, func(f *fleet) {
			random := rand.New(rand.NewPCG(2, seed))
			lost := false
			go f.report(0, authority{lost: &lost}, 4*window)
			go f.report(1, held(), 12*window)
			for range 300 {
				f.record(random.IntN(4), workspaces[random.IntN(4)], 1+random.IntN(9))
				time.Sleep(time.Second)
				switch random.IntN(12) {
				case 0:
					f.store.DropResponses(storetest.Put, 1)
				case 1:
					f.platform.DropResponses(1)
				case 2:
					f.platform.SetDown(true)
				case 3:
					f.platform.SetDown(false)
				}
			}
			f.platform.SetDown(false)
			lost = true
			time.Sleep(8 * window)
			f.check()
		})
	}
}

// Guards against a message per request: figures of many requests share one.
func TestRecordsShareMessages(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.network.SetDelay(func(netip.Addr, netip.Addr) time.Duration { return time.Millisecond })
		f.record(0, workspaces[0], 1) // connects
		done := make(chan error)
		for i := range 500 {
			go func() {
				done <- f.nodes[0].ledger.Record(f.ctx, workspaces[i%4], upstream.Usage{CompletionTokens: 1}, time.Second)
			}()
		}
		for range 500 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		// Each of the two witnesses gets one message for the first record, one
		// or two for the others, and one for what arrived meanwhile.
		if calls := f.calls.Load(); calls > 12 {
			t.Errorf("%d messages for 501 records, want at most 12", calls)
		}
	})
}

// pausedStore holds writes back until resume is closed, like a process that is
// paused between its decision and its write.
type pausedStore struct {
	store.Client
	paused chan struct{} // gets a value when a write waits
	resume chan struct{}
}

func (p pausedStore) Put(ctx context.Context, request store.PutRequest) (version uint64, err error) {
	if strings.HasPrefix(request.Key, "usage/frozen/") {
		select {
		case p.paused <- struct{}{}:
		default:
		}
		<-p.resume
	}
	return p.Client.Put(ctx, request)
}

// Guards against a paused reporter that, with figures of its own, reports a
// window which its successor has frozen and reported with others.
func TestPausedReporterSendsItsSuccessorsFigures(t *testing.T) {
	inFleet(t, 4, func(f *fleet) {
		for _, workspace := range workspaces {
			f.record(3, workspace, 10)
		}
		f.cutOff()
		f.nodes[3].ledger.Record(f.ctx, workspaces[0], upstream.Usage{CompletionTokens: 5}, time.Second)
		f.recorded[workspaces[0]] += 5
		paused := pausedStore{f.store.Client("paused"), make(chan struct{}, 1), make(chan struct{})}
		go f.reportWith(0, paused, held(), lateness+6*window)
		<-paused.paused
		f.heal()
		f.report(1, held(), 3*window)
		close(paused.resume)
		time.Sleep(lateness + 6*window)
		f.check()
	})
}

// Guards against a last node that waits for a peer before it stops.
func TestFlushWithoutPeers(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		if err := f.nodes[0].ledger.Flush(f.ctx); err != nil {
			t.Errorf("flush without figures: %v", err)
		}
		f.nodes[0].ledger.Record(f.ctx, workspaces[0], upstream.Usage{CompletionTokens: 1}, time.Second)
		start := time.Now()
		if err := f.nodes[0].ledger.Flush(f.ctx); !errors.Is(err, usage.ErrNotReplicated) || !time.Now().Equal(start) {
			t.Errorf("flush of figures that nobody holds: %v after %s, want ErrNotHeld at once", err, time.Since(start))
		}
	})
}

// Guards against answers that wait for more than one round trip to the first
// witness, or for the second one.
func TestRecordCostsOneRoundTrip(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		const oneWay = 500 * time.Microsecond
		f.network.SetDelay(func(netip.Addr, netip.Addr) time.Duration { return oneWay })
		f.record(0, workspaces[0], 1) // connects
		time.Sleep(time.Second)
		start := time.Now()
		f.record(0, workspaces[0], 1)
		if took := time.Since(start); took != 2*oneWay {
			t.Errorf("a record took %s of fake time, want one round trip of %s", took, 2*oneWay)
		}
	})
}
