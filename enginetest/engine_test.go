package enginetest_test

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/enginetest"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/upstream"
)

var address = netip.MustParseAddrPort("10.0.0.2:9000")

// withEngine runs test in a synctest bubble with an engine and a client.
func withEngine(t *testing.T, options enginetest.Options, test func(t *testing.T, e *enginetest.Engine, client *engine.HTTP)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := nettest.New()
		e := enginetest.New(ctx, options)
		if err := e.Serve(ctx, network.Host("10.0.0.2"), address); err != nil {
			t.Fatal(err)
		}
		client := engine.NewClient(network.Host("10.0.0.1"), address, engine.Options{})
		defer func() { client.Close(); cancel(); synctest.Wait() }()
		test(t, e, client)
	})
}

func collect(into *[]string) func(upstream.Token) error {
	return func(token upstream.Token) error {
		*into = append(*into, token.Text)
		return nil
	}
}

// Guards against a stream resumed after a crash that repeats, skips or changes
// tokens, and against requests that are counted for the wrong workspace.
func TestResumeAfterCrash(t *testing.T) {
	withEngine(t, enginetest.Options{}, func(t *testing.T, e *enginetest.Engine, client *engine.HTTP) {
		want := enginetest.Completion("m", "prompt", 7, 40)
		generation := upstream.Generation{Workspace: "o/alpha", Model: "m", Prompt: "prompt", Seed: 7, MaxTokens: 40}
		var got []string
		_, err := client.Generate(t.Context(), generation, func(token upstream.Token) error {
			if got = append(got, token.Text); len(got) == 15 {
				e.Crash()
			}
			return nil
		})
		var failure *upstream.Failure
		if !errors.As(err, &failure) || !failure.Crashed || failure.Progress != upstream.Answered {
			t.Fatalf("crash: %v, want a failure with Crashed", err)
		}
		synctest.Wait() // until the listener is closed
		_, err = client.Generate(t.Context(), generation, collect(&got))
		if !errors.As(err, &failure) || failure.Crashed || failure.Progress != upstream.NotDialed {
			t.Fatalf("engine down: %v, want NotDialed", err)
		}
		e.Restart()
		synctest.Wait()
		generation.Offset, generation.GeneratedTokens = len(got), slices.Clone(got)
		usage, err := client.Generate(t.Context(), generation, collect(&got))
		if err != nil || !slices.Equal(got, want) {
			t.Errorf("%v, %d tokens, want the full answer of %d", err, len(got), len(want))
		}
		if usage.CompletionTokens != 25 || e.Stats().ByWorkspace["o/alpha"] != 2 || e.Stats().Broken != 1 {
			t.Errorf("usage %+v, stats %+v", usage, e.Stats())
		}
	})
}

// Guards against a cancellation that is reported as a crash or doesn't stop the
// generation, a poison request that doesn't crash the engine, and a paused engine
// that answers.
func TestCancelCrashAndPause(t *testing.T) {
	withEngine(t, enginetest.Options{RestartAfter: time.Second}, func(t *testing.T, e *enginetest.Engine, client *engine.HTTP) {
		var failure *upstream.Failure
		_, err := client.Generate(t.Context(), upstream.Generation{Model: "m", MaxTokens: 1000}, func(token upstream.Token) error {
			if token.Offset == 3 {
				return errors.New("caller left")
			}
			return nil
		})
		if !errors.As(err, &failure) || failure.Reason != upstream.ReasonCanceled || failure.Crashed {
			t.Errorf("canceled request: %v", err)
		}
		synctest.Wait()
		if stats := e.Stats(); stats.Canceled != 1 || stats.DecodeTokens > 6 {
			t.Errorf("stats after the cancellation: %+v", stats)
		}
		e.CrashOn("poison")
		_, err = client.Generate(t.Context(), upstream.Generation{Model: "m", Prompt: "a poison one"}, collect(new([]string)))
		if !errors.As(err, &failure) || !failure.Crashed {
			t.Errorf("poison: %v, want Crashed", err)
		}
		time.Sleep(2 * time.Second)
		e.Pause()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = client.Generate(ctx, upstream.Generation{Model: "m"}, collect(new([]string)))
		if !errors.As(err, &failure) || failure.Reason != upstream.ReasonDeadline || failure.Progress != upstream.Written {
			t.Errorf("paused: %v, want Deadline after Written", err)
		}
		e.Continue()
		if state, err := client.State(t.Context()); err != nil || state.Incarnation != 2 {
			t.Errorf("after the restart: %+v, %v", state, err)
		}
	})
}

// Guards against a batch that ignores priorities or slots, a cache that doesn't
// save prefill, and reports and cache events that arrive without a delay.
func TestBatchingAndCache(t *testing.T) {
	options := enginetest.Options{Slots: 1, Pieces: 8, CacheEventGap: 2}
	withEngine(t, options, func(t *testing.T, e *enginetest.Engine, client *engine.HTTP) {
		prompt := strings.Repeat("x", 4*2*enginetest.PieceTokens)
		order := make(chan int, 3)
		for i, priority := range []int{5, 1, 9} {
			go func() {
				client.Generate(t.Context(), upstream.Generation{
					Model: "m", Prompt: prompt, Prefix: []uint64{1, 2}, MaxTokens: 4, Priority: priority,
				}, func(upstream.Token) error { return nil })
				order <- priority
			}()
			if i == 0 {
				time.Sleep(time.Millisecond) // until the first request has the slot
			}
		}
		time.Sleep(10 * time.Millisecond)
		if report, err := client.Report(t.Context()); err != nil || report.Running != 0 {
			t.Errorf("report %+v, %v: want the state before the load", report, err)
		}
		if got := []int{<-order, <-order, <-order}; !slices.Equal(got, []int{5, 9, 1}) {
			t.Errorf("requests ended in the order of priorities %v, want 5, 9, 1", got)
		}
		if stats := e.Stats(); stats.PrefillTokens != 2*enginetest.PieceTokens || stats.CachedTokens != 4*enginetest.PieceTokens {
			t.Errorf("prefilled %d tokens, took %d from the cache", stats.PrefillTokens, stats.CachedTokens)
		}
		time.Sleep(2 * time.Second)
		kv, err := client.ExportKV(t.Context(), "m", []uint64{1, 2, 3})
		if err != nil || len(kv.Pieces) != 2 {
			t.Fatalf("exported pieces %v, %v", kv.Pieces, err)
		}
		for _, model := range []string{"n", "p"} {
			kv.Model = model
			if err := client.ImportKV(t.Context(), kv); err != nil {
				t.Error(err)
			}
		}
		if events, _ := client.CacheEvents(t.Context(), 1); len(events.Events) != 0 {
			t.Errorf("events %+v are visible without a delay", events)
		}
		time.Sleep(2 * time.Second)
		if events, _ := client.CacheEvents(t.Context(), 1); len(events.Events) != 1 || events.Events[0].Sequence != 3 {
			t.Errorf("events %+v, want number 3 after a gap", events)
		}
	})
}

// Guards against an engine with fencing that executes the order of a former lease
// holder or one for an earlier incarnation, and against a repeated order that is
// executed twice.
func TestOrderFencing(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		withEngine(t, enginetest.Options{Fencing: fencing}, func(t *testing.T, e *enginetest.Engine, client *engine.HTTP) {
			checked := fencing == fleet.FencingChecked
			order := func(id string, epoch, incarnation uint64, kind engine.OrderKind, want error) {
				t.Helper()
				order := engine.Order{ID: id, Epoch: epoch, Incarnation: incarnation, Kind: kind, Role: engine.Prefill}
				if !checked {
					want = nil
				}
				if err := client.Order(t.Context(), order); !errors.Is(err, want) {
					t.Errorf("%s: %v, want %v", id, err, want)
				}
			}
			order("a", 5, 1, engine.OrderFence, nil)
			order("b", 4, 1, engine.OrderDrain, engine.ErrStaleEpoch)
			order("c", 5, 1, engine.OrderDrain, nil)
			order("d", 5, 1, engine.OrderRole, nil)
			order("d", 5, 1, engine.OrderRole, nil)
			if err := client.Order(t.Context(), engine.Order{ID: "e", Epoch: 5, Incarnation: 1, Kind: engine.OrderLoad, Model: "m"}); !errors.Is(err, engine.ErrChanging) {
				t.Errorf("order during a change: %v, want ErrChanging", err)
			}
			time.Sleep(6 * time.Second)
			if state, _ := client.State(t.Context()); state.Role != engine.Prefill || state.Changing != "" || e.Stats().RoleChanges != 1 {
				t.Errorf("after the change of role: state %+v, stats %+v", state, e.Stats())
			}
			if violations := len(e.Violations()); (violations == 0) != checked {
				t.Errorf("%d violations, want none if and only if the engine checks fencing", violations)
			}
			e.Crash()
			e.Restart()
			synctest.Wait()
			order("f", 5, 1, engine.OrderDrain, engine.ErrRestarted)
		})
	}
}
