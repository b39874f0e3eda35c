package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
)

// Guards against nodes that have just started and have shared parts read again
// that engines keep.
func TestKeptPartsAreLearnt(t *testing.T) {
	for name, all := range map[string]bool{"from another node": false, "from the engines": true} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.configure(1, key)
				w.serve("g1", "models", "decode", "10.2.0.1:80", &platformtest.Upstream{Events: 2})
				w.serve("g2", "models", "decode", "10.2.0.2:80", &platformtest.Upstream{Events: 2})
				w.register("g1", "models", "decode", "10.2.0.1:80", "draining")
				w.node("n1", n1)
				w.node("n2", n2)
				w.pass(10 * time.Second)
				if r := w.ask(n2, "POST", "/models/1", "prompt", prompt(13_000)); r.status != 200 {
					t.Fatal(r)
				}
				w.register("g1", "models", "decode", "10.2.0.1:80", "ready")
				w.pass(time.Second)
				w.nodes["n1"].Stop(context.Background())
				if all {
					w.nodes["n2"].Stop(context.Background())
				}
				w.node("n3", n3)
				w.pass(5 * time.Second)
				if r := w.ask(n3, "POST", "/models/2", "prompt", prompt(13_000)); r.status != 200 {
					t.Fatal(r)
				}
				if ran := len(w.runs("g2")); ran != 2 {
					t.Errorf("%d runs where the prompt is kept, want 2", ran)
				}
			})
		})
	}
}
