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
	errLost    = errors.ConstError("lease lost")
	workspaces = []string{"north/alpha", "south/alpha", "south/beta", "north/gamma"}
)

type (
	// cluster is a set of nodes that count usage, inside a synctest bubble.
	cluster struct {
		t        *testing.T
		ctx      context.Context
		cancel   context.CancelFunc
		network  *nettest.Network
		store    *storetest.Server
		platform *providertest.Server
		nodes    []*testNode
		mu       sync.Mutex // guards alive, which the ledgers' goroutines read
		alive    map[usage.Source]usage.Member
		recorded map[string]int64 // completion tokens by workspace
		calls    atomic.Int64     // of all ledgers to their replicas
	}

	// countingClient counts RPC calls.
	countingClient struct {
		peer.RPCClient
		calls *atomic.Int64
	}

	testNode struct {
		member usage.Member
		ledger *usage.Ledger
		pool   *peer.Pool
		cancel context.CancelFunc
	}

	// testLease is held until *lost is set.
	testLease struct{ lost *bool }
)

func (c countingClient) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) error {
	c.calls.Add(1)
	return c.RPCClient.Call(ctx, address, method, args, reply)
}

func (l testLease) Do(ctx context.Context, send func(ctx context.Context) error) error {
	if *l.lost {
		return errLost
	}
	return send(ctx)
}

// runCluster runs a test with n nodes in up to three failure domains.
func runCluster(t *testing.T, n int, test func(f *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		f := &cluster{
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

func (f *cluster) start(i int) {
	host := fmt.Sprintf("10.0.0.%d", i+1)
	ctx, cancel := context.WithCancel(f.ctx)
	n := &testNode{cancel: cancel, member: usage.Member{
		Source:  usage.Source{Node: "node-" + host, Incarnation: uint64(time.Now().UnixNano())},
		Address: netip.MustParseAddrPort(host + ":7000"), FailureDomain: string(rune('a' + i%3)),
	}}
	n.pool = peer.NewPool(ctx, f.network.Host(host), peer.Control, peer.Options{})
	n.ledger = usage.NewLedger(ctx, usage.LedgerOptions{
		Source: n.member.Source, FailureDomain: n.member.FailureDomain, Members: f.members,
		Peers: countingClient{n.pool, &f.calls}, Window: window,
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

func (f *cluster) members() (members []usage.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.alive))
}

func (f *cluster) kill(i int) {
	f.nodes[i].cancel()
	f.network.Crash(f.nodes[i].member.Address.Addr().String())
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.alive, f.nodes[i].member.Source)
}

// isolate cuts all links between the fourth node and the first three, until heal.
func (f *cluster) isolate() {
	for i := range 3 {
		f.network.Cut(fmt.Sprintf("10.0.0.%d", i+1), "10.0.0.4")
		f.network.Cut("10.0.0.4", fmt.Sprintf("10.0.0.%d", i+1))
	}
}

func (f *cluster) heal() {
	for i := range 3 {
		f.network.Heal(fmt.Sprintf("10.0.0.%d", i+1), "10.0.0.4")
		f.network.Heal("10.0.0.4", fmt.Sprintf("10.0.0.%d", i+1))
	}
}

// record records a request at a node and expects a replica to confirm it.
func (f *cluster) record(i int, workspace string, tokens int) {
	err := f.nodes[i].ledger.Record(f.ctx, workspace, upstream.Usage{CompletionTokens: tokens}, time.Second)
	if err != nil {
		f.t.Errorf("record at node %d: %v", i, err)
	}
	f.recorded[workspace] += int64(tokens)
}

// runReporters runs the reporters of all shards on a node for d.
func (f *cluster) runReporters(i int, lease usage.Lease, d time.Duration) {
	f.runReportersWith(i, f.store.Client(fmt.Sprint("node-", i)), lease, d)
}

func (f *cluster) runReportersWith(i int, client store.Client, lease usage.Lease, d time.Duration) {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	for shard := range shards {
		reporter := usage.NewReporter(usage.ReporterOptions{
			Shard: shard, Shards: shards, Members: f.members, Peers: f.nodes[i].pool, Store: client,
			Platform: f.platform, Logger: slog.New(slog.NewTextHandler(f.t.Output(), nil)), Window: window, AllowedLateness: lateness,
		})
		go func() {
			for ctx.Err() == nil {
				reporter.Report(ctx, lease) // retried after a second, as lease.Run does
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

// checkBilling compares the totals billed by the platform with the recorded ones.
func (f *cluster) checkBilling() {
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
		f.t.Errorf("conflicting calls to the platform: %v", conflicts)
	}
}

func heldLease() testLease { return testLease{lost: new(bool)} }

// Guards against requests that aren't billed, or are billed twice, when a node
// crashes right after its response.
func TestNodeCrashLosesNoUsage(t *testing.T) {
	for killed := range 4 {
		t.Run(fmt.Sprint("node ", killed), func(t *testing.T) {
			runCluster(t, 4, func(f *cluster) {
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
				f.runReporters((killed+1)%4, heldLease(), 5*window)
				f.checkBilling()
			})
		})
	}
}

// Guards against a node's usage from before a restart being lost or mixed up with
// its usage from afterwards.
func TestNodeRestartLosesNoUsage(t *testing.T) {
	runCluster(t, 3, func(f *cluster) {
		f.record(0, workspaces[0], 10)
		f.kill(0)
		time.Sleep(time.Second)
		f.start(0)
		f.record(0, workspaces[0], 5)
		f.runReporters(1, heldLease(), 4*window)
		f.checkBilling()
	})
}

// Guards against the loss of an isolated node's usage when a window closes without
// it, and against a second report of that window with different totals.
func TestIsolatedNodeUsageIsCarriedOver(t *testing.T) {
	runCluster(t, 4, func(f *cluster) {
		for i := range 4 {
			f.record(i, workspaces[i], 10)
		}
		f.isolate()
		err := f.nodes[3].ledger.Record(f.ctx, workspaces[0], upstream.Usage{CompletionTokens: 99}, time.Second)
		if !errors.Is(err, usage.ErrNotReplicated) {
			t.Errorf("record on an isolated node: %v, want ErrNotReplicated", err)
		}
		f.recorded[workspaces[0]] += 99
		f.runReporters(0, heldLease(), lateness+2*window)
		f.heal()
		carried, err := f.nodes[3].ledger.Reconcile(f.ctx, f.store.Client("node-3"), shards)
		if carried != 1 || err != nil {
			t.Errorf("carried %d, %v, want 1", carried, err)
		}
		f.runReporters(0, heldLease(), 3*window)
		f.checkBilling()
	})
}

// Guards against wrong billing when two reporters believe that they hold the
// lease, responses of the store and the platform are lost, and the platform is
// temporarily down.
func TestTwoReportersAndLostResponses(t *testing.T) {
	for seed := range uint64(10) {
		runCluster(t, 4, func(f *cluster) {
			random := rand.New(rand.NewPCG(2, seed))
			leaseLost := false
			go f.runReporters(0, testLease{lost: &leaseLost}, 4*window)
			go f.runReporters(1, heldLease(), 12*window)
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
			leaseLost = true
			time.Sleep(8 * window)
			f.checkBilling()
		})
	}
}

// Guards against one message per record: concurrent records share messages.
func TestRecordsShareMessages(t *testing.T) {
	runCluster(t, 3, func(f *cluster) {
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
		// Each of the two replicas gets one message for the first record, one or
		// two for the others, and one for the records that were added meanwhile.
		if calls := f.calls.Load(); calls > 12 {
			t.Errorf("%d messages for 501 records, want at most 12", calls)
		}
	})
}

// pausedStore delays the writes of frozen windows until resume is closed, like a
// process that is paused between its decision and its write.
type pausedStore struct {
	store.Client
	paused chan struct{} // signaled when a write waits
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

// Guards against a paused reporter that resumes and reports a window with its own
// totals, after its successor has frozen and reported the window with different
// ones.
func TestPausedReporterSendsFrozenWindow(t *testing.T) {
	runCluster(t, 4, func(f *cluster) {
		for _, workspace := range workspaces {
			f.record(3, workspace, 10)
		}
		f.isolate()
		f.nodes[3].ledger.Record(f.ctx, workspaces[0], upstream.Usage{CompletionTokens: 5}, time.Second)
		f.recorded[workspaces[0]] += 5
		paused := pausedStore{f.store.Client("paused"), make(chan struct{}, 1), make(chan struct{})}
		go f.runReportersWith(0, paused, heldLease(), lateness+6*window)
		<-paused.paused
		f.heal()
		f.runReporters(1, heldLease(), 3*window)
		close(paused.resume)
		time.Sleep(lateness + 6*window)
		f.checkBilling()
	})
}

// Guards against the last live node waiting for a replica before it stops.
func TestFlushWithoutPeersReturnsAtOnce(t *testing.T) {
	runCluster(t, 1, func(f *cluster) {
		if err := f.nodes[0].ledger.Flush(f.ctx); err != nil {
			t.Errorf("flush without records: %v", err)
		}
		f.nodes[0].ledger.Record(f.ctx, workspaces[0], upstream.Usage{CompletionTokens: 1}, time.Second)
		start := time.Now()
		if err := f.nodes[0].ledger.Flush(f.ctx); !errors.Is(err, usage.ErrNotReplicated) || !time.Now().Equal(start) {
			t.Errorf("flush of records without a replica: %v after %s, want ErrNotReplicated at once", err, time.Since(start))
		}
	})
}

// Guards against responses that wait for more than one round trip to the first
// replica, or for the second replica.
func TestRecordCostsOneRoundTrip(t *testing.T) {
	runCluster(t, 3, func(f *cluster) {
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
