package claim_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/claim"
	"github.com/guavagauge/guavagauge/rapidtest"
	"github.com/guavagauge/guavagauge/storetest"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Defaults{"rapid.seed": "1"}) }

// runWithTwoNodes runs a test in a synctest bubble with a store and the Claims of
// two nodes, a and b.
func runWithTwoNodes(t *testing.T, options claim.Options, test func(t *testing.T, server *storetest.Server, a, b *claim.Claims)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Minute) }()
		server := storetest.New(storetest.Options{})
		test(t, server, claim.New(ctx, server.Client("a"), options), claim.New(ctx, server.Client("b"), options))
	})
}

// claimKey claims a key with a timeout of one second.
func claimKey(t *testing.T, claims *claim.Claims, key string) (result claim.Result, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return claims.Claim(ctx, claim.Request{Key: key})
}

func requireGranted(t *testing.T, claims *claim.Claims, key string) (held *claim.Claim) {
	t.Helper()
	result, err := claimKey(t, claims, key)
	g, ok := result.(claim.Granted)
	if !ok {
		t.Fatalf("claim %s: %#v, %v, want Granted", key, result, err)
	}
	return g.Claim
}

func expectResult[T claim.Result](t *testing.T, claims *claim.Claims, key string) (found T) {
	t.Helper()
	result, err := claimKey(t, claims, key)
	found, ok := result.(T)
	if !ok {
		t.Errorf("claim %s: %#v, %v, want %T", key, result, err, found)
	}
	return found
}

// Guards against granting a key again while its claim is in progress, finished
// or unknown, and against outcomes that are removed before or long after the end
// of their retention.
func TestKeyIsGrantedOnceUntilRetentionEnds(t *testing.T) {
	runWithTwoNodes(t, claim.Options{Shards: 1}, func(t *testing.T, _ *storetest.Server, a, b *claim.Claims) {
		first := requireGranted(t, a, "k")
		expectResult[claim.InProgress](t, a, "k")
		expectResult[claim.InProgress](t, b, "k")
		if err := first.Finish(t.Context(), []byte("usage")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second) // InProgress may come from a document cached for up to a second
		if done := expectResult[claim.Done](t, b, "k"); string(done.Record) != "usage" {
			t.Errorf("record %q, want usage", done.Record)
		}
		if err := requireGranted(t, a, "withdrawn").Withdraw(t.Context()); err != nil {
			t.Error(err)
		}
		requireGranted(t, b, "withdrawn")
		late := requireGranted(t, b, "late")
		time.Sleep(11 * time.Minute)
		expectResult[claim.Unknown](t, a, "late")
		if err := late.Finish(t.Context(), nil); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * time.Second)
		expectResult[claim.Done](t, a, "late")
		if err := late.Finish(t.Context(), make([]byte, 2000)); !errors.Is(err, claim.ErrTooLarge) {
			t.Errorf("finish with a record over the limit: %v, want ErrTooLarge", err)
		}
		time.Sleep(23 * time.Hour)
		expectResult[claim.Done](t, a, "k")
		expectResult[claim.Unknown](t, a, "withdrawn")
		time.Sleep(2 * time.Hour)
		requireGranted(t, b, "k")
	})
}

// Guards against wrong results and errors of Claim and Finish while the store
// fails, and against a claim that stays in progress after its caller got
// ErrUnknownOutcome and the store has recovered.
func TestClaimDuringStoreFaults(t *testing.T) {
	for name, test := range map[string]struct {
		inject   func(server *storetest.Server)
		want     error // error of the claim by node a; nil means Granted
		duration time.Duration
	}{
		"response lost":                   {func(s *storetest.Server) { s.DropResponses(storetest.Put, 1) }, nil, 0},
		"read-back response lost as well": {func(s *storetest.Server) { s.DropResponses(storetest.Put, 2); s.DropResponses(storetest.Get, 1) }, nil, 0},
		"store down for an hour":          {func(s *storetest.Server) { s.SetDown(true) }, claim.ErrNotApplied, time.Hour},
		"requests of node a dropped":      {func(s *storetest.Server) { s.Partition("a", storetest.Requests) }, claim.ErrUnknownOutcome, time.Minute},
		"responses to node a dropped":     {func(s *storetest.Server) { s.Partition("a", storetest.Responses) }, claim.ErrUnknownOutcome, time.Minute},
		"store slow":                      {func(s *storetest.Server) { s.SetDelay(500 * time.Millisecond) }, nil, 0},
		"store slower than call timeout":  {func(s *storetest.Server) { s.SetDelay(5 * time.Second) }, claim.ErrUnknownOutcome, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			runWithTwoNodes(t, claim.Options{Shards: 1}, func(t *testing.T, server *storetest.Server, a, b *claim.Claims) {
				early := requireGranted(t, a, "early") // also loads the document
				test.inject(server)
				result, err := claimKey(t, a, "k")
				if _, ok := result.(claim.Granted); ok != (test.want == nil) || !errors.Is(err, test.want) {
					t.Errorf("claim k: %#v, %v, want error %v", result, err, test.want)
				}
				if test.want == nil {
					expectResult[claim.InProgress](t, b, "k")
					return
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := early.Finish(ctx, []byte("r")); !errors.Is(err, claim.ErrUnknownOutcome) {
					t.Errorf("finish: %v, want ErrUnknownOutcome", err)
				}
				time.Sleep(test.duration)
				server.SetDown(false)
				server.SetDelay(0)
				server.Heal("a")
				time.Sleep(10 * time.Second)
				expectResult[claim.Done](t, b, "early")
				requireGranted(t, b, "k") // node a has withdrawn the claim that timed out
			})
		})
	}
}

// Guards against concurrent nodes that are both granted a key or overwrite each
// other's claims.
func TestConcurrentNodesGrantEachKeyOnce(t *testing.T) {
	runWithTwoNodes(t, claim.Options{Shards: 2}, func(t *testing.T, _ *storetest.Server, a, b *claim.Claims) {
		var wait sync.WaitGroup
		var mu sync.Mutex
		grants := map[string]int{}
		for i := range 200 {
			claims, key := []*claim.Claims{a, b}[i%2], fmt.Sprint(i/4)
			wait.Go(func() {
				result, err := claims.Claim(t.Context(), claim.Request{Key: key})
				if err != nil {
					t.Error(err)
				}
				if _, ok := result.(claim.Granted); ok {
					mu.Lock()
					defer mu.Unlock()
					grants[key]++
				}
			})
		}
		wait.Wait()
		for key, n := range grants {
			if n != 1 {
				t.Errorf("%s was granted %d times", key, n)
			}
		}
		if len(grants) != 50 {
			t.Errorf("%d keys granted, want 50", len(grants))
		}
	})
}

// Guards against one write per claim under load, and against writes for a
// repeated claim, which changes nothing.
func TestGroupCommitBoundsWrites(t *testing.T) {
	runWithTwoNodes(t, claim.Options{Shards: 4}, func(t *testing.T, server *storetest.Server, a, _ *claim.Claims) {
		var wait sync.WaitGroup
		for i := range 2000 { // at 1000 per second
			wait.Go(func() { requireGranted(t, a, fmt.Sprint(i)) })
			time.Sleep(time.Millisecond)
		}
		wait.Wait()
		// Each of 4 shards writes at most 4 times per second for 2 s, and reads once.
		puts, gets := server.Calls(storetest.Put), server.Calls(storetest.Get)
		t.Logf("2000 claims: %d puts, %d gets", puts, gets)
		if limit := 4 * (2*4 + 2); puts > limit || gets > 4 {
			t.Errorf("%d puts and %d gets, want at most %d and 4", puts, gets, limit)
		}
		expectResult[claim.InProgress](t, a, "7")
		if n := server.Calls(storetest.Put); n != puts {
			t.Errorf("a repeated claim wrote %d times", n-puts)
		}
	})
}

// Guards against a document over its size limit, against Finish failing in a
// document that is nearly full, and against a document that stays full after the
// retention of its claims.
func TestFullDocumentRejectsOnlyNewClaims(t *testing.T) {
	runWithTwoNodes(t, claim.Options{Shards: 1, MaxDocumentBytes: 100 << 10, WriteInterval: time.Millisecond}, func(t *testing.T, server *storetest.Server, a, b *claim.Claims) {
		record, claims := make([]byte, 1024), 0
		for ; ; claims++ {
			result, err := claimKey(t, a, fmt.Sprint(claims))
			if err != nil {
				if !errors.Is(err, claim.ErrFull) || !errors.Is(err, claim.ErrNotApplied) {
					t.Errorf("claim in a full document: %v, want ErrFull and ErrNotApplied", err)
				}
				break
			}
			if err := result.(claim.Granted).Claim.Finish(t.Context(), record); err != nil {
				t.Fatal(err)
			}
		}
		entry, err := server.Client("x").Get(t.Context(), "claim/0000")
		if err != nil || len(entry.Value) > 100<<10 || len(entry.Value) < 90<<10 {
			t.Errorf("document of %d bytes with %d claims, want just below the limit: %v", len(entry.Value), claims, err)
		}
		expectResult[claim.Done](t, b, "0")
		time.Sleep(25 * time.Hour)
		requireGranted(t, a, fmt.Sprint(claims)) // the key rejected above
	})
}

// Guards against a wrong wall clock that makes a new process remove claims early
// or keep them in progress for ever.
func TestWrongWallClockKeepsClaims(t *testing.T) {
	runWithTwoNodes(t, claim.Options{Shards: 1}, func(t *testing.T, server *storetest.Server, a, _ *claim.Claims) {
		held := requireGranted(t, a, "k")
		if err := requireGranted(t, a, "done").Finish(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		for i := range 20 {
			wrong := claim.New(t.Context(), server.Client("c"), claim.Options{
				Shards: 1, Wall: func() time.Time { return time.Now().AddDate(i, 0, 0) },
			})
			expectResult[claim.Done](t, wrong, "done")
			requireGranted(t, wrong, fmt.Sprint(i)) // stores the wrong wall-clock time
		}
		if err := held.Withdraw(t.Context()); err != nil {
			t.Error(err)
		}
		requireGranted(t, a, "k")
		last := claim.New(t.Context(), server.Client("d"), claim.Options{Shards: 1})
		expectResult[claim.InProgress](t, last, "k")
		time.Sleep(15 * time.Minute)
		expectResult[claim.Unknown](t, last, "k")
	})
}

// Measures a claim and its withdrawal, which write the document twice, for
// documents with different numbers of claims.
func BenchmarkClaimAndWithdraw(b *testing.B) {
	for _, entries := range []int{0, 1000, 10000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			server := storetest.New(storetest.Options{})
			claims := claim.New(b.Context(), server.Client("a"), claim.Options{
				Shards: 1, BatchDelay: 1, WriteInterval: 1, MaxDocumentBytes: 1 << 20, MaxRecordBytes: 8,
			})
			run := func(key string) {
				result, err := claims.Claim(b.Context(), claim.Request{Key: key})
				if err == nil {
					err = result.(claim.Granted).Claim.Finish(b.Context(), []byte("8 bytes."))
				}
				if err != nil {
					b.Error(err)
				}
			}
			var wait sync.WaitGroup
			for i := range entries {
				wait.Go(func() { run(fmt.Sprint("before ", i)) })
			}
			wait.Wait()
			n := 0
			for b.Loop() {
				n++
				if result, err := claims.Claim(b.Context(), claim.Request{Key: fmt.Sprint(n)}); err != nil {
					b.Fatal(err)
				} else if err = result.(claim.Granted).Claim.Withdraw(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			if entry, err := server.Client("x").Get(b.Context(), "claim/0000"); err == nil && entries > 0 {
				b.ReportMetric(float64(len(entry.Value))/float64(entries), "bytes/entry")
			}
		})
	}
}

type (
	// step is a claim of a key by a node or, if fault is set, a fault.
	step struct {
		fault     string
		node, key int
		timeout   time.Duration
		runTime   time.Duration
		end       string
		wait      time.Duration
	}

	// call is "claim", "finish" or "withdraw" of a key. record is only for finish.
	call struct{ kind, key, record string }

	// outcome is the outcome of a call. result is the type of the claim.Result,
	// "NotMade" after ErrNotApplied or "NotKnown" after any other error.
	outcome struct{ result, record string }

	// keyState is the state of keyModel. possiblyClaimed means that a claim of
	// the key may have been stored at some time.
	keyState struct {
		granted, finished, possiblyClaimed bool
		record                             string
	}
)

// Guards against a second grant of a key under random combinations of faults.
func TestRandomFaultsNeverGrantKeyTwice(t *testing.T) {
	upToMilliseconds := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, most), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	steps := rapid.Custom(func(t *rapid.T) step {
		return step{
			fault: rapid.SampledFrom([]string{
				"", "", "", "", "", "down", "slow", "too slow", "lose responses", "cut", "cut responses", "stale reads", "restart node",
			}).Draw(t, "fault"),
			node: rapid.IntRange(0, 2).Draw(t, "node"), key: rapid.IntRange(0, 2).Draw(t, "key"),
			timeout: upToMilliseconds(6000).Draw(t, "timeout"), runTime: upToMilliseconds(2000).Draw(t, "runs"),
			end:  rapid.SampledFrom([]string{"finish", "withdraw", "die"}).Draw(t, "end"),
			wait: upToMilliseconds(1500).Draw(t, "wait"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(steps, 1, 40).Draw(rt, "script")
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) { history = runScript(t.Context(), script) })
		if porcupine.CheckOperationsTimeout(keyModel.ToModel(), history, time.Minute) != porcupine.Ok {
			rt.Fatalf("history breaks the rule that a key is granted once: %+v", history)
		}
	})
}

func runScript(ctx context.Context, script []step) (history []porcupine.Operation) {
	server, start := storetest.New(storetest.Options{}), time.Now()
	var mu sync.Mutex
	var wait sync.WaitGroup
	record := func(in call, calledAt time.Time, result claim.Result, err error) {
		op := porcupine.Operation{Input: in, Call: int64(calledAt.Sub(start)), Return: int64(time.Since(start))}
		out := outcome{result: fmt.Sprintf("%T", result)}
		if done, ok := result.(claim.Done); ok {
			out.record = string(done.Record)
		}
		switch {
		case errors.Is(err, claim.ErrNotApplied):
			out.result = "NotMade"
		case err != nil:
			out.result = "NotKnown"
			if in.kind != "claim" {
				op.Return = math.MaxInt64 // the write is still retried
			}
		}
		op.Output = out
		mu.Lock()
		defer mu.Unlock()
		history = append(history, op)
	}
	nodes, cancels := make([]*claim.Claims, 3), make([]context.CancelFunc, 3)
	startNode := func(i int) {
		var nodeCtx context.Context
		nodeCtx, cancels[i] = context.WithCancel(ctx)
		nodes[i] = claim.New(nodeCtx, server.Client(fmt.Sprint(i)), claim.Options{
			Shards: 2, InProgressTimeout: 5 * time.Second, WriteInterval: 20 * time.Millisecond,
			MaxCachedBytes: i, // node 0 uses the default, the other nodes cache almost nothing
		})
	}
	for i := range nodes {
		startNode(i)
	}
	run := func(claims *claim.Claims, s step, number int) {
		ctx, cancel := context.WithTimeout(ctx, s.timeout)
		defer cancel()
		in, calledAt := call{kind: "claim", key: fmt.Sprint(s.key)}, time.Now()
		result, err := claims.Claim(ctx, claim.Request{Key: in.key})
		record(in, calledAt, result, err)
		held, ok := result.(claim.Granted)
		if !ok || s.end == "die" {
			return
		}
		time.Sleep(s.runTime)
		in, calledAt = call{kind: s.end, key: in.key, record: fmt.Sprint(number)}, time.Now()
		if s.end == "finish" {
			err = held.Claim.Finish(ctx, []byte(in.record))
		} else {
			err = held.Claim.Withdraw(ctx)
		}
		record(in, calledAt, nil, err)
	}
	for number, s := range script {
		revision := server.Revision()
		switch s.fault {
		case "":
			claims := nodes[s.node]
			wait.Go(func() { run(claims, s, number) })
		case "down":
			server.SetDown(true)
		case "slow":
			server.SetDelay(800 * time.Millisecond)
		case "too slow":
			server.SetDelay(5 * time.Second)
		case "lose responses":
			server.DropResponses(storetest.Put, 2)
			server.DropResponses(storetest.Get, 1)
		case "cut":
			server.Partition(fmt.Sprint(s.node), storetest.Requests)
		case "cut responses":
			server.Partition(fmt.Sprint(s.node), storetest.Responses)
		case "stale reads":
			server.SetReadRevision(max(revision, 3) - 2)
		case "restart node":
			cancels[s.node]()
			startNode(s.node)
		}
		time.Sleep(s.wait)
		if s.key == 0 { // faults accumulate until such a step
			server.SetDown(false)
			server.SetDelay(0)
			server.SetReadRevision(0)
			server.Heal(fmt.Sprint(s.node))
		}
	}
	wait.Wait()
	for i, cancel := range cancels {
		server.Heal(fmt.Sprint(i))
		cancel()
	}
	time.Sleep(time.Minute)
	return history
}

// keyModel is the model of a key that is granted once until its claim is
// withdrawn. InProgress and Unknown are legal once a claim may have been stored:
// they may be stale, or caused by an earlier claim with an unknown outcome.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(call).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(keyState), input.(call), output.(outcome)
		legal, next := false, s
		switch {
		case out.result == "NotMade":
			legal = true
		case in.kind == "claim" && out.result == "NotKnown":
			legal, next.possiblyClaimed = true, true
		case in.kind == "claim" && out.result == "claim.Granted":
			legal, next.granted, next.possiblyClaimed = !s.granted && !s.finished, true, true
		case in.kind == "claim" && out.result == "claim.Done":
			legal = s.finished && s.record == out.record
		case in.kind == "claim":
			legal = s.possiblyClaimed
		case in.kind == "finish":
			legal, next = s.granted, keyState{finished: true, possiblyClaimed: s.possiblyClaimed, record: in.record}
		default:
			legal, next.granted = s.granted, false
		}
		switch {
		case in.kind != "claim" && out.result == "NotKnown":
			if legal {
				return []any{s, next}
			}
			return []any{s}
		case legal:
			return []any{next}
		}
		return nil
	},
}
