package claim_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/claim"
	"github.com/guavagauge/guavagauge/storetest"
)

// TestMain fixes the seed of random histories unless one is given with
// -rapid.seed; 0 takes a fresh one.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// bubble runs a test in a synctest bubble with a store and two nodes' claims.
func bubble(t *testing.T, options claim.Options, test func(t *testing.T, server *storetest.Server, a, b *claim.Claims)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Minute) }()
		server := storetest.New(storetest.Options{})
		test(t, server, claim.New(ctx, server.Client("a"), options), claim.New(ctx, server.Client("b"), options))
	})
}

// ask claims a key within a second.
func ask(t *testing.T, claims *claim.Claims, key string) (result claim.Result, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return claims.Claim(ctx, claim.Request{Key: key})
}

func granted(t *testing.T, claims *claim.Claims, key string) (held *claim.Claim) {
	t.Helper()
	result, err := ask(t, claims, key)
	g, ok := result.(claim.Granted)
	if !ok {
		t.Fatalf("claim %s: %#v, %v, want Granted", key, result, err)
	}
	return g.Claim
}

func expect[T claim.Result](t *testing.T, claims *claim.Claims, key string) (found T) {
	t.Helper()
	result, err := ask(t, claims, key)
	found, ok := result.(T)
	if !ok {
		t.Errorf("claim %s: %#v, %v, want %T", key, result, err, found)
	}
	return found
}

// Guards against a second run in each stage of a claim's life, and against
// outcomes that are forgotten early or kept for ever.
func TestLife(t *testing.T) {
	bubble(t, claim.Options{Shards: 1}, func(t *testing.T, _ *storetest.Server, a, b *claim.Claims) {
		first := granted(t, a, "k")
		expect[claim.InProgress](t, a, "k")
		expect[claim.InProgress](t, b, "k")
		if err := first.Finish(t.Context(), []byte("usage")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second) // InProgress may be a second old
		if done := expect[claim.Done](t, b, "k"); string(done.Record) != "usage" {
			t.Errorf("record %q", done.Record)
		}
		if err := granted(t, a, "withdrawn").Withdraw(t.Context()); err != nil {
			t.Error(err)
		}
		granted(t, b, "withdrawn")
		late := granted(t, b, "late")
		time.Sleep(11 * time.Minute)
		expect[claim.Unknown](t, a, "late")
		if err := late.Finish(t.Context(), nil); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * time.Second)
		expect[claim.Done](t, a, "late")
		if err := late.Finish(t.Context(), make([]byte, 2000)); !errors.Is(err, claim.ErrTooLarge) {
			t.Errorf("large record: %v", err)
		}
		time.Sleep(23 * time.Hour)
		expect[claim.Done](t, a, "k")
		expect[claim.Unknown](t, a, "withdrawn")
		time.Sleep(2 * time.Hour)
		granted(t, b, "k")
	})
}

// Guards against answers that are worse than the truth while the store fails,
// and against claims that stay unknown although they could be decided.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		inject   func(server *storetest.Server)
		want     error // of a's claim; nil means Granted
		duration time.Duration
	}{
		"answer lost":            {func(s *storetest.Server) { s.DropResponses(storetest.Put, 1) }, nil, 0},
		"read back lost as well": {func(s *storetest.Server) { s.DropResponses(storetest.Put, 2); s.DropResponses(storetest.Get, 1) }, nil, 0},
		"store down for an hour": {func(s *storetest.Server) { s.SetDown(true) }, claim.ErrNotApplied, time.Hour},
		"requests cut":           {func(s *storetest.Server) { s.Partition("a", storetest.Requests) }, claim.ErrUnknownOutcome, time.Minute},
		"answers cut":            {func(s *storetest.Server) { s.Partition("a", storetest.Responses) }, claim.ErrUnknownOutcome, time.Minute},
		"store slow":             {func(s *storetest.Server) { s.SetDelay(500 * time.Millisecond) }, nil, 0},
		"store too slow":         {func(s *storetest.Server) { s.SetDelay(5 * time.Second) }, claim.ErrUnknownOutcome, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, claim.Options{Shards: 1}, func(t *testing.T, server *storetest.Server, a, b *claim.Claims) {
				early := granted(t, a, "early") // the document is loaded
				test.inject(server)
				result, err := ask(t, a, "k")
				if _, ok := result.(claim.Granted); ok != (test.want == nil) || !errors.Is(err, test.want) {
					t.Errorf("%#v, %v, want error %v", result, err, test.want)
				}
				if test.want == nil {
					expect[claim.InProgress](t, b, "k")
					return
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := early.Finish(ctx, []byte("r")); !errors.Is(err, claim.ErrUnknownOutcome) {
					t.Errorf("finish: %v", err)
				}
				time.Sleep(test.duration)
				server.SetDown(false)
				server.SetDelay(0)
				server.Heal("a")
				time.Sleep(10 * time.Second)
				expect[claim.Done](t, b, "early")
				granted(t, b, "k") // a has withdrawn what nobody waited for
			})
		})
	}
}

// Guards against two nodes that both win a key or lose each other's claims.
func TestRace(t *testing.T) {
	bubble(t, claim.Options{Shards: 2}, func(t *testing.T, _ *storetest.Server, a, b *claim.Claims) {
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

// Guards against a cost of one write per claim under load, and against writes
// for claims that are only looked up.
func TestGroupCommit(t *testing.T) {
	bubble(t, claim.Options{Shards: 4}, func(t *testing.T, server *storetest.Server, a, _ *claim.Claims) {
		var wait sync.WaitGroup
		for i := range 2000 { // at 1000 per second
			wait.Go(func() { granted(t, a, fmt.Sprint(i)) })
			time.Sleep(time.Millisecond)
		}
		wait.Wait()
		puts, gets := server.Calls(storetest.Put), server.Calls(storetest.Get)
		t.Logf("2000 claims: %d puts, %d gets", puts, gets)
		if limit := 4 * (2*4 + 2); puts > limit || gets > 4 {
			t.Errorf("%d puts and %d gets, want at most %d and 4", puts, gets, limit)
		}
		expect[claim.InProgress](t, a, "7")
		if n := server.Calls(storetest.Put); n != puts {
			t.Errorf("a lookup wrote %d times", n-puts)
		}
	})
}

// Guards against a document over the service's limit, against refusals of
// outcomes when it is full, and against a refusal that leaves a claim behind.
func TestFull(t *testing.T) {
	bubble(t, claim.Options{Shards: 1, MaxDocumentBytes: 100 << 10, WriteInterval: time.Millisecond}, func(t *testing.T, server *storetest.Server, a, b *claim.Claims) {
		record, claims := make([]byte, 1024), 0
		for ; ; claims++ {
			result, err := ask(t, a, fmt.Sprint(claims))
			if err != nil {
				if !errors.Is(err, claim.ErrFull) || !errors.Is(err, claim.ErrNotApplied) {
					t.Errorf("full: %v", err)
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
		expect[claim.Done](t, b, "0")
		time.Sleep(25 * time.Hour)
		granted(t, a, fmt.Sprint(claims))
	})
}

// Guards against a wall clock that makes a new process forget claims, or keep
// them in progress for ever.
func TestWallClock(t *testing.T) {
	bubble(t, claim.Options{Shards: 1}, func(t *testing.T, server *storetest.Server, a, _ *claim.Claims) {
		held := granted(t, a, "k")
		if err := granted(t, a, "done").Finish(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		for i := range 20 {
			wrong := claim.New(t.Context(), server.Client("c"), claim.Options{
				Shards: 1, Wall: func() time.Time { return time.Now().AddDate(i, 0, 0) },
			})
			expect[claim.Done](t, wrong, "done")
			granted(t, wrong, fmt.Sprint(i)) // writes the wrong time
		}
		if err := held.Withdraw(t.Context()); err != nil {
			t.Error(err)
		}
		granted(t, a, "k")
		last := claim.New(t.Context(), server.Client("d"), claim.Options{Shards: 1})
		expect[claim.InProgress](t, last, "k")
		time.Sleep(15 * time.Minute)
		expect[claim.Unknown](t, last, "k")
	})
}

// Measures a claim and its withdrawal, two writes of the document, by the number
// of claims in it.
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
	// step is a claim of a key by a node, or a fault for some time.
	step struct {
		fault     string
		node, key int
		timeout   time.Duration
		runs      time.Duration
		end       string
		wait      time.Duration
	}

	call struct{ kind, key, record string }

	// answer has Err set to "NotKnown" or "NotMade" after a failure.
	answer struct{ result, record string }

	keyState struct {
		granted, finished, phantom bool
		record                     string
	}
)

// Guards against a second grant of a key in combinations of faults that the
// tests above don't have.
func TestRandomFaults(t *testing.T) {
	ms := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, most), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	steps := rapid.Custom(func(t *rapid.T) step {
		return step{
			fault: rapid.SampledFrom([]string{
				"", "", "", "", "", "down", "slow", "too slow", "lose answers", "cut", "cut answers", "old reads", "restart node",
			}).Draw(t, "fault"),
			node: rapid.IntRange(0, 2).Draw(t, "node"), key: rapid.IntRange(0, 2).Draw(t, "key"),
			timeout: ms(6000).Draw(t, "timeout"), runs: ms(2000).Draw(t, "runs"),
			end:  rapid.SampledFrom([]string{"finish", "withdraw", "die"}).Draw(t, "end"),
			wait: ms(1500).Draw(t, "wait"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(steps, 1, 40).Draw(rt, "script")
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) { history = play(t.Context(), script) })
		if porcupine.CheckOperationsTimeout(model.ToModel(), history, time.Minute) != porcupine.Ok {
			rt.Fatalf("not the history of claims that are granted once: %+v", history)
		}
	})
}

func play(ctx context.Context, script []step) (history []porcupine.Operation) {
	server, start := storetest.New(storetest.Options{}), time.Now()
	var mu sync.Mutex
	var wait sync.WaitGroup
	record := func(in call, began time.Time, result claim.Result, err error) {
		op := porcupine.Operation{Input: in, Call: int64(began.Sub(start)), Return: int64(time.Since(start))}
		out := answer{result: fmt.Sprintf("%T", result)}
		if done, ok := result.(claim.Done); ok {
			out.record = string(done.Record)
		}
		switch {
		case errors.Is(err, claim.ErrNotApplied):
			out.result = "NotMade"
		case err != nil:
			out.result = "NotKnown"
			if in.kind != "claim" {
				op.Return = math.MaxInt64 // goes on being tried
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
			MaxCachedBytes: i, // the first node caches by default, the others next to nothing
		})
	}
	for i := range nodes {
		startNode(i)
	}
	run := func(claims *claim.Claims, s step, number int) {
		ctx, cancel := context.WithTimeout(ctx, s.timeout)
		defer cancel()
		in, began := call{kind: "claim", key: fmt.Sprint(s.key)}, time.Now()
		result, err := claims.Claim(ctx, claim.Request{Key: in.key})
		record(in, began, result, err)
		held, ok := result.(claim.Granted)
		if !ok || s.end == "die" {
			return
		}
		time.Sleep(s.runs)
		in, began = call{kind: s.end, key: in.key, record: fmt.Sprint(number)}, time.Now()
		if s.end == "finish" {
			err = held.Claim.Finish(ctx, []byte(in.record))
		} else {
			err = held.Claim.Withdraw(ctx)
		}
		record(in, began, nil, err)
	}
	for number, s := range script {
		old := server.Revision()
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
		case "lose answers":
			server.DropResponses(storetest.Put, 2)
			server.DropResponses(storetest.Get, 1)
		case "cut":
			server.Partition(fmt.Sprint(s.node), storetest.Requests)
		case "cut answers":
			server.Partition(fmt.Sprint(s.node), storetest.Responses)
		case "old reads":
			server.SetReadRevision(max(old, 3) - 2)
		case "restart node":
			cancels[s.node]()
			startNode(s.node)
		}
		time.Sleep(s.wait)
		if s.key == 0 { // faults add up until a step ends them
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

// model is a key that is granted once unless the claim was withdrawn. InProgress
// and Unknown may be old, or show a claim with an unknown outcome.
var model = porcupine.NondeterministicModel{
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
		s, in, out := state.(keyState), input.(call), output.(answer)
		legal, next := false, s
		switch {
		case out.result == "NotMade":
			legal = true
		case in.kind == "claim" && out.result == "NotKnown":
			legal, next.phantom = true, true
		case in.kind == "claim" && out.result == "claim.Granted":
			legal, next.granted, next.phantom = !s.granted && !s.finished, true, true
		case in.kind == "claim" && out.result == "claim.Done":
			legal = s.finished && s.record == out.record
		case in.kind == "claim":
			legal = s.phantom
		case in.kind == "finish":
			legal, next = s.granted, keyState{finished: true, phantom: s.phantom, record: in.record}
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
