package guard_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/guard"
)

func newGuard() (g *guard.Guard, log *bytes.Buffer, set *metrics.Set) {
	log, set = &bytes.Buffer{}, metrics.NewSet()
	return guard.New(slog.New(slog.NewTextHandler(log, nil)), set), log, set
}

// Guards against a background loop that ends with its first panic, or spins after it.
func TestLoopStartsAgainAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, log, set := newGuard()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var rounds atomic.Int64
		g.Loop(ctx, "loop", func() {
			if rounds.Add(1) <= 3 {
				panic("unexpected")
			}
			<-ctx.Done()
		})
		synctest.Wait()
		if n := rounds.Load(); n != 1 {
			t.Errorf("%d rounds at once, want a delay after a panic", n)
		}
		<-time.After(time.Second)
		synctest.Wait()
		if count := set.GetOrCreateCounter(`guavagauge_panics_total{where="loop"}`).Get(); rounds.Load() != 4 || count != 3 {
			t.Errorf("%d rounds and %d counted panics, want 4 and 3", rounds.Load(), count)
		}
		if text := log.String(); !strings.Contains(text, "unexpected") || !strings.Contains(text, "guard_test.go") {
			t.Errorf("log has %q, want the value and the stack", text)
		}
	})
}

// Guards against a loop that runs on, or waits, after the end of its context.
func TestLoopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, _ := newGuard()
		ctx, cancel := context.WithCancel(t.Context())
		rounds := 0
		g.Loop(ctx, "loop", func() { rounds++; panic("unexpected") })
		<-time.After(time.Minute)
		cancel()
		synctest.Wait() // a goroutine that is left over fails the test
		if before := rounds; before > 20 {
			t.Errorf("%d rounds in a minute, want a growing delay", before)
		}
	})
}

// Guards against work that ends the process, and against a panic that isn't told.
func TestPanicEndsOnlyItsWork(t *testing.T) {
	g, _, set := newGuard()
	var none []int
	if g.Run("work", func() { none[len(none)]++ }) {
		t.Error("Run reports success after a panic")
	}
	if !g.Run("work", func() {}) {
		t.Error("Run reports a panic after none")
	}
	handled := false
	func() {
		defer g.Recover("call", func() { handled = true })
		panic("unexpected")
	}()
	if !handled || set.GetOrCreateCounter(`guavagauge_panics_total{where="call"}`).Get() != 1 {
		t.Errorf("handled %t, want the panic handled and counted", handled)
	}
}
